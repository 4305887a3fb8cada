//! Appending, acknowledgement, commitment and snapshots.

use std::time::Duration;

use super::Message;
use super::Node;
use super::Payload;
use super::Record;
use super::Role;
use super::Snapshot;
use super::node::Action;

impl Node {
    pub(super) fn propose(&mut self, now: Duration, payloads: Vec<Payload>, out: &mut Vec<Action>) {
        if self.role != Role::Leader || self.transferring.is_some() || payloads.is_empty() {
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

    /// Leader's share of a tick: step down without a quorum, else heartbeat.
    pub(super) fn lead(&mut self, now: Duration, out: &mut Vec<Action>) {
        let grace = self.timing.election() * 2;
        if now > self.quorum_contact(now).max(self.elected) + grace {
            self.become_follower(now, None);
            return;
        }
        if self
            .transferring
            .is_some_and(|since| now > since + self.timing.election())
        {
            // The order to campaign may still be on its way, so the lease cannot resume.
            self.become_follower(now, None);
            return;
        }
        if now >= self.beat + self.timing.heartbeat() {
            self.replicate(now, true, out);
        }
    }

    fn replicate(&mut self, now: Duration, beat: bool, out: &mut Vec<Action>) {
        if beat {
            self.beat = now;
        }
        let others: Vec<String> = self.progress.keys().cloned().collect();
        for to in others {
            self.send_append(now, &to, beat, out);
        }
    }

    fn send_append(&mut self, now: Duration, to: &str, beat: bool, out: &mut Vec<Action>) {
        let resend = self.timing.heartbeat() * 4;
        let sent_ms = now.as_millis() as u64;
        let Some(progress) = self.progress.get_mut(to) else {
            return;
        };
        let waiting = progress.pending.is_some_and(|sent| now < sent + resend);
        let snapshot = self.journal.snapshot();
        if progress.next <= snapshot.index {
            if !waiting {
                progress.pending = Some(now);
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
        if !waiting {
            let range = self.journal.range(progress.next, self.timing.batch_records);
            records = range.to_vec();
        }
        if records.is_empty() && !beat {
            return;
        }
        let previous_index = progress.next - 1;
        if !records.is_empty() {
            progress.pending = Some(now);
        }
        let message = Message::Append {
            term: self.hard_state.term,
            previous_index,
            previous_term: self.journal.term_at(previous_index).unwrap_or(0),
            records,
            commit: self.commit,
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
        if !self.follow(now, from, term, sent_ms, out) {
            return;
        }
        let snapshot_index = self.journal.snapshot().index;
        let known =
            previous_index < snapshot_index || self.journal.term_at(previous_index) == Some(previous_term);
        if !known {
            let hint = self.journal.last_index().min(previous_index.saturating_sub(1));
            let hint = hint.max(self.commit);
            self.acknowledge(from, false, hint, sent_ms, out);
            return;
        }
        let reach = previous_index + records.len() as u64;
        let fresh = self.fresh_records(records);
        if !fresh.is_empty() {
            for record in &fresh {
                self.journal.push(record.clone());
            }
            out.push(Action::SaveRecords(fresh));
        }
        let reach = reach.max(snapshot_index);
        self.commit = self.commit.max(commit.min(reach));
        self.acknowledge(from, true, reach, sent_ms, out);
    }

    /// Records that are not held yet; a conflicting tail is dropped first.
    fn fresh_records(&mut self, records: Vec<Record>) -> Vec<Record> {
        let base = self.journal.snapshot().index;
        let mut rest = records.into_iter().skip_while(|r| r.index <= base).peekable();
        while let Some(record) = rest.peek() {
            match self.journal.term_at(record.index) {
                Some(term) if term == record.term => {
                    rest.next();
                }
                Some(_) => {
                    assert!(record.index > self.commit, "committed records never change");
                    self.journal.truncate(record.index);
                    break;
                }
                None => break,
            }
        }
        rest.collect()
    }

    /// Accepts the sender as leader of `term`; answers a stale one and returns false.
    fn follow(&mut self, now: Duration, from: &str, term: u64, sent_ms: u64, out: &mut Vec<Action>) -> bool {
        if term < self.hard_state.term {
            self.acknowledge(from, false, self.journal.last_index(), sent_ms, out);
            return false;
        }
        self.adopt_term(now, term, out);
        assert!(self.role != Role::Leader, "one leader in a term");
        self.become_follower(now, Some(from.to_owned()));
        self.heard = now;
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
        let last = self.journal.last_index();
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        let sent = Duration::from_millis(sent_ms);
        progress.answered = progress.answered.max(Some(sent));
        if stored {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index + 1);
            if progress.pending.is_some_and(|p| p.as_millis() as u64 <= sent_ms) {
                progress.pending = None;
            }
        } else {
            progress.next = (index + 1).max(progress.matched + 1).min(last + 1);
            progress.pending = None;
        }
        self.advance_commit();
        self.send_append(now, from, false, out);
    }

    /// Commits what a quorum holds, once a record of this term is among it.
    fn advance_commit(&mut self) {
        let mut held: Vec<u64> = self
            .voters()
            .iter()
            .map(|v| match self.progress.get(v) {
                Some(progress) => progress.matched,
                None if *v == self.id => self.journal.last_index(),
                None => 0,
            })
            .collect();
        if held.is_empty() {
            return;
        }
        held.sort_unstable_by(|a, b| b.cmp(a));
        let index = held[held.len() / 2];
        if index > self.commit && self.journal.term_at(index) == Some(self.hard_state.term) {
            self.commit = index;
        }
    }

    /// Latest time of sending that a quorum has answered, by the leader's clock.
    pub(super) fn quorum_contact(&self, now: Duration) -> Duration {
        let mut times: Vec<Duration> = self
            .voters()
            .iter()
            .map(|v| match self.progress.get(v) {
                Some(progress) => progress.answered.unwrap_or(Duration::ZERO),
                None if *v == self.id => now,
                None => Duration::ZERO,
            })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(times.len() / 2).copied().unwrap_or(Duration::ZERO)
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
        if !self.follow(now, from, term, sent_ms, out) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit {
            self.journal.compact(snapshot.clone());
            self.commit = index;
            self.applied = index;
            out.push(Action::SaveSnapshot(snapshot.clone()));
            out.push(Action::Restore(snapshot));
        }
        self.acknowledge(from, true, index, sent_ms, out);
    }

    /// Payload that adds `learner`, or `None` while a change is open.
    pub fn add_learner_payload(&self, learner: &str) -> Option<Payload> {
        let (voters, mut learners) = self.journal.members();
        if !self.is_membership_committed() || voters.iter().chain(&learners).any(|m| m == learner) {
            return None;
        }
        learners.push(learner.to_owned());
        Some(Payload::Members { voters, learners })
    }

    /// Payload that makes a caught-up learner a voter, or `None` while that is unsafe.
    pub fn promote_learner_payload(&self, learner: &str) -> Option<Payload> {
        let (mut voters, mut learners) = self.journal.members();
        let known = learners.iter().any(|l| l == learner);
        if !self.is_membership_committed() || !known || !self.is_caught_up(learner) {
            return None;
        }
        learners.retain(|l| l != learner);
        voters.push(learner.to_owned());
        Some(Payload::Members { voters, learners })
    }

    /// Payload that removes `id`, or `None` while a change is open or `id` leads.
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
