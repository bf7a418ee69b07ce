//! A process's connection, with what the socket layer keeps for one.
use crate::network::LinkId;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::framing::{MessageReader, MessageSink};
use quillramp_gateway::state::write_buffer::WriteBuffer;

/// An open connection, or one that was asked for.
pub(super) struct Connection {
    /// The link that it is on.
    pub link: LinkId,
    /// The remote has accepted it.
    pub established: bool,
    /// Decodes what arrives.
    pub reader: MessageReader,
    /// Bytes that have arrived and are not decoded yet.
    pub received: Vec<u8>,
    /// What is not written yet.
    pub write_buffer: WriteBuffer,
    /// Of a connection to a backend: the client that a long value is streamed to.
    pub stream_to: Option<ConnectionId>,
    /// Nothing is read from it any more.
    pub reading_stopped: bool,
    /// When something of a long value was streamed last.
    pub stream_progress_at: f64,
    /// The remote has closed it, behind bytes that are not decoded yet.
    pub remote_closed: bool,
}

impl Connection {
    /// A connection under this id; `established`: the remote has accepted it.
    pub fn new(link: LinkId, id: ConnectionId, established: bool) -> Connection {
        Connection {
            link,
            established,
            reader: MessageReader::new(id),
            received: vec![],
            write_buffer: WriteBuffer::default(),
            stream_to: None,
            reading_stopped: false,
            stream_progress_at: f64::NEG_INFINITY,
            remote_closed: false,
        }
    }
}

/// What one pass of the reader decoded.
#[derive(Default)]
pub(super) struct DecodedInput {
    /// Events for the reducer.
    pub events: Vec<Event>,
    /// Bytes of a long value, as its client gets them.
    pub streamed: Vec<u8>,
    /// The long value is complete.
    pub stream_ended: bool,
}

impl DecodedInput {
    /// Whether something of a long value was decoded.
    pub fn has_stream_progress(&self) -> bool {
        let started = self.events.iter().any(|event| matches!(event, Event::StreamStarted(_)));
        started || !self.streamed.is_empty()
    }
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
