//! The placement plan: release, repair and form groups.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Demand;
use super::Orders;
use super::Supply;
use super::demand::demands;
use super::rollout;
use super::supply::member;
use super::supply::model_name;
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
    /// VMs that may read from the weight store at the same time.
    pub loading_vms: usize,
    /// Commands in one plan.
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

/// What a plan is made from.
#[derive(Debug)]
pub struct Context<'a> {
    /// Time.
    pub now: Duration,
    /// Replicated state.
    pub state: &'a State,
    /// Announced VMs.
    pub registry: &'a Registry,
    /// Open orders.
    pub orders: &'a Orders,
    /// Durations of presence.
    pub timing: &'a Timing,
    /// Limits.
    pub settings: &'a Settings,
    /// Sessions of entries.
    pub sessions: &'a Table,
}

/// Commands to propose and the counts behind them.
#[derive(Debug, Default)]
pub struct Plan {
    /// Commands in order of importance.
    pub commands: Vec<Command>,
    /// Groups with a member missing.
    pub broken_groups: usize,
    /// Accelerators of VMs that hold capacity outside a complete group.
    pub stranded_accelerators: u32,
}

/// Condition of one group.
enum Health {
    Whole,
    /// Members that are missing, by position.
    Missing(Vec<usize>),
    /// Members that are present and about to leave, by position.
    Leaving(Vec<usize>),
    /// Of a version whose replicas the present one cannot use.
    Outdated,
    /// Unwanted.
    Surplus,
}

/// Makes a plan.
pub fn plan(context: &Context) -> Plan {
    let mut plan = Plan::default();
    let mut supply = Supply::new(context);
    let demands = demands(context.state);
    let mut budget = load_budget(context);
    let mut outdated = rollout::replaceable(context, &demands, &supply);
    let mut held: BTreeMap<(&str, Stage, &str), usize> = BTreeMap::new();
    for group in context.state.groups.values() {
        let demand = demands.iter().find(|d| is_for(d, group));
        let key = (group.environment.as_str(), group.stage, group.zone.as_str());
        let count = held.entry(key).or_default();
        match health(context, group, demand, *count) {
            Health::Whole => *count += 1,
            Health::Surplus => plan.commands.extend(drain_then(context, group, || {
                Some(Command::Release { group: group.id })
            })),
            Health::Outdated => {
                if group.draining.is_some() || rollout::take(&mut outdated, &key) {
                    plan.commands.extend(drain_then(context, group, || {
                        Some(Command::Release { group: group.id })
                    }));
                }
            }
            Health::Leaving(positions) => {
                *count += 1;
                let demand = demand.expect("a group without demand is surplus");
                plan.commands.extend(drain_then(context, group, || {
                    repair(context, group, demand, &positions, &mut supply, &mut budget)
                }));
            }
            Health::Missing(positions) => {
                plan.broken_groups += 1;
                *count += 1;
                let demand = demand.expect("a group without demand is surplus");
                let step = repair(context, group, demand, &positions, &mut supply, &mut budget);
                plan.commands.extend(step);
            }
        }
    }
    form(context, &demands, &held, &mut supply, &mut budget, &mut plan);
    plan.stranded_accelerators = stranded_accelerators(context);
    plan.commands.truncate(context.settings.batch);
    plan
}

pub(super) fn is_for(demand: &Demand, group: &Group) -> bool {
    demand.environment == group.environment && demand.stage == group.stage && demand.zone == group.zone
}

fn health(context: &Context, group: &Group, demand: Option<&Demand>, held: usize) -> Health {
    let Some(demand) = demand else {
        return Health::Surplus;
    };
    if !rollout::fits(context, group, demand) {
        return Health::Outdated;
    }
    if held >= demand.replicas + demand.substitutes {
        return Health::Surplus;
    }
    let missing: Vec<usize> = (0..group.members.len())
        .filter(|i| !is_held(context, &group.members[*i]))
        .collect();
    if !missing.is_empty() {
        return Health::Missing(missing);
    }
    let is_leaving = |i: &usize| present(context, &group.members[*i]).is_some_and(|a| a.report.leaving);
    let leaving: Vec<usize> = (0..group.members.len()).filter(is_leaving).collect();
    if leaving.is_empty() {
        Health::Whole
    } else {
        Health::Leaving(leaving)
    }
}

/// Whether a member is present in the claimed incarnation.
fn is_held(context: &Context, member: &Member) -> bool {
    present(context, member).is_some_and(|a| a.report.incarnation == member.incarnation)
}

/// Drains the group first, then takes the step.
fn drain_then(context: &Context, group: &Group, step: impl FnOnce() -> Option<Command>) -> Option<Command> {
    let Some(since) = group.draining else {
        return Some(Command::Drain { group: group.id });
    };
    if context.sessions.has_drained(context.state, group.id, since) {
        return step();
    }
    None
}

fn present<'a>(context: &Context<'a>, member: &Member) -> Option<&'a Announcement> {
    context
        .registry
        .present(context.now, context.timing.lost(), &member.vm)
}

/// Replaces missing members, waits for them, or dissolves the group.
fn repair(
    context: &Context,
    group: &Group,
    demand: &Demand,
    positions: &[usize],
    supply: &mut Supply,
    budget: &mut usize,
) -> Option<Command> {
    if context.state.is_zone_out(&group.zone) {
        return None;
    }
    let mut members = group.members.clone();
    let mut open: Vec<usize> = Vec::new();
    for position in positions {
        match present(context, &group.members[*position]) {
            Some(announcement) if !announcement.report.leaving => members[*position] = member(announcement),
            _ => open.push(*position),
        }
    }
    let spares = supply.take(&group.zone, &group.domain, demand.document, open.len());
    if spares.len() == open.len() {
        for (position, spare) in open.into_iter().zip(spares) {
            members[position] = spare;
        }
        *budget = budget.saturating_sub(positions.len());
        return Some(claim(Some(group), demand, &group.domain, members));
    }
    let silence = |position: &usize| {
        let vm = context.registry.get(&group.members[*position].vm);
        vm.map_or(Duration::MAX, |vm| context.now.saturating_sub(vm.last_seen))
    };
    let waited = positions.iter().map(silence).max().unwrap_or_default();
    let patience = Duration::from_millis(context.timing.wait_for_member_ms);
    (waited > patience).then_some(Command::Release { group: group.id })
}

fn claim(group: Option<&Group>, demand: &Demand, domain: &str, members: Vec<Member>) -> Command {
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

/// Forms new groups, the environments with the smallest share of theirs first.
fn form(
    context: &Context,
    demands: &[Demand],
    held: &BTreeMap<(&str, Stage, &str), usize>,
    supply: &mut Supply,
    budget: &mut usize,
    plan: &mut Plan,
) {
    let mut held = held.clone();
    loop {
        let mut ranked: Vec<(&Demand, usize)> = demands
            .iter()
            .filter(|d| !context.state.is_zone_out(&d.zone))
            .map(|d| {
                let key = (d.environment, d.stage, d.zone.as_str());
                (d, held.get(&key).copied().unwrap_or(0))
            })
            .filter(|(d, have)| *have < target(d, *have, supply))
            .collect();
        ranked.sort_by_key(|(d, have)| {
            let weight = d.document.weights.group_downtime.max(1) as usize;
            (d.stage, have * 1000 / d.replicas.max(1) / weight)
        });
        let mut progress = false;
        for (demand, _) in ranked {
            let need = demand.document.members_per_replica;
            let costs_load = demand.document.kind == Kind::Engine;
            if costs_load && *budget < need {
                continue;
            }
            if plan.commands.len() >= context.settings.batch {
                return;
            }
            let Some((domain, members)) = supply.take_group(&demand.zone, demand.document) else {
                continue;
            };
            if costs_load {
                *budget -= need;
            }
            let key = (demand.environment, demand.stage, demand.zone.as_str());
            *held.entry(key).or_default() += 1;
            plan.commands.push(claim(None, demand, &domain, members));
            progress = true;
        }
        if !progress {
            return;
        }
    }
}

/// Replicas to hold in a demand's zone, with those that stand in for zones out.
///
/// An environment that weighs group downtime above zone moves keeps one
/// replica's worth of spare VMs back for repairs.
fn target(demand: &Demand, have: usize, supply: &Supply) -> usize {
    if have < demand.replicas || demand.substitutes == 0 {
        return demand.replicas;
    }
    let weights = &demand.document.weights;
    let need = demand.document.members_per_replica;
    let kept = if weights.group_downtime > weights.zone_move {
        need
    } else {
        0
    };
    if supply.count(&demand.zone, demand.document) >= need + kept {
        return demand.replicas + demand.substitutes;
    }
    have
}

/// VMs that may start to load weights now.
fn load_budget(context: &Context) -> usize {
    let mut loading = 0;
    for group in context.state.groups.values() {
        let configuration = context.state.environments.get(&group.environment);
        let Some(version) = configuration.and_then(|c| c.version(group.version)) else {
            continue;
        };
        if version.document.kind == Kind::Service {
            continue;
        }
        let model = model_name(&version.document);
        let busy = |m: &&Member| present(context, m).is_some_and(|a| a.report.model != model);
        loading += group.members.iter().filter(busy).count();
    }
    context.settings.loading_vms.saturating_sub(loading)
}

/// Whether all members of a group report that they are ready in it.
pub(super) fn is_complete(context: &Context, group: &Group) -> bool {
    let ready =
        |m: &Member| present(context, m).is_some_and(|a| a.report.ready && a.report.fence == group.fence);
    group.members.iter().all(ready)
}

/// Accelerators on present VMs that serve no complete group.
fn stranded_accelerators(context: &Context) -> u32 {
    let groups = &context.state.groups;
    let complete: Vec<u64> = groups
        .values()
        .filter(|g| is_complete(context, g))
        .map(|g| g.id)
        .collect();
    let lost = context.timing.lost();
    let mut sum = 0;
    for vm in context.registry.iter() {
        let present = context.now < vm.last_seen + lost;
        let claim = context.state.claims.get(&vm.announcement.vm);
        let serves = claim.is_some_and(|c| complete.binary_search(c).is_ok());
        if present && !serves {
            sum += vm.announcement.accelerators;
        }
    }
    sum
}
