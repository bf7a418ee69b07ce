//! Where decoded messages go: into the event queue, and a streamed value on to its client.
use super::Connection;
use crate::state::event::Event;
use crate::state::framing::MessageSink;

/// Takes the messages of one connection.
pub(super) struct EventSink<'a>(pub &'a Connection);

impl MessageSink for EventSink<'_> {
    fn event(&mut self, event: Event, long: usize) {
        if matches!(event, Event::StreamStarted(_)) {
            self.0.stream_source.progressed();
        }
        if matches!(event, Event::ClientCommand { .. }) {
            self.0.count_command(long);
        }
        self.0.context.events.push(event);
    }

    fn is_full(&self) -> bool {
        self.0.commands.is_full()
    }

    fn body_chunk(&mut self, bytes: &[u8], end: bool) {
        self.0.forward_chunk(bytes, end);
    }
}
