//! Free VMs by availability zone and fabric domain.

use std::collections::BTreeMap;

use super::Context;
use crate::domain::environment::Document;
use crate::domain::environment::Kind;
use crate::domain::membership::Announcement;
use crate::domain::state::Member;

/// Free VMs of one fabric domain, by name.
type Domain<'a> = BTreeMap<&'a str, &'a Announcement>;

/// Free VMs: present, not leaving, and in use by no group.
#[derive(Debug, Default)]
pub struct Supply<'a> {
    /// By availability zone and fabric domain.
    domains: BTreeMap<(&'a str, &'a str), Domain<'a>>,
}

impl<'a> Supply<'a> {
    /// Free VMs according to `context`.
    pub fn new(context: &Context<'a>) -> Self {
        let mut supply = Supply::default();
        let lost = context.timing.lost();
        for vm in context.registry.iter() {
            let announcement = &vm.announcement;
            let present = context.now < vm.last_seen + lost;
            if present && !announcement.report.leaving && is_unused(context, announcement) {
                let key = (announcement.zone.as_str(), announcement.domain.as_str());
                let vms = supply.domains.entry(key).or_default();
                vms.insert(&announcement.vm, announcement);
            }
        }
        supply
    }

    /// Number of free VMs in `zone` that can serve `document`.
    pub fn count(&self, zone: &str, document: &Document) -> usize {
        let domains = self.domains.iter().filter(|((z, _), _)| *z == zone);
        domains
            .map(|(_, vms)| vms.values().filter(|a| can_serve(a, document)).count())
            .sum()
    }

    /// Takes the VMs of one replica from one domain of `zone`, and returns that domain.
    ///
    /// Chooses the domain where the fewest VMs remain that cannot form a further replica,
    /// so that few accelerators are stranded. Among equal ones, the domain with more VMs
    /// that have the weights already is chosen. `None` when no domain has enough VMs.
    pub fn take_group(&mut self, zone: &str, document: &Document) -> Option<(String, Vec<Member>)> {
        let members_needed = document.members_per_replica;
        let model = versioned_model(document);
        let mut best: Option<(usize, usize, &'a str)> = None;
        for ((_, domain), vms) in self.domains.iter().filter(|((z, _), _)| *z == zone) {
            let fitting = vms.values().filter(|a| can_serve(a, document)).count();
            if fitting < members_needed {
                continue;
            }
            let loaded = vms.values().filter(|a| a.report.model == model).count();
            // Remaining VMs that can form whole replicas are not stranded.
            let stranded = (fitting - members_needed) % members_needed;
            let cost = (stranded, members_needed.saturating_sub(loaded));
            if best.is_none_or(|(best_stranded, best_loads, _)| cost < (best_stranded, best_loads)) {
                best = Some((cost.0, cost.1, domain));
            }
        }
        let (_, _, domain) = best?;
        let members = self.take(zone, domain, document, members_needed);
        Some((domain.to_owned(), members))
    }

    /// Takes up to `count` VMs of one domain, those that have the weights already first.
    pub fn take(&mut self, zone: &str, domain: &str, document: &Document, count: usize) -> Vec<Member> {
        let model = versioned_model(document);
        let found = self
            .domains
            .iter_mut()
            .find(|((z, d), _)| *z == zone && *d == domain);
        let Some((_, vms)) = found else {
            return Vec::new();
        };
        let mut fitting: Vec<&Announcement> =
            vms.values().copied().filter(|a| can_serve(a, document)).collect();
        fitting.sort_by_key(|a| (a.report.model != model, a.vm.clone()));
        fitting.truncate(count);
        let members: Vec<Member> = fitting.iter().map(|a| member_of(a)).collect();
        for member in &members {
            vms.remove(member.vm.as_str());
        }
        members
    }
}

/// Model that `document` needs, as `model@version`.
pub(super) fn versioned_model(document: &Document) -> String {
    format!("{}@{}", document.model, document.model_version)
}

/// Group member that an announced VM becomes.
pub(super) fn member_of(announcement: &Announcement) -> Member {
    Member {
        vm: announcement.vm.clone(),
        incarnation: announcement.report.incarnation,
        address: announcement.address.to_string(),
    }
}

/// Whether the VM is of the right kind, and of the right service if it is a service.
fn can_serve(announcement: &Announcement, document: &Document) -> bool {
    let same_service = document.kind == Kind::Engine || announcement.report.model == document.model;
    announcement.kind == document.kind && same_service
}

/// Whether no group claims the VM, every entry has stopped using its last group, and no
/// order to it is pending.
fn is_unused(context: &Context, announcement: &Announcement) -> bool {
    let state = context.state;
    if state.claims.contains_key(&announcement.vm) {
        return false;
    }
    let released = state.released.get(&announcement.vm).copied().unwrap_or(0);
    context.sessions.all_applied(state, released)
        && !context
            .orders
            .is_pending(&announcement.vm, announcement.report.incarnation)
}
