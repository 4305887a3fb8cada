//! Start and stop of a gateway.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use super::Error;
use super::caller;
use super::context::Context;
use super::status;
use super::sync;
use crate::adapters::clock;
use crate::adapters::fleet::Client;
use crate::adapters::http1;
use crate::adapters::http1::Server;
use crate::adapters::quic::Identity;
use crate::adapters::quic::Pool;
use crate::logging;
use crate::settings::Gateway;

/// Largest request head before a catalog says otherwise, in bytes.
const HEAD_BYTES: usize = 64 << 10;
/// Time after which an idle connection of a caller is closed.
const IDLE: Duration = Duration::from_secs(15);
/// Time in which the balancer has noticed that this gateway is not ready: two questions
/// a second apart, and the connections that were on their way.
const NOTICED: Duration = Duration::from_millis(3_200);
/// Part of the grace period in which requests are still taken: the balancer has noticed by
/// then, and what was taken has the rest to end.
const ACCEPT_PART: f64 = 0.36;
/// Part of the grace period that is left for the end of the process.
const LEFT: Duration = Duration::from_millis(400);
/// Interval between looks at the connections that are still open.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Running gateway.
pub struct Daemon {
    context: Arc<Context>,
    server: Server,
    grace: Duration,
}

/// Starts a gateway on the current runtime.
///
/// # Errors
///
/// `Keys` and `Listen`.
pub async fn run(settings: Gateway) -> Result<Daemon, Report<Error>> {
    let keys = Identity::load(&settings.keys).change_context(Error::Keys)?;
    let pool = Pool::new(&keys).change_context(Error::Keys)?;
    let seeds = settings.peer_seeds();
    let context = Arc::new(Context::new(&settings, Client::new(pool, &seeds)));
    let shared = context.clone();
    let handler = move |request| caller::handle(shared.clone(), request);
    let server = http1::serve(settings.listen, HEAD_BYTES, IDLE, handler)
        .await
        .change_context(Error::Listen)?;
    let ports = [settings.listen_status.port(), settings.metrics_port];
    for port in ports.into_iter().filter(|p| *p != 0) {
        let address = SocketAddr::new(settings.listen_status.ip(), port);
        let shared = context.clone();
        let handler = move |request| status::handle(shared.clone(), request);
        http1::serve(address, HEAD_BYTES, IDLE, handler)
            .await
            .change_context(Error::Listen)?;
    }
    let file = std::env::var_os("HEATHERRAMP_SETTINGS").map(PathBuf::from);
    let (shared, name) = (context.clone(), settings.name.clone());
    tokio::spawn(sync::keep_in_touch(shared, name, file));
    logging::PROCESS_STARTED.log_fields(&[
        ("program", "gateway".into()),
        ("listen", settings.listen.to_string().as_str().into()),
        ("zone", settings.availability_zone.as_str().into()),
    ]);
    Ok(Daemon {
        context,
        server,
        grace: Duration::from_secs_f64(settings.grace_s),
    })
}

impl Daemon {
    /// Stops taking new callers and ends once the open requests have.
    pub async fn stop(self) {
        let started = clock::now();
        logging::SHUTDOWN_STARTED.log_fields(&[
            ("program", "gateway".into()),
            ("connections", (self.server.open_connections() as u64).into()),
        ]);
        self.context.drain(started + self.grace.mul_f64(ACCEPT_PART));
        self.server.close_after_answers();
        let latest = started + self.grace.saturating_sub(LEFT);
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let now = clock::now();
            let is_idle = self.server.open_connections() == 0 && now > started + NOTICED;
            if is_idle || now >= latest {
                break;
            }
        }
        logging::PROCESS_STOPPED.log_fields(&[
            ("program", "gateway".into()),
            ("connections", (self.server.open_connections() as u64).into()),
        ]);
    }
}
