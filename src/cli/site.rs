//! Site: one small installation of the system, whose processes all listen on loopback addresses.
//!
//! The demo runs it in one process; tests and benchmarks run its daemons as
//! separate processes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;

use crate::adapters::quic;
use crate::domain::environment;
use crate::settings::Control;
use crate::settings::Entry;
use crate::settings::Operator;
use crate::settings::Peer;

/// Key of the only operator.
const OPERATOR_KEY: &str = "demo-operator-key";

/// Range from which ports are drawn, below the ephemeral ports of Linux.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;
/// Maximum number of random ports to try.
const MAX_PORT_TRIES: usize = 1_000;

/// Settings of all control and entry processes of one installation.
#[derive(Clone, Debug)]
pub struct Site {
    /// Folder for keys, data and settings files.
    pub folder: PathBuf,
    /// Control processes.
    pub controls: Vec<Control>,
    /// Entries, spread over the availability zones.
    pub entries: Vec<Entry>,
    /// Availability zones.
    pub zones: Vec<String>,
}

impl Site {
    /// Writes new keys to `folder` and creates settings with these keys, free ports and the paths of data
    /// folders that are still to be created.
    ///
    /// # Errors
    ///
    /// The reason as text, if the keys cannot be written or no free port is found.
    pub fn new(folder: &Path, controls: usize, entries: usize, zones: &[&str]) -> Result<Self, String> {
        let keys_folder = folder.join("keys");
        quic::make_keys(&keys_folder).map_err(|report| format!("{report:?}"))?;
        let file = |name: &str| keys_folder.join(name).display().to_string();
        let keys = quic::Keys {
            authority: file("authority.pem"),
            certificate: file("node.pem"),
            key: file("node.key"),
        };
        let zones: Vec<String> = zones.iter().map(|z| (*z).to_owned()).collect();
        let mut ports = Ports::default();
        let addresses = (0..controls)
            .map(|_| ports.udp_address())
            .collect::<Result<Vec<_>, _>>()?;
        let peer = |(i, address): (usize, &SocketAddr)| Peer {
            name: format!("c{}", i + 1),
            address: address.to_string(),
        };
        let peers: Vec<Peer> = addresses.iter().enumerate().map(peer).collect();
        let operators = vec![Operator {
            name: "demo".to_owned(),
            key_digest: environment::digest_key(OPERATOR_KEY),
        }];
        let mut site = Site {
            folder: folder.to_owned(),
            controls: Vec::new(),
            entries: Vec::new(),
            zones: zones.clone(),
        };
        for (i, listen_peer) in addresses.into_iter().enumerate() {
            site.controls.push(Control {
                name: peers[i].name.clone(),
                listen_peer,
                listen_http: ports.tcp_address()?,
                data_folder: folder.join(&peers[i].name).display().to_string(),
                control: peers.clone(),
                availability_zones: zones.clone(),
                operators: operators.clone(),
                keys: keys.clone(),
                ..Control::default()
            });
        }
        for i in 0..entries {
            site.entries.push(Entry {
                name: format!("e{}", i + 1),
                availability_zone: zones[i % zones.len()].clone(),
                listen_http: ports.tcp_address()?,
                listen_peer: ports.udp_address()?,
                control: peers.clone(),
                keys: keys.clone(),
                ..Entry::default()
            });
        }
        Ok(site)
    }

    /// Key of the only operator.
    pub fn operator_key() -> &'static str {
        OPERATOR_KEY
    }

    /// HTTP addresses of the control processes.
    pub fn control_addresses(&self) -> Vec<String> {
        self.controls.iter().map(|c| c.listen_http.to_string()).collect()
    }
}

/// Draws of free ports, none of which is drawn twice.
#[derive(Default)]
struct Ports {
    drawn: HashSet<u16>,
}

impl Ports {
    fn tcp_address(&mut self) -> Result<SocketAddr, String> {
        self.address(|address| TcpListener::bind(address).map(drop))
    }

    fn udp_address(&mut self) -> Result<SocketAddr, String> {
        self.address(|address| UdpSocket::bind(address).map(drop))
    }

    /// Draws a loopback address that `bind` accepts.
    ///
    /// Its port is outside the range from which the operating system takes ports for outgoing
    /// connections and for port 0, so that it is unlikely to be taken before the process binds it.
    fn address(&mut self, bind: impl Fn(SocketAddr) -> std::io::Result<()>) -> Result<SocketAddr, String> {
        for _ in 0..MAX_PORT_TRIES {
            let address = SocketAddr::from(([127, 0, 0, 1], rand::random_range(PORT_RANGE)));
            if self.drawn.insert(address.port()) && bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err("no free port".to_owned())
    }
}
