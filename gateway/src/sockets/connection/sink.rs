//! Passes decoded messages to the event queue, and streamed values to their clients.
use super::Connection;
use crate::state::event::Event;
use crate::state::framing::MessageSink;
use crate::wire::resp::{BackendReply, ClientCommand};

/// Shortest time that a request may have left, in milliseconds.
const MIN_TIMEOUT_MS: f64 = 1.0;

/// Receives the decoded messages of one connection.
pub(super) struct EventSink<'a>(pub &'a Connection);

impl EventSink<'_> {
    /// Counts a command among the pending ones; returns it, or what takes its place if there is no memory for it.
    fn count_command(&self, command: ClientCommand, message_bytes: usize) -> ClientCommand {
        let waited_ms = self.0.take_waited_ms();
        let ClientCommand::Request(mut request) = command else {
            self.0.count_command(0);
            return command;
        };
        let timeout_ms = request.timeout_ms - waited_ms as f64;
        let is_too_late = waited_ms > 0 && timeout_ms < MIN_TIMEOUT_MS;
        if is_too_late || !self.0.can_store_request(message_bytes) {
            self.0.count_command(0);
            return ClientCommand::OutOfMemory { operation: request.operation().to_vec() };
        }
        self.0.count_command(message_bytes);
        request.timeout_ms = timeout_ms;
        ClientCommand::Request(request)
    }
}

impl MessageSink for EventSink<'_> {
    fn event(&mut self, event: Event, message_bytes: usize) {
        let event = match event {
            Event::ClientCommand { client, command } => {
                Event::ClientCommand { client, command: self.count_command(command, message_bytes) }
            }
            Event::BackendReply { reply: BackendReply::Value { ref value, .. }, .. } => {
                self.0.context.record_value(value.len());
                event
            }
            _ => event,
        };
        self.0.context.events.push(event);
    }

    fn is_full(&self) -> bool {
        self.0.has_enough_commands()
    }

    fn body_chunk(&mut self, bytes: &[u8], is_last: bool) {
        self.0.forward_chunk(bytes, is_last);
    }
}
