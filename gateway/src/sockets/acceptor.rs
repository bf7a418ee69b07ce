//! Accepts connections of clients and operators. Without a free descriptor it waits until there is one again.
use super::connection::{Connection, ConnectionContext};
use super::driver::Connections;
use crate::state::connection::ConnectionId;
use crate::state::event::Event;
use may::io::{CoIo, WaitIo};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// How many connections the kernel keeps for us to accept.
const LISTEN_BACKLOG: i32 = 1024;

/// A listening socket, still in blocking mode.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    bind(address).map_err(|source| ListenError::Bind { address, source })
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Nothing can be accepted.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address is taken, or not ours.
    #[error("{address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The kernel's error.
        source: std::io::Error,
    },
    /// The runtime can't wait for the socket.
    #[error("listen: {0:?}")]
    Register(std::io::Error),
}

/// Who connects to a listening socket.
#[derive(Clone, Copy, PartialEq)]
pub enum ListenerKind {
    /// Clients.
    Clients {
        /// Another process listens on the same socket.
        inherited: bool,
    },
    /// Operators.
    Operators,
}

/// What acceptors share with the driver.
#[derive(Clone)]
pub struct AcceptorContext {
    /// The open connections.
    pub connections: Arc<Connections>,
    /// What all connections share.
    pub context: Arc<ConnectionContext>,
    /// Set once no more clients are to be accepted.
    pub stop_accepting: Arc<AtomicBool>,
}

/// A listening socket whose coroutine is still to be started.
pub struct Acceptor {
    listener: CoIo<TcpListener>,
    kind: ListenerKind,
    shared: AcceptorContext,
    /// The number of the last accepted connection.
    last_number: u64,
}

impl Acceptor {
    /// Takes up a listening socket.
    pub fn new(
        listener: TcpListener,
        kind: ListenerKind,
        shared: AcceptorContext,
    ) -> Result<Acceptor, ListenError> {
        let listener = CoIo::new(listener).map_err(|error| ListenError::Register(error.into()))?;
        shared.context.acceptors.borrow_mut().push(listener.waker());
        Ok(Acceptor { listener, kind, shared, last_number: 0 })
    }

    /// Accepts from now on.
    pub fn start(self) {
        may::go!(move || self.serve());
    }

    fn serve(mut self) {
        loop {
            // One more round after the stop: what the kernel has accepted is ours, unless another process listens too.
            let stopping =
                self.kind != ListenerKind::Operators && self.shared.stop_accepting.load(Ordering::Relaxed);
            if stopping && self.kind == (ListenerKind::Clients { inherited: true }) {
                return;
            }
            self.accept_all(stopping);
            if stopping {
                return;
            }
            self.listener.wait_io();
        }
    }

    /// Accepts all that the kernel has, as far as there is capacity.
    fn accept_all(&mut self, stopping: bool) {
        loop {
            // A flood of clients is accepted before the reducer has seen the first of them: descriptors that the list
            // service, the counter and backends need are reserved here. At the stop all that the kernel has are accepted.
            let bounded = self.kind != ListenerKind::Operators && !stopping;
            if bounded && self.shared.context.clients_full() {
                return self.descriptors_exhausted();
            }
            match self.listener.inner().accept() {
                Ok((stream, peer)) => self.open(stream, peer),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if is_transient(error.kind()) => {}
                Err(error) => {
                    tracing::warn!("accept: {error}");
                    return self.descriptors_exhausted();
                }
            }
        }
    }

    fn open(&mut self, stream: TcpStream, peer: SocketAddr) {
        self.last_number += 1;
        let number = self.last_number;
        let (id, event) = match self.kind {
            ListenerKind::Clients { .. } => {
                (ConnectionId::Client(number), Event::ClientAccepted { client: number, address: peer.ip() })
            }
            ListenerKind::Operators => (ConnectionId::Admin(number), Event::AdminConnected(number)),
        };
        match Connection::accepted(id, peer, stream, &self.shared.context) {
            Ok(connection) => {
                self.shared.connections.insert(id, connection);
                self.shared.context.events.push(event);
            }
            Err(error) => tracing::warn!("connection {id:?} ended: {error}"),
        }
    }

    /// Somebody may have to go; accepting goes on once a descriptor is free.
    fn descriptors_exhausted(&self) {
        self.shared.context.descriptors_exhausted.store(true, Ordering::Relaxed);
        self.shared.context.events.push(Event::DescriptorsExhausted);
    }
}

fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Interrupted | ErrorKind::ConnectionAborted)
}
