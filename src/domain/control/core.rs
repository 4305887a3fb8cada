//! State of a control process and the dispatch of its events.

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

/// Durations and limits of a control process.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Consensus.
    pub consensus: consensus::Timing,
    /// Sessions of entries.
    pub session: session::Timing,
    /// Presence of VMs.
    pub membership: membership::Timing,
    /// Placement.
    pub placement: placement::Settings,
}

/// An entry that waits for a change.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) session: String,
    pub(super) applied: u64,
    pub(super) until: Duration,
}

/// Control process without I/O.
#[derive(Clone, Debug)]
pub struct Core {
    pub(super) settings: Settings,
    pub(super) node: Node,
    pub(super) state: State,
    pub(super) registry: Registry,
    pub(super) sessions: Table,
    pub(super) orders: Orders,
    /// Waiting proposers by log index, with the term of their record.
    pub(super) tickets: BTreeMap<u64, (u64, Ticket)>,
    /// Own proposals that are not applied yet, by log index.
    pub(super) own: BTreeMap<u64, Command>,
    pub(super) waiting: Vec<Waiting>,
    /// Latest commands that entries need, by index.
    pub(super) recent: VecDeque<(u64, Command)>,
    pub(super) leading_since: Option<Duration>,
    pub(super) planned: Duration,
    pub(super) broken: usize,
    pub(super) stranded: u32,
    pub(super) retiring: bool,
}

impl Core {
    /// Control process that restarts from durable parts.
    pub fn new(id: &str, settings: Settings, recovery: Recovery, now: Duration, seed: u64) -> Self {
        let state = decode_state(&recovery.snapshot.state);
        Core {
            node: Node::new(id, settings.consensus.clone(), recovery, now, seed),
            settings,
            state,
            registry: Registry::default(),
            sessions: Table::default(),
            orders: Orders::default(),
            tickets: BTreeMap::new(),
            own: BTreeMap::new(),
            waiting: Vec::new(),
            recent: VecDeque::new(),
            leading_since: None,
            planned: now,
            broken: 0,
            stranded: 0,
            retiring: false,
        }
    }

    /// Advances the process by one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => {
                self.consensus(now, consensus::Event::Tick, &mut out);
                self.lead(now, &mut out);
            }
            Event::Consensus { from, message } => {
                self.consensus(now, consensus::Event::Receive { from, message }, &mut out);
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
                        Err(fault) => Answer::Refused(fault.to_string()),
                    };
                    out.push(Action::Answer(ticket, answer));
                }
            }
            Event::QueryStatus { ticket } => self.query(now, ticket, &mut out),
            Event::AddVoter { ticket, identity } => self.add_voter(now, ticket, &identity, &mut out),
            Event::Shutdown => {
                self.retiring = true;
                self.consensus(now, consensus::Event::TransferLeadership, &mut out);
            }
        }
        self.answer_parked(now, &mut out);
        out
    }

    /// Log of this process.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Applied state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this process leads and may answer from its state at `now`.
    pub fn leads(&self, now: Duration) -> bool {
        self.node.holds_lease(now)
    }

    /// Groups with a member missing, and accelerators outside complete groups.
    pub fn shortfall(&self) -> (usize, u32) {
        (self.broken, self.stranded)
    }

    pub(super) fn redirect(&self, ticket: Ticket) -> Action {
        let leader = self.node.leader().filter(|l| *l != self.node.id());
        Action::Answer(ticket, Answer::Redirect(leader.map(str::to_owned)))
    }

    fn propose(&mut self, now: Duration, batch: Vec<(Ticket, Command)>, out: &mut Vec<Action>) {
        if !self.leads(now) {
            out.extend(batch.iter().map(|(ticket, _)| self.redirect(*ticket)));
            return;
        }
        let first = self.node.journal().last_index() + 1;
        let term = self.node.term();
        let mut payloads = Vec::with_capacity(batch.len());
        for (offset, (ticket, command)) in batch.into_iter().enumerate() {
            self.tickets.insert(first + offset as u64, (term, ticket));
            payloads.push(encode(&command));
        }
        self.consensus(now, consensus::Event::Propose(payloads), out);
    }

    /// Proposes the leader's own commands, whose replies only the log file needs.
    pub(super) fn propose_own(&mut self, now: Duration, commands: Vec<Command>, out: &mut Vec<Action>) {
        if commands.is_empty() {
            return;
        }
        let first = self.node.journal().last_index() + 1;
        let payloads = commands.iter().map(encode).collect();
        for (offset, command) in commands.into_iter().enumerate() {
            self.own.insert(first + offset as u64, command);
        }
        self.consensus(now, consensus::Event::Propose(payloads), out);
    }

    pub(super) fn consensus(&mut self, now: Duration, event: consensus::Event, out: &mut Vec<Action>) {
        let actions = self.node.step(now, event);
        for action in actions {
            match action {
                consensus::Action::Apply(record) => self.apply(&record, out),
                consensus::Action::Restore(snapshot) => {
                    let restored = decode_state(&snapshot.state);
                    assert!(restored.index >= self.state.index, "state never reverts");
                    self.state = restored;
                    self.recent.clear();
                }
                other => out.push(Action::Consensus(other)),
            }
        }
        self.watch_leadership(now, out);
    }

    fn watch_leadership(&mut self, now: Duration, out: &mut Vec<Action>) {
        let leads = self.node.role() == Role::Leader;
        if leads && self.leading_since.is_none() {
            self.leading_since = Some(now);
            self.sessions.reset(now);
            self.orders.clear();
            self.registry = Registry::default();
            self.own.clear();
            out.push(Action::Leadership(true));
        }
        if !leads && self.leading_since.is_some() {
            self.leading_since = None;
            out.push(Action::Leadership(false));
            let tickets = std::mem::take(&mut self.tickets);
            out.extend(tickets.into_values().map(|(_, ticket)| self.redirect(ticket)));
            self.own.clear();
        }
    }
}

pub(super) fn encode(command: &Command) -> Payload {
    Payload::Command(serde_json::to_string(command).expect("commands have string keys"))
}

fn decode_state(text: &str) -> State {
    if text.is_empty() {
        return State::default();
    }
    serde_json::from_str(text).expect("a snapshot that was verified decodes")
}
