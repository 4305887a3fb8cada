//! HTTP server of a stand-in VM, on `hyper`: one listener for each VM of a process.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::Fault;
use super::engine;
use super::group;
use super::service;
use super::vm::Vm;
use crate::domain::environment::Kind;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Serves the VM until the process ends.
pub(super) async fn run(vm: Arc<Vm>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let vm = vm.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let vm = vm.clone();
                async move { handle(vm, request).await }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Error that makes the server close the connection without an answer.
#[derive(Debug)]
struct Close;

impl std::fmt::Display for Close {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed without an answer")
    }
}

impl std::error::Error for Close {}

async fn handle(vm: Arc<Vm>, request: Request<Incoming>) -> Result<Response<Body>, Close> {
    let path = request.uri().path().to_owned();
    if path != "/fault" && path != "/counts" && vm.lock().fault == Fault::Dead {
        return std::future::pending().await;
    }
    let (parts, body) = request.into_parts();
    let header = |name: &str| {
        let value = parts.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let id = header("x-request-id");
    let (group_header, fence_header, resume_header) =
        (header("x-group"), header("x-fence"), header("x-resume"));
    let body = body.collect().await.map_err(|_| Close)?.to_bytes();
    match path.as_str() {
        "/report" => Ok(handle_report(&vm)),
        "/order" => Ok(handle_order(&vm, &body)),
        "/fault" => {
            let fault = serde_json::from_slice(&body).unwrap_or(Fault::None);
            group::set_fault(&vm, fault);
            Ok(json_response(200, json!({"fault": fault}).to_string(), ""))
        }
        "/counts" => Ok(handle_counts(&vm)),
        "/v1/chat/completions" if vm.spec.kind == Kind::Engine => {
            let call = engine::Call {
                id,
                resume: resume_header.parse().unwrap_or(0),
                body: serde_json::from_slice(&body).unwrap_or_default(),
            };
            Ok(handle_chat(vm, call, &group_header, &fence_header))
        }
        _ if vm.spec.kind == Kind::Service => {
            vm.arrived.fetch_add(1, Ordering::SeqCst);
            vm.running.fetch_add(1, Ordering::SeqCst);
            let answer = service::run(&vm, &path, &body).await;
            vm.running.fetch_sub(1, Ordering::SeqCst);
            let answer = answer.ok_or(Close)?;
            let id = if vm.lock().fault == Fault::Cross {
                "another"
            } else {
                &id
            };
            Ok(json_response(200, answer.to_string(), id))
        }
        _ => Ok(json_response(404, "{}".to_owned(), &id)),
    }
}

/// JSON answer; `id` is the request identity that the receiver checks, if any.
fn json_response(status: u16, body: String, id: &str) -> Response<Body> {
    let body = Full::from(body)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let response = Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .header("x-request-id", id)
        .body(body);
    response.expect("legal headers")
}

fn handle_report(vm: &Vm) -> Response<Body> {
    let mut report = vm.lock().report.clone();
    report.running = vm.running.load(Ordering::Relaxed);
    json_response(200, serde_json::to_string(&report).unwrap_or_default(), "")
}

fn handle_order(vm: &Arc<Vm>, body: &Bytes) -> Response<Body> {
    let Ok(order) = serde_json::from_slice(body) else {
        return json_response(400, "{}".to_owned(), "");
    };
    let status = if group::accept_order(vm, order) { 200 } else { 409 };
    json_response(status, "{}".to_owned(), "")
}

fn handle_counts(vm: &Vm) -> Response<Body> {
    let runs = vm.runs.lock().expect("no panic under this lock").clone();
    let counts = json!({
        "runs": runs,
        "wrong_group": vm.wrong_group.load(Ordering::SeqCst),
        "overloads": vm.overloads.load(Ordering::SeqCst),
        "arrived": vm.arrived.load(Ordering::SeqCst),
    });
    json_response(200, counts.to_string(), "")
}

/// Streams an answer, unless the call names another group or fencing token than the VM's, or its
/// group is not ready. A call that names no group is always accepted.
fn handle_chat(vm: Arc<Vm>, call: engine::Call, group: &str, fence: &str) -> Response<Body> {
    vm.arrived.fetch_add(1, Ordering::SeqCst);
    let is_accepted = {
        let state = vm.lock();
        let has_no_group = group.is_empty();
        let is_current = state.report.group.to_string() == group && state.report.fence.to_string() == fence;
        has_no_group || (is_current && state.report.ready)
    };
    if !is_accepted {
        vm.wrong_group.fetch_add(1, Ordering::SeqCst);
        return json_response(409, json!({"error": "another group or fence"}).to_string(), "");
    }
    let (sender, receiver) = mpsc::channel(64);
    tokio::spawn(engine::answer(vm, call, sender));
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let chunk = receiver.recv().await?;
        Some((chunk.map(Frame::data), receiver))
    });
    let body = StreamBody::new(frames.boxed()).boxed_unsync();
    let response = Response::builder()
        .header("content-type", "text/event-stream")
        .body(body);
    response.expect("legal headers")
}
