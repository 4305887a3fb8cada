//! Catalog definition, as decoded from an operator's document.
//!
//! Nothing reads these fields after decoding: `health_path`, `max_connections` and `cold_ms` of a
//! service, `head_ms` and `idle_ms` of the limits, and the `rank` of routes and accounts.

use serde::Deserialize;
use serde::Serialize;

use super::Engine;

/// Whether upstreams may execute a request more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// May be executed any number of times.
    Idempotent,
    /// Is executed at most once.
    Once,
    /// Is an event stream that may be resumed at another upstream after the last event received.
    Resumable,
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Name of the service that gets the share.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: u64,
}

/// Handling of the requests to one host and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name in log lines and errors.
    pub name: String,
    /// Host name in the requests, without a port.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be executed more than once.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub streams: bool,
    /// Time limit for the whole answer, or for the whole stream, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for the answer, or for the first event of a stream, in milliseconds.
    pub goal_ms: u64,
    /// Objective for the pause between two events of a stream, in milliseconds.
    pub gap_ms: Option<u64>,
    /// Priority of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Services between which the requests are split at random.
    pub shares: Vec<Share>,
    /// Most upstreams to which one request may be sent.
    pub max_sends: u32,
    /// Whether callers may omit the key.
    pub public: bool,
    /// Whether targets are chosen with regard to the prompts that they may still hold.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub session_affinity: bool,
}

/// Service, which upstreams name in their heartbeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name that routes and upstreams refer to.
    pub name: String,
    /// Path of the upstreams' health check.
    pub health_path: String,
    /// Most connections that one upstream accepts in total.
    pub max_connections: u32,
    /// Duration of an upstream's cold start, in milliseconds.
    pub cold_ms: u64,
    /// Requests per second that an upstream can serve during its cold start; 0 for no limit.
    pub cold_rate: f64,
    /// Inference engine, for services that run language models.
    pub engine: Option<Engine>,
}

/// Limits on the callers' requests and connections.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// Time after which a connection without a request is closed, in milliseconds.
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

/// Client account and the keys of its callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Name, which is passed on to upstreams.
    pub name: String,
    /// Keys that callers may present.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub rank: Option<u8>,
}

/// Catalog definition before validation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Definition {
    /// Version; of several definitions the one with the highest version is in force.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Limits on requests and connections.
    pub limits: Limits,
    /// Client accounts whose keys are accepted on routes that are not public, so that an empty list admits nobody
    /// there; without a list no route requires a key.
    #[serde(flatten, with = "stored_accounts")]
    pub accounts: Option<Vec<Account>>,
}

/// Stored form of the client accounts: a list and a flag, as processes of earlier versions read and write them.
mod stored_accounts {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    use super::Account;

    #[derive(Serialize)]
    struct Written<'a> {
        accounts: &'a [Account],
        needs_keys: bool,
    }

    #[derive(Deserialize)]
    struct Read {
        accounts: Vec<Account>,
        needs_keys: bool,
    }

    pub fn serialize<S: Serializer>(
        accounts: &Option<Vec<Account>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let written = Written {
            accounts: accounts.as_deref().unwrap_or_default(),
            needs_keys: accounts.is_some(),
        };
        written.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Vec<Account>>, D::Error> {
        let read = Read::deserialize(deserializer)?;
        Ok(read.needs_keys.then_some(read.accounts))
    }
}
