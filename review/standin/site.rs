//! Processes of the system, started with the commands and the settings templates of the deploy file.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use super::Fault;
use super::http;
use super::note;
use super::sleep_ms;
use super::wait_for;

/// Machine with one process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub is_core: bool,
    child: Option<Child>,
}

/// Deployment on loopback addresses; all its processes end when it is dropped.
pub struct Site {
    folder: PathBuf,
    pub machines: Vec<Machine>,
    /// Second and third number of all addresses.
    net: (u8, u8),
    pub admin_port: u16,
    pub front_port: u16,
    pub ready_port: u16,
    /// Ports for communication between machines.
    pub ports: (u16, u16),
    bootstrap: bool,
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
    }
}

/// Port that is free for TCP and UDP on `ip`.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    loop {
        let Ok(tcp) = TcpListener::bind((ip, 0)) else {
            continue;
        };
        let port = tcp.local_addr().unwrap().port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

impl Site {
    /// Deployment without processes.
    pub fn new() -> Site {
        let id = std::process::id();
        let net = (20 + (id / 200 % 200) as u8, 1 + (id % 200) as u8);
        let folder = std::env::temp_dir().join(format!("heatherramp-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let any = Ipv4Addr::new(127, net.0, net.1, 1);
        Site {
            folder,
            machines: Vec::new(),
            net,
            admin_port: free_port(any),
            front_port: free_port(any),
            ready_port: free_port(any),
            ports: (free_port(any), free_port(any)),
            bootstrap: true,
        }
    }

    /// Next address of the deployment.
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    pub fn add(&mut self, name: &str, zone: &'static str, is_core: bool) {
        let ip = self.ip(self.machines.len() as u8 + 1);
        self.machines.push(Machine {
            name: name.to_owned(),
            ip,
            zone,
            is_core,
            child: None,
        });
    }

    pub fn index(&self, name: &str) -> usize {
        self.machines
            .iter()
            .position(|m| m.name == name)
            .expect("a machine")
    }

    pub fn core(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|i| self.machines[*i].is_core)
            .collect()
    }

    pub fn admin(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.machines[index].ip, self.admin_port))
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.machines[index].ip, self.front_port))
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.machines[index].ip, self.ready_port))
    }

    fn metrics_port(&self, index: usize) -> u16 {
        if self.machines[index].is_core { 9465 } else { 9464 }
    }

    /// Fills the settings template of the machine's role.
    fn settings(&self, index: usize) -> Result<String, Fault> {
        let machine = &self.machines[index];
        let path = if machine.is_core {
            "deploy/fleet.json"
        } else {
            "deploy/gateway.json"
        };
        let mut text = fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        let seeds: Vec<String> = self
            .core()
            .iter()
            .take(3)
            .map(|i| format!("\"{}\"", self.admin(*i)))
            .collect();
        let fields = [
            ("node-name", machine.name.clone()),
            ("zone", machine.zone.to_owned()),
            ("region", "south-east".to_owned()),
            ("data-directory", self.data_folder(index).display().to_string()),
            ("bootstrap|json", self.bootstrap.to_string()),
            ("listeners-map.admin", self.admin(index).to_string()),
            ("listeners-map.front-address", self.front(index).to_string()),
            ("listeners-map.readiness-address", self.ready(index).to_string()),
            ("seed-nodes|json", format!("[{}]", seeds.join(","))),
            ("port-range.0", self.ports.0.to_string()),
            ("port-range.1", self.ports.1.to_string()),
            ("fault-tolerance.machine-faults", "2".to_owned()),
            ("heartbeat-ms", "1200".to_owned()),
            ("bounds.stall-ms", "4000".to_owned()),
            ("bounds.revocation-ms", "5000".to_owned()),
            ("bounds.grace-period-s", "8".to_owned()),
            ("bounds.retry-budget-ratio", "0.2".to_owned()),
            ("bounds.retry-min-extra", "130".to_owned()),
            ("bounds.retry-window-s", "10".to_owned()),
        ];
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        match text.find("{{") {
            Some(at) => Err(format!(
                "{path}: no value for {}",
                &text[at..(at + 30).min(text.len())]
            )),
            None => Ok(text),
        }
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, index: usize) -> Result<(), Fault> {
        let settings = self.settings(index)?;
        let name = self.machines[index].name.clone();
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).map_err(|e| e.to_string())?;
        let program = if self.machines[index].is_core {
            "heatherramp-fleet"
        } else {
            "heatherramp-gateway"
        };
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let child = Command::new(format!("target/release/{program}"))
            .env("HEATHERRAMP_SETTINGS", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|e| e.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|e| format!("{program}: {e}"))?;
        self.machines[index].child = Some(child);
        Ok(())
    }

    /// Process id of a machine's process.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.machines[index].child.as_ref().map(Child::id)
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.machines[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to the process of a machine and waits until it has ended.
    pub fn terminate(&mut self, index: usize) -> Result<(), Fault> {
        let Some(mut child) = self.machines[index].child.take() else {
            return Err("no process to stop".to_owned());
        };
        let sent = Command::new("kill")
            .arg("-TERM")
            .arg(child.id().to_string())
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            let _ = child.kill();
            return Err("SIGTERM could not be sent".to_owned());
        }
        child.wait().map_err(|e| e.to_string())?;
        Ok(())
    }

    /// Removes the data folder of a machine whose process does not run.
    pub fn wipe(&self, index: usize) -> Result<(), Fault> {
        fs::remove_dir_all(self.data_folder(index)).map_err(|e| e.to_string())
    }

    fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{}", self.machines[index].name))
    }

    /// Log lines of a machine that contain `text`.
    pub fn log_lines(&self, index: usize, text: &str) -> Vec<String> {
        let path = self.folder.join(format!("{}.log", self.machines[index].name));
        let log = fs::read_to_string(path).unwrap_or_default();
        log.lines()
            .filter(|l| l.contains(text))
            .map(str::to_owned)
            .collect()
    }

    /// Starts all machines of the core and waits until all of them vote.
    pub fn start_core(&mut self) -> Result<(), Fault> {
        for index in self.core() {
            self.start(index)?;
        }
        self.wait_for_core()
    }

    /// Waits until the core has a leader and all its machines vote.
    pub fn wait_for_core(&self) -> Result<(), Fault> {
        let count = self.core().len() as f64;
        wait_for("all machines of the core vote", 30_000, || {
            let leader = self.leader()?;
            (self.metric(leader, "heatherramp_fleet_voters") == Some(count)).then_some(())
        })?;
        // What the promotion of the last voter sets in motion.
        sleep_ms(1_000);
        Ok(())
    }

    /// Restarts the core behind other ports for the machines' own traffic; the identities stay.
    pub fn restart_core(&mut self, ports: (u16, u16)) -> Result<(), Fault> {
        for index in self.core() {
            self.kill(index);
        }
        self.ports = ports;
        self.bootstrap = false;
        for index in self.core() {
            self.start(index)?;
        }
        Ok(())
    }

    /// Marks the first start as over: processes that start from now on find `bootstrap` false.
    pub fn end_bootstrap(&mut self) {
        self.bootstrap = false;
    }

    /// Value of a metric of a machine.
    pub fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let address = SocketAddr::from((self.machines[index].ip, self.metrics_port(index)));
        let (answer, _) = http::call(address, "GET", "/metrics", &[], "", 300)?;
        let text = answer.text();
        let line = text.lines().find(|l| l.starts_with(&format!("{name} ")))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Machine of the core that leads with a valid lease.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| {
            self.machines[*i].child.is_some() && self.metric(*i, "heatherramp_fleet_leads") == Some(1.0)
        };
        self.core().into_iter().find(leads)
    }

    /// Sends an order of the operator to the core until it is acknowledged.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> Result<(), Fault> {
        let core = self.core();
        let mut turn = 0;
        wait_for(&format!("{method} {path} acknowledged"), 15_000, || {
            turn += 1;
            let node = core[turn % core.len()];
            let (answer, _) = http::call(self.admin(node), method, path, &[], body, 1_000)?;
            note(format!(
                "operator: {method} {path} at {}: {}",
                self.machines[node].name,
                answer.status()
            ));
            (answer.status() == 200).then_some(())
        })
    }
}
