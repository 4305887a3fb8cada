//! Forwarding port between two processes, which can lose, delay and cut packets.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;

/// One forwarding port.
#[derive(Clone, Debug)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    loss_percent: Arc<AtomicU64>,
    delay_ms: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Link {
    /// Opens a port that forwards to `target`, for one sender at a time.
    pub async fn open(target: SocketAddr) -> Link {
        let near = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        let far = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        far.connect(target).await.expect("a target");
        let link = Link {
            address: near.local_addr().expect("an address"),
            cut: Arc::default(),
            loss_percent: Arc::default(),
            delay_ms: Arc::default(),
            bytes: Arc::default(),
        };
        let sender: Arc<std::sync::Mutex<Option<SocketAddr>>> = Arc::default();
        let (there, back) = (link.clone(), link.clone());
        let (near_out, far_out, known) = (near.clone(), far.clone(), sender.clone());
        tokio::spawn(async move {
            let mut buffer = vec![0; 65_536];
            while let Ok((length, from)) = near.recv_from(&mut buffer).await {
                *known.lock().unwrap() = Some(from);
                let (packet, far) = (buffer[..length].to_vec(), far_out.clone());
                there.bytes.fetch_add(length as u64, Ordering::Relaxed);
                there.pass(async move {
                    let _ = far.send(&packet).await;
                });
            }
        });
        tokio::spawn(async move {
            let mut buffer = vec![0; 65_536];
            loop {
                let Ok(length) = far.recv(&mut buffer).await else {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let Some(to) = *sender.lock().unwrap() else {
                    continue;
                };
                let (packet, near) = (buffer[..length].to_vec(), near_out.clone());
                back.bytes.fetch_add(length as u64, Ordering::Relaxed);
                back.pass(async move {
                    let _ = near.send_to(&packet, to).await;
                });
            }
        });
        link
    }

    /// Bytes that came in from both sides.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.cut.store(is_cut, Ordering::Relaxed);
    }

    pub fn impair(&self, loss_percent: u64, delay_ms: u64) {
        self.loss_percent.store(loss_percent, Ordering::Relaxed);
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    fn pass(&self, send: impl Future<Output = ()> + Send + 'static) {
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
