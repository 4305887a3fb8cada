//! Cost model for docs/CAPACITY.md: time and bytes of each decision at several sizes.
//!
//! Run with `cargo bench --bench capacity`. Each row gives the cost at each size, the
//! least-squares line through them and its largest residual.

#[path = "../tests/common/commands.rs"]
mod commands;

use std::borrow::Cow;
use std::collections::HashSet;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use heatherramp::adapters::wire;
use heatherramp::domain::consensus;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Message;
use heatherramp::domain::consensus::Node;
use heatherramp::domain::consensus::Payload;
use heatherramp::domain::consensus::Record;
use heatherramp::domain::consensus::Recovery;
use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::dispatch;
use heatherramp::domain::dispatch::Call;
use heatherramp::domain::dispatch::Criteria;
use heatherramp::domain::dispatch::Event;
use heatherramp::domain::dispatch::Owner;
use heatherramp::domain::dispatch::Router;
use heatherramp::domain::membership;
use heatherramp::domain::membership::Announcement;
use heatherramp::domain::membership::Raw;
use heatherramp::domain::membership::Registry;
use heatherramp::domain::membership::Report;
use heatherramp::domain::placement;
use heatherramp::domain::placement::Context;
use heatherramp::domain::placement::Orders;
use heatherramp::domain::quarantine::Attribution;
use heatherramp::domain::quarantine::Crash;
use heatherramp::domain::quarantine::Evidence;
use heatherramp::domain::quarantine::Observations;
use heatherramp::domain::session::Table;
use heatherramp::domain::state;
use heatherramp::domain::state::Change;
use heatherramp::domain::state::Command;
use heatherramp::domain::state::Entry;
use heatherramp::domain::state::Stage;
use heatherramp::domain::state::State;
use heatherramp::platform::header;
use prost::Message as _;
use serde_json::json;

const ZONES: usize = 12;
/// Number of entries, each with one session.
const SESSIONS: usize = 320;
/// Time of all events and plans, except those after the loss of a zone.
const NOW: Duration = Duration::from_secs(100);

/// Replicated state, VM registry and entry sessions of one installation.
struct Site {
    state: State,
    registry: Registry,
    sessions: Table,
    members: usize,
}

impl Site {
    /// `vms` VMs in groups of `members`, formed by the planner, and `spares` further VMs, all spread
    /// evenly over the zones.
    fn new(vms: usize, members: usize, spares: usize) -> Site {
        let mut site = Site {
            state: State::default(),
            registry: Registry::default(),
            sessions: Table::default(),
            members,
        };
        for i in 0..vms + spares {
            site.announce(i, 1, Report::default());
        }
        for i in 0..SESSIONS {
            let session = format!("e{i}#1");
            let entry = Entry {
                address: format!("127.0.0.1:{}", 1000 + i),
                zone: format!("zone-{}", i % ZONES),
            };
            site.apply(Command::Join {
                session: session.clone(),
                entry,
            });
        }
        let groups = vms / members;
        // Spreads the groups evenly over the zones.
        let per_zone: serde_json::Map<String, serde_json::Value> = (0..ZONES)
            .map(|z| (format!("zone-{z}"), json!((groups + ZONES - 1 - z) / ZONES)))
            .collect();
        let document = json!({
            "environment": "notes", "model": "m", "members_per_replica": members,
            "replicas_per_availability_zone": per_zone, "trial_replicas": 0,
            "client_accounts": [{"name": "a", "key_digest": "0".repeat(64)}],
        });
        commands::submit_and_promote(&mut site.state, &document);
        site.apply_plans_until_stable();
        site
    }

    /// Announces VM number `i`.
    fn announce(&mut self, i: usize, incarnation: u64, report: Report) {
        // A rack holds 32 VMs of a zone and is one fabric domain.
        let (zone, rack) = (i % ZONES, (i / ZONES) / 32);
        let raw = Raw {
            vm: format!("vm-{i:05}"),
            address: format!("10.{}.{}.{}:9000", zone, i / 250, i % 250),
            availability_zone: format!("zone-{zone}"),
            fabric_domain: format!("zone-{zone}-rack-{rack}"),
            accelerators: 1,
            kind: Default::default(),
            report: Report {
                incarnation,
                ..report
            },
        };
        let announcement = Announcement::try_from(raw).expect("a legal announcement");
        let timing = membership::Timing::default();
        self.registry
            .announce(NOW, &timing, announcement)
            .expect("unique");
    }

    fn apply(&mut self, command: Command) {
        let index = self.state.index + 1;
        self.state.apply(index, &command);
    }

    /// Records a sync of every entry session that confirms the current state.
    fn sync_all_sessions(&mut self) {
        for session in self.state.entries.keys() {
            self.sessions
                .record_sync(NOW, session, self.state.index, false, &[]);
        }
    }

    fn plan(&self, batch: usize, now: Duration) -> placement::Plan {
        let settings = placement::Settings {
            batch,
            loading_vms: usize::MAX,
        };
        placement::plan(&Context {
            now,
            state: &self.state,
            registry: &self.registry,
            orders: &Orders::default(),
            timing: &membership::Timing::default(),
            settings: &settings,
            sessions: &self.sessions,
        })
    }

    /// Applies plans until one has no commands; members report that they carried out their orders.
    fn apply_plans_until_stable(&mut self) {
        loop {
            self.sync_all_sessions();
            let mut commands = self.plan(100_000, NOW).commands;
            commands.extend(placement::assign_owners(&self.state, &self.sessions));
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.apply(command);
            }
            let groups: Vec<_> = self.state.groups.values().cloned().collect();
            for group in groups {
                for member in &group.members {
                    let i: usize = member.vm[3..].parse().expect("a number");
                    let report = Report {
                        group: group.id,
                        fence: group.fence,
                        ready: true,
                        model: "m@".to_owned(),
                        ..Report::default()
                    };
                    self.announce(i, member.incarnation, report);
                }
            }
        }
    }
}

/// Prints one row: the cost at each size and the least-squares line through them.
fn print_row(name: &str, unit: &str, points: &[(f64, f64)]) {
    let n = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
    let sxx: f64 = points.iter().map(|(x, _)| x * x).sum();
    let sxy: f64 = points.iter().map(|(x, y)| x * y).sum();
    let slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    let intercept = (sy - slope * sx) / n;
    let residual = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs())
        .fold(0.0, f64::max);
    let cells: Vec<String> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.2}")).collect();
    println!(
        "{name} [{unit}] {} | {intercept:.3} + {slope:.6} n, residual {residual:.2}",
        cells.join(", ")
    );
}

fn elapsed_us(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}

/// Mean time of `count` runs, in microseconds.
fn mean_us(count: usize, mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..count {
        run();
    }
    elapsed_us(start) / count as f64
}

fn make_call(i: usize) -> Call {
    Call {
        id: format!("call-{i}"),
        environment: "notes".to_owned(),
        stage: Stage::Production,
        client_account: "a".to_owned(),
        share: 1,
        max_queued: 1_000,
        priority: 0,
        // 97 different prompt prefixes; 0 would mean no affinity.
        prefix_hash: i as u64 % 97 + 1,
        deadline: Duration::from_secs(1_000),
        avoid: None,
    }
}

/// Owner of the first `count` groups, with a lease and an answered probe of every member.
fn owner_with_groups(site: &Site, count: usize) -> Owner {
    let mut state = site.state.clone();
    for (i, group) in state.groups.values_mut().enumerate() {
        group.owner = (i < count).then(|| "e0#1".to_owned());
    }
    let mut owner = Owner::new("e0#1", "zone-0", dispatch::Timing::default());
    owner.step(NOW, Event::State(&state));
    owner.step(
        NOW,
        Event::Lease {
            until: NOW + Duration::from_secs(900),
        },
    );
    for group in state.groups.values().take(count) {
        for (position, member) in group.members.iter().enumerate() {
            let report = Report {
                incarnation: member.incarnation,
                group: group.id,
                fence: group.fence,
                ready: true,
                ..Report::default()
            };
            let event = Event::ProbeAnswered {
                group: group.id,
                position,
                sent: NOW,
                report,
            };
            owner.step(NOW, event);
        }
    }
    owner
}

/// Time of dispatch at an owner and of the choice of an owner at an entry.
fn dispatch_decisions() {
    let site = Site::new(6_800, 1, 0);
    let mut points = Vec::new();
    for replicas in [5, 10, 21, 42, 84] {
        let mut owner = owner_with_groups(&site, replicas);
        let mut histogram = Histogram::<u64>::new(3).expect("a histogram");
        for i in 0..20_000 {
            let arriving = make_call(i);
            let id = arriving.id.clone();
            let start = Instant::now();
            black_box(owner.step(NOW, Event::Arrive(arriving)));
            histogram
                .record(start.elapsed().as_nanos() as u64)
                .expect("in range");
            let completion = dispatch::Completion::Normal;
            owner.step(NOW, Event::ResponseStarted { call: &id });
            owner.step(
                NOW,
                Event::Ended {
                    call: &id,
                    completion,
                },
            );
        }
        points.push((
            replicas as f64,
            histogram.value_at_quantile(0.99) as f64 / 1_000.0,
        ));
    }
    print_row("dispatch at the owner, p99 by owned replicas", "us", &points);
    let (mut points, mut apply_state_us) = (Vec::new(), Vec::new());
    for replicas in [1_000, 2_000, 4_000, 6_800] {
        let site = Site::new(replicas, 1, 0);
        let mut router = Router::default();
        apply_state_us.push((replicas as f64, mean_us(10, || router.apply_state(&site.state))));
        let mut histogram = Histogram::<u64>::new(3).expect("a histogram");
        for i in 0..2_000_u64 {
            let criteria = Criteria {
                session: "e0#1",
                environment: "notes",
                stage: Stage::Production,
                own_room: 0,
                tried: &[],
                draw: (i * 7_919, i * 104_729),
            };
            let start = Instant::now();
            black_box(router.choose(NOW, &criteria));
            histogram
                .record(start.elapsed().as_nanos() as u64)
                .expect("in range");
        }
        points.push((
            replicas as f64,
            histogram.value_at_quantile(0.99) as f64 / 1_000.0,
        ));
    }
    print_row("choice of the owner, p99 by replicas", "us", &points);
    print_row(
        "a state change at an entry (router), by replicas",
        "us",
        &apply_state_us,
    );
}

/// Size of the state and time to apply a change to it.
fn state_and_changes() {
    let (mut state_mb, mut apply_state_us, mut apply_change_us) = (Vec::new(), Vec::new(), Vec::new());
    for replicas in [1_000, 2_000, 4_000, 6_800] {
        let site = Site::new(replicas, 1, 0);
        let text = serde_json::to_string(&site.state.without_ledger()).expect("state");
        state_mb.push((replicas as f64, text.len() as f64 / 1e6));
        let mut owner = owner_with_groups(&site, 21);
        apply_state_us.push((
            replicas as f64,
            mean_us(20, || {
                owner.step(NOW, Event::State(&site.state));
            }),
        ));
        let mut state = site.state.clone();
        apply_change_us.push((
            replicas as f64,
            mean_us(200, || {
                let index = state.index + 1;
                let set_zone = Change::SetZone {
                    zone: "zone-1".to_owned(),
                    out: index.is_multiple_of(2),
                };
                state.apply(
                    index,
                    &Command::Operate {
                        operator: "b".to_owned(),
                        request: index.to_string(),
                        change: set_zone,
                    },
                );
            }),
        ));
    }
    print_row("state of an entry, by replicas", "MB", &state_mb);
    print_row(
        "a state change at an entry (owner), by replicas",
        "us",
        &apply_state_us,
    );
    print_row(
        "a state change at a control process (apply), by replicas",
        "us",
        &apply_change_us,
    );
}

/// Time of placement plans, without work and after the loss of a zone.
fn placement_plans() {
    let (mut idle_plan_ms, mut zone_loss_plan_ms, mut owner_plan_ms) = (Vec::new(), Vec::new(), Vec::new());
    for vms in [1_000, 2_000, 4_000, 6_800] {
        let mut site = Site::new(vms, 16, vms / 16);
        site.sync_all_sessions();
        idle_plan_ms.push((
            vms as f64,
            mean_us(3, || drop(black_box(site.plan(256, NOW)))) / 1_000.0,
        ));
        owner_plan_ms.push((
            vms as f64,
            mean_us(10, || {
                drop(black_box(placement::assign_owners(&site.state, &site.sessions)))
            }) / 1_000.0,
        ));
        // The VMs of one zone of twelve stop announcing; all others announce again.
        let later = NOW + Duration::from_secs(20);
        for i in (0..vms + vms / 16).filter(|i| i % ZONES != 3) {
            let announcement = site
                .registry
                .get(&format!("vm-{i:05}"))
                .expect("known")
                .announcement
                .clone();
            let timing = membership::Timing::default();
            site.registry
                .announce(later, &timing, announcement)
                .expect("unique");
        }
        let start = Instant::now();
        let plan = site.plan(100_000, later);
        zone_loss_plan_ms.push((vms as f64, elapsed_us(start) / 1_000.0));
        assert!(plan.broken_groups > 0);
    }
    print_row("plan without work, by VMs in groups of 16", "ms", &idle_plan_ms);
    print_row(
        "plan after the loss of a zone of twelve, by VMs",
        "ms",
        &zone_loss_plan_ms,
    );
    print_row("plan of owners, by VMs", "ms", &owner_plan_ms);
    let site = Site::new(6_800, 1, 425);
    let plan_ms = mean_us(3, || drop(black_box(site.plan(256, NOW)))) / 1_000.0;
    println!(
        "plan without work, 6800 groups of 1 [ms] {plan_ms:.2} ({} members)",
        site.members
    );
}

/// Time of a consensus step that proposes a batch of records.
fn consensus_batches() {
    let mut points = Vec::new();
    for batch in [1, 8, 64, 512] {
        let snapshot = Snapshot {
            index: 0,
            term: 0,
            voters: vec!["c1".to_owned()],
            learners: Vec::new(),
            state: String::new(),
        };
        let recovery = Recovery {
            hard_state: HardState::default(),
            snapshot,
            records: Vec::new(),
        };
        let timing = consensus::Timing::default();
        let mut node = Node::new("c1", timing, recovery, Duration::ZERO, 1);
        // Past the election timeout, the only voter becomes the leader.
        node.step(Duration::from_secs(10), consensus::Event::Tick);
        let text = "x".repeat(300);
        let cost = mean_us(50, || {
            let payloads = vec![Payload::Command(text.clone()); batch];
            black_box(node.step(Duration::from_secs(10), consensus::Event::Propose(payloads)));
        });
        points.push((batch as f64, cost));
    }
    print_row("consensus step by records in a batch", "us", &points);
}

/// Time and size of a snapshot by keys in the ledger, each with a small answer.
fn ledger_snapshots() {
    let (mut encode_ms, mut size_mb) = (Vec::new(), Vec::new());
    for keys in [10_000, 20_000, 40_000, 80_000] {
        let mut state = State::default();
        for i in 0..keys {
            let call = state::Call {
                client_account: "sales".to_owned(),
                environment: "orders".to_owned(),
                key: format!("order-{i:08}"),
                digest: i,
                arrived_ms: 1,
            };
            let attempt = format!("1a23e7d2d36-{i:08x}");
            let begin = Command::Begin {
                call: call.clone(),
                attempt: attempt.clone(),
                session: "e123#1a23e7d2d36-1eae9118".to_owned(),
            };
            let outcome = state::Outcome::Answer {
                status: 200,
                body: "x".repeat(100),
            };
            let finish = Command::Finish {
                call,
                attempt,
                outcome,
            };
            let index = state.index;
            state.apply(index + 1, &begin);
            state.apply(index + 2, &finish);
        }
        let start = Instant::now();
        let text = serde_json::to_string(&state).expect("state");
        encode_ms.push((keys as f64, elapsed_us(start) / 1_000.0));
        size_mb.push((keys as f64, text.len() as f64 / 1e6));
    }
    print_row("snapshot of the ledger, by keys", "ms", &encode_ms);
    print_row("snapshot of the ledger, by keys", "MB", &size_mb);
}

/// Sizes of the periodic messages.
fn message_sizes() {
    let sync = wire::Sync {
        session: "e123#1a23e7d2d36-1eae9118".to_owned(),
        address: "10.11.12.13:7301".to_owned(),
        zone: "region-2-zone-3".to_owned(),
        applied: 1 << 30,
        draining: false,
        busy: Vec::new(),
    };
    let synced = wire::Synced {
        index: 1 << 30,
        snapshot_json: Vec::new(),
        changes: Vec::new(),
        lease_ms: 2_000,
    };
    let record = Record {
        index: 1 << 30,
        term: 1_000,
        payload: Payload::Command("x".repeat(300)),
    };
    let append = |records: Vec<Record>| Message::Append {
        term: 1_000,
        previous_index: 1 << 30,
        previous_term: 1_000,
        records,
        commit: 1 << 30,
        sent_ms: 1 << 40,
    };
    let size = |message: &Message| serde_json::to_vec(message).expect("message").len();
    println!("sync request [B] {}", sync.encoded_len());
    println!("sync answer without changes [B] {}", synced.encoded_len());
    println!("heartbeat between voters [B] {}", size(&append(Vec::new())));
    println!("append of one 300 B command [B] {}", size(&append(vec![record])));
    let report = serde_json::to_vec(&Report::default()).expect("report").len();
    println!("report of a VM, body [B] {report}");
}

/// Reading, checking and learning from prompts of many parts, and deciding on crashes with them.
fn prompt_parts() {
    let mut points = [Vec::new(), Vec::new(), Vec::new()];
    for parts in [10, 40, 160, 640, 1_280] {
        let prompt: String = (0..parts).map(|i| format!("{i:08x}:40,")).collect();
        let ids: Vec<String> = header::prompt_parts(&prompt).map(Cow::into_owned).collect();
        let size = ids.len() as f64;
        let held: HashSet<String> = HashSet::from(["bad".to_owned()]);
        let is_held = || header::prompt_parts(&prompt).any(|id| held.contains(id.as_ref()));
        points[0].push((size, mean_us(1_000, || assert!(!black_box(is_held())))));
        let mut observations = Observations::default();
        let mut record = || observations.record_sound(NOW, header::prompt_parts(&prompt));
        points[1].push((size, mean_us(1_000, &mut record)));
        let mut attribution = Attribution::default();
        for crash in 0..40u64 {
            let crash = Crash {
                target: format!("t{crash}"),
                incarnation: 1,
                parts: ids.clone(),
                age_ms: crash,
                sent_age_ms: None,
            };
            let crashes = vec![crash];
            attribution.record(
                NOW,
                &Evidence {
                    crashes,
                    ..Evidence::default()
                },
            );
        }
        let marks = attribution.marks() as f64;
        let mut decide = || {
            black_box(attribution.culprits(NOW));
            black_box(attribution.suspects(NOW));
        };
        points[2].push((marks, mean_us(10, &mut decide)));
    }
    print_row("check of a prompt, n parts", "us", &points[0]);
    print_row("sound run of a prompt, n parts", "us", &points[1]);
    print_row("decision on crashes, n marks", "us", &points[2]);
}

fn main() {
    prompt_parts();
    dispatch_decisions();
    state_and_changes();
    placement_plans();
    consensus_batches();
    ledger_snapshots();
    message_sizes();
}
