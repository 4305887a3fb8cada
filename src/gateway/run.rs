//! Start and shutdown of the gateway daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use quinn::Endpoint;

use super::Error;
use super::caller;
use super::context::Context;
use super::intake;
use super::intake::Budgets;
use super::status;
use super::sync;
use super::tunnel;
use crate::adapters::clock;
use crate::adapters::fleet::Client;
use crate::adapters::http1;
use crate::adapters::http1::Dialer;
use crate::adapters::http1::Server;
use crate::adapters::quic;
use crate::adapters::quic::Credentials;
use crate::adapters::quic::Pool;
use crate::domain::fleet::Place;
use crate::domain::stop::Stop;
use crate::logging;
use crate::settings::Gateway;

/// Time until the load balancer in front has stopped sending connections to a gateway that is not
/// ready: two health checks one second apart, and time for connections on their way.
const READINESS_DELAY: Duration = Duration::from_millis(3_200);
/// Fraction of the grace period in which requests are still accepted, meant to last until the load
/// balancer has stopped sending connections: 2.9 s of the default 8 s. The accepted requests have the
/// rest to end.
const INTAKE_FRACTION: f64 = 0.36;
/// Interval between checks for open connections during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Running gateway.
pub struct Daemon {
    context: Arc<Context>,
    server: Server,
    /// Endpoint for other gateways; it closes when it is dropped.
    _peers: Endpoint,
    grace_period: Duration,
}

/// Starts a gateway on the current runtime.
///
/// # Errors
///
/// `Keys` if the deployment keys cannot be used, `Listen` if an address cannot be opened.
pub async fn run(settings: Gateway) -> Result<Daemon, Report<Error>> {
    run_with_dialer(settings, Dialer::default()).await
}

/// Starts a gateway whose connections to upstreams are opened by `dialer`, on the current runtime.
///
/// # Errors
///
/// As for [`run`].
pub async fn run_with_dialer(settings: Gateway, dialer: Dialer) -> Result<Daemon, Report<Error>> {
    let keys = Credentials::load(&settings.keys).change_context(Error::Keys)?;
    let keys = keys.with_memory(settings.memory_mb);
    let pool = Pool::new(&keys).change_context(Error::Keys)?;
    let seeds = settings.peer_seeds();
    let budgets = Budgets::new(&settings);
    let limits = intake::caller_limits(&settings, &budgets);
    let status_limits = intake::status_limits(&settings, &budgets);
    let context = Arc::new(Context::new(
        &settings,
        budgets,
        Client::new(pool.clone(), &seeds, &settings.availability_zone),
        pool,
        dialer,
    ));
    let shared = context.clone();
    let handler = move |request| caller::handle(shared.clone(), request);
    let server = http1::serve_limited(settings.listen, limits, handler)
        .await
        .change_context(Error::Listen)?;
    let ports = [settings.listen_status.port(), settings.metrics_port];
    for port in ports.into_iter().filter(|p| *p != 0) {
        let address = SocketAddr::new(settings.listen_status.ip(), port);
        let shared = context.clone();
        let handler = move |request| status::handle(shared.clone(), request);
        http1::serve_limited(address, status_limits.clone(), handler)
            .await
            .change_context(Error::Listen)?;
    }
    tokio::spawn(intake::watch(context.clone()));
    let peers = listen_for_peers(&context, &settings, &keys)?;
    // Known only if the variable, and not the option, names it; otherwise seeds are never reloaded.
    let settings_file = std::env::var_os("HEATHERRAMP_SETTINGS").map(PathBuf::from);
    let (shared, name) = (context.clone(), settings.name.clone());
    let place = Place {
        zone: settings.availability_zone.clone(),
        region: settings.region.clone(),
    };
    let heartbeat_address = settings.listen_status.to_string();
    tokio::spawn(sync::run(shared, name, place, heartbeat_address, settings_file));
    logging::PROCESS_STARTED.log_fields(&[
        ("program", "gateway".into()),
        ("listen", settings.listen.to_string().as_str().into()),
        ("zone", settings.availability_zone.as_str().into()),
    ]);
    Ok(Daemon {
        context,
        server,
        _peers: peers,
        grace_period: Duration::from_secs_f64(settings.grace_s),
    })
}

/// Listens for other gateways that ask for connections.
fn listen_for_peers(
    context: &Arc<Context>,
    settings: &Gateway,
    keys: &Credentials,
) -> Result<Endpoint, Report<Error>> {
    let address = SocketAddr::new(settings.listen.ip(), settings.tunnel_port);
    let shared = context.clone();
    let handler = move |request, stream| tunnel::handle(shared.clone(), request, stream);
    let endpoint =
        quic::serve_duplex(address, keys, tunnel::STREAM_WINDOW, handler).change_context(Error::Listen)?;
    let address = endpoint.local_addr().change_context(Error::Listen)?;
    // Other VMs cannot call an address that stands for all of this one.
    if !address.ip().is_unspecified() {
        context.set_helper_address(address.to_string());
    }
    Ok(endpoint)
}

impl Daemon {
    /// Withdraws readiness and returns when the process may exit.
    ///
    /// That is when all connections have ended and the load balancer in front has stopped sending
    /// new ones, at the latest shortly before the end of the grace period.
    pub async fn stop(self) {
        let started = clock::now();
        logging::SHUTDOWN_STARTED.log_fields(&[
            ("program", "gateway".into()),
            ("connections", (self.server.open_connections() as u64).into()),
        ]);
        let intake = self.grace_period.mul_f64(INTAKE_FRACTION);
        let stop = Stop::new(started, intake, self.grace_period);
        self.context.shutdown.begin(stop);
        self.server.close_after_answers();
        loop {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let now = clock::now();
            let is_idle =
                self.server.open_connections() == 0 && self.context.tunnels.load(Ordering::Relaxed) == 0;
            let is_drained = is_idle && now > started + READINESS_DELAY;
            if is_drained || now >= stop.exit {
                break;
            }
        }
        logging::PROCESS_STOPPED.log_fields(&[
            ("program", "gateway".into()),
            ("connections", (self.server.open_connections() as u64).into()),
        ]);
    }
}
