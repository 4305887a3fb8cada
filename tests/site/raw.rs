//! Upstream of a plain service that answers with bytes given by the test, at the level of TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// What a raw upstream does next on a connection.
#[derive(Clone, Debug)]
pub enum Step {
    Send(String),
    Pause(Duration),
    /// Repeats the text until the peer closes the connection.
    SendWithoutEnd(String, Duration),
    Close,
    Reset,
}

type Script = dyn Fn(&str) -> Vec<Step> + Send + Sync;

/// Raw upstream; clones share its records.
#[derive(Clone)]
pub struct Upstream {
    pub address: SocketAddr,
    /// Head of each request, in lower case.
    pub heads: Arc<Mutex<Vec<String>>>,
    /// Bytes sent to peers, as far as their connections took them.
    pub bytes_sent: Arc<Mutex<usize>>,
    script: Arc<Script>,
}

impl Upstream {
    /// Starts an upstream that answers each request with the steps that `script` gives for its head.
    pub async fn start(script: impl Fn(&str) -> Vec<Step> + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Upstream {
            address: listener.local_addr().unwrap(),
            heads: Arc::default(),
            bytes_sent: Arc::default(),
            script: Arc::new(script),
        };
        let acceptor = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().serve(stream));
            }
        });
        upstream
    }

    pub fn request_count(&self) -> usize {
        self.heads.lock().unwrap().len()
    }

    /// Answers requests on a connection until either side closes it.
    async fn serve(self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            self.heads.lock().unwrap().push(head.clone());
            for step in (self.script)(&head) {
                if self.perform(&mut stream, step).await.is_none() {
                    return;
                }
            }
        }
    }

    /// Performs one step; returns none when the connection ends with it.
    async fn perform(&self, stream: &mut TcpStream, step: Step) -> Option<()> {
        match step {
            Step::Send(text) => self.send(stream, &text).await?,
            Step::Pause(time) => tokio::time::sleep(time).await,
            Step::SendWithoutEnd(text, pause) => loop {
                self.send(stream, &text).await?;
                if !pause.is_zero() {
                    tokio::time::sleep(pause).await;
                }
            },
            Step::Close => return None,
            Step::Reset => {
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                return None;
            }
        }
        Some(())
    }

    async fn send(&self, stream: &mut TcpStream, text: &str) -> Option<()> {
        stream.write_all(text.as_bytes()).await.ok()?;
        *self.bytes_sent.lock().unwrap() += text.len();
        Some(())
    }
}

/// Reads one request with its body; returns its head in lower case.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let length = header(&head, "content-length").and_then(|v| v.parse().ok());
    while bytes.len() < head_end + length.unwrap_or(0) {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Value of a header in a head in lower case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}
