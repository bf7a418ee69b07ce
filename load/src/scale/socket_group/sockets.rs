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

/// Buffer of one read, bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The instance and the connection that a socket belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct SocketOwner {
    /// Index of the instance in its group.
    pub slot: usize,
    /// The connection, as the instance names it.
    pub connection: ConnectionId,
}

struct Socket {
    owner: SocketOwner,
    stream: TcpStream,
    /// What is not written yet.
    output: Vec<u8>,
    established: bool,
}

/// How far a connection has come.
pub(super) enum ConnectProgress {
    /// It was established before.
    Established,
    /// It is established by now.
    Connected,
    /// It is not established yet.
    Pending,
    /// It cannot be established.
    Failed,
}

/// The sockets of a group, by their tokens and by their owners.
pub(super) struct Sockets {
    poll: Poll,
    sockets: HashMap<Token, Socket>,
    tokens: HashMap<SocketOwner, Token>,
    next_token: usize,
    read_buffer: Vec<u8>,
}

impl Sockets {
    /// No sockets yet.
    pub fn new() -> std::result::Result<Sockets, ScaleError> {
        Ok(Sockets {
            poll: Poll::new().map_err(ScaleError::Poll)?,
            sockets: HashMap::new(),
            tokens: HashMap::new(),
            next_token: 0,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Waits until a socket is ready, or for so long.
    pub fn poll(&mut self, events: &mut Events, timeout: Duration) -> Result<()> {
        self.poll.poll(events, Some(timeout))
    }

    /// Begins to connect an instance to an address.
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

    /// The owner of a socket that is open.
    pub fn owner(&self, token: Token) -> Option<SocketOwner> {
        self.sockets.get(&token).map(|socket| socket.owner)
    }

    /// Looks whether a connection is established.
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

    /// Reads all available bytes and writes what is pending; why the connection is over, if it is.
    pub fn read_and_write(&mut self, token: Token, received: impl FnMut(&[u8])) -> Option<CloseReason> {
        let socket = self.sockets.get_mut(&token)?;
        let read = read_available(&mut socket.stream, &mut self.read_buffer, received);
        match read.and_then(|()| self.flush(token)) {
            Ok(()) => None,
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => Some(CloseReason::Closed),
            Err(_) => Some(CloseReason::Reset),
        }
    }

    /// Sends bytes, now or once the connection is established. The error is the token of a connection that is over.
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

    /// Ends a socket; its owner, if it was open.
    pub fn remove(&mut self, token: Token) -> Option<SocketOwner> {
        let mut socket = self.sockets.remove(&token)?;
        let _ = self.poll.registry().deregister(&mut socket.stream); // it ends now in any case
        self.tokens.remove(&socket.owner);
        Some(socket.owner)
    }
}
