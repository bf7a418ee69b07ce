//! Decoding of event frames.
use super::{seconds, FrameError, Record, EVENT_BYTES};
use std::io::{self, ErrorKind, Read};

/// Size of the header of an event frame, in bytes.
const HEADER_BYTES: usize = 16;

/// The events of one point in simulated time.
#[derive(Debug)]
pub struct Batch {
    /// Number of records.
    records: usize,
    /// Time of the simulator's clock, in microseconds.
    clock: u64,
    /// The records, followed by the tail.
    body: Vec<u8>,
}

/// The header of a frame.
struct Header {
    /// Number of records.
    records: usize,
    /// Length of the frame including its header, in bytes.
    length: usize,
    /// Time of the simulator's clock, in microseconds.
    clock: u64,
}

impl Header {
    fn decode(bytes: [u8; HEADER_BYTES]) -> Header {
        let u32_at =
            |offset: usize| u32::from_le_bytes(bytes[offset..offset + 4].try_into().expect("four bytes"));
        Header {
            records: u32_at(0) as usize,
            length: u32_at(4) as usize,
            clock: u64::from_le_bytes(bytes[8..16].try_into().expect("eight bytes")),
        }
    }
}

/// Reads one frame; returns `None` at the end of the input. The outer error is an I/O error or a truncated frame. The inner error is
/// a complete but malformed frame, after which reading can continue.
pub fn read(input: &mut impl Read) -> io::Result<Option<Result<Batch, FrameError>>> {
    let Some(Header { records, length, clock }) = read_header(input)? else { return Ok(None) };
    if length < HEADER_BYTES {
        return Ok(Some(Err(FrameError::FrameLength { length, header: HEADER_BYTES })));
    }
    let body_length = length - HEADER_BYTES;
    let mut body = Vec::new();
    input.take(body_length as u64).read_to_end(&mut body)?;
    if body.len() < body_length {
        let received = body.len() + HEADER_BYTES;
        return Err(truncated(format!("truncated frame: received {received} of {length} bytes")));
    }
    if records.checked_mul(EVENT_BYTES).is_none_or(|bytes| bytes > body.len()) {
        let capacity = body.len() / EVENT_BYTES;
        return Ok(Some(Err(FrameError::RecordCount { announced: records, capacity })));
    }
    Ok(Some(Ok(Batch { records, clock, body })))
}

fn read_header(input: &mut impl Read) -> io::Result<Option<Header>> {
    let mut header = [0u8; HEADER_BYTES];
    let mut received = 0;
    while received < HEADER_BYTES {
        match input.read(&mut header[received..])? {
            0 if received == 0 => return Ok(None),
            0 => {
                return Err(truncated(format!(
                    "truncated frame header: received {received} of {HEADER_BYTES} bytes"
                )))
            }
            read => received += read,
        }
    }
    Ok(Some(Header::decode(header)))
}

fn truncated(message: String) -> io::Error {
    io::Error::new(ErrorKind::UnexpectedEof, message)
}

impl Batch {
    /// Returns the time of the simulator's clock, in seconds.
    pub(crate) fn now(&self) -> f64 {
        seconds(self.clock)
    }

    /// Returns the event records, in order.
    pub(crate) fn records(&self) -> impl Iterator<Item = Record<'_>> {
        let (records, tail) = self.body.split_at(self.records * EVENT_BYTES);
        records.chunks_exact(EVENT_BYTES).enumerate().map(|(index, bytes)| Record::new(index, bytes, tail))
    }
}
