//! Frames of the wire: a header, records of a fixed size, a tail.
use std::io::{self, Read};

pub const EVENT: usize = 48;
pub const ACTION: usize = 24;
const HEADER: usize = 16;

/// What was wrong with the input, and where.
#[derive(Debug, Clone, PartialEq)]
pub struct Malformed(pub String);

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Debug)]
pub struct Batch {
    pub records: usize,
    pub clock: u64,
    body: Vec<u8>,
}

/// Reads one batch; none at the end of input.
pub fn read(input: &mut impl Read) -> io::Result<Option<Result<Batch, Malformed>>> {
    let mut header = [0u8; HEADER];
    let mut got = 0;
    while got < HEADER {
        match input.read(&mut header[got..])? {
            0 if got == 0 => return Ok(None),
            0 => {
                let text = format!("frame header cut short: {got} of {HEADER} bytes");
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
            }
            n => got += n,
        }
    }
    let records = u32::from_le_bytes(header[0..4].try_into().expect("four bytes")) as usize;
    let length = u32::from_le_bytes(header[4..8].try_into().expect("four bytes")) as usize;
    let clock = u64::from_le_bytes(header[8..16].try_into().expect("eight bytes"));
    if length < HEADER {
        return Ok(Some(Err(Malformed(format!("frame length {length} is less than its header's {HEADER}")))));
    }
    let mut body = Vec::new();
    input.take((length - HEADER) as u64).read_to_end(&mut body)?;
    if body.len() < length - HEADER {
        let text = format!("frame cut short: {} of {length} bytes", body.len() + HEADER);
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
    }
    if records.checked_mul(EVENT).is_none_or(|n| n > body.len()) {
        let room = body.len() / EVENT;
        return Ok(Some(Err(Malformed(format!("header tells {records} records, the frame holds {room}")))));
    }
    Ok(Some(Ok(Batch { records, clock, body })))
}

impl Batch {
    pub fn record(&self, i: usize) -> Record<'_> {
        let bytes = &self.body[i * EVENT..(i + 1) * EVENT];
        Record { at: i, bytes, tail: &self.body[self.records * EVENT..] }
    }
}

#[derive(Clone, Copy)]
pub struct Record<'a> {
    pub at: usize,
    bytes: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Record<'a> {
    fn field<const N: usize>(&self, at: usize) -> [u8; N] {
        self.bytes[at..at + N].try_into().expect("fields lie inside the record")
    }
    pub fn code(&self) -> u8 {
        self.bytes[0]
    }
    pub fn u8(&self, at: usize) -> u8 {
        self.bytes[at]
    }
    pub fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.field(at))
    }
    pub fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.field(at))
    }
    pub fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.field(at))
    }
    pub fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.field(at)))
    }
    /// A backend's address: four bytes and a port.
    pub fn address(&self, at: usize) -> [u8; 6] {
        self.field(at)
    }
    pub fn seconds(&self, at: usize) -> f64 {
        f64::from(self.u32(at)) / 1e6
    }
    pub fn wrong(&self, what: impl std::fmt::Display) -> Malformed {
        Malformed(format!("record {} (code {}): {what}", self.at, self.code()))
    }
    /// `n` pieces of `size` bytes in the tail, as the field at `at` tells.
    pub fn tail(&self, at: usize, size: usize) -> Result<&'a [u8], Malformed> {
        let (from, n) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let end = n.checked_mul(size).and_then(|n| n.checked_add(from));
        end.and_then(|end| self.tail.get(from..end)).ok_or_else(|| {
            let all = self.tail.len();
            self.wrong(format!("offset {from} with {n} x {size} bytes lies outside the tail of {all}"))
        })
    }
}

/// A reply in the making.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    at: Option<u32>,
    pub door: u32,
}

pub struct Put<'a>(&'a mut [u8]);

impl Put<'_> {
    pub fn bytes(self, at: usize, bytes: &[u8]) -> Self {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
    /// Microseconds, rounded up, at most what the field holds.
    pub fn micros(self, at: usize, seconds: f64) -> Self {
        let us = (seconds.max(0.0) * 1e6).ceil().min(4_200_000_000.0) as u32;
        self.bytes(at, &us.to_le_bytes())
    }
}

impl Reply {
    fn raw(&mut self, code: u8) -> Put<'_> {
        let from = self.records.len();
        self.records.resize(from + ACTION, 0);
        self.records[from] = code;
        Put(&mut self.records[from..])
    }
    /// A record for the instance in hand; the instance is named where it changes.
    pub fn put(&mut self, code: u8) -> Put<'_> {
        if self.at != Some(self.door) {
            let door = self.door;
            self.at = Some(door);
            self.raw(100).bytes(1, &door.to_le_bytes());
        }
        self.raw(code)
    }
    pub fn with_tail(&mut self, code: u8, at: usize, bytes: &[u8]) -> Put<'_> {
        let from = self.tail.len() as u32;
        self.tail.extend_from_slice(bytes);
        self.put(code).bytes(at, &from.to_le_bytes()).bytes(at + 4, &(bytes.len() as u32).to_le_bytes())
    }
    pub fn frame(self) -> Vec<u8> {
        let n = (self.records.len() / ACTION) as u32;
        let length = (8 + self.records.len() + self.tail.len()) as u32;
        let mut out = Vec::with_capacity(length as usize);
        out.extend_from_slice(&n.to_le_bytes());
        out.extend_from_slice(&length.to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}
