//! Streams large values from a backend's connection to a client's, as fast as the client reads them.
use super::{Connection, READ_BUFFER_BYTES};
use crate::state::stream_progress::{InterruptedStream, StreamProgress};
use atomic_refcell::AtomicRefCell;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Maximum amount of a value that is buffered for its client, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum amount of a value that is buffered for its client while the memory for all streamed values is used
/// up, in bytes.
const MAX_BUFFERED_BYTES_LOW_MEMORY: usize = 4 * 1024;

/// The backend's side of a stream.
pub(super) struct StreamSource {
    /// The client's connection that receives the value; `None` if the value is discarded.
    target: AtomicRefCell<Option<Arc<Connection>>>,
    /// Set when input that was held back until the stream had a target may be decoded.
    pub resumed: AtomicBool,
    /// Origin of the times in `progress`.
    created_at: Instant,
    /// Progress of the value that is being forwarded.
    progress: AtomicRefCell<Option<StreamProgress>>,
    /// Set while reading is paused because the client has to read first.
    pub waits_for_client: AtomicBool,
}

impl StreamSource {
    /// Returns the state of a connection from which nothing is streamed.
    pub fn new() -> StreamSource {
        StreamSource {
            target: AtomicRefCell::default(),
            resumed: AtomicBool::new(false),
            created_at: Instant::now(),
            progress: AtomicRefCell::default(),
            waits_for_client: AtomicBool::new(false),
        }
    }

    fn now(&self) -> f64 {
        self.created_at.elapsed().as_secs_f64()
    }
}

/// The client's side of a stream.
#[derive(Default)]
pub(super) struct StreamTarget {
    /// The backend's connection that sends the value.
    source: AtomicRefCell<Option<Arc<Connection>>>,
    /// Part of `ConnectionContext::buffered_stream_bytes` that is this client's.
    counted_bytes: AtomicUsize,
}

impl Connection {
    /// Starts to stream the pending value of this connection to a client, or to discard it if there is no
    /// target.
    pub fn stream_to(self: &Arc<Connection>, target: Option<Arc<Connection>>) {
        let Some(length) = self.reader.borrow_mut().start_streaming() else { return };
        if let Some(target) = &target {
            let header = format!("${length}\r\n");
            target.write_buffer.borrow_mut().buffer().extend_from_slice(header.as_bytes());
            *target.stream_target.source.borrow_mut() = Some(self.clone());
        }
        let progress = StreamProgress::start(self.stream_source.now(), length);
        *self.stream_source.progress.borrow_mut() = target.is_some().then_some(progress);
        *self.stream_source.target.borrow_mut() = target;
        self.stream_source.resumed.store(true, Ordering::Relaxed);
        self.waker.wakeup();
    }

    /// Returns how far the value has come that is being forwarded from this connection.
    pub fn interrupted_stream(&self) -> Option<InterruptedStream> {
        let progress = *self.stream_source.progress.borrow();
        progress.map(|progress| progress.interrupted(self.stream_source.now()))
    }

    /// Returns the time for which nothing has moved of the value that is being forwarded from this connection, in
    /// seconds.
    pub fn stream_silence(&self) -> Option<f64> {
        let now = self.stream_source.now();
        let target = self.stream_source.target.borrow();
        let mut progress = self.stream_source.progress.borrow_mut();
        let (target, progress) = target.as_ref().zip(progress.as_mut())?;
        progress.record_unacknowledged(now, target.unacknowledged_bytes());
        Some(progress.silence(now))
    }

    /// Makes the client of the value that is being forwarded from this connection lose all output that it has not taken:
    /// its descriptor is needed at once.
    pub fn discard_stream_output(&self) {
        if let Some(target) = &*self.stream_source.target.borrow() {
            target.discard_output();
        }
    }

    /// Returns how many bytes may be read now: what the client has room for while a value is streamed to it,
    /// none while a value waits for its target, otherwise a full read buffer.
    pub(super) fn stream_window(&self) -> usize {
        let reader = self.reader.borrow();
        if reader.is_stream_pending() {
            return 0;
        }
        match &*self.stream_source.target.borrow() {
            Some(target) if reader.is_streaming() && !target.closed.load(Ordering::Relaxed) => {
                target.receive_window()
            }
            _ => READ_BUFFER_BYTES,
        }
    }

    /// Returns how many more bytes of a value may be buffered for this client.
    fn receive_window(&self) -> usize {
        let buffered_by_all = self.context.buffered_stream_bytes.load(Ordering::Relaxed);
        let memory_is_short = buffered_by_all > self.context.max_buffered_stream_bytes;
        match self.write_buffer.borrow().len() {
            0 if memory_is_short => MAX_BUFFERED_BYTES_LOW_MEMORY,
            buffered if memory_is_short || buffered >= MAX_BUFFERED_BYTES => 0,
            buffered => MAX_BUFFERED_BYTES - buffered,
        }
    }

    /// Forwards a part of the value, or discards it if there is no client or its connection is closed. After
    /// the last part, the line terminator is written and the stream ends.
    pub(super) fn forward_chunk(&self, bytes: &[u8], is_last: bool) {
        if let Some(progress) = self.stream_source.progress.borrow_mut().as_mut() {
            progress.record_received(self.stream_source.now(), bytes.len());
        }
        let target = self.stream_source.target.borrow().clone();
        let open_target = target.as_ref().filter(|target| !target.closed.load(Ordering::Relaxed));
        if let Some(target) = open_target {
            let mut write_buffer = target.write_buffer.borrow_mut();
            write_buffer.buffer().extend_from_slice(bytes);
            write_buffer.buffer().extend_from_slice(if is_last { b"\r\n" } else { b"" });
            drop(write_buffer);
            target.flush();
        }
        if let Some(target) = target.filter(|_| is_last) {
            target.detach_stream_source();
            *self.stream_source.target.borrow_mut() = None;
            *self.stream_source.progress.borrow_mut() = None;
        }
    }

    /// Ends the client's side of the stream.
    fn detach_stream_source(&self) {
        self.count_buffered_stream(0);
        *self.stream_target.source.borrow_mut() = None;
    }

    /// Records that all but `unwritten` bytes of this client's output are written, and wakes the stream's
    /// source if it waits for that.
    pub(super) fn stream_flushed(&self, unwritten: usize) {
        if let Some(source) = &*self.stream_target.source.borrow() {
            self.count_buffered_stream(unwritten);
            if unwritten == 0 && source.stream_source.waits_for_client.swap(false, Ordering::Relaxed) {
                source.waker.wakeup();
            }
        }
    }

    /// Updates the count of buffered bytes for this client, whose output has this many unwritten bytes.
    pub(super) fn count_buffered_stream(&self, unwritten: usize) {
        let previous = self.stream_target.counted_bytes.swap(unwritten, Ordering::Relaxed);
        let total = self.context.buffered_stream_bytes.load(Ordering::Relaxed) + unwritten - previous;
        self.context.buffered_stream_bytes.store(total, Ordering::Relaxed);
    }

    /// Wakes the backend's connection that streams a value to this client, if there is one.
    pub(super) fn wake_stream_source(&self) {
        if let Some(source) = &*self.stream_target.source.borrow() {
            source.waker.wakeup();
        }
    }

    /// Ends the streams from and to this connection when the connection has ended.
    pub(super) fn detach_streams(&self) {
        if let Some(source) = self.stream_target.source.borrow_mut().take() {
            source.waker.wakeup();
        }
        if let Some(target) = self.stream_source.target.borrow_mut().take() {
            target.detach_stream_source();
        }
    }
}
