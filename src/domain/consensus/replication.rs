//! Log replication: appends, acknowledgements, the commit index, snapshots and
//! membership changes.

use std::time::Duration;

use super::Message;
use super::Node;
use super::Payload;
use super::Record;
use super::Role;
use super::Snapshot;
use super::node::Action;

impl Node {
    /// Appends one record per payload; ignored unless this node leads and is not
    /// transferring leadership.
    pub(super) fn propose(&mut self, now: Duration, payloads: Vec<Payload>, out: &mut Vec<Action>) {
        if self.role != Role::Leader || self.transfer_started.is_some() || payloads.is_empty() {
            return;
        }
        let mut records = Vec::with_capacity(payloads.len());
        for payload in payloads {
            let record = Record {
                index: self.journal.last_index() + 1,
                term: self.hard_state.term,
                payload,
            };
            self.journal.push(record.clone());
            records.push(record);
        }
        out.push(Action::SaveRecords(records));
        self.refresh_progress();
        self.replicate(now, false, out);
        self.advance_commit();
    }

    /// Steps down if no quorum answers for `quorum_timeout`, counted from the election at the
    /// earliest, or a leadership transfer exceeds the election timeout; else sends due
    /// heartbeats.
    pub(super) fn tick_leader(&mut self, now: Duration, out: &mut Vec<Action>) {
        let quorum_timeout = self.timing.election_timeout() * 2;
        let contact = self.quorum_contact(now);
        let contact = contact.map_or(self.elected_at, |at| at.max(self.elected_at));
        if now > contact + quorum_timeout {
            self.become_follower(now, None);
            return;
        }
        if self
            .transfer_started
            .is_some_and(|since| now > since + self.timing.election_timeout())
        {
            // The successor may still receive the order to start an election, so this node
            // must not use its lease again.
            self.become_follower(now, None);
            return;
        }
        if now >= self.heartbeats_sent_at + self.timing.heartbeat_interval() {
            self.replicate(now, true, out);
        }
    }

    fn replicate(&mut self, now: Duration, is_heartbeat: bool, out: &mut Vec<Action>) {
        if is_heartbeat {
            self.heartbeats_sent_at = now;
        }
        let others: Vec<String> = self.progress.keys().cloned().collect();
        for to in others {
            self.send_append(now, &to, is_heartbeat, out);
        }
    }

    /// Sends `to` the records it lacks, or the snapshot when they are compacted.
    ///
    /// While earlier records or a snapshot are unacknowledged, no further ones are sent until
    /// `resend_after` has passed: a heartbeat then carries no records, and a member that needs
    /// a snapshot gets no heartbeat.
    fn send_append(&mut self, now: Duration, to: &str, is_heartbeat: bool, out: &mut Vec<Action>) {
        let resend_after = self.timing.heartbeat_interval() * 4;
        let sent_ms = now.as_millis() as u64;
        let Some(progress) = self.progress.get_mut(to) else {
            return;
        };
        let in_flight = progress
            .in_flight_since
            .is_some_and(|sent| now < sent + resend_after);
        let snapshot = self.journal.snapshot();
        if progress.next_index <= snapshot.index {
            if !in_flight {
                progress.in_flight_since = Some(now);
                let message = Message::Install {
                    term: self.hard_state.term,
                    snapshot: snapshot.clone(),
                    sent_ms,
                };
                out.push(Action::Send {
                    to: to.to_owned(),
                    message,
                });
            }
            return;
        }
        let mut records = Vec::new();
        if !in_flight {
            let range = self.journal.range(progress.next_index, self.timing.batch_records);
            records = range.to_vec();
        }
        if records.is_empty() && !is_heartbeat {
            return;
        }
        let previous_index = progress.next_index - 1;
        if !records.is_empty() {
            progress.in_flight_since = Some(now);
        }
        let message = Message::Append {
            term: self.hard_state.term,
            previous_index,
            previous_term: self.journal.term_at(previous_index).unwrap_or(0),
            records,
            commit: self.commit_index,
            sent_ms,
        };
        out.push(Action::Send {
            to: to.to_owned(),
            message,
        });
    }

    pub(super) fn on_append(&mut self, now: Duration, from: &str, message: Message, out: &mut Vec<Action>) {
        let Message::Append {
            term,
            previous_index,
            previous_term,
            records,
            commit,
            sent_ms,
        } = message
        else {
            return;
        };
        if !self.accept_leader(now, from, term, sent_ms, out) {
            return;
        }
        let snapshot_index = self.journal.snapshot().index;
        let is_consistent =
            previous_index < snapshot_index || self.journal.term_at(previous_index) == Some(previous_term);
        if !is_consistent {
            let probe_index = self.journal.last_index().min(previous_index.saturating_sub(1));
            let probe_index = probe_index.max(self.commit_index);
            self.acknowledge(from, false, probe_index, sent_ms, out);
            return;
        }
        let match_index = previous_index + records.len() as u64;
        let missing = self.missing_records(records);
        if !missing.is_empty() {
            for record in &missing {
                self.journal.push(record.clone());
            }
            out.push(Action::SaveRecords(missing));
        }
        let match_index = match_index.max(snapshot_index);
        self.commit_index = self.commit_index.max(commit.min(match_index));
        self.acknowledge(from, true, match_index, sent_ms, out);
    }

    /// Those of `records` that the log lacks; truncates the log at the first conflict.
    fn missing_records(&mut self, records: Vec<Record>) -> Vec<Record> {
        let snapshot_index = self.journal.snapshot().index;
        let mut remaining = records
            .into_iter()
            .skip_while(|r| r.index <= snapshot_index)
            .peekable();
        while let Some(record) = remaining.peek() {
            match self.journal.term_at(record.index) {
                Some(term) if term == record.term => {
                    remaining.next();
                }
                Some(_) => {
                    assert!(
                        record.index > self.commit_index,
                        "a committed record never changes"
                    );
                    self.journal.truncate(record.index);
                    break;
                }
                None => break,
            }
        }
        remaining.collect()
    }

    /// Follows the sender as leader of `term`, or rejects a leader of an older term.
    ///
    /// Returns whether the sender is the leader.
    fn accept_leader(
        &mut self,
        now: Duration,
        from: &str,
        term: u64,
        sent_ms: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        if term < self.hard_state.term {
            self.acknowledge(from, false, self.journal.last_index(), sent_ms, out);
            return false;
        }
        self.adopt_term(now, term, out);
        assert!(self.role != Role::Leader, "a term has one leader");
        self.become_follower(now, Some(from.to_owned()));
        self.last_leader_contact = now;
        true
    }

    fn acknowledge(&self, to: &str, stored: bool, index: u64, sent_ms: u64, out: &mut Vec<Action>) {
        let message = Message::Acknowledge {
            term: self.hard_state.term,
            stored,
            index,
            sent_ms,
        };
        out.push(Action::Send {
            to: to.to_owned(),
            message,
        });
    }

    pub(super) fn on_acknowledge(
        &mut self,
        now: Duration,
        from: &str,
        (term, stored, index, sent_ms): (u64, bool, u64, u64),
        out: &mut Vec<Action>,
    ) {
        self.adopt_term(now, term, out);
        if self.role != Role::Leader || term != self.hard_state.term {
            return;
        }
        let last_index = self.journal.last_index();
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        let sent = Duration::from_millis(sent_ms);
        progress.last_contact = progress.last_contact.max(Some(sent));
        if stored {
            progress.match_index = progress.match_index.max(Some(index));
            progress.next_index = progress.next_index.max(index + 1);
            if progress
                .in_flight_since
                .is_some_and(|since| since.as_millis() as u64 <= sent_ms)
            {
                progress.in_flight_since = None;
            }
        } else {
            // A late rejection must not go back below the known match; the member's log may be
            // longer than this one.
            let known_match = progress.match_index.unwrap_or(0);
            progress.next_index = (index.max(known_match) + 1).min(last_index + 1);
            progress.in_flight_since = None;
        }
        self.advance_commit();
        self.send_append(now, from, false, out);
    }

    /// Commits up to the highest index that a quorum holds, if that record is of this term.
    ///
    /// A record of an older term is committed only along with a newer one: until then
    /// another leader may still replace it, even if a quorum holds it.
    fn advance_commit(&mut self) {
        let mut match_indexes: Vec<u64> = self
            .voters()
            .iter()
            .map(|v| match self.progress.get(v) {
                Some(progress) => progress.match_index.unwrap_or(0),
                None if *v == self.id => self.journal.last_index(),
                None => 0,
            })
            .collect();
        if match_indexes.is_empty() {
            return;
        }
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let index = match_indexes[match_indexes.len() / 2];
        if index > self.commit_index && self.journal.term_at(index) == Some(self.hard_state.term) {
            self.commit_index = index;
        }
    }

    /// Latest time, by the leader's clock, such that a quorum answered a message sent then or
    /// later; none if a quorum has answered none.
    pub(super) fn quorum_contact(&self, now: Duration) -> Option<Duration> {
        let mut contacts: Vec<Option<Duration>> = self
            .voters()
            .iter()
            .map(|v| match self.progress.get(v) {
                Some(progress) => progress.last_contact,
                None => (*v == self.id).then_some(now),
            })
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(contacts.len() / 2).copied().flatten()
    }

    pub(super) fn on_install(
        &mut self,
        now: Duration,
        from: &str,
        term: u64,
        snapshot: Snapshot,
        sent_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.accept_leader(now, from, term, sent_ms, out) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit_index {
            self.journal.compact(snapshot.clone());
            self.commit_index = index;
            self.applied_index = index;
            out.push(Action::SaveSnapshot(snapshot.clone()));
            out.push(Action::Restore(snapshot));
        }
        self.acknowledge(from, true, index, sent_ms, out);
    }

    /// Payload that adds `learner`, or `None` if it is already a member or while another
    /// membership change is not committed.
    pub fn add_learner_payload(&self, learner: &str) -> Option<Payload> {
        let (voters, mut learners) = self.journal.members();
        if !self.is_membership_committed() || voters.iter().chain(&learners).any(|m| m == learner) {
            return None;
        }
        learners.push(learner.to_owned());
        Some(Payload::Members { voters, learners })
    }

    /// Payload that makes `learner` a voter, or `None` if it is not a learner that has caught
    /// up or while another membership change is not committed.
    pub fn promote_learner_payload(&self, learner: &str) -> Option<Payload> {
        let (mut voters, mut learners) = self.journal.members();
        let is_learner = learners.iter().any(|l| l == learner);
        if !self.is_membership_committed() || !is_learner || !self.is_caught_up(learner) {
            return None;
        }
        learners.retain(|l| l != learner);
        voters.push(learner.to_owned());
        Some(Payload::Members { voters, learners })
    }

    /// Payload that removes `id`, or `None` if `id` is this node or the last voter, or while
    /// another membership change is not committed.
    pub fn remove_member_payload(&self, id: &str) -> Option<Payload> {
        let (mut voters, mut learners) = self.journal.members();
        if !self.is_membership_committed() || id == self.id {
            return None;
        }
        voters.retain(|v| v != id);
        learners.retain(|l| l != id);
        if voters.is_empty() {
            return None;
        }
        Some(Payload::Members { voters, learners })
    }
}
