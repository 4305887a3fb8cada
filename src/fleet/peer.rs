//! QUIC server for gateways and other controllers.

use super::Mailbox;
use super::heartbeat;
use super::leader::Leader;
use super::relay::Relay;
use crate::adapters::quic;
use crate::adapters::quic::Stream;
use crate::adapters::wire;
use crate::adapters::wire::reply::Kind as Reply;
use crate::adapters::wire::request::Kind as Request;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Event;

/// Answers requests of gateways and other controllers.
#[derive(Clone)]
pub(super) struct Server {
    pub(super) mailbox: Mailbox,
    pub(super) relay: Relay,
    pub(super) leader: Leader,
    /// Identity of this controller.
    pub(super) identity: String,
}

/// Answers one request.
pub(super) async fn handle(server: Server, request: wire::Request, mut stream: Stream) {
    let kind = server.reply(request).await;
    let reply = wire::Reply { kind: Some(kind) };
    // A write fails when the caller has given up; it retries the request.
    let _ = quic::write_frame(&mut stream, &reply).await;
    let _ = stream.finish();
}

impl Server {
    async fn reply(&self, request: wire::Request) -> Reply {
        match request.kind {
            Some(Request::Consensus(envelope)) => self.receive_consensus(envelope),
            Some(Request::Fleet(call)) => match serde_json::from_slice::<Call>(&call.call_json) {
                Ok(call) => {
                    let answer = self.answer(call).await;
                    Reply::FleetJson(serde_json::to_vec(&answer).expect("answers have string keys"))
                }
                Err(e) => Reply::Error(e.to_string()),
            },
            _ => Reply::Error("not a request to a fleet controller".to_owned()),
        }
    }

    async fn answer(&self, call: Call) -> Answer {
        let is_acknowledged = match call {
            Call::Report(report) => return self.relay.report(report).await,
            Call::Permit { targets } => return self.relay.permit(targets).await,
            Call::Pace(ask) => return self.relay.pace(ask).await,
            Call::Announce(announcement) => {
                heartbeat::announce(&self.relay, &self.leader, announcement).await
            }
            Call::Withdraw { gateway } => {
                self.relay.withdraw(gateway);
                true
            }
            Call::Leave { id } => heartbeat::leave(&self.relay, &self.leader, id).await,
            call => return self.mailbox.ask(|ticket| Event::Call { ticket, call }).await,
        };
        if is_acknowledged {
            Answer::Done
        } else {
            Answer::Redirect(None)
        }
    }

    /// Passes a message of the consensus protocol to the core.
    fn receive_consensus(&self, envelope: wire::Consensus) -> Reply {
        // A message for an identity whose disk was lost must not reach the identity that replaced it.
        if envelope.to != self.identity {
            return Reply::Error("no such identity here".to_owned());
        }
        match serde_json::from_slice(&envelope.message_json) {
            Ok(decoded) => {
                let from = envelope.from;
                self.mailbox.tell(Event::Consensus {
                    from,
                    message: decoded,
                });
                Reply::Done(wire::Done {})
            }
            Err(e) => Reply::Error(e.to_string()),
        }
    }
}
