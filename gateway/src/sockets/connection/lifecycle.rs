//! The life of a connection: accepted or connecting, open, closed by either side.
use super::capacity::PendingCommands;
use super::read_loop::ReadLoop;
use super::streaming::{StreamSource, StreamTarget};
use super::{Connection, ConnectionContext};
use crate::state::connection::ConnectionId;
use crate::state::framing::MessageReader;
use atomic_refcell::AtomicRefCell;
use may::io::{CoIo, WaitIo};
use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A connection attempt has begun.
const IN_PROGRESS: i32 = nix::errno::Errno::EINPROGRESS as i32;

impl Connection {
    /// Takes up an accepted connection.
    pub fn accepted(
        id: ConnectionId,
        peer: SocketAddr,
        stream: TcpStream,
        context: &Arc<ConnectionContext>,
    ) -> Result<Arc<Connection>, Error> {
        let connection = Connection::new(id, peer, stream, context)?;
        connection.start(true);
        Ok(connection)
    }

    /// Starts connecting; whether that succeeds follows as an event.
    pub fn connect(
        id: ConnectionId,
        peer: SocketAddr,
        context: &Arc<ConnectionContext>,
    ) -> Result<Arc<Connection>, Error> {
        let domain = socket2::Domain::for_address(peer);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&peer.into()) {
            Err(error) if !is_in_progress(&error) => return Err(error),
            _ => {}
        }
        let connection = Connection::new(id, peer, socket.into(), context)?;
        connection.start(false);
        Ok(connection)
    }

    fn new(
        id: ConnectionId,
        peer: SocketAddr,
        stream: TcpStream,
        context: &Arc<ConnectionContext>,
    ) -> Result<Arc<Connection>, Error> {
        stream.set_nodelay(true)?;
        let stream = CoIo::new(stream).map_err(|error| Error::other(format!("{error:?}")))?;
        let waker = stream.waker();
        let connection = Arc::new(Connection {
            id,
            peer,
            stream,
            waker,
            out: AtomicRefCell::default(),
            reader: AtomicRefCell::new(MessageReader::new(id)),
            closed: AtomicBool::new(false),
            input_discarded: AtomicBool::new(false),
            commands: PendingCommands::default(),
            stream_source: StreamSource::new(),
            stream_target: StreamTarget::default(),
            context: context.clone(),
        });
        if connection.is_client() {
            connection.context.clients.fetch_add(1, Ordering::Relaxed);
        }
        Ok(connection)
    }

    /// Starts its coroutine. `established`: it need not be waited for.
    fn start(self: &Arc<Connection>, established: bool) {
        let connection = self.clone();
        may::go!(move || connection.serve(established));
    }

    fn serve(self: &Arc<Connection>, established: bool) {
        let mut read_loop = ReadLoop::new(self, established);
        read_loop.run();
        self.count_partial(read_loop.backlog.len(), 0);
        // Nothing is streamed here any more, in either direction.
        self.closed.store(true, Ordering::Relaxed);
        self.count_streamed(0);
        self.release_commands();
        self.detach_streams();
    }

    /// Closes it from our side; what was written before leaves first.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        // But nothing of an attempt that was given up in the same batch: the backend would execute it.
        if self.is_backend() && !self.is_flushed() {
            self.out.borrow_mut().clear();
        }
        self.flush();
        self.waker.wakeup();
        self.wake_stream_source(); // it has nobody to wait for now
    }

    /// Discards input from now on: an operator has had its response, or a client is no longer read from. Only the end
    /// matters: bytes left unread would hide it, and turn the close into a reset that can take our replies with it.
    pub fn discard_input(&self) {
        self.input_discarded.store(true, Ordering::Relaxed);
        if self.is_client() {
            self.reader.borrow_mut().discard = true;
            self.waker.wakeup();
        }
    }

    /// Whether something has arrived that nobody has read or decoded, its end included.
    pub fn has_unread_input(&self) -> bool {
        let mut byte = [0];
        let nothing = |result: Result<usize, Error>| matches!(result, Err(error) if error.kind() == ErrorKind::WouldBlock);
        self.commands.postponed.load(Ordering::Relaxed) || !nothing(self.stream.inner().peek(&mut byte))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_client() {
            self.context.clients.fetch_sub(1, Ordering::Relaxed);
        }
        if self.context.descriptors_exhausted.swap(false, Ordering::Relaxed) {
            self.context.wake_acceptors();
        }
    }
}

fn is_in_progress(error: &Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || error.raw_os_error() == Some(IN_PROGRESS)
}
