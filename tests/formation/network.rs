//! Connections of the controller to simulated VMs, and what gateways report of the heads.
//!
//! Gateways report to two controllers. Those of the first have many requests and miss a head soon; those of the
//! second have few, and report its last answer for a second.

use std::collections::BTreeMap;
use std::time::Duration;

use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Contact;
use heatherramp::domain::fleet::Controller;
use heatherramp::domain::fleet::Digest;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::Order;
use heatherramp::domain::fleet::Probe;
use heatherramp::domain::fleet::Reply;
use heatherramp::domain::fleet::Stage;

use super::STEP_MS;
use super::Simulation;
use super::vm::VmMembership;

/// Time after an answer for which a gateway reports a head as serving.
const SERVED_MS: u64 = 1_000;
/// Time without an answer after which the gateways of each controller report a head as stalled.
const STALLED_MS: [u64; 2] = [350, 700];

/// Group of which a VM has crashed.
#[derive(Clone, Debug)]
pub struct Repair {
    pub epoch: u64,
    pub crashed_at: u64,
    /// Whether the machine has lost its power, so that it refuses no connections.
    pub is_silent: bool,
    pub members: Vec<String>,
    pub closed_after: Option<u64>,
    /// When no member that runs is in the group any more, and the controller may use it again.
    pub freed_after: Option<u64>,
}
/// Time after which the gateways of each controller have tried to connect to a head that has ended.
const REFUSED_MS: [u64; 2] = [100, 600];

impl Simulation {
    /// Result of a connection to the address of `id`.
    pub fn connect(&self, id: &str) -> Reply {
        let vm = &self.vms[id];
        let at_address = self
            .vms
            .values()
            .find(|other| other.alive && other.address == vm.address);
        let host = at_address.unwrap_or(vm);
        if host.silent_until > self.now {
            return if host.is_link_refusing {
                Reply::Refused
            } else {
                Reply::Unclear
            };
        }
        match at_address {
            Some(_) => Reply::Accepted,
            None if vm.is_powerless => Reply::Unclear,
            None => Reply::Refused,
        }
    }

    pub fn answer_due_probes(&mut self) {
        let (due, later) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition::<Vec<(u64, Probe)>, _>(|(at, _)| *at <= self.now);
        self.probes = later;
        for (_, probe) in due {
            let reply = self.connect(&probe.vm);
            self.report_contact(probe.vm, probe.incarnation, reply, None);
        }
    }

    /// Result of an order that has arrived, as the controller learns it.
    pub fn answer_order(&mut self, order: &Order) {
        let Some(vm) = self.vms.get(&order.vm) else {
            return;
        };
        let reply = match self.connect(&order.vm) {
            Reply::Accepted if vm.alive => Reply::Answered,
            Reply::Accepted => Reply::Misdirected,
            other => other,
        };
        self.report_contact(order.vm.clone(), order.incarnation, reply, Some(order.clone()));
    }

    fn report_contact(&mut self, vm: String, incarnation: u64, reply: Reply, order: Option<Order>) {
        if !self.has_contacts {
            return;
        }
        self.step(Event::Contact(Contact {
            vm,
            incarnation,
            begun: Duration::from_millis(self.now - STEP_MS),
            reply,
            order,
        }));
    }

    fn is_serving(&self, head: &str) -> bool {
        let vm = &self.vms[head];
        let stage = vm.membership.as_ref().filter(|_| vm.alive).map(|m| m.stage);
        matches!(stage, Some(Stage::Open | Stage::Closing)) && !self.is_member_missing(head)
    }

    /// Asserts that a group is closed for a process that has ended only when it does not serve.
    pub fn check_loss(&self, epoch: u64, vm: &str) {
        let is_head = |m: &VmMembership| m.epoch == epoch && m.rank == 0;
        let mut heads = self
            .vms
            .values()
            .filter(|vm| vm.membership.as_ref().is_some_and(is_head));
        let serves = heads.any(|head| self.is_serving(&head.id));
        assert!(
            !serves,
            "at {}: {vm} counts as ended while its group {epoch} serves",
            self.now
        );
    }

    /// Sends what the gateways of both controllers report.
    pub fn send_digests(&mut self) {
        let targets: Vec<String> = self.core.targets().iter().map(|t| t.id.clone()).collect();
        for head in &targets {
            if self.is_serving(head) {
                for (number, at) in self
                    .last_answers
                    .entry(head.clone())
                    .or_default()
                    .iter_mut()
                    .enumerate()
                {
                    let is_cut = number == 0 && self.vms[head].is_cut_from_gateways(self.now);
                    *at = if is_cut { *at } else { self.now };
                }
            }
        }
        self.last_answers.retain(|id, _| targets.contains(id));
        for (number, stalled_ms) in STALLED_MS.into_iter().enumerate() {
            let silent = |id: &String| self.now - self.last_answers.get(id).map_or(0, |at| at[number]);
            let served = targets.iter().filter(|id| silent(id) <= SERVED_MS);
            let served: BTreeMap<String, bool> =
                served.map(|id| (id.clone(), silent(id) < stalled_ms)).collect();
            let stalled = targets.iter().filter(|id| silent(id) >= stalled_ms);
            let is_refused = |id: &&String| {
                let vm = &self.vms[*id];
                let is_cut = number == 0 && vm.is_cut_from_gateways(self.now);
                let is_host_refusing = !vm.alive && !vm.is_powerless && !self.is_address_taken(id);
                if is_cut {
                    vm.is_link_refusing
                } else {
                    is_host_refusing && silent(id) >= REFUSED_MS[number]
                }
            };
            let refused = targets.iter().filter(is_refused);
            let refused: BTreeMap<String, u64> =
                refused.map(|id| (id.clone(), self.vms[id].incarnation)).collect();
            let demand = [
                ("engine/large".to_owned(), 0.75),
                ("engine/small".to_owned(), 0.75),
            ];
            let digest = Digest {
                controller: Controller {
                    address: format!("c{number}"),
                    zone: "z".to_owned(),
                },
                gateways: vec![format!("g{number}")],
                demand: BTreeMap::from(demand),
                stalled: stalled.cloned().collect(),
                refused,
                served,
                ..Digest::default()
            };
            self.call(Call::Digest(Box::new(digest)));
        }
    }

    /// Begins to measure the repair of the group of a VM that crashes now.
    pub fn note_crash(&mut self, id: &str) {
        let Some(group) = self.core.state().group_of(id) else {
            return;
        };
        if !group.opened || group.closing || self.repairs.iter().any(|r| r.epoch == group.epoch) {
            return;
        }
        self.repairs.push(Repair {
            epoch: group.epoch,
            crashed_at: self.now,
            is_silent: self.vms[id].is_powerless,
            members: group.members.iter().map(|m| m.id.clone()).collect(),
            closed_after: None,
            freed_after: None,
        });
    }

    pub fn measure_repairs(&mut self) {
        let groups = &self.core.state().groups;
        for repair in self.repairs.iter_mut().filter(|r| r.freed_after.is_none()) {
            let group = groups.get(&repair.epoch);
            let elapsed = self.now - repair.crashed_at;
            if group.is_none_or(|g| g.closing) {
                repair.closed_after.get_or_insert(elapsed);
            }
            let remains = |id: &String| {
                let membership = self.vms[id].membership.as_ref().filter(|_| self.vms[id].alive);
                membership.is_some_and(|m| m.epoch == repair.epoch)
            };
            if group.is_none() && !repair.members.iter().any(remains) {
                repair.freed_after = Some(elapsed);
            }
        }
    }
}
