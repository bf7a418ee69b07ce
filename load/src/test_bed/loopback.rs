//! Loopback sockets, and the protocol's replies as a client reads them.
use crate::error::RunError;
use std::io::{BufRead, Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Stack of a thread that serves one connection, bytes.
const STACK_BYTES: usize = 128 * 1024;
/// The first port that is reserved for instances, above the ports of listed backends of a scale run.
const FIRST_RESERVED_PORT: u16 = 20_000;
/// Number of ports that are reserved in turns; they end below those that the system chooses by itself, from 32768 on.
const RESERVED_PORTS: usize = 12_000;

/// Serves a connection on a small thread of its own.
pub fn spawn_connection(stream: TcpStream, serve: impl FnOnce(TcpStream) -> Result<()> + Send + 'static) {
    let _ = stream.set_nodelay(true); // replies in several writes would wait for each other
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    let _ = thread.spawn(move || serve(stream)); // it ends with its connection; with no thread left it ends now
}

/// A loopback address that no other process of these runs uses: neither another process nor an outgoing connection, which has
/// 127.0.0.1, takes a port on it.
pub fn own_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.wrapping_add(1), middle, low)
}

/// An address for an instance to bind later: on this process's own loopback address, and nobody listens there.
///
/// It is not bound here to find it. A listener that was bound and closed again stays open for a moment where another thread is
/// starting a process just then: until its exec, that process has a copy of every descriptor. The instance would fail to bind.
pub fn reserve_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed) % RESERVED_PORTS;
        let port = FIRST_RESERVED_PORT + turn as u16;
        let address = SocketAddr::from((own_loopback(), port));
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
}

/// A bound socket with its address.
pub struct Bound<S> {
    /// The socket.
    pub socket: S,
    /// Where it is bound.
    pub address: SocketAddr,
}

/// A listener at any free port.
pub fn bind_listener() -> std::result::Result<Bound<TcpListener>, RunError> {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(RunError::Port)?;
    let address = socket.local_addr().map_err(RunError::Port)?;
    Ok(Bound { socket, address })
}

/// A datagram socket at any free port.
pub fn bind_datagram() -> std::result::Result<Bound<UdpSocket>, RunError> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(RunError::Port)?;
    let address = socket.local_addr().map_err(RunError::Port)?;
    Ok(Bound { socket, address })
}

/// A reply of an instance.
pub struct Reply {
    /// Its first byte: `$` a value, `-` an error, `+` a status.
    pub kind: u8,
    /// The value, or for the other kinds the whole line.
    pub bytes: Vec<u8>,
}

/// Reads one reply of an instance.
pub fn read_reply(reader: &mut impl BufRead) -> Result<Reply> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    if line[0] == b'$' {
        let length = std::str::from_utf8(&line[1..]).ok().and_then(|t| t.trim().parse::<usize>().ok());
        let mut value = vec![0; length.unwrap_or(0) + 2];
        reader.read_exact(&mut value)?;
        return Ok(Reply { kind: b'$', bytes: value });
    }
    Ok(Reply { kind: line[0], bytes: line })
}
