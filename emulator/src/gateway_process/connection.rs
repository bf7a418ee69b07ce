//! The state of a gateway process's connection, as the socket layer keeps it.
use crate::network::LinkId;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::framing::{MessageReader, MessageSink};
use quillramp_gateway::state::stream_progress::StreamProgress;
use quillramp_gateway::state::write_buffer::WriteBuffer;

/// A connection that is open or being established.
pub(super) struct Connection {
    /// The link of the connection.
    pub link: LinkId,
    /// Whether the remote has accepted the connection.
    pub established: bool,
    /// Decodes the received bytes.
    pub reader: MessageReader,
    /// Bytes received and not decoded yet.
    pub received: Vec<u8>,
    /// Bytes not written yet.
    pub write_buffer: WriteBuffer,
    /// The client connection that a long value from this backend connection is streamed to.
    pub stream_to: Option<ConnectionId>,
    /// Whether nothing more is read from the client's link.
    pub reading_stopped: bool,
    /// Progress of the long value that is being streamed from this connection.
    pub stream_progress: Option<StreamProgress>,
    /// Time at which the last attempt's client no longer waits, in seconds.
    pub reply_due_at: f64,
    /// Whether the remote closed the connection after bytes that are not decoded yet.
    pub remote_closed: bool,
}

impl Connection {
    /// Creates the state of a connection. `established` is whether the remote has accepted it.
    pub fn new(link: LinkId, id: ConnectionId, established: bool) -> Connection {
        Connection {
            link,
            established,
            reader: MessageReader::new(id),
            received: vec![],
            write_buffer: WriteBuffer::default(),
            stream_to: None,
            reading_stopped: false,
            stream_progress: None,
            reply_due_at: f64::INFINITY,
            remote_closed: false,
        }
    }
}

/// The output of one call of the reader.
#[derive(Default)]
pub(super) struct DecodedInput {
    /// Events for the reducer.
    pub events: Vec<Event>,
    /// Bytes of a long value, encoded for its client.
    pub streamed: Vec<u8>,
    /// Whether the long value is complete.
    pub stream_ended: bool,
}

impl MessageSink for DecodedInput {
    fn event(&mut self, event: Event, _length: usize) {
        self.events.push(event);
    }

    fn body_chunk(&mut self, bytes: &[u8], end: bool) {
        self.streamed.extend_from_slice(bytes);
        if end {
            self.streamed.extend_from_slice(b"\r\n");
        }
        self.stream_ended |= end;
    }
}
