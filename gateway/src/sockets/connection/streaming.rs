//! Streaming of large values: from a backend's connection to a client's, as fast as the client takes them.
use super::{Connection, SCRATCH_BYTES};
use atomic_refcell::AtomicRefCell;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// How much of a value may wait for its client, in bytes.
const MAX_WAITING_BYTES: usize = 64 * 1024;
/// The same once all streamed values together have their fraction of the memory, in bytes.
const MAX_WAITING_BYTES_MEMORY_SHORT: usize = 4 * 1024;

/// A backend's side of a stream.
pub(super) struct StreamSource {
    /// The client that the value goes to.
    target: AtomicRefCell<Option<Arc<Connection>>>,
    /// The backend's connection may read on.
    pub resumed: AtomicBool,
    /// When something was last forwarded.
    last_progress: AtomicRefCell<Instant>,
    /// It waits for its client.
    pub waits_for_client: AtomicBool,
}

impl StreamSource {
    /// Nothing is streamed yet.
    pub fn new() -> StreamSource {
        StreamSource {
            target: AtomicRefCell::default(),
            resumed: AtomicBool::new(false),
            last_progress: AtomicRefCell::new(Instant::now()),
            waits_for_client: AtomicBool::new(false),
        }
    }

    /// Something was forwarded.
    pub fn progressed(&self) {
        *self.last_progress.borrow_mut() = Instant::now();
    }
}

/// A client's side of a stream.
#[derive(Default)]
pub(super) struct StreamTarget {
    /// The backend's connection that the value comes from.
    source: AtomicRefCell<Option<Arc<Connection>>>,
    /// How many bytes of it are counted as waiting.
    counted_bytes: AtomicUsize,
}

impl Connection {
    /// Streams the value that has begun here to this client from now on, or to nobody.
    pub fn stream_to(self: &Arc<Connection>, target: Option<Arc<Connection>>) {
        let Some(length) = self.reader.borrow_mut().start_streaming() else { return };
        if let Some(target) = &target {
            let header = format!("${length}\r\n");
            target.out.borrow_mut().buffer().extend_from_slice(header.as_bytes());
            *target.stream_target.source.borrow_mut() = Some(self.clone());
        }
        *self.stream_source.target.borrow_mut() = target;
        self.stream_source.progressed();
        self.stream_source.resumed.store(true, Ordering::Relaxed);
        self.waker.wakeup();
    }

    /// For how many seconds nothing has been forwarded.
    pub fn stream_idle_seconds(&self) -> f64 {
        self.stream_source.last_progress.borrow().elapsed().as_secs_f64()
    }

    /// A value is being streamed, all that has arrived of it has left for its client, and more would be read. Bytes that have arrived
    /// while the process was paused may not have been read yet.
    pub fn is_waiting_for_backend(&self) -> bool {
        let target = self.stream_source.target.borrow();
        let flushed = target.as_ref().is_some_and(|target| target.is_flushed());
        let waits_for_client = self.stream_source.waits_for_client.load(Ordering::Relaxed);
        flushed && self.reader.borrow().is_streaming() && !waits_for_client && !self.has_unread_input()
    }

    /// How much of a value may be read now, in bytes; all of it where nobody waits for it.
    pub(super) fn stream_window(&self) -> usize {
        let reader = self.reader.borrow();
        if reader.is_stream_pending() {
            return 0;
        }
        match &*self.stream_source.target.borrow() {
            Some(target) if reader.is_streaming() && !target.closed.load(Ordering::Relaxed) => {
                target.receive_window()
            }
            _ => SCRATCH_BYTES,
        }
    }

    /// How much more of a value may wait for this client, in bytes.
    fn receive_window(&self) -> usize {
        let streamed = self.context.streamed_bytes.load(Ordering::Relaxed);
        let memory_is_short = streamed > self.context.max_streamed_bytes;
        match self.out.borrow().len() {
            0 if memory_is_short => MAX_WAITING_BYTES_MEMORY_SHORT,
            waiting if memory_is_short || waiting >= MAX_WAITING_BYTES => 0,
            waiting => MAX_WAITING_BYTES - waiting,
        }
    }

    /// Forwards a part of the value. `end`: the last one, with the line's end behind it.
    pub(super) fn forward_chunk(&self, bytes: &[u8], end: bool) {
        self.stream_source.progressed();
        let target = self.stream_source.target.borrow().clone();
        let open = target.as_ref().filter(|target| !target.closed.load(Ordering::Relaxed));
        if let Some(target) = open {
            let mut out = target.out.borrow_mut();
            out.buffer().extend_from_slice(bytes);
            out.buffer().extend_from_slice(if end { b"\r\n" } else { b"" });
            drop(out);
            target.flush();
        }
        if let Some(target) = target.filter(|_| end) {
            target.detach_stream_source();
            *self.stream_source.target.borrow_mut() = None;
        }
    }

    fn detach_stream_source(&self) {
        self.count_streamed(0);
        *self.stream_target.source.borrow_mut() = None;
    }

    /// What was written to this client has left, but for so many bytes.
    pub(super) fn stream_flushed(&self, unwritten: usize) {
        if let Some(source) = &*self.stream_target.source.borrow() {
            self.count_streamed(unwritten);
            if unwritten == 0 && source.stream_source.waits_for_client.swap(false, Ordering::Relaxed) {
                source.waker.wakeup();
            }
        }
    }

    /// Counts how much of a value waits for this client now, in bytes.
    pub(super) fn count_streamed(&self, waiting: usize) {
        let before = self.stream_target.counted_bytes.swap(waiting, Ordering::Relaxed);
        let all = self.context.streamed_bytes.load(Ordering::Relaxed) + waiting - before;
        self.context.streamed_bytes.store(all, Ordering::Relaxed);
    }

    pub(super) fn wake_stream_source(&self) {
        if let Some(source) = &*self.stream_target.source.borrow() {
            source.waker.wakeup();
        }
    }

    /// The connection has ended: nothing is streamed from it or to it any more.
    pub(super) fn detach_streams(&self) {
        if let Some(source) = self.stream_target.source.borrow_mut().take() {
            source.waker.wakeup();
        }
        if let Some(target) = self.stream_source.target.borrow_mut().take() {
            target.detach_stream_source();
        }
    }
}
