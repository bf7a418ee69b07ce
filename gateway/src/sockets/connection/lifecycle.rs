//! The life cycle of a connection: it is accepted or opened, and closed by this process or by the peer.
use super::capacity::PendingCommands;
use super::long_input::LongInput;
use super::read_loop::ReadLoop;
use super::streaming::{StreamSource, StreamTarget};
use super::{Connection, ConnectionContext};
use crate::state::connection::ConnectionId;
use crate::state::framing::MessageReader;
use crate::state::memory_budget::{HeldMemory, MemoryUse};
use atomic_refcell::AtomicRefCell;
use may::io::{CoIo, WaitIo};
use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Error code of a non-blocking connect that has not completed yet.
const IN_PROGRESS: i32 = nix::errno::Errno::EINPROGRESS as i32;

impl Connection {
    /// Sets up an accepted connection and starts its coroutine.
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

    /// Opens a connection and starts its coroutine, which reports the result as an event.
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
            write_buffer: AtomicRefCell::default(),
            reader: AtomicRefCell::new(MessageReader::new(id)),
            closed: AtomicBool::new(false),
            operator_answered: AtomicBool::new(false),
            reading_stopped: AtomicBool::new(false),
            discards_output: AtomicBool::new(false),
            retries_write: AtomicBool::new(false),
            write_failed: AtomicBool::new(false),
            is_deferred: AtomicBool::new(false),
            reports_written_output: AtomicBool::new(false),
            memory: HeldMemory::new(context.memory.clone(), matches!(id, ConnectionId::Client(_))),
            pending_commands: PendingCommands::default(),
            long_input: LongInput::default(),
            stream_source: StreamSource::new(),
            stream_target: StreamTarget::default(),
            context: context.clone(),
        });
        if connection.is_client() {
            connection.context.open_clients.fetch_add(1, Ordering::Relaxed);
        }
        Ok(connection)
    }

    /// Starts the connection's coroutine. `established` is false if the connect has not completed yet.
    fn start(self: &Arc<Connection>, established: bool) {
        let connection = self.clone();
        may::go!(move || connection.serve(established));
    }

    fn serve(self: &Arc<Connection>, established: bool) {
        let mut read_loop = ReadLoop::new(self, established);
        read_loop.run();
        self.count_partial(read_loop.backlog.len(), 0);
        // `closed` also ends streaming from and to this connection.
        self.closed.store(true, Ordering::Relaxed);
        self.count_buffered_stream(0);
        self.memory.set(MemoryUse::Input, 0);
        self.release_long_input();
        self.release_commands();
        self.detach_streams();
    }

    /// Closes the connection from this side, after its buffered output is written.
    pub fn close(self: &Arc<Connection>) {
        self.closed.store(true, Ordering::Relaxed);
        // A backend's buffer may have an attempt that was cancelled in the same batch. It is dropped, because
        // the backend would execute it.
        let discards_output = self.is_backend() || self.discards_output.load(Ordering::Relaxed);
        if discards_output && !self.is_flushed() {
            self.write_buffer.borrow_mut().clear();
        }
        self.flush();
        self.waker.wakeup();
        self.wake_stream_source(); // the source no longer has to wait for this client
    }

    /// Discards all output that the client has not taken when the connection is closed.
    pub(super) fn discard_output(&self) {
        self.discards_output.store(true, Ordering::Relaxed);
    }

    /// Records that an operator's response is in the write buffer.
    pub fn mark_operator_answered(&self) {
        self.operator_answered.store(true, Ordering::Relaxed);
    }

    /// Stops reading from a client's socket. Its end is noticed all the same, and the commands that were read
    /// before are decoded. What the client sends from now on stays unread, so that our close resets the
    /// connection and tells the client that this was not handled.
    pub fn stop_reading(&self) {
        self.reading_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether input, or its end, has arrived that is not read or not decoded yet. Input that will not be read
    /// does not count.
    pub fn has_unread_input(&self) -> bool {
        let mut byte = [0];
        let is_empty = |result: Result<usize, Error>| matches!(result, Err(error) if error.kind() == ErrorKind::WouldBlock);
        let is_read = !self.reading_stopped.load(Ordering::Relaxed);
        self.pending_commands.postponed.load(Ordering::Relaxed)
            || is_read && !is_empty(self.stream.inner().peek(&mut byte))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_client() {
            self.context.open_clients.fetch_sub(1, Ordering::Relaxed);
        }
        if self.context.descriptors_exhausted.swap(false, Ordering::Relaxed) {
            self.context.wake_acceptors();
        }
    }
}

fn is_in_progress(error: &Error) -> bool {
    // An interrupted connect goes on.
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
        || error.raw_os_error() == Some(IN_PROGRESS)
}
