//! Frames on a QUIC stream: length in 4 bytes (big-endian), then the protobuf message.

use error_stack::Report;
use prost::Message;
use quinn::RecvStream;
use quinn::SendStream;

use super::Error;
use crate::adapters::wire::MAX_FRAME_BYTES;

/// Reads one frame; `None` when the peer finished the stream after a whole frame.
///
/// # Errors
///
/// `Broken` when the stream breaks off, `Malformed` for a frame that is too long or unreadable.
pub async fn read_frame<M: Message + Default>(stream: &mut RecvStream) -> Result<Option<M>, Report<Error>> {
    let mut header = [0; 4];
    match stream.read_exact(&mut header).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(_) => return Err(Report::new(Error::Broken)),
    }
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Report::new(Error::Malformed));
    }
    let mut body = vec![0; length];
    let read = stream.read_exact(&mut body).await;
    read.map_err(|_| Report::new(Error::Broken))?;
    let message = M::decode(body.as_slice());
    message.map(Some).map_err(|_| Report::new(Error::Malformed))
}

/// Writes one frame.
///
/// # Errors
///
/// `Broken` when the stream breaks off.
pub async fn write_frame<M: Message>(stream: &mut SendStream, message: &M) -> Result<(), Report<Error>> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(4 + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    bytes.extend_from_slice(&message.encode_to_vec());
    let written = stream.write_all(&bytes).await;
    written.map_err(|_| Report::new(Error::Broken))
}
