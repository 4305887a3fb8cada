//! Start and graceful shutdown of the control daemon.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use super::Error;
use super::Mailbox;
use super::driver;
use super::driver::Executor;
use super::messenger::Messenger;
use super::metrics::Metrics;
use super::peer;
use super::web;
use crate::adapters::clock;
use crate::adapters::control::Client;
use crate::adapters::disk::Filesystem;
use crate::adapters::disk::Folder;
use crate::adapters::http;
use crate::adapters::quic;
use crate::adapters::quic::Credentials;
use crate::adapters::quic::Pool;
use crate::domain::control::Core;
use crate::domain::control::Event;
use crate::domain::state::Command;
use crate::logging;
use crate::settings::Control;

/// Largest body of an announcement or an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes that callers may make the process hold, and of them for connections: most callers are VMs that send small
/// announcements.
const CALLER_BYTES: usize = 64 << 20;
const CONNECTION_BYTES: usize = CALLER_BYTES / 4 * 3;
/// Time without a byte of a body after which it is refused, and the longest time for a body.
const BODY_PAUSE: Duration = Duration::from_secs(5);
const BODY_TIME: Duration = Duration::from_secs(30);
/// Time for another voter to take over leadership during a shutdown.
const LEADERSHIP_TRANSFER_WAIT: Duration = Duration::from_millis(800);
/// Interval between removals of expired calls from the ledger, and longest wait for one such
/// proposal.
const LEDGER_PRUNE_INTERVAL: Duration = Duration::from_secs(60);

/// Control daemon that runs on the current runtime and a thread of its own.
#[derive(Debug)]
pub struct Daemon {
    mailbox: Mailbox,
    web: http::Server,
    _endpoint: quinn::Endpoint,
}

/// Creates the data folder of a new voter and returns the identity of the voter.
///
/// `joins` is true for a voter that is added later or replaces one whose disk is lost. Its
/// identity then contains the current time, so that no voter has had it before.
///
/// # Errors
///
/// `Storage` when the folder is in use or cannot be written.
pub fn create_data_folder(settings: &Control, joins: bool) -> Result<String, Report<Error>> {
    std::fs::create_dir_all(&settings.data_folder).change_context(Error::Storage)?;
    let identity = if joins {
        format!("{}~{:x}", settings.name, clock::wall_ms())
    } else {
        settings.name.clone()
    };
    let voters: Vec<String> = settings.control.iter().map(|p| p.name.clone()).collect();
    let voters = if joins { Vec::new() } else { voters };
    let path = Path::new(&settings.data_folder);
    Folder::create(Filesystem::default(), path, &identity, &voters).change_context(Error::Storage)?;
    Ok(identity)
}

/// Starts the daemon on the current runtime.
///
/// # Errors
///
/// `Storage` when the data folder is empty, lost or damaged, `Keys` when the deployment keys
/// cannot be used, `Listen` when an address cannot be bound or the driver's thread cannot be started.
pub async fn run(settings: Control) -> Result<Daemon, Report<Error>> {
    let path = Path::new(&settings.data_folder);
    let (folder, identity, recovery) =
        Folder::open(Filesystem::default(), path).change_context(Error::Storage)?;
    let keys = Credentials::load(&settings.keys).change_context(Error::Keys)?;
    let pool = Pool::new(&keys).change_context(Error::Keys)?;
    let (mailbox, events) = Mailbox::new();
    let metrics = Metrics::new();
    let executor = Executor {
        folder,
        messenger: Messenger::new(&pool, &settings.control),
        mailbox: mailbox.clone(),
        metrics: metrics.clone(),
    };
    let seed = rand::random();
    let core = Core::new(&identity, settings.core.clone(), recovery, clock::now(), seed);
    thread::Builder::new()
        .name("driver".to_owned())
        .spawn(move || driver::run_core(core, events, executor))
        .change_context(Error::Listen)?;
    let server = peer::Server {
        mailbox: mailbox.clone(),
        identity: identity.clone(),
        lease_ms: settings.core.session.lease_ms,
    };
    let endpoint = quic::serve(settings.listen_peer, &keys, move |request, stream| {
        peer::handle(server.clone(), request, stream)
    })
    .change_context(Error::Listen)?;
    let client = Client::new(pool, &settings.control);
    tokio::spawn(prune_ledger(client.clone(), settings.ledger_hours));
    let address = settings.listen_http;
    let (limits, memory) = settings.connections.limits(CALLER_BYTES, CONNECTION_BYTES, 1);
    let server = Arc::new(web::Server {
        settings,
        client,
        metrics,
    });
    let intake = http::Intake {
        max_bytes: MAX_BODY_BYTES,
        max_pause: BODY_PAUSE,
        max_time: BODY_TIME,
        limits,
        memory,
    };
    let web = http::serve(address, intake, move |request| {
        web::handle(server.clone(), request)
    })
    .await
    .change_context(Error::Listen)?;
    logging::PROCESS_STARTED.log(format_args!("control identity={identity} http={}", web.address));
    Ok(Daemon {
        mailbox,
        web,
        _endpoint: endpoint,
    })
}

impl Daemon {
    /// Transfers leadership to another voter and stops taking HTTP requests.
    pub async fn stop(self) {
        logging::SHUTDOWN_STARTED.log(format_args!("control"));
        self.mailbox.tell(Event::Shutdown);
        tokio::time::sleep(LEADERSHIP_TRANSFER_WAIT).await;
        self.web.stop();
        logging::PROCESS_STOPPED.log(format_args!("control"));
    }
}

/// Removes expired calls from the ledger periodically.
///
/// Every control process proposes the command, whether it leads or not; a duplicate removes only
/// what has expired since.
async fn prune_ledger(client: Client, retention_hours: u64) {
    loop {
        tokio::time::sleep(LEDGER_PRUNE_INTERVAL).await;
        let retention_ms = retention_hours * 3_600_000;
        let command = Command::Forget {
            now_ms: clock::wall_ms(),
            retention_ms,
        };
        let _ = client.propose(&command, LEDGER_PRUNE_INTERVAL).await;
    }
}
