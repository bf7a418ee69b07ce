//! Reads from and writes to non-blocking streams.
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Result, Write};

/// Reads all available bytes and passes them to `on_bytes` in chunks. Returns `UnexpectedEof` if the peer closed the
/// connection.
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

/// Writes pending bytes until the socket would block, and returns how many bytes were written.
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
