//! What the tasks of an entry share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;

use super::metrics::Metrics;
use crate::adapters::clock;
use crate::adapters::control;
use crate::adapters::quic::Pool;
use crate::adapters::upstream;
use crate::domain::dispatch::Action;
use crate::domain::dispatch::Budget;
use crate::domain::dispatch::Event;
use crate::domain::dispatch::Owner;
use crate::domain::dispatch::Router;
use crate::domain::state::State;
use crate::settings::Entry;

/// Decisions of this entry, under one lock.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) owner: Owner,
    pub(super) route: Router,
    pub(super) state: State,
    pub(super) budgets: BTreeMap<String, Budget>,
    pub(super) permit: Duration,
}

/// Shared parts of an entry.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) settings: Entry,
    pub(super) session: String,
    pub(super) pool: Pool,
    pub(super) control: control::Client,
    pub(super) upstreams: upstream::Client,
    pub(super) metrics: Metrics,
    pub(super) draining: AtomicBool,
    open_calls: AtomicUsize,
    core: Mutex<Core>,
    waiting: Mutex<HashMap<String, oneshot::Sender<Action>>>,
}

/// Counts an open call for as long as it lives.
#[derive(Debug)]
pub(super) struct OpenCall(Arc<Context>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Context {
    pub(super) fn new(settings: Entry, pool: Pool) -> Self {
        let session = format!("{}#{}", settings.name, clock::unique_id());
        let owner = Owner::new(&session, &settings.availability_zone, settings.dispatch.clone());
        Context {
            control: control::Client::new(pool.clone(), &settings.control),
            pool,
            upstreams: upstream::Client::default(),
            metrics: Metrics::new(),
            draining: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            core: Mutex::new(Core {
                owner,
                route: Router::default(),
                state: State::default(),
                budgets: BTreeMap::new(),
                permit: Duration::ZERO,
            }),
            waiting: Mutex::default(),
            session,
            settings,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no panic under this lock")
    }

    /// Feeds an event to the owner and effects its decisions to those who wait.
    pub(super) fn step(&self, event: Event) {
        let actions = self.lock().owner.step(clock::now(), event);
        self.hand_out(actions);
    }

    pub(super) fn hand_out(&self, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        let mut waiting = self.waiting.lock().expect("no panic under this lock");
        for action in actions {
            let call = match &action {
                Action::Start { call, .. } | Action::Refuse { call, .. } => call,
            };
            if let Some(sender) = waiting.remove(call) {
                let _ = sender.send(action);
            }
        }
    }

    /// Registers a call before its arrival is fed to the owner.
    pub(super) fn await_decision(&self, call: &str) -> oneshot::Receiver<Action> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.lock().expect("no panic under this lock");
        waiting.insert(call.to_owned(), sender);
        receiver
    }

    /// Gives up waiting; false when the decision has been made already.
    pub(super) fn forget_decision(&self, call: &str) -> bool {
        let mut waiting = self.waiting.lock().expect("no panic under this lock");
        waiting.remove(call).is_some()
    }

    /// Counts a caller's call as open until the value is dropped.
    pub(super) fn open_call(self: &Arc<Self>) -> OpenCall {
        self.open_calls.fetch_add(1, Ordering::SeqCst);
        OpenCall(self.clone())
    }

    pub(super) fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::SeqCst)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Whether this entry's lease is valid.
    pub(super) fn has_lease(&self) -> bool {
        clock::now() < self.lock().permit
    }
}
