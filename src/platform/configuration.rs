//! Decodes the configuration document that operators upload.
//!
//! The types in [`catalog`] state the meaning and the unit of each field.

use serde::Deserialize;
use serde::Deserializer;

use crate::domain::catalog;
use crate::domain::catalog::Catalog;
use crate::domain::catalog::Definition;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::check_hosts;

/// Largest document that controllers accept, in bytes.
pub const MAX_BYTES: usize = 8 << 20;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Document {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Option<Limits>,
    // Client accounts. Without the field no route requires a key, so `null` is refused: it is neither a list nor its
    // absence.
    #[serde(default, deserialize_with = "deserialize_present")]
    tenants: Option<Vec<Tenant>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Route {
    name: String,
    host: String,
    path_prefix: String,
    // `idempotent`, `non_idempotent` or `streaming`.
    r#type: String,
    timeout_ms: u64,
    target_latency_ms: Option<f64>,
    target_gap_ms: Option<f64>,
    // 0 is the most urgent.
    priority: Option<u8>,
    // Service of a route without a traffic split.
    service: Option<String>,
    traffic_split: Option<Vec<Split>>,
    // Maximum number of upstreams to which one request is sent.
    max_attempts: Option<u32>,
    public: Option<bool>,
    stream_resume: Option<bool>,
    // Any type is accepted, as documents with this field were before it was read.
    session_affinity: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct Split {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Service {
    name: String,
    health_path: Option<String>,
    max_connections: Option<u32>,
    cold_start_s: Option<f64>,
    cold_per_s: Option<f64>,
    inference_engine: Option<Engine>,
}

#[derive(Deserialize)]
struct Engine {
    slots: u32,
    // Decode steps in one pass over the batch.
    stride: u32,
    #[serde(rename = "model-list")]
    model_list: Vec<Model>,
    step_ms: f64,
    per_seq_ms: f64,
    read_per_s: f64,
    #[serde(rename = "loads-per-s")]
    loads_per_s: f64,
    loads_at_once: usize,
    // Mean request, in tokens.
    usual: Usual,
    // Tokens for which an engine has memory, of running requests and of what it retains.
    #[serde(rename = "kv-cache-tokens")]
    memory_tokens: Option<f64>,
    #[serde(rename = "group-open-ms", default)]
    group_open_ms: f64,
}

#[derive(Deserialize)]
struct Usual {
    prompt: f64,
    answer: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Model {
    name: String,
    // VMs in a group.
    size: usize,
    traffic_share: f64,
    // Multiplier on the engine's prefill and decode times.
    pace: f64,
    load_time_s: f64,
    warmup_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Limits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Tenant {
    name: String,
    api_keys: Vec<String>,
    priority: Option<u8>,
}

/// Decodes and validates the body of a configuration change, as controllers do before they adopt it.
///
/// # Errors
///
/// Those of [`decode`], and the reason of the validation.
pub fn check(body: &[u8]) -> Result<Definition, String> {
    let definition = decode(body)?;
    check_hosts(&definition).map_err(|e| e.to_string())?;
    Catalog::try_from(definition.clone()).map_err(|e| e.to_string())?;
    Ok(definition)
}

/// Decodes the body of a configuration change.
///
/// # Errors
///
/// Path and reason of the first field that cannot be decoded, or the name of a route
/// that has an unknown type, no service or a negative weight.
pub fn decode(body: &[u8]) -> Result<Definition, String> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let document: Document = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
    deserializer.end().map_err(|e| e.to_string())?;
    let routes = document
        .routes
        .into_iter()
        .map(convert_route)
        .collect::<Result<_, _>>()?;
    let convert_accounts = |tenants: Vec<Tenant>| tenants.into_iter().map(convert_account).collect();
    Ok(Definition {
        version: document.version,
        routes,
        services: document.services.into_iter().map(convert_service).collect(),
        limits: document.limits.map(convert_limits).unwrap_or_default(),
        accounts: document.tenants.map(convert_accounts),
    })
}

/// Value of a field that is present.
fn deserialize_present<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    T::deserialize(deserializer).map(Some)
}

fn convert_route(route: Route) -> Result<catalog::Route, String> {
    let streams = route.r#type == "streaming";
    let resumes = route.stream_resume.unwrap_or(false);
    let repeat = match route.r#type.as_str() {
        "idempotent" => Repeat::Idempotent,
        "streaming" if resumes => Repeat::Resumable,
        "streaming" | "non_idempotent" => Repeat::Once,
        other => return Err(format!("route {}: no type {other}", route.name)),
    };
    let shares = match (route.traffic_split, route.service) {
        (Some(split), service) => {
            // A service beside a split gets no requests, and must be known all the same.
            let unused = service.map(|service| Ok(catalog::Share { service, weight: 0 }));
            let split = split.into_iter().map(|split| convert_split(&route.name, split));
            split.chain(unused).collect::<Result<_, _>>()?
        }
        (None, Some(service)) => vec![catalog::Share { service, weight: 1 }],
        (None, None) => return Err(format!("route {}: no service", route.name)),
    };
    let goal_ms = route.target_latency_ms.map_or(route.timeout_ms, |ms| ms as u64);
    Ok(catalog::Route {
        name: route.name,
        host: route.host,
        prefix: route.path_prefix,
        repeat,
        streams,
        timeout_ms: route.timeout_ms,
        goal_ms,
        gap_ms: route.target_gap_ms.map(|ms| ms as u64),
        rank: route.priority.unwrap_or(0),
        shares,
        max_sends: route.max_attempts.unwrap_or(1),
        public: route.public.unwrap_or(false),
        session_affinity: route.session_affinity.is_some_and(|v| is_set(&v)),
    })
}

/// Whether a flag is set: to anything but `false`, `null` and an empty string.
fn is_set(flag: &serde_json::Value) -> bool {
    match flag {
        serde_json::Value::Null => false,
        serde_json::Value::Bool(flag) => *flag,
        serde_json::Value::String(text) => !text.is_empty(),
        _ => true,
    }
}

fn convert_split(route: &str, split: Split) -> Result<catalog::Share, String> {
    if split.weight < 0.0 {
        return Err(format!("route {route}: the weight {} is negative", split.weight));
    }
    Ok(catalog::Share {
        service: split.service,
        // Weights may be fractional; the catalog holds integers, in thousandths.
        weight: (split.weight * 1000.0) as u64,
    })
}

fn convert_service(service: Service) -> catalog::Service {
    catalog::Service {
        name: service.name,
        health_path: service.health_path.unwrap_or_else(|| "/".to_owned()),
        max_connections: service.max_connections.unwrap_or(u32::MAX),
        cold_ms: seconds_to_ms(service.cold_start_s.unwrap_or(0.0)),
        cold_rate: service.cold_per_s.unwrap_or(0.0),
        engine: service.inference_engine.map(convert_engine),
    }
}

fn convert_engine(engine: Engine) -> catalog::Engine {
    catalog::Engine {
        slots: engine.slots,
        models: engine.model_list.into_iter().map(convert_model).collect(),
        step_ms: engine.step_ms,
        step_request_ms: engine.per_seq_ms,
        steps_per_pass: engine.stride,
        read_per_s: engine.read_per_s,
        loads_per_s: engine.loads_per_s,
        loads_at_once: engine.loads_at_once,
        open_ms: engine.group_open_ms as u64,
        mean_prompt: engine.usual.prompt,
        mean_answer: engine.usual.answer,
        memory_tokens: engine.memory_tokens.map(|t| t.max(0.0) as u64),
    }
}

fn convert_model(model: Model) -> catalog::Model {
    catalog::Model {
        name: model.name,
        size: model.size,
        share: model.traffic_share,
        pace: model.pace,
        load_ms: seconds_to_ms(model.load_time_s),
        warm_ms: seconds_to_ms(model.warmup_s),
    }
}

fn convert_limits(limits: Limits) -> catalog::Limits {
    catalog::Limits {
        head_bytes: limits.max_header_bytes,
        body_bytes: limits.max_body_bytes,
        head_ms: limits.header_timeout_ms,
        idle_ms: limits.idle_timeout_ms,
    }
}

fn convert_account(tenant: Tenant) -> catalog::Account {
    catalog::Account {
        name: tenant.name,
        keys: tenant.api_keys,
        rank: tenant.priority,
    }
}

fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}
