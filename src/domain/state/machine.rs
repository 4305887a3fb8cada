//! Replicated state and the effect of each command on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::Change;
use super::Command;
use super::Configuration;
use super::Entry;
use super::Group;
use super::Ledger;
use super::Member;
use super::Reply;
use super::Stage;

/// Replies to operators kept at most, to return them again to retried requests.
const MAX_OPERATOR_REPLIES: usize = 20_000;

/// Service state of an availability zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Zone {
    /// Whether an operator has taken it out of service.
    pub out: bool,
    /// Number of changes by operators.
    pub version: u64,
    /// Operator of the last change.
    pub operator: String,
    /// Log index of the last change.
    pub changed: u64,
}

/// State that the control processes replicate.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Log index of the last applied record.
    pub index: u64,
    /// Environments by name.
    pub environments: BTreeMap<String, Configuration>,
    /// Availability zones by name; those that no operator ever changed are missing.
    pub zones: BTreeMap<String, Zone>,
    /// Entries by session.
    pub entries: BTreeMap<String, Entry>,
    /// Replica groups by number.
    pub groups: BTreeMap<u64, Group>,
    /// Number of the group to which a VM belongs, by name of the VM.
    pub claims: BTreeMap<String, u64>,
    /// Log index at which a VM that belongs to no group left its last one, by name of the VM.
    pub released: BTreeMap<String, u64>,
    /// Non-repeatable calls.
    pub ledger: Ledger,
    /// Replies to operators, by operator and request.
    answers: BTreeMap<String, Reply>,
    /// Keys of `answers`, oldest first.
    answer_order: VecDeque<String>,
}

impl State {
    /// Applies the command at log index `index`.
    ///
    /// Panics unless `index` is higher than the last one, or when a VM would belong to two
    /// groups afterwards.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        assert!(index > self.index, "commands are applied in the order of the log");
        self.index = index;
        let reply = self.execute(index, command);
        if matches!(command, Command::Claim { .. } | Command::Release { .. })
            && let Err(reason) = self.verify_claims()
        {
            panic!("{reason}");
        }
        reply
    }

    /// Copy without the ledger, the released VMs and the replies to operators, for entries.
    pub fn without_ledger(&self) -> State {
        State {
            index: self.index,
            environments: self.environments.clone(),
            zones: self.zones.clone(),
            entries: self.entries.clone(),
            groups: self.groups.clone(),
            claims: self.claims.clone(),
            released: BTreeMap::new(),
            ..State::default()
        }
    }

    /// Whether an operator has taken `zone` out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|z| z.out)
    }

    /// Verifies that no VM belongs to two groups and that `claims` matches `groups`.
    ///
    /// # Errors
    ///
    /// Description of the first violation.
    pub fn verify_claims(&self) -> Result<(), String> {
        let mut seen = BTreeSet::new();
        for group in self.groups.values() {
            for member in &group.members {
                if !seen.insert(&member.vm) {
                    return Err(format!("VM {} belongs to two groups", member.vm));
                }
                if self.claims.get(&member.vm) != Some(&group.id) {
                    return Err(format!("VM {} has no claim of group {}", member.vm, group.id));
                }
            }
        }
        if seen.len() != self.claims.len() {
            return Err("claim without a group".to_owned());
        }
        Ok(())
    }

    fn execute(&mut self, index: u64, command: &Command) -> Reply {
        let accepted = Reply::Accepted { version: 0, index };
        match command {
            Command::Operate {
                operator,
                request,
                change,
            } => return self.operate(index, operator, request, change),
            Command::Join { session, entry } => {
                self.entries.insert(session.clone(), entry.clone());
            }
            Command::Leave { session } => self.leave(index, session),
            Command::Claim { .. } => return self.claim(index, command),
            Command::Drain { group } => {
                if let Some(group) = self.groups.get_mut(group) {
                    group.draining.get_or_insert(index);
                }
            }
            Command::Release { group } => self.release(index, *group),
            Command::Assign { group, epoch, owner } => {
                return self.assign(index, *group, *epoch, owner.as_deref());
            }
            Command::Begin {
                call,
                attempt,
                session,
            } => {
                return Reply::Ledger(self.ledger.begin(call, attempt, session));
            }
            Command::Finish {
                call,
                attempt,
                outcome,
            } => {
                return Reply::Ledger(self.ledger.finish(call, attempt, outcome));
            }
            Command::Forget { now_ms, retention_ms } => self.ledger.forget(*now_ms, *retention_ms),
        }
        accepted
    }

    fn operate(&mut self, index: u64, operator: &str, request: &str, change: &Change) -> Reply {
        let request_key = format!("{operator}\u{1f}{request}");
        if let Some(reply) = self.answers.get(&request_key) {
            return reply.clone();
        }
        let reply = match change {
            Change::Submit {
                environment,
                base,
                text,
            } => self.submit(index, operator, environment, *base, text),
            Change::Promote {
                environment,
                version,
                base,
            } => match self.environments.get_mut(environment) {
                Some(c) => c.promote(index, operator, *version, *base),
                None => Reply::refused(format!("no environment {environment}")),
            },
            Change::Rollback {
                environment,
                to,
                base,
            } => match self.environments.get_mut(environment) {
                Some(c) => c.rollback(index, operator, *to, *base),
                None => Reply::refused(format!("no environment {environment}")),
            },
            Change::SetZone { zone, out } => self.set_zone(index, operator, zone, *out),
        };
        self.store_operator_reply(request_key, &reply);
        reply
    }

    fn submit(&mut self, index: u64, operator: &str, environment: &str, base: u64, text: &str) -> Reply {
        let mut configuration = self.environments.get(environment).cloned().unwrap_or_default();
        let reply = configuration.submit(index, operator, base, text);
        if matches!(reply, Reply::Accepted { .. }) {
            self.environments.insert(environment.to_owned(), configuration);
        }
        reply
    }

    fn store_operator_reply(&mut self, request_key: String, reply: &Reply) {
        self.answers.insert(request_key.clone(), reply.clone());
        self.answer_order.push_back(request_key);
        if self.answer_order.len() > MAX_OPERATOR_REPLIES
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    fn set_zone(&mut self, index: u64, operator: &str, zone: &str, out: bool) -> Reply {
        let zone_state = self.zones.entry(zone.to_owned()).or_default();
        zone_state.out = out;
        zone_state.version += 1;
        zone_state.operator = operator.to_owned();
        zone_state.changed = index;
        Reply::Accepted {
            version: zone_state.version,
            index,
        }
    }

    fn leave(&mut self, index: u64, session: &str) {
        self.entries.remove(session);
        self.ledger.end_session(session);
        for group in self.groups.values_mut() {
            if group.owner.as_deref() == Some(session) {
                group.owner = None;
                group.epoch += 1;
                group.owned_since = index;
            }
        }
    }

    fn claim(&mut self, index: u64, command: &Command) -> Reply {
        let Command::Claim {
            group,
            base,
            environment,
            stage,
            version,
            zone,
            domain,
            members,
        } = command
        else {
            return Reply::refused("not a claim");
        };
        if let Err(reason) = self.validate_claim(*group, *base, environment, *stage, members) {
            return Reply::Refused { reason };
        }
        let id = group.unwrap_or(index);
        let previous = self.groups.get(&id).cloned();
        for member in previous.iter().flat_map(|g| &g.members) {
            self.claims.remove(&member.vm);
            self.released.insert(member.vm.clone(), index);
        }
        for member in members {
            self.claims.insert(member.vm.clone(), id);
            self.released.remove(&member.vm);
        }
        let claimed_group = Group {
            id,
            environment: environment.clone(),
            stage: *stage,
            version: *version,
            zone: zone.clone(),
            domain: domain.clone(),
            members: members.clone(),
            fence: index,
            draining: None,
            owner: previous.as_ref().and_then(|g| g.owner.clone()),
            epoch: previous.as_ref().map_or(0, |g| g.epoch),
            owned_since: previous.as_ref().map_or(index, |g| g.owned_since),
        };
        self.groups.insert(id, claimed_group);
        Reply::Accepted {
            version: index,
            index,
        }
    }

    fn validate_claim(
        &self,
        group: Option<u64>,
        base: u64,
        environment: &str,
        stage: Stage,
        members: &[Member],
    ) -> Result<(), String> {
        if members.is_empty() {
            return Err("group without members".to_owned());
        }
        let configuration = self.environments.get(environment);
        if configuration.and_then(|c| c.current(stage)).is_none() {
            return Err(format!("environment {environment} has no such version"));
        }
        if let Some(id) = group {
            let fence = self.groups.get(&id).map(|g| g.fence);
            if fence != Some(base) {
                return Err(format!("group {id} has changed"));
            }
        }
        let mut vms = BTreeSet::new();
        for member in members {
            let holder = self.claims.get(&member.vm);
            if holder.is_some() && holder != group.as_ref() {
                return Err(format!("VM {} belongs to another group", member.vm));
            }
            if !vms.insert(&member.vm) {
                return Err(format!("VM {} is named twice", member.vm));
            }
        }
        Ok(())
    }

    fn release(&mut self, index: u64, group: u64) {
        if let Some(group) = self.groups.remove(&group) {
            for member in group.members {
                self.claims.remove(&member.vm);
                self.released.insert(member.vm, index);
            }
        }
    }

    fn assign(&mut self, index: u64, group: u64, epoch: u64, owner: Option<&str>) -> Reply {
        let Some(group) = self.groups.get_mut(&group) else {
            return Reply::refused("no such group");
        };
        if group.epoch != epoch {
            return Reply::refused("the owner has changed");
        }
        if owner.is_some_and(|o| !self.entries.contains_key(o)) {
            return Reply::refused("no such session");
        }
        if owner.is_some() && group.owner.is_some() {
            return Reply::refused("the group still has an owner");
        }
        group.owner = owner.map(str::to_owned);
        group.epoch += 1;
        group.owned_since = index;
        Reply::Accepted { version: 0, index }
    }
}
