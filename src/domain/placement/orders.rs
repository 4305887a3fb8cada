//! Orders to VMs, at most one open for each.
//!
//! Some engines ignore fencing numbers, so a late order could undo a newer one.
//! The next order for a VM therefore waits until the VM reports that it carried
//! out the open one, or until it has restarted.

use std::collections::BTreeMap;
use std::time::Duration;

use super::supply::model_name;
use crate::domain::membership::Registry;
use crate::domain::state::Group;
use crate::domain::state::State;

/// Wait before an unconfirmed order is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// An order to send to a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// VM.
    pub vm: String,
    /// Address of the upstream.
    pub address: String,
    /// Incarnation for which the order is meant.
    pub incarnation: u64,
    /// Group to join.
    pub group: u64,
    /// Fencing number.
    pub fence: u64,
    /// Position in the group, 0 answers calls.
    pub rank: usize,
    /// Model to load, as `model@version`.
    pub model: String,
    /// Addresses of all members in order of rank.
    pub members: Vec<String>,
}

#[derive(Clone, Debug)]
struct Open {
    sending: Order,
    sent: Duration,
}

/// Open orders by VM.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    open: BTreeMap<String, Open>,
}

impl Orders {
    /// Forgets all open orders; called when this node becomes leader.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    /// Whether an order to `vm` may still be on its way.
    pub fn is_open(&self, vm: &str, incarnation: u64) -> bool {
        self.open
            .get(vm)
            .is_some_and(|o| o.sending.incarnation == incarnation)
    }

    /// Closes confirmed orders and returns those to send now.
    pub fn take_due(&mut self, now: Duration, state: &State, registry: &Registry) -> Vec<Order> {
        self.close_confirmed(registry);
        let mut due: Vec<Order> = Vec::new();
        for open in self.open.values_mut() {
            if now >= open.sent + RESEND_AFTER {
                open.sent = now;
                due.push(open.sending.clone());
            }
        }
        for group in state.groups.values() {
            for sending in missing(state, group, registry) {
                if !self.open.contains_key(&sending.vm) {
                    let open = Open {
                        sending: sending.clone(),
                        sent: now,
                    };
                    self.open.insert(sending.vm.clone(), open);
                    due.push(sending);
                }
            }
        }
        due
    }

    fn close_confirmed(&mut self, registry: &Registry) {
        self.open.retain(|vm, open| {
            let Some(known) = registry.get(vm) else {
                return false;
            };
            let report = &known.announcement.report;
            let restarted = report.incarnation != open.sending.incarnation;
            let done = report.group == open.sending.group && report.fence >= open.sending.fence;
            !restarted && !done
        });
    }
}

/// Orders that the members of `group` have not carried out.
fn missing(state: &State, group: &Group, registry: &Registry) -> Vec<Order> {
    let version = state
        .environments
        .get(&group.environment)
        .and_then(|c| c.version(group.version));
    let Some(version) = version else {
        return Vec::new();
    };
    let model = model_name(&version.document);
    let members: Vec<String> = group.members.iter().map(|m| m.address.clone()).collect();
    let mut out = Vec::new();
    for (rank, member) in group.members.iter().enumerate() {
        let Some(vm) = registry.get(&member.vm) else {
            continue;
        };
        let report = &vm.announcement.report;
        let same_process = report.incarnation == member.incarnation;
        let done = report.group == group.id && report.fence == group.fence;
        if same_process && !done {
            out.push(Order {
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
    out
}
