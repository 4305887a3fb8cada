//! Reports to the leading controller and what its answers change.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use crate::adapters::clock;
use crate::domain::catalog::Catalog;
use crate::domain::catalog::Compressed;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Report;
use crate::domain::fleet::Table;
use crate::logging;
use crate::settings;

/// Longest wait for an answer; the leader answers within its poll interval.
const WAIT: Duration = Duration::from_millis(450);
/// Longest wait for a catalog at the first controller, and as much more at each next one: a
/// megabyte at 20 Mbit/s takes 0.4 s.
const FETCH_WAIT: Duration = Duration::from_millis(300);
/// Controllers asked for a catalog before the next report.
const FETCHES: u32 = 3;
/// Wait after a failed report.
const AGAIN: Duration = Duration::from_millis(40);
/// Failed reports after which the settings are read for other controllers.
const FAILURES: u32 = 8;

/// What the gateway holds of the leader's tables.
#[derive(Default)]
struct Held {
    revision: (u64, u64),
    version: u64,
    in_touch: bool,
    failures: u32,
}

/// Reports until the process ends.
pub(super) async fn keep_in_touch(context: Arc<Context>, name: String, file: Option<PathBuf>) {
    let name = format!("{name}#{:08x}", rand::random::<u32>());
    let mut held = Held::default();
    loop {
        let sent = clock::now();
        let call = Call::Report(Box::new(report(&context, &name, &held)));
        if let Some(Answer::Table(table)) = context.controllers.call(&call, WAIT).await {
            context.metrics.reports.with_label_values(&["answered"]).inc();
            if let Some(packed) = &table.catalog {
                adopt(&context, &mut held, packed);
            } else if table.version > held.version {
                fetch(&context, &mut held).await;
            }
            apply(&context, &mut held, sent, &table);
            continue;
        }
        context.metrics.reports.with_label_values(&["failed"]).inc();
        held.failures += 1;
        if held.in_touch && context.catalog().is_none() {
            held.in_touch = false;
            logging::CONTROLLER_LOST.log_fields(&[
                ("failures", held.failures.into()),
                ("version", held.version.into()),
            ]);
        }
        if held.failures.is_multiple_of(FAILURES)
            && let Some(file) = &file
        {
            reload(&context, file);
        }
        tokio::time::sleep(AGAIN).await;
    }
}

fn report(context: &Context, name: &str, held: &Held) -> Report {
    let now = clock::now();
    let balancer = context.balancer();
    Report {
        gateway: name.to_owned(),
        targets: held.revision,
        version: held.version,
        running: balancer.running(),
        served: balancer.served(now),
        stalled: balancer.stalled(now),
        demand: context.demand().averages(now).clone(),
        draining: context.is_draining(),
    }
}

/// Fetches a large catalog from any controller; a follower may still be a moment behind.
async fn fetch(context: &Context, held: &mut Held) {
    let call = Call::Catalog { above: held.version };
    for attempt in 1..=FETCHES {
        let answer = context.controllers.call_any(&call, FETCH_WAIT * attempt).await;
        if let Some(Answer::Catalog(Some(packed))) = answer {
            adopt(context, held, &packed);
            return;
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Puts a catalog in force.
fn adopt(context: &Context, held: &mut Held, packed: &Compressed) {
    match decode(packed) {
        Ok(catalog) => {
            held.version = catalog.version();
            context.metrics.version.set(held.version as i64);
            logging::CATALOG_APPLIED.log_fields(&[
                ("version", held.version.into()),
                ("routes", (catalog.definition().routes.len() as u64).into()),
            ]);
            context.set_catalog(Arc::new(catalog));
        }
        Err(reason) => logging::CATALOG_REFUSED.log_fields(&[("reason", reason.as_str().into())]),
    }
}

fn decode(packed: &Compressed) -> Result<Catalog, String> {
    let raw = packed.definition().map_err(|e| e.to_string())?;
    Catalog::try_from(raw).map_err(|e| e.to_string())
}

fn apply(context: &Context, held: &mut Held, sent: Duration, table: &Table) {
    // An answer that skips a catalog confirms nothing.
    if table.version > held.version {
        return;
    }
    if let Some(targets) = &table.targets {
        held.revision = table.revision;
        context.metrics.targets.set(targets.len() as i64);
        logging::TARGETS_CHANGED.log_fields(&[
            ("term", table.revision.0.into()),
            ("revision", table.revision.1.into()),
            ("targets", (targets.len() as u64).into()),
            ("closed", (table.closed.len() as u64).into()),
        ]);
    }
    context.balancer().update(clock::now(), table);
    context.confirm(sent, table.targets.is_some());
    context.controllers.set_known(&table.controllers);
    context.room.notify_waiters();
    held.failures = 0;
    if !held.in_touch {
        held.in_touch = true;
        logging::CONTROLLER_FOUND.log_fields(&[
            ("term", table.revision.0.into()),
            ("version", held.version.into()),
        ]);
    }
}

/// Takes the controllers that the settings name now.
fn reload(context: &Context, file: &std::path::Path) {
    match settings::load::<settings::Gateway>(file) {
        Ok(read) => {
            let seeds = read.peer_seeds();
            context.controllers.set_seeds(&seeds);
            logging::SETTINGS_RELOADED.log_fields(&[("seeds", (seeds.len() as u64).into())]);
        }
        Err(report) => {
            let reason = format!("{report:?}");
            logging::SETTINGS_RELOADED.log_fields(&[("refused", reason.as_str().into())]);
        }
    }
}
