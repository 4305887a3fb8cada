//! Start and graceful shutdown of the entry daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use super::Error;
use super::context::Context;
use super::peer;
use super::probe;
use super::sync;
use super::web;
use crate::adapters::clock;
use crate::adapters::http;
use crate::adapters::quic;
use crate::adapters::quic::Credentials;
use crate::adapters::quic::Pool;
use crate::domain::dispatch::Event;
use crate::logging;
use crate::settings::Entry;

/// Interval between looks at the open calls of a shutdown.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Time for the last bytes of ended calls to reach their callers.
const FLUSH: Duration = Duration::from_millis(300);

/// Running entry daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    web: http::Server,
    _endpoint: quinn::Endpoint,
}

/// Starts the daemon on the current runtime.
///
/// # Errors
///
/// `Keys` and `Listen`.
pub fn run(settings: Entry) -> Result<Daemon, Report<Error>> {
    let keys = Credentials::load(&settings.keys).change_context(Error::Keys)?;
    let pool = Pool::new(&keys).change_context(Error::Keys)?;
    let (http_address, peer_address) = (settings.listen_http, settings.listen_peer);
    let max_body = settings.max_body_bytes;
    let context = Arc::new(Context::new(settings, pool));
    let shared = context.clone();
    let endpoint = quic::serve(peer_address, &keys, move |request, stream| {
        peer::handle(shared.clone(), request, stream)
    })
    .change_context(Error::Listen)?;
    tokio::spawn(sync::run(context.clone()));
    tokio::spawn(probe::run(context.clone()));
    tokio::spawn(probe::tick(context.clone()));
    let shared = context.clone();
    let web = http::serve(http_address, max_body, move |request| {
        web::handle(shared.clone(), request)
    })
    .change_context(Error::Listen)?;
    logging::PROCESS_STARTED.log(format_args!(
        "entry session={} http={}",
        context.session, web.address
    ));
    Ok(Daemon {
        context,
        web,
        _endpoint: endpoint,
    })
}

impl Daemon {
    /// Shuts down without cutting off a call.
    ///
    /// Readiness fails first; callers are accepted for the grace time; the groups
    /// move to other owners; then the process waits until the last call has ended.
    pub async fn stop(self) {
        let context = &self.context;
        logging::SHUTDOWN_STARTED.log(format_args!("entry session={}", context.session));
        context.draining.store(true, Ordering::SeqCst);
        let drain = &context.settings.drain;
        tokio::time::sleep(Duration::from_millis(drain.grace_ms)).await;
        context.step(Event::Drain);
        let deadline = clock::now() + Duration::from_millis(drain.longest_ms);
        // The server stays until the last call has ended: stopping it earlier would
        // start its own time limit for open connections.
        while clock::now() < deadline {
            if self.is_idle() {
                tokio::time::sleep(FLUSH).await;
                if self.is_idle() {
                    break;
                }
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        self.web.stop();
        logging::PROCESS_STOPPED.log(format_args!("entry session={}", context.session));
    }

    fn is_idle(&self) -> bool {
        let core = self.context.lock();
        let owns = core
            .owner
            .replicas()
            .values()
            .any(|r| r.group.owner.as_deref() == Some(&self.context.session));
        let others = core.state.entries.len() > 1;
        self.context.open_calls() == 0 && core.owner.in_flight() == 0 && !(owns && others)
    }
}
