//! Sockets and addresses on loopback, and a reader for the instances' replies.
use crate::error::RunError;
use std::io::{BufRead, Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Stack size of a thread that serves one connection, bytes.
const STACK_BYTES: usize = 128 * 1024;
/// First port that is reserved for instances; the backends that a scale run only lists have lower ports.
const FIRST_RESERVED_PORT: u16 = 20_000;
/// Number of ports that are reserved in turn. All are below the system's ephemeral ports, which begin at 32768.
const RESERVED_PORTS: usize = 12_000;

/// Serves a connection on a new thread with a small stack.
pub fn spawn_connection(stream: TcpStream, serve: impl FnOnce(TcpStream) -> Result<()> + Send + 'static) {
    let _ = stream.set_nodelay(true); // Nagle's algorithm would delay a reply that takes several writes
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    let _ = thread.spawn(move || serve(stream)); // if no thread can be started, the connection is closed
}

/// Returns a loopback address that is derived from the process id, so that parallel processes use different
/// ones. Outgoing connections, which use 127.0.0.1, take no port on it either.
pub fn process_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.wrapping_add(1), middle, low)
}

/// Returns an address that an instance can bind later: on this process's loopback address, at a port where no socket listens.
///
/// The search doesn't bind the port. If another thread is starting a process while a listener is bound and closed here, the new process
/// has a copy of the listener's descriptor until its exec, and the instance would fail to bind.
pub fn reserve_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed) % RESERVED_PORTS;
        let port = FIRST_RESERVED_PORT + turn as u16;
        let address = SocketAddr::from((process_loopback(), port));
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
}

/// A bound socket with its address.
pub struct Bound<S> {
    /// The bound socket.
    pub socket: S,
    /// Local address of the socket.
    pub address: SocketAddr,
}

/// Binds a listener to any free port of 127.0.0.1.
pub fn bind_listener() -> std::result::Result<Bound<TcpListener>, RunError> {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(RunError::Port)?;
    let address = socket.local_addr().map_err(RunError::Port)?;
    Ok(Bound { socket, address })
}

/// Binds a UDP socket to any free port of 127.0.0.1.
pub fn bind_datagram() -> std::result::Result<Bound<UdpSocket>, RunError> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(RunError::Port)?;
    let address = socket.local_addr().map_err(RunError::Port)?;
    Ok(Bound { socket, address })
}

/// A RESP reply of an instance.
pub struct Reply {
    /// First byte: `$` for a value, `-` for an error, `+` for a status.
    pub kind: u8,
    /// The value with its line end, or the whole line for the other kinds.
    pub bytes: Vec<u8>,
}

/// Reads one reply of an instance. Fails at the end of the connection.
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
