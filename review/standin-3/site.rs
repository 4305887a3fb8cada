//! A small deployment: core and edge machines of three zones as processes, with the commands and the settings
//! templates of the deploy file.

use std::fs;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::record::Record;

/// Bounds and limits of the users' smallest installations, as their settings state them.
const FIELDS: &[(&str, &str)] = &[
    ("region", "south-east"),
    ("heartbeat-ms", "1200"),
    ("fault-tolerance.machine-faults", "2"),
    ("bounds.grace-period-s", "8"),
    ("bounds.revocation-ms", "5000"),
    ("bounds.retry-budget-ratio", "0.2"),
    ("bounds.retry-window-s", "10"),
    ("bounds.retry-min-extra", "130"),
    ("bounds.stall-ms", "4000"),
];
/// Variable with the path of the folder for files. Its file `processes` holds the identifiers of the processes, which
/// the script ends if this one is ended.
const FOLDER: &str = "REVIEW_FOLDER";
/// Metrics ports of the deploy file.
const METRICS_PORTS: [u16; 2] = [9_464, 9_465];

/// One machine of the system.
struct Machine {
    name: String,
    /// `core` or `edge`.
    class: &'static str,
    ip: Ipv4Addr,
    zone: String,
    settings: PathBuf,
    memory_mb: u32,
    child: Option<Child>,
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    admin: u16,
    peer: u16,
    tunnel: u16,
}

/// Deployment; its processes are killed, and its files removed, when it is dropped.
pub struct Site {
    machines: Vec<Machine>,
    ports: Ports,
    folder: PathBuf,
    net: [u8; 2],
    record: Record,
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
        if let Some(folder) = std::env::var_os(FOLDER) {
            let _ = fs::remove_file(Path::new(&folder).join("processes"));
        }
    }
}

impl Site {
    /// Starts `cores` core and `edges` edge machines, spread over `zones`.
    pub fn start(zones: &[&str], cores: usize, edges: usize, record: &Record) -> Result<Site, String> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_err(|e| e.to_string())?;
        let seed = now.subsec_nanos() ^ std::process::id();
        let net = [20 + (seed % 200) as u8, (seed / 200 % 250) as u8];
        let parent = std::env::var_os(FOLDER).map_or_else(std::env::temp_dir, PathBuf::from);
        let folder = parent.join(format!("site-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut site = Site {
            machines: Vec::new(),
            ports: free_ports(ip(net, 1))?,
            folder,
            net,
            record: record.clone(),
        };
        for (class, count, first, memory_mb) in [("core", cores, 1, 256), ("edge", edges, 50, 260)] {
            for i in 0..count {
                let zone = zones[i % zones.len()].to_owned();
                let name = format!("{class}-{i}");
                let machine = Machine {
                    settings: site.folder.join(format!("{name}.json")),
                    name,
                    class,
                    ip: ip(net, first + i as u8),
                    zone,
                    memory_mb,
                    child: None,
                };
                site.machines.push(machine);
            }
        }
        for i in 0..site.machines.len() {
            site.write_settings(i, true)?;
        }
        for i in 0..site.machines.len() {
            site.spawn(i)?;
        }
        // A machine that is started again later is told that this is not the first start.
        sleep(Duration::from_millis(500));
        for i in 0..site.machines.len() {
            site.write_settings(i, false)?;
        }
        Ok(site)
    }

    /// Address of the replica number `i`.
    pub fn replica_ip(&self, i: u8) -> Ipv4Addr {
        ip(self.net, 100 + i)
    }

    fn of_class<'a>(&'a self, class: &'a str) -> impl Iterator<Item = &'a Machine> {
        self.machines.iter().filter(move |m| m.class == class)
    }

    /// Addresses of the control plane.
    pub fn admin(&self) -> Vec<SocketAddr> {
        self.of_class("core")
            .map(|m| address(m.ip, self.ports.admin))
            .collect()
    }

    /// Addresses for clients.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.of_class("edge")
            .map(|m| address(m.ip, self.ports.front))
            .collect()
    }

    /// Addresses for readiness checks.
    pub fn readiness(&self) -> Vec<SocketAddr> {
        self.of_class("edge")
            .map(|m| address(m.ip, self.ports.ready))
            .collect()
    }

    /// Waits until all edge machines are ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let started = Instant::now();
        let is_ready = |address: &SocketAddr| {
            let request = http::request("GET", "/readyz", &[("Host", b"ready")], b"");
            let response = http::exchange(*address, &request, Duration::from_secs(1));
            response.is_ok_and(|r| r.status() == 200)
        };
        while started.elapsed() < limit {
            if self.readiness().iter().all(is_ready) {
                self.record.line("all edge machines are ready");
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err("the edge machines did not become ready".to_owned())
    }

    fn spawn(&mut self, i: usize) -> Result<(), String> {
        let machine = &mut self.machines[i];
        let program = match machine.class {
            "core" => "target/release/heatherramp-fleet",
            _ => "target/release/heatherramp-gateway",
        };
        let log = fs::File::create(self.folder.join(format!("{}.log", machine.name)));
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"]
                    .iter()
                    .filter_map(|n| Some((*n, std::env::var_os(n)?))),
            )
            .env("HEATHERRAMP_SETTINGS", &machine.settings)
            .env("HEATHERRAMP_MEMORY_MB", machine.memory_mb.to_string())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.map_err(|e| format!("{program}: {e}"))?;
        let id = child.id();
        machine.child = Some(child);
        match std::env::var_os(FOLDER) {
            Some(folder) => note(&Path::new(&folder).join("processes"), id).map_err(|e| e.to_string()),
            None => Ok(()),
        }
    }

    /// Fills in the settings template of a machine.
    fn write_settings(&self, i: usize, is_first_start: bool) -> Result<(), String> {
        let machine = &self.machines[i];
        let template = match machine.class {
            "core" => "deploy/fleet.json",
            _ => "deploy/gateway.json",
        };
        let mut text = fs::read_to_string(template).map_err(|e| format!("{template}: {e}"))?;
        let seeds: Vec<String> = self.admin().iter().take(3).map(|a| format!("\"{a}\"")).collect();
        let data = self.folder.join(format!("data-{}", machine.name));
        let own: Vec<(&str, String)> = vec![
            ("node-name", machine.name.clone()),
            ("zone", machine.zone.clone()),
            ("port-range.0", self.ports.peer.to_string()),
            ("port-range.1", self.ports.tunnel.to_string()),
            (
                "listeners-map.front-address",
                address(machine.ip, self.ports.front).to_string(),
            ),
            (
                "listeners-map.readiness-address",
                address(machine.ip, self.ports.ready).to_string(),
            ),
            (
                "listeners-map.admin",
                address(machine.ip, self.ports.admin).to_string(),
            ),
            ("seed-nodes|json", format!("[{}]", seeds.join(","))),
            ("data-directory", data.to_string_lossy().into_owned()),
            ("bootstrap|json", is_first_start.to_string()),
        ];
        let common = FIELDS.iter().map(|(name, value)| (*name, (*value).to_owned()));
        for (name, value) in own.into_iter().chain(common) {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(format!("{template} has a field that this review does not know"));
        }
        fs::write(&machine.settings, text).map_err(|e| e.to_string())
    }
}

/// Adds the identifier of a process to a file.
fn note(file: &Path, id: u32) -> std::io::Result<()> {
    let mut file = fs::OpenOptions::new().create(true).append(true).open(file)?;
    writeln!(file, "{id}")
}

fn ip(net: [u8; 2], last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], last)
}

pub fn address(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// Ports that are free at `ip`, which the other machines of this play use as well.
fn free_ports(ip: Ipv4Addr) -> Result<Ports, String> {
    let listen = || TcpListener::bind((ip, 0)).map_err(|e| e.to_string());
    let listeners = [listen()?, listen()?, listen()?];
    let bind = || UdpSocket::bind((ip, 0)).map_err(|e| e.to_string());
    let sockets = [bind()?, bind()?];
    let port = |address: std::io::Result<SocketAddr>| address.map(|a| a.port()).map_err(|e| e.to_string());
    let ports = Ports {
        front: port(listeners[0].local_addr())?,
        ready: port(listeners[1].local_addr())?,
        admin: port(listeners[2].local_addr())?,
        peer: port(sockets[0].local_addr())?,
        tunnel: port(sockets[1].local_addr())?,
    };
    let used = [ports.front, ports.ready, ports.admin];
    match used.iter().any(|p| METRICS_PORTS.contains(p)) {
        true => Err("a drawn port is that of the metrics".to_owned()),
        false => Ok(ports),
    }
}
