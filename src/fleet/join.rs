//! Admission of this controller to the log.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use super::Status;
use crate::adapters::fleet::Client;
use crate::domain::fleet::Call;
use crate::logging;

/// Interval between looks at the membership.
const LOOK_EVERY: Duration = Duration::from_millis(150);
/// Longest wait for one answer.
const WAIT: Duration = Duration::from_millis(500);
/// Looks without a leader after which the seeds are asked.
const PATIENCE: u32 = 8;

/// Asks for admission whenever this process is no member or hears of no leader.
///
/// A member asks too when it hears of no leader: it may have been removed meanwhile, and
/// nobody would tell it.
pub(super) async fn keep_joined(client: Client, identity: String, status: Arc<Mutex<Status>>) {
    let call = Call::Join {
        identity: identity.clone(),
    };
    let mut misses = 0;
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = status.lock().expect("no panic under this lock").clone();
        client.set_known(&now.controllers);
        if now.is_member && now.leader.is_some() {
            misses = 0;
            continue;
        }
        misses += 1;
        if now.is_member && misses < PATIENCE {
            continue;
        }
        let answer = client.call(&call, WAIT).await;
        logging::JOIN_REQUESTED.log_fields(&[
            ("controller", identity.as_str().into()),
            ("member", now.is_member.into()),
            ("answered", answer.is_some().into()),
        ]);
    }
}
