//! A system of real control and entry processes on loopback addresses, with stand-in
//! upstreams inside the test process.
#![allow(dead_code)]

pub mod link;
pub mod usage;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherramp::cli::Site;
use heatherramp::domain::environment;
use heatherramp::domain::environment::Kind;
use heatherramp::standin;
use heatherramp::standin::Fault;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// Key of the client account of both test documents.
pub const CLIENT_KEY: &str = "test-client-key";

/// HTTP answer of a process, read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub outcome: String,
    pub headers: http::HeaderMap,
    pub text: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

/// Running processes of one system; dropping it kills those that are left.
pub struct Cluster {
    /// Settings of the processes.
    pub site: Site,
    /// Stand-in VMs.
    pub fleet: standin::Fleet,
    children: BTreeMap<String, Child>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.site.folder);
        }
    }
}

/// Arguments of a benchmark, without options such as the `--bench` that cargo adds.
pub fn positional_arguments() -> Vec<String> {
    std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .collect()
}

/// Path of a new temporary folder; does not create it.
pub fn temporary_folder(name: &str) -> PathBuf {
    let unique = heatherramp::adapters::clock::unique_id();
    std::env::temp_dir().join(format!("heatherramp-{name}-{unique}"))
}

/// Settings of `per_zone` engine VMs and one service VM in each zone; a zone is one fabric domain.
pub fn vms(zones: &[&str], per_zone: usize) -> Vec<standin::VmSettings> {
    let mut all = Vec::new();
    for zone in zones {
        for i in 0..=per_zone {
            let is_service = i == per_zone;
            all.push(standin::VmSettings {
                name: if is_service {
                    format!("{zone}-desk")
                } else {
                    format!("{zone}-vm{i}")
                },
                listen: SocketAddr::from(([127, 0, 0, 1], 0)),
                availability_zone: (*zone).to_owned(),
                fabric_domain: format!("{zone}-rack"),
                kind: if is_service { Kind::Service } else { Kind::Engine },
                service: if is_service {
                    "desk".to_owned()
                } else {
                    String::new()
                },
            });
        }
    }
    all
}

/// Document of the engine environment `notes`, with `replicas` groups of `members` VMs in each zone.
pub fn engine_document(zones: &[&str], replicas: usize, members: usize) -> Value {
    let per_zone: BTreeMap<&str, usize> = zones.iter().map(|z| (*z, replicas)).collect();
    json!({
        "environment": "notes", "model": "notes-70b", "members_per_replica": members,
        "replicas_per_availability_zone": per_zone, "trial_replicas": 0,
        "limits": {"stall_ms": 1000, "in_flight_per_replica": 16, "in_flight_cold": 3, "request_ms": 30000},
        "client_accounts": [{"name": "test", "key_digest": environment::digest_key(CLIENT_KEY)}],
    })
}

/// Document of the service environment `orders`, whose path `/book` is non-repeatable.
pub fn service_document(zones: &[&str]) -> Value {
    let per_zone: BTreeMap<&str, usize> = zones.iter().map(|z| (*z, 1)).collect();
    json!({
        "environment": "orders", "kind": "service", "model": "desk",
        "replicas_per_availability_zone": per_zone, "trial_replicas": 0,
        "non_repeatable_paths": ["/book"],
        "limits": {"stall_ms": 1000, "request_ms": 8000, "in_flight_per_replica": 64, "in_flight_cold": 32},
        "client_accounts": [{"name": "test", "key_digest": environment::digest_key(CLIENT_KEY)}],
    })
}

impl Cluster {
    /// Starts all processes, after `adjust` has changed their settings.
    pub async fn start(
        name: &str,
        (controls, entries): (usize, usize),
        zones: &[&str],
        adjust: impl FnOnce(&mut Site, &mut standin::Settings),
    ) -> Cluster {
        let mut site = Site::new(&temporary_folder(name), controls, entries, zones).expect("a site");
        // Shorter than the defaults, so that a start and the loss of a VM take less time.
        for control in &mut site.controls {
            control.core.membership.settle_ms = 1_200;
            control.core.membership.lost_ms = 1_500;
        }
        for entry in &mut site.entries {
            entry.drain.grace_ms = 1_000;
        }
        let mut upstreams = standin::Settings {
            announce_to: site.controls.iter().map(|c| c.listen_http).collect(),
            announce_ms: 300,
            load_ms: 100,
            ..standin::Settings::default()
        };
        adjust(&mut site, &mut upstreams);
        let fleet = standin::start(upstreams).await.expect("stand-ins");
        let http = Client::builder(TokioExecutor::new()).build_http();
        let mut cluster = Cluster {
            site,
            fleet,
            children: BTreeMap::new(),
            http,
        };
        let names: Vec<String> = cluster.site.controls.iter().map(|c| c.name.clone()).collect();
        for name in names {
            cluster.run_control_once(&name, "--init");
            cluster.spawn(&name);
        }
        let names: Vec<String> = cluster.site.entries.iter().map(|e| e.name.clone()).collect();
        for name in names {
            cluster.spawn(&name);
        }
        cluster
    }

    /// Second handle to the same system; it owns no processes, so dropping it ends none.
    pub fn observer(&self) -> Cluster {
        Cluster {
            site: Site {
                folder: self.site.folder.join("observer"),
                ..self.site.clone()
            },
            fleet: standin::Fleet {
                addresses: self.fleet.addresses.clone(),
            },
            children: BTreeMap::new(),
            http: self.http.clone(),
        }
    }

    /// Runs a control program with `option`, `--init` or `--join`, until it exits; returns what it printed.
    pub fn run_control_once(&self, name: &str, option: &str) -> String {
        let settings = self.write_settings(name);
        let output = Command::new(env!("CARGO_BIN_EXE_heatherramp-control"))
            .arg("--settings")
            .arg(settings)
            .arg(option)
            .output()
            .expect("the control program runs");
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        String::from_utf8_lossy(&output.stdout).trim().to_owned()
    }

    fn write_settings(&self, name: &str) -> PathBuf {
        let path = self.site.folder.join(format!("{name}.json"));
        let control = self.site.controls.iter().find(|c| c.name == name);
        let entry = self.site.entries.iter().find(|e| e.name == name);
        let text = match (control, entry) {
            (Some(control), _) => serde_json::to_string(control),
            (_, Some(entry)) => serde_json::to_string(entry),
            _ => panic!("no process {name}"),
        };
        std::fs::write(&path, text.expect("settings")).expect("a settings file");
        path
    }

    /// Starts a control process (`c…`) or an entry process (`e…`).
    pub fn spawn(&mut self, name: &str) {
        let settings = self.write_settings(name);
        let program = if name.starts_with('c') {
            env!("CARGO_BIN_EXE_heatherramp-control")
        } else {
            env!("CARGO_BIN_EXE_heatherramp-entry")
        };
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(self.site.folder.join(format!("{name}.log")))
            .expect("a log file");
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.children.insert(name.to_owned(), child);
    }

    /// Starts a control process whose files cannot grow beyond `blocks` of 512 bytes, as if
    /// the disk were full.
    pub fn spawn_with_file_limit(&mut self, name: &str, blocks: u32) {
        let settings = self.write_settings(name);
        // With XFSZ ignored, a write beyond the limit fails instead of ending the process.
        let script = format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" --settings \"$1\"");
        let child = Command::new("sh")
            .args(["-c", &script, env!("CARGO_BIN_EXE_heatherramp-control")])
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.children.insert(name.to_owned(), child);
    }

    /// Names and process ids of the daemons.
    pub fn process_ids(&self) -> Vec<(String, u32)> {
        self.children.iter().map(|(n, c)| (n.clone(), c.id())).collect()
    }

    /// Sends a signal, by number or name, to a process of this system.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.children[name].id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
        assert!(status.expect("kill runs").success());
    }

    /// Kills a process (SIGKILL) and waits for its end.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.children.remove(name).expect("a running process");
        child.kill().expect("a child process");
        child.wait().expect("an exit status");
    }

    /// Waits up to `wait` for a process to end by itself; returns its exit code.
    pub async fn exit_code(&mut self, name: &str, wait: Duration) -> Option<i32> {
        let deadline = Instant::now() + wait;
        while Instant::now() < deadline {
            let child = self.children.get_mut(name).expect("a running process");
            if let Some(status) = child.try_wait().expect("a child process") {
                self.children.remove(name);
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Standard error of a process so far.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.site.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// HTTP address of an entry.
    pub fn entry_address(&self, name: &str) -> String {
        let entry = self.site.entries.iter().find(|e| e.name == name);
        entry.expect("an entry").listen_http.to_string()
    }

    /// Address of a stand-in VM.
    pub fn vm_address(&self, name: &str) -> String {
        self.fleet.addresses[name].to_string()
    }

    /// Makes one HTTP call; `None` if no whole answer came.
    pub async fn call(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        call(&self.http, method, url, headers, body).await
    }

    /// Makes a stand-in VM fail as `fault` says.
    pub async fn inject_fault(&self, vm: &str, fault: Fault) {
        let body = serde_json::to_string(&fault).unwrap();
        let url = format!("http://{}/fault", self.vm_address(vm));
        self.call("POST", &url, &[], &body).await.expect("a stand-in");
    }

    /// All counters of a stand-in VM.
    pub async fn counts(&self, vm: &str) -> Value {
        let url = format!("http://{}/counts", self.vm_address(vm));
        self.call("GET", &url, &[], "").await.expect("a stand-in").json()
    }

    /// Sum of a counter over all stand-in VMs whose names contain `part`.
    pub async fn sum_counter(&self, part: &str, counter: &str) -> u64 {
        let mut sum = 0;
        for name in self.fleet.addresses.keys().filter(|n| n.contains(part)) {
            sum += self.counts(name).await[counter].as_u64().unwrap_or(0);
        }
        sum
    }

    /// Requests a change from the control processes in turn, until one answers other than 503.
    pub async fn request_change(&self, request: &str, change: Value) -> Value {
        let authorization = format!("Bearer {}", Site::operator_key());
        let headers = [("authorization", authorization.as_str())];
        let body = json!({"request": request, "change": change}).to_string();
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            for address in self.site.control_addresses() {
                let url = format!("http://{address}/operator/changes");
                let answer = self.call("POST", &url, &headers, &body).await;
                if let Some(answer) = answer.filter(|a| a.status != 503) {
                    return answer.json();
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no control process answered the change");
    }

    /// Status of the system, from the first control process that gives it.
    pub async fn status(&self) -> Value {
        let authorization = format!("Bearer {}", Site::operator_key());
        let headers = [("authorization", authorization.as_str())];
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            for address in self.site.control_addresses() {
                let url = format!("http://{address}/operator/status");
                let answer = self.call("GET", &url, &headers, "").await;
                if let Some(answer) = answer.filter(|a| a.status == 200) {
                    return answer.json();
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no control process gave its status");
    }

    /// Submits an environment document and promotes the version it got.
    pub async fn submit_and_promote(&self, document: &Value) {
        let environment = document["environment"].as_str().unwrap();
        let submit = json!({"submit": {"environment": environment, "base": 0, "text": document.to_string()}});
        let reply = self
            .request_change(&format!("submit-{environment}"), submit)
            .await;
        let version = reply["accepted"]["version"].as_u64();
        let version = version.unwrap_or_else(|| panic!("{reply}"));
        let promote = json!({"promote": {"environment": environment, "version": version, "base": 0}});
        let reply = self
            .request_change(&format!("promote-{environment}"), promote)
            .await;
        assert!(reply["accepted"].is_object(), "{reply}");
    }

    /// Takes a zone out of service or back in, under the identifier `request`.
    pub async fn set_zone(&self, zone: &str, out: bool, request: &str) {
        let reply = self
            .request_change(request, json!({"set_zone": {"zone": zone, "out": out}}))
            .await;
        assert!(reply["accepted"].is_object(), "{reply}");
    }

    /// Waits until every entry answers a chat completion with status 200.
    pub async fn wait_until_served(&self) {
        for entry in &self.site.entries {
            let deadline = Instant::now() + Duration::from_secs(30);
            loop {
                let answer = self.chat(&entry.listen_http.to_string(), "warm up", 2).await;
                if answer.as_ref().is_some_and(|a| a.status == 200) {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "{} does not serve: {answer:?}",
                    entry.name
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// One chat completion that is not streamed.
    pub async fn chat(&self, address: &str, prompt: &str, tokens: u64) -> Option<Answer> {
        chat(&self.http, address, prompt, tokens, false).await
    }

    /// One non-repeatable service call; `order` is its idempotency key.
    pub async fn book(&self, address: &str, order: &str) -> Option<Answer> {
        book(&self.http, address, order).await
    }

    pub fn http(&self) -> Client<HttpConnector, Full<Bytes>> {
        self.http.clone()
    }
}

/// Makes one HTTP call; `None` if no whole answer came within 60 s.
pub async fn call(
    http: &Client<HttpConnector, Full<Bytes>>,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let mut request = http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(body.to_owned())).ok()?;
    let exchange = async {
        let response = http.request(request).await.ok()?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        let outcome = headers
            .get("x-heatherramp-outcome")
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned();
        Some(Answer {
            status,
            outcome,
            headers,
            text: String::from_utf8_lossy(&bytes).into_owned(),
        })
    };
    tokio::time::timeout(Duration::from_secs(60), exchange)
        .await
        .ok()?
}

/// One chat completion in the environment `notes`, streamed if `stream`.
pub async fn chat(
    http: &Client<HttpConnector, Full<Bytes>>,
    address: &str,
    prompt: &str,
    tokens: u64,
    stream: bool,
) -> Option<Answer> {
    let body = json!({
        "model": "notes", "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    let authorization = format!("Bearer {CLIENT_KEY}");
    let url = format!("http://{address}/v1/chat/completions");
    call(
        http,
        "POST",
        &url,
        &[("authorization", &authorization)],
        &body.to_string(),
    )
    .await
}

/// One call of the non-repeatable path `/book`; `order` is its idempotency key.
pub async fn book(http: &Client<HttpConnector, Full<Bytes>>, address: &str, order: &str) -> Option<Answer> {
    let authorization = format!("Bearer {CLIENT_KEY}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("idempotency-key", order),
    ];
    let url = format!("http://{address}/v1/services/orders/book");
    call(http, "POST", &url, &headers, &json!({"order": order}).to_string()).await
}

/// Text that a stand-in VM generates for `prompt`.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    let messages = json!([{"role": "user", "content": prompt}]).to_string();
    (0..tokens)
        .map(|offset| standin::answer_word(&messages, offset))
        .collect()
}

/// Text of an answer that was not streamed.
pub fn answer_text(answer: &Answer) -> String {
    let content = &answer.json()["choices"][0]["message"]["content"];
    content.as_str().unwrap_or("").to_owned()
}

/// Text of a streamed answer; `None` unless the stream ended with `[DONE]`.
pub fn streamed_text(answer: &Answer) -> Option<String> {
    let mut text = String::new();
    let mut is_done = false;
    for event in answer.text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")) {
        if event == "[DONE]" {
            is_done = true;
            continue;
        }
        let value: Value = serde_json::from_str(event).ok()?;
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
    }
    is_done.then_some(text)
}
