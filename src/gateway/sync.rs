//! Synchronization with the controllers: reports to one of them and updates from its answers.
//!
//! The controller holds a report until something has changed or its poll interval has passed, so the
//! gateway sends the next one right after the answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use super::heartbeat;
use crate::adapters::clock;
use crate::domain::catalog::Catalog;
use crate::domain::catalog::Compressed;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Choice;
use crate::domain::fleet::Confirmation;
use crate::domain::fleet::Outcome;
use crate::domain::fleet::Overview;
use crate::domain::fleet::Place;
use crate::domain::fleet::Report;
use crate::domain::fleet::Table;
use crate::domain::fleet::TargetLog;
use crate::domain::fleet::share;
use crate::logging;
use crate::settings;

/// Time limit for a catalog from the first controller; it grows by the same amount with each further
/// attempt. A megabyte takes 0.4 s at 20 Mbit/s.
const FETCH_TIMEOUT_STEP: Duration = Duration::from_millis(300);
/// Attempts to fetch a catalog before the next report.
const MAX_FETCHES: u32 = 3;
/// Delay after a failed fetch.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Silence after which the gateway forgets a VM that has sent its heartbeats here.
const HEARTBEAT_RETENTION: Duration = Duration::from_secs(15);
/// Number of failed reports in a row after which the settings file is read again for new seeds: one for each
/// controller.
const FAILURES_BEFORE_RELOAD: u32 = 5;

/// What the gateway holds from the leader, and how its reports fare.
#[derive(Default)]
struct State {
    targets: TargetLog,
    /// Version of the catalog that the gateway holds.
    version: Option<u64>,
    /// Whether the leader answers, or the catalog's lease has not expired since it did.
    is_connected: bool,
    place: Place,
    /// Revision of the helpers.
    helpers: u64,
    /// Failed reports since an overview was last applied.
    failures: u32,
}

/// What the last report said that its answer is combined with.
struct Sent {
    at: Duration,
    running: BTreeMap<String, u32>,
    demand: f64,
}

/// Reports to a controller and applies its answers until the process ends.
///
/// VMs may send their heartbeats to `heartbeat_address`.
pub(super) async fn run(
    context: Arc<Context>,
    name: String,
    place: Place,
    heartbeat_address: String,
    settings_file: Option<PathBuf>,
) {
    // Controllers keep one report for each identity, so two processes must not share one, even if
    // their settings have the same name or one is a restart of the other.
    let identity = format!("{name}#{:08x}", rand::random::<u32>());
    let mut state = State {
        place,
        ..State::default()
    };
    loop {
        context.update_reach();
        let Some(choice) = context.controllers.choose_relay() else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let sent_at = clock::now();
        let report = if choice.is_trial {
            build_trial(&context, &identity, &state)
        } else {
            build_report(&context, &identity, &heartbeat_address, &state, choice.address)
        };
        let sent = Sent {
            at: sent_at,
            running: context.balancer().running(),
            demand: context.demand().averages(sent_at).values().sum(),
        };
        let call = Call::Report(Box::new(report));
        let outcome = match context.controllers.report(choice, &call).await {
            Some(Answer::Overview(overview)) => apply_answer(&context, &mut state, &sent, *overview).await,
            Some(_) => Outcome::Empty,
            None => Outcome::Failed,
        };
        let verdict = context.controllers.record_report(choice, outcome);
        if let Some(left) = verdict.left {
            withdraw(&context, &identity, left);
        }
        record_outcome(&context, &mut state, choice, outcome, settings_file.as_deref());
        if !verdict.delay.is_zero() {
            tokio::time::sleep(verdict.delay).await;
        }
    }
}

/// Takes over what the leader sent with an overview.
async fn apply_answer(context: &Arc<Context>, state: &mut State, sent: &Sent, overview: Overview) -> Outcome {
    let confirmation = Confirmation::new(sent.at, Duration::from_millis(overview.age_ms));
    if let Some(compressed) = &overview.catalog {
        apply_catalog(context, state, compressed);
    } else if overview.version > state.version {
        fetch_catalog(context, state).await;
    }
    let is_applied = apply_overview(context, state, sent, confirmation, overview);
    Outcome::Answered {
        confirmation,
        is_applied,
    }
}

/// Counts and logs how a report ended.
fn record_outcome(
    context: &Context,
    state: &mut State,
    choice: Choice,
    outcome: Outcome,
    settings_file: Option<&Path>,
) {
    let is_applied = matches!(outcome, Outcome::Answered { is_applied: true, .. });
    let label = match (choice.is_trial, is_applied) {
        (true, _) => "trial",
        (false, true) => "answered",
        (false, false) => "failed",
    };
    context.metrics.reports.with_label_values(&[label]).inc();
    if is_applied {
        state.failures = 0;
    } else if !choice.is_trial {
        // The renewals of this report may be lost.
        context.heartbeats().reset();
        state.failures += 1;
        if state.failures.is_multiple_of(FAILURES_BEFORE_RELOAD)
            && let Some(settings_file) = settings_file
        {
            reload_seeds(context, settings_file);
        }
    }
    let is_connected = context.catalog().is_some();
    if is_connected == state.is_connected {
        return;
    }
    state.is_connected = is_connected;
    if is_connected {
        logging::CONTROLLER_FOUND.log_fields(&[
            ("term", state.targets.revision().0.into()),
            ("version", logging::optional(state.version)),
        ]);
    } else {
        logging::CONTROLLER_LOST.log_fields(&[
            ("failures", state.failures.into()),
            ("version", logging::optional(state.version)),
        ]);
    }
}

/// Tells a controller that it is not reported to any more, so that it counts no requests of this gateway.
fn withdraw(context: &Arc<Context>, identity: &str, controller: SocketAddr) {
    let context = context.clone();
    let call = Call::Withdraw {
        gateway: identity.to_owned(),
    };
    // Without an answer the controller forgets the requests by itself a little later.
    tokio::spawn(async move { context.controllers.send_last(controller, &call).await });
}

/// Report that asks a controller for its overview only: the present one has counted the rest.
fn build_trial(context: &Context, identity: &str, state: &State) -> Report {
    Report {
        gateway: identity.to_owned(),
        targets: state.targets.revision(),
        version: state.version,
        place: state.place.clone(),
        helper_address: context.helper_address(),
        helpers: state.helpers,
        ..Report::default()
    }
}

fn build_report(
    context: &Context,
    identity: &str,
    heartbeat_address: &str,
    state: &State,
    controller: SocketAddr,
) -> Report {
    let now = clock::now();
    let is_draining = context.is_draining();
    let renewed = context
        .heartbeats()
        .take_renewals(now, Some(controller), HEARTBEAT_RETENTION);
    let mut balancer = context.balancer();
    let mut stalled = balancer.stalled(now);
    let reach = context.reach();
    let is_cut_off = reach.is_cut_off(now, stalled.len());
    stalled.retain(|target| !is_cut_off && !reach.is_link_suspect(now, target));
    drop(reach);
    context.metrics.stalled_targets.set(stalled.len() as i64);
    Report {
        gateway: identity.to_owned(),
        targets: state.targets.revision(),
        version: state.version,
        running: balancer.running(),
        served: balancer.served(now),
        stalled,
        refused: context.refusals().report(now),
        demand: context.demand().averages(now).clone(),
        heartbeat_address: (!is_draining).then(|| heartbeat_address.to_owned()),
        renewed,
        limits: balancer.limit_notices(now),
        asks: balancer.take_asks(now),
        evidence: context.evidence(now),
        place: state.place.clone(),
        helper_address: context.helper_address(),
        helpers: state.helpers,
    }
}

/// Fetches a catalog that is too large for a table from the controller that reports go to.
///
/// It may not have applied the catalog yet, so the last attempt asks another one.
async fn fetch_catalog(context: &Context, state: &mut State) {
    let call = Call::Catalog { above: state.version };
    for attempt in 1..=MAX_FETCHES {
        let limit = FETCH_TIMEOUT_STEP * attempt;
        let controllers = &context.controllers;
        let answer = if attempt < MAX_FETCHES {
            controllers.call_relay(&call, limit).await
        } else {
            controllers.call_any(&call, limit).await
        };
        if let Some(Answer::Catalog(Some(compressed))) = answer {
            apply_catalog(context, state, &compressed);
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Puts a catalog in force, or logs why it is invalid.
fn apply_catalog(context: &Context, state: &mut State, compressed: &Compressed) {
    match decode_catalog(compressed) {
        Ok(catalog) => {
            state.version = Some(catalog.version());
            context.metrics.version.set(catalog.version() as i64);
            logging::CATALOG_APPLIED.log_fields(&[
                ("version", catalog.version().into()),
                ("routes", (catalog.definition().routes.len() as u64).into()),
            ]);
            context.set_catalog(Arc::new(catalog));
        }
        Err(reason) => logging::CATALOG_REFUSED.log_fields(&[("reason", reason.as_str().into())]),
    }
}

/// Decodes and validates a catalog; the error is the reason for the log.
fn decode_catalog(compressed: &Compressed) -> Result<Catalog, String> {
    let definition = compressed.definition().map_err(|e| e.to_string())?;
    Catalog::try_from(definition).map_err(|e| e.to_string())
}

/// Applies the answer to a report with the leader's `confirmation`; returns false for one that must not be
/// applied.
fn apply_overview(
    context: &Arc<Context>,
    state: &mut State,
    sent: &Sent,
    confirmation: Confirmation,
    overview: Overview,
) -> bool {
    // Without the catalog of the overview's version, the lease must not be renewed: the older catalog may
    // hold keys that have been withdrawn. A controller that is behind the last one may name targets
    // that have been closed since.
    if overview.version > state.version || overview.revision < state.targets.revision() {
        return false;
    }
    let is_recent = overview.is_recent();
    let mut running = overview.running;
    let has_new_targets = overview.update.is_some();
    if let Some(update) = overview.update {
        state.targets.apply(overview.revision, update);
        let count = running.len() as u64;
        context.metrics.targets.set(count as i64);
        logging::TARGETS_CHANGED.log_fields(&[
            ("term", overview.revision.0.into()),
            ("revision", overview.revision.1.into()),
            ("targets", count.into()),
            ("closed", (overview.closed.len() as u64).into()),
        ]);
    }
    let own_running = state.targets.in_order(&sent.running);
    for (total, own) in running.iter_mut().zip(own_running) {
        *total = total.saturating_sub(own);
    }
    let table = Table {
        targets: has_new_targets.then(|| state.targets.targets().cloned().collect()),
        closed: overview.closed,
        zones_out: overview.zones_out,
        running: state.targets.by_target(&running),
        stalled: overview.stalled,
        granted: overview.granted,
        share: share(sent.demand, overview.demand, overview.gateways),
        gateways: overview.gateways,
        issues_pace_permits: overview.issues_pace_permits,
    };
    // The load in an old overview does not hold; the balancer then goes by its own, as without an answer.
    if is_recent || has_new_targets {
        let mut balancer = context.balancer();
        balancer.update(clock::now(), &table);
        context.metrics.limited_targets.set(balancer.limited() as i64);
    }
    context.renew_lease(confirmation, has_new_targets);
    context
        .controllers
        .set_controllers(&overview.controllers, overview.gateways);
    if let Some(helpers) = overview.helpers {
        state.helpers = helpers.revision;
        let addresses = helpers.list.iter().filter_map(|h| h.address.parse().ok());
        context.reach().set_helpers(addresses.collect());
    }
    heartbeat::announce_unknown(context, &overview.unknown);
    context.set_quarantine(&overview.suspects, &overview.quarantined);
    context.room.notify_waiters();
    true
}

/// Reads the settings file again and takes its controllers as seeds.
fn reload_seeds(context: &Context, settings_file: &Path) {
    match settings::load::<settings::Gateway>(settings_file) {
        Ok(loaded) => {
            let seeds = loaded.peer_seeds();
            context.controllers.set_seeds(&seeds);
            logging::SETTINGS_RELOADED.log_fields(&[("seeds", (seeds.len() as u64).into())]);
        }
        Err(report) => {
            let reason = format!("{report:?}");
            logging::SETTINGS_RELOADED.log_fields(&[("refused", reason.as_str().into())]);
        }
    }
}
