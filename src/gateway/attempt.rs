//! One send of a request up to the head of its answer.

use std::sync::Arc;

use http::Response;
use tokio::time::timeout;

use super::context::Context;
use super::dial;
use super::request::Request;
use super::send::Send;
use super::send::upstream_request;
use crate::adapters::clock;
use crate::adapters::http1::Connection;
use crate::adapters::http1::Failure;
use crate::adapters::http1::Incoming;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;

/// What came of a send.
pub(super) enum Head {
    /// Head of an answer, with its connection.
    Arrived(Box<Response<Incoming>>, Connection),
    /// The connection failed.
    Failed(Failure),
    /// No head came before the deadline.
    Late,
}

/// Sends a request to a target and waits for the head of the answer until the deadline.
///
/// None if the request cannot be encoded for the target. Dropping the future closes the connection.
pub(super) fn start(
    context: &Arc<Context>,
    request: &Request,
    service: &Service,
    target: Target,
) -> Option<impl Future<Output = (Send, Head)> + use<>> {
    let address = target.address.parse().ok()?;
    let time_left = request.deadline.saturating_sub(clock::now());
    let outgoing = upstream_request(request, &target, time_left, None)?;
    // A reused connection may close while the request is under way. The outcome is then unknown, and
    // this route does not allow another send.
    let needs_new_connection = request.route.repeat == Repeat::Once;
    let send = Send::start(context, target, service);
    Some(async move {
        let opening = dial::open(&send, address);
        let upstreams = &send.context.upstreams;
        let sending = upstreams.send_over(address, outgoing, needs_new_connection, opening);
        let head = match timeout(time_left, sending).await {
            Ok(Ok((response, connection))) => Head::Arrived(Box::new(response), connection),
            Ok(Err(failure)) => Head::Failed(failure),
            Err(_) => Head::Late,
        };
        (send, head)
    })
}
