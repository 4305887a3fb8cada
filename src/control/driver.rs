//! The thread that owns the [`Core`] and the data folder.
//!
//! Events are taken in batches, and all proposals of a batch are written with one append
//! and one sync. Actions are executed in order, so nothing is sent or answered before
//! the write that it depends on.

use std::sync::mpsc;
use std::time::Duration;

use super::messenger::Messenger;
use super::metrics::Metrics;
use crate::adapters::clock;
use crate::adapters::disk;
use crate::adapters::disk::Filesystem;
use crate::adapters::disk::Folder;
use crate::daemon;
use crate::domain::consensus;
use crate::domain::control::Action;
use crate::domain::control::Answer;
use crate::domain::control::Core;
use crate::domain::control::Event;
use crate::logging;

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Queued events taken into one batch after its first event.
const MAX_BATCH_EVENTS: usize = 1024;
/// Exit code after a failed write, as in sysexits.h (EX_IOERR).
const EXIT_STORAGE: i32 = 74;

/// Sends events to the driver's thread and returns its answers.
pub type Mailbox = daemon::Mailbox<Event, Answer>;

/// Executes the actions of the core.
pub struct Executor {
    /// Data folder.
    pub folder: Folder<Filesystem>,
    /// Messages to other voters and orders to VMs.
    pub messenger: Messenger,
    /// Answers to requests.
    pub mailbox: Mailbox,
    /// Gauges, updated after each tick.
    pub metrics: Metrics,
}

/// Runs the core on the current thread until the process ends.
pub fn run_core(mut core: Core, events: mpsc::Receiver<Event>, mut executor: Executor) {
    let mut last_tick = clock::now();
    loop {
        let time_to_tick = (last_tick + TICK_INTERVAL).saturating_sub(clock::now());
        let first_event = events.recv_timeout(time_to_tick);
        if matches!(first_event, Err(mpsc::RecvTimeoutError::Disconnected)) {
            return;
        }
        let more_events = events.try_iter().take(MAX_BATCH_EVENTS);
        for event in merge_proposals(first_event.into_iter().chain(more_events)) {
            let actions = core.step(clock::now(), event);
            executor.execute(&core, actions);
        }
        if clock::now() >= last_tick + TICK_INTERVAL {
            last_tick = clock::now();
            let actions = core.step(last_tick, Event::Tick);
            executor.execute(&core, actions);
            executor.metrics.update(&core, last_tick);
        }
    }
}

/// Merges all proposals into one event, which follows the others, so that they share one write.
fn merge_proposals(events: impl Iterator<Item = Event>) -> Vec<Event> {
    let mut batch = Vec::new();
    let mut merged = Vec::new();
    for event in events {
        match event {
            Event::Propose(proposals) => batch.extend(proposals),
            other => merged.push(other),
        }
    }
    if !batch.is_empty() {
        merged.push(Event::Propose(batch));
    }
    merged
}

impl Executor {
    fn execute(&mut self, core: &Core, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Consensus(action) => self.persist_or_send(core, action),
                Action::Answer(ticket, answer) => self.mailbox.answer(ticket, answer),
                Action::Order(order) => self.messenger.send_order(order),
                Action::Decision(command, reply) => {
                    logging::PLACEMENT_DECIDED.log(format_args!("command={command:?} reply={reply:?}"));
                }
                Action::Leadership(leads) => {
                    let (id, term) = (core.node().id(), core.node().term());
                    logging::LEADER_CHANGED.log(format_args!("node={id} term={term} leads={leads}"));
                }
            }
        }
    }

    fn persist_or_send(&mut self, core: &Core, action: consensus::Action) {
        let result = match action {
            consensus::Action::SaveHardState(hard_state) => self.folder.save_hard_state(&hard_state),
            consensus::Action::SaveRecords(records) => self.folder.save_records(&records),
            consensus::Action::SaveSnapshot(snapshot) => {
                let journal = core.node().journal();
                // Half of the maximum: `range` adds the limit to an offset, which must not overflow.
                let later_records = journal.range(snapshot.index + 1, usize::MAX / 2);
                self.folder.save_snapshot(&snapshot, later_records)
            }
            consensus::Action::Send { to, message } => {
                self.messenger.send(core.node().id(), &to, message);
                Ok(())
            }
            // The core executes these itself.
            consensus::Action::Restore(_) | consensus::Action::Apply(_) => Ok(()),
        };
        if let Err(report) = result {
            exit_after_failed_write(&report);
        }
    }
}

/// Ends the process, because the content of a file is unknown after a failed write.
fn exit_after_failed_write(report: &error_stack::Report<disk::Error>) -> ! {
    logging::STORAGE_FAILED.log(format_args!("{report:?}"));
    std::process::exit(EXIT_STORAGE);
}
