//! One TCP connection of any kind: a coroutine reads and decodes; what is written leaves with the batch.
mod capacity;
mod context;
mod decoding;
mod lifecycle;
mod read_loop;
mod sink;
mod streaming;
mod writing;

pub use context::ConnectionContext;

use crate::state::connection::ConnectionId;
use crate::state::framing::MessageReader;
use crate::state::write_buffer::WriteBuffer;
use atomic_refcell::AtomicRefCell;
use capacity::PendingCommands;
use may::io::{CoIo, WaitIoWaker};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use streaming::{StreamSource, StreamTarget};

/// The flags of epoll, as the runtime reports them.
mod readiness {
    /// The socket takes more.
    pub const WRITABLE: usize = 0x4;
    /// The connection broke.
    pub const ERROR: usize = 0x8;
    const IN: usize = 0x1;
    const HANG_UP: usize = 0x10;
    const PEER_CLOSED: usize = 0x2000;
    /// The peer has ended the connection, or its direction of it.
    pub const ENDED: usize = ERROR | HANG_UP | PEER_CLOSED;
    /// There is something to read, an end or an error included.
    pub const READABLE: usize = IN | ENDED;
}

/// Buffers larger than this are not kept, in bytes.
const MAX_KEPT_BUFFER_BYTES: usize = 16 * 1024;
/// How much is read at once, in bytes.
const SCRATCH_BYTES: usize = 64 * 1024;

/// One connection.
pub struct Connection {
    id: ConnectionId,
    /// The address of the other side.
    pub peer: SocketAddr,
    stream: CoIo<TcpStream>,
    waker: WaitIoWaker,
    /// What waits to be written.
    pub out: AtomicRefCell<WriteBuffer>,
    /// Where the connection is in its messages.
    reader: AtomicRefCell<MessageReader>,
    /// We have closed it, or its coroutine has ended.
    closed: AtomicBool,
    /// Input is discarded until its end; for an operator: the response is the last that leaves.
    input_discarded: AtomicBool,
    /// A client's commands that have no reply yet.
    commands: PendingCommands,
    /// A backend's: the value that is streamed from here.
    stream_source: StreamSource,
    /// A client's: the value that is streamed to here.
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

    /// A client's number; 0 for others.
    fn client_number(&self) -> usize {
        if let ConnectionId::Client(number) = self.id {
            number as usize
        } else {
            0
        }
    }
}
