//! Requests of entries and of other control processes.

use crate::adapters::quic;
use crate::adapters::quic::Stream;
use crate::adapters::wire;
use crate::adapters::wire::reply::Kind as Reply;
use crate::adapters::wire::request::Kind as Request;
use crate::domain::control::Answer;
use crate::domain::control::Event;
use crate::domain::membership::Announcement;
use crate::domain::membership::Raw;
use crate::domain::state::Command;
use crate::domain::state::Entry;

use super::Mailbox;

/// Passes requests to the core and converts its answers.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) mailbox: Mailbox,
    /// Identity of this voter.
    pub(super) identity: String,
    /// Lease that a renewed session gives an entry, in milliseconds.
    pub(super) lease_ms: u64,
}

/// Answers one request.
pub(super) async fn handle(server: Server, request: wire::Request, mut stream: Stream) {
    let kind = server.reply(request).await;
    let reply = wire::Reply { kind: Some(kind) };
    let _ = quic::write_frame(&mut stream, &reply).await;
    let _ = stream.finish();
}

impl Server {
    async fn reply(&self, request: wire::Request) -> Reply {
        match request.kind {
            Some(Request::Consensus(envelope)) => self.receive_consensus(envelope),
            Some(Request::Sync(sync)) => {
                self.to_reply(self.mailbox.ask(|ticket| sync_event(ticket, sync)).await)
            }
            Some(Request::Propose(propose)) => self.propose(propose).await,
            Some(Request::Announce(announce)) => self.announce(announce).await,
            Some(Request::Query(_)) => {
                self.to_reply(self.mailbox.ask(|ticket| Event::QueryStatus { ticket }).await)
            }
            Some(Request::AddVoter(add)) => {
                let identity = add.identity;
                self.to_reply(
                    self.mailbox
                        .ask(|ticket| Event::AddVoter { ticket, identity })
                        .await,
                )
            }
            Some(Request::Forward(_) | Request::Fleet(_) | Request::Tunnel(_)) | None => {
                Reply::Error("not a request to a control process".to_owned())
            }
        }
    }

    fn receive_consensus(&self, envelope: wire::Consensus) -> Reply {
        // A voter that lost its disk returns under a new identity. Messages to the old one
        // must not reach it, because the records and votes of the old one are lost.
        if envelope.to != self.identity {
            return Reply::Error("no such identity here".to_owned());
        }
        match serde_json::from_slice(&envelope.message_json) {
            Ok(decoded) => {
                self.mailbox.tell(Event::Consensus {
                    from: envelope.from,
                    message: decoded,
                });
                Reply::Done(wire::Done {})
            }
            Err(e) => Reply::Error(format!("unreadable message: {e}")),
        }
    }

    async fn propose(&self, propose: wire::Propose) -> Reply {
        match serde_json::from_slice::<Command>(&propose.command_json) {
            Ok(command) => {
                let ask = self.mailbox.ask(|ticket| Event::Propose(vec![(ticket, command)]));
                self.to_reply(ask.await)
            }
            Err(e) => Reply::Error(format!("unreadable command: {e}")),
        }
    }

    async fn announce(&self, announce: wire::Announce) -> Reply {
        let raw = serde_json::from_slice::<Raw>(&announce.announcement_json);
        let parsed = raw
            .map_err(|e| e.to_string())
            .and_then(|raw| Announcement::try_from(raw).map_err(|e| e.to_string()));
        match parsed {
            Ok(announcement) => {
                let ask = self
                    .mailbox
                    .ask(|ticket| Event::Announce { ticket, announcement });
                self.to_reply(ask.await)
            }
            Err(reason) => Reply::Error(reason),
        }
    }

    fn to_reply(&self, answer: Answer) -> Reply {
        let invariant = "domain types encode as JSON: their map keys are strings";
        match answer {
            Answer::Applied(reply) => Reply::ReplyJson(serde_json::to_vec(&reply).expect(invariant)),
            Answer::Done => Reply::Done(wire::Done {}),
            Answer::Redirect(leader) => Reply::Redirect(wire::Redirect {
                leader: leader.unwrap_or_default(),
            }),
            Answer::Status(status) => Reply::StatusJson(serde_json::to_vec(&status).expect(invariant)),
            Answer::Refused(reason) => Reply::Error(reason),
            Answer::Synced {
                index,
                snapshot,
                changes,
            } => {
                let snapshot = snapshot.map(|s| serde_json::to_vec(&s).expect(invariant));
                let change = |(index, command): (u64, Command)| wire::Change {
                    index,
                    command_json: serde_json::to_vec(&command).expect(invariant),
                };
                Reply::Synced(wire::Synced {
                    index,
                    snapshot_json: snapshot.unwrap_or_default(),
                    changes: changes.into_iter().map(change).collect(),
                    lease_ms: self.lease_ms,
                })
            }
        }
    }
}

fn sync_event(ticket: u64, sync: wire::Sync) -> Event {
    Event::Sync {
        ticket,
        session: sync.session,
        entry: Entry {
            address: sync.address,
            zone: sync.zone,
        },
        applied: sync.applied,
        draining: sync.draining,
        busy: sync.busy,
    }
}
