//! State of one voter and the dispatch of its events.

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

/// Part that a node plays in its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Receives records.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Appends records.
    Leader,
}

/// Input to [`Node::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Passage of time; expected at least every heartbeat interval.
    Tick,
    /// Message from another node.
    Receive {
        /// Identity of the sender.
        from: String,
        /// The message.
        message: Message,
    },
    /// Payloads to append in one batch; ignored unless leader.
    Propose(Vec<Payload>),
    /// State image at an applied index, for truncation of the log.
    Compact {
        /// Index of the last applied record in the image.
        index: u64,
        /// Encoded state.
        state: String,
    },
    /// Hand leadership to the most advanced voter.
    TransferLeadership,
}

/// Output of [`Node::step`], to be carried out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Make term and vote durable.
    SaveHardState(HardState),
    /// Make records durable after dropping those from the first one's index on.
    SaveRecords(Vec<Record>),
    /// Make a snapshot durable and drop the records before it.
    SaveSnapshot(Snapshot),
    /// Replace the state by the image in the snapshot.
    Restore(Snapshot),
    /// Send a message; loss is allowed.
    Send {
        /// Identity of the receiver.
        to: String,
        /// The message.
        message: Message,
    },
    /// Apply a committed record.
    Apply(Record),
}

/// Durable parts from which a node restarts.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Term and vote.
    pub hard_state: HardState,
    /// Last snapshot, which names the first members.
    pub snapshot: Snapshot,
    /// Records after the snapshot.
    pub records: Vec<Record>,
}

/// Replication state of one other node, at the leader.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) next: u64,
    pub(super) matched: u64,
    /// Leader's clock when it sent the latest message that was answered.
    pub(super) answered: Option<Duration>,
    /// Records sent and not yet answered, with the time of sending.
    pub(super) pending: Option<Duration>,
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
    pub(super) commit: u64,
    pub(super) applied: u64,
    /// Last time a valid leader was heard of; the start counts as one.
    pub(super) heard: Duration,
    pub(super) deadline: Duration,
    pub(super) ballots: BTreeSet<String>,
    pub(super) progress: BTreeMap<String, Progress>,
    pub(super) elected: Duration,
    pub(super) beat: Duration,
    pub(super) transferring: Option<Duration>,
    pub(super) seed: u64,
}

impl Node {
    /// Node that restarts from durable parts at time `now`.
    pub fn new(id: &str, timing: Timing, recovery: Recovery, now: Duration, seed: u64) -> Self {
        let base = recovery.snapshot.index;
        let mut node = Node {
            id: id.to_owned(),
            timing,
            hard_state: recovery.hard_state,
            journal: Journal::new(recovery.snapshot, recovery.records),
            role: Role::Follower,
            leader: None,
            commit: base,
            applied: base,
            heard: now,
            deadline: now,
            ballots: BTreeSet::new(),
            progress: BTreeMap::new(),
            elected: now,
            beat: now,
            transferring: None,
            seed,
        };
        node.reset_deadline(now);
        node
    }

    /// Advances the node by one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let before = self.mark();
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Receive { from, message } => self.receive(now, &from, message, &mut out),
            Event::Propose(payloads) => self.propose(now, payloads, &mut out),
            Event::Compact { index, state } => self.compact(index, state, &mut out),
            Event::TransferLeadership => self.transfer(now, &mut out),
        }
        self.deliver(&mut out);
        self.check(&before);
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
        self.commit
    }

    /// Log in memory.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Identities that vote.
    pub fn voters(&self) -> Vec<String> {
        self.journal.members().0
    }

    /// Whether `id` is in step with the leader's log, within one batch.
    pub fn is_caught_up(&self, id: &str) -> bool {
        let batch = self.timing.batch_records as u64;
        self.progress
            .get(id)
            .is_some_and(|p| p.matched + batch >= self.journal.last_index())
    }

    /// Leader's clock when it sent the latest message that `id` has answered.
    pub fn last_contact(&self, id: &str) -> Option<Duration> {
        self.progress.get(id).and_then(|p| p.answered)
    }

    /// Whether the latest membership change is committed.
    pub fn is_membership_committed(&self) -> bool {
        self.journal.members_index() <= self.commit
    }

    /// Whether this node leads, holds its lease at `now`, and has committed in its term.
    ///
    /// While this is true no other node can have committed anything newer, so the
    /// applied state may be read without a round of messages.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.role == Role::Leader
            && self.transferring.is_none()
            && self.journal.term_at(self.commit) == Some(self.hard_state.term)
            && now < self.quorum_contact(now) + self.timing.lease()
    }

    pub(super) fn receive(&mut self, now: Duration, from: &str, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Vote { .. } => self.on_vote(now, from, message, out),
            Message::Ballot { term, pre, granted } => self.on_ballot(now, from, term, pre, granted, out),
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
            self.lead(now, out);
        } else if now >= self.deadline {
            self.start_pre_vote(now, out);
        }
    }

    /// Moves to a newer term as follower.
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
        self.transferring = None;
        self.progress.clear();
        self.ballots.clear();
        self.reset_deadline(now);
    }

    /// Sets the next election time; the spread comes from identity, term and seed.
    pub(super) fn reset_deadline(&mut self, now: Duration) {
        let election = self.timing.election_ms;
        let salt = format!("{}/{}/{}", self.id, self.hard_state.term, now.as_millis());
        let spread = xxhash_rust::xxh3::xxh3_64_with_seed(salt.as_bytes(), self.seed) % election.max(1);
        // No leader can be disturbed before the first term, so the first election waits little.
        let wait = if self.hard_state.term == 0 {
            spread / 2
        } else {
            election + spread
        };
        self.deadline = now + Duration::from_millis(wait);
    }

    fn deliver(&mut self, out: &mut Vec<Action>) {
        while self.applied < self.commit {
            let Some(record) = self.journal.get(self.applied + 1) else {
                break;
            };
            out.push(Action::Apply(record.clone()));
            self.applied += 1;
        }
    }

    fn compact(&mut self, index: u64, state: String, out: &mut Vec<Action>) {
        assert!(index <= self.applied, "snapshot of applied state only");
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
