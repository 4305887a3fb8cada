//! What is recorded of a request for which a target was chosen.

use log::kv::Value;

use super::context::Context;
use super::request::Request;
use super::reuse;
use crate::domain::fleet::Target;
use crate::domain::gateway::Place;
use crate::logging;

/// Counts and logs that a request is sent to `target`, chosen at `load` requests in progress for its `place`;
/// `fields` are logged beside.
pub(super) fn record<const N: usize>(
    context: &Context,
    request: &Request,
    (target, load, place): (&Target, u32, Place),
    fields: [(&'static str, Value<'_>); N],
) {
    let labels = [target.service.as_str(), place.zone()];
    context.metrics.zone_sends.with_label_values(&labels).inc();
    let common = [
        ("request", request.id.as_str().into()),
        ("target", target.id.as_str().into()),
        ("load", load.into()),
        ("slots", target.slots.into()),
        ("choice", reuse::record_choice(request, target, load).into()),
        ("place", place.name().into()),
    ];
    let fields: Vec<(&str, Value)> = common.into_iter().chain(fields).collect();
    logging::REQUEST_SENT.log_fields(&fields);
}
