//! Case 10: a controller that is killed while it takes over a snapshot never starts again after its next restart, so
//! the core does not bear the loss of another machine's disk.

#[path = "../standin-2/mod.rs"]
mod standin;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use standin::record::Record;
use standin::site::Machine;
use standin::site::Site;

/// Changes while the machine is down; controllers replace their logs by a snapshot after 96 records.
const CHANGES: u64 = 120;
/// Tries to kill the process at that moment, which is as short as two syncs of the disk.
const ATTEMPTS: usize = 8;
/// Time after the final fault in which the operator asks for the manifest; `recovery-s` is 12 s.
const READ_BACK: Duration = Duration::from_secs(30);
/// Delay before the platform starts a process again that has ended by itself.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

fn main() {
    let record = Record::create("review/10/record.txt");
    let site = Arc::new(Site::new(&record, &ZONES, 1));
    standin::limit_time(&record, &site);
    let code = run(&record, &site);
    record.line(&format!("exit {code}"));
    site.end();
    std::process::exit(code);
}

/// Operator that changes the manifest.
struct Operator<'a> {
    site: &'a Site,
    version: u64,
}

impl Operator<'_> {
    /// Sends the next `count` versions; returns whether all are acknowledged.
    fn change(&mut self, count: u64) -> bool {
        (0..count).all(|_| {
            self.version += 1;
            let text = standin::manifest(self.version);
            let answer = self.site.operate("PUT", "/configuration", &text, Duration::from_secs(10));
            answer.is_some_and(|a| a.status == 200)
        })
    }
}

/// Kills a machine, makes changes meanwhile, starts it and kills it again as it has replaced its snapshot; returns
/// whether it had not replaced its log yet.
fn kill_at_snapshot(record: &Record, operator: &mut Operator, machine: &Machine) -> bool {
    let site = operator.site;
    site.kill(machine);
    if !operator.change(CHANGES) {
        return false;
    }
    let [snapshot, log] = ["snapshot", "log"].map(|name| site.file(machine, name));
    site.start(machine, false);
    standin::spin_until(Duration::from_secs(10), || site.file(machine, "snapshot") != snapshot);
    site.kill(machine);
    let is_hit = site.file(machine, "snapshot") != snapshot && site.file(machine, "log") == log;
    record.line(&format!("killed between the replacement of snapshot and log: {is_hit}"));
    if !is_hit {
        std::thread::sleep(RESTART_DELAY);
        site.start(machine, false);
        std::thread::sleep(Duration::from_secs(2));
        // The machine has records in its log again.
        operator.change(3);
        std::thread::sleep(Duration::from_millis(500));
    }
    is_hit
}

/// Starts the process of a machine again that has ended by itself, and counts how often.
fn keep_running(record: &Record, site: &Site, machine: &Machine, time: Duration) -> usize {
    let started = Instant::now();
    let mut ends = 0;
    while started.elapsed() < time {
        if site.has_ended(machine) {
            ends += 1;
            record.line(&format!("{} has ended by itself", machine.name));
            std::thread::sleep(RESTART_DELAY);
            site.start(machine, false);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    ends
}

fn run(record: &Record, site: &Arc<Site>) -> i32 {
    for core in &site.cores {
        site.start(core, true);
    }
    let mut operator = Operator { site, version: 0 };
    if !operator.change(10) {
        return standin::NOT_RUN;
    }
    // All machines are in sync by then.
    std::thread::sleep(Duration::from_secs(5));
    let mut found = None;
    standin::wait_until(Duration::from_secs(5), || {
        found = site.leader();
        found.is_some()
    });
    let Some(leader) = found.filter(|_| operator.change(5)) else {
        return standin::NOT_RUN;
    };
    let killed = &site.cores[(leader + 1) % ZONES.len()];
    let lost = &site.cores[(leader + 2) % ZONES.len()];
    record.line(&format!("{} leads", site.cores[leader].name));
    if standin::has_trouble() {
        let is_hit = (0..ATTEMPTS).any(|_| kill_at_snapshot(record, &mut operator, killed));
        if !is_hit {
            record.line("the process was never killed at that moment");
            return standin::NOT_RUN;
        }
        std::thread::sleep(RESTART_DELAY);
        site.start(killed, false);
    } else if !operator.change(CHANGES) {
        return standin::NOT_RUN;
    }
    std::thread::sleep(Duration::from_secs(5));
    if !operator.change(5) {
        return standin::NOT_RUN;
    }
    std::thread::sleep(Duration::from_secs(1));
    if standin::has_trouble() {
        site.signal(killed, "TERM");
        site.wait_for_end(killed, Duration::from_secs(8));
        site.start(killed, false);
    }
    let ends = keep_running(record, site, killed, Duration::from_secs(8));
    if !operator.change(1) {
        return standin::NOT_RUN;
    }
    if standin::has_trouble() {
        site.kill(lost);
        site.wipe(lost);
        std::thread::sleep(Duration::from_secs(1));
        site.start(lost, false);
    }
    let started = Instant::now();
    let mut read = None;
    while started.elapsed() < READ_BACK && read.is_none() {
        keep_running(record, site, killed, Duration::from_millis(100));
        read = site
            .operate("GET", "/configuration", "", Duration::from_secs(2))
            .filter(|a| a.status == 200);
    }
    record.line(&format!("{} has ended by itself {ends} times before the final fault", killed.name));
    match read {
        Some(answer) if answer.text() == standin::manifest(operator.version) => standin::HELD,
        Some(_) => {
            record.line("the manifest that was read back is not the one that was acknowledged");
            standin::BROKEN
        }
        None => {
            record.line(&format!("the manifest was not read back within {} s", READ_BACK.as_secs()));
            standin::BROKEN
        }
    }
}
