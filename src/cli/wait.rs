//! Waits until a change is in force, that is, until every entry has applied it, of which there is at least one.

use std::time::Duration;

use super::Error;
use super::client::Client;
use crate::adapters::clock;

/// Interval between status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until every entry has confirmed the log index `index`.
///
/// After `seconds`, fails with the sessions of the entries that have not confirmed it, or if no entry has joined.
pub(super) async fn until_in_force(client: &Client, index: u64, seconds: u64) -> Result<(), Error> {
    let deadline = clock::now() + Duration::from_secs(seconds);
    loop {
        let status = client.status().await?;
        let behind = status.sessions_behind(index);
        let has_entries = !status.applied.is_empty();
        if behind.is_empty() && has_entries {
            println!("in force on {} entries", status.applied.len());
            return Ok(());
        }
        if clock::now() >= deadline {
            let missing = if has_entries {
                format!("not yet in force on {}", behind.join(", "))
            } else {
                "not in force, as no entry has joined".to_owned()
            };
            return Err(Error::Timeout(missing));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
