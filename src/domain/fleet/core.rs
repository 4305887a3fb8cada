//! Decision core of one controller: a state machine that takes events and returns actions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Answer;
use super::Call;
use super::Command;
use super::Document;
use super::Helpers;
use super::Registry;
use super::State;
use super::Target;
use super::TargetLog;
use super::Timing;
use super::digests::Peer;
use super::digests::Poll;
use super::event::Action;
use super::event::Event;
use super::event::Telemetry;
use super::event::Ticket;
use super::lifecycle::Lifecycle;
use super::log_membership;
use super::log_membership::Notice;
use super::proof::Proofs;
use super::quarantine::Quarantine;
use crate::domain::consensus;
use crate::domain::consensus::Node;
use crate::domain::consensus::Recovery;
use crate::domain::limit::Register;

/// Interval at which the groups are compared with the heartbeats when nothing has changed.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);
/// Heartbeat intervals for which a leader waits for further VMs at most while no request has ever
/// arrived.
const MAX_DISCOVERY_HEARTBEATS: u32 = 4;

/// Order to a free VM to load weights onto its host.
pub(super) struct Staging {
    pub(super) model: String,
    pub(super) ordered_at: Duration,
}

/// Shortest interval between two reconciliations for each known VM.
const RECONCILE_INTERVAL_PER_VM: Duration = Duration::from_micros(25);

/// Decision core of one controller.
pub struct Core {
    pub(super) node: Node,
    pub(super) timing: Timing,
    pub(super) state: State,
    pub(super) registry: Registry,
    /// Formation and closing of each group, by epoch.
    pub(super) lifecycles: BTreeMap<u64, Lifecycle>,
    /// Load orders in progress, by VM.
    pub(super) staging: BTreeMap<String, Staging>,
    /// Time of the last order to leave a dissolved group, by VM.
    pub(super) leave_orders_sent: BTreeMap<String, Duration>,
    /// Evidence on VMs whose process may have ended.
    pub(super) proofs: Proofs,
    /// Controllers with their latest digests, by address.
    pub(super) peers: BTreeMap<String, Peer>,
    /// Number of gateways that share limits, at least 1.
    pub(super) gateway_count: usize,
    /// When this leader first found each member in the log's membership, by identity.
    pub(super) member_first_seen: BTreeMap<String, Duration>,
    /// Notices of controllers that shut down, by identity.
    pub(super) shutdown_notices: BTreeMap<String, Notice>,
    /// When this node became leader; none while it follows.
    pub(super) leading_since: Option<Duration>,
    /// Last index of the log when this node became leader; groups up to it were formed by earlier leaders.
    pub(super) inherited_index: u64,
    /// Targets that gateways may send new requests to.
    pub(super) targets: TargetLog,
    /// Identifiers of heads, and of VMs without a group, that get no new requests.
    pub(super) closed: Vec<String>,
    /// Number of applied commands of which gateways must know soon, beside those that change targets or
    /// the catalog; when it rises, all waiting polls are answered.
    pub(super) urgent_changes: usize,
    /// Rate limits that targets have named.
    pub(super) limits: Register,
    /// Evidence against prompt parts.
    pub(super) quarantine: Quarantine,
    /// Callers that wait for a proposal to be applied, by the log index and term of its record.
    pub(super) waiting_callers: BTreeMap<(u64, u64), Vec<Ticket>>,
    /// Log indices of this leader's own proposals, without a caller, that are not applied yet.
    pub(super) own_proposals: VecDeque<u64>,
    /// Helpers among the gateways of all controllers.
    pub(super) helpers: Helpers,
    /// Digests of controllers that wait for an answer.
    pub(super) polls: Vec<Poll>,
    /// Whether the process is shutting down; a leader then transfers its leadership.
    shutting_down: bool,
    /// Bytes of the commands applied since the last snapshot.
    pub(super) applied_bytes: usize,
    /// Whether a command was applied, or a rate limit changed, since the targets were recomputed.
    pub(super) targets_dirty: bool,
    /// Whether heartbeats, reports or commands have changed what the groups depend on since the last
    /// reconciliation.
    pub(super) reconcile_due: bool,
    /// When the groups were last reconciled.
    reconciled_at: Duration,
}

impl Core {
    /// Core of the controller `identity`, restored from its durable state; `seed` is for the
    /// random draws of the consensus node.
    pub fn new(
        identity: &str,
        timing: Timing,
        consensus_timing: consensus::Timing,
        recovery: Recovery,
        now: Duration,
        seed: u64,
    ) -> Self {
        let state = State::restore(&recovery.snapshot.state);
        let node = Node::new(identity, consensus_timing, recovery, now, seed);
        Core {
            node,
            timing,
            state,
            registry: Registry::default(),
            lifecycles: BTreeMap::new(),
            staging: BTreeMap::new(),
            leave_orders_sent: BTreeMap::new(),
            proofs: Proofs::default(),
            peers: BTreeMap::new(),
            gateway_count: 1,
            member_first_seen: BTreeMap::new(),
            shutdown_notices: BTreeMap::new(),
            leading_since: None,
            inherited_index: 0,
            targets: TargetLog::default(),
            closed: Vec::new(),
            urgent_changes: 0,
            limits: Register::default(),
            quarantine: Quarantine::default(),
            waiting_callers: BTreeMap::new(),
            own_proposals: VecDeque::new(),
            helpers: Helpers::default(),
            polls: Vec::new(),
            shutting_down: false,
            applied_bytes: 0,
            targets_dirty: false,
            reconcile_due: false,
            reconciled_at: Duration::ZERO,
        }
    }

    /// Handles one event and returns the actions to execute, in order.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => {
                self.step_consensus(now, consensus::Event::Tick, &mut out);
                self.tick(now, &mut out);
            }
            Event::Consensus { from, message } => {
                self.step_consensus(now, consensus::Event::Receive { from, message }, &mut out);
            }
            Event::Call { ticket, call } => self.handle_call(now, ticket, call, &mut out),
            Event::Contact(contact) => self.record_contact(now, &contact),
            Event::Shutdown => self.shutting_down = true,
        }
        if self.targets_dirty && self.leads(now) {
            self.targets_dirty = false;
            self.recompute_targets(now);
        }
        self.answer_polls(now, &mut out);
        out
    }

    /// Consensus node of the replicated log.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Number of heartbeats that this leader has ignored because they contradict others.
    pub fn conflicting_heartbeats(&self) -> u64 {
        self.registry.conflicts()
    }

    /// Targets that gateways may send new requests to.
    pub fn targets(&self) -> Vec<Target> {
        self.targets.targets().cloned().collect()
    }

    /// Whether this node is the leader with a valid lease at `now`.
    pub fn leads(&self, now: Duration) -> bool {
        self.node.holds_lease(now)
    }

    /// Whether this node is a voter or learner according to its own copy of the log.
    pub fn is_member(&self) -> bool {
        let (voters, learners) = self.node.journal().members();
        voters.iter().chain(&learners).any(|m| m == self.node.id())
    }

    /// Addresses of all voters and learners of the log.
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
        if self.shutting_down {
            self.step_consensus(now, consensus::Event::TransferLeadership, out);
            return;
        }
        self.maintain_log_membership(now, out);
        self.answer_shutdown_notices(now, out);
        self.expire_peers(now);
        self.decide_quarantine(now, out);
        // At thousands of VMs one reconciliation takes milliseconds, so changes are gathered for longer.
        let shortest_interval = RECONCILE_INTERVAL_PER_VM * self.registry.len() as u32;
        let longest_interval = RECONCILE_INTERVAL.max(shortest_interval);
        let interval = if self.reconcile_due {
            shortest_interval
        } else {
            longest_interval
        };
        if now < self.reconciled_at + interval {
            return;
        }
        self.reconcile_due = false;
        self.reconciled_at = now;
        let silence_cutoff = now.saturating_sub(self.timing.vm_retention());
        self.registry.evict_silent(silence_cutoff);
        self.limits.retain(|id| self.registry.get(id).is_some());
        self.reconcile(now, out);
    }

    fn handle_call(&mut self, now: Duration, ticket: Ticket, call: Call, out: &mut Vec<Action>) {
        let is_for_leader = !matches!(call, Call::Catalog { .. });
        if is_for_leader && !self.leads(now) {
            out.push(self.redirect(ticket));
            return;
        }
        match call {
            Call::Catalog { above } => out.push(Action::Answer(ticket, self.newer_catalog(above))),
            Call::Join { identity } => {
                self.admit_learner(now, &identity, out);
                out.push(Action::Answer(ticket, Answer::Done));
            }
            Call::Depart { identity } => self.record_shutdown_notice(now, ticket, identity, out),
            Call::Adopt(document) => self.adopt_catalog(now, ticket, document, out),
            Call::SetZone { zone, out: is_out } => {
                // A proposal that is still pending may change the zone.
                if self.state.zones_out.contains(&zone) == is_out && self.waiting_callers.is_empty() {
                    out.push(Action::Answer(ticket, Answer::Done));
                    return;
                }
                if is_out && self.is_unnamed_zone(now, &zone) {
                    out.push(Action::Telemetry(Telemetry::UnnamedZone(zone.clone())));
                }
                let command = Command::SetZone { zone, out: is_out };
                self.propose(now, Some(ticket), command, out);
            }
            Call::Read => {
                let text = self.state.document.as_ref().map(|d| d.text.clone());
                out.push(Action::Answer(ticket, Answer::Text(text)));
            }
            Call::Announce(announcement) => {
                let is_draining = announcement.draining;
                self.record_heartbeat(now, Duration::ZERO, *announcement);
                if is_draining {
                    self.reconcile(now, out);
                    self.answer_when_applied(ticket, out);
                } else {
                    out.push(Action::Answer(ticket, Answer::Done));
                }
            }
            Call::Leave { id } => self.record_leave(now, ticket, id, out),
            Call::Digest(digest) => self.receive_digest(now, ticket, *digest),
            // The relay answers these.
            Call::Report(_) | Call::Withdraw { .. } | Call::Permit { .. } | Call::Pace(_) => {
                out.push(self.redirect(ticket))
            }
        }
    }

    /// Whether this leader knows the VMs, and none of them is in `zone`.
    fn is_unnamed_zone(&self, now: Duration, zone: &str) -> bool {
        let is_in_zone = |vm: &super::Vm| vm.announcement.zone == zone;
        self.is_discovery_complete(now) && !self.registry.iter().any(is_in_zone)
    }

    /// Catalog that this controller has applied, if it is newer than `above`.
    ///
    /// A follower may lag behind. The leader's routing table names the version in force, and a
    /// gateway with an older one does not renew its lease on the catalog.
    fn newer_catalog(&self, above: Option<u64>) -> Answer {
        let document = self.state.document.as_ref().filter(|d| Some(d.version) > above);
        Answer::Catalog(document.map(|d| d.raw.clone()))
    }

    fn adopt_catalog(
        &mut self,
        now: Duration,
        ticket: Ticket,
        document: Box<Document>,
        out: &mut Vec<Action>,
    ) {
        // A version that is not newer changes nothing. It is accepted, so a retried call succeeds.
        if Some(document.version) <= self.state.version() {
            out.push(Action::Answer(ticket, Answer::Done));
            return;
        }
        let command = Command::Adopt(document);
        self.propose(now, Some(ticket), command, out);
    }

    pub(super) fn redirect(&self, ticket: Ticket) -> Action {
        let leader = self.node.leader().map(str::to_owned);
        // A leader whose lease has expired must not redirect the caller to itself.
        let leader = leader.filter(|l| l != self.node.id());
        Action::Answer(ticket, Answer::Redirect(leader))
    }

    /// Whether this leader has waited long enough for heartbeats to plan groups.
    ///
    /// Once requests have arrived, it waits for [`Timing::leader_discovery_time`], or not at all when
    /// there is no group. Before that, it waits until no new VM has appeared for a heartbeat interval:
    /// at the first start VMs appear within a few seconds, in any order, and a plan made for the first
    /// ones alone, such as to load the weights of smaller models, cannot be undone under traffic.
    pub(super) fn is_discovery_complete(&self, now: Duration) -> bool {
        let Some(since) = self.leading_since else {
            return false;
        };
        if self.state.has_traffic {
            return self.state.groups.is_empty() || now >= since + self.timing.leader_discovery_time();
        }
        let is_quiet = now >= self.registry.last_arrival() + self.timing.arrival_quiet_time();
        is_quiet || now >= since + self.timing.arrival_quiet_time() * MAX_DISCOVERY_HEARTBEATS
    }
}
