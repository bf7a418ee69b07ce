//! Progress of a streamed value. It does no I/O, so that the sockets and the emulator share it.
//!
//! No pause ends a value. Its progress is shown in the log if it breaks off, and tells which value is given up when no
//! file descriptor is left.

/// Progress of one streamed value. Times are in seconds on the caller's clock.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    /// Length of the value in bytes.
    length: usize,
    /// Number of bytes of the value that have arrived from its backend.
    received: usize,
    /// Time at which bytes last arrived from the backend, or were last taken by the client.
    moved_at: f64,
    /// Number of bytes that the client had not acknowledged at the last check.
    unacknowledged: usize,
}

/// How far a value has come that can't be completed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InterruptedStream {
    /// Length of the value in bytes.
    pub length: usize,
    /// Number of bytes of the value that have arrived from its backend.
    pub received: usize,
    /// Time for which nothing of it has moved, in seconds.
    pub silence: f64,
}

impl StreamProgress {
    /// Returns the progress of a value of this length that starts now.
    pub fn start(now: f64, length: usize) -> StreamProgress {
        StreamProgress { length, received: 0, moved_at: now, unacknowledged: 0 }
    }

    /// Records that this many bytes of the value arrived.
    pub fn record_received(&mut self, now: f64, bytes: usize) {
        if bytes > 0 {
            self.received += bytes;
            self.moved_at = now;
        }
    }

    /// Records how many bytes the client has not acknowledged: if their number has changed since the last check, the
    /// client has taken some meanwhile.
    pub fn record_unacknowledged(&mut self, now: f64, bytes: usize) {
        if std::mem::replace(&mut self.unacknowledged, bytes) != bytes {
            self.moved_at = now;
        }
    }

    /// Returns the time for which nothing has moved, in seconds.
    pub fn silence(&self, now: f64) -> f64 {
        now - self.moved_at
    }

    /// Returns what the log shows if the value breaks off now.
    pub fn interrupted(&self, now: f64) -> InterruptedStream {
        InterruptedStream { length: self.length, received: self.received, silence: self.silence(now) }
    }
}
