//! Connections to targets that this gateway opens for other gateways.
//!
//! A tunnel passes bytes on and ends with either side. An end that is not the target's own resets the stream, so
//! that the other gateway takes no answer for complete that is not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

use super::context::Context;
use crate::adapters::clock;
use crate::adapters::http1::Cause;
use crate::adapters::memory::Shortage;
use crate::adapters::quic;
use crate::adapters::quic::Duplex;
use crate::adapters::wire;
use crate::adapters::wire::reply;
use crate::adapters::wire::request;
use crate::adapters::wire::tunneled::Status;
use crate::domain::memory::Kind;

/// Longest wait for a target; shorter than the other gateway waits for the answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes that are read at a time.
const BUFFER_BYTES: usize = 8 << 10;
/// Bytes of a tunnel that are held while its target reads slowly.
pub(super) const STREAM_WINDOW: u32 = 64 << 10;
/// Memory for which a tunnel is charged: the window, and a buffer in each direction.
const TUNNEL_BYTES: usize = STREAM_WINDOW as usize + 2 * BUFFER_BYTES;
/// Error code of a stream whose connection to the target did not end by itself.
const RESET_CODE: VarInt = VarInt::from_u32(1);

/// Counts one tunnel as open until it is dropped.
struct Open(Arc<Context>);

impl Open {
    fn new(context: &Arc<Context>) -> Self {
        let open = context.tunnels.fetch_add(1, Ordering::Relaxed) + 1;
        context.metrics.tunnels.set(open as i64);
        Open(context.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let open = self.0.tunnels.fetch_sub(1, Ordering::Relaxed) - 1;
        self.0.metrics.tunnels.set(open as i64);
    }
}

/// Sending half of a stream; it is reset unless it was finished.
struct Output {
    stream: SendStream,
    is_finished: bool,
}

impl Drop for Output {
    fn drop(&mut self) {
        if !self.is_finished {
            // Fails if the other gateway has stopped the stream.
            let _ = self.stream.reset(RESET_CODE);
        }
    }
}

/// Answers one request of another gateway, and passes bytes on if it is for a connection.
pub(super) async fn handle(context: Arc<Context>, request: wire::Request, stream: Duplex) {
    let Some(request::Kind::Tunnel(tunnel)) = request.kind else {
        return;
    };
    let mut output = Output {
        stream: stream.send,
        is_finished: false,
    };
    let _open = Open::new(&context);
    let hold = context.budgets.callers.open(Kind::Tunnel, None);
    let opened = match hold.charge(TUNNEL_BYTES).await {
        Ok(()) => connect(&context, &tunnel).await,
        Err(Shortage) => Err(Status::Busy),
    };
    let status = match &opened {
        Ok(_) => Status::Open,
        Err(status) => *status,
    };
    let reply = wire::Reply {
        kind: Some(reply::Kind::Tunneled(wire::Tunneled {
            status: status.into(),
        })),
    };
    let is_written = quic::write_frame(&mut output.stream, &reply).await.is_ok();
    match opened {
        Ok(Some(target)) if is_written => splice(target, stream.receive, output).await,
        _ => {
            output.is_finished = true;
            // Fails if the other gateway has stopped the stream.
            let _ = output.stream.finish();
        }
    }
}

/// Connects to the target, or finds whether its process has ended; no connection comes of the latter.
async fn connect(context: &Context, tunnel: &wire::Tunnel) -> Result<Option<TcpStream>, Status> {
    let is_full = context.tunnels.load(Ordering::Relaxed) > context.settings.max_tunnels as usize;
    if context.is_draining() || is_full {
        return Err(Status::Busy);
    }
    if !context.balancer().is_listed(&tunnel.target, &tunnel.address) {
        return Err(Status::Unlisted);
    }
    let address: SocketAddr = tunnel.address.parse().map_err(|_| Status::Unlisted)?;
    if context.reach().is_link_suspect(clock::now(), &tunnel.target) {
        return Err(Status::Unknown);
    }
    if tunnel.probe {
        return probe(context, &tunnel.target, address).await.map(|()| None);
    }
    match timeout(CONNECT_TIMEOUT, context.upstreams.dialer().open(address)).await {
        Ok(Ok(stream)) => Ok(Some(stream)),
        Ok(Err(error)) => Err(match Cause::from(&error) {
            Cause::Refused => Status::Refused,
            Cause::TimedOut => Status::TimedOut,
            _ => Status::Unknown,
        }),
        Err(_) => Err(Status::TimedOut),
    }
}

/// Whether the target refuses connections, which counts only if another target accepts one: a link at fault
/// may refuse all of them.
async fn probe(context: &Context, target: &str, address: SocketAddr) -> Result<(), Status> {
    let dialer = context.upstreams.dialer();
    match timeout(CONNECT_TIMEOUT, dialer.is_refused(address)).await {
        Ok(true) => {}
        Ok(false) => return Ok(()),
        Err(_) => return Err(Status::TimedOut),
    }
    let Some(other) = context.other_target(target) else {
        return Err(Status::Unknown);
    };
    match timeout(CONNECT_TIMEOUT, dialer.open(other)).await {
        Ok(Ok(_)) => Err(Status::Refused),
        _ => Err(Status::Unknown),
    }
}

/// Passes bytes on until the target has ended its side or the other gateway its one.
async fn splice(target: TcpStream, input: RecvStream, output: Output) {
    let (from_target, to_target) = target.into_split();
    tokio::select! {
        () = copy_to_target(input, to_target) => {}
        () = copy_from_target(from_target, output) => {}
    }
}

/// Returns when the other gateway has ended its side. A target may answer while it reads no more, so bytes that
/// it does not take are dropped.
async fn copy_to_target(mut input: RecvStream, mut target: OwnedWriteHalf) {
    let mut is_writable = true;
    while let Ok(Some(chunk)) = input.read_chunk(BUFFER_BYTES, true).await {
        if is_writable {
            is_writable = target.write_all(&chunk.bytes).await.is_ok();
        }
    }
}

async fn copy_from_target(mut target: OwnedReadHalf, mut output: Output) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match target.read(&mut buffer).await {
            Ok(0) => {
                output.is_finished = true;
                // Fails if the other gateway has stopped the stream.
                let _ = output.stream.finish();
                return;
            }
            Ok(length) => {
                if output.stream.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}
