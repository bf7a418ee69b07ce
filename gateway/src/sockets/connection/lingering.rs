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

/// Time without an acknowledgement after which a descriptor is freed if descriptors run short. Otherwise no time ends the
/// wait: the kernel gives a peer up that is gone.
const MAX_SILENCE_SHORT_OF_DESCRIPTORS: Duration = Duration::from_secs(2);
/// The maximum number of clients divided by this is the number of descriptors that are kept before they count as short.
const CLIENTS_DIVISOR: usize = 8;

nix::ioctl_read_bad!(
    /// Reads the number of bytes in a socket's send queue that are not acknowledged yet.
    read_send_queue_length,
    libc::TIOCOUTQ,
    libc::c_int
);

/// A connection whose output is not acknowledged completely.
struct LingeringConnection {
    connection: Arc<Connection>,
    /// Number of unacknowledged bytes at the last check.
    unacknowledged: usize,
    /// Time of the last check that found fewer unacknowledged bytes than the one before.
    progress_at: Instant,
}

impl LingeringConnection {
    /// Checks the send queue; returns whether the descriptor is kept.
    fn is_kept(&mut self, now: Instant, is_short_of_descriptors: bool) -> bool {
        let unacknowledged = self.connection.unacknowledged_bytes();
        if unacknowledged < self.unacknowledged {
            self.unacknowledged = unacknowledged;
            self.progress_at = now;
        }
        let is_silent = now.duration_since(self.progress_at) >= MAX_SILENCE_SHORT_OF_DESCRIPTORS;
        unacknowledged > 0 && !(is_short_of_descriptors && is_silent)
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
            unacknowledged: connection.unacknowledged_bytes(),
            progress_at: now,
        });
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Closes the connections whose output is acknowledged and, if descriptors run short, those whose peers take nothing.
    /// `max_clients`: maximum number of clients' connections, these included.
    pub fn close_finished(&self, is_accepting_suspended: bool, max_clients: usize) {
        let is_short = is_accepting_suspended || self.0.borrow().len() > max_clients / CLIENTS_DIVISOR;
        let now = Instant::now();
        let is_finished = |lingering: &mut LingeringConnection| !lingering.is_kept(now, is_short);
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
