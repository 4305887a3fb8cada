//! Start and graceful shutdown of the entry daemon.

use std::sync::Arc;
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
use crate::domain::stop::Stop;
use crate::logging;
use crate::settings::Entry;

/// Time without a byte of a body after which it is refused, and the longest time for a body.
const BODY_PAUSE: Duration = Duration::from_secs(5);
const BODY_TIME: Duration = Duration::from_secs(30);
/// Part of the VM's memory, in sixteenths, that callers may make the process hold.
const CALLER_SIXTEENTHS: usize = 7;
/// Descriptors that a call takes: the caller's connection and one to an upstream.
const DESCRIPTORS_PER_CALL: usize = 2;

/// Interval at which a shutdown checks for open calls.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last bytes of ended calls to reach their callers.
const FLUSH_WAIT: Duration = Duration::from_millis(300);

/// Entry daemon that runs on the current runtime.
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
/// `Keys` when the deployment keys cannot be used, `Listen` when an address cannot be bound.
pub async fn run(settings: Entry) -> Result<Daemon, Report<Error>> {
    let keys = Credentials::load(&settings.keys).change_context(Error::Keys)?;
    let keys = keys.with_memory(settings.memory_mb);
    let pool = Pool::new(&keys).change_context(Error::Keys)?;
    let (http_address, peer_address) = (settings.listen_http, settings.listen_peer);
    let budget = (settings.memory_mb * 1e6) as usize / 16 * CALLER_SIXTEENTHS;
    // Connections leave half of the budget to what is sent over them.
    let (limits, memory) = settings
        .connections
        .limits(budget, budget / 2, DESCRIPTORS_PER_CALL);
    let intake = http::Intake {
        max_bytes: settings.max_body_bytes,
        max_pause: BODY_PAUSE,
        max_time: BODY_TIME,
        limits,
        memory: memory.clone(),
    };
    let context = Arc::new(Context::new(settings, pool, memory));
    let shared = context.clone();
    let endpoint = quic::serve(peer_address, &keys, move |request, stream| {
        peer::handle(shared.clone(), request, stream)
    })
    .change_context(Error::Listen)?;
    tokio::spawn(sync::run(context.clone()));
    tokio::spawn(probe::run_probes(context.clone()));
    tokio::spawn(probe::run_ticks(context.clone()));
    let shared = context.clone();
    let web = http::serve(http_address, intake, move |request| {
        web::handle(shared.clone(), request)
    })
    .await
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
    /// Shuts down without interrupting a call, unless the calls outlast `longest_ms`; these are answered with an
    /// error.
    ///
    /// Readiness fails first, and new calls are still accepted for `grace_ms`, unless they may not be repeated and
    /// could outlast the shutdown. Then the groups move to other owners and the process waits until the last call
    /// has ended.
    pub async fn stop(self) {
        let context = &self.context;
        logging::SHUTDOWN_STARTED.log(format_args!("entry session={}", context.session));
        let drain = &context.settings.drain;
        let intake = Duration::from_millis(drain.grace_ms);
        let longest = Duration::from_millis(drain.longest_ms);
        let stop = Stop::new(clock::now(), intake, intake + longest);
        context.shutdown.begin(stop);
        tokio::time::sleep(intake).await;
        context.step(Event::Drain);
        self.web.close_after_answers();
        // The HTTP server is stopped only after the last call has ended: once stopped, it
        // closes open connections after a time limit of its own.
        while clock::now() < stop.exit {
            if self.is_idle() {
                tokio::time::sleep(FLUSH_WAIT).await;
                if self.is_idle() {
                    break;
                }
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.web.stop();
        logging::PROCESS_STOPPED.log(format_args!("entry session={}", context.session));
    }

    /// Whether no call is open or in flight and no group is owned here any more. Without other
    /// entries no owner can take the groups over, so they are not waited for.
    fn is_idle(&self) -> bool {
        let core = self.context.lock();
        let owns_groups = core
            .owner
            .replicas()
            .values()
            .any(|r| r.group.owner.as_deref() == Some(&self.context.session));
        let has_other_entries = core.state.entries.len() > 1;
        self.context.open_calls() == 0 && core.owner.in_flight() == 0 && !(owns_groups && has_other_entries)
    }
}
