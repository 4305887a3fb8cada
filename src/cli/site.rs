//! A small site on loopback addresses: settings of its processes.
//!
//! The demo runs it in one process; tests and measurements run its daemons as
//! processes of their own.

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

/// Key of the site's only operator.
const OPERATOR_KEY: &str = "demo-operator-key";

/// Ports from which a site takes its own.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Ports tried before giving up.
const MAX_TRIES: usize = 1_000;

/// Settings of a site.
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
    /// Site with free ports, new keys and new data folders in `folder`.
    ///
    /// # Errors
    ///
    /// The I/O error of the folder or of finding ports, as text.
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
        let addresses = (0..controls).map(|_| free_udp()).collect::<Result<Vec<_>, _>>()?;
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
                listen_http: free_tcp()?,
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
                listen_http: free_tcp()?,
                listen_peer: free_udp()?,
                control: peers.clone(),
                keys: keys.clone(),
                ..Entry::default()
            });
        }
        Ok(site)
    }

    /// Key of the site's operator.
    pub fn operator_key() -> &'static str {
        OPERATOR_KEY
    }

    /// HTTP addresses of the control processes.
    pub fn control_addresses(&self) -> Vec<String> {
        self.controls.iter().map(|c| c.listen_http.to_string()).collect()
    }
}

fn free_tcp() -> Result<SocketAddr, String> {
    free(|address| TcpListener::bind(address).map(drop))
}

fn free_udp() -> Result<SocketAddr, String> {
    free(|address| UdpSocket::bind(address).map(drop))
}

/// Loopback address that `bind` accepts, outside the range from which the operating
/// system takes ports for outgoing connections and for port 0.
fn free(bind: impl Fn(SocketAddr) -> std::io::Result<()>) -> Result<SocketAddr, String> {
    for _ in 0..MAX_TRIES {
        let address = SocketAddr::from(([127, 0, 0, 1], rand::random_range(PORTS)));
        if bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".to_owned())
}
