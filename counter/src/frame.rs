//! Frames between the nodes: length and CRC-32 checksum, four bytes each, little endian, and the encoded value.
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, ErrorKind, Read};

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;
/// Maximum length of a frame, bytes: four times the largest record of the log, because a frame has to hold a complete snapshot.
const MAX_FRAME_BYTES: usize = 256 << 20;

/// The reason why a frame could not be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The length in the header exceeds the maximum.
    #[error("frame too long")]
    TooLong,
    /// The body does not match its checksum.
    #[error("checksum")]
    ChecksumMismatch,
    /// The body is not an encoded value of the expected type.
    #[error("frame has an unexpected type")]
    Undecodable,
}

/// Appends a value as a frame.
pub fn encode<T: Serialize>(value: &T, out: &mut Vec<u8>) {
    let body = postcard::to_stdvec(value).expect("plain data can be encoded");
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
}

/// Reads the next frame; `None` at the end of the stream, even within a frame.
pub fn read<T: DeserializeOwned>(reader: &mut impl Read) -> Result<Option<T>, FrameError> {
    let mut header = [0; HEADER_BYTES];
    match reader.read_exact(&mut header) {
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(None),
        result => result?,
    }
    let u32_at = |offset: usize| {
        u32::from_le_bytes([header[offset], header[offset + 1], header[offset + 2], header[offset + 3]])
    };
    let length = u32_at(0) as usize;
    let checksum = u32_at(LENGTH_BYTES);
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    let mut body = vec![];
    if reader.by_ref().take(length as u64).read_to_end(&mut body)? < length {
        return Ok(None);
    }
    if crc32fast::hash(&body) != checksum {
        return Err(FrameError::ChecksumMismatch);
    }
    postcard::from_bytes(&body).map(Some).map_err(|_| FrameError::Undecodable)
}
