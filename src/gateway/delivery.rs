//! What one send has led to: the head of its answer, and its body unless that is an event stream.

use std::sync::Arc;

use http::Response;
use tokio::time::timeout;

use super::attempt::Head;
use super::context::Context;
use super::dispatch::elapsed_ms;
use super::evidence;
use super::request::Request;
use super::request::strip_hop_by_hop;
use super::send::Classification;
use super::send::Send;
use super::send::classify;
use super::send::denies_execution;
use crate::adapters::clock;
use crate::adapters::http1::Body;
use crate::adapters::http1::Connection;
use crate::adapters::http1::Failure;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Incomplete;
use crate::adapters::http1::collect_held;
use crate::domain::catalog::Service;
use crate::domain::gateway::Outcome;
use crate::domain::memory::Kind;
use crate::logging;

/// Result of one send.
pub(super) enum Delivery {
    /// Final answer.
    Answer(Response<Body>),
    /// Head of an event stream, with its connection.
    Stream(Response<Incoming>, Connection, Box<Send>),
    /// The target did not execute the request.
    NotRun,
    /// The target may have executed the request; with the answer if it was a server error.
    Unknown(Option<Response<Body>>),
}

/// Reader of the answer to one send.
#[derive(Clone, Copy)]
pub(super) struct Reader<'a> {
    pub(super) context: &'a Arc<Context>,
    pub(super) request: &'a Arc<Request>,
    pub(super) service: &'a Service,
    /// Number of sends of the request so far.
    pub(super) sends: usize,
}

impl Reader<'_> {
    /// Handles the head of an answer, or its absence, and reads its body unless that is an event stream.
    pub(super) async fn read(&self, send: Send, head: Head) -> Delivery {
        match head {
            Head::Arrived(response, connection) => self.read_response(*response, connection, send).await,
            Head::Late => {
                self.end_failed(send, Outcome::Stalled, "no answer in time");
                Delivery::Unknown(None)
            }
            Head::Failed(Failure::Unsent(cause)) => {
                let labels = [self.service.name.as_str(), cause.name()];
                self.context.metrics.unconnected.with_label_values(&labels).inc();
                self.end_failed(send, Outcome::Failed, &format!("no connection: {}", cause.name()));
                Delivery::NotRun
            }
            Head::Failed(Failure::Unknown) => {
                evidence::record_lost_connection(&send, self.request);
                self.end_failed(send, Outcome::Failed, "connection lost");
                Delivery::Unknown(None)
            }
            Head::Failed(Failure::Invalid) => {
                self.end_failed(send, Outcome::Failed, "no answer in the protocol");
                Delivery::Unknown(None)
            }
        }
    }

    /// Classifies an answer's head, then reads its body unless it is an event stream.
    async fn read_response(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        send: Send,
    ) -> Delivery {
        send.record_notice(self.request, &response);
        match classify(self.request, &response, &connection) {
            Classification::NotRun(outcome) => {
                self.end_failed(send, outcome, "refused by the target");
                return Delivery::NotRun;
            }
            Classification::Foreign => {
                self.end_failed(
                    send,
                    Outcome::Failed,
                    "answer of another request or without a signature",
                );
                return Delivery::Unknown(None);
            }
            Classification::Own => {}
        }
        if self.request.route.streams && response.status().is_success() {
            return Delivery::Stream(response, connection, Box::new(send));
        }
        self.read_body(response, connection, send).await
    }

    async fn read_body(&self, response: Response<Incoming>, connection: Connection, send: Send) -> Delivery {
        let (head, mut body) = response.into_parts();
        let time_left = self.request.deadline.saturating_sub(clock::now());
        let hold = self
            .context
            .budgets
            .callers
            .open(Kind::Answer, self.request.account.clone());
        let max_bytes = self.context.settings.max_answer_bytes;
        let collecting = collect_held(&mut body, max_bytes, time_left, hold);
        let body = match timeout(time_left, collecting).await {
            Ok(Ok(body)) => body,
            Ok(Err(Incomplete::Truncated)) => {
                evidence::record_lost_connection(&send, self.request);
                self.end_failed(send, Outcome::Failed, "answer body truncated");
                return Delivery::Unknown(None);
            }
            Ok(Err(Incomplete::TooLarge)) => {
                self.end_failed(send, Outcome::Failed, "answer body too large");
                return Delivery::Unknown(None);
            }
            Ok(Err(Incomplete::Shortage)) => {
                self.end_failed(send, Outcome::Abandoned, "no memory for the answer");
                return Delivery::Unknown(None);
            }
            Ok(Err(Incomplete::Stalled)) | Err(_) => {
                self.end_failed(send, Outcome::Stalled, "answer body timed out");
                return Delivery::Unknown(None);
            }
        };
        self.context.upstreams.return_connection(connection);
        let labels = [self.service.name.as_str()];
        let took_s = (clock::now() - self.request.started).as_secs_f64();
        self.context
            .metrics
            .first_answer
            .with_label_values(&labels)
            .observe(took_s);
        if denies_execution(head.status) && !self.request.is_repeatable() {
            // Without the header that says so, the target may have run the request.
            self.end_failed(
                send,
                Outcome::Answered,
                "a refusal that does not say that the request was not run",
            );
            return Delivery::Unknown(None);
        }
        let mut response = Response::from_parts(head, Body::whole(body));
        evidence::record_answer(&send, self.request, &response);
        strip_hop_by_hop(response.headers_mut());
        send.end(Outcome::Answered);
        if response.status().is_server_error() && self.request.is_repeatable() {
            return Delivery::Unknown(Some(response));
        }
        Delivery::Answer(response)
    }

    /// Logs a failed send and ends it.
    fn end_failed(&self, send: Send, outcome: Outcome, reason: &str) {
        let outcome_text = format!("{outcome:?}");
        let parts = self.request.marks.parts_text();
        let mut fields = vec![
            ("request", self.request.id.as_str().into()),
            ("target", send.target.id.as_str().into()),
            ("outcome", outcome_text.as_str().into()),
            ("reason", reason.into()),
            ("sends", (self.sends as u64).into()),
            ("after_ms", elapsed_ms(self.request).into()),
            ("fingerprint", self.request.marks.fingerprint().into()),
        ];
        if !parts.is_empty() {
            fields.push(("parts", parts.as_str().into()));
        }
        logging::SEND_FAILED.log_fields(&fields);
        send.end(outcome);
    }
}
