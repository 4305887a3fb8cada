//! In-memory state of a control process and the dispatch of its events.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Action;
use super::Answer;
use super::Event;
use super::Ticket;
use crate::domain::consensus;
use crate::domain::consensus::Node;
use crate::domain::consensus::Payload;
use crate::domain::consensus::Recovery;
use crate::domain::consensus::Role;
use crate::domain::membership;
use crate::domain::membership::Registry;
use crate::domain::placement;
use crate::domain::placement::Orders;
use crate::domain::session;
use crate::domain::session::Table;
use crate::domain::state::Command;
use crate::domain::state::State;

/// Settings of a control process, by component.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Timing of the consensus protocol.
    pub consensus: consensus::Timing,
    /// Timing of the sessions of entries.
    pub session: session::Timing,
    /// Timing of the announcements of VMs.
    pub membership: membership::Timing,
    /// Placement of replica groups.
    pub placement: placement::Settings,
}

/// Long poll of an entry for changes of the state.
#[derive(Clone, Debug)]
pub(super) struct Poll {
    pub(super) ticket: Ticket,
    pub(super) session: String,
    /// Index that the entry has applied.
    pub(super) applied: u64,
    /// When the poll is answered without a change.
    pub(super) deadline: Duration,
}

/// Logic and state of a control process, without I/O.
#[derive(Clone, Debug)]
pub struct Core {
    pub(super) settings: Settings,
    pub(super) node: Node,
    pub(super) state: State,
    pub(super) registry: Registry,
    pub(super) sessions: Table,
    pub(super) orders: Orders,
    /// Proposals of clients that wait for an answer: term and ticket by log index.
    pub(super) client_proposals: BTreeMap<u64, (u64, Ticket)>,
    /// The leader's own proposals that are not applied yet, by log index.
    pub(super) own_proposals: BTreeMap<u64, Command>,
    pub(super) polls: Vec<Poll>,
    /// Last applied commands that entries need, with their log index, oldest first.
    pub(super) recent_commands: VecDeque<(u64, Command)>,
    /// When this process became leader, with or without a lease; `None` unless it leads.
    pub(super) leading_since: Option<Duration>,
    /// When the leader last planned ownership and placement.
    pub(super) last_planned: Duration,
    /// Groups with a member missing, by the last plan.
    pub(super) broken_groups: usize,
    /// Accelerators outside ready groups, by the last plan.
    pub(super) stranded_accelerators: u32,
    pub(super) shutting_down: bool,
}

impl Core {
    /// Control process that starts from its durable state at time `now`.
    ///
    /// `seed` varies the random part of its election timeouts.
    pub fn new(id: &str, settings: Settings, recovery: Recovery, now: Duration, seed: u64) -> Self {
        let state = decode_state(&recovery.snapshot.state);
        Core {
            node: Node::new(id, settings.consensus.clone(), recovery, now, seed),
            settings,
            state,
            registry: Registry::default(),
            sessions: Table::default(),
            orders: Orders::default(),
            client_proposals: BTreeMap::new(),
            own_proposals: BTreeMap::new(),
            polls: Vec::new(),
            recent_commands: VecDeque::new(),
            leading_since: None,
            last_planned: now,
            broken_groups: 0,
            stranded_accelerators: 0,
            shutting_down: false,
        }
    }

    /// Handles one event and returns the actions to execute, in order.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => {
                self.step_consensus(now, consensus::Event::Tick, &mut out);
                self.tick_leader(now, &mut out);
            }
            Event::Consensus { from, message } => {
                self.step_consensus(now, consensus::Event::Receive { from, message }, &mut out);
            }
            Event::Propose(batch) => self.propose(now, batch, &mut out),
            Event::Sync { .. } => self.sync(now, event, &mut out),
            Event::Announce { ticket, announcement } => {
                if !self.leads(now) {
                    out.push(self.redirect(ticket));
                } else {
                    let timing = &self.settings.membership;
                    let answer = match self.registry.announce(now, timing, announcement) {
                        Ok(()) => Answer::Done,
                        Err(error) => Answer::Refused(error.to_string()),
                    };
                    out.push(Action::Answer(ticket, answer));
                }
            }
            Event::QueryStatus { ticket } => self.query_status(now, ticket, &mut out),
            Event::AddVoter { ticket, identity } => self.admit_learner(now, ticket, &identity, &mut out),
            Event::Shutdown => {
                self.shutting_down = true;
                self.step_consensus(now, consensus::Event::TransferLeadership, &mut out);
            }
        }
        self.answer_polls(now, &mut out);
        out
    }

    /// Node of the replicated log in this process.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Replicated state, up to the last applied record.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this process leads and holds its lease at `now`, so that it may answer from its
    /// applied state.
    pub fn leads(&self, now: Duration) -> bool {
        self.node.holds_lease(now)
    }

    /// Number of groups with a member missing, and of accelerators outside ready groups, by
    /// the leader's last plan.
    pub fn shortfall(&self) -> (usize, u32) {
        (self.broken_groups, self.stranded_accelerators)
    }

    /// Answer that redirects a request to the leader, if another node is known to lead.
    pub(super) fn redirect(&self, ticket: Ticket) -> Action {
        let leader = self.node.leader().filter(|l| *l != self.node.id());
        Action::Answer(ticket, Answer::Redirect(leader.map(str::to_owned)))
    }

    fn propose(&mut self, now: Duration, batch: Vec<(Ticket, Command)>, out: &mut Vec<Action>) {
        if !self.leads(now) {
            out.extend(batch.iter().map(|(ticket, _)| self.redirect(*ticket)));
            return;
        }
        let first_index = self.node.journal().last_index() + 1;
        let term = self.node.term();
        let mut payloads = Vec::with_capacity(batch.len());
        for (offset, (ticket, command)) in batch.into_iter().enumerate() {
            self.client_proposals
                .insert(first_index + offset as u64, (term, ticket));
            payloads.push(encode_command(&command));
        }
        self.step_consensus(now, consensus::Event::Propose(payloads), out);
    }

    /// Proposes the leader's own commands; their replies go to the log file only.
    pub(super) fn propose_own(&mut self, now: Duration, commands: Vec<Command>, out: &mut Vec<Action>) {
        if commands.is_empty() {
            return;
        }
        let first_index = self.node.journal().last_index() + 1;
        let payloads = commands.iter().map(encode_command).collect();
        for (offset, command) in commands.into_iter().enumerate() {
            self.own_proposals.insert(first_index + offset as u64, command);
        }
        self.step_consensus(now, consensus::Event::Propose(payloads), out);
    }

    pub(super) fn step_consensus(&mut self, now: Duration, event: consensus::Event, out: &mut Vec<Action>) {
        let actions = self.node.step(now, event);
        for action in actions {
            match action {
                consensus::Action::Apply(record) => self.apply(&record, out),
                consensus::Action::Restore(snapshot) => {
                    let restored = decode_state(&snapshot.state);
                    assert!(
                        restored.index >= self.state.index,
                        "a snapshot never restores an older state"
                    );
                    self.state = restored;
                    self.recent_commands.clear();
                }
                other => out.push(Action::Consensus(other)),
            }
        }
        self.update_leadership(now, out);
    }

    fn update_leadership(&mut self, now: Duration, out: &mut Vec<Action>) {
        let is_leader = self.node.role() == Role::Leader;
        if is_leader && self.leading_since.is_none() {
            self.leading_since = Some(now);
            self.sessions.reset(now);
            self.orders.clear();
            self.registry = Registry::default();
            self.own_proposals.clear();
            out.push(Action::Leadership(true));
        }
        if !is_leader && self.leading_since.is_some() {
            self.leading_since = None;
            out.push(Action::Leadership(false));
            let proposals = std::mem::take(&mut self.client_proposals);
            out.extend(proposals.into_values().map(|(_, ticket)| self.redirect(ticket)));
            self.own_proposals.clear();
        }
    }
}

pub(super) fn encode_command(command: &Command) -> Payload {
    Payload::Command(serde_json::to_string(command).expect("a command encodes as JSON"))
}

fn decode_state(text: &str) -> State {
    if text.is_empty() {
        return State::default();
    }
    serde_json::from_str(text).expect("a snapshot holds a state that compact encoded")
}
