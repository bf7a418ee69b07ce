//! Encoding of frames, and decoding of a byte stream into frames.
use super::{Frame, MAX_BATCH_ENTRIES, MAX_PEER_MESSAGES};
use thiserror::Error;

/// Bytes of the length that precedes each frame's body.
const LENGTH_BYTES: usize = 2;

/// Why bytes are not a valid frame.
#[derive(Debug, Error, PartialEq)]
pub enum WireError {
    /// The body, of this many bytes, cannot be decoded.
    #[error("a frame of {0} bytes can't be read")]
    Malformed(usize),
    /// The frame holds this many entries or messages, more than allowed.
    #[error("a frame holds {0} entries, more than allowed")]
    TooManyEntries(usize),
}

/// Encodes a frame, its length included.
///
/// # Panics
/// If the frame holds more than [`MAX_BATCH_ENTRIES`] or [`MAX_PEER_MESSAGES`]: the state machines never build one.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes = postcard::to_extend(frame, bytes).expect("a vector takes all bytes");
    let length = u16::try_from(bytes.len() - LENGTH_BYTES).expect("entries are bounded");
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Splits a byte stream, which arrives in arbitrary pieces, into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
}

impl FrameDecoder {
    /// Appends received bytes; call [`FrameDecoder::next_frame`] until it returns `None`.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`WireError`] if the next frame is invalid; the stream cannot be decoded any further.
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
