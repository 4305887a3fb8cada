//! Life of a group from its formation to its dissolution.
//!
//! Every member joins, then the head is opened. A group whose member is lost is closed: its
//! head gives the membership up, and only when it is certain that the head takes no more
//! requests may the members be claimed again. A head that cannot be reached counts as open
//! until its members have left for longer than it takes to notice.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Group;
use super::Member;
use super::Order;
use super::Registry;
use super::Stage;
use super::Task;
use super::Timing;
use super::Vm;
use super::order::group_name;

/// Wait before an order is repeated.
const REPEAT: Duration = Duration::from_millis(1_300);
/// Time for all joins of a group beyond the load of its weights.
const FORMATION_SLACK: Duration = Duration::from_secs(60);

/// Why a group is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// A member is shutting down.
    Draining,
    /// A member has gone or started again.
    Gone,
    /// A member was not heard of and the group does not answer.
    Silent,
    /// The head reports the group as broken.
    Broken,
    /// A member is no longer in the group.
    Left,
    /// The members did not join in time.
    Late,
}

/// What the leader knows of a group beyond the replicated state.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) since: Duration,
    /// Whether the head has reported that it takes requests.
    pub(super) opened: bool,
    /// Whether an order to open may have gone out.
    pub(super) may_open: bool,
    pub(super) closing: Option<(Loss, Duration)>,
    sent: BTreeMap<String, Duration>,
}

/// Outcome of one look at a group.
#[derive(Debug)]
pub(super) enum Step {
    Order(Order),
    Opened,
    Lost(Loss, String),
    Dissolve,
}

/// Surroundings of a group.
pub(super) struct View<'a> {
    pub(super) now: Duration,
    pub(super) registry: &'a Registry,
    pub(super) timing: &'a Timing,
    pub(super) fence: u64,
    /// Whether gateways get answers from the head.
    pub(super) served: bool,
    /// Whether gateways report that the head has stopped.
    pub(super) stalled: bool,
    /// Earliest time since which silence counts.
    pub(super) since: Duration,
}

impl Progress {
    /// Progress of a group as the replicated state shows it.
    ///
    /// `is_restored` tells that an earlier leader may have ordered the head to open.
    pub(super) fn new(now: Duration, group: &Group, is_restored: bool) -> Self {
        Progress {
            since: now,
            opened: group.opened,
            may_open: group.opened || is_restored,
            closing: group.closing.then_some((Loss::Left, now)),
            sent: BTreeMap::new(),
        }
    }

    /// Looks at the group and returns what to do.
    pub(super) fn advance(&mut self, group: &Group, view: &View) -> Vec<Step> {
        let mut out = Vec::new();
        if self.closing.is_none()
            && let Some((loss, vm)) = self.find_loss(group, view)
        {
            self.closing = Some((loss, view.now));
            self.sent.clear();
            out.push(Step::Lost(loss, vm));
        }
        match self.closing {
            Some((loss, since)) => self.close(group, view, loss, since, &mut out),
            None => self.form(group, view, &mut out),
        }
        out
    }

    fn find_loss(&self, group: &Group, view: &View) -> Option<(Loss, String)> {
        for member in &group.members {
            if let Some(loss) = member_loss(group, member, self.opened, view) {
                return Some((loss, member.id.clone()));
            }
        }
        let late = !self.opened && view.now > self.since + FORMATION_SLACK;
        late.then(|| (Loss::Late, group.head().id.clone()))
    }

    fn form(&mut self, group: &Group, view: &View, out: &mut Vec<Step>) {
        let ids: Vec<String> = group.members.iter().map(|m| m.id.clone()).collect();
        let mut ready = true;
        for member in &group.members {
            let stage = stage_in(group, member, view);
            ready &= matches!(stage, Some(Stage::Ready | Stage::Open));
            if stage.is_none() {
                let task = Task::Join {
                    model: group.model.clone(),
                    members: ids.clone(),
                };
                self.send(group, member, task, view, out);
            }
        }
        let head = stage_in(group, group.head(), view);
        if head == Some(Stage::Open) {
            if !self.opened {
                self.opened = true;
                self.may_open = true;
                out.push(Step::Opened);
            }
        } else if ready {
            self.may_open = true;
            self.send(group, group.head(), Task::Open, view, out);
        }
    }

    fn close(&mut self, group: &Group, view: &View, loss: Loss, since: Duration, out: &mut Vec<Step>) {
        if self.is_head_shut(group, view, since) {
            out.push(Step::Dissolve);
            return;
        }
        let graceful = loss == Loss::Draining;
        match stage_in(group, group.head(), view) {
            Some(Stage::Open) if graceful => self.send(group, group.head(), Task::Close, view, out),
            Some(Stage::Closing) if graceful => {}
            _ => self.send(group, group.head(), Task::Leave, view, out),
        }
        // Members that leave break a head that cannot be reached.
        if !graceful {
            for member in &group.members[1..] {
                if stage_in(group, member, view).is_some() {
                    self.send(group, member, Task::Leave, view, out);
                }
            }
        }
    }

    /// Whether the head certainly takes no more requests.
    fn is_head_shut(&self, group: &Group, view: &View, since: Duration) -> bool {
        if !self.may_open {
            return true;
        }
        let head = group.head();
        let Some(vm) = view.registry.get(&head.id) else {
            return view.now > since + view.timing.broken();
        };
        if vm.announcement.incarnation > head.incarnation {
            return true;
        }
        let is_heard = vm.heard > since;
        if is_heard && stage_in(group, head, view).is_none_or(|s| s == Stage::Broken) {
            return true;
        }
        let is_silent = vm.gone || view.now > vm.heard + view.timing.lost();
        is_silent && view.now > since + view.timing.broken()
    }

    fn send(&mut self, group: &Group, member: &Member, task: Task, view: &View, out: &mut Vec<Step>) {
        let recent = self
            .sent
            .get(&member.id)
            .is_some_and(|at| view.now < *at + REPEAT);
        if recent {
            return;
        }
        self.sent.insert(member.id.clone(), view.now);
        out.push(Step::Order(Order {
            vm: member.id.clone(),
            address: member.address.clone(),
            epoch: group.epoch,
            fence: view.fence,
            task,
        }));
    }

    /// Allows the next order to a member at once, after its heartbeat has shown the last one's effect.
    pub(super) fn refresh(&mut self, vm: &str) {
        self.sent.remove(vm);
    }
}

/// Stage of a member in this very group.
fn stage_in(group: &Group, member: &Member, view: &View) -> Option<Stage> {
    let vm = view.registry.get(&member.id)?;
    if vm.announcement.incarnation != member.incarnation {
        return None;
    }
    let membership = vm.announcement.membership.as_ref()?;
    let is_same = membership.epoch == group.epoch && membership.group == group_name(group.epoch);
    is_same.then_some(membership.stage)
}

fn member_loss(group: &Group, member: &Member, opened: bool, view: &View) -> Option<Loss> {
    let Some(vm) = view.registry.get(&member.id) else {
        // A new leader hears of a VM only once its heartbeats have left the old one.
        let wait = if view.stalled {
            view.timing.settle()
        } else {
            view.timing.lost()
        };
        let silent = !view.served && view.now > view.since + wait;
        return silent.then_some(Loss::Silent);
    };
    if vm.gone || vm.announcement.incarnation != member.incarnation {
        return Some(Loss::Gone);
    }
    if vm.announcement.draining {
        return Some(Loss::Draining);
    }
    let stage = stage_in(group, member, view);
    if stage == Some(Stage::Broken) {
        return Some(Loss::Broken);
    }
    if opened && stage.is_none() {
        return Some(Loss::Left);
    }
    is_silent(vm, view).then_some(Loss::Silent)
}

fn is_silent(vm: &Vm, view: &View) -> bool {
    let wait = if view.stalled {
        view.timing.lost_when_stalled()
    } else {
        view.timing.lost()
    };
    !view.served && view.now > vm.heard.max(view.since) + wait
}
