//! Connections that this process has shut down for writing while their peers still receive output.
//!
//! A socket that is closed while input is unread, or that receives input after its close, resets the connection, and
//! the kernel discards the output that the peer has not acknowledged. So the descriptor is kept until all output is
//! acknowledged.
use super::Connection;
use atomic_refcell::AtomicRefCell;
use nix::libc;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without an acknowledgement after which a peer counts as gone.
const MAX_SILENCE: Duration = Duration::from_secs(10);
/// The same while no descriptor is left for new clients.
const MAX_SILENCE_SHORT_OF_DESCRIPTORS: Duration = Duration::from_secs(2);
/// Maximum time for which a descriptor is kept.
const MAX_DURATION: Duration = Duration::from_secs(30);

nix::ioctl_read_bad!(
    /// Reads the number of bytes in a socket's send queue that are not acknowledged yet.
    read_send_queue_length,
    libc::TIOCOUTQ,
    libc::c_int
);

/// A connection whose output is not acknowledged completely.
struct LingeringConnection {
    connection: Arc<Connection>,
    started_at: Instant,
    /// Number of unacknowledged bytes at the last check.
    unacknowledged: usize,
    /// Time of the last check that found fewer unacknowledged bytes than the one before.
    progress_at: Instant,
}

impl LingeringConnection {
    /// Checks the send queue; returns whether the descriptor is still needed.
    fn is_needed(&mut self, now: Instant, max_silence: Duration) -> bool {
        let unacknowledged = self.connection.unacknowledged_bytes();
        if unacknowledged < self.unacknowledged {
            self.unacknowledged = unacknowledged;
            self.progress_at = now;
        }
        unacknowledged > 0
            && now.duration_since(self.progress_at) < max_silence
            && now.duration_since(self.started_at) < MAX_DURATION
    }
}

/// All lingering connections of the process.
#[derive(Default)]
pub(super) struct LingeringConnections(AtomicRefCell<Vec<LingeringConnection>>);

impl LingeringConnections {
    /// Keeps a connection that has been shut down for writing.
    pub fn add(&self, connection: &Arc<Connection>) {
        let now = Instant::now();
        self.0.borrow_mut().push(LingeringConnection {
            connection: connection.clone(),
            started_at: now,
            unacknowledged: connection.unacknowledged_bytes(),
            progress_at: now,
        });
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Closes the connections whose output is acknowledged, and those whose peers are gone.
    pub fn close_finished(&self, is_short_of_descriptors: bool) {
        let max_silence =
            if is_short_of_descriptors { MAX_SILENCE_SHORT_OF_DESCRIPTORS } else { MAX_SILENCE };
        let now = Instant::now();
        let is_finished = |lingering: &mut LingeringConnection| !lingering.is_needed(now, max_silence);
        let finished: Vec<_> = self.0.borrow_mut().extract_if(.., is_finished).collect();
        drop(finished); // closes the sockets
    }
}

impl Connection {
    /// Returns the number of written bytes that the peer has not acknowledged; 0 if the kernel does not tell.
    pub(super) fn unacknowledged_bytes(&self) -> usize {
        let mut length = 0;
        // SAFETY: the descriptor is open, and the kernel writes one integer to `length`.
        let result = unsafe { read_send_queue_length(self.stream.inner().as_raw_fd(), &mut length) };
        result.map_or(0, |_| usize::try_from(length).unwrap_or(0))
    }
}
