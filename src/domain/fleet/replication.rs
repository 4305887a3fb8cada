//! The core and its replicated log: proposals, what is committed, leadership and snapshots.

use std::time::Duration;

use super::Command;
use super::Registry;
use super::State;
use super::TargetLog;
use super::core::Core;
use super::event::Action;
use super::event::Telemetry;
use super::event::Ticket;
use super::proof::Proofs;
use super::quarantine::Quarantine;
use crate::domain::consensus;
use crate::domain::consensus::Payload;
use crate::domain::consensus::Role;
use crate::domain::limit::Register;

/// Applied records after which a snapshot is taken.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 96;
/// Bytes of applied commands after which a snapshot is taken, far below a controller's memory and
/// disk; a command may hold a whole catalog.
const SNAPSHOT_INTERVAL_BYTES: usize = 8 << 20;

impl Core {
    /// Proposes a command to the log. A ticket is answered once the command is applied; without one
    /// the command counts as this leader's own and is pending until then.
    pub(super) fn propose(
        &mut self,
        now: Duration,
        ticket: Option<Ticket>,
        command: Command,
        out: &mut Vec<Action>,
    ) {
        let index = self.node.journal().last_index() + 1;
        match ticket {
            Some(ticket) => self.wait_for(index, ticket),
            None => self.own_proposals.push_back(index),
        }
        let text = serde_json::to_string(&command).expect("commands have string keys");
        let payload = Payload::Command(text);
        self.step_consensus(now, consensus::Event::Propose(vec![payload]), out);
    }

    /// Passes an event to the consensus node, and applies what it commits.
    pub(super) fn step_consensus(&mut self, now: Duration, event: consensus::Event, out: &mut Vec<Action>) {
        let actions = self.node.step(now, event);
        for action in actions {
            match action {
                consensus::Action::Apply(record) => self.apply(&record, out),
                consensus::Action::Restore(snapshot) => {
                    let restored = State::restore(&snapshot.state);
                    assert!(
                        restored.index >= self.state.index,
                        "a snapshot is not older than the applied state"
                    );
                    self.state = restored;
                }
                other => out.push(Action::Consensus(other)),
            }
        }
        self.update_leadership(now, out);
    }

    fn apply(&mut self, record: &consensus::Record, out: &mut Vec<Action>) {
        if let Payload::Command(text) = &record.payload {
            let command: Command = serde_json::from_str(text).expect("a committed command decodes");
            if command.is_urgent() {
                self.urgent_changes += 1;
            }
            let leads = self.leading_since.is_some();
            let is_quarantine = matches!(command, Command::Quarantine { .. } | Command::Release { .. });
            let previous = (leads && is_quarantine).then(|| self.state.quarantined.clone());
            self.state.apply(record.index, &command);
            self.applied_bytes += text.len();
            self.targets_dirty = true;
            self.reconcile_due = true;
            if leads {
                out.push(Action::Telemetry(Telemetry::Committed(command)));
            }
            if let Some(previous) = previous {
                self.report_quarantine(&previous, out);
            }
        }
        self.own_proposals.retain(|index| *index > record.index);
        self.answer_waiting_callers(record, out);
    }

    /// On becoming leader, clears what only a leader keeps, since data of an earlier leadership is
    /// outdated. On losing leadership, redirects the callers that wait for proposals.
    fn update_leadership(&mut self, now: Duration, out: &mut Vec<Action>) {
        let leads = self.node.role() == Role::Leader;
        if leads && self.leading_since.is_none() {
            self.leading_since = Some(now);
            self.inherited_index = self.node.journal().last_index();
            self.registry = Registry::default();
            self.lifecycles.clear();
            self.staging.clear();
            self.leave_orders_sent.clear();
            self.proofs = Proofs::default();
            self.member_first_seen.clear();
            self.shutdown_notices.clear();
            self.peers.clear();
            self.gateway_count = 1;
            self.targets = TargetLog::new((self.node.term(), 0));
            self.closed.clear();
            self.limits = Register::default();
            self.quarantine = Quarantine::default();
            self.targets_dirty = true;
            out.push(Action::Leadership(true));
        }
        if !leads && self.leading_since.is_some() {
            self.leading_since = None;
            self.own_proposals.clear();
            let notices = std::mem::take(&mut self.shutdown_notices).into_values();
            let tickets: Vec<Ticket> = std::mem::take(&mut self.waiting_callers)
                .into_values()
                .flatten()
                .chain(notices.filter_map(|n| n.ticket))
                .collect();
            // The next leader may or may not commit these proposals; callers can safely retry the call.
            out.extend(tickets.into_iter().map(|t| self.redirect(t)));
            out.push(Action::Leadership(false));
        }
    }

    /// Takes a snapshot, which replaces the log up to it, once enough records or bytes are applied.
    pub(super) fn compact(&mut self, now: Duration, out: &mut Vec<Action>) {
        let snapshot_index = self.node.journal().snapshot().index;
        let applied = self.state.index;
        if applied < snapshot_index + SNAPSHOT_INTERVAL_RECORDS
            && self.applied_bytes < SNAPSHOT_INTERVAL_BYTES
        {
            return;
        }
        self.applied_bytes = 0;
        let state = serde_json::to_string(&self.state).expect("the state has string keys");
        let event = consensus::Event::Compact {
            index: applied,
            state,
        };
        self.step_consensus(now, event, out);
    }
}
