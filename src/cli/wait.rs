//! Waits until a change is in force, that is, until every entry has applied it.

use std::time::Duration;

use super::Error;
use super::client::Client;
use crate::adapters::clock;

/// Interval between status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until every entry, and one at least if `needs_entry` is set, has confirmed the log index `index`.
///
/// After `seconds`, fails with the sessions of the entries that have not confirmed it, or if none has joined that is needed.
pub(super) async fn until_in_force(
    client: &Client,
    index: u64,
    needs_entry: bool,
    seconds: u64,
) -> Result<(), Error> {
    let deadline = clock::now() + Duration::from_secs(seconds);
    loop {
        let status = client.status().await?;
        let behind = status.sessions_behind(index);
        let is_missing = needs_entry && status.applied.is_empty();
        if behind.is_empty() && !is_missing {
            println!("in force on {} entries", status.applied.len());
            return Ok(());
        }
        if clock::now() >= deadline {
            let reason = if is_missing {
                "not in force, as no entry has joined".to_owned()
            } else {
                format!("not yet in force on {}", behind.join(", "))
            };
            return Err(Error::Timeout(reason));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
