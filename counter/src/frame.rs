//! Frames between the nodes: length and checksum, four bytes each, little endian, and the encoded value.
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{Error, ErrorKind, Read, Result};

const HEADER_BYTES: usize = 8;
/// The longest frame: a whole state has to fit, so four times the largest record of the log.
const MAX_FRAME_BYTES: usize = 256 << 20;

/// Appends a value as a frame.
pub fn encode<T: Serialize>(value: &T, out: &mut Vec<u8>) {
    let body = postcard::to_stdvec(value).expect("plain data can be encoded");
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
}

/// Reads the next frame; none at the end of the stream.
pub fn read<T: DeserializeOwned>(reader: &mut impl Read) -> Result<Option<T>> {
    let mut header = [0; HEADER_BYTES];
    match reader.read_exact(&mut header) {
        Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(None),
        result => result?,
    }
    let word = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let length = word(0) as usize;
    let checksum = word(4);
    if length > MAX_FRAME_BYTES {
        return Err(invalid("frame too long"));
    }
    let mut body = vec![];
    if reader.by_ref().take(length as u64).read_to_end(&mut body)? < length {
        return Ok(None);
    }
    if crc32fast::hash(&body) != checksum {
        return Err(invalid("checksum"));
    }
    postcard::from_bytes(&body).map(Some).map_err(|_| invalid("no message"))
}

fn invalid(reason: &str) -> Error {
    Error::new(ErrorKind::InvalidData, reason)
}
