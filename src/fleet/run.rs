//! Start and stop of the fleet daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use super::Error;
use super::Mailbox;
use super::Status;
use super::driver;
use super::driver::Effects;
use super::join;
use super::messenger::Messenger;
use super::metrics::Metrics;
use super::peer;
use super::web;
use crate::adapters::clock;
use crate::adapters::disk;
use crate::adapters::disk::Folder;
use crate::adapters::disk::Real;
use crate::adapters::fleet::Client;
use crate::adapters::http1;
use crate::adapters::quic;
use crate::adapters::quic::Identity;
use crate::adapters::quic::Pool;
use crate::domain::consensus::Recovery;
use crate::domain::fleet::Core;
use crate::domain::fleet::Event;
use crate::logging;
use crate::settings::Fleet;

/// Largest head of a call, in bytes.
const HEAD_BYTES: usize = 16 << 10;
/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Wait for another voter to take over, on shutdown.
const RETIRE: Duration = Duration::from_millis(700);
/// Wait before a data folder that cannot be made is tried again.
const FOLDER_AGAIN: Duration = Duration::from_millis(200);

/// Running fleet daemon.
pub struct Daemon {
    mailbox: Mailbox,
    _endpoint: quinn::Endpoint,
}

/// Starts the daemon on the current runtime.
///
/// # Errors
///
/// `Storage` for a damaged data folder, `Keys` and `Listen`.
pub async fn run(settings: Fleet) -> Result<Daemon, Report<Error>> {
    let keys = Identity::load(&settings.keys).change_context(Error::Keys)?;
    let (folder, identity, restart) = open_folder(&settings).await?;
    let pool = Pool::new(&keys).change_context(Error::Keys)?;
    let seeds = settings.peer_seeds();
    let client = Client::new(pool.clone(), &seeds);
    let (mailbox, events) = Mailbox::new();
    let metrics = Metrics::new();
    let status: Arc<Mutex<Status>> = Arc::default();
    let effects = Effects {
        folder,
        messenger: Messenger::new(pool),
        mailbox: mailbox.clone(),
        metrics: metrics.clone(),
        status: status.clone(),
    };
    let mut timing = settings.fleet.clone();
    timing.voters = settings.voters();
    let consensus = settings.consensus.clone();
    let core = Core::new(
        &identity,
        timing,
        consensus,
        restart,
        clock::now(),
        rand::random(),
    );
    thread::Builder::new()
        .name("driver".to_owned())
        .spawn(move || driver::drive(core, events, effects))
        .change_context(Error::Listen)?;
    let server = peer::Server {
        mailbox: mailbox.clone(),
        identity: identity.clone(),
    };
    let endpoint = quic::serve(settings.peer_address(), &keys, move |request, stream| {
        peer::handle(server.clone(), request, stream)
    })
    .change_context(Error::Listen)?;
    let server = Arc::new(web::Server {
        mailbox: mailbox.clone(),
        client: client.clone(),
        metrics,
        port: settings.listen.port(),
        own: settings.listen,
    });
    let addresses = [settings.listen.port(), settings.metrics_port];
    for port in addresses.into_iter().filter(|p| *p != 0) {
        let server = server.clone();
        let address = SocketAddr::new(settings.listen.ip(), port);
        let handler = move |request| web::handle(server.clone(), request);
        http1::serve(address, HEAD_BYTES, IDLE, handler)
            .await
            .change_context(Error::Listen)?;
    }
    tokio::spawn(join::keep_joined(client, identity.clone(), status));
    logging::PROCESS_STARTED.log_fields(&[
        ("program", "fleet".into()),
        ("controller", identity.as_str().into()),
        ("listen", settings.listen.to_string().as_str().into()),
    ]);
    Ok(Daemon {
        mailbox,
        _endpoint: endpoint,
    })
}

impl Daemon {
    /// Hands leadership over.
    pub async fn stop(self) {
        logging::SHUTDOWN_STARTED.log_fields(&[("program", "fleet".into())]);
        self.mailbox.tell(Event::Retire);
        tokio::time::sleep(RETIRE).await;
        logging::PROCESS_STOPPED.log_fields(&[("program", "fleet".into())]);
    }
}

/// Opens the data folder, and makes it first when it is empty.
async fn open_folder(settings: &Fleet) -> Result<(Folder<Real>, String, Recovery), Report<Error>> {
    let path = Path::new(&settings.data_folder);
    loop {
        match Folder::open(Real::default(), path) {
            Ok(opened) => return Ok(opened),
            Err(report) if *report.current_context() != disk::Error::Empty => {
                return Err(report.change_context(Error::Storage));
            }
            Err(_) => {}
        }
        let (identity, voters) = first_identity(settings);
        let made = std::fs::create_dir_all(path)
            .change_context(disk::Error::Write)
            .and_then(|()| Folder::create(Real::default(), path, &identity, &voters));
        if let Err(report) = made {
            let reason = format!("{report:?}");
            logging::STORAGE_WAITS.log_fields(&[("reason", reason.as_str().into())]);
            tokio::time::sleep(FOLDER_AGAIN).await;
        }
    }
}

/// Identity of a controller with an empty folder, and the voters that it may rely on.
///
/// At the first start of an installation all processes are told the same seeds, which are
/// the first voters. Any other controller joins under an identity that never existed.
fn first_identity(settings: &Fleet) -> (String, Vec<String>) {
    let own = settings.peer_address();
    let seeds = settings.peer_seeds();
    if settings.first_start && seeds.contains(&own) {
        return (own.to_string(), seeds.iter().map(ToString::to_string).collect());
    }
    (format!("{own}~{:08x}", rand::random::<u32>()), Vec::new())
}
