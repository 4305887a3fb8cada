//! Further send of a request beside one whose answer is late.

use std::pin::pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::timeout;

use super::attempt::Head;
use super::delivery::Delivery;
use super::dispatch::Dispatch;
use super::dispatch::MIN_TIME_LEFT;
use super::dispatch::elapsed_ms;
use super::permit;
use super::send::Send;
use crate::adapters::clock;
use crate::domain::fleet::Target;
use crate::domain::gateway::Choice;
use crate::logging;

/// Time after which an answer's head counts as late, as a multiple of the route's latency objective.
const HEAD_TIMEOUT_GOALS: u32 = 4;
/// Lower bound of the time after which an answer's head counts as late.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval at which another target is looked for while an answer is late.
const SECOND_SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a permit of a further send while an answer is late.
const SECOND_SEND_WAIT: Duration = Duration::from_millis(20);

impl Dispatch<'_> {
    /// Sends the request to a target and, once the head of the answer is late, to another one, too.
    ///
    /// A target that is late may still answer, so its send goes on until another one has led to a whole answer.
    pub(super) async fn send(&mut self, target: Target) -> Delivery {
        let Some(first) = self.start(target) else {
            return Delivery::NotRun;
        };
        let mut first = pin!(first);
        if !self.may_add_send() {
            let (send, head) = first.await;
            let delivery = self.reader().read(send, head).await;
            return self.count(delivery);
        }
        if let Ok((send, head)) = timeout(self.head_timeout(), &mut first).await {
            let delivery = self.reader().read(send, head).await;
            return self.count(delivery);
        }
        self.record_silence();
        let has_head = AtomicBool::new(false);
        let reader = self.reader();
        let mut first = pin!(async {
            let (send, head) = first.await;
            has_head.store(true, Ordering::Relaxed);
            reader.read(send, head).await
        });
        loop {
            let second = match has_head.load(Ordering::Relaxed) {
                true => None,
                false => self.start_second().await,
            };
            let Some(second) = second else {
                match timeout(SECOND_SEND_INTERVAL, &mut first).await {
                    Ok(delivery) => return self.count(delivery),
                    Err(_) => continue,
                }
            };
            let reader = self.reader();
            let mut second = pin!(async {
                let (send, head) = second.await;
                reader.read(send, head).await
            });
            let (delivery, is_first) = tokio::select! {
                delivery = &mut first => (delivery, true),
                delivery = &mut second => (delivery, false),
            };
            let delivery = self.count(delivery);
            match (delivery, is_first) {
                (delivery @ (Delivery::Answer(_) | Delivery::Stream(..)), _) => {
                    // The other send ends here; its target may have executed the request.
                    self.runs += 1;
                    return delivery;
                }
                (failed, true) => {
                    self.record_failure(failed);
                    let delivery = second.await;
                    return self.count(delivery);
                }
                (failed, false) => self.record_failure(failed),
            }
        }
    }

    /// Whether the route allows another send beside the one in progress.
    fn may_add_send(&self) -> bool {
        self.request.is_repeatable() && self.runs + 1 < self.request.route.max_sends
    }

    /// Starts a send to a further target, beside one in progress, if limits allow it and a target has
    /// room immediately.
    async fn start_second(&mut self) -> Option<impl Future<Output = (Send, Head)> + use<>> {
        let is_quarantined = self.context.quarantined_mark(&self.request.marks).is_some();
        if !self.may_add_send() || is_quarantined || clock::now() + MIN_TIME_LEFT >= self.request.deadline {
            return None;
        }
        let criteria = self.criteria(0);
        let mut choice = self.context.balancer().choose(clock::now(), &criteria);
        if matches!(choice, Choice::Full(_)) {
            permit::ask(self.context, &criteria, self.request, SECOND_SEND_WAIT).await;
            choice = self.context.balancer().choose(clock::now(), &criteria);
        }
        let Choice::Send { target, load, place } = choice else {
            return None;
        };
        if self.tried.contains(&target.id) || !self.may_send_again() {
            return None;
        }
        self.record_sent((&target, load, place), Duration::ZERO);
        self.start(target)
    }

    /// Records that the answer of the last send is late, so that its target gets no new requests for a while.
    fn record_silence(&self) {
        let Some(target) = self.tried.last() else {
            return;
        };
        let is_suspect = self.context.reach().is_link_suspect(clock::now(), target);
        if !is_suspect {
            self.context.balancer().record_silence(clock::now(), target);
        }
        logging::SEND_FAILED.log_fields(&[
            ("request", self.request.id.as_str().into()),
            ("target", target.as_str().into()),
            ("reason", "no answer in time".into()),
            ("sends", (self.tried.len() as u64).into()),
            ("after_ms", elapsed_ms(self.request).into()),
        ]);
    }

    /// Time after which the head of an answer counts as late.
    fn head_timeout(&self) -> Duration {
        let goal = Duration::from_millis(self.request.route.goal_ms);
        (goal * HEAD_TIMEOUT_GOALS).max(MIN_HEAD_TIMEOUT)
    }
}
