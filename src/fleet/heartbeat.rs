//! Heartbeats of VMs, received directly or through a gateway.

use super::leader::Leader;
use super::relay::Relay;
use crate::domain::fleet::Announcement;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;

/// Passes a heartbeat on to the leader; returns whether it is acknowledged.
///
/// A VM that shuts down needs the leader's own acknowledgement: only the leader knows that no gateway
/// will be told of the VM again.
pub(super) async fn announce(relay: &Relay, leader: &Leader, announcement: Box<Announcement>) -> bool {
    if !announcement.draining {
        return relay.take_heartbeat(announcement).await;
    }
    relay.forget(&announcement.id, Some(announcement.incarnation));
    let answer = leader.ask(Call::Announce(announcement)).await;
    matches!(answer, Some(Answer::Done))
}

/// Tells the leader that a VM has shut down; returns whether it is acknowledged.
pub(super) async fn leave(relay: &Relay, leader: &Leader, id: String) -> bool {
    relay.forget(&id, None);
    matches!(leader.ask(Call::Leave { id }).await, Some(Answer::Done))
}
