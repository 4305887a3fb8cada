//! Settings of a stand-in process.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::environment::Kind;

/// Settings of one VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name, unique among all VMs.
    pub name: String,
    /// Address to listen on; with port 0 the operating system picks a free port.
    pub listen: SocketAddr,
    /// Availability zone.
    pub availability_zone: String,
    /// Fabric domain; all members of a group are in the same one.
    pub fabric_domain: String,
    /// Engine or service.
    #[serde(default)]
    pub kind: Kind,
    /// Name of the service that it runs; empty for an engine.
    #[serde(default)]
    pub service: String,
}

/// Settings of a stand-in process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// VMs that the process stands in for.
    pub vms: Vec<Vm>,
    /// HTTP addresses of the control processes.
    pub announce_to: Vec<SocketAddr>,
    /// Interval between announcements, in milliseconds.
    pub announce_ms: u64,
    /// Time to load a model, in milliseconds.
    pub load_ms: u64,
    /// Time of an engine to its first token, in milliseconds.
    pub prefill_ms: u64,
    /// Tokens of prompts and answers that an engine's memory holds; 0 for an engine that retains nothing.
    pub cache_tokens: usize,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Calls that an engine runs concurrently; further ones wait.
    pub batch: usize,
    /// Calls that an engine answers before it is warm.
    pub cold_calls: u64,
    /// Running calls up to which a cold engine is not overloaded.
    pub cold_limit: usize,
    /// Time of a service call, in milliseconds.
    pub service_ms: u64,
    /// Whether VMs carry out orders with an outdated fencing token.
    pub ignores_fencing: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            vms: Vec::new(),
            announce_to: Vec::new(),
            announce_ms: 500,
            load_ms: 300,
            prefill_ms: 30,
            cache_tokens: 0,
            token_ms: 10,
            batch: 16,
            cold_calls: 8,
            cold_limit: 4,
            service_ms: 5,
            ignores_fencing: false,
        }
    }
}
