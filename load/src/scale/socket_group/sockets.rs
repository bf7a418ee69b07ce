//! The sockets of a group of embedded instances.
use crate::scale::error::ScaleError;
use crate::scale::stream_io::{read_available, write_pending};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use std::collections::HashMap;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

/// Size of the read buffer in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Instance and connection that a socket belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct SocketOwner {
    /// Index of the instance in its group.
    pub slot: usize,
    /// Connection id that the instance assigned.
    pub connection: ConnectionId,
}

struct Socket {
    owner: SocketOwner,
    stream: TcpStream,
    /// Bytes that are not yet written.
    output: Vec<u8>,
    established: bool,
}

/// Progress of a non-blocking connect.
pub(super) enum ConnectProgress {
    /// The connection was already established.
    Established,
    /// The connection has just been established.
    Connected,
    /// The connection is not yet established.
    Pending,
    /// The connection cannot be established.
    Failed,
}

/// The sockets of a group, indexed by token and by owner.
pub(super) struct Sockets {
    poll: Poll,
    sockets: HashMap<Token, Socket>,
    tokens: HashMap<SocketOwner, Token>,
    next_token: usize,
    read_buffer: Vec<u8>,
}

impl Sockets {
    /// Creates an empty set of sockets.
    pub fn new() -> std::result::Result<Sockets, ScaleError> {
        Ok(Sockets {
            poll: Poll::new().map_err(ScaleError::Poll)?,
            sockets: HashMap::new(),
            tokens: HashMap::new(),
            next_token: 0,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Waits until a socket is ready or the timeout expires.
    pub fn poll(&mut self, events: &mut Events, timeout: Duration) -> Result<()> {
        self.poll.poll(events, Some(timeout))
    }

    /// Starts to connect an instance to an address.
    pub fn connect(&mut self, slot: usize, connection: ConnectionId, address: SocketAddr) -> Result<()> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let token = Token(self.next_token);
        self.next_token += 1;
        self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let owner = SocketOwner { slot, connection };
        self.sockets.insert(token, Socket { owner, stream, output: vec![], established: false });
        self.tokens.insert(owner, token);
        Ok(())
    }

    /// Returns the owner of an open socket.
    pub fn owner(&self, token: Token) -> Option<SocketOwner> {
        self.sockets.get(&token).map(|socket| socket.owner)
    }

    /// Checks whether a connection is established, and returns its progress.
    pub fn finish_connect(&mut self, token: Token) -> ConnectProgress {
        let Some(socket) = self.sockets.get_mut(&token) else { return ConnectProgress::Failed };
        if socket.established {
            return ConnectProgress::Established;
        }
        match (socket.stream.take_error(), socket.stream.peer_addr()) {
            (Ok(None), Ok(_)) => {
                socket.established = true;
                ConnectProgress::Connected
            }
            (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => ConnectProgress::Pending,
            _ => ConnectProgress::Failed,
        }
    }

    /// Reads all available bytes and writes pending bytes. Returns the reason if the connection has ended.
    pub fn read_and_write(&mut self, token: Token, received: impl FnMut(&[u8])) -> Option<CloseReason> {
        let socket = self.sockets.get_mut(&token)?;
        let read = read_available(&mut socket.stream, &mut self.read_buffer, received);
        match read.and_then(|()| self.flush(token)) {
            Ok(()) => None,
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => Some(CloseReason::Closed),
            Err(_) => Some(CloseReason::Reset),
        }
    }

    /// Sends bytes, now or once the connection is established. If the connection has failed, returns its token as the
    /// error.
    pub fn send(
        &mut self,
        slot: usize,
        connection: ConnectionId,
        bytes: &[u8],
    ) -> std::result::Result<(), Token> {
        let Some(token) = self.tokens.get(&SocketOwner { slot, connection }).copied() else { return Ok(()) };
        if let Some(socket) = self.sockets.get_mut(&token) {
            socket.output.extend_from_slice(bytes);
        }
        self.flush(token).map_err(|_| token)
    }

    fn flush(&mut self, token: Token) -> Result<()> {
        let Some(socket) = self.sockets.get_mut(&token).filter(|socket| socket.established) else {
            return Ok(());
        };
        write_pending(&mut socket.stream, &mut socket.output).map(drop)
    }

    /// Closes a connection of an instance, if it is open.
    pub fn close(&mut self, slot: usize, connection: ConnectionId) {
        if let Some(token) = self.tokens.get(&SocketOwner { slot, connection }).copied() {
            self.remove(token);
        }
    }

    /// Closes all connections of an instance.
    pub fn close_all(&mut self, slot: usize) {
        let owners: Vec<SocketOwner> =
            self.tokens.keys().filter(|owner| owner.slot == slot).copied().collect();
        owners.into_iter().for_each(|owner| self.close(owner.slot, owner.connection));
    }

    /// Closes a socket and returns its owner; `None` if it is not open.
    pub fn remove(&mut self, token: Token) -> Option<SocketOwner> {
        let mut socket = self.sockets.remove(&token)?;
        let _ = self.poll.registry().deregister(&mut socket.stream); // the socket is closed in any case
        self.tokens.remove(&socket.owner);
        Some(socket.owner)
    }
}
