//! `heatherramp demo`: a whole system in one process, with stand-in upstreams.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use clap::Command;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use super::Error;
use super::client::Client;
use super::site::Site;
use crate::adapters::clock;
use crate::control;
use crate::domain::environment;
use crate::domain::environment::Kind;
use crate::domain::state::Change;
use crate::entry;
use crate::standin;

/// Longest wait for a leader, and for each answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Key of the demo's client account.
const CLIENT_KEY: &str = "demo-client-key";

/// Command line of `demo`.
pub(super) fn command() -> Command {
    Command::new("demo")
        .about("Run a whole system in one process, with stand-in upstreams, and print its answers")
}

/// Runs the demo in a temporary folder.
pub(super) async fn run() -> Result<(), Error> {
    let folder = std::env::temp_dir().join(format!("heatherramp-demo-{}", clock::unique_id()));
    let result = serve_and_call(&folder).await;
    let _ = std::fs::remove_dir_all(&folder);
    result
}

async fn serve_and_call(folder: &Path) -> Result<(), Error> {
    let site = Site::new(folder, 1, 2, &["zone-a", "zone-b"]).map_err(Error::Input)?;
    let input_error = |report: String| Error::Input(report);
    control::create_data_folder(&site.controls[0], false).map_err(|r| input_error(format!("{r:?}")))?;
    let _control = control::run(site.controls[0].clone())
        .await
        .map_err(|r| input_error(format!("{r:?}")))?;
    let mut entries = Vec::new();
    for settings in &site.entries {
        let daemon = entry::run(settings.clone())
            .await
            .map_err(|r| input_error(format!("{r:?}")))?;
        entries.push(daemon);
    }
    let vms = standin::start(upstream_settings(&site)).await;
    vms.map_err(|e| Error::Input(e.to_string()))?;
    println!("1 control process, 2 entries and 6 stand-in VMs run on loopback addresses");
    let client = Client::new(&site.control_addresses(), Site::operator_key());
    for document in [engine_document(), service_document()] {
        submit_and_promote(&client, &document).await?;
    }
    let chat = json!({"model": "quotes", "messages": [{"role": "user", "content": "Which die fits a 90 degree bend?"}]});
    for settings in &site.entries {
        let address = settings.listen_http.to_string();
        let answer = post_until_answered(&address, "/v1/chat/completions", &chat).await?;
        let text = answer["choices"][0]["message"]["content"].as_str().unwrap_or("");
        println!("answer through entry {}: {text}", settings.name);
        let order = json!({"order": "die-17"});
        let booked = self::post_until_answered(&address, "/v1/services/orders/book", &order).await?;
        println!("order through entry {}: {booked}", settings.name);
    }
    println!(
        "the second order carried the idempotency key of the first, so the order ran once and both got the same answer"
    );
    Ok(())
}

fn upstream_settings(site: &Site) -> standin::Settings {
    let vm = |name: String, zone: &str, kind: Kind| standin::VmSettings {
        name,
        listen: ([127, 0, 0, 1], 0).into(),
        availability_zone: zone.to_owned(),
        fabric_domain: format!("{zone}-rack-1"),
        kind,
        service: if kind == Kind::Service {
            "order-desk".to_owned()
        } else {
            String::new()
        },
    };
    let mut vms = Vec::new();
    for zone in &site.zones {
        vms.push(vm(format!("{zone}-vm-1"), zone, Kind::Engine));
        vms.push(vm(format!("{zone}-vm-2"), zone, Kind::Engine));
        vms.push(vm(format!("{zone}-desk"), zone, Kind::Service));
    }
    standin::Settings {
        vms,
        announce_to: site.controls.iter().map(|c| c.listen_http).collect(),
        ..standin::Settings::default()
    }
}

fn engine_document() -> Value {
    json!({
        "environment": "quotes",
        "model": "quotes-70b",
        "members_per_replica": 2,
        "replicas_per_availability_zone": {"zone-a": 1, "zone-b": 1},
        "trial_replicas": 0,
        "client_accounts": [{"name": "demo", "key_digest": environment::digest_key(CLIENT_KEY)}],
    })
}

fn service_document() -> Value {
    json!({
        "environment": "orders",
        "kind": "service",
        "model": "order-desk",
        "replicas_per_availability_zone": {"zone-a": 1, "zone-b": 1},
        "trial_replicas": 0,
        "non_repeatable_paths": ["/book"],
        "client_accounts": [{"name": "demo", "key_digest": environment::digest_key(CLIENT_KEY)}],
    })
}

/// Submits a document, as soon as a leader answers, and promotes it.
async fn submit_and_promote(client: &Client, document: &Value) -> Result<(), Error> {
    let environment = document["environment"].as_str().unwrap_or("").to_owned();
    let submit = Change::Submit {
        environment: environment.clone(),
        base: 0,
        text: document.to_string(),
    };
    let deadline = clock::now() + ANSWER_TIMEOUT;
    let version = loop {
        match client.change(&submit).await {
            Ok((version, _)) => break version,
            Err(Error::Unreachable) if clock::now() < deadline => {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Err(e) => return Err(e),
        }
    };
    let promote = Change::Promote {
        environment,
        version,
        base: 0,
    };
    client.change(&promote).await.map(|_| ())
}

/// Posts `body` until the answer has status 200.
async fn post_until_answered(address: &str, path: &str, body: &Value) -> Result<Value, Error> {
    let http: Legacy<_, Full<Bytes>> = Legacy::builder(TokioExecutor::new()).build_http();
    let deadline = clock::now() + ANSWER_TIMEOUT;
    loop {
        let request = http::Request::post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {CLIENT_KEY}"))
            .header("idempotency-key", "order-die-17")
            .body(Full::from(body.to_string()))
            .map_err(|e| Error::Input(e.to_string()))?;
        let response = http.request(request).await.map_err(|_| Error::Unreachable)?;
        let status = response.status().as_u16();
        let answer_body = response
            .into_body()
            .collect()
            .await
            .map_err(|_| Error::Unreachable)?;
        let value: Value = serde_json::from_slice(&answer_body.to_bytes()).unwrap_or_default();
        if status == 200 {
            return Ok(value);
        }
        if clock::now() >= deadline {
            return Err(Error::Timeout(value.to_string()));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
