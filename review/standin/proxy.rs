//! UDP proxies between the machines of the core, which can cut one machine off from the others.
//!
//! Each proxy has the address under which a machine is known to the others, and passes datagrams on to
//! the port on which the machine listens. Senders are told apart by the port of their socket.

use std::collections::HashMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use super::Fault;

#[derive(Default)]
struct State {
    /// Machine by the port of its sockets.
    owners: HashMap<u16, usize>,
    /// Machine that is cut off from the others.
    cut: Option<usize>,
    /// Datagrams dropped because of the cut.
    dropped: u64,
}

/// Proxies in front of all machines of the core; clones share them.
#[derive(Clone, Default)]
pub struct Proxies(Arc<Mutex<State>>);

impl Proxies {
    /// Opens the proxy of machine `owner` at `ip`: from port `known` to port `actual`.
    pub fn open(&self, owner: usize, ip: Ipv4Addr, known: u16, actual: u16) -> Result<(), Fault> {
        let near = UdpSocket::bind((ip, known)).map_err(|e| format!("proxy: {e}"))?;
        let state = self.0.clone();
        thread::spawn(move || {
            let near = Arc::new(near);
            let mut far_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
            let mut buffer = vec![0; 65_536];
            while let Ok((length, from)) = near.recv_from(&mut buffer) {
                let far = far_sockets.entry(from).or_insert_with(|| {
                    let far = Arc::new(UdpSocket::bind((ip, 0)).expect("a port"));
                    far.connect((ip, actual)).expect("a loopback address");
                    let (state, far_input, near) = (state.clone(), far.clone(), near.clone());
                    thread::spawn(move || return_datagrams(&state, owner, from, &far_input, &near));
                    far
                });
                if passes(&state, owner, from.port()) {
                    let _ = far.send(&buffer[..length]);
                }
            }
        });
        Ok(())
    }

    /// Learns which sockets belong to the processes, by machine and process id.
    pub fn learn(&self, processes: &[(usize, u32)]) {
        let table = fs::read_to_string("/proc/self/net/udp").unwrap_or_default();
        let mut ports: HashMap<String, u16> = HashMap::new();
        for line in table.lines().skip(1) {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let port = fields.get(1).and_then(|a| a.rsplit(':').next());
            let port = port.and_then(|p| u16::from_str_radix(p, 16).ok());
            if let (Some(port), Some(inode)) = (port, fields.get(9)) {
                ports.insert((*inode).to_owned(), port);
            }
        }
        let mut owners = HashMap::new();
        for (machine, pid) in processes {
            let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else {
                continue;
            };
            for file in files.flatten() {
                let Ok(link) = fs::read_link(file.path()) else {
                    continue;
                };
                let link = link.display().to_string();
                let inode = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']'));
                if let Some(port) = inode.and_then(|i| ports.get(i)) {
                    owners.insert(*port, *machine);
                }
            }
        }
        self.0.lock().unwrap().owners = owners;
    }

    /// Cuts a machine off from the others, or none.
    pub fn cut(&self, machine: Option<usize>) {
        self.0.lock().unwrap().cut = machine;
    }

    /// Datagrams dropped so far.
    pub fn dropped(&self) -> u64 {
        self.0.lock().unwrap().dropped
    }
}

fn return_datagrams(state: &Mutex<State>, owner: usize, to: SocketAddr, far: &UdpSocket, near: &UdpSocket) {
    let mut buffer = vec![0; 65_536];
    loop {
        match far.recv(&mut buffer) {
            Ok(length) if passes(state, owner, to.port()) => {
                let _ = near.send_to(&buffer[..length], to);
            }
            Ok(_) => {}
            // The machine's process is not listening at the moment.
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
}

/// Whether a datagram between machine `owner` and the socket with port `port` passes.
fn passes(state: &Mutex<State>, owner: usize, port: u16) -> bool {
    let mut state = state.lock().unwrap();
    let Some(cut) = state.cut else {
        return true;
    };
    let sender = state.owners.get(&port).copied();
    let is_cut = sender != Some(owner) && (owner == cut || sender == Some(cut));
    state.dropped += u64::from(is_cut);
    !is_cut
}
