//! Dispatch decisions: fair queue, slow start, stragglers, member leases, and an owner under
//! random events.

#[path = "common/commands.rs"]
mod commands;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use heatherramp::domain::dispatch::Action;
use heatherramp::domain::dispatch::Call;
use heatherramp::domain::dispatch::Completion;
use heatherramp::domain::dispatch::Event;
use heatherramp::domain::dispatch::Owner;
use heatherramp::domain::dispatch::Queue;
use heatherramp::domain::dispatch::Ramp;
use heatherramp::domain::dispatch::Refusal;
use heatherramp::domain::dispatch::Timing;
use heatherramp::domain::environment::Limits;
use heatherramp::domain::membership::Report;
use heatherramp::domain::membership::Straggler;
use heatherramp::domain::state::Change;
use heatherramp::domain::state::Command;
use heatherramp::domain::state::Entry;
use heatherramp::domain::state::Member;
use heatherramp::domain::state::Reply;
use heatherramp::domain::state::Stage;
use heatherramp::domain::state::State;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Default length of a member lease.
const MEMBER_LEASE: Duration = Duration::from_millis(1_200);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn call(id: &str, account: &str, share: u32) -> Call {
    Call {
        id: id.to_owned(),
        environment: "notes".to_owned(),
        stage: Stage::Production,
        client_account: account.to_owned(),
        share,
        max_queued: 1_000,
        priority: 0,
        prefix_hash: 0,
        deadline: ms(1_000_000),
        avoid: None,
    }
}

/// State with groups of two members each, all owned by session `e1`.
struct Site {
    state: State,
    groups: Vec<u64>,
}

impl Site {
    fn new(groups: usize, limits: serde_json::Value) -> Site {
        let document = json!({
            "environment": "notes", "model": "m", "members_per_replica": 2,
            "replicas_per_availability_zone": {"north": groups},
            "limits": limits,
            "client_accounts": [{"name": "a", "key_digest": "0".repeat(64)}],
        });
        let mut site = Site {
            state: State::default(),
            groups: Vec::new(),
        };
        commands::submit_and_promote(&mut site.state, &document);
        let entry = Entry {
            address: "127.0.0.1:1".to_owned(),
            zone: "north".to_owned(),
        };
        site.apply(Command::Join {
            session: "e1".to_owned(),
            entry,
        });
        for i in 0..groups {
            let id = site.claim(None, 0, i, 1);
            site.groups.push(id);
            site.assign(id, Some("e1"));
        }
        site
    }

    fn apply(&mut self, command: Command) -> Reply {
        let index = self.state.index + 1;
        self.state.apply(index, &command)
    }

    /// Forms a group, or replaces the members of `group`, whose fencing token is `base_fence`;
    /// returns the number of the group. `vm_number` is part of the names of the VMs.
    fn claim(&mut self, group: Option<u64>, base_fence: u64, vm_number: usize, incarnation: u64) -> u64 {
        let member = |rank: usize| Member {
            vm: format!("vm{vm_number}-{rank}"),
            incarnation,
            address: "127.0.0.1:2".to_owned(),
        };
        let reply = self.apply(Command::Claim {
            group,
            base: base_fence,
            environment: "notes".to_owned(),
            stage: Stage::Production,
            version: 1,
            zone: "north".to_owned(),
            domain: "rack".to_owned(),
            members: vec![member(0), member(1)],
        });
        match reply {
            Reply::Accepted { version, .. } => group.unwrap_or(version),
            other => panic!("{other:?}"),
        }
    }

    fn assign(&mut self, group: u64, owner: Option<&str>) {
        let epoch = self.state.groups[&group].epoch;
        self.apply(Command::Assign {
            group,
            epoch,
            owner: owner.map(str::to_owned),
        });
    }

    fn set_zone(&mut self, out: bool) {
        let request = format!("zone-{}", self.state.index);
        self.apply(Command::Operate {
            operator: "test".to_owned(),
            request,
            change: Change::SetZone {
                zone: "north".to_owned(),
                out,
            },
        });
    }

    /// Report of a member that is ready in `group`.
    fn ready_report(&self, group: u64) -> Report {
        let group = &self.state.groups[&group];
        Report {
            incarnation: group.members[0].incarnation,
            group: group.id,
            fence: group.fence,
            ready: true,
            ..Report::default()
        }
    }
}

/// Feeds the answers of both members of `group` to probes sent at `sent`.
fn answer_probes(
    owner: &mut Owner,
    now: Duration,
    sent: Duration,
    group: u64,
    report: &Report,
) -> Vec<Action> {
    let mut actions = Vec::new();
    for position in 0..2 {
        let report = report.clone();
        let event = Event::ProbeAnswered {
            group,
            position,
            sent,
            report,
        };
        actions.extend(owner.step(now, event));
    }
    actions
}

/// Owner with a lease of 2 s from `now`, and with members that have answered a probe.
fn ready_owner(site: &Site, now: Duration) -> Owner {
    let mut owner = Owner::new("e1", "north", Timing::default());
    owner.step(now, Event::State(&site.state));
    owner.step(
        now,
        Event::Lease {
            until: now + ms(2_000),
        },
    );
    for group in &site.groups {
        answer_probes(&mut owner, now, now, *group, &site.ready_report(*group));
    }
    owner
}

fn count_starts(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Start { .. }))
        .count()
}

#[test]
fn an_account_with_ten_times_the_calls_of_others_gets_no_more_than_its_share() {
    let mut queue = Queue::default();
    for i in 0..1_000 {
        queue.push(call(&format!("big-{i}"), "big", 1), 2_000).unwrap();
    }
    for account in ["a", "b", "c", "d"] {
        for i in 0..100 {
            queue
                .push(call(&format!("{account}-{i}"), account, 1), 2_000)
                .unwrap();
        }
    }
    let mut served: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..250 {
        *served.entry(queue.pop().unwrap().client_account).or_default() += 1;
    }
    assert!(served.values().all(|n| (49..=51).contains(n)), "{served:?}");
}

#[test]
fn a_full_queue_evicts_from_the_longest_account_and_idle_time_earns_no_priority() {
    let mut queue = Queue::default();
    for i in 0..100 {
        queue.push(call(&format!("big-{i}"), "big", 1), 100).unwrap();
    }
    let evicted = queue
        .push(call("small", "small", 1), 100)
        .unwrap()
        .expect("a call of the longest account is evicted");
    assert_eq!(evicted.client_account, "big");
    let refused = queue.push(call("big-more", "big", 1), 100);
    assert_eq!(refused, Err(Refusal::QueueFull));
    // An account that was idle resumes at the pass of the queue.
    for _ in 0..50 {
        queue.pop();
    }
    let mut late_served = 0;
    for i in 0..10 {
        queue.push(call(&format!("late-{i}"), "late", 1), 100).unwrap();
    }
    for _ in 0..10 {
        late_served += usize::from(queue.pop().unwrap().client_account == "late");
    }
    assert!(late_served <= 5, "{late_served} of 10");
}

#[test]
fn shares_and_priorities_order_the_queue() {
    let mut queue = Queue::default();
    for i in 0..90 {
        queue.push(call(&format!("x{i}"), "x", 2), 1_000).unwrap();
        let mut y_call = call(&format!("y{i}"), "y", 1);
        y_call.priority = u8::from(i == 89);
        queue.push(y_call, 1_000).unwrap();
    }
    let order: Vec<Call> = (0..30).map(|_| queue.pop().unwrap()).collect();
    let x = order.iter().filter(|c| c.client_account == "x").count();
    assert!((19..=21).contains(&x), "{x} of 30");
    let first_y = order.iter().find(|c| c.client_account == "y").unwrap();
    assert_eq!(
        first_y.id, "y89",
        "the call with the higher priority is first of its account"
    );
}

#[test]
fn a_ramp_grows_with_timely_responses_and_resets_on_one_far_above_the_baseline() {
    let limits = Limits {
        in_flight_cold: 2,
        in_flight_per_replica: 8,
        warmup_calls: 5,
        ..Limits::default()
    };
    let mut ramp = Ramp::new(&limits);
    for _ in 0..5 {
        ramp.record_response(ms(30), ms(30));
        assert_eq!(ramp.limit(), 2, "no growth during the warm-up calls");
    }
    for _ in 0..20 {
        ramp.record_response(ms(30), ms(30));
    }
    assert!(ramp.is_warm());
    ramp.record_response(ms(100), ms(30));
    assert!(
        ramp.is_warm(),
        "a response within 4 times the baseline does not reset"
    );
    ramp.record_response(ms(130), ms(30));
    assert_eq!(ramp.limit(), 2);
}

#[test]
fn a_straggler_is_marked_after_3_s_and_cleared_10_s_after_its_recovery() {
    let mut straggler = Straggler::default();
    for second in 0..3 {
        straggler.observe(ms(second * 1_000), 300, 100);
        assert!(!straggler.is_marked());
    }
    straggler.observe(ms(3_000), 300, 100);
    assert!(straggler.is_marked());
    for second in 4..14 {
        let near_threshold_us = if second % 2 == 0 { 190 } else { 210 };
        straggler.observe(ms(second * 1_000), near_threshold_us, 100);
        assert!(straggler.is_marked());
    }
    for second in 14..=24 {
        straggler.observe(ms(second * 1_000), 110, 100);
    }
    assert!(!straggler.is_marked());
}

#[test]
fn a_member_lease_runs_from_the_sending_of_the_probe() {
    let site = Site::new(1, json!({}));
    let mut owner = ready_owner(&site, ms(1_000));
    let group = site.groups[0];
    // The answer arrives a lease length after its probe was sent and renews nothing.
    let later = ms(1_000) + MEMBER_LEASE;
    owner.step(
        later,
        Event::Lease {
            until: later + ms(9_000),
        },
    );
    answer_probes(&mut owner, later, ms(1_000), group, &site.ready_report(group));
    let actions = owner.step(later, Event::Arrive(call("x", "a", 1)));
    assert!(
        matches!(
            actions[..],
            [Action::Refuse {
                reason: Refusal::NoReplica,
                ..
            }]
        ),
        "{actions:?}"
    );
    answer_probes(&mut owner, later, later, group, &site.ready_report(group));
    assert_eq!(
        count_starts(&owner.step(later, Event::Arrive(call("y", "a", 1)))),
        1
    );
}

#[test]
fn a_member_restart_between_probes_closes_the_replica() {
    let site = Site::new(1, json!({}));
    let mut owner = ready_owner(&site, ms(1_000));
    let mut report = site.ready_report(site.groups[0]);
    report.incarnation += 1;
    answer_probes(&mut owner, ms(1_100), ms(1_100), site.groups[0], &report);
    let actions = owner.step(ms(1_100), Event::Arrive(call("x", "a", 1)));
    assert_eq!(count_starts(&actions), 0);
}

#[test]
fn a_report_with_an_older_fence_renews_no_lease() {
    let mut site = Site::new(1, json!({}));
    let group = site.groups[0];
    let outdated = site.ready_report(group);
    let mut owner = ready_owner(&site, ms(1_000));
    // The group is claimed again with the same members in the same incarnations.
    site.claim(Some(group), outdated.fence, 0, 1);
    owner.step(ms(1_001), Event::State(&site.state));
    answer_probes(&mut owner, ms(1_002), ms(1_002), group, &outdated);
    let early = owner.step(ms(1_002), Event::Arrive(call("x", "a", 1)));
    assert_eq!(
        count_starts(&early),
        0,
        "no dispatch before the members carry out the new order"
    );
    answer_probes(&mut owner, ms(1_003), ms(1_003), group, &site.ready_report(group));
    assert_eq!(
        count_starts(&owner.step(ms(1_003), Event::Arrive(call("y", "a", 1)))),
        1
    );
}

#[test]
fn an_owner_resumed_after_its_lease_ended_sends_nothing() {
    let site = Site::new(1, json!({}));
    let mut owner = ready_owner(&site, ms(1_000));
    let actions = owner.step(ms(1_001), Event::Arrive(call("x", "a", 1)));
    let Action::Start { group, fence, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    assert!(owner.may_send(ms(1_001), *group, *fence));
    // The leases of the members are valid; only the lease of the owner has ended.
    answer_probes(
        &mut owner,
        ms(3_001),
        ms(2_999),
        *group,
        &site.ready_report(*group),
    );
    assert!(
        !owner.may_send(ms(3_001), *group, *fence),
        "the lease ended while the process was suspended"
    );
    let late = owner.step(ms(3_001), Event::Arrive(call("y", "a", 1)));
    assert!(matches!(
        late[..],
        [Action::Refuse {
            reason: Refusal::NoLease,
            ..
        }]
    ));
}

#[test]
fn queued_calls_are_refused_at_once_when_their_zone_goes_out_of_service() {
    let limits = json!({"in_flight_per_replica": 1, "in_flight_cold": 1});
    let mut site = Site::new(1, limits);
    let mut owner = ready_owner(&site, ms(1_000));
    assert_eq!(
        count_starts(&owner.step(ms(1_000), Event::Arrive(call("x", "a", 1)))),
        1
    );
    assert!(owner.step(ms(1_000), Event::Arrive(call("y", "a", 1))).is_empty());
    site.set_zone(true);
    let actions = owner.step(ms(1_001), Event::State(&site.state));
    assert!(
        matches!(&actions[..], [Action::Refuse { call, .. }] if call == "y"),
        "{actions:?}"
    );
}

#[test]
fn calls_wait_for_probes_of_a_suspected_replica_for_one_lease_length_at_most() {
    let site = Site::new(1, json!({}));
    let mut owner = ready_owner(&site, ms(1_000));
    let group = site.groups[0];
    let interrupted = Event::Ended {
        call: "x",
        completion: Completion::Interrupted,
    };
    owner.step(ms(1_000), Event::Arrive(call("x", "a", 1)));
    owner.step(ms(1_010), interrupted.clone());
    assert!(
        owner.step(ms(1_011), Event::Arrive(call("y", "a", 1))).is_empty(),
        "the call is queued"
    );
    let early = answer_probes(&mut owner, ms(1_012), ms(1_005), group, &site.ready_report(group));
    assert_eq!(
        count_starts(&early),
        0,
        "a probe sent before the interruption renews nothing"
    );
    assert_eq!(
        count_starts(&answer_probes(
            &mut owner,
            ms(1_100),
            ms(1_020),
            group,
            &site.ready_report(group)
        )),
        1
    );
    owner.step(
        ms(1_200),
        Event::Ended {
            call: "y",
            completion: Completion::Interrupted,
        },
    );
    assert!(owner.step(ms(1_201), Event::Arrive(call("z", "a", 1))).is_empty());
    let refused = owner.step(ms(1_200) + MEMBER_LEASE, Event::Tick);
    assert!(
        matches!(
            refused[..],
            [Action::Refuse {
                reason: Refusal::NoReplica,
                ..
            }]
        ),
        "{refused:?}"
    );
}

#[test]
fn a_new_owner_counts_the_calls_of_the_previous_one() {
    let limits = json!({"in_flight_per_replica": 4, "in_flight_cold": 4});
    let site = Site::new(1, limits);
    let mut owner = Owner::new("e1", "north", Timing::default());
    let now = ms(1_000);
    owner.step(now, Event::State(&site.state));
    owner.step(now, Event::Lease { until: ms(9_000) });
    let mut report = site.ready_report(site.groups[0]);
    report.running = 3;
    answer_probes(&mut owner, now, now, site.groups[0], &report);
    let mut started = 0;
    for i in 0..4 {
        started += count_starts(&owner.step(now, Event::Arrive(call(&format!("c{i}"), "a", 1))));
    }
    assert_eq!(started, 1, "three of four slots hold calls of the previous owner");
}

/// Feeds 2,000 random events to an owner and checks every dispatch against the leases, the
/// probe answers and the state passed to it; returns the number of dispatched calls.
fn run_random_events(seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limits = json!({"in_flight_per_replica": 5, "in_flight_cold": 2, "warmup_calls": 3, "queue": 20, "queue_ms": 500});
    let mut site = Site::new(4, limits);
    let mut now = ms(1_000);
    let mut owner = ready_owner(&site, now);
    let mut lease_until = now + ms(2_000);
    // Group, position, time of sending and report of every answer to a probe.
    let mut probe_answers: Vec<(u64, usize, Duration, Report)> = Vec::new();
    for group in &site.groups {
        for position in 0..2 {
            probe_answers.push((*group, position, now, site.ready_report(*group)));
        }
    }
    let mut queued: BTreeSet<String> = BTreeSet::new();
    let mut in_flight: BTreeMap<String, u64> = BTreeMap::new();
    // State that was last passed to the owner; that of the site may be newer.
    let mut owner_state = site.state.clone();
    let mut started = 0;
    for step in 0..2_000_u64 {
        now += ms(rng.random_range(0..40));
        let group = site.groups[rng.random_range(0..site.groups.len())];
        let position = rng.random_range(0..2);
        let random_call = in_flight
            .keys()
            .nth(rng.random_range(0..=in_flight.len()))
            .cloned();
        let actions = match rng.random_range(0..100) {
            0..30 => {
                let id = format!("call-{step}");
                let mut call = call(&id, ["a", "b", "c"][rng.random_range(0..3)], 1);
                call.deadline = now + ms(500);
                call.prefix_hash = rng.random_range(0..3);
                queued.insert(id);
                owner.step(now, Event::Arrive(call))
            }
            30..60 => {
                let mut report = site.ready_report(group);
                report.ready = !rng.random_ratio(1, 25);
                report.leaving = rng.random_ratio(1, 40);
                report.incarnation += u64::from(rng.random_ratio(1, 40));
                report.running = rng.random_range(0..3);
                let sent = now.saturating_sub(ms(rng.random_range(0..1_500)));
                probe_answers.push((group, position, sent, report.clone()));
                let event = Event::ProbeAnswered {
                    group,
                    position,
                    sent,
                    report,
                };
                owner.step(now, event)
            }
            60..72 => {
                lease_until = lease_until.max(now + ms(rng.random_range(0..2_000)));
                owner.step(now, Event::Lease { until: lease_until })
            }
            72..80 => match &random_call {
                Some(id) => owner.step(now, Event::ResponseStarted { call: id }),
                None => Vec::new(),
            },
            80..92 => match &random_call {
                Some(id) => {
                    in_flight.remove(id);
                    let completion = [
                        Completion::Normal,
                        Completion::Normal,
                        Completion::Normal,
                        Completion::Failed,
                        Completion::Interrupted,
                    ][rng.random_range(0..5)];
                    owner.step(now, Event::Ended { call: id, completion })
                }
                None => Vec::new(),
            },
            92 => {
                let out = rng.random_ratio(1, 3);
                site.set_zone(out);
                Vec::new()
            }
            93 => {
                let fence = site.state.groups[&group].fence;
                let vm_number = site.groups.iter().position(|g| *g == group).unwrap();
                let increase = rng.random_range(0..2) * 5;
                let incarnation = site.state.groups[&group].members[0].incarnation + increase;
                site.claim(Some(group), fence, vm_number, incarnation);
                Vec::new()
            }
            94 => {
                let owned = site.state.groups[&group].owner.is_some();
                site.assign(group, if owned { None } else { Some("e1") });
                Vec::new()
            }
            95..98 => {
                owner_state = site.state.clone();
                owner.step(now, Event::State(&owner_state))
            }
            _ => owner.step(now, Event::Tick),
        };
        for action in actions {
            match action {
                Action::Start {
                    call, group, fence, ..
                } => {
                    started += 1;
                    assert!(queued.remove(&call), "one decision for each call");
                    in_flight.insert(call, group);
                    assert!(now < lease_until);
                    let expected = &owner_state.groups[&group];
                    assert_eq!((expected.fence, expected.owner.as_deref()), (fence, Some("e1")));
                    assert!(!owner_state.is_zone_out("north"));
                    for (position, member) in expected.members.iter().enumerate() {
                        let is_valid = |(g, p, sent, report): &(u64, usize, Duration, Report)| {
                            let is_current = now < *sent + MEMBER_LEASE && report.ready && !report.leaving;
                            let is_same = report.incarnation == member.incarnation && report.fence == fence;
                            (*g, *p) == (group, position) && is_current && is_same
                        };
                        assert!(
                            probe_answers.iter().any(is_valid),
                            "every member has a valid lease"
                        );
                    }
                    let load = in_flight.values().filter(|g| **g == group).count();
                    assert!(load <= 5, "within the limit");
                }
                Action::Refuse { call, .. } => assert!(queued.remove(&call), "one decision for each call"),
            }
        }
    }
    let refused = owner.step(now, Event::Drain);
    assert_eq!(
        refused.len(),
        queued.len(),
        "every queued call is refused at shutdown"
    );
    started
}

#[test]
fn random_events_never_break_the_dispatch_rules() {
    let given = std::env::var("HEATHERRAMP_RUNS").ok();
    let runs = given.and_then(|v| v.parse().ok()).unwrap_or(200);
    let started: usize = (1..=runs).map(run_random_events).sum();
    println!("{runs} runs, {started} calls started");
    assert!(started > 0);
}
