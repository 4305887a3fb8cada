//! A small deployment: fleet controllers on `core` machines and gateways on `edge` machines, each with a loopback
//! address of its own, started with the commands of the deploy file and settings like those of its templates.

use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;

use super::http;
use super::http::Answer;
use super::record::Record;

/// Programs as `deploy/system.toml` runs them, from the root of the repository.
const FLEET: &str = "target/release/heatherramp-fleet";
const GATEWAY: &str = "target/release/heatherramp-gateway";

/// Ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
struct Ports {
    http: u16,
    status: u16,
    metrics: u16,
    peer: u16,
    tunnel: u16,
}

/// One machine with its process.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    program: &'static str,
    pub zone: String,
    child: Mutex<Option<Child>>,
}

/// Machines of one case; their processes are ended when it is dropped.
pub struct Site {
    pub folder: PathBuf,
    ports: Ports,
    pub cores: Vec<Machine>,
    pub edges: Vec<Machine>,
    record: Record,
    /// Losses of disks that the controllers are set up for.
    disk_losses: usize,
    heartbeat_ms: u64,
}

/// Address number `host` of this process's block of loopback addresses.
pub fn address(host: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::from([127, 100 + (id % 100) as u8, 1 + (id / 100 % 250) as u8, host])
}

fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Site {
    /// Deployment with a core machine and an edge machine in each of `zones`; nothing runs yet.
    pub fn new(record: &Record, zones: &[&str], disk_losses: usize) -> Site {
        let folder = std::env::temp_dir().join(format!("heatherramp-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let machine = |kind: &str, program, first: u8, index: usize| Machine {
            name: format!("{kind}-{}", zones[index]),
            ip: address(first + index as u8),
            program,
            zone: zones[index].to_owned(),
            child: Mutex::new(None),
        };
        let ip = address(1);
        Site {
            folder,
            ports: Ports {
                http: free_port(ip),
                status: free_port(ip),
                metrics: free_port(ip),
                peer: free_port(ip),
                tunnel: free_port(ip),
            },
            cores: (0..zones.len()).map(|i| machine("core", FLEET, 1, i)).collect(),
            edges: (0..zones.len()).map(|i| machine("edge", GATEWAY, 51, i)).collect(),
            record: record.clone(),
            disk_losses,
            heartbeat_ms: 1_200,
        }
    }

    /// Address of a machine for callers (edge), or for operators and upstreams (core).
    pub fn listen(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::new(machine.ip, self.ports.http)
    }

    /// Address of an edge machine for readiness.
    pub fn status(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::new(machine.ip, self.ports.status)
    }

    /// Addresses of the core machines for operators and upstreams.
    pub fn controllers(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(|core| self.listen(core)).collect()
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = self.controllers().iter().map(|seed| format!("\"{seed}\"")).collect();
        format!("[{}]", seeds.join(", "))
    }

    fn settings(&self, machine: &Machine, is_first_start: bool) -> String {
        let keys = "{ \"authority\": \"deploy/keys/authority.pem\", \"certificate\": \"deploy/keys/node.pem\", \
                    \"key\": \"deploy/keys/node.key\" }";
        let (ip, ports, seeds) = (machine.ip, self.ports, self.seeds());
        let common = format!(
            "\"name\": \"{}\", \"availability_zone\": \"{}\", \"listen\": \"{ip}:{}\", \"metrics_port\": {}, \
             \"seeds\": {seeds}, \"peer_port\": {}, \"keys\": {keys}",
            machine.name, machine.zone, ports.http, ports.metrics, ports.peer
        );
        if machine.program == FLEET {
            return format!(
                "{{ {common}, \"data_folder\": \"{}\", \"first_start\": {is_first_start}, \"disk_losses\": {}, \
                 \"fleet\": {{ \"heartbeat_ms\": {}, \"stall_ms\": 4000 }} }}",
                self.data_folder(machine).display(),
                self.disk_losses,
                self.heartbeat_ms
            );
        }
        format!(
            "{{ {common}, \"region\": \"r1\", \"tunnel_port\": {}, \"listen_status\": \"{ip}:{}\", \
             \"revocation_ms\": 5000, \"grace_s\": 8, \"dispatch\": {{ \"retry_ratio\": 0.2, \"retry_extra\": 130, \
             \"retry_window_s\": 10 }} }}",
            ports.tunnel, ports.status
        )
    }

    fn data_folder(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.data", machine.name))
    }

    /// Starts the process of a machine.
    pub fn start(&self, machine: &Machine, is_first_start: bool) {
        let file = self.folder.join(format!("{}.json", machine.name));
        std::fs::write(&file, self.settings(machine, is_first_start)).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", machine.name)))
            .expect("the log can be written");
        let child = Command::new(machine.program)
            .env_clear()
            .env("HEATHERRAMP_SETTINGS", &file)
            .env("HEATHERRAMP_MEMORY_MB", "260")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => {
                self.record.line(&format!("{} cannot be started: {error}", machine.program));
                std::process::exit(super::NOT_RUN);
            }
        };
        self.record.line(&format!("platform: starts {}", machine.name));
        *machine.child.lock().unwrap() = Some(child);
    }

    /// Starts all machines for the first time.
    pub fn start_all(&self) {
        for machine in self.cores.iter().chain(&self.edges) {
            self.start(machine, true);
        }
    }

    /// Kills the process of a machine.
    pub fn kill(&self, machine: &Machine) {
        if let Some(mut child) = machine.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("platform: kills {}", machine.name));
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: &Machine, name: &str) {
        let id = machine.child.lock().unwrap().as_ref().map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill").args([format!("-{name}"), id.to_string()]).status();
            self.record.line(&format!("platform: SIG{name} to {}", machine.name));
        }
    }

    /// Waits until the process of a machine has ended.
    pub fn wait_for_end(&self, machine: &Machine, limit: Duration) -> bool {
        let ended = super::wait_until(limit, || {
            let mut child = machine.child.lock().unwrap();
            child.as_mut().is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
        });
        if ended {
            *machine.child.lock().unwrap() = None;
        }
        ended
    }

    /// Whether the process of a machine has ended by itself.
    pub fn has_ended(&self, machine: &Machine) -> bool {
        let mut child = machine.child.lock().unwrap();
        child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Removes the content of a core machine's disk.
    pub fn wipe(&self, machine: &Machine) {
        let _ = std::fs::remove_dir_all(self.data_folder(machine));
        self.record.line(&format!("platform: the disk of {} is lost", machine.name));
    }

    /// Identifies a file on a core machine's disk that is replaced as a whole; another one after its replacement.
    pub fn file(&self, machine: &Machine, name: &str) -> Option<u64> {
        let metadata = std::fs::metadata(self.data_folder(machine).join(name));
        metadata.ok().map(|m| m.ino())
    }

    /// What the process of a machine has written.
    pub fn log(&self, machine: &Machine) -> String {
        std::fs::read_to_string(self.folder.join(format!("{}.log", machine.name))).unwrap_or_default()
    }

    /// Empties the log of a machine whose process does not run.
    pub fn clear_log(&self, machine: &Machine) {
        let _ = std::fs::remove_file(self.folder.join(format!("{}.log", machine.name)));
    }

    /// Value of a metric of a machine.
    pub fn metric(&self, machine: &Machine, name: &str) -> Option<f64> {
        let address = SocketAddr::new(machine.ip, self.ports.metrics);
        let answer = http::call(address, "GET", "/metrics", &[], b"", Duration::from_secs(1)).ok()?;
        let text = answer.text();
        let line = text.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Position of the core machine that leads.
    pub fn leader(&self) -> Option<usize> {
        let leads = |core: &Machine| self.metric(core, "heatherramp_fleet_leads") == Some(1.0);
        self.cores.iter().position(leads)
    }

    /// Calls the controllers in turn until one acknowledges or refuses; none after `limit`.
    pub fn operate(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<Answer> {
        let mut answer = None;
        super::wait_until(limit, || {
            answer = self.controllers().into_iter().find_map(|controller| {
                let headers = [("content-type", "application/json")];
                let sent = http::call(controller, method, path, &headers, body.as_bytes(), Duration::from_secs(1));
                sent.ok().filter(|a| a.status < 500)
            });
            answer.is_some()
        });
        let status = answer.as_ref().map_or("no answer".to_owned(), |a| a.status.to_string());
        self.record.line(&format!("operator: {method} {path} is answered {status}"));
        answer
    }

    /// Whether an edge machine says that it is ready.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let answer = http::call(self.status(machine), "GET", "/readyz", &[], b"", Duration::from_millis(500));
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Ends all processes and removes the folder.
    pub fn end(&self) {
        for machine in self.cores.iter().chain(&self.edges) {
            if let Some(mut child) = machine.child.lock().unwrap_or_else(|e| e.into_inner()).take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
    }
}
