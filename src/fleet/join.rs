//! Membership of this controller in the replicated log.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use super::Status;
use crate::adapters::fleet::Client;
use crate::domain::fleet::Call;
use crate::logging;

/// Interval between checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time-out of a call for admission.
const JOIN_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Checks without a known leader, in a row, after which a member calls for admission too.
const MAX_CHECKS_WITHOUT_LEADER: u32 = 8;

/// Calls the controllers for admission while this process is not a member or knows no leader.
///
/// A member without a leader calls too, because it may have been removed: other controllers send
/// no messages to a removed member.
pub(super) async fn ensure_joined(client: Client, identity: String, status: Arc<Mutex<Status>>) {
    let call = Call::Join {
        identity: identity.clone(),
    };
    let mut checks_without_leader = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let snapshot = status.lock().expect("no panic under this lock").clone();
        client.set_known(&snapshot.controllers);
        if snapshot.is_member && snapshot.leader.is_some() {
            checks_without_leader = 0;
            continue;
        }
        checks_without_leader += 1;
        if snapshot.is_member && checks_without_leader < MAX_CHECKS_WITHOUT_LEADER {
            continue;
        }
        let answer = client.call(&call, JOIN_CALL_TIMEOUT).await;
        logging::JOIN_REQUESTED.log_fields(&[
            ("controller", identity.as_str().into()),
            ("member", snapshot.is_member.into()),
            ("answered", answer.is_some().into()),
        ]);
    }
}
