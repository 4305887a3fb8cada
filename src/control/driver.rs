//! The thread that owns the core and the data folder.
//!
//! Events are taken in batches; all proposals of a batch become one append and
//! one sync. Actions are carried out in order, so nothing is sent or answered
//! before the write that it depends on.

use std::sync::mpsc;
use std::time::Duration;

use super::messenger::Messenger;
use super::metrics::Metrics;
use crate::adapters::clock;
use crate::adapters::disk;
use crate::adapters::disk::Folder;
use crate::adapters::disk::OsFiles;
use crate::daemon;
use crate::domain::consensus;
use crate::domain::control::Action;
use crate::domain::control::Answer;
use crate::domain::control::Core;
use crate::domain::control::Event;
use crate::logging;

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(20);
/// Events taken in one batch.
const BATCH: usize = 1024;
/// Exit code after a failed write, as in sysexits.h (EX_IOERR).
const EXIT_STORAGE: i32 = 74;

/// Way into the driver's thread.
pub type Mailbox = daemon::Mailbox<Event, Answer>;

/// What carries out the actions.
pub struct Effects {
    /// Data folder.
    pub folder: Folder<OsFiles>,
    /// Messages and orders to others.
    pub messenger: Messenger,
    /// Answers to those who wait.
    pub mailbox: Mailbox,
    /// Metrics.
    pub metrics: Metrics,
}

/// Runs the core until the process ends.
pub fn drive(mut core: Core, events: mpsc::Receiver<Event>, mut effects: Effects) {
    let mut ticked = clock::now();
    loop {
        let wait = (ticked + TICK).saturating_sub(clock::now());
        let first = events.recv_timeout(wait);
        if matches!(first, Err(mpsc::RecvTimeoutError::Disconnected)) {
            return;
        }
        let rest = events.try_iter().take(BATCH);
        for event in coalesce(first.into_iter().chain(rest)) {
            let actions = core.step(clock::now(), event);
            effects.carry_out(&core, actions);
        }
        if clock::now() >= ticked + TICK {
            ticked = clock::now();
            let actions = core.step(ticked, Event::Tick);
            effects.carry_out(&core, actions);
            effects.metrics.observe(&core, ticked);
        }
    }
}

/// Joins all proposals into one, at the place of the last.
fn coalesce(events: impl Iterator<Item = Event>) -> Vec<Event> {
    let mut batch = Vec::new();
    let mut out = Vec::new();
    for event in events {
        match event {
            Event::Propose(proposals) => batch.extend(proposals),
            other => out.push(other),
        }
    }
    if !batch.is_empty() {
        out.push(Event::Propose(batch));
    }
    out
}

impl Effects {
    fn carry_out(&mut self, core: &Core, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Consensus(action) => self.persist_or_send(core, action),
                Action::Answer(ticket, answer) => self.mailbox.answer(ticket, answer),
                Action::Order(sending) => self.messenger.order(sending),
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
        let saved = match action {
            consensus::Action::SaveHardState(hard) => self.folder.save_hard_state(&hard),
            consensus::Action::SaveRecords(records) => self.folder.save_records(&records),
            consensus::Action::SaveSnapshot(snapshot) => {
                let journal = core.node().journal();
                let rest = journal.range(snapshot.index + 1, usize::MAX / 2);
                self.folder.save_snapshot(&snapshot, rest)
            }
            consensus::Action::Send { to, message } => {
                self.messenger.send(core.node().id(), &to, message);
                Ok(())
            }
            consensus::Action::Restore(_) | consensus::Action::Apply(_) => Ok(()),
        };
        if let Err(report) = saved {
            stop(&report);
        }
    }
}

/// Ends the process: after a failed write the file's content is not known.
fn stop(report: &error_stack::Report<disk::Error>) -> ! {
    logging::STORAGE_FAILED.log(format_args!("{report:?}"));
    std::process::exit(EXIT_STORAGE);
}
