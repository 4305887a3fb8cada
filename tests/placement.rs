//! Placement: when released VMs are reused, and in which fabric domain a group is formed.

#[path = "common/commands.rs"]
mod commands;

use std::time::Duration;

use heatherramp::domain::membership;
use heatherramp::domain::membership::Announcement;
use heatherramp::domain::membership::Raw;
use heatherramp::domain::membership::Registry;
use heatherramp::domain::membership::Report;
use heatherramp::domain::placement;
use heatherramp::domain::placement::Context;
use heatherramp::domain::placement::Orders;
use heatherramp::domain::session::Table;
use heatherramp::domain::state::Command;
use heatherramp::domain::state::Entry;
use heatherramp::domain::state::State;
use serde_json::Value;
use serde_json::json;

const NOW: Duration = Duration::from_secs(10);

/// Input of the planner: replicated state, announced VMs and the session of one entry.
struct Site {
    state: State,
    registry: Registry,
    sessions: Table,
}

impl Site {
    /// Site with one environment that needs `replicas` replicas of two members each, and
    /// with VMs given as fabric domain and number.
    fn new(replicas: usize, vms: &[(&str, usize)]) -> Site {
        let mut site = Site {
            state: State::default(),
            registry: Registry::default(),
            sessions: Table::default(),
        };
        for (domain, count) in vms {
            for i in 0..*count {
                site.announce(domain, i);
            }
        }
        let entry = Entry {
            address: "127.0.0.1:1".to_owned(),
            zone: "north".to_owned(),
        };
        site.apply(Command::Join {
            session: "e1".to_owned(),
            entry,
        });
        commands::submit_and_promote(&mut site.state, &document(replicas, "1"));
        site.sync();
        site
    }

    fn announce(&mut self, domain: &str, i: usize) {
        let port = 1_000 + self.registry.iter().count();
        let address = format!("127.0.0.1:{port}");
        let report = Report {
            incarnation: 1,
            ..Report::default()
        };
        self.announce_report(domain, &format!("{domain}-{i}"), &address, report);
    }

    /// The members of a group report that it is ready.
    fn announce_ready(&mut self, group: u64) {
        let group = self.state.groups[&group].clone();
        for member in &group.members {
            let report = Report {
                incarnation: member.incarnation,
                group: group.id,
                fence: group.fence,
                ready: true,
                ..Report::default()
            };
            self.announce_report(&group.domain, &member.vm, &member.address, report);
        }
    }

    fn announce_report(&mut self, domain: &str, vm: &str, address: &str, report: Report) {
        let raw = Raw {
            vm: vm.to_owned(),
            address: address.to_owned(),
            availability_zone: "north".to_owned(),
            fabric_domain: domain.to_owned(),
            accelerators: 1,
            kind: Default::default(),
            report,
        };
        let announcement = Announcement::try_from(raw).unwrap();
        let timing = membership::Timing::default();
        self.registry.announce(NOW, &timing, announcement).unwrap();
    }

    fn apply(&mut self, command: Command) {
        let index = self.state.index + 1;
        self.state.apply(index, &command);
    }

    /// The entry confirms that it has applied the whole log.
    fn sync(&mut self) {
        self.sessions.record_sync(NOW, "e1", self.state.index, false, &[]);
    }

    fn plan(&self) -> Vec<Command> {
        let context = Context {
            now: NOW,
            state: &self.state,
            registry: &self.registry,
            orders: &Orders::default(),
            timing: &membership::Timing::default(),
            settings: &placement::Settings::default(),
            sessions: &self.sessions,
        };
        placement::plan(&context).commands
    }
}

/// Environment that needs `replicas` replicas of two members each.
fn document(replicas: usize, model_version: &str) -> Value {
    json!({
        "environment": "notes", "model": "m", "model_version": model_version, "members_per_replica": 2,
        "replicas_per_availability_zone": {"north": replicas}, "trial_replicas": 0,
        "client_accounts": [{"name": "a", "key_digest": "0".repeat(64)}],
    })
}

/// Fabric domains of the groups that `commands` form.
fn claimed_domains(commands: &[Command]) -> Vec<&str> {
    let mut domains = Vec::new();
    for command in commands {
        if let Command::Claim { domain, .. } = command {
            domains.push(domain.as_str());
        }
    }
    domains
}

#[test]
fn a_released_vm_is_claimed_again_only_after_every_entry_has_applied_the_release() {
    let mut site = Site::new(1, &[("rack", 2)]);
    let initial = site.plan();
    assert_eq!(claimed_domains(&initial), ["rack"]);
    for command in initial {
        site.apply(command);
    }
    site.sync();
    let group = *site.state.groups.keys().next().unwrap();
    site.apply(Command::Release { group });
    assert_eq!(
        claimed_domains(&site.plan()),
        [""; 0],
        "the entry may still dispatch to the group"
    );
    site.sync();
    assert_eq!(claimed_domains(&site.plan()), ["rack"]);
}

#[test]
fn a_group_is_formed_in_the_domain_that_strands_the_fewest_vms() {
    // Two of three VMs leave one that cannot form a group; two of two or of four leave none.
    let site = Site::new(1, &[("three", 3), ("two", 2)]);
    assert_eq!(claimed_domains(&site.plan()), ["two"]);
    let site = Site::new(4, &[("four", 4), ("three", 3), ("one", 1)]);
    let plan = site.plan();
    let mut chosen = claimed_domains(&plan);
    chosen.sort_unstable();
    assert_eq!(chosen, ["four", "four", "three"], "no group spans two domains");
}

/// Guards against a rollout that drains the old groups while nobody dispatches calls to the new ones yet.
#[test]
fn an_old_group_is_drained_only_once_the_owner_of_its_replacement_uses_it() {
    let mut site = Site::new(1, &[("rack", 4)]);
    let open_new_group = |site: &mut Site| {
        for command in site.plan() {
            site.apply(command);
        }
        let group = *site.state.groups.keys().last().unwrap();
        site.announce_ready(group);
        site.sync();
        group
    };
    let assign = |site: &mut Site, group: u64| {
        let epoch = site.state.groups[&group].epoch;
        let owner = Some("e1".to_owned());
        site.apply(Command::Assign { group, epoch, owner });
    };
    let old = open_new_group(&mut site);
    assign(&mut site, old);
    site.sync();
    commands::submit_and_promote_next(&mut site.state, &document(1, "2"));
    let new = open_new_group(&mut site);
    assert_ne!(new, old, "no replacement was formed");
    assert_eq!(site.plan(), [], "drained although the replacement has no owner");
    assign(&mut site, new);
    assert_eq!(site.plan(), [], "drained although the owner does not know of it");
    site.sync();
    assert_eq!(site.plan(), [Command::Drain { group: old }]);
}
