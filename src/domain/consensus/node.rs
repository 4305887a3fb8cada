//! State of one node and the dispatch of its events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::HardState;
use super::Journal;
use super::Message;
use super::Payload;
use super::Record;
use super::Snapshot;
use super::Timing;

/// Role of a node in its current term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Receives records from the leader.
    Follower,
    /// Asks in the pre-vote round whether an election could succeed.
    PreCandidate,
    /// Asks for votes in an election.
    Candidate,
    /// Appends records and replicates them.
    Leader,
}

/// Input to [`Node::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Passage of time; expected at least once per heartbeat interval.
    Tick,
    /// Message from another node.
    Receive {
        /// Identity of the sender.
        from: String,
        /// The message.
        message: Message,
    },
    /// Payloads to append in one batch; ignored unless this node leads and is not
    /// transferring leadership.
    Propose(Vec<Payload>),
    /// State at an applied index, as a snapshot that replaces the log up to there.
    Compact {
        /// Index of the last record that the state includes.
        index: u64,
        /// State of the replicated state machine, in the caller's encoding.
        state: String,
    },
    /// Transfer leadership to a voter that holds the whole log.
    TransferLeadership,
}

/// Output of [`Node::step`], to be executed in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Make term and vote durable.
    SaveHardState(HardState),
    /// Remove stored records from the first one's index on, then make these durable.
    SaveRecords(Vec<Record>),
    /// Make a snapshot durable and remove the records that it covers.
    SaveSnapshot(Snapshot),
    /// Replace the applied state by that of the snapshot.
    Restore(Snapshot),
    /// Send a message; it may be lost.
    Send {
        /// Identity of the receiver.
        to: String,
        /// The message.
        message: Message,
    },
    /// Apply a committed record.
    Apply(Record),
}

/// Durable state from which a node restarts.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Term and vote.
    pub hard_state: HardState,
    /// Last snapshot; before the first one, an empty one at index 0 that names the initial
    /// members.
    pub snapshot: Snapshot,
    /// Records after the snapshot.
    pub records: Vec<Record>,
}

/// What the leader knows about the log of one other member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the next record to send.
    pub(super) next_index: u64,
    /// Highest index up to which the member has confirmed that its log matches the leader's; none before it has
    /// confirmed any to this leader.
    pub(super) match_index: Option<u64>,
    /// Leader's clock when it sent the latest message that the member answered.
    pub(super) last_contact: Option<Duration>,
    /// When records or a snapshot were sent that the member has not acknowledged.
    pub(super) in_flight_since: Option<Duration>,
}

/// One node of the replicated log.
#[derive(Clone, Debug)]
pub struct Node {
    pub(super) id: String,
    pub(super) timing: Timing,
    pub(super) hard_state: HardState,
    pub(super) journal: Journal,
    pub(super) role: Role,
    pub(super) leader: Option<String>,
    pub(super) commit_index: u64,
    pub(super) applied_index: u64,
    /// When the last message of a leader of the current term arrived; the start of the process
    /// counts as one.
    pub(super) last_leader_contact: Duration,
    /// When a node that is not the leader starts a pre-vote round.
    pub(super) election_deadline: Duration,
    /// Voters that granted the current pre-vote or vote, this node included.
    pub(super) votes_received: BTreeSet<String>,
    /// Replication progress of each other member; empty unless this node leads.
    pub(super) progress: BTreeMap<String, Progress>,
    /// When this node last became leader, or its start.
    pub(super) elected_at: Duration,
    /// When this node, as leader, last sent heartbeats, or its start.
    pub(super) heartbeats_sent_at: Duration,
    /// When this leader ordered another voter to start an election.
    pub(super) transfer_started: Option<Duration>,
    /// Seed of the random part of the election timeout.
    pub(super) election_seed: u64,
}

impl Node {
    /// Node that starts from its durable state at time `now`, as a follower.
    ///
    /// `seed` varies the random part of its election timeouts.
    pub fn new(id: &str, timing: Timing, recovery: Recovery, now: Duration, seed: u64) -> Self {
        let snapshot_index = recovery.snapshot.index;
        let mut node = Node {
            id: id.to_owned(),
            timing,
            hard_state: recovery.hard_state,
            journal: Journal::new(recovery.snapshot, recovery.records),
            role: Role::Follower,
            leader: None,
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            last_leader_contact: now,
            election_deadline: now,
            votes_received: BTreeSet::new(),
            progress: BTreeMap::new(),
            elected_at: now,
            heartbeats_sent_at: now,
            transfer_started: None,
            election_seed: seed,
        };
        node.reset_election_deadline(now);
        node
    }

    /// Handles one event and returns the actions to execute, in order.
    ///
    /// Panics when the step violated a safety invariant of the protocol.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let before = self.baseline();
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Receive { from, message } => self.receive(now, &from, message, &mut out),
            Event::Propose(payloads) => self.propose(now, payloads, &mut out),
            Event::Compact { index, state } => self.compact(index, state, &mut out),
            Event::TransferLeadership => self.transfer_leadership(now, &mut out),
        }
        self.apply_committed(&mut out);
        self.check_invariants(&before);
        out
    }

    /// Identity of this node.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Leader of the current term, when known.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Index of the last committed record.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Replicated log in memory.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Identities of the voters.
    pub fn voters(&self) -> Vec<String> {
        self.journal.members().0
    }

    /// Whether `id` has confirmed the log up to what is committed; false unless this node leads.
    pub fn is_caught_up(&self, id: &str) -> bool {
        let match_index = self.progress.get(id).and_then(|p| p.match_index);
        match_index.is_some_and(|index| index >= self.commit_index)
    }

    /// Leader's clock when it sent the latest message that `id` answered.
    pub fn last_contact(&self, id: &str) -> Option<Duration> {
        self.progress.get(id).and_then(|p| p.last_contact)
    }

    /// Whether the latest membership change is committed.
    pub fn is_membership_committed(&self) -> bool {
        self.journal.members_index() <= self.commit_index
    }

    /// Whether this node leads, holds its lease at `now`, and has committed in its term.
    ///
    /// While this is true, no other node can have committed a newer record, so the
    /// applied state may be read without contacting a quorum.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.role == Role::Leader
            && self.transfer_started.is_none()
            && self.journal.term_at(self.commit_index) == Some(self.hard_state.term)
            && self
                .quorum_contact(now)
                .is_some_and(|at| now < at + self.timing.lease_duration())
    }

    pub(super) fn receive(&mut self, now: Duration, from: &str, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::RequestVote { .. } => self.on_request_vote(now, from, message, out),
            Message::VoteResponse { term, pre, granted } => {
                self.on_vote_response(now, from, term, pre, granted, out)
            }
            Message::Append { .. } => self.on_append(now, from, message, out),
            Message::Acknowledge {
                term,
                stored,
                index,
                sent_ms,
            } => self.on_acknowledge(now, from, (term, stored, index, sent_ms), out),
            Message::Install {
                term,
                snapshot,
                sent_ms,
            } => self.on_install(now, from, term, snapshot, sent_ms, out),
            Message::Campaign { term } => self.on_campaign(now, term, out),
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.role == Role::Leader {
            self.tick_leader(now, out);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now, out);
        }
    }

    /// Becomes a follower in `term` if that is newer than the current term.
    pub(super) fn adopt_term(&mut self, now: Duration, term: u64, out: &mut Vec<Action>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            out.push(Action::SaveHardState(self.hard_state.clone()));
            self.become_follower(now, None);
        }
    }

    pub(super) fn become_follower(&mut self, now: Duration, leader: Option<String>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.transfer_started = None;
        self.progress.clear();
        self.votes_received.clear();
        self.reset_election_deadline(now);
    }

    /// Restarts the election timeout; its random part comes from identity, term, time and seed.
    pub(super) fn reset_election_deadline(&mut self, now: Duration) {
        let election_ms = self.timing.election_ms;
        let salt = format!("{}/{}/{}", self.id, self.hard_state.term, now.as_millis());
        let jitter_ms =
            xxhash_rust::xxh3::xxh3_64_with_seed(salt.as_bytes(), self.election_seed) % election_ms.max(1);
        // Before the first term there is no leader to disturb, so the first election starts sooner.
        let timeout_ms = if self.hard_state.term == 0 {
            jitter_ms / 2
        } else {
            election_ms + jitter_ms
        };
        self.election_deadline = now + Duration::from_millis(timeout_ms);
    }

    fn apply_committed(&mut self, out: &mut Vec<Action>) {
        while self.applied_index < self.commit_index {
            let Some(record) = self.journal.get(self.applied_index + 1) else {
                break;
            };
            out.push(Action::Apply(record.clone()));
            self.applied_index += 1;
        }
    }

    fn compact(&mut self, index: u64, state: String, out: &mut Vec<Action>) {
        assert!(
            index <= self.applied_index,
            "a snapshot includes applied records only"
        );
        let Some(term) = self.journal.term_at(index) else {
            return;
        };
        if index <= self.journal.snapshot().index {
            return;
        }
        let (voters, learners) = self.journal.members_at(index);
        let snapshot = Snapshot {
            index,
            term,
            voters,
            learners,
            state,
        };
        self.journal.compact(snapshot.clone());
        out.push(Action::SaveSnapshot(snapshot));
    }
}
