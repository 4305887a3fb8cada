//! Schema of an environment document.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Kind of upstream that serves the calls of an environment.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines; one or more VMs form a replica.
    #[default]
    Engine,
    /// Services without a model engine; one VM forms a replica.
    Service,
}

/// One client account of an environment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name, unique in the document.
    pub name: String,
    /// SHA-256 of the account's key, as 64 hexadecimal digits.
    pub key_digest: String,
    /// Weight in the fair queue, relative to the other accounts.
    #[serde(default = "ClientAccount::default_share")]
    pub share: u32,
    /// Largest number of queued requests of the account at one owner.
    #[serde(default = "ClientAccount::default_max_queued")]
    pub max_queued: usize,
    /// Priority class; a higher one is served first within the account.
    #[serde(default)]
    pub priority: u8,
}

impl ClientAccount {
    fn default_share() -> u32 {
        1
    }

    fn default_max_queued() -> usize {
        256
    }
}

/// Limits of requests and queues of an environment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of requests in flight at one warm replica.
    pub in_flight_per_replica: usize,
    /// Largest number of requests in flight at one cold replica.
    pub in_flight_cold: usize,
    /// Timely responses of a cold replica before its limit starts to grow.
    pub warmup_calls: u32,
    /// Largest number of queued requests at one owner.
    pub queue: usize,
    /// Longest wait in the queue, in milliseconds.
    pub queue_ms: u64,
    /// Longest time to the end of a response, in milliseconds.
    pub request_ms: u64,
    /// Longest pause of an upstream within a response, in milliseconds.
    pub stall_ms: u64,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            in_flight_per_replica: 16,
            in_flight_cold: 2,
            warmup_calls: 16,
            queue: 1024,
            queue_ms: 10_000,
            request_ms: 120_000,
            stall_ms: 5_000,
            body_bytes: 1 << 20,
        }
    }
}

/// Relative importance of the two goals of placement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of keeping group downtime short.
    pub group_downtime: u32,
    /// Weight of keeping full capacity while an availability zone is out of service.
    pub zone_move: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Weights {
            group_downtime: 1,
            zone_move: 1,
        }
    }
}

/// One environment, as an operator writes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name; callers send it as the model name.
    pub environment: String,
    /// Kind of upstream that serves the calls.
    #[serde(default)]
    pub kind: Kind,
    /// Model that the engines load, or name that the services announce.
    pub model: String,
    /// Version of the model or service.
    #[serde(default)]
    pub model_version: String,
    /// Number of VMs in one replica.
    #[serde(default = "Document::default_members")]
    pub members_per_replica: usize,
    /// Number of production replicas by availability zone.
    pub replicas_per_availability_zone: BTreeMap<String, usize>,
    /// Number of replicas for a version on trial.
    #[serde(default = "Document::default_trial_replicas")]
    pub trial_replicas: usize,
    /// Client accounts that may call.
    pub client_accounts: Vec<ClientAccount>,
    /// Path prefixes whose calls, other than GET and HEAD, may run at most once.
    #[serde(default)]
    pub non_repeatable_paths: Vec<String>,
    /// Limits of requests and queues.
    #[serde(default)]
    pub limits: Limits,
    /// Weights of the goals of placement.
    #[serde(default)]
    pub weights: Weights,
}

impl Document {
    fn default_members() -> usize {
        1
    }

    fn default_trial_replicas() -> usize {
        1
    }

    /// Whether a call to `path` that is neither GET nor HEAD may run at most once.
    pub fn is_non_repeatable(&self, path: &str) -> bool {
        self.non_repeatable_paths
            .iter()
            .any(|p| path.starts_with(p.as_str()))
    }

    /// Whether replicas formed for `other` can serve this document without a reload.
    pub fn is_replica_compatible(&self, other: &Document) -> bool {
        self.kind == other.kind
            && self.model == other.model
            && self.model_version == other.model_version
            && self.members_per_replica == other.members_per_replica
    }
}
