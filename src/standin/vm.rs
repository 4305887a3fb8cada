//! State of a stand-in VM, and the start of all VMs of a process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;

use tokio::sync::Semaphore;

use super::Fault;
use super::Settings;
use super::VmSettings;
use super::announce;
use super::cache::Cache;
use super::group;
use super::server;
use crate::adapters::upstream;
use crate::domain::membership::Report;

/// Part of a VM's state that orders and faults change.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) report: Report,
    pub(super) fault: Fault,
    /// Position in the group, from 0.
    pub(super) rank: usize,
    /// Addresses of the group's members, by rank.
    pub(super) members: Vec<String>,
    /// Whether this VM has loaded its model; the other members may not have.
    pub(super) loaded: bool,
    /// Calls answered since the engine was last cold.
    pub(super) warmup_calls: u64,
}

/// One stand-in VM.
#[derive(Debug)]
pub(super) struct Vm {
    /// Settings of the process, which all its VMs share.
    pub(super) settings: Settings,
    /// Settings of this VM.
    pub(super) spec: VmSettings,
    pub(super) address: SocketAddr,
    pub(super) client: upstream::Client,
    pub(super) state: Mutex<State>,
    /// Calls in progress.
    pub(super) running: AtomicUsize,
    /// Permits of the calls that an engine runs concurrently.
    pub(super) batch: Semaphore,
    /// Prompts that the engine holds.
    pub(super) cache: Mutex<Cache>,
    /// Number of times that all open calls were aborted; each change aborts them.
    pub(super) aborts: tokio::sync::watch::Sender<u64>,
    /// Number of runs of a service's calls, by the `order` in the call's body.
    pub(super) runs: Mutex<BTreeMap<String, u64>>,
    /// Calls refused because the group was incomplete, or another group or fencing token was in
    /// force.
    pub(super) wrong_group: AtomicU64,
    /// Calls that started while a cold engine ran more than `cold_limit` calls.
    pub(super) overloads: AtomicU64,
    /// Calls that arrived, refused ones included.
    pub(super) arrived: AtomicU64,
}

impl Vm {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Forgets the retained prompts, which belong to the weights that were loaded.
    pub(super) fn clear_cache(&self) {
        self.cache.lock().expect("no panic under this lock").clear();
    }

    /// Aborts all open calls; their connections are reset.
    pub(super) fn abort_calls(&self) {
        self.aborts.send_modify(|count| *count += 1);
    }
}

/// Stand-in VMs that this process runs.
#[derive(Debug)]
pub struct Fleet {
    /// Addresses on which the VMs listen, by VM name.
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// Starts all VMs of `settings` on the current runtime.
///
/// # Errors
///
/// I/O error when an address cannot be bound.
pub async fn start(settings: Settings) -> std::io::Result<Fleet> {
    let client = upstream::Client::default();
    let mut addresses = BTreeMap::new();
    for spec in &settings.vms {
        let listener = tokio::net::TcpListener::bind(spec.listen).await?;
        let address = listener.local_addr()?;
        addresses.insert(spec.name.clone(), address);
        let vm = Arc::new(new_vm(&settings, spec, address, &client));
        tokio::spawn(server::run(vm.clone(), listener));
        tokio::spawn(group::update_readiness(vm.clone()));
        tokio::spawn(announce::run(vm));
    }
    Ok(Fleet { addresses })
}

fn new_vm(settings: &Settings, spec: &VmSettings, address: SocketAddr, client: &upstream::Client) -> Vm {
    let report = Report {
        incarnation: new_incarnation(),
        model: spec.service.clone(),
        ..Report::default()
    };
    let state = State {
        report,
        ..State::default()
    };
    Vm {
        settings: settings.clone(),
        spec: spec.clone(),
        address,
        client: client.clone(),
        state: Mutex::new(state),
        running: AtomicUsize::new(0),
        batch: Semaphore::new(settings.batch),
        cache: Mutex::new(Cache::new(settings.cache_tokens)),
        aborts: tokio::sync::watch::Sender::new(0),
        runs: Mutex::default(),
        wrong_group: AtomicU64::new(0),
        overloads: AtomicU64::new(0),
        arrived: AtomicU64::new(0),
    }
}

/// Number of a new incarnation: the time in milliseconds and 16 random bits.
pub(super) fn new_incarnation() -> u64 {
    (crate::adapters::clock::wall_ms() << 16) | u64::from(rand::random::<u16>())
}
