//! Calls that other entries forward to this entry as the owner of replicas.

use std::sync::Arc;

use super::context::Context;
use super::execute::execute;
use crate::adapters::quic;
use crate::adapters::quic::Stream;
use crate::adapters::wire;
use crate::adapters::wire::request::Kind;

/// Answers one forwarded call; the call is cancelled when the other entry stops the stream.
pub(super) async fn handle(context: Arc<Context>, request: wire::Request, mut stream: Stream) {
    let Some(Kind::Forward(forward)) = request.kind else {
        let _ = stream.reset(0u8.into());
        return;
    };
    let mut frames = execute(context, forward);
    loop {
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            _ = stream.stopped() => return,
        };
        let Some(frame) = frame else {
            break;
        };
        if quic::write_frame(&mut stream, &frame).await.is_err() {
            return;
        }
    }
    let _ = stream.finish();
}
