//! Encodes frames, and decodes a byte stream into frames.
use super::{Frame, MAX_BATCH_ENTRIES, MAX_PEER_MESSAGES};
use thiserror::Error;

/// Size in bytes of the length field that precedes the body of each frame.
const LENGTH_BYTES: usize = 2;

/// Error for bytes that are not a valid frame.
#[derive(Debug, Error, PartialEq)]
pub enum WireError {
    /// The body, which has this size in bytes, cannot be decoded.
    #[error("cannot decode a frame body of {0} bytes")]
    Malformed(usize),
    /// The frame contains this number of entries or messages, which exceeds the limit.
    #[error("a frame contains {0} entries or messages, which exceeds the limit")]
    TooManyEntries(usize),
}

/// Encodes a frame, including its length field.
///
/// # Panics
/// Panics if the body exceeds the 65,535 bytes that the length field can express. This never happens with up
/// to [`MAX_BATCH_ENTRIES`] or [`MAX_PEER_MESSAGES`], which the state machines do not exceed.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes = postcard::to_extend(frame, bytes).expect("encoding into a vector never runs out of space");
    let length = u16::try_from(bytes.len() - LENGTH_BYTES)
        .expect("a frame within the entry limits fits its length field");
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Decodes frames from a byte stream that arrives in arbitrary pieces.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
}

impl FrameDecoder {
    /// Appends received bytes. The caller then calls [`FrameDecoder::next_frame`] until it returns `None`.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns [`WireError`] if the next frame is invalid. The rest of the stream cannot be decoded then.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, WireError> {
        let Some((length, rest)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::from(u16::from_le_bytes(*length));
        let Some(body) = rest.get(..length) else { return Ok(None) };
        let frame = decode_body(body)?;
        self.buffer.drain(..LENGTH_BYTES + length);
        Ok(Some(frame))
    }
}

fn decode_body(body: &[u8]) -> Result<Frame, WireError> {
    let malformed = || WireError::Malformed(body.len());
    let (frame, rest) = postcard::take_from_bytes::<Frame>(body).map_err(|_| malformed())?;
    if !rest.is_empty() {
        return Err(malformed());
    }
    check_entry_count(&frame)?;
    Ok(frame)
}

fn check_entry_count(frame: &Frame) -> Result<(), WireError> {
    let (count, limit) = match frame {
        Frame::Hello { .. } => return Ok(()),
        Frame::Batch { entries, .. } => (entries.len(), MAX_BATCH_ENTRIES),
        Frame::BatchResponse { responses, .. } => (responses.len(), MAX_BATCH_ENTRIES),
        Frame::Peer { messages, .. } => (messages.len(), MAX_PEER_MESSAGES),
    };
    if count > limit {
        return Err(WireError::TooManyEntries(count));
    }
    Ok(())
}
