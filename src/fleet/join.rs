//! Membership of this controller in the replicated log.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use super::Status;
use crate::adapters::fleet::Client;
use crate::domain::fleet::Call;
use crate::domain::fleet::Controller;
use crate::logging;

/// Interval between checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of a [`Call::Join`].
const JOIN_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive checks without a known leader after which a member asks to join, too.
const MAX_CHECKS_WITHOUT_LEADER: u32 = 8;

/// Asks the controllers to let this one join the log while it is not a member or knows no leader.
///
/// A member that knows no leader asks too, because it may have been removed: other controllers send
/// no messages to a removed member.
pub(super) async fn ensure_joined(client: Client, identity: String, status: Arc<Mutex<Status>>) {
    let call = Call::Join {
        identity: identity.clone(),
    };
    let mut checks_without_leader = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let current_status = status.lock().expect("no panic under this lock").clone();
        let controllers = current_status.controllers.iter().map(|address| Controller {
            address: address.clone(),
            zone: String::new(),
        });
        client.set_controllers(&controllers.collect::<Vec<_>>(), 0);
        if current_status.is_member && current_status.leader.is_some() {
            checks_without_leader = 0;
            continue;
        }
        checks_without_leader += 1;
        if current_status.is_member && checks_without_leader < MAX_CHECKS_WITHOUT_LEADER {
            continue;
        }
        let answer = client.call(&call, JOIN_CALL_TIMEOUT).await;
        logging::JOIN_REQUESTED.log_fields(&[
            ("controller", identity.as_str().into()),
            ("member", current_status.is_member.into()),
            ("answered", answer.is_some().into()),
        ]);
    }
}
