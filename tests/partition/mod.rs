//! Gateway in the test's own process whose links to all upstreams can be cut.
#![allow(dead_code)]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use heatherramp::adapters::http1::Dialer;
use heatherramp::gateway;
use heatherramp::gateway::Daemon;
use heatherramp::settings::Gateway;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use super::site::Site;
use super::site::call;
use super::site::free_port;

/// State of a gateway's links to all upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Links {
    Open,
    /// Open connections are silent, and new ones are not established.
    Silent,
    /// Open connections are reset, and new ones refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    Refuse,
}

/// Gateway whose links to upstreams a test can cut; dropping it does not stop it.
pub struct Cut {
    pub address: SocketAddr,
    pub status: SocketAddr,
    pub daemon: Daemon,
    links: watch::Sender<Links>,
}

impl Cut {
    /// Starts a gateway of `site` and waits until it is ready.
    pub async fn start(site: &Site, name: &str) -> Cut {
        let ip = site.gateway.ip();
        let address = SocketAddr::new(ip, free_port(ip));
        let status = SocketAddr::new(ip, free_port(ip));
        let settings = json!({
            "name": name, "availability_zone": "z1", "listen": address, "listen_status": status,
            "seeds": site.controllers, "peer_port": site.peer_port(), "keys": site.keys(), "grace_s": 4.0,
        });
        let settings: Gateway = serde_json::from_value(settings).unwrap();
        let (links, state) = watch::channel(Links::Open);
        let dialer = Dialer::new(move |address| {
            let state = state.clone();
            Box::pin(async move {
                let mode = *state.borrow();
                match mode {
                    Links::Silent => std::future::pending().await,
                    Links::Reset | Links::Refuse => Err(io::ErrorKind::ConnectionRefused.into()),
                    Links::Open => through_proxy(address, state).await,
                }
            })
        });
        let daemon = gateway::run_with_dialer(settings, dialer).await.unwrap();
        let cut = Cut {
            address,
            status,
            daemon,
            links,
        };
        while call(status, "GET", "/readyz", "", &[])
            .await
            .is_none_or(|(code, _)| code != 200)
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        cut
    }

    pub fn set(&self, links: Links) {
        self.links.send_replace(links);
    }
}

/// Connects to `address` through a proxy that follows the state of the links.
async fn through_proxy(address: SocketAddr, state: watch::Receiver<Links>) -> io::Result<TcpStream> {
    let upstream = TcpStream::connect(address).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let near = TcpStream::connect(listener.local_addr()?).await?;
    let (far, _) = listener.accept().await?;
    let linger = Some(Duration::ZERO);
    SockRef::from(&far).set_linger(linger)?;
    SockRef::from(&upstream).set_linger(linger)?;
    let (far_read, far_write) = far.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let forth = copy(far_read, upstream_write, state.clone());
    let back = copy(upstream_read, far_write, state.clone());
    tokio::spawn(async move {
        let mut state = state;
        let both = async { tokio::join!(forth, back) };
        tokio::select! {
            _ = both => {}
            // Dropping the halves resets both connections.
            _ = state.wait_for(|links| *links == Links::Reset) => {}
        }
    });
    Ok(near)
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut state: watch::Receiver<Links>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) => break,
            Ok(length) => length,
            Err(_) => return,
        };
        if state.wait_for(|links| *links != Links::Silent).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
