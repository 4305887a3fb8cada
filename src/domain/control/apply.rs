//! Application of committed records, and snapshots that compact the log.

use std::time::Duration;

use super::Action;
use super::Answer;
use super::Core;
use crate::domain::consensus;
use crate::domain::consensus::Payload;
use crate::domain::consensus::Record;
use crate::domain::state::Command;

/// Applied commands kept for entries; one that lags further receives the whole state.
const MAX_RECENT_COMMANDS: usize = 20_000;

impl Core {
    pub(super) fn apply(&mut self, record: &Record, out: &mut Vec<Action>) {
        let client_proposal = self.client_proposals.remove(&record.index);
        let own_proposal = self.own_proposals.remove(&record.index);
        let Payload::Command(text) = &record.payload else {
            self.state.index = record.index;
            if let Some((_, ticket)) = client_proposal {
                out.push(self.redirect(ticket));
            }
            return;
        };
        let command: Command = serde_json::from_str(text).expect("a verified record holds a valid command");
        let reply = self.state.apply(record.index, &command);
        match client_proposal {
            Some((term, ticket)) if term == record.term => {
                out.push(Action::Answer(ticket, Answer::Applied(reply.clone())));
            }
            // A record of another leader has this index; the client proposes again.
            Some((_, ticket)) => out.push(self.redirect(ticket)),
            None => {}
        }
        if own_proposal.is_some() {
            out.push(Action::Decision(command.clone(), reply));
        }
        if !command.is_ledger_only() {
            self.recent_commands.push_back((record.index, command));
            if self.recent_commands.len() > MAX_RECENT_COMMANDS {
                self.recent_commands.pop_front();
            }
        }
    }

    /// Takes a snapshot once `snapshot_every` records have been applied since the last one.
    pub(super) fn compact(&mut self, now: Duration, out: &mut Vec<Action>) {
        let last_snapshot = self.node.journal().snapshot().index;
        let applied = self.state.index;
        if applied < last_snapshot + self.settings.consensus.snapshot_every {
            return;
        }
        let state = serde_json::to_string(&self.state).expect("the state encodes as JSON");
        let event = consensus::Event::Compact {
            index: applied,
            state,
        };
        self.step_consensus(now, event, out);
    }
}
