//! What a reconciliation does for the groups that exist: it looks for members that have ended, advances each
//! group's lifecycle, and frees VMs of dissolved groups.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Command;
use super::Contact;
use super::Digest;
use super::Group;
use super::Order;
use super::Probe;
use super::Reply;
use super::Task;
use super::Telemetry;
use super::Vm;
use super::core::Core;
use super::effect::Effect;
use super::event::Action;
use super::lifecycle::Lifecycle;
use super::view::Reports;
use super::view::View;

/// Time after which the order to leave a dissolved group is sent again.
const LEAVE_ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_300);
/// Probes sent in one reconciliation, so that the loss of a zone does not take the processor from the lease; the
/// other suspects have their turn in the next ones.
const MAX_PROBES: usize = 64;

impl Core {
    /// Records how a probe or an order of this leader ended.
    pub(super) fn record_contact(&mut self, now: Duration, contact: &Contact) {
        self.record_open_reply(now, contact);
        if !self.leads(now) {
            return;
        }
        self.proofs.record(contact, &self.registry);
        self.reconcile_due |= matches!(contact.reply, Reply::Refused | Reply::Misdirected);
    }

    /// Tells a group how an order to open its head ended, if that is an order of this leadership.
    fn record_open_reply(&mut self, now: Duration, contact: &Contact) {
        let term = self.node.term();
        let is_own = |order: &&Order| order.task == Task::Open && order.fence == term;
        let order = contact.order.as_ref().filter(is_own);
        let lifecycle = order.and_then(|order| self.lifecycles.get_mut(&order.epoch));
        if let Some(lifecycle) = lifecycle {
            lifecycle.record_open_reply(now, contact.reply);
        }
    }

    /// Decides which members have provably ended, and probes those that may have.
    pub(super) fn look_for_ended_vms(
        &mut self,
        now: Duration,
        reports: &BTreeMap<u64, Reports>,
        out: &mut Vec<Action>,
    ) {
        let mut proofs = std::mem::take(&mut self.proofs);
        let mut lifecycles = std::mem::take(&mut self.lifecycles);
        proofs.expire(now, &self.registry);
        let mut suspects: Vec<&Vm> = Vec::new();
        for (epoch, lifecycle) in &mut lifecycles {
            let Some(group) = self.state.groups.get(epoch) else {
                continue;
            };
            let view = View {
                proofs: &proofs,
                ..self.view(now, reports.get(epoch).copied().unwrap_or_default())
            };
            lifecycle.observe(&view);
            let found = lifecycle.suspects(group, &view);
            let found = found.into_iter().filter_map(|m| self.registry.get(&m.id));
            let found: Vec<(&Vm, bool)> = found
                .map(|vm| (vm, lifecycle.is_missed(group, vm, &view)))
                .collect();
            for (vm, is_missed) in found {
                proofs.decide(&self.registry, vm, is_missed);
                suspects.push(vm);
            }
        }
        let mut sent = 0;
        for vm in suspects {
            let announcement = &vm.announcement;
            let is_ended = proofs.has_ended(&self.registry, &announcement.id, announcement.incarnation);
            if is_ended || sent >= MAX_PROBES || !proofs.take_turn(now, &announcement.id) {
                continue;
            }
            out.push(Action::Probe(probe(vm)));
            sent += 1;
            if !proofs.needs_control(&announcement.zone, &announcement.id) {
                continue;
            }
            let is_control = |other: &&Vm| {
                other.is_usable()
                    && other.announcement.zone == announcement.zone
                    && other.announcement.id != announcement.id
                    && !proofs.is_suspect(now, other)
            };
            let control = self.registry.iter().filter(is_control);
            if let Some(control) = control.max_by_key(|other| other.last_heartbeat)
                && proofs.take_turn(now, &control.announcement.id)
            {
                out.push(Action::Probe(probe(control)));
                sent += 1;
            }
        }
        self.lifecycles = lifecycles;
        self.proofs = proofs;
    }

    /// Advances the lifecycle of each group and carries out what it returns.
    pub(super) fn advance_groups(
        &mut self,
        now: Duration,
        reports: &BTreeMap<u64, Reports>,
        out: &mut Vec<Action>,
    ) {
        let mut lifecycles = std::mem::take(&mut self.lifecycles);
        lifecycles.retain(|epoch, _| self.state.groups.contains_key(epoch));
        let mut effects = Vec::new();
        for group in self.state.groups.values() {
            let lifecycle = lifecycles
                .entry(group.epoch)
                .or_insert_with(|| Lifecycle::new(now, group, group.epoch <= self.inherited_index));
            let view = self.view(now, reports.get(&group.epoch).copied().unwrap_or_default());
            let of_group = lifecycle.advance(group, &view);
            effects.extend(of_group.into_iter().map(|effect| (group.epoch, effect)));
        }
        self.lifecycles = lifecycles;
        // A dissolution that is proposed, but not applied yet, must not be proposed again.
        let may_dissolve = self.own_proposals.is_empty();
        for (epoch, effect) in effects {
            match effect {
                Effect::Order(order) => {
                    if order.task == Task::Leave {
                        self.leave_orders_sent.insert(order.vm.clone(), now);
                    }
                    out.push(Action::Order(order));
                }
                Effect::Phase(phase, time) => out.push(Action::Telemetry(Telemetry::Phase(phase, time))),
                Effect::Opened(sequences) => {
                    out.push(Action::Telemetry(Telemetry::Opened(epoch)));
                    self.propose(now, None, Command::Open { epoch, sequences }, out);
                }
                Effect::Lost(loss, vm) => {
                    out.push(Action::Telemetry(Telemetry::Lost(epoch, loss, vm)));
                    self.propose(now, None, Command::Close { epoch }, out);
                }
                Effect::Dissolve if may_dissolve => {
                    self.propose(now, None, Command::Dissolve { epoch }, out);
                }
                // A later run returns the effect again.
                Effect::Dissolve => {}
            }
        }
    }

    /// Orders VMs to leave groups that are dissolved.
    ///
    /// A VM that carries out an order late may join a group that is already dissolved, and a head may
    /// even open it. Such a VM is free only after it has left.
    pub(super) fn release_orphaned_vms(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.leave_orders_sent
            .retain(|_, sent| now < *sent + LEAVE_ORDER_RETRY_INTERVAL);
        for vm in self.registry.iter().filter(|vm| !vm.gone) {
            let announcement = &vm.announcement;
            let Some(membership) = &announcement.membership else {
                continue;
            };
            let is_live_group = self.state.groups.contains_key(&membership.epoch);
            // A VM that a newer group has claimed leaves the old one when it joins.
            if is_live_group
                || self.state.group_of(&announcement.id).is_some()
                || self.leave_orders_sent.contains_key(&announcement.id)
                || self.proofs.is_suspect(now, vm)
            {
                continue;
            }
            self.leave_orders_sent.insert(announcement.id.clone(), now);
            out.push(Action::Order(Order {
                vm: announcement.id.clone(),
                incarnation: announcement.incarnation,
                address: announcement.address.clone(),
                epoch: membership.epoch,
                fence: self.node.term(),
                task: Task::Leave,
            }));
        }
    }

    /// The view of a group with what gateways report of its head.
    fn view(&self, now: Duration, reports: Reports) -> View<'_> {
        View {
            now,
            registry: &self.registry,
            proofs: &self.proofs,
            timing: &self.timing,
            catalog: self.state.catalog.as_ref(),
            fence: self.node.term(),
            reports,
            leading_since: self.leading_since.unwrap_or(now),
        }
    }

    /// What gateways report of the head of each group, by epoch.
    pub(super) fn reports_by_group(&self, now: Duration) -> BTreeMap<u64, Reports> {
        let groups = self.state.groups.values();
        groups
            .map(|group| (group.epoch, self.reports(now, group)))
            .collect()
    }

    /// What gateways report of the head of a group.
    fn reports(&self, now: Duration, group: &Group) -> Reports {
        let (head, incarnation) = (&group.head().id, group.head().incarnation);
        let is_served = |digest: &Digest| digest.served.contains_key(head);
        let is_stalled = |digest: &Digest| digest.stalled.contains(head);
        let is_refused = |digest: &Digest| digest.refused.get(head) == Some(&incarnation);
        let head_answers = self.fresh_digests(now).any(is_served);
        let head_stalled = self.fresh_digests(now).any(is_stalled);
        let is_any_refused = self.fresh_digests(now).any(is_refused);
        if !head_stalled && !is_any_refused {
            return Reports {
                head_answers,
                is_stall_agreed: !head_answers,
                ..Reports::default()
            };
        }
        let is_denied = |d: &Digest| (is_served(d) || is_stalled(d)) && !is_refused(d);
        let is_sound = |d: &Digest| is_served(d) && !is_stalled(d) && !is_refused(d);
        Reports {
            head_answers,
            head_stalled,
            is_refusal_agreed: is_any_refused && !self.fresh_digests(now).any(is_denied),
            is_stall_agreed: !self.fresh_digests(now).any(is_sound),
        }
    }
}

fn probe(vm: &Vm) -> Probe {
    Probe {
        vm: vm.announcement.id.clone(),
        incarnation: vm.announcement.incarnation,
        address: vm.announcement.address.clone(),
    }
}
