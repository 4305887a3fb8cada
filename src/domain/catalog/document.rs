//! Parts of a catalog as an operator states them.

use serde::Deserialize;
use serde::Serialize;

use super::Engine;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Runs at most once, but a broken event stream may go on after its last event.
    Resumable,
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: u64,
}

/// Rule for the requests of one host and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Path prefix, from slash to slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub streams: bool,
    /// Longest time to a final answer, or to the end of a stream, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of the answer or of the first event, in milliseconds.
    pub goal_ms: u64,
    /// Longest pause between events that is still on time, in milliseconds.
    pub gap_ms: Option<u64>,
    /// Urgency, 0 first.
    pub rank: u8,
    /// Services that share the requests.
    pub shares: Vec<Share>,
    /// Upstreams to which one request may be sent.
    pub max_sends: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Service that upstreams announce.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Time for which an upstream is cold after a start, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a cold upstream bears; 0 for no limit.
    pub cold_rate: f64,
    /// Model engine, for services that generate.
    pub engine: Option<Engine>,
}

/// Limits on what callers send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Longest time without a request on a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// Client account and its keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Keys that callers may present.
    pub keys: Vec<String>,
    /// Urgency that goes before the route's.
    pub rank: Option<u8>,
}

/// Catalog before its checks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Definition {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits.
    pub limits: Limits,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Whether callers of routes that are not public need a key.
    pub needs_keys: bool,
}
