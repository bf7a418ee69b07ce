//! One TCP connection of any kind. Its coroutine reads and decodes input; output is flushed once per batch.
mod capacity;
mod context;
mod decoding;
mod lifecycle;
mod lingering;
mod long_input;
mod read_loop;
mod sink;
mod streaming;
mod writing;

pub use context::ConnectionContext;

use crate::state::connection::ConnectionId;
use crate::state::framing::MessageReader;
use crate::state::memory_budget::HeldMemory;
use crate::state::write_buffer::WriteBuffer;
use atomic_refcell::AtomicRefCell;
use capacity::PendingCommands;
use long_input::LongInput;
use may::io::{CoIo, WaitIoWaker};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use streaming::{StreamSource, StreamTarget};

/// Flags of epoll, as the runtime reports them.
mod readiness {
    /// The socket accepts more output (`EPOLLOUT`).
    pub const WRITABLE: usize = 0x4;
    /// The connection has failed (`EPOLLERR`).
    pub const ERROR: usize = 0x8;
    /// Input can be read (`EPOLLIN`).
    const IN: usize = 0x1;
    /// Both directions are closed (`EPOLLHUP`).
    const HANG_UP: usize = 0x10;
    /// The peer has closed its sending direction (`EPOLLRDHUP`).
    const PEER_CLOSED: usize = 0x2000;
    /// The peer has closed the connection or its sending direction, or the connection has failed.
    pub const ENDED: usize = ERROR | HANG_UP | PEER_CLOSED;
    /// A read returns at once: with input, the end of the input, or an error.
    pub const READABLE: usize = IN | ENDED;
}

/// Maximum capacity of a buffer that is kept while it is empty, in bytes; a larger one is freed.
const MAX_RETAINED_BUFFER_BYTES: usize = 4 * 1024;
/// Size of the buffer that connections read into, in bytes: the maximum length of one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// A connection and the state of its coroutine.
pub struct Connection {
    id: ConnectionId,
    /// The peer's address.
    pub peer: SocketAddr,
    stream: CoIo<TcpStream>,
    waker: WaitIoWaker,
    /// Output that has not been written to the socket yet.
    pub write_buffer: AtomicRefCell<WriteBuffer>,
    /// Decodes the messages of the connection.
    reader: AtomicRefCell<MessageReader>,
    /// Set when this process has closed the connection, or its coroutine has ended.
    closed: AtomicBool,
    /// Set when an operator's connection has its response, after which it is shut down for writing and its
    /// input is discarded.
    operator_answered: AtomicBool,
    /// Set when nothing more is read from a client's socket. What was read before is still decoded.
    reading_stopped: AtomicBool,
    /// Set when output that the client has not taken is discarded at the end of the connection.
    discards_output: AtomicBool,
    /// Set when output is written again at the next turn, because the kernel was out of resources.
    retries_write: AtomicBool,
    /// Set when a write has failed, so that the connection ends.
    write_failed: AtomicBool,
    /// Set while the connection waits for its next turn.
    is_deferred: AtomicBool,
    /// Set when the reducer is to be notified once all output is written.
    reports_written_output: AtomicBool,
    /// The memory that its buffers and pending commands hold.
    memory: HeldMemory,
    /// Commands of a client that have no reply yet.
    pending_commands: PendingCommands,
    /// A client's long command that is incomplete.
    long_input: LongInput,
    /// For a backend's connection: the value that is streamed from it.
    stream_source: StreamSource,
    /// For a client's connection: the value that is streamed to it.
    stream_target: StreamTarget,
    context: Arc<ConnectionContext>,
}

impl Connection {
    fn is_client(&self) -> bool {
        matches!(self.id, ConnectionId::Client(_))
    }

    fn is_backend(&self) -> bool {
        matches!(self.id, ConnectionId::Backend(_))
    }

    /// Returns the client's number, or 0 if this is not a client's connection.
    fn client_number(&self) -> usize {
        if let ConnectionId::Client(number) = self.id {
            number as usize
        } else {
            0
        }
    }
}
