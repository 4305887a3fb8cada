//! Placement: reuse of released VMs, and the choice of a fabric domain.

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
use serde_json::json;

const NOW: Duration = Duration::from_secs(10);

struct Site {
    state: State,
    registry: Registry,
    sessions: Table,
}

impl Site {
    /// One environment with `replicas` of two members, and VMs by domain.
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
        let document = json!({
            "environment": "notes", "model": "m", "members_per_replica": 2,
            "replicas_per_availability_zone": {"north": replicas}, "trial_replicas": 0,
            "client_accounts": [{"name": "a", "key_digest": "0".repeat(64)}],
        });
        commands::submit_and_promote(&mut site.state, &document);
        site.confirm();
        site
    }

    fn announce(&mut self, domain: &str, i: usize) {
        let port = 1_000 + self.registry.iter().count();
        let raw = Raw {
            vm: format!("{domain}-{i}"),
            address: format!("127.0.0.1:{port}"),
            availability_zone: "north".to_owned(),
            fabric_domain: domain.to_owned(),
            accelerators: 1,
            kind: Default::default(),
            report: Report {
                incarnation: 1,
                ..Report::default()
            },
        };
        let announcement = Announcement::try_from(raw).unwrap();
        let timing = membership::Timing::default();
        self.registry.announce(NOW, &timing, announcement).unwrap();
    }

    fn apply(&mut self, command: Command) {
        let index = self.state.index + 1;
        self.state.apply(index, &command);
    }

    /// The entry confirms all that was applied.
    fn confirm(&mut self) {
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

fn domains(commands: &[Command]) -> Vec<&str> {
    let mut domains = Vec::new();
    for command in commands {
        if let Command::Claim { domain, .. } = command {
            domains.push(domain.as_str());
        }
    }
    domains
}

#[test]
fn a_released_vm_is_claimed_again_only_when_every_entry_has_confirmed() {
    let mut site = Site::new(1, &[("rack", 2)]);
    let first = site.plan();
    assert_eq!(domains(&first), ["rack"]);
    for command in first {
        site.apply(command);
    }
    site.confirm();
    let group = *site.state.groups.keys().next().unwrap();
    site.apply(Command::Release { group });
    assert_eq!(
        domains(&site.plan()),
        [""; 0],
        "the entry may still use the group"
    );
    site.confirm();
    assert_eq!(domains(&site.plan()), ["rack"]);
}

#[test]
fn a_group_is_formed_where_the_fewest_vms_are_left_over() {
    // Taking two of three strands one; taking two of four or of two strands none.
    let site = Site::new(1, &[("three", 3), ("two", 2)]);
    assert_eq!(domains(&site.plan()), ["two"]);
    let site = Site::new(4, &[("four", 4), ("three", 3), ("one", 1)]);
    let plan = site.plan();
    let mut chosen = domains(&plan);
    chosen.sort_unstable();
    assert_eq!(chosen, ["four", "four", "three"], "no group spans two domains");
}
