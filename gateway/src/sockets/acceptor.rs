//! Accepts connections of clients and operators; pauses while file descriptors are exhausted.
use super::connection::{Connection, ConnectionContext};
use super::driver::Connections;
use super::failure::AcceptFailure;
use crate::state::connection::ConnectionId;
use crate::state::event::Event;
use may::io::{CoIo, WaitIo};
use std::io::Error;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of connections that the kernel queues for a listening socket.
const LISTEN_BACKLOG: i32 = 1024;

/// Maximum number of connections that are accepted in one turn; other connections are served before the next one.
const MAX_TURN_CONNECTIONS: usize = 64;

/// Interval between two lines in the log about errors of accepting.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a listening socket, in blocking mode.
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

/// Error of opening a listening socket.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The kernel can't listen on the address.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The kernel's error.
        source: std::io::Error,
    },
    /// The coroutine runtime can't register the socket.
    #[error("can't register a listening socket with the coroutine runtime: {0:?}")]
    Register(std::io::Error),
}

/// The parties that connect to a listening socket.
#[derive(Clone, Copy, PartialEq)]
pub enum ListenerKind {
    /// Clients.
    Clients {
        /// Whether the socket was inherited, so that another process may listen on it too.
        inherited: bool,
    },
    /// Operators.
    Operators,
}

/// State that the acceptors share with the driver.
#[derive(Clone)]
pub struct AcceptorContext {
    /// The open connections.
    pub connections: Arc<Connections>,
    /// State that all connections share.
    pub context: Arc<ConnectionContext>,
    /// Set when clients are no longer accepted.
    pub stop_accepting: Arc<AtomicBool>,
}

/// A listening socket and the state of the coroutine that accepts its connections.
pub struct Acceptor {
    listener: CoIo<TcpListener>,
    kind: ListenerKind,
    shared: AcceptorContext,
    /// Number of the last accepted connection.
    last_number: u64,
    /// Time of the last line in the log about an error.
    logged_at: Option<Instant>,
}

impl Acceptor {
    /// Registers a listening socket with the coroutine runtime.
    pub fn new(
        listener: TcpListener,
        kind: ListenerKind,
        shared: AcceptorContext,
    ) -> Result<Acceptor, ListenError> {
        let listener = CoIo::new(listener).map_err(|error| ListenError::Register(error.into()))?;
        shared.context.acceptors.borrow_mut().push(listener.waker());
        Ok(Acceptor { listener, kind, shared, last_number: 0, logged_at: None })
    }

    /// Starts the coroutine that accepts connections.
    pub fn start(self) {
        may::go!(move || self.serve());
    }

    fn serve(mut self) {
        loop {
            // After the stop, the connections that are already in the kernel's queue are still accepted,
            // unless another process listens on the same socket and accepts them.
            let stopping =
                self.kind != ListenerKind::Operators && self.shared.stop_accepting.load(Ordering::Relaxed);
            if stopping && self.kind == (ListenerKind::Clients { inherited: true }) {
                return;
            }
            let accepts_all = self.accept_turn(stopping);
            if stopping && accepts_all {
                return;
            }
            if !accepts_all {
                self.shared.context.defer_accepting();
            }
            self.listener.wait_io();
        }
    }

    /// Accepts queued connections; returns whether none is left that can be accepted now. Clients are accepted up
    /// to their limit, or without a limit if `stopping`.
    fn accept_turn(&mut self, stopping: bool) -> bool {
        for _ in 0..MAX_TURN_CONNECTIONS {
            // A burst of clients is accepted before the reducer handles the first of them, so the descriptors
            // that the list service, the counter and backends need are reserved here. While stopping, all
            // queued clients are accepted.
            let is_limited = self.kind != ListenerKind::Operators && !stopping;
            if is_limited && self.shared.context.client_limit_reached() {
                self.descriptors_exhausted();
                return true;
            }
            match self.listener.inner().accept() {
                Ok((stream, peer)) => self.open(stream, peer),
                Err(error) => match AcceptFailure::of(&error) {
                    AcceptFailure::WouldBlock => return true,
                    AcceptFailure::TryNext => {}
                    failure => {
                        self.accept_failed(failure, &error);
                        return true;
                    }
                },
            }
        }
        false
    }

    /// Starts an accepted connection and reports it as an event.
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
            Err(error) => tracing::warn!("connection {id:?} could not be set up: {error}"),
        }
    }

    /// Logs an error, and schedules the next attempt: what ends the failure need not be an event of this process.
    fn accept_failed(&mut self, failure: AcceptFailure, error: &Error) {
        if self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged_at = Some(Instant::now());
            tracing::warn!("accepting a connection failed: {error}");
        }
        if failure == AcceptFailure::NoDescriptor {
            self.descriptors_exhausted();
        }
        self.shared.context.retry_accepting_later();
    }

    /// Reports that no descriptor is left, so that the reducer may close idle connections. Accepting resumes
    /// when a connection has released its descriptor.
    fn descriptors_exhausted(&self) {
        self.shared.context.descriptors_exhausted.store(true, Ordering::Relaxed);
        self.shared.context.events.push(Event::DescriptorsExhausted);
    }
}
