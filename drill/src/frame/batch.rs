//! Frames of events.
use super::{seconds, Malformed, Record, EVENT_BYTES};
use std::io::{self, ErrorKind, Read};

const HEADER_BYTES: usize = 16;

/// The events of one moment.
#[derive(Debug)]
pub struct Batch {
    records: usize,
    /// Microseconds of the simulator's clock.
    clock: u64,
    /// The records, then the tail.
    body: Vec<u8>,
}

/// The header of a frame.
struct Header {
    records: usize,
    /// Length of the frame with its header, bytes.
    length: usize,
    clock: u64,
}

impl Header {
    fn decode(bytes: [u8; HEADER_BYTES]) -> Header {
        let u32_at = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"));
        Header {
            records: u32_at(0) as usize,
            length: u32_at(4) as usize,
            clock: u64::from_le_bytes(bytes[8..16].try_into().expect("eight bytes")),
        }
    }
}

/// Reads one frame; none at the end of input. A frame that is malformed but whole is no I/O error: the next one may be read.
pub fn read(input: &mut impl Read) -> io::Result<Option<Result<Batch, Malformed>>> {
    let Some(Header { records, length, clock }) = read_header(input)? else { return Ok(None) };
    if length < HEADER_BYTES {
        let text = format!("frame length {length} is less than its header's {HEADER_BYTES}");
        return Ok(Some(Err(Malformed(text))));
    }
    let body_length = length - HEADER_BYTES;
    let mut body = Vec::new();
    input.take(body_length as u64).read_to_end(&mut body)?;
    if body.len() < body_length {
        let got = body.len() + HEADER_BYTES;
        return Err(cut_short(format!("frame cut short: {got} of {length} bytes")));
    }
    if records.checked_mul(EVENT_BYTES).is_none_or(|bytes| bytes > body.len()) {
        let room = body.len() / EVENT_BYTES;
        let text = format!("header tells {records} records, the frame holds {room}");
        return Ok(Some(Err(Malformed(text))));
    }
    Ok(Some(Ok(Batch { records, clock, body })))
}

fn read_header(input: &mut impl Read) -> io::Result<Option<Header>> {
    let mut header = [0u8; HEADER_BYTES];
    let mut got = 0;
    while got < HEADER_BYTES {
        match input.read(&mut header[got..])? {
            0 if got == 0 => return Ok(None),
            0 => return Err(cut_short(format!("frame header cut short: {got} of {HEADER_BYTES} bytes"))),
            read => got += read,
        }
    }
    Ok(Some(Header::decode(header)))
}

fn cut_short(text: String) -> io::Error {
    io::Error::new(ErrorKind::UnexpectedEof, text)
}

impl Batch {
    /// The simulator's clock, seconds.
    pub(crate) fn now(&self) -> f64 {
        seconds(self.clock)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = Record<'_>> {
        let (records, tail) = self.body.split_at(self.records * EVENT_BYTES);
        records.chunks_exact(EVENT_BYTES).enumerate().map(|(index, bytes)| Record::new(index, bytes, tail))
    }
}
