//! Decoding of the messages on one connection into events. It does no I/O, so that the sockets and the emulator share
//! it.
use super::connection::{CloseReason, ConnectionId};
use super::event::Event;
use crate::wire::{admin, http, resp, DecodedMessage, ProtocolError};

/// Position of a backend's connection within a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplyStage {
    /// At the beginning of a reply.
    Head,
    /// At the beginning of a long value, which is not forwarded before `start_streaming`.
    StreamPending { bytes_left: usize },
    /// Within a value that is being forwarded, with this number of bytes left.
    Streaming { bytes_left: usize },
    /// After the value.
    Trailer,
}

/// Receiver of the events and streamed values that a [`MessageReader`] decodes.
pub trait MessageSink {
    /// Takes an event. `message_bytes`: the length of the message that it reports; 0 for other events.
    fn event(&mut self, event: Event, message_bytes: usize);
    /// Takes a chunk of a value that is being forwarded. `is_last`: whether the value and the line end after
    /// it have now been received; the chunk may be empty then.
    fn body_chunk(&mut self, bytes: &[u8], is_last: bool);
    /// Returns whether to stop decoding for now and leave the remaining bytes for later.
    fn is_full(&self) -> bool {
        false
    }
}

/// The result of decoding the beginning of the received bytes.
enum DecodeStep {
    /// A complete message.
    Message {
        /// The event for the message.
        event: Event,
        /// The length of the message in bytes.
        length: usize,
    },
    /// This number of bytes was consumed, and the sink has been called for them.
    Consumed(usize),
    /// An incomplete message.
    Partial,
    /// The bytes can't be processed yet.
    Blocked,
}

/// Decodes the messages on one connection.
pub struct MessageReader {
    connection: ConnectionId,
    stage: ReplyStage,
    /// Whether all further input is to be discarded.
    pub discard: bool,
}

impl MessageReader {
    /// Creates a reader for a connection on which nothing has been received.
    pub fn new(connection: ConnectionId) -> MessageReader {
        MessageReader { connection, stage: ReplyStage::Head, discard: false }
    }

    /// Starts forwarding a pending value; returns its length in bytes, or `None` if no value is pending.
    pub fn start_streaming(&mut self) -> Option<usize> {
        let ReplyStage::StreamPending { bytes_left } = self.stage else { return None };
        self.stage = ReplyStage::Streaming { bytes_left };
        Some(bytes_left)
    }

    /// Returns whether a value is pending, to be forwarded after `start_streaming`.
    pub fn is_stream_pending(&self) -> bool {
        matches!(self.stage, ReplyStage::StreamPending { .. })
    }

    /// Returns whether a value is being forwarded.
    pub fn is_streaming(&self) -> bool {
        matches!(self.stage, ReplyStage::Streaming { .. })
    }

    /// Decodes messages and passes their events to the sink; returns the number of bytes consumed.
    ///
    /// # Errors
    ///
    /// Returns the reason to close the connection if the bytes are malformed.
    pub fn decode(&mut self, bytes: &[u8], sink: &mut dyn MessageSink) -> Result<usize, CloseReason> {
        let mut consumed = 0;
        loop {
            let rest = &bytes[consumed..];
            if rest.is_empty() || sink.is_full() {
                return Ok(consumed);
            }
            match self.decode_one(rest, sink)? {
                DecodeStep::Message { event, length } => {
                    sink.event(event, length);
                    consumed += length;
                }
                DecodeStep::Consumed(length) => consumed += length,
                DecodeStep::Partial => {
                    sink.event(self.partial_message(rest), 0);
                    return Ok(consumed);
                }
                DecodeStep::Blocked => return Ok(consumed),
            }
        }
    }

    fn decode_one(&mut self, bytes: &[u8], sink: &mut dyn MessageSink) -> Result<DecodeStep, CloseReason> {
        match self.connection {
            ConnectionId::Client(client) => Ok(self.decode_command(client, bytes, sink)),
            ConnectionId::Backend(id) => self.decode_reply(id, bytes, sink),
            ConnectionId::Admin(connection) => {
                let Some(call) = admin::decode_call(bytes) else { return Ok(DecodeStep::Partial) };
                self.discard = true; // an operator's connection carries one call
                let event = Event::AdminCall { connection, call };
                Ok(DecodeStep::Message { event, length: bytes.len() })
            }
            ConnectionId::Counter(_) | ConnectionId::Discovery(_) => self.decode_response(bytes, sink),
        }
    }

    /// Decodes a client's command at the beginning of these bytes.
    fn decode_command(&mut self, client: u64, bytes: &[u8], sink: &mut dyn MessageSink) -> DecodeStep {
        match resp::decode_command(bytes) {
            Ok(Some(DecodedMessage { value: command, length })) => {
                let event = Event::ClientCommand { client, command };
                DecodeStep::Message { event, length }
            }
            Ok(None) => DecodeStep::Partial,
            Err(ProtocolError(error)) => {
                self.protocol_error(error, sink);
                DecodeStep::Consumed(bytes.len())
            }
        }
    }

    /// Decodes a response of the counter or of the list service at the beginning of these bytes.
    fn decode_response(&self, bytes: &[u8], sink: &mut dyn MessageSink) -> Result<DecodeStep, CloseReason> {
        let decoded = http::decode_response(bytes).map_err(|_| CloseReason::BadFraming)?;
        let Some(DecodedMessage { value: response, length }) = decoded else {
            return self.skip_interim_responses(bytes, sink);
        };
        let event = Event::HttpResponse { connection: self.connection, response };
        Ok(DecodeStep::Message { event, length })
    }

    /// Consumes the interim responses before an incomplete final one, so that they do not add up.
    fn skip_interim_responses(
        &self,
        bytes: &[u8],
        sink: &mut dyn MessageSink,
    ) -> Result<DecodeStep, CloseReason> {
        let length = http::interim_length(bytes).map_err(|_| CloseReason::BadFraming)?;
        if length == 0 {
            return Ok(DecodeStep::Partial);
        }
        sink.event(self.partial_message(bytes), 0);
        Ok(DecodeStep::Consumed(length))
    }

    /// Decodes the next part of a reply on a backend's connection.
    fn decode_reply(
        &mut self,
        id: u64,
        bytes: &[u8],
        sink: &mut dyn MessageSink,
    ) -> Result<DecodeStep, CloseReason> {
        match self.stage {
            ReplyStage::Head => self.decode_reply_head(id, bytes),
            ReplyStage::StreamPending { .. } => Ok(DecodeStep::Blocked),
            ReplyStage::Streaming { bytes_left } => {
                let length = self.forward_value(bytes_left, bytes, sink)?;
                if length > bytes_left {
                    sink.event(Event::StreamForwarded(id), 0);
                } else if length == 0 {
                    return Ok(DecodeStep::Blocked); // the second byte of the line end is missing
                }
                Ok(DecodeStep::Consumed(length))
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

    /// Returns the event for an incomplete message of which these bytes have been received.
    fn partial_message(&self, bytes: &[u8]) -> Event {
        match self.connection {
            ConnectionId::Client(client) if resp::has_begun_body(bytes) => {
                Event::BodyProgress { client, has_capacity: true }
            }
            connection => Event::PartialMessage(connection),
        }
    }

    /// Forwards the bytes at the beginning that belong to the value; returns their number, including the line end after
    /// the value.
    fn forward_value(
        &mut self,
        bytes_left: usize,
        bytes: &[u8],
        sink: &mut dyn MessageSink,
    ) -> Result<usize, CloseReason> {
        let length = bytes.len().min(bytes_left);
        self.stage = ReplyStage::Streaming { bytes_left: bytes_left - length };
        let line_end = if bytes_left == length { bytes.get(length..length + 2) } else { None };
        if line_end.is_some_and(|line_end| line_end != b"\r\n") {
            return Err(CloseReason::BadFraming);
        }
        sink.body_chunk(&bytes[..length], line_end.is_some());
        let Some(line_end) = line_end else { return Ok(length) };
        self.stage = ReplyStage::Trailer;
        Ok(length + line_end.len())
    }

    /// Reports a client's protocol error once, and discards all further input of the client.
    pub fn protocol_error(&mut self, error: &'static str, sink: &mut dyn MessageSink) {
        let ConnectionId::Client(client) = self.connection else { return };
        if !std::mem::replace(&mut self.discard, true) {
            let command = resp::ClientCommand::ProtocolError(error);
            sink.event(Event::ClientCommand { client, command }, 0);
        }
    }
}
