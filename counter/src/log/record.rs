//! Records of the log on disk: length and CRC-32 checksum, four bytes each, little endian, and the encoded value.
use super::{Entry, HardState};
use crate::{Damage, Error, Result};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;
/// Maximum length of a record, bytes; a longer record is treated as damage. A log file grows to this size before a snapshot
/// replaces it.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// A change of the persistent state. The encoding follows the order of the variants, which must not change.
#[derive(Serialize, Deserialize)]
pub(super) enum Record<C> {
    /// An entry is appended.
    Entry(Entry<C>),
    /// The term and vote are replaced.
    HardState(HardState),
    /// The entries from this index on are truncated.
    TruncateFrom(u64),
}

/// A record whose checksum matches.
pub(super) struct Located<'a> {
    /// The encoded value.
    pub body: &'a [u8],
    /// Offset at which the next record begins, bytes.
    pub end: usize,
}

/// Encodes a value as a record.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).expect("plain data can be encoded");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(checksum(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Returns the record at an offset; `None` if it is incomplete or its checksum does not match.
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

/// Decodes a body; `file` and `offset` locate it in the error.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8], file: &str, offset: usize) -> Result<T> {
    postcard::from_bytes(body).map_err(|_| Error::Corrupt {
        file: file.to_owned(),
        offset: offset as u64,
        reason: Damage::WrongType,
    })
}

/// Returns the checksum of a body, which also covers its length.
fn checksum(body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + size_of::<u32>())?;
    field.try_into().ok().map(u32::from_le_bytes)
}
