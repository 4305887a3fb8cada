//! Startup and shutdown of the fleet daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::Error;
use super::Mailbox;
use super::Status;
use super::driver;
use super::driver::Executor;
use super::gate::Gate;
use super::intake;
use super::join;
use super::leader::Leader;
use super::messenger::Messenger;
use super::metrics::Metrics;
use super::orders::Orders;
use super::peer;
use super::probes::Probes;
use super::relay::Relay;
use super::web;
use crate::adapters::clock;
use crate::adapters::disk;
use crate::adapters::disk::Filesystem;
use crate::adapters::disk::Folder;
use crate::adapters::fleet::Client;
use crate::adapters::quic;
use crate::adapters::quic::Credentials;
use crate::adapters::quic::Pool;
use crate::domain::consensus::Recovery;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Controller;
use crate::domain::fleet::Core;
use crate::domain::fleet::Event;
use crate::logging;
use crate::settings::Fleet;

/// Time that the shutdown waits for another voter to take over leadership.
const LEADERSHIP_TRANSFER_WAIT: Duration = Duration::from_millis(700);
/// Longest time that the shutdown waits for another controller to take this one's vote over.
const VOTE_HANDOVER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay before the leader is told again of the shutdown.
const DEPARTURE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before the creation of the data folder is retried after a failure.
const FOLDER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Running fleet daemon.
pub struct Daemon {
    mailbox: Mailbox,
    leader: Leader,
    identity: String,
    /// Task that joins the replicated log.
    join_task: AbortHandle,
    _endpoint: quinn::Endpoint,
}

/// Starts the daemon on the current runtime.
///
/// # Errors
///
/// `Storage` if the data folder is damaged, `Keys` if the deployment keys cannot be used, `Listen` if
/// an address cannot be opened or the driver thread cannot be started.
pub async fn run(settings: Fleet) -> Result<Daemon, Report<Error>> {
    let keys = Credentials::load(&settings.keys).change_context(Error::Keys)?;
    let keys = keys.with_memory(settings.memory_mb);
    let (folder, identity, recovery) = open_folder(&settings).await?;
    let pool = Pool::new(&keys).change_context(Error::Keys)?;
    let seeds = settings.peer_seeds();
    let zone = settings.availability_zone.as_str();
    let client = Client::new(pool.clone(), &seeds, zone);
    let (mailbox, events) = Mailbox::new();
    let metrics = Metrics::new();
    let status: Arc<Mutex<Status>> = Arc::default();
    let executor = Executor {
        folder,
        messenger: Messenger::new(pool),
        orders: Orders::new(mailbox.clone()),
        probes: Probes::new(mailbox.clone()),
        mailbox: mailbox.clone(),
        metrics: metrics.clone(),
        status: status.clone(),
    };
    let mut timing = settings.fleet.clone();
    timing.voters = settings.voters();
    let consensus = settings.consensus.clone();
    let controller = Controller {
        address: settings.peer_address().to_string(),
        zone: zone.to_owned(),
    };
    let relay = Relay::new(controller, timing.clone());
    let leader = Leader::new(
        mailbox.clone(),
        client.clone(),
        status.clone(),
        settings.peer_address(),
    );
    let core = Core::new(
        &identity,
        timing,
        consensus,
        recovery,
        clock::now(),
        rand::random(),
    );
    thread::Builder::new()
        .name("driver".to_owned())
        .spawn(move || driver::run_core(core, events, executor))
        .change_context(Error::Listen)?;
    let server = peer::Server {
        mailbox: mailbox.clone(),
        relay: relay.clone(),
        leader: leader.clone(),
        identity: identity.clone(),
    };
    let gate = Gate::new(settings.intake.clone(), &seeds, status.clone(), metrics.clone());
    let admit = move |arrival| gate.admit(arrival);
    let handler = move |request, stream| peer::handle(server.clone(), request, stream);
    let endpoint =
        quic::serve_admitted(settings.peer_address(), &keys, admit, handler).change_context(Error::Listen)?;
    let (limits, memory) = intake::limits(settings.memory_mb);
    let server = web::Server {
        leader: leader.clone(),
        relay: relay.clone(),
        metrics,
        own_address: settings.listen,
        memory,
        text: Arc::default(),
    };
    // Both ports serve all paths; a metrics port of 0 means none.
    let ports = [settings.listen.port(), settings.metrics_port];
    let ports = ports.into_iter().filter(|p| *p != 0);
    let addresses = ports.map(|port| SocketAddr::new(settings.listen.ip(), port));
    web::serve(server, addresses.collect(), limits).await?;
    tokio::spawn(relay.clone().run_ticks());
    tokio::spawn(relay.run(leader.clone()));
    let join_task = tokio::spawn(join::ensure_joined(client, identity.clone(), status));
    logging::PROCESS_STARTED.log_fields(&[
        ("program", "fleet".into()),
        ("controller", identity.as_str().into()),
        ("listen", settings.listen.to_string().as_str().into()),
    ]);
    Ok(Daemon {
        mailbox,
        leader,
        identity,
        join_task: join_task.abort_handle(),
        _endpoint: endpoint,
    })
}

impl Daemon {
    /// Transfers leadership to another voter if this controller leads, and its vote to a learner that
    /// stands by, if there is one.
    pub async fn stop(self) {
        logging::SHUTDOWN_STARTED.log_fields(&[("program", "fleet".into())]);
        self.join_task.abort();
        self.mailbox.tell(Event::Shutdown);
        let handover = timeout(VOTE_HANDOVER_TIMEOUT, self.hand_over_vote());
        let (handover, ()) = tokio::join!(handover, tokio::time::sleep(LEADERSHIP_TRANSFER_WAIT));
        logging::PROCESS_STOPPED.log_fields(&[
            ("program", "fleet".into()),
            ("vote_settled", handover.is_ok().into()),
        ]);
    }

    /// Tells the leader of the shutdown until it has settled what becomes of this controller's vote.
    async fn hand_over_vote(&self) {
        let call = Call::Depart {
            identity: self.identity.clone(),
        };
        while !matches!(self.leader.ask(call.clone()).await, Some(Answer::Done)) {
            tokio::time::sleep(DEPARTURE_RETRY_DELAY).await;
        }
    }
}

/// Opens the data folder, with the controller's identity and recovery state. An empty or missing
/// folder is initialized first, with retries.
async fn open_folder(settings: &Fleet) -> Result<(Folder<Filesystem>, String, Recovery), Report<Error>> {
    let path = Path::new(&settings.data_folder);
    loop {
        match Folder::open(Filesystem::default(), path) {
            Ok(opened) => return Ok(opened),
            Err(report) if *report.current_context() != disk::Error::Empty => {
                return Err(report.change_context(Error::Storage));
            }
            Err(_) => {}
        }
        let (identity, voters) = initial_identity(settings);
        let created = std::fs::create_dir_all(path)
            .change_context(disk::Error::Write)
            .and_then(|()| Folder::create(Filesystem::default(), path, &identity, &voters));
        if let Err(report) = created {
            let reason = format!("{report:?}");
            logging::STORAGE_WAITS.log_fields(&[("reason", reason.as_str().into())]);
            tokio::time::sleep(FOLDER_RETRY_DELAY).await;
        }
    }
}

/// Identity of a controller with an empty data folder, and the initial voters of its log.
///
/// At the first start of an installation every process has the same seeds in its settings, and
/// these are the initial voters. Any other controller starts without voters, under an identity
/// with a random nonce that no controller has used before, and joins.
fn initial_identity(settings: &Fleet) -> (String, Vec<String>) {
    let own_address = settings.peer_address();
    let seeds = settings.peer_seeds();
    if settings.first_start && seeds.contains(&own_address) {
        return (
            own_address.to_string(),
            seeds.iter().map(ToString::to_string).collect(),
        );
    }
    (format!("{own_address}~{:08x}", rand::random::<u32>()), Vec::new())
}
