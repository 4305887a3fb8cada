//! Thread that owns the decision core and the data folder.
//!
//! Actions are executed in order, so nothing is sent or answered before the write that it
//! depends on. A failed write is retried until it succeeds. Meanwhile the thread is blocked: it
//! acknowledges nothing, and another voter is elected leader.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use error_stack::Report;

use super::messenger::Messenger;
use super::metrics::Metrics;
use super::orders::Orders;
use super::probes::Probes;
use crate::adapters::clock;
use crate::adapters::disk;
use crate::adapters::disk::Filesystem;
use crate::adapters::disk::Folder;
use crate::daemon;
use crate::domain::consensus;
use crate::domain::fleet::Action;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Core;
use crate::domain::fleet::Event;
use crate::domain::fleet::Telemetry;
use crate::logging;

/// Interval between tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Queued events processed after the first one before the clock is checked for a tick; the others
/// stay queued.
const MAX_BATCH_EVENTS: usize = 256;
/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends events to the driver thread and passes its answers back.
pub type Mailbox = daemon::Mailbox<Event, Answer>;

/// State of the core that the rest of the process reads.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Identity of the leader, if known.
    pub leader: Option<String>,
    /// Whether this process is a voter or learner of the log.
    pub is_member: bool,
    /// Addresses of all voters and learners of the log.
    pub controllers: Vec<String>,
}

/// Executes the actions of the core.
pub(super) struct Executor {
    pub(super) folder: Folder<Filesystem>,
    pub(super) messenger: Messenger,
    pub(super) orders: Orders,
    pub(super) probes: Probes,
    pub(super) mailbox: Mailbox,
    pub(super) metrics: Metrics,
    pub(super) status: Arc<Mutex<Status>>,
}

/// Runs the core until the process ends.
pub(super) fn run_core(mut core: Core, events: mpsc::Receiver<Event>, mut executor: Executor) {
    let mut last_tick = clock::now();
    loop {
        let time_to_tick = (last_tick + TICK_INTERVAL).saturating_sub(clock::now());
        let first_event = events.recv_timeout(time_to_tick);
        if matches!(first_event, Err(mpsc::RecvTimeoutError::Disconnected)) {
            return;
        }
        let more_events = events.try_iter().take(MAX_BATCH_EVENTS);
        for event in first_event.into_iter().chain(more_events) {
            let actions = core.step(clock::now(), event);
            executor.execute(&core, actions);
        }
        if clock::now() >= last_tick + TICK_INTERVAL {
            last_tick = clock::now();
            let actions = core.step(last_tick, Event::Tick);
            executor.execute(&core, actions);
            executor.publish_status(&core, last_tick);
        }
    }
}

impl Executor {
    fn execute(&mut self, core: &Core, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Consensus(action) => self.persist_or_send(core, action),
                Action::Answer(ticket, answer) => self.mailbox.answer(ticket, answer),
                Action::Order(order) => self.orders.send(order),
                Action::Probe(probe) => self.probes.send(probe),
                Action::Leadership(leads) => {
                    let (id, term) = (core.node().id(), core.node().term());
                    logging::FLEET_LEADERSHIP.log_fields(&[
                        ("controller", id.into()),
                        ("term", term.into()),
                        ("leads", leads.into()),
                    ]);
                }
                Action::Telemetry(telemetry) => self.record_telemetry(core, &telemetry),
            }
        }
    }

    fn record_telemetry(&self, core: &Core, telemetry: &Telemetry) {
        let (term, index) = (core.node().term(), core.state().index);
        match telemetry {
            Telemetry::Opened(epoch) => {
                self.metrics.groups_opened.inc();
                logging::GROUP_OPENED.log_fields(&[
                    ("term", term.into()),
                    ("index", index.into()),
                    ("group", (*epoch).into()),
                ]);
            }
            Telemetry::Lost(epoch, loss, vm) => {
                let loss = format!("{loss:?}");
                self.metrics.groups_lost.with_label_values(&[&loss]).inc();
                logging::GROUP_LOST.log_fields(&[
                    ("term", term.into()),
                    ("group", (*epoch).into()),
                    ("loss", loss.as_str().into()),
                    ("vm", vm.as_str().into()),
                ]);
            }
            Telemetry::Phase(phase, time) => self.metrics.record_phase(*phase, *time),
            Telemetry::Committed(command) => {
                let text = format!("{command:?}");
                let truncated: String = text.chars().take(400).collect();
                logging::FLEET_COMMITTED.log_fields(&[
                    ("term", term.into()),
                    ("index", index.into()),
                    ("command", truncated.as_str().into()),
                ]);
            }
            Telemetry::UnnamedZone(zone) => {
                logging::ZONE_UNNAMED.log_fields(&[("term", term.into()), ("zone", zone.as_str().into())]);
            }
            Telemetry::Quarantined { part, targets } => {
                let names = targets.join(" ");
                let truncated: String = names.chars().take(400).collect();
                logging::PART_QUARANTINED.log_fields(&[
                    ("term", term.into()),
                    ("index", index.into()),
                    ("part", part.as_str().into()),
                    ("crashes", (targets.len() as u64).into()),
                    ("targets", truncated.as_str().into()),
                ]);
            }
            Telemetry::Released(part) => logging::PART_RELEASED.log_fields(&[
                ("term", term.into()),
                ("index", index.into()),
                ("part", part.as_str().into()),
            ]),
        }
    }

    fn persist_or_send(&mut self, core: &Core, action: consensus::Action) {
        match action {
            consensus::Action::SaveHardState(hard_state) => {
                self.persist(|folder| folder.save_hard_state(&hard_state))
            }
            consensus::Action::SaveRecords(records) => {
                self.persist(|folder| folder.save_records(&records));
            }
            consensus::Action::SaveSnapshot(snapshot) => {
                let journal = core.node().journal();
                let later_records = journal.range(snapshot.index + 1, usize::MAX / 2);
                self.persist(|folder| folder.save_snapshot(&snapshot, later_records));
            }
            consensus::Action::Send { to, message } => {
                self.messenger.send(core.node().id(), &to, message);
            }
            // The core executes these itself.
            consensus::Action::Restore(_) | consensus::Action::Apply(_) => {}
        }
    }

    /// Retries a write until it succeeds, blocking the thread.
    fn persist(&mut self, write: impl Fn(&mut Folder<Filesystem>) -> Result<(), Report<disk::Error>>) {
        let started = clock::now();
        let mut failures = 0u64;
        while let Err(report) = write(&mut self.folder) {
            if failures == 0 {
                let reason = format!("{report:?}");
                logging::STORAGE_WAITS.log_fields(&[("reason", reason.as_str().into())]);
            }
            failures += 1;
            self.metrics.write_failures.inc();
            thread::sleep(WRITE_RETRY_DELAY);
        }
        if failures > 0 {
            let waited_ms = (clock::now() - started).as_millis() as u64;
            logging::STORAGE_RESUMED
                .log_fields(&[("failures", failures.into()), ("waited_ms", waited_ms.into())]);
        }
    }

    /// Updates the metrics and the shared status.
    fn publish_status(&self, core: &Core, now: Duration) {
        self.metrics.update(core, now);
        let mut status = self.status.lock().expect("no panic under this lock");
        status.leader = core.node().leader().map(str::to_owned);
        status.is_member = core.is_member();
        status.controllers = core.controllers();
    }
}
