//! Orders to VMs, at most one pending for each.
//!
//! Some engines ignore fencing tokens, so an order that is delivered late could override
//! a newer one. The next order for a VM therefore waits until the VM reports that it has
//! carried out the pending one, or until its upstream process has restarted.

use std::collections::BTreeMap;
use std::time::Duration;

use super::supply::versioned_model;
use crate::domain::membership::Registry;
use crate::domain::state::Group;
use crate::domain::state::State;

/// Interval at which a pending order is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// An order to a VM to serve in a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Name of the VM.
    pub vm: String,
    /// Address of the upstream.
    pub address: String,
    /// Incarnation of the upstream process that the order is for.
    pub incarnation: u64,
    /// Number of the group to join.
    pub group: u64,
    /// Fencing token of the group.
    pub fence: u64,
    /// Position in the group; the member at position 0 answers calls.
    pub rank: usize,
    /// Model to load, as `model@version`.
    pub model: String,
    /// Addresses of all members, by rank.
    pub members: Vec<String>,
}

/// An order that the VM has not confirmed.
#[derive(Clone, Debug)]
struct Pending {
    order: Order,
    /// Time at which the order was last sent.
    sent: Duration,
}

/// Pending orders by name of the VM.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    pending: BTreeMap<String, Pending>,
}

impl Orders {
    /// Drops all pending orders; to be called when this node becomes leader.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Whether an order to this incarnation of `vm` may still be in transit.
    pub fn is_pending(&self, vm: &str, incarnation: u64) -> bool {
        self.pending
            .get(vm)
            .is_some_and(|p| p.order.incarnation == incarnation)
    }

    /// Drops confirmed orders and returns those to send or resend at `now`.
    pub fn take_due(&mut self, now: Duration, state: &State, registry: &Registry) -> Vec<Order> {
        self.drop_confirmed(registry);
        let mut due: Vec<Order> = Vec::new();
        for pending in self.pending.values_mut() {
            if now >= pending.sent + ORDER_RETRY_INTERVAL {
                pending.sent = now;
                due.push(pending.order.clone());
            }
        }
        for group in state.groups.values() {
            for order in unconfirmed_orders(state, group, registry) {
                if !self.pending.contains_key(&order.vm) {
                    let pending = Pending {
                        order: order.clone(),
                        sent: now,
                    };
                    self.pending.insert(order.vm.clone(), pending);
                    due.push(order);
                }
            }
        }
        due
    }

    fn drop_confirmed(&mut self, registry: &Registry) {
        self.pending.retain(|vm, pending| {
            let Some(known_vm) = registry.get(vm) else {
                return false;
            };
            let report = &known_vm.announcement.report;
            let restarted = report.incarnation != pending.order.incarnation;
            let confirmed = report.group == pending.order.group && report.fence >= pending.order.fence;
            !restarted && !confirmed
        });
    }
}

/// Orders that the members of `group` have not confirmed; none for a restarted member, which
/// the group has to claim again first.
fn unconfirmed_orders(state: &State, group: &Group, registry: &Registry) -> Vec<Order> {
    let version = state
        .environments
        .get(&group.environment)
        .and_then(|c| c.version(group.version));
    let Some(version) = version else {
        return Vec::new();
    };
    let model = versioned_model(&version.document);
    let members: Vec<String> = group.members.iter().map(|m| m.address.clone()).collect();
    let mut orders = Vec::new();
    for (rank, member) in group.members.iter().enumerate() {
        let Some(vm) = registry.get(&member.vm) else {
            continue;
        };
        let report = &vm.announcement.report;
        let same_process = report.incarnation == member.incarnation;
        let confirmed = report.group == group.id && report.fence == group.fence;
        if same_process && !confirmed {
            orders.push(Order {
                vm: member.vm.clone(),
                address: member.address.clone(),
                incarnation: member.incarnation,
                group: group.id,
                fence: group.fence,
                rank,
                model: model.clone(),
                members: members.clone(),
            });
        }
    }
    orders
}
