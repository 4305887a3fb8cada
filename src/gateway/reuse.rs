//! Reuse of one request's prompt: what is expected, and what its first tokens show.

use std::collections::BTreeMap;
use std::sync::Mutex;

use super::context::Context;
use super::marks::Marks;
use super::request::Request;
use super::send::Send;
use crate::adapters::clock;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;
use crate::domain::gateway::Demand;
use crate::domain::reuse::Figures;
use crate::domain::reuse::Measurement;
use crate::domain::reuse::Plan;
use crate::domain::reuse::Prefix;
use crate::domain::reuse::Reason;

/// Prompt of a request on a route with session affinity.
pub(super) struct Reuse {
    /// Service and model, which the learned gain belongs to.
    engine: String,
    prefix: Prefix,
    plan: Plan,
    /// Requests in progress at each chosen target when it was chosen.
    loads: Mutex<BTreeMap<String, u32>>,
}

impl Reuse {
    /// Expected reuse of the prompt of a request with these marks.
    ///
    /// None if the setting is off, the service runs no such model, or a part is in quarantine.
    pub(super) fn new(
        context: &Context,
        service: &Service,
        model: &str,
        marks: &Marks,
        tokens: Option<(u64, u64)>,
    ) -> Option<Self> {
        if !context.settings.prompt_reuse {
            return None;
        }
        let catalog_engine = service.engine.as_ref()?;
        let figures = Figures::new(catalog_engine, catalog_engine.model(model)?);
        let parts = marks.prompt();
        if parts.is_empty() || context.quarantined_mark(marks).is_some() {
            return None;
        }
        let prefix = Prefix::new(&service.name, model, &parts);
        let engine = Demand::key(&service.name, model);
        let tokens = tokens.unwrap_or((prefix.tokens(), catalog_engine.mean_answer as u64));
        let now = clock::now();
        let steering = context.steering();
        let plan = steering.plan(now, &engine, &figures, &prefix, tokens, rand::random());
        drop(steering);
        Some(Reuse {
            engine,
            prefix,
            plan,
            loads: Mutex::default(),
        })
    }

    /// What is expected at each target.
    pub(super) fn plan(&self) -> &Plan {
        &self.plan
    }
}

/// Records that `target` was chosen for a request at `load`; returns the reason for the log.
pub(super) fn record_choice(request: &Request, target: &Target, load: u32) -> &'static str {
    let Some(reuse) = &request.reuse else {
        return Reason::Load.name();
    };
    let mut loads = reuse.loads.lock().expect("no panic under this lock");
    loads.insert(target.id.clone(), load);
    reuse.plan.reason(&target.id, target.incarnation).name()
}

/// Records the first event of a send, before which its target has read the whole prompt.
///
/// The time of a send that continues a stream is not comparable, nor is that of a cold target.
pub(super) fn record_first_event(request: &Request, send: &Send, is_continuation: bool) {
    let Some(reuse) = &request.reuse else {
        return;
    };
    let now = clock::now();
    let loads = reuse.loads.lock().expect("no panic under this lock");
    let load = loads.get(&send.target.id).copied();
    drop(loads);
    let first_token =
        (!is_continuation && !send.target.cold && load.is_some()).then(|| now.saturating_sub(send.started));
    let measurement = Measurement {
        target: &send.target.id,
        incarnation: send.target.incarnation,
        load: load.unwrap_or_default(),
        gateways: send.context.balancer().gateways(),
        first_token,
    };
    let mut steering = send.context.steering();
    let (expected, found) = steering.record(now, &reuse.engine, &reuse.plan, &reuse.prefix, &measurement);
    drop(steering);
    let metrics = &send.context.metrics;
    let labels = [send.target.service.as_str()];
    metrics.reuse_expected.with_label_values(&labels).inc_by(expected);
    metrics.reuse_found.with_label_values(&labels).inc_by(found);
}
