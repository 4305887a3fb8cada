//! UDP forwarder between two processes that can drop and delay packets.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;

/// One forwarding port; clones control the same port.
#[derive(Clone, Debug)]
pub struct Link {
    /// Address that senders use instead of the target's.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    loss_percent: Arc<AtomicU64>,
    delay_ms: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Link {
    /// Opens a port that forwards to `target`; answers go to the latest sender.
    pub async fn open(target: SocketAddr) -> Link {
        let near_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        let far_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        far_socket.connect(target).await.expect("a target");
        let link = Link {
            address: near_socket.local_addr().expect("an address"),
            cut: Arc::default(),
            loss_percent: Arc::default(),
            delay_ms: Arc::default(),
            bytes: Arc::default(),
        };
        let last_sender: Arc<std::sync::Mutex<Option<SocketAddr>>> = Arc::default();
        let (forward_link, return_link) = (link.clone(), link.clone());
        let (near_output, far_output, recorded_sender) =
            (near_socket.clone(), far_socket.clone(), last_sender.clone());
        tokio::spawn(async move {
            let mut buffer = vec![0; 65_536];
            while let Ok((length, from)) = near_socket.recv_from(&mut buffer).await {
                *recorded_sender.lock().unwrap() = Some(from);
                let (packet, far_socket) = (buffer[..length].to_vec(), far_output.clone());
                forward_link.bytes.fetch_add(length as u64, Ordering::Relaxed);
                forward_link.deliver(async move {
                    let _ = far_socket.send(&packet).await;
                });
            }
        });
        tokio::spawn(async move {
            let mut buffer = vec![0; 65_536];
            loop {
                let Ok(length) = far_socket.recv(&mut buffer).await else {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let Some(to) = *last_sender.lock().unwrap() else {
                    continue;
                };
                let (packet, near_socket) = (buffer[..length].to_vec(), near_output.clone());
                return_link.bytes.fetch_add(length as u64, Ordering::Relaxed);
                return_link.deliver(async move {
                    let _ = near_socket.send_to(&packet, to).await;
                });
            }
        });
        link
    }

    /// Bytes received from both sides, including those of dropped packets.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Drops all packets in both directions while `is_cut`.
    pub fn set_cut(&self, is_cut: bool) {
        self.cut.store(is_cut, Ordering::Relaxed);
    }

    /// Sets the percentage of packets that are dropped at random, and the delay of all others.
    pub fn impair(&self, loss_percent: u64, delay_ms: u64) {
        self.loss_percent.store(loss_percent, Ordering::Relaxed);
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Runs `send` after the delay, unless the packet is dropped.
    fn deliver(&self, send: impl Future<Output = ()> + Send + 'static) {
        let lost = rand::random_range(0..100) < self.loss_percent.load(Ordering::Relaxed);
        if self.cut.load(Ordering::Relaxed) || lost {
            return;
        }
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::Relaxed));
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            send.await;
        });
    }
}
