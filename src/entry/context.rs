//! State that the tasks of an entry daemon share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;

use super::metrics::Metrics;
use crate::adapters::clock;
use crate::adapters::control;
use crate::adapters::memory::Memory;
use crate::adapters::quic::Pool;
use crate::adapters::upstream;
use crate::daemon::Shutdown;
use crate::domain::dispatch::Action;
use crate::domain::dispatch::Budget;
use crate::domain::dispatch::Event;
use crate::domain::dispatch::Owner;
use crate::domain::dispatch::Router;
use crate::domain::state::State;
use crate::settings::Entry;

/// Dispatch state and replicated state of this entry, under one lock.
#[derive(Debug)]
pub(super) struct Core {
    /// Queues and replicas that this entry owns.
    pub(super) owner: Owner,
    /// Owners of each environment, among which the owner for a call is chosen.
    pub(super) router: Router,
    pub(super) state: State,
    /// Retry budgets by environment.
    pub(super) retry_budgets: BTreeMap<String, Budget>,
    /// Time of [`clock::now`] at which this entry's lease expires.
    pub(super) lease_expiry: Duration,
}

/// Settings, clients and state of one entry daemon.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) settings: Entry,
    /// Identity of this run of the process, unique among all entries.
    pub(super) session: String,
    pub(super) pool: Pool,
    pub(super) control: control::Client,
    pub(super) upstreams: upstream::Client,
    /// Budget of what callers make this process hold.
    pub(super) memory: Memory,
    pub(super) metrics: Metrics,
    pub(super) shutdown: Shutdown,
    /// Calls for which a shutdown waits.
    open_calls: AtomicUsize,
    core: Mutex<Core>,
    /// Calls that wait for the owner's decision, by call identity.
    waiters: Mutex<HashMap<String, oneshot::Sender<Action>>>,
}

/// Guard that counts one call as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenCall(Arc<Context>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Context {
    pub(super) fn new(settings: Entry, pool: Pool, memory: Memory) -> Self {
        let session = format!("{}#{}", settings.name, clock::unique_id());
        let owner = Owner::new(&session, &settings.availability_zone, settings.dispatch.clone());
        Context {
            control: control::Client::new(pool.clone(), &settings.control),
            pool,
            upstreams: upstream::Client::default(),
            memory,
            metrics: Metrics::new(),
            shutdown: Shutdown::default(),
            open_calls: AtomicUsize::new(0),
            core: Mutex::new(Core {
                owner,
                router: Router::default(),
                state: State::default(),
                retry_budgets: BTreeMap::new(),
                lease_expiry: Duration::ZERO,
            }),
            waiters: Mutex::default(),
            session,
            settings,
        }
    }

    /// Locks the dispatch state and the replicated state.
    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no panic under this lock")
    }

    /// Advances this entry's [`Owner`] by one event and delivers its decisions to the waiting
    /// calls.
    pub(super) fn step(&self, event: Event) {
        let actions = self.lock().owner.step(clock::now(), event);
        self.deliver(actions);
    }

    /// Passes each decision to the call that waits for it.
    pub(super) fn deliver(&self, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        let mut waiters = self.waiters.lock().expect("no panic under this lock");
        for action in actions {
            let call = match &action {
                Action::Start { call, .. } | Action::Refuse { call, .. } => call,
            };
            if let Some(sender) = waiters.remove(call) {
                let _ = sender.send(action);
            }
        }
    }

    /// Registers a waiting call; must precede its [`Event::Arrive`], or the decision is lost.
    pub(super) fn register_waiter(&self, call: &str) -> oneshot::Receiver<Action> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.lock().expect("no panic under this lock");
        waiters.insert(call.to_owned(), sender);
        receiver
    }

    /// Removes a waiting call; false when its decision has been delivered already.
    pub(super) fn remove_waiter(&self, call: &str) -> bool {
        let mut waiters = self.waiters.lock().expect("no panic under this lock");
        waiters.remove(call).is_some()
    }

    /// Counts a call as open, so that a shutdown waits for it, until the returned guard is
    /// dropped.
    pub(super) fn track_open_call(self: &Arc<Self>) -> OpenCall {
        self.open_calls.fetch_add(1, Ordering::SeqCst);
        OpenCall(self.clone())
    }

    pub(super) fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::SeqCst)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.shutdown.stop().is_some()
    }

    /// Whether this entry's lease is valid.
    pub(super) fn has_lease(&self) -> bool {
        clock::now() < self.lock().lease_expiry
    }
}
