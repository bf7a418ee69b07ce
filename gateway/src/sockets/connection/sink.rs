//! Passes decoded messages to the event queue, and streamed values to their clients.
use super::Connection;
use crate::state::event::Event;
use crate::state::framing::MessageSink;

/// Receives the decoded messages of one connection.
pub(super) struct EventSink<'a>(pub &'a Connection);

impl MessageSink for EventSink<'_> {
    fn event(&mut self, event: Event, long_command_bytes: usize) {
        if matches!(event, Event::StreamStarted(_)) {
            self.0.stream_source.record_progress();
        }
        if matches!(event, Event::ClientCommand { .. }) {
            self.0.count_command(long_command_bytes);
        }
        self.0.context.events.push(event);
    }

    fn is_full(&self) -> bool {
        self.0.pending_commands.is_full()
    }

    fn body_chunk(&mut self, bytes: &[u8], is_last: bool) {
        self.0.forward_chunk(bytes, is_last);
    }
}
