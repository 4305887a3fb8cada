//! Periodic work of the leader: sessions, ownership, placement and orders.

use std::time::Duration;

use super::Action;
use super::Answer;
use super::Core;
use super::Ticket;
use crate::domain::consensus;
use crate::domain::placement;
use crate::domain::placement::Context;
use crate::domain::state::Command;

/// Interval between placement plans.
const PLAN_EVERY: Duration = Duration::from_millis(200);

impl Core {
    pub(super) fn lead(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.compact(now, out);
        if !self.leads(now) {
            return;
        }
        if self.retiring {
            self.consensus(now, consensus::Event::TransferLeadership, out);
            return;
        }
        self.replace_voters(now, out);
        // One plan at a time: the next one starts from the state that this one made.
        if now < self.planned + PLAN_EVERY || !self.own.is_empty() {
            return;
        }
        self.planned = now;
        self.end_sessions(now, out);
        let commands = placement::assign_owners(&self.state, &self.sessions);
        self.propose_own(now, commands, out);
        self.place(now, out);
    }

    fn end_sessions(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut over = self.sessions.expired(now, &self.settings.session, &self.state);
        // A call that began in a session which ended before the call was committed.
        let settled = self.is_settled(now);
        for session in self.state.ledger.running_sessions() {
            let known = self.state.entries.contains_key(session);
            if settled && !known && !over.iter().any(|s| s == session) {
                over.push(session.to_owned());
            }
        }
        self.sessions.prune(now, &self.settings.session, &self.state);
        let commands = over.into_iter().map(|session| Command::Leave { session });
        self.propose_own(now, commands.collect(), out);
    }

    fn place(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.is_settled(now) {
            return;
        }
        self.registry.forget(now, &self.settings.membership);
        let orders = self.orders.take_due(now, &self.state, &self.registry);
        out.extend(orders.into_iter().map(Action::Order));
        if !self.own.is_empty() {
            return;
        }
        let context = Context {
            now,
            state: &self.state,
            registry: &self.registry,
            orders: &self.orders,
            timing: &self.settings.membership,
            settings: &self.settings.placement,
            sessions: &self.sessions,
        };
        let plan = placement::plan(&context);
        self.broken = plan.broken_groups;
        self.stranded = plan.stranded_accelerators;
        self.propose_own(now, plan.commands, out);
    }

    /// Whether every VM has had time to announce itself to this leader.
    fn is_settled(&self, now: Duration) -> bool {
        let settle = Duration::from_millis(self.settings.membership.settle_ms);
        self.leading_since.is_some_and(|since| now >= since + settle)
    }

    pub(super) fn add_voter(&mut self, now: Duration, ticket: Ticket, identity: &str, out: &mut Vec<Action>) {
        if !self.leads(now) {
            out.push(self.redirect(ticket));
            return;
        }
        let (voters, learners) = self.node.journal().members();
        if voters.iter().chain(&learners).any(|m| m == identity) {
            out.push(Action::Answer(ticket, Answer::Done));
            return;
        }
        let Some(payload) = self.node.add_learner_payload(identity) else {
            let reason = "another membership change is open".to_owned();
            out.push(Action::Answer(ticket, Answer::Refused(reason)));
            return;
        };
        self.consensus(now, consensus::Event::Propose(vec![payload]), out);
        out.push(Action::Answer(ticket, Answer::Done));
    }

    /// Makes a caught-up learner a voter, and removes the identity it replaces.
    fn replace_voters(&mut self, now: Duration, out: &mut Vec<Action>) {
        let (voters, learners) = self.node.journal().members();
        let mut payload = learners.iter().find_map(|l| self.node.promote_learner_payload(l));
        if payload.is_none() {
            let replaced = |v: &&String| voters.iter().any(|other| replaces(other, v));
            payload = voters
                .iter()
                .find(replaced)
                .and_then(|v| self.node.remove_member_payload(v));
        }
        if let Some(payload) = payload {
            self.consensus(now, consensus::Event::Propose(vec![payload]), out);
        }
    }
}

/// Whether identity `new` is a later one of the same control VM as `old`.
fn replaces(new: &str, old: &str) -> bool {
    let split = |identity: &str| -> (String, u64) {
        match identity.split_once('~') {
            Some((name, number)) => (name.to_owned(), u64::from_str_radix(number, 16).unwrap_or(0)),
            None => (identity.to_owned(), 0),
        }
    };
    let ((new_name, new_number), (old_name, old_number)) = (split(new), split(old));
    new_name == old_name && new_number > old_number
}
