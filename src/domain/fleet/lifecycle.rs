//! Lifecycle of a group from formation to dissolution.
//!
//! Once every member has joined, the head is ordered to open. When a member is lost, the group is
//! closed: the head is ordered to leave, and the members can be claimed by another group only when
//! the head certainly accepts no more requests. A head that cannot be reached counts as open until
//! [`Timing::head_stop_time`](super::Timing::head_stop_time) after another member was seen to have left: from then on nothing moves in
//! the group, and the head refuses requests by itself. That holds only for a head that cannot open any more: one that has
//! been open, or whose orders to open are settled ([`Openings`]). An order to leave does not count, since it may be lost.
//! When another process has provably taken the place of a head ([`Proofs`](super::proof::Proofs)), its group is
//! dissolved at once. Refused connections close a group early, but do not dissolve it: links to some VMs may refuse
//! connections of all machines while a head behind them stays open. A process that has ended gets no orders, and neither does the VM's new process, which has
//! never been in the group.
//!
//! A sound VM may be silent for a second or so and go on, and its group with it. So while gateways report a
//! stall, a silent member whose end is not proved counts as lost only once they have got nothing from the head for
//! longer than that ([`Timing::stall_confirmation_time`](super::Timing::stall_confirmation_time)). Until then the group stays open, gateways avoid it by themselves,
//! and no answer in progress is cut. The rule is the same for the head, the other members and a new leader.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Group;
use super::Member;
use super::Order;
use super::Reply;
use super::Stage;
use super::Task;
use super::Vm;
use super::effect::Effect;
use super::effect::Phase;
use super::opening::Openings;
use super::view::Loss;
use super::view::Reports;
use super::view::View;

/// Time after which an order to the same member may be sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_300);
/// Time after which a closing group is dissolved if its head is not known any more.
const ABANDONED_GROUP_RETENTION: Duration = Duration::from_secs(3_600);
/// Time after which a group that has not opened is closed; includes the load of the weights.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(60);

/// What the leader tracks of a group beyond the replicated state.
#[derive(Clone, Debug)]
pub(super) struct Lifecycle {
    /// When this leader began to track the group.
    pub(super) known_since: Duration,
    /// Whether the head has reported that it accepts requests.
    pub(super) opened: bool,
    /// Whether the head may have been ordered to open, by this leader or an earlier one.
    pub(super) may_have_opened: bool,
    /// Why and since when the group is being closed.
    pub(super) closing: Option<(Loss, Duration)>,
    /// Whether gateways miss answers of the group, see [`Lifecycle::observe`].
    is_stalled: bool,
    /// Whether gateways miss connections to the head, see [`Lifecycle::observe`].
    is_head_refusing: bool,
    /// Since when gateways have reported that the head has stopped answering, and none got an answer from it.
    stalled_since: Option<Duration>,
    /// Since when gateways have reported that the head stalls or refuses connections.
    suspected_since: Option<Duration>,
    /// Orders to open that the head was sent.
    openings: Openings,
    /// Whether the head was ordered to close, after which it can be opened again.
    is_close_ordered: bool,
    /// When the head was first ordered to open.
    open_ordered_at: Option<Duration>,
    /// Whether the group's dissolution was asked for.
    is_dissolving: bool,
    /// Since when the members of a closing group are ordered to leave.
    leaving_since: Option<Duration>,
    /// When a member other than the head had certainly left the closing group.
    incomplete_since: Option<Duration>,
    /// Time of the last order to each member, by VM.
    last_sent: BTreeMap<String, Duration>,
}

impl Lifecycle {
    /// Lifecycle of a group that this leader begins to track, from the replicated state.
    ///
    /// `is_restored` means that an earlier leader may have ordered the head to open.
    pub(super) fn new(now: Duration, group: &Group, is_restored: bool) -> Self {
        Lifecycle {
            known_since: now,
            opened: group.opened,
            may_have_opened: group.opened || is_restored,
            closing: group.closing.then_some((Loss::Inherited, now)),
            is_stalled: false,
            is_head_refusing: false,
            stalled_since: None,
            suspected_since: None,
            openings: if is_restored && !group.opened {
                Openings::inherited()
            } else {
                Openings::default()
            },
            is_close_ordered: false,
            open_ordered_at: None,
            is_dissolving: false,
            leaving_since: None,
            incomplete_since: None,
            last_sent: BTreeMap::new(),
        }
    }

    /// Advances the group by what heartbeats and reports show, and returns what to carry out.
    pub(super) fn advance(&mut self, group: &Group, view: &View) -> Vec<Effect> {
        let mut out = Vec::new();
        let view = &View {
            reports: Reports {
                head_stalled: self.confirm_stall(view),
                ..view.reports
            },
            ..*view
        };
        if self.closing.is_none()
            && let Some((loss, vm)) = self.find_loss(group, view)
        {
            self.closing = Some((loss, view.now));
            self.last_sent.clear();
            let last_heartbeat = view.registry.get(&vm).map(|vm| vm.last_heartbeat);
            let silent_since = last_heartbeat.filter(|_| loss == Loss::Silent);
            let suspected = self.suspected_since.or(silent_since).unwrap_or(view.now);
            out.push(Effect::Phase(
                Phase::Detection,
                view.now.saturating_sub(suspected),
            ));
            out.push(Effect::Lost(loss, vm));
        }
        match self.closing {
            Some((loss, since)) => self.advance_closing(group, view, loss, since, &mut out),
            None => self.advance_formation(group, view, &mut out),
        }
        out
    }

    /// Whether the head has not answered for longer than a sound VM is silent.
    fn confirm_stall(&mut self, view: &View) -> bool {
        let is_stalled = view.reports.head_stalled && !view.reports.head_answers;
        self.stalled_since = is_stalled.then(|| self.stalled_since.unwrap_or(view.now));
        let confirmation_time = view.timing.stall_confirmation_time();
        self.stalled_since
            .is_some_and(|since| view.now >= since + confirmation_time)
    }

    /// Records what gateways miss: the answers of the group, and connections to its head. Answers that others get
    /// contradict both. What is not contradicted stays, since gateways drop a closed target and report nothing
    /// more of it.
    pub(super) fn observe(&mut self, view: &View) {
        let is_suspected = view.reports.head_stalled || view.reports.is_refusal_agreed;
        self.suspected_since = is_suspected.then(|| self.suspected_since.unwrap_or(view.now));
        self.is_stalled = view.reports.is_stall_agreed && (self.is_stalled || view.reports.head_stalled);
        self.is_head_refusing =
            view.reports.is_stall_agreed && (self.is_head_refusing || view.reports.is_refusal_agreed);
    }

    /// Members that may have ended without a heartbeat to show it, so that the leader has to look.
    pub(super) fn suspects<'a>(&self, group: &'a Group, view: &View) -> Vec<&'a Member> {
        let is_head_missed = view.reports.head_stalled || view.reports.is_refusal_agreed;
        let is_serving = self.closing.is_none() && self.may_have_opened && !is_head_missed;
        if is_serving && view.proofs.is_empty() {
            return Vec::new();
        }
        let is_suspect = |member: &&Member| {
            let Some(vm) = view.registry.get(&member.id) else {
                return false;
            };
            let is_silent = match self.closing {
                Some((_, since)) => {
                    let is_unheard = vm.last_heartbeat <= since || view.is_overdue(vm);
                    member.id == group.head().id && (is_unheard || is_head_missed)
                }
                None if self.may_have_opened => is_head_missed,
                None => view.is_overdue(vm),
            };
            let is_suspect = is_silent || view.proofs.is_suspect(view.now, vm);
            is_suspect && !view.has_ended(member)
        };
        group.members.iter().filter(is_suspect).collect()
    }

    /// Whether others than the leader miss a member, so that the leader's refused connections to it are no fault of
    /// its own link.
    ///
    /// A head must have refused the connections of gateways wherever it is missed: the loss of another member stalls a
    /// head that goes on serving for a while, and accepts connections on sound links. Gateways do not connect to
    /// other members, so for those the stall is enough; their loss closes the group, but dissolves it only when the
    /// head has stopped. In a group that was never open and cuts no answers, an overdue heartbeat is enough.
    pub(super) fn is_missed(&self, group: &Group, vm: &Vm, view: &View) -> bool {
        if !self.may_have_opened {
            view.is_overdue(vm)
        } else if vm.announcement.id == group.head().id {
            self.is_head_refusing
        } else {
            self.is_stalled
        }
    }

    /// Reason to close the group, with the VM that caused it.
    fn find_loss(&self, group: &Group, view: &View) -> Option<(Loss, String)> {
        for member in &group.members {
            if let Some(loss) = view.member_loss(group, member, self.opened) {
                return Some((loss, member.id.clone()));
            }
        }
        let late = !self.opened && view.now > self.known_since + FORMATION_TIMEOUT;
        late.then(|| (Loss::Late, group.head().id.clone()))
    }

    /// Orders members to join, then the head to open.
    fn advance_formation(&mut self, group: &Group, view: &View, out: &mut Vec<Effect>) {
        let mut all_ready = true;
        for member in &group.members {
            let stage = view.stage(group, member);
            all_ready &= matches!(stage, Some(Stage::Ready | Stage::Open));
            // One that has not been heard may be in the group, and a join would replace its membership.
            let is_missing = stage.is_none() && view.registry.get(&member.id).is_some();
            if is_missing && !self.was_sent_lately(member, view) {
                let task = Task::Join {
                    model: group.model.clone(),
                    members: group.members.iter().map(|m| m.id.clone()).collect(),
                };
                self.send(group, member, task, view, out);
            }
        }
        let head = view.stage(group, group.head());
        if head == Some(Stage::Open) {
            if !self.opened {
                self.opened = true;
                self.may_have_opened = true;
                if let Some(at) = self.open_ordered_at {
                    out.push(Effect::Phase(Phase::Opening, view.now - at));
                }
                out.push(Effect::Opened(view.member_sequences(group)));
            }
        } else if all_ready {
            if self.open_ordered_at.is_none() {
                self.open_ordered_at = Some(view.now);
                // Under an earlier leader the group was formed before it was known here.
                if !self.may_have_opened {
                    out.push(Effect::Phase(Phase::Joining, view.now - self.known_since));
                }
            }
            self.may_have_opened = true;
            self.send(group, group.head(), Task::Open, view, out);
        }
    }

    /// Orders the head and all other members to leave. If a member drains, the head is ordered to finish its
    /// requests first, and the others get no order before the group is dissolved.
    fn advance_closing(
        &mut self,
        group: &Group,
        view: &View,
        loss: Loss,
        since: Duration,
        out: &mut Vec<Effect>,
    ) {
        if self.leaving_since.is_none() && self.must_leave(group, view, loss) {
            self.leaving_since = Some(view.now);
            self.last_sent.clear();
        }
        self.incomplete_since = view
            .member_left_at(group)
            .map(|at| self.incomplete_since.unwrap_or(at));
        let graceful = self.leaving_since.is_none();
        // When its members leave, a head that cannot be reached refuses requests by itself.
        if !graceful {
            for member in &group.members[1..] {
                if view.stage(group, member).is_some() {
                    self.send(group, member, Task::Leave, view, out);
                }
            }
        }
        if self.is_head_stopped(group, view, since) || self.is_abandoned(group, view, since) {
            if !self.is_dissolving && loss != Loss::Inherited {
                out.push(Effect::Phase(Phase::Leaving, view.now - since));
            }
            self.is_dissolving = true;
            out.push(Effect::Dissolve);
            return;
        }
        match view.stage(group, group.head()) {
            Some(Stage::Open) if graceful => self.send(group, group.head(), Task::Close, view, out),
            // A head without a report may still serve, and one that reports no group needs no order.
            Some(Stage::Closing) | None if graceful => {}
            _ => self.send(group, group.head(), Task::Leave, view, out),
        }
    }

    /// Whether the members of a closing group are to leave although answers may be in progress.
    fn must_leave(&self, group: &Group, view: &View, loss: Loss) -> bool {
        let is_lost = |member: &Member| {
            let loss = view.member_loss(group, member, self.opened);
            loss.is_some_and(|l| l != Loss::Draining)
        };
        match loss {
            // A member that drains stays while the head has work, unless the head is lost.
            Loss::Draining => is_lost(group.head()),
            // It may have been closed for a member that drains.
            Loss::Inherited => group.members.iter().any(is_lost),
            _ => true,
        }
    }

    /// Whether the head certainly accepts no more requests.
    ///
    /// It was never ordered to open, another process has provably taken its place, it has reported after `since` that it is broken or
    /// has left, or it cannot be reached and its stop time is over.
    fn is_head_stopped(&self, group: &Group, view: &View, since: Duration) -> bool {
        if !self.may_have_opened {
            return true;
        }
        let head = group.head();
        let is_stop_time_over = self.is_stop_time_over(group, view);
        let Some(vm) = view.registry.get(&head.id) else {
            return is_stop_time_over;
        };
        let has_reported_since = vm.last_heartbeat > since;
        if has_reported_since && view.stage(group, head).is_none_or(|s| s == Stage::Broken) {
            return true;
        }
        if view.is_replaced(head) {
            return true;
        }
        let is_silent = vm.gone || view.now > vm.last_heartbeat + view.timing.vm_silence_limit();
        is_silent && is_stop_time_over
    }

    /// Whether a head that was open, or has opened meanwhile, has stopped by itself: [`Timing::head_stop_time`] has
    /// passed since another member left.
    ///
    /// A head that may still open stands still only from then on, whenever that is.
    fn is_stop_time_over(&self, group: &Group, view: &View) -> bool {
        let is_openable = !self.opened || self.is_close_ordered;
        if is_openable && self.openings.is_any_unsettled() {
            return false;
        }
        let answered_at = self.openings.answered_at();
        let opened_by = answered_at.map_or(Duration::ZERO, |at| at + view.open_time(group));
        self.incomplete_since
            .is_some_and(|at| view.now > at.max(opened_by) + view.timing.head_stop_time())
    }

    /// Whether the head has not been known for [`ABANDONED_GROUP_RETENTION`], longer than any order is late.
    fn is_abandoned(&self, group: &Group, view: &View, since: Duration) -> bool {
        view.now > since + ABANDONED_GROUP_RETENTION && view.registry.get(&group.head().id).is_none()
    }

    /// Sends an order to a member, unless the last order to it is too recent or its process has ended.
    fn send(&mut self, group: &Group, member: &Member, task: Task, view: &View, out: &mut Vec<Effect>) {
        if self.was_sent_lately(member, view) || view.has_ended(member) {
            return;
        }
        self.last_sent.insert(member.id.clone(), view.now);
        match task {
            Task::Open => self.openings.record_sent(),
            Task::Close => self.is_close_ordered = true,
            _ => {}
        }
        out.push(Effect::Order(Order {
            vm: member.id.clone(),
            incarnation: member.incarnation,
            address: member.address.clone(),
            epoch: group.epoch,
            fence: view.fence,
            task,
        }));
    }

    /// Whether the last order to a member is too recent for another one.
    fn was_sent_lately(&self, member: &Member, view: &View) -> bool {
        let last_sent = self.last_sent.get(&member.id);
        last_sent.is_some_and(|at| view.now < *at + ORDER_RETRY_INTERVAL)
    }

    /// Records how an order to open ended.
    pub(super) fn record_open_reply(&mut self, now: Duration, reply: Reply) {
        self.openings.record_reply(now, reply);
    }

    /// Allows the next order to a VM immediately, because its heartbeat has shown a change.
    pub(super) fn allow_order_now(&mut self, vm: &str) {
        self.last_sent.remove(vm);
    }
}
