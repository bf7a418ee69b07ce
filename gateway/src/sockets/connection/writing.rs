//! Writing: what waits in a connection's buffer leaves as far as the socket takes it.
use super::{Connection, MAX_KEPT_BUFFER_BYTES};
use crate::state::connection::ConnectionId;
use std::io::{ErrorKind, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering;

impl Connection {
    /// Writes what is waiting, as far as the socket takes it; the rest once it takes more.
    pub fn flush(&self) {
        let mut out = self.out.borrow_mut();
        let mut written = 0;
        while written < out.len() {
            match self.stream.inner().write(&out.bytes()[written..]) {
                Ok(length) if length > 0 => written += length,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => break, // the socket is full; or the reader finds out that it broke
            }
        }
        let attempts = out.consume(written);
        self.context.written_attempts.fetch_add(attempts, Ordering::Relaxed);
        if self.is_answered_operator() && out.is_empty() {
            let _ = self.stream.inner().shutdown(Shutdown::Write); // it may be gone
        }
        out.shrink(MAX_KEPT_BUFFER_BYTES);
        let unwritten = out.len();
        drop(out);
        self.stream_flushed(unwritten);
    }

    fn is_answered_operator(&self) -> bool {
        matches!(self.id, ConnectionId::Admin(_)) && self.input_discarded.load(Ordering::Relaxed)
    }

    /// Whether all that was written has left.
    pub fn is_flushed(&self) -> bool {
        self.out.borrow().is_empty()
    }
}
