//! Writes a connection's buffered output to its socket.
use super::{Connection, MAX_RETAINED_BUFFER_BYTES};
use crate::sockets::failure::SocketFailure;
use crate::state::connection::ConnectionId;
use crate::state::event::Event;
use crate::state::memory_budget::MemoryUse;
use crate::state::write_buffer::WriteBuffer;
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;

impl Connection {
    /// Writes as much buffered output as the socket accepts; the rest is written when the socket becomes
    /// writable.
    pub fn flush(self: &Arc<Connection>) {
        let mut write_buffer = self.write_buffer.borrow_mut();
        while !write_buffer.is_empty() {
            let available = write_buffer.bytes().len();
            let written = self.write(write_buffer.bytes());
            let attempts = write_buffer.consume(written);
            self.context.written_attempts.fetch_add(attempts, Ordering::Relaxed);
            if written < available {
                break;
            }
        }
        if self.is_answered_operator() && write_buffer.is_empty() {
            // Fails if the operator has closed the connection.
            let _ = self.stream.inner().shutdown(Shutdown::Write);
        }
        write_buffer.shrink(MAX_RETAINED_BUFFER_BYTES);
        let unwritten = write_buffer.len();
        self.count_output(&write_buffer);
        drop(write_buffer);
        self.stream_flushed(unwritten);
        if unwritten == 0 && self.reports_written_output.swap(false, Ordering::Relaxed) {
            let client = self.client_number() as u64;
            self.context.events.push(Event::ClientOutputWritten(client));
        }
    }

    /// Counts the memory of the write buffer.
    pub fn count_output(&self, write_buffer: &WriteBuffer) {
        self.memory.set(MemoryUse::Output, write_buffer.capacity());
    }

    /// Writes as many of these bytes as the socket accepts; returns their number.
    fn write(self: &Arc<Connection>, bytes: &[u8]) -> usize {
        let mut written = 0;
        while written < bytes.len() {
            match self.stream.inner().write(&bytes[written..]) {
                Ok(0) => break,
                Ok(length) => written += length,
                Err(error) => match SocketFailure::of(&error) {
                    SocketFailure::Interrupted => {}
                    SocketFailure::WouldBlock => break,
                    SocketFailure::OutOfResources => {
                        self.retries_write.store(true, Ordering::Relaxed);
                        self.context.retry_later(self);
                        break;
                    }
                    SocketFailure::Broken => {
                        self.write_failed.store(true, Ordering::Relaxed);
                        self.waker.wakeup();
                        break;
                    }
                },
            }
        }
        written
    }

    /// Writes a client's buffered output; returns whether nothing is left. Otherwise `ClientOutputWritten`
    /// follows when the rest is written.
    pub fn flush_or_report_later(self: &Arc<Connection>) -> bool {
        self.flush();
        let is_flushed = self.is_flushed();
        self.reports_written_output.store(!is_flushed, Ordering::Relaxed);
        is_flushed
    }

    /// Whether this is an operator's connection whose response is in the buffer or written.
    fn is_answered_operator(&self) -> bool {
        matches!(self.id, ConnectionId::Admin(_)) && self.operator_answered.load(Ordering::Relaxed)
    }

    /// Whether all output has been written to the socket.
    pub fn is_flushed(&self) -> bool {
        self.write_buffer.borrow().is_empty()
    }
}
