//! The placement plan: commands that release, repair and form groups.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Demand;
use super::Orders;
use super::Supply;
use super::demand::demands;
use super::rollout;
use super::supply::member_of;
use super::supply::versioned_model;
use crate::domain::environment::Kind;
use crate::domain::membership::Announcement;
use crate::domain::membership::Registry;
use crate::domain::membership::Timing;
use crate::domain::session::Table;
use crate::domain::state::Command;
use crate::domain::state::Group;
use crate::domain::state::Member;
use crate::domain::state::Stage;
use crate::domain::state::State;

/// Limits of placement.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Largest number of VMs that read from the weight store at the same time.
    pub loading_vms: usize,
    /// Largest number of commands in one plan.
    pub batch: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            loading_vms: 64,
            batch: 256,
        }
    }
}

/// Input of a plan.
#[derive(Debug)]
pub struct Context<'a> {
    /// Current time.
    pub now: Duration,
    /// Replicated state.
    pub state: &'a State,
    /// Announced VMs and when each was last seen.
    pub registry: &'a Registry,
    /// Pending orders to VMs.
    pub orders: &'a Orders,
    /// Durations after which a VM counts as absent.
    pub timing: &'a Timing,
    /// Limits of the plan.
    pub settings: &'a Settings,
    /// Sessions of entries, and the log index that each has applied.
    pub sessions: &'a Table,
}

/// Commands to propose, and counts for the metrics.
#[derive(Debug, Default)]
pub struct Plan {
    /// Commands to propose, at most [`Settings::batch`]; a later plan contains the rest.
    pub commands: Vec<Command>,
    /// Number of groups with a member that is absent or has restarted.
    pub broken_groups: usize,
    /// Number of accelerators on present VMs that belong to no group whose members are all ready.
    pub stranded_accelerators: u32,
}

/// Condition of a group, which decides what the plan does with it.
enum Health {
    /// All members are present, and none is about to leave.
    Complete,
    /// Positions of the members that are absent or have restarted.
    Missing(Vec<usize>),
    /// Positions of the members that are about to leave; all are present.
    Leaving(Vec<usize>),
    /// Cannot serve the current version without loading another model or changing its size.
    Outdated,
    /// Not needed by its environment in this zone.
    Surplus,
}

/// Makes a plan: existing groups first, then new ones with the VMs that are left.
pub fn plan(context: &Context) -> Plan {
    let mut plan = Plan::default();
    let mut supply = Supply::new(context);
    let demands = demands(context.state);
    let mut load_budget = remaining_load_budget(context);
    let mut allowed_releases = rollout::allowed_releases(context, &demands, &supply);
    let mut kept: BTreeMap<(&str, Stage, &str), usize> = BTreeMap::new();
    for group in context.state.groups.values() {
        let demand = demands.iter().find(|d| is_demand_for(d, group));
        let key = (group.environment.as_str(), group.stage, group.zone.as_str());
        let count = kept.entry(key).or_default();
        match health(context, group, demand, *count) {
            Health::Complete => *count += 1,
            Health::Surplus => plan.commands.extend(drain_then(context, group, || {
                Some(Command::Release { group: group.id })
            })),
            Health::Outdated => {
                if group.draining.is_some() || rollout::take_release(&mut allowed_releases, &key) {
                    plan.commands.extend(drain_then(context, group, || {
                        Some(Command::Release { group: group.id })
                    }));
                }
            }
            Health::Leaving(positions) => {
                *count += 1;
                let demand = demand.expect("a group without demand is surplus");
                plan.commands.extend(drain_then(context, group, || {
                    repair(context, group, demand, &positions, &mut supply, &mut load_budget)
                }));
            }
            Health::Missing(positions) => {
                plan.broken_groups += 1;
                *count += 1;
                let demand = demand.expect("a group without demand is surplus");
                let command = repair(context, group, demand, &positions, &mut supply, &mut load_budget);
                plan.commands.extend(command);
            }
        }
    }
    form_groups(context, &demands, &kept, &mut supply, &mut load_budget, &mut plan);
    plan.stranded_accelerators = stranded_accelerators(context);
    plan.commands.truncate(context.settings.batch);
    plan
}

/// Whether `group` serves the environment, stage and availability zone of `demand`.
pub(super) fn is_demand_for(demand: &Demand, group: &Group) -> bool {
    demand.environment == group.environment && demand.stage == group.stage && demand.zone == group.zone
}

/// Condition of `group`, when `kept` groups of its demand are kept already.
fn health(context: &Context, group: &Group, demand: Option<&Demand>, kept: usize) -> Health {
    let Some(demand) = demand else {
        return Health::Surplus;
    };
    if !rollout::can_serve_demand(context, group, demand) {
        return Health::Outdated;
    }
    if kept >= demand.replicas + demand.failover_replicas {
        return Health::Surplus;
    }
    let missing: Vec<usize> = (0..group.members.len())
        .filter(|i| !is_present(context, &group.members[*i]))
        .collect();
    if !missing.is_empty() {
        return Health::Missing(missing);
    }
    let is_leaving = |i: &usize| present_vm(context, &group.members[*i]).is_some_and(|a| a.report.leaving);
    let leaving: Vec<usize> = (0..group.members.len()).filter(is_leaving).collect();
    if leaving.is_empty() {
        Health::Complete
    } else {
        Health::Leaving(leaving)
    }
}

/// Whether a member is present in the incarnation that the group claimed.
fn is_present(context: &Context, member: &Member) -> bool {
    present_vm(context, member).is_some_and(|a| a.report.incarnation == member.incarnation)
}

/// Drains the group; once every entry has stopped using it, returns the command of
/// `after_drain`.
fn drain_then(
    context: &Context,
    group: &Group,
    after_drain: impl FnOnce() -> Option<Command>,
) -> Option<Command> {
    let Some(since) = group.draining else {
        return Some(Command::Drain { group: group.id });
    };
    if context.sessions.all_drained(context.state, group.id, since) {
        return after_drain();
    }
    None
}

/// Latest announcement of a member's VM, if the VM is present.
fn present_vm<'a>(context: &Context<'a>, member: &Member) -> Option<&'a Announcement> {
    context
        .registry
        .get_present(context.now, context.timing.presence_timeout(), &member.vm)
}

/// Replaces the members at `positions`. Without enough spare VMs, waits for the members, and
/// releases the group when one has been silent for `wait_for_member_ms`.
fn repair(
    context: &Context,
    group: &Group,
    demand: &Demand,
    positions: &[usize],
    supply: &mut Supply,
    load_budget: &mut usize,
) -> Option<Command> {
    if context.state.is_zone_out(&group.zone) {
        return None;
    }
    let mut members = group.members.clone();
    let mut vacant: Vec<usize> = Vec::new();
    for position in positions {
        match present_vm(context, &group.members[*position]) {
            // The upstream on the VM has restarted, so its new incarnation is claimed.
            Some(announcement) if !announcement.report.leaving => {
                members[*position] = member_of(announcement)
            }
            _ => vacant.push(*position),
        }
    }
    let spares = supply.take(&group.zone, &group.domain, demand.document, vacant.len());
    if spares.len() == vacant.len() {
        for (position, spare) in vacant.into_iter().zip(spares) {
            members[position] = spare;
        }
        *load_budget = load_budget.saturating_sub(positions.len());
        return Some(claim_command(Some(group), demand, &group.domain, members));
    }
    let silence = |position: &usize| {
        let vm = context.registry.get(&group.members[*position].vm);
        vm.map_or(Duration::MAX, |vm| context.now.saturating_sub(vm.last_seen))
    };
    let longest_silence = positions.iter().map(silence).max().unwrap_or_default();
    let max_silence = Duration::from_millis(context.timing.wait_for_member_ms);
    (longest_silence > max_silence).then_some(Command::Release { group: group.id })
}

/// Command that forms a group, or replaces the members of `group`.
fn claim_command(group: Option<&Group>, demand: &Demand, domain: &str, members: Vec<Member>) -> Command {
    Command::Claim {
        group: group.map(|g| g.id),
        base: group.map_or(0, |g| g.fence),
        environment: demand.environment.to_owned(),
        stage: demand.stage,
        version: demand.version,
        zone: demand.zone.clone(),
        domain: domain.to_owned(),
        members,
    }
}

/// Forms new groups, those on trial first, then those of the environments with the smallest
/// fraction of their replicas formed, divided by their weight of group downtime.
fn form_groups(
    context: &Context,
    demands: &[Demand],
    kept: &BTreeMap<(&str, Stage, &str), usize>,
    supply: &mut Supply,
    load_budget: &mut usize,
    plan: &mut Plan,
) {
    let mut group_counts = kept.clone();
    loop {
        let mut ranked: Vec<(&Demand, usize)> = demands
            .iter()
            .filter(|d| !context.state.is_zone_out(&d.zone))
            .map(|d| {
                let key = (d.environment, d.stage, d.zone.as_str());
                (d, group_counts.get(&key).copied().unwrap_or(0))
            })
            .filter(|(d, group_count)| *group_count < target_replicas(d, *group_count, supply))
            .collect();
        ranked.sort_by_key(|(d, group_count)| {
            let weight = d.document.weights.group_downtime.max(1) as usize;
            (d.stage, group_count * 1000 / d.replicas.max(1) / weight)
        });
        let mut formed_any = false;
        for (demand, _) in ranked {
            let members_needed = demand.document.members_per_replica;
            let loads_weights = demand.document.kind == Kind::Engine;
            if loads_weights && *load_budget < members_needed {
                continue;
            }
            if plan.commands.len() >= context.settings.batch {
                return;
            }
            let Some((domain, members)) = supply.take_group(&demand.zone, demand.document) else {
                continue;
            };
            if loads_weights {
                *load_budget -= members_needed;
            }
            let key = (demand.environment, demand.stage, demand.zone.as_str());
            *group_counts.entry(key).or_default() += 1;
            plan.commands.push(claim_command(None, demand, &domain, members));
            formed_any = true;
        }
        if !formed_any {
            return;
        }
    }
}

/// Number of groups that a demand should have, given that it has `group_count`.
///
/// Includes the replicas that replace those of zones out of service while enough VMs are
/// free. An environment whose weight of group downtime is above that of zone moves keeps the
/// VMs of one replica free for repairs.
fn target_replicas(demand: &Demand, group_count: usize, supply: &Supply) -> usize {
    if group_count < demand.replicas || demand.failover_replicas == 0 {
        return demand.replicas;
    }
    let weights = &demand.document.weights;
    let members_needed = demand.document.members_per_replica;
    let reserved = if weights.group_downtime > weights.zone_move {
        members_needed
    } else {
        0
    };
    if supply.count(&demand.zone, demand.document) >= members_needed + reserved {
        return demand.replicas + demand.failover_replicas;
    }
    group_count
}

/// Number of VMs that may start to load weights now.
fn remaining_load_budget(context: &Context) -> usize {
    let mut loading = 0;
    for group in context.state.groups.values() {
        let configuration = context.state.environments.get(&group.environment);
        let Some(version) = configuration.and_then(|c| c.version(group.version)) else {
            continue;
        };
        if version.document.kind == Kind::Service {
            continue;
        }
        let model = versioned_model(&version.document);
        let is_loading = |m: &&Member| present_vm(context, m).is_some_and(|a| a.report.model != model);
        loading += group.members.iter().filter(is_loading).count();
    }
    context.settings.loading_vms.saturating_sub(loading)
}

/// Whether all members of a group report that they are ready with its fencing token.
pub(super) fn is_ready(context: &Context, group: &Group) -> bool {
    let ready =
        |m: &Member| present_vm(context, m).is_some_and(|a| a.report.ready && a.report.fence == group.fence);
    group.members.iter().all(ready)
}

/// Number of accelerators on present VMs that belong to no group whose members are all ready.
fn stranded_accelerators(context: &Context) -> u32 {
    let groups = &context.state.groups;
    let ready_groups: Vec<u64> = groups
        .values()
        .filter(|g| is_ready(context, g))
        .map(|g| g.id)
        .collect();
    let presence_timeout = context.timing.presence_timeout();
    let mut sum = 0;
    for vm in context.registry.iter() {
        let present = context.now < vm.last_seen + presence_timeout;
        let claim = context.state.claims.get(&vm.announcement.vm);
        let in_ready_group = claim.is_some_and(|c| ready_groups.binary_search(c).is_ok());
        if present && !in_ready_group {
            sum += vm.announcement.accelerators;
        }
    }
    sum
}
