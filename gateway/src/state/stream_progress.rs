//! Progress of a streamed value, which tells a slow stream from one that will never end. It does no I/O, so that the
//! sockets and the emulator share it.
//!
//! A backend that has paused before may pause again for about as long. So a stream whose backend is silent is given up
//! only once the silence is unusual for that stream, and not before the time that a client waits beyond its timeout.

/// Time beyond the client's timeout before which no stream is given up, in seconds. A request counts as lost half a
/// second after its timeout (PROTOCOL.md); later replies on the connection wait for it.
const GRACE_SECONDS: f64 = 0.35;
/// A stream is given up if its backend is silent for this many times its longest pause so far.
const PAUSE_FACTOR: f64 = 2.0;
/// Silence of the backend after which any overdue stream is given up, in seconds.
const MAX_SILENCE_SECONDS: f64 = 2.0;
/// Period in which an overdue stream must move `MIN_BYTES_PER_PERIOD`, for whatever reason it is slow, in seconds. The
/// kernel buffers some megabytes for a slow client, and reports free space only after much of that has been sent.
const PERIOD_SECONDS: f64 = 30.0;
/// Minimum number of bytes that a stream moves in each period.
const MIN_BYTES_PER_PERIOD: usize = 16 * 1024;

/// Progress of one stream. All times are in seconds on the caller's clock.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    /// Time of the last bytes.
    last_at: f64,
    /// Longest time between two pieces of the value.
    longest_pause: f64,
    /// Start of the current period.
    period_started_at: f64,
    /// Number of bytes moved in the current period.
    period_bytes: usize,
}

impl StreamProgress {
    /// Returns the progress of a stream that starts now.
    pub fn start(now: f64) -> StreamProgress {
        StreamProgress { last_at: now, longest_pause: 0.0, period_started_at: now, period_bytes: 0 }
    }

    /// Records that this many bytes of the value were forwarded.
    pub fn record(&mut self, now: f64, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.longest_pause = self.longest_pause.max(now - self.last_at);
        self.last_at = now;
        self.period_bytes += bytes;
        if self.period_bytes >= MIN_BYTES_PER_PERIOD {
            self.period_started_at = now;
            self.period_bytes = 0;
        }
    }

    /// Returns whether the stream is to be given up. `overdue_for`: time since its client's timeout expired.
    /// `waits_for_backend`: whether the client has taken everything that was received.
    pub fn is_stalled(&self, now: f64, overdue_for: f64, waits_for_backend: bool) -> bool {
        let is_too_slow = now - self.period_started_at >= PERIOD_SECONDS;
        is_too_slow || waits_for_backend && now - self.last_at >= self.max_silence(now, overdue_for)
    }

    /// Returns the silence of the backend from which on the stream is given up.
    fn max_silence(&self, now: f64, overdue_for: f64) -> f64 {
        let has_moved_when_overdue = now - self.last_at < overdue_for;
        if has_moved_when_overdue || overdue_for < GRACE_SECONDS {
            return MAX_SILENCE_SECONDS;
        }
        (PAUSE_FACTOR * self.longest_pause).clamp(GRACE_SECONDS, MAX_SILENCE_SECONDS)
    }
}
