//! Messages on one connection: bytes in, events out. No socket, so that whoever moves the bytes (the sockets, the emulator)
//! reads them alike.
use super::connection::{CloseReason, ConnectionId};
use super::event::Event;
use crate::wire::{admin, http, resp, DecodedMessage, ProtocolError};

/// Where a backend's connection is in a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplyStage {
    /// At its beginning.
    Head,
    /// A long value has begun, and is not forwarded before `start_streaming`.
    StreamPending { bytes_left: usize },
    /// So much of the value is still to be forwarded.
    Streaming { bytes_left: usize },
    /// Behind the value.
    Trailer,
}

/// Who is notified of what came.
pub trait MessageSink {
    /// An event. `long`: the bytes of a long command, which it holds until it is answered; else 0.
    fn event(&mut self, event: Event, long: usize);
    /// A piece of a value that is being forwarded. `end`: the last one, with the end of its line.
    fn body_chunk(&mut self, bytes: &[u8], end: bool);
    /// No more events are wanted now; the bytes that are left are for later.
    fn is_full(&self) -> bool {
        false
    }
}

/// What was found at the beginning of some bytes.
enum DecodeStep {
    /// A message.
    Message {
        /// What it says.
        event: Event,
        /// How many bytes it took.
        length: usize,
    },
    /// So many bytes of a value, which have been forwarded.
    Forwarded(usize),
    /// The beginning of a message.
    Partial,
    /// Nothing can be done with the bytes yet.
    Blocked,
}

/// Reads the messages on one connection.
pub struct MessageReader {
    connection: ConnectionId,
    stage: ReplyStage,
    /// Nothing more of what comes is looked at.
    pub discard: bool,
}

impl MessageReader {
    /// For a connection on which nothing has come.
    pub fn new(connection: ConnectionId) -> MessageReader {
        MessageReader { connection, stage: ReplyStage::Head, discard: false }
    }

    /// Lets a value that has begun be forwarded; returns its length in bytes, or none if no value is pending.
    pub fn start_streaming(&mut self) -> Option<usize> {
        let ReplyStage::StreamPending { bytes_left } = self.stage else { return None };
        self.stage = ReplyStage::Streaming { bytes_left };
        Some(bytes_left)
    }

    /// Whether a value has begun and waits for `start_streaming`.
    pub fn is_stream_pending(&self) -> bool {
        matches!(self.stage, ReplyStage::StreamPending { .. })
    }

    /// Whether a value is being forwarded.
    pub fn is_streaming(&self) -> bool {
        matches!(self.stage, ReplyStage::Streaming { .. })
    }

    /// Reports each complete message; returns how many bytes they took.
    pub fn decode(&mut self, bytes: &[u8], to: &mut dyn MessageSink) -> Result<usize, CloseReason> {
        let mut done = 0;
        loop {
            let rest = &bytes[done..];
            if rest.is_empty() || to.is_full() {
                return Ok(done);
            }
            match self.decode_one(rest, to)? {
                DecodeStep::Message { event, length } => {
                    let is_long = length > resp::MAX_MESSAGE_BYTES;
                    to.event(event, if is_long { length } else { 0 });
                    done += length;
                }
                DecodeStep::Forwarded(length) => done += length,
                DecodeStep::Partial => {
                    to.event(self.partial_message(rest.len()), 0);
                    return Ok(done);
                }
                DecodeStep::Blocked => return Ok(done),
            }
        }
    }

    fn decode_one(&mut self, bytes: &[u8], to: &mut dyn MessageSink) -> Result<DecodeStep, CloseReason> {
        match self.connection {
            ConnectionId::Client(client) => Ok(self.decode_command(client, bytes, to)),
            ConnectionId::Backend(id) => self.decode_reply(id, bytes, to),
            ConnectionId::Admin(connection) => {
                let Some(call) = admin::decode_call(bytes) else { return Ok(DecodeStep::Partial) };
                self.discard = true; // one call to a connection
                let event = Event::AdminCall { connection, call };
                Ok(DecodeStep::Message { event, length: bytes.len() })
            }
            ConnectionId::Counter(_) | ConnectionId::Discovery(_) => self.decode_response(bytes),
        }
    }

    /// The command at the beginning of these bytes of a client.
    fn decode_command(&mut self, client: u64, bytes: &[u8], to: &mut dyn MessageSink) -> DecodeStep {
        match resp::decode_command(bytes) {
            Ok(Some(DecodedMessage { value: command, length })) => {
                let event = Event::ClientCommand { client, command };
                DecodeStep::Message { event, length }
            }
            Ok(None) => DecodeStep::Partial,
            Err(ProtocolError(error)) => {
                self.protocol_error(error, to);
                DecodeStep::Forwarded(bytes.len())
            }
        }
    }

    /// The response at the beginning of these bytes of the counter or of the discovery service.
    fn decode_response(&self, bytes: &[u8]) -> Result<DecodeStep, CloseReason> {
        let decoded = http::decode_response(bytes).map_err(|_| CloseReason::BadFraming)?;
        let Some(DecodedMessage { value: response, length }) = decoded else {
            return Ok(DecodeStep::Partial);
        };
        let event = Event::HttpResponse { connection: self.connection, response };
        Ok(DecodeStep::Message { event, length })
    }

    /// The reply on a backend's connection, as far as it has come.
    fn decode_reply(
        &mut self,
        id: u64,
        bytes: &[u8],
        to: &mut dyn MessageSink,
    ) -> Result<DecodeStep, CloseReason> {
        match self.stage {
            ReplyStage::Head => self.decode_reply_head(id, bytes),
            ReplyStage::StreamPending { .. } => Ok(DecodeStep::Blocked),
            ReplyStage::Streaming { bytes_left } => {
                let length = self.forward_value(bytes_left, bytes, to)?;
                if length > bytes_left {
                    to.event(Event::StreamForwarded(id), 0);
                } else if length == 0 {
                    return Ok(DecodeStep::Blocked); // the end of the value's line is in two pieces
                }
                Ok(DecodeStep::Forwarded(length))
            }
            ReplyStage::Trailer => {
                let trailer = resp::decode_trailer(bytes).map_err(|_| CloseReason::BadFraming)?;
                let Some(DecodedMessage { value, length }) = trailer else { return Ok(DecodeStep::Blocked) };
                let resp::ReplyTrailer { billed_units, load_report } = value;
                self.stage = ReplyStage::Head;
                let more_received = length < bytes.len();
                let event = Event::StreamTrailer { connection: id, billed_units, load_report, more_received };
                Ok(DecodeStep::Message { event, length })
            }
        }
    }

    fn decode_reply_head(&mut self, id: u64, bytes: &[u8]) -> Result<DecodeStep, CloseReason> {
        let stream = resp::decode_stream_head(bytes).map_err(|_| CloseReason::BadFraming)?;
        if let Some(DecodedMessage { value: bytes_left, length }) = stream {
            self.stage = ReplyStage::StreamPending { bytes_left };
            return Ok(DecodeStep::Message { event: Event::StreamStarted(id), length });
        }
        let reply = resp::decode_reply(bytes).map_err(|_| CloseReason::BadFraming)?;
        let Some(DecodedMessage { value: reply, length }) = reply else { return Ok(DecodeStep::Partial) };
        let more_received = length < bytes.len();
        let event = Event::BackendReply { connection: id, reply, more_received };
        Ok(DecodeStep::Message { event, length })
    }

    /// The event for a message of which so many bytes have come, and not the rest.
    fn partial_message(&self, bytes: usize) -> Event {
        match self.connection {
            ConnectionId::Client(client) if bytes > resp::MAX_MESSAGE_BYTES => {
                Event::BodyProgress { client, has_capacity: true }
            }
            connection => Event::PartialMessage(connection),
        }
    }

    /// Forwards the beginning of these bytes, as far as they belong to the value; returns how many that were, with the end
    /// of its line.
    fn forward_value(
        &mut self,
        bytes_left: usize,
        bytes: &[u8],
        to: &mut dyn MessageSink,
    ) -> Result<usize, CloseReason> {
        let length = bytes.len().min(bytes_left);
        self.stage = ReplyStage::Streaming { bytes_left: bytes_left - length };
        let line_end = if bytes_left == length { bytes.get(length..length + 2) } else { None };
        if line_end.is_some_and(|line_end| line_end != b"\r\n") {
            return Err(CloseReason::BadFraming);
        }
        to.body_chunk(&bytes[..length], line_end.is_some());
        let Some(line_end) = line_end else { return Ok(length) };
        self.stage = ReplyStage::Trailer;
        Ok(length + line_end.len())
    }

    /// Nothing more of what this client sends can be understood.
    pub fn protocol_error(&mut self, error: &'static str, to: &mut dyn MessageSink) {
        let ConnectionId::Client(client) = self.connection else { return };
        if !std::mem::replace(&mut self.discard, true) {
            let command = resp::ClientCommand::ProtocolError(error);
            to.event(Event::ClientCommand { client, command }, 0);
        }
    }
}
