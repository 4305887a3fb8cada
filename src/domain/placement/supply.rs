//! Free VMs by availability zone, kind and fabric domain.

use std::collections::BTreeMap;

use super::Context;
use crate::domain::environment::Document;
use crate::domain::environment::Kind;
use crate::domain::membership::Announcement;
use crate::domain::state::Member;

/// Free VMs of one fabric domain.
type Domain<'a> = BTreeMap<&'a str, &'a Announcement>;

/// All VMs that may be claimed now.
#[derive(Debug, Default)]
pub struct Supply<'a> {
    domains: BTreeMap<(&'a str, &'a str), Domain<'a>>,
}

impl<'a> Supply<'a> {
    /// Free VMs by the state and the registry in `context`.
    pub fn new(context: &Context<'a>) -> Self {
        let mut supply = Supply::default();
        let lost = context.timing.lost();
        for vm in context.registry.iter() {
            let announcement = &vm.announcement;
            let present = context.now < vm.last_seen + lost;
            if present && !announcement.report.leaving && is_free(context, announcement) {
                let key = (announcement.zone.as_str(), announcement.domain.as_str());
                let vms = supply.domains.entry(key).or_default();
                vms.insert(&announcement.vm, announcement);
            }
        }
        supply
    }

    /// Number of free VMs that fit `document` in `zone`.
    pub fn count(&self, zone: &str, document: &Document) -> usize {
        let domains = self.domains.iter().filter(|((z, _), _)| *z == zone);
        domains
            .map(|(_, vms)| vms.values().filter(|a| fits(a, document)).count())
            .sum()
    }

    /// Takes the VMs for one replica from the domain that is left with the fewest.
    ///
    /// Filling the fullest fit first keeps whole replicas possible elsewhere, so
    /// that fewer accelerators are stranded. Among equal fits, the domain with
    /// more VMs that hold the weights already wins.
    pub fn take_group(&mut self, zone: &str, document: &Document) -> Option<(String, Vec<Member>)> {
        let need = document.members_per_replica;
        let model = model_name(document);
        let mut best: Option<(usize, usize, &'a str)> = None;
        for ((_, domain), vms) in self.domains.iter().filter(|((z, _), _)| *z == zone) {
            let fitting = vms.values().filter(|a| fits(a, document)).count();
            if fitting < need {
                continue;
            }
            let loaded = vms.values().filter(|a| a.report.model == model).count();
            // Whole replicas that remain do not strand anything; the remainder does.
            let remainder = (fitting - need) % need;
            let cost = (remainder, need.saturating_sub(loaded));
            if best.is_none_or(|(r, l, _)| cost < (r, l)) {
                best = Some((cost.0, cost.1, domain));
            }
        }
        let (_, _, domain) = best?;
        let members = self.take(zone, domain, document, need);
        Some((domain.to_owned(), members))
    }

    /// Takes up to `count` VMs of one domain, those with the weights first.
    pub fn take(&mut self, zone: &str, domain: &str, document: &Document, count: usize) -> Vec<Member> {
        let model = model_name(document);
        let found = self
            .domains
            .iter_mut()
            .find(|((z, d), _)| *z == zone && *d == domain);
        let Some((_, vms)) = found else {
            return Vec::new();
        };
        let mut fitting: Vec<&Announcement> = vms.values().copied().filter(|a| fits(a, document)).collect();
        fitting.sort_by_key(|a| (a.report.model != model, a.vm.clone()));
        fitting.truncate(count);
        let members: Vec<Member> = fitting.iter().map(|a| member(a)).collect();
        for member in &members {
            vms.remove(member.vm.as_str());
        }
        members
    }
}

/// Name of the weights that `document` needs.
pub(super) fn model_name(document: &Document) -> String {
    format!("{}@{}", document.model, document.model_version)
}

/// Member as announced.
pub(super) fn member(announcement: &Announcement) -> Member {
    Member {
        vm: announcement.vm.clone(),
        incarnation: announcement.report.incarnation,
        address: announcement.address.to_string(),
    }
}

fn fits(announcement: &Announcement, document: &Document) -> bool {
    let same_service = document.kind == Kind::Engine || announcement.report.model == document.model;
    announcement.kind == document.kind && same_service
}

/// Whether a VM is unclaimed and everybody has stopped using its last group.
fn is_free(context: &Context, announcement: &Announcement) -> bool {
    let state = context.state;
    if state.claims.contains_key(&announcement.vm) {
        return false;
    }
    let released = state.released.get(&announcement.vm).copied().unwrap_or(0);
    context.sessions.has_applied(state, released)
        && !context
            .orders
            .is_open(&announcement.vm, announcement.report.incarnation)
}
