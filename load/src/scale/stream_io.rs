//! Reads and writes of non-blocking streams.
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Result, Write};

/// Reads all available bytes, and hands it on in pieces; `UnexpectedEof` where the other side closed the connection.
pub fn read_available(
    stream: &mut TcpStream,
    buffer: &mut [u8],
    mut on_bytes: impl FnMut(&[u8]),
) -> Result<()> {
    loop {
        match stream.read(buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(length) => on_bytes(&buffer[..length]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// Writes what is pending, as far as the socket takes it; how many bytes that were.
pub fn write_pending(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Result<usize> {
    let mut written = 0;
    while written < pending.len() {
        match stream.write(&pending[written..]) {
            Ok(length) => written += length,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    pending.drain(..written);
    Ok(written)
}
