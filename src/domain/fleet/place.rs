//! The leader's work on groups, and the targets that follow from it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Candidate;
use super::Command;
use super::Group;
use super::Member;
use super::Note;
use super::Stage;
use super::Supply;
use super::Target;
use super::core::Action;
use super::core::Core;
use super::forming::Progress;
use super::forming::Step;
use super::forming::View;
use super::plan;
use crate::domain::catalog::Service;

/// Time for which a gateway's word on a target counts.
const REPORT_FRESH: Duration = Duration::from_millis(1_500);

impl Core {
    /// Advances all groups, forms new ones, and renews the targets.
    pub(super) fn place(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.leads(now) || self.state.document.is_none() {
            return;
        }
        self.advance_groups(now, out);
        if self.is_settled(now) && self.pending.is_empty() {
            self.form_groups(now, out);
        }
        self.renew_targets(now);
    }

    fn advance_groups(&mut self, now: Duration, out: &mut Vec<Action>) {
        let groups: Vec<Group> = self.state.groups.values().cloned().collect();
        self.progress
            .retain(|epoch, _| self.state.groups.contains_key(epoch));
        let restored = self.leading_since;
        for group in groups {
            let epoch = group.epoch;
            // A group from before this leadership may have been opened by an earlier leader.
            let is_restored = !self.progress.contains_key(&epoch)
                && restored.is_some_and(|s| now < s + self.timing.settle());
            let mut progress = self
                .progress
                .remove(&epoch)
                .unwrap_or_else(|| Progress::new(now, is_restored));
            let view = self.view(now, &group);
            let steps = progress.advance(&group, &view);
            self.progress.insert(epoch, progress);
            for step in steps {
                match step {
                    Step::Order(order) => out.push(Action::Order(order)),
                    Step::Opened => out.push(Action::Note(Note::Opened(epoch))),
                    Step::Lost(loss, vm) => out.push(Action::Note(Note::Lost(epoch, loss, vm))),
                    Step::Dissolve if self.pending.is_empty() => {
                        self.propose(now, None, Command::Dissolve { epoch }, out);
                    }
                    Step::Dissolve => {}
                }
            }
        }
    }

    fn view(&self, now: Duration, group: &Group) -> View<'_> {
        let head = &group.head().id;
        let fresh = || self.gateways.values().filter(|g| now < g.heard + REPORT_FRESH);
        View {
            now,
            registry: &self.registry,
            timing: &self.timing,
            fence: self.node.term(),
            served: fresh().any(|g| g.report.served.contains(head)),
            stalled: fresh().any(|g| g.report.stalled.contains(head)),
            since: self.leading_since.unwrap_or(now),
        }
    }

    fn form_groups(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(document) = self.state.document.as_ref() else {
            return;
        };
        let services = document.raw.services.clone();
        for service in &services {
            let Some(engine) = service.engine.as_ref().filter(|e| !e.models.is_empty()) else {
                continue;
            };
            let candidates = self.free_vms(now, service);
            if candidates.is_empty() {
                continue;
            }
            let groups = self.count_groups(service);
            let supply = Supply {
                engine,
                candidates,
                groups,
                demand: BTreeMap::new(),
            };
            let Some(draft) = plan::draft(&supply) else {
                continue;
            };
            let loading = self.loading(service);
            if draft.loads > 0 && loading > 0 && loading + draft.loads > engine.loads_at_once {
                continue;
            }
            let members = draft.members.iter().filter_map(|c| self.member(&c.id)).collect();
            let command = Command::Form {
                service: service.name.clone(),
                model: draft.model,
                members,
            };
            self.propose(now, None, command, out);
        }
    }

    fn free_vms(&self, now: Duration, service: &Service) -> Vec<Candidate> {
        let recent = self.timing.lost_when_stalled();
        let vms = self.registry.iter().filter(|vm| {
            let a = &vm.announcement;
            vm.is_usable()
                && a.service == service.name
                && now < vm.heard + recent
                && !self.state.zones_out.contains(&a.zone)
                && self.state.group_of(&a.id).is_none()
        });
        let candidate = |vm: &super::Vm| Candidate {
            id: vm.announcement.id.clone(),
            domain: vm.announcement.domain.clone(),
            staged: vm.announcement.staged.clone(),
        };
        vms.map(candidate).collect()
    }

    fn member(&self, id: &str) -> Option<Member> {
        let vm = self.registry.get(id)?;
        Some(Member {
            id: id.to_owned(),
            incarnation: vm.announcement.incarnation,
            address: vm.announcement.address.clone(),
            zone: vm.announcement.zone.clone(),
        })
    }

    fn count_groups(&self, service: &Service) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for group in self.state.groups.values().filter(|g| g.service == service.name) {
            let closing = self
                .progress
                .get(&group.epoch)
                .is_some_and(|p| p.closing.is_some());
            if !closing {
                *counts.entry(group.model.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Members of forming groups that load weights from the store.
    fn loading(&self, service: &Service) -> usize {
        let forming = self.state.groups.values().filter(|g| {
            let progress = self.progress.get(&g.epoch);
            g.service == service.name && progress.is_none_or(|p| !p.opened && p.closing.is_none())
        });
        let is_loading = |group: &Group, member: &Member| {
            let vm = self.registry.get(&member.id);
            let stage = vm.and_then(|vm| vm.announcement.membership.as_ref());
            let is_ready = stage.is_some_and(|m| m.epoch == group.epoch && m.stage != Stage::Joining);
            let is_staged = vm.is_some_and(|vm| vm.announcement.staged.contains(&group.model));
            !is_ready && !is_staged
        };
        forming
            .map(|g| g.members.iter().filter(|m| is_loading(g, m)).count())
            .sum()
    }

    fn renew_targets(&mut self, now: Duration) {
        let mut closed = Vec::new();
        let mut targets = Vec::new();
        for group in self.state.groups.values() {
            let Some(progress) = self.progress.get(&group.epoch) else {
                continue;
            };
            if progress.closing.is_some() {
                closed.push(group.head().id.clone());
            } else if progress.opened {
                targets.push(self.group_target(now, group));
            }
        }
        let services = self.state.document.iter().flat_map(|d| &d.raw.services);
        let is_plain = |name: &str| {
            let service = services.clone().find(|s| s.name == name);
            service.is_some_and(|s| s.engine.as_ref().is_none_or(|e| e.models.is_empty()))
        };
        for vm in self.registry.iter() {
            let a = &vm.announcement;
            if !is_plain(&a.service) {
                continue;
            }
            if !vm.is_usable() {
                closed.push(a.id.clone());
                continue;
            }
            targets.push(Target {
                id: a.id.clone(),
                address: a.address.clone(),
                zone: a.zone.clone(),
                service: a.service.clone(),
                model: None,
                slots: a.slots,
                cold: now < vm.cold_until,
            });
        }
        if targets != self.targets || closed != self.closed {
            self.targets = targets;
            self.closed = closed;
            self.revision += 1;
        }
    }

    fn group_target(&self, now: Duration, group: &Group) -> Target {
        let head = group.head();
        let vm = self.registry.get(&head.id);
        let engine = self.state.document.iter().flat_map(|d| &d.raw.services);
        let slots = engine
            .filter(|s| s.name == group.service)
            .find_map(|s| s.engine.as_ref().map(|e| e.slots));
        Target {
            id: head.id.clone(),
            address: head.address.clone(),
            zone: head.zone.clone(),
            service: group.service.clone(),
            model: Some(group.model.clone()),
            slots: slots.unwrap_or(1),
            cold: vm.is_some_and(|vm| now < vm.cold_until),
        }
    }
}
