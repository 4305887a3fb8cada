//! Reconciliation of the groups with heartbeats, reports and the catalog.
//!
//! Each run advances the lifecycle of every group, frees VMs of dissolved groups, plans new groups
//! and derives the targets for gateways.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Candidate;
use super::Command;
use super::Decision;
use super::Group;
use super::Member;
use super::Order;
use super::Stage;
use super::Supply;
use super::Target;
use super::Task;
use super::core::Core;
use super::core::Staging;
use super::event::Action;
use super::plan;
use crate::domain::catalog::Service;
use crate::domain::gateway::Demand;

/// Time after which a load that no heartbeat has shown as done counts as lost.
const STAGING_TIMEOUT: Duration = Duration::from_secs(25);
/// Decisions planned for a service in one reconciliation; more are planned once these are applied.
const MAX_DECISIONS: usize = 16;
/// Demand in groups that each model must exceed for a measurement to be reliable.
const MIN_MEASURED_DEMAND_GROUPS: f64 = 0.3;

impl Core {
    /// Advances all groups, plans new ones and recomputes the targets, if this node leads.
    pub(super) fn reconcile(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.leads(now) || self.state.document.is_none() {
            return;
        }
        self.expire_staging(now);
        let reports = self.reports_by_group(now);
        self.look_for_ended_vms(now, &reports, out);
        self.advance_groups(now, &reports, out);
        self.release_orphaned_vms(now, out);
        let has_demand = self.fresh_digests(now).any(|d| !d.demand.is_empty());
        if !self.state.has_traffic && self.own_proposals.is_empty() && has_demand {
            self.propose(now, None, Command::Serve, out);
        }
        if self.own_proposals.is_empty() {
            self.update_listed_vms(now, out);
        }
        if self.is_discovery_complete(now) && self.own_proposals.is_empty() {
            self.plan_groups(now, out);
        }
        self.recompute_targets(now);
    }

    /// Proposes changes to [`State::listed`](super::State::listed), the VMs that accept requests
    /// without a group.
    fn update_listed_vms(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut commands = Vec::new();
        for vm in self.registry.iter() {
            let announcement = &vm.announcement;
            let listed = self.state.listed.get(&announcement.id);
            if !self.is_ungrouped_service(&announcement.service) {
                continue;
            }
            if !vm.is_usable() {
                if listed.is_some() {
                    commands.push(Command::Unlist {
                        id: announcement.id.clone(),
                        left: None,
                        draining: announcement
                            .draining
                            .then_some((announcement.incarnation, announcement.sequence)),
                    });
                }
                continue;
            }
            let target = Target {
                id: announcement.id.clone(),
                incarnation: announcement.incarnation,
                address: announcement.address.clone(),
                zone: announcement.zone.clone(),
                service: announcement.service.clone(),
                model: None,
                slots: announcement.slots,
                cold: false,
                limit: None,
            };
            if listed != Some(&target) {
                commands.push(Command::List(Box::new(target)));
            }
        }
        if self
            .leading_since
            .is_some_and(|since| now > since + self.timing.vm_retention())
        {
            // A VM that is unknown now has been silent for the retention time.
            let is_known = |id: &String| self.registry.get(id).is_some();
            let unknown = self.state.listed.keys().filter(|id| !is_known(id));
            commands.extend(unknown.map(|id| Command::Unlist {
                id: id.clone(),
                left: None,
                draining: None,
            }));
        }
        for command in commands {
            self.propose(now, None, command, out);
        }
    }

    /// Whether the VMs of a service accept requests without a group: it has no engine, or one without
    /// models.
    fn is_ungrouped_service(&self, name: &str) -> bool {
        let mut services = self.state.catalog.iter().flat_map(|c| &c.services);
        let service = services.find(|s| s.name == name);
        service.is_some_and(|s| s.engine.as_ref().is_none_or(|e| e.models.is_empty()))
    }

    /// Plans and carries out decisions for each service with groups.
    fn plan_groups(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(catalog) = self.state.catalog.as_ref() else {
            return;
        };
        let services = catalog.services.clone();
        for service in &services {
            let Some(engine) = service.engine.as_ref().filter(|e| !e.models.is_empty()) else {
                continue;
            };
            let candidates = self.free_vms(now, service);
            if candidates.is_empty() {
                continue;
            }
            let mut supply = Supply {
                engine,
                candidates,
                groups: self.groups_with_domains(service),
                vm_count: self
                    .registry
                    .iter()
                    .filter(|vm| vm.is_usable() && vm.announcement.service == service.name)
                    .count(),
                demand: self.measured_demand(now, service),
                loads_in_progress: self.loads_in_progress(service),
                has_traffic: self.state.has_traffic,
            };
            for _ in 0..MAX_DECISIONS {
                let Some(decision) = plan::next_decision(&supply) else {
                    break;
                };
                supply.record(&decision);
                self.carry_out(now, service, decision, out);
            }
        }
    }

    /// Proposes a planned group, or orders a planned load.
    fn carry_out(&mut self, now: Duration, service: &Service, decision: Decision, out: &mut Vec<Action>) {
        match decision {
            Decision::Form { model, members } => {
                let members = members.iter().filter_map(|c| self.member(&c.id)).collect();
                let command = Command::Form {
                    service: service.name.clone(),
                    model,
                    members,
                };
                self.propose(now, None, command, out);
            }
            Decision::Stage { model, vm } => self.order_staging(now, &vm.id, model, out),
        }
    }

    /// Orders a free VM to load weights onto its host.
    fn order_staging(&mut self, now: Duration, id: &str, model: String, out: &mut Vec<Action>) {
        let Some(vm) = self.registry.get(id) else {
            return;
        };
        out.push(Action::Order(Order {
            vm: id.to_owned(),
            incarnation: vm.announcement.incarnation,
            address: vm.announcement.address.clone(),
            epoch: 0,
            fence: self.node.term(),
            task: Task::Stage { model: model.clone() },
        }));
        let staging = Staging {
            model,
            ordered_at: now,
        };
        self.staging.insert(id.to_owned(), staging);
    }

    /// Forgets loads that are done, whose VM is unknown, or that have timed out.
    fn expire_staging(&mut self, now: Duration) {
        let registry = &self.registry;
        self.staging.retain(|id, staging| {
            let vm = registry.get(id);
            let is_done = vm.is_none_or(|vm| vm.announcement.staged.contains(&staging.model));
            !is_done && now < staging.ordered_at + STAGING_TIMEOUT
        });
    }

    /// Measured demand for each model of a service, in groups; empty while it is not reliable.
    fn measured_demand(&self, now: Duration, service: &Service) -> BTreeMap<String, f64> {
        let models = service.engine.iter().flat_map(|e| &e.models);
        let demand: BTreeMap<String, f64> = models
            .map(|model| {
                let key = Demand::key(&service.name, &model.name);
                let sum = self.fresh_digests(now).filter_map(|d| d.demand.get(&key)).sum();
                (model.name.clone(), sum)
            })
            .collect();
        let is_reliable = demand.values().all(|d: &f64| *d > MIN_MEASURED_DEMAND_GROUPS);
        if is_reliable { demand } else { BTreeMap::new() }
    }

    /// Usable VMs with a recent heartbeat and without refused connections since, that belong to no group and to no zone out of service.
    fn free_vms(&self, now: Duration, service: &Service) -> Vec<Candidate> {
        let silence_limit = self.timing.stalled_vm_silence_limit();
        let vms = self.registry.iter().filter(|vm| {
            let announcement = &vm.announcement;
            vm.is_usable()
                && announcement.service == service.name
                && now < vm.last_heartbeat + silence_limit
                && !self.proofs.is_suspect(now, vm)
                && !self.state.zones_out.contains(&announcement.zone)
                && self.state.group_of(&announcement.id).is_none()
                && announcement.membership.is_none()
        });
        let candidate = |vm: &super::Vm| Candidate {
            id: vm.announcement.id.clone(),
            domain: vm.announcement.domain.clone(),
            staged: vm.announcement.staged.clone(),
            staging: self.staging.get(&vm.announcement.id).map(|s| s.model.clone()),
        };
        vms.map(candidate).collect()
    }

    /// Member of a new group, from the VM's latest heartbeat.
    fn member(&self, id: &str) -> Option<Member> {
        let vm = self.registry.get(id)?;
        Some(Member {
            id: id.to_owned(),
            incarnation: vm.announcement.incarnation,
            address: vm.announcement.address.clone(),
            zone: vm.announcement.zone.clone(),
            first_sequence: vm.announcement.sequence.checked_add(1),
        })
    }

    /// Model and fabric domain of each group that is not closing. The domain is empty while no
    /// member is known.
    fn groups_with_domains(&self, service: &Service) -> Vec<(String, String)> {
        let is_closing = |epoch| self.lifecycles.get(epoch).is_some_and(|l| l.closing.is_some());
        let groups = self.state.groups.values().filter(|g| g.service == service.name);
        groups
            .filter(|g| !is_closing(&g.epoch))
            .map(|g| {
                let vm = g.members.iter().find_map(|m| self.registry.get(&m.id));
                let domain = vm.map(|vm| vm.announcement.domain.clone());
                (g.model.clone(), domain.unwrap_or_default())
            })
            .collect()
    }

    /// Loads from the weight store in progress: by members of forming groups, and onto hosts of free
    /// VMs.
    fn loads_in_progress(&self, service: &Service) -> usize {
        let forming_groups = self.state.groups.values().filter(|g| {
            let lifecycle = self.lifecycles.get(&g.epoch);
            g.service == service.name && lifecycle.is_none_or(|l| !l.opened && l.closing.is_none())
        });
        let is_loading = |group: &Group, member: &Member| {
            let vm = self.registry.get(&member.id);
            let membership = vm.and_then(|vm| vm.announcement.membership.as_ref());
            let is_ready = membership.is_some_and(|m| m.epoch == group.epoch && m.stage != Stage::Joining);
            let is_staged = vm.is_some_and(|vm| vm.announcement.staged.contains(&group.model));
            !is_ready && !is_staged
        };
        let joining: usize = forming_groups
            .map(|g| g.members.iter().filter(|m| is_loading(g, m)).count())
            .sum();
        let staging = self.staging.keys().filter(|id| self.state.group_of(id).is_none());
        joining + staging.count()
    }

    /// Derives the targets from the replicated state, so a new leader has them immediately.
    pub(super) fn recompute_targets(&mut self, now: Duration) {
        let mut closed = Vec::new();
        let mut targets = BTreeMap::new();
        for group in self.state.groups.values() {
            let lifecycle = self.lifecycles.get(&group.epoch);
            if group.closing || lifecycle.is_some_and(|l| l.closing.is_some()) {
                closed.push(group.head().id.clone());
            } else if group.opened {
                let target = self.group_target(now, group);
                targets.insert(target.id.clone(), target);
            }
        }
        for target in self.state.listed.values() {
            let vm = self.registry.get(&target.id);
            if vm.is_some_and(|vm| !vm.is_usable()) {
                closed.push(target.id.clone());
                continue;
            }
            let cold = vm.is_some_and(|vm| now < vm.cold_until);
            let target = Target {
                cold,
                limit: self.limits.get(&target.id, target.incarnation),
                ..target.clone()
            };
            targets.insert(target.id.clone(), target);
        }
        let has_new_targets = self.targets.replace(targets);
        if closed != self.closed {
            self.closed = closed;
            if !has_new_targets {
                self.targets.advance();
            }
        }
    }

    /// Target of an open group: its head.
    fn group_target(&self, now: Duration, group: &Group) -> Target {
        let head = group.head();
        let vm = self.registry.get(&head.id);
        let services = self.state.catalog.iter().flat_map(|c| &c.services);
        let slots = services
            .filter(|s| s.name == group.service)
            .find_map(|s| s.engine.as_ref().map(|e| e.slots));
        Target {
            id: head.id.clone(),
            incarnation: head.incarnation,
            address: head.address.clone(),
            zone: head.zone.clone(),
            service: group.service.clone(),
            model: Some(group.model.clone()),
            slots: slots.unwrap_or(1),
            cold: vm.is_some_and(|vm| now < vm.cold_until),
            limit: self.limits.get(&head.id, head.incarnation),
        }
    }
}
