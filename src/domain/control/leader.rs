//! Periodic work of the leader: voters, sessions, group ownership, placement and
//! orders to VMs.

use std::time::Duration;

use super::Action;
use super::Answer;
use super::Core;
use super::Ticket;
use crate::domain::consensus;
use crate::domain::placement;
use crate::domain::placement::Context;
use crate::domain::state::Command;

/// Interval between plans of ownership and placement.
const PLANNING_INTERVAL: Duration = Duration::from_millis(200);

impl Core {
    /// Compacts the log, and does the leader's periodic work if this process leads.
    pub(super) fn tick_leader(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.compact(now, out);
        if !self.leads(now) {
            return;
        }
        if self.shutting_down {
            self.step_consensus(now, consensus::Event::TransferLeadership, out);
            return;
        }
        self.propose_voter_change(now, out);
        // A plan must see the effects of the previous one, so its proposals are applied first.
        if now < self.last_planned + PLANNING_INTERVAL || !self.own_proposals.is_empty() {
            return;
        }
        self.last_planned = now;
        self.end_sessions(now, out);
        let commands = placement::assign_owners(&self.state, &self.sessions);
        self.propose_own(now, commands, out);
        self.place_groups(now, out);
    }

    fn end_sessions(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut ended = self.sessions.expired(now, &self.settings.session, &self.state);
        // The `Begin` of a call may be committed after the `Leave` of its session; such a session
        // ends again, so that the outcome of the call becomes unknown.
        let is_settled = self.is_registry_settled(now);
        for session in self.state.ledger.running_sessions() {
            let is_joined = self.state.entries.contains_key(session);
            if is_settled && !is_joined && !ended.iter().any(|s| s == session) {
                ended.push(session.to_owned());
            }
        }
        self.sessions.prune(now, &self.settings.session, &self.state);
        let commands = ended.into_iter().map(|session| Command::Leave { session });
        self.propose_own(now, commands.collect(), out);
    }

    fn place_groups(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.is_registry_settled(now) {
            return;
        }
        self.registry.evict_silent(now, &self.settings.membership);
        let orders = self.orders.take_due(now, &self.state, &self.registry);
        out.extend(orders.into_iter().map(Action::Order));
        // The plan must see the changes of sessions and owners, so they are applied first.
        if !self.own_proposals.is_empty() {
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
        self.broken_groups = plan.broken_groups;
        self.stranded_accelerators = plan.stranded_accelerators;
        self.propose_own(now, plan.commands, out);
    }

    /// Whether every VM has had time to announce itself to this leader.
    fn is_registry_settled(&self, now: Duration) -> bool {
        let settle_time = Duration::from_millis(self.settings.membership.settle_ms);
        self.leading_since.is_some_and(|since| now >= since + settle_time)
    }

    pub(super) fn admit_learner(
        &mut self,
        now: Duration,
        ticket: Ticket,
        identity: &str,
        out: &mut Vec<Action>,
    ) {
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
        self.step_consensus(now, consensus::Event::Propose(vec![payload]), out);
        out.push(Action::Answer(ticket, Answer::Done));
    }

    /// Proposes to remove a voter that a newer identity of the same control VM replaces or, if there is none, to
    /// make a caught-up learner a voter.
    ///
    /// A voter that has lost its disk can't vote any more, so a quorum of the others is no larger without it. With
    /// both identities as voters, the loss of one VM would count twice.
    fn propose_voter_change(&mut self, now: Duration, out: &mut Vec<Action>) {
        let (voters, learners) = self.node.journal().members();
        let members = || voters.iter().chain(&learners);
        let is_replaced = |m: &&String| members().any(|other| is_newer_identity(other, m));
        let replaced = members().find(is_replaced);
        let removal = replaced.and_then(|m| self.node.remove_member_payload(m));
        let payload = removal.or_else(|| learners.iter().find_map(|l| self.node.promote_learner_payload(l)));
        if let Some(payload) = payload {
            self.step_consensus(now, consensus::Event::Propose(vec![payload]), out);
        }
    }
}

/// Whether `new` and `old` are identities of one control VM, and `new` is the later one.
///
/// An identity is the name of the VM or, for a voter that joined later, `name~number`: the
/// hexadecimal number is the wall clock time at which it was created, in milliseconds.
fn is_newer_identity(new: &str, old: &str) -> bool {
    let split_identity = |identity: &str| -> (String, u64) {
        match identity.split_once('~') {
            Some((name, number)) => (name.to_owned(), u64::from_str_radix(number, 16).unwrap_or(0)),
            None => (identity.to_owned(), 0),
        }
    };
    let ((new_name, new_number), (old_name, old_number)) = (split_identity(new), split_identity(old));
    new_name == old_name && new_number > old_number
}
