//! Records of the log on disk: length and checksum, four bytes each, little endian, and the encoded value.
use super::{Entry, HardState};
use crate::{Error, Result};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;
/// A longer record is taken for damage; as large as a log file grows before a snapshot replaces it.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// A change of the persistent state.
#[derive(Serialize, Deserialize)]
pub(super) enum Record<C> {
    Entry(Entry<C>),
    HardState(HardState),
    /// Entries from this index on no longer hold.
    TruncateFrom(u64),
}

/// The body of a record, and where the next record begins.
pub(super) struct Located<'a> {
    pub body: &'a [u8],
    pub end: usize,
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).expect("plain data can be encoded");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(checksum(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// The record that begins at an offset, if there is one and it is whole.
pub(super) fn locate(bytes: &[u8], offset: usize) -> Option<Located<'_>> {
    let length = read_u32(bytes, offset)? as usize;
    let expected = read_u32(bytes, offset + LENGTH_BYTES)?;
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let begin = offset + HEADER_BYTES;
    let end = begin + length;
    let body = bytes.get(begin..end)?;
    (checksum(body) == expected).then_some(Located { body, end })
}

/// Decodes a body; `file` and `offset` say in the error where it stands.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8], file: &str, offset: usize) -> Result<T> {
    postcard::from_bytes(body).map_err(|_| Error::Corrupt {
        file: file.to_owned(),
        offset: offset as u64,
        reason: "it is of another kind",
    })
}

/// The length is part of what the checksum covers.
fn checksum(body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let word = bytes.get(offset..offset + 4)?;
    word.try_into().ok().map(u32::from_le_bytes)
}
