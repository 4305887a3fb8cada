//! Decisions of one controller, joined.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Answer;
use super::Call;
use super::Command;
use super::Document;
use super::Registry;
use super::State;
use super::Target;
use super::Timing;
use super::event::Action;
use super::event::Event;
use super::event::Note;
use super::event::Ticket;
use super::forming::Progress;
use super::log_membership;
use super::reports::Gateway;
use super::reports::Parked;
use crate::domain::consensus;
use crate::domain::consensus::Node;
use crate::domain::consensus::Payload;
use crate::domain::consensus::Recovery;
use crate::domain::consensus::Role;

/// Applied records between snapshots.
const SNAPSHOT_EVERY: u64 = 96;
/// Bytes of applied commands between snapshots, far below a controller's memory and disk; a
/// command may hold a whole catalog.
const SNAPSHOT_BYTES: usize = 8 << 20;
/// Time without a report after which a gateway no longer counts.
const GATEWAY_LOST: Duration = Duration::from_secs(20);

/// Waits for further VMs after which those that have come are used, before any traffic.
const MOST_WAITS: u32 = 4;

/// Order to load weights onto a spare's host.
pub(super) struct Staging {
    pub(super) model: String,
    pub(super) since: Duration,
}

/// Decisions of one controller.
pub struct Core {
    pub(super) node: Node,
    pub(super) timing: Timing,
    pub(super) state: State,
    pub(super) registry: Registry,
    pub(super) progress: BTreeMap<u64, Progress>,
    /// Spares that were ordered to load weights.
    pub(super) staging: BTreeMap<String, Staging>,
    /// VMs that were told to leave a dissolved group, with the time.
    pub(super) strays: BTreeMap<String, Duration>,
    pub(super) gateways: BTreeMap<String, Gateway>,
    /// When this leader first knew of each member.
    pub(super) known: BTreeMap<String, Duration>,
    pub(super) leading_since: Option<Duration>,
    pub(super) targets: Vec<Target>,
    pub(super) closed: Vec<String>,
    pub(super) revision: u64,
    /// Bumped with each change of zones, so that waiting gateways are told.
    pub(super) zone_changes: usize,
    /// Own proposals and who waits for them, by log index.
    waiting: BTreeMap<u64, Vec<Ticket>>,
    /// Own placement commands that are not applied yet.
    pub(super) pending: VecDeque<u64>,
    pub(super) parked: Vec<Parked>,
    retiring: bool,
    /// Bytes of the commands that were applied since the last snapshot.
    applied_bytes: usize,
    /// Whether a command was applied since the targets were renewed.
    targets_dirty: bool,
}

impl Core {
    /// Core of the controller `identity` that restarts from durable parts.
    pub fn new(
        identity: &str,
        timing: Timing,
        consensus_timing: consensus::Timing,
        restart: Recovery,
        now: Duration,
        seed: u64,
    ) -> Self {
        let state = State::restore(&restart.snapshot.state);
        let node = Node::new(identity, consensus_timing, restart, now, seed);
        Core {
            node,
            timing,
            state,
            registry: Registry::default(),
            progress: BTreeMap::new(),
            staging: BTreeMap::new(),
            strays: BTreeMap::new(),
            gateways: BTreeMap::new(),
            known: BTreeMap::new(),
            leading_since: None,
            targets: Vec::new(),
            closed: Vec::new(),
            revision: 0,
            zone_changes: 0,
            waiting: BTreeMap::new(),
            pending: VecDeque::new(),
            parked: Vec::new(),
            retiring: false,
            applied_bytes: 0,
            targets_dirty: false,
        }
    }

    /// Advances the core by one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => {
                self.consensus(now, consensus::Event::Tick, &mut out);
                self.tick(now, &mut out);
            }
            Event::Consensus { from, message } => {
                self.consensus(now, consensus::Event::Receive { from, message }, &mut out);
            }
            Event::Call { ticket, call } => self.call(now, ticket, call, &mut out),
            Event::Retire => self.retiring = true,
        }
        if self.targets_dirty && self.leads(now) {
            self.targets_dirty = false;
            self.renew_targets(now);
        }
        self.answer_parked(now, &mut out);
        out
    }

    /// Node of the replicated log.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Targets that gateways are told.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Whether this node may answer as the leader at `now`.
    pub fn leads(&self, now: Duration) -> bool {
        self.node.holds_lease(now)
    }

    /// Whether this node is a member of the log, as far as it knows.
    pub fn is_member(&self) -> bool {
        let (voters, learners) = self.node.journal().members();
        voters.iter().chain(&learners).any(|m| m == self.node.id())
    }

    /// Addresses of all members of the log.
    pub fn controllers(&self) -> Vec<String> {
        let (voters, learners) = self.node.journal().members();
        let all = voters.iter().chain(&learners);
        all.map(|m| log_membership::controller_address(m).to_owned())
            .collect()
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.compact(now, out);
        if !self.leads(now) {
            return;
        }
        if self.retiring {
            self.consensus(now, consensus::Event::TransferLeadership, out);
            return;
        }
        self.maintain_members(now, out);
        self.gateways.retain(|_, g| now < g.heard + GATEWAY_LOST);
        let oldest = now.saturating_sub(self.timing.forgotten());
        self.registry.forget(oldest);
        self.place(now, out);
    }

    fn call(&mut self, now: Duration, ticket: Ticket, call: Call, out: &mut Vec<Action>) {
        let is_for_leader = !matches!(call, Call::Catalog { .. });
        if is_for_leader && !self.leads(now) {
            out.push(self.redirect(ticket));
            return;
        }
        match call {
            Call::Catalog { above } => out.push(Action::Answer(ticket, self.catalog(above))),
            Call::Join { identity } => {
                self.join(now, &identity, out);
                out.push(Action::Answer(ticket, Answer::Done));
            }
            Call::Adopt(document) => self.adopt(now, ticket, document, out),
            Call::SetZone { zone, out: is_out } => {
                if self.state.zones_out.contains(&zone) == is_out && self.waiting.is_empty() {
                    out.push(Action::Answer(ticket, Answer::Done));
                    return;
                }
                let command = Command::SetZone { zone, out: is_out };
                self.propose(now, Some(ticket), command, out);
            }
            Call::Read => {
                let text = self.state.document.as_ref().map(|d| d.text.clone());
                out.push(Action::Answer(ticket, Answer::Text(text)));
            }
            Call::Announce(announcement) => {
                let id = announcement.id.clone();
                let is_draining = announcement.draining;
                if self.registry.hear(now, *announcement) {
                    if let Some(group) = self.state.group_of(&id)
                        && let Some(progress) = self.progress.get_mut(&group.epoch)
                    {
                        progress.refresh(&id);
                    }
                    self.place(now, out);
                }
                if is_draining {
                    self.answer_when_applied(ticket, out);
                } else {
                    out.push(Action::Answer(ticket, Answer::Done));
                }
            }
            Call::Leave { id } => {
                self.registry.leave(&id);
                self.place(now, out);
                self.answer_when_applied(ticket, out);
            }
            Call::Report(report) => self.report(now, ticket, *report),
        }
    }

    /// Catalog that this controller has applied, if it is newer than `above`.
    ///
    /// It need not be the newest one: the leader's table names the version in force, and
    /// gateways confirm no older one.
    fn catalog(&self, above: u64) -> Answer {
        let document = self.state.document.as_ref().filter(|d| d.version > above);
        Answer::Catalog(document.map(|d| d.raw.clone()))
    }

    /// Answers once the last proposal is applied: what it closes stays closed under any leader.
    fn answer_when_applied(&mut self, ticket: Ticket, out: &mut Vec<Action>) {
        match self.pending.back() {
            Some(index) => self.waiting.entry(*index).or_default().push(ticket),
            None => out.push(Action::Answer(ticket, Answer::Done)),
        }
    }

    fn adopt(&mut self, now: Duration, ticket: Ticket, document: Box<Document>, out: &mut Vec<Action>) {
        // What does not supersede the catalog in force changes nothing and is accepted.
        if self.state.document.is_some() && document.version <= self.state.version() {
            out.push(Action::Answer(ticket, Answer::Done));
            return;
        }
        let command = Command::Adopt(document);
        self.propose(now, Some(ticket), command, out);
    }

    pub(super) fn redirect(&self, ticket: Ticket) -> Action {
        let leader = self.node.leader().map(str::to_owned);
        // A leader without its lease cannot name anyone better.
        let leader = leader.filter(|l| l != self.node.id());
        Action::Answer(ticket, Answer::Redirect(leader))
    }

    /// Whether every VM has had time to announce itself to this leader.
    ///
    /// At the first start VMs come within a few seconds, in any order. What is planned for the first
    /// ones alone, such as weights of the smaller models, cannot be undone under traffic.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        let Some(since) = self.leading_since else {
            return false;
        };
        if self.state.has_traffic {
            return self.state.groups.is_empty() || now >= since + self.timing.settle();
        }
        let is_complete = now >= self.registry.newest() + self.timing.complete();
        is_complete || now >= since + self.timing.complete() * MOST_WAITS
    }

    pub(super) fn propose(
        &mut self,
        now: Duration,
        ticket: Option<Ticket>,
        command: Command,
        out: &mut Vec<Action>,
    ) {
        let index = self.node.journal().last_index() + 1;
        match ticket {
            Some(ticket) => self.waiting.entry(index).or_default().push(ticket),
            None => self.pending.push_back(index),
        }
        let text = serde_json::to_string(&command).expect("commands have string keys");
        let payload = Payload::Command(text);
        self.consensus(now, consensus::Event::Propose(vec![payload]), out);
    }

    pub(super) fn consensus(&mut self, now: Duration, event: consensus::Event, out: &mut Vec<Action>) {
        let actions = self.node.step(now, event);
        for action in actions {
            match action {
                consensus::Action::Apply(record) => self.apply(&record, out),
                consensus::Action::Restore(snapshot) => {
                    let restored = State::restore(&snapshot.state);
                    assert!(restored.index >= self.state.index, "state never reverts");
                    self.state = restored;
                }
                other => out.push(Action::Consensus(other)),
            }
        }
        self.watch_leadership(now, out);
    }

    fn apply(&mut self, record: &consensus::Record, out: &mut Vec<Action>) {
        if let Payload::Command(text) = &record.payload {
            let command: Command = serde_json::from_str(text).expect("a committed command decodes");
            if matches!(command, Command::SetZone { .. }) {
                self.zone_changes += 1;
            }
            self.state.apply(record.index, &command);
            self.applied_bytes += text.len();
            self.targets_dirty = true;
            if self.leading_since.is_some() {
                out.push(Action::Note(Note::Committed(command)));
            }
        }
        self.pending.retain(|index| *index > record.index);
        if let Some(tickets) = self.waiting.remove(&record.index) {
            out.extend(tickets.into_iter().map(|t| Action::Answer(t, Answer::Done)));
        }
    }

    fn watch_leadership(&mut self, now: Duration, out: &mut Vec<Action>) {
        let leads = self.node.role() == Role::Leader;
        if leads && self.leading_since.is_none() {
            self.leading_since = Some(now);
            self.registry = Registry::default();
            self.progress.clear();
            self.staging.clear();
            self.strays.clear();
            self.known.clear();
            self.gateways.clear();
            self.targets.clear();
            self.closed.clear();
            self.revision = 0;
            self.targets_dirty = true;
            out.push(Action::Leadership(true));
        }
        if !leads && self.leading_since.is_some() {
            self.leading_since = None;
            self.pending.clear();
            let tickets: Vec<Ticket> = std::mem::take(&mut self.waiting)
                .into_values()
                .flatten()
                .collect();
            // The fate of these proposals is open; a resend is safe.
            out.extend(tickets.into_iter().map(|t| self.redirect(t)));
            out.push(Action::Leadership(false));
        }
    }

    fn compact(&mut self, now: Duration, out: &mut Vec<Action>) {
        let base = self.node.journal().snapshot().index;
        let applied = self.state.index;
        if applied < base + SNAPSHOT_EVERY && self.applied_bytes < SNAPSHOT_BYTES {
            return;
        }
        self.applied_bytes = 0;
        let state = serde_json::to_string(&self.state).expect("the state has string keys");
        let event = consensus::Event::Compact {
            index: applied,
            state,
        };
        self.consensus(now, event, out);
    }
}
