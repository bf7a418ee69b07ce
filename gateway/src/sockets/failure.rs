//! What the errors of socket calls mean.
use nix::libc;
use std::io::{Error, ErrorKind};

/// What to do after a call on a connection's socket has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketFailure {
    /// The socket is drained or full, and its readiness will be reported.
    WouldBlock,
    /// A signal arrived: the call can be repeated at once.
    Interrupted,
    /// The kernel was out of memory for a moment. No readiness is reported when that is over.
    OutOfResources,
    /// The connection has failed.
    Broken,
}

impl SocketFailure {
    /// Returns what an error of reading or writing means. An unknown error ends the connection.
    pub fn of(error: &Error) -> SocketFailure {
        match error.kind() {
            ErrorKind::WouldBlock => SocketFailure::WouldBlock,
            ErrorKind::Interrupted => SocketFailure::Interrupted,
            _ if is_out_of_memory(error) => SocketFailure::OutOfResources,
            _ => SocketFailure::Broken,
        }
    }
}

/// What to do after `accept` has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// No connection waits; the next one will be reported.
    WouldBlock,
    /// The connection that waited has failed, or a signal arrived: others may wait.
    TryNext,
    /// This process holds as many descriptors as it may.
    NoDescriptor,
    /// The machine is out of resources for a moment, or the error is unknown.
    OutOfResources,
}

impl AcceptFailure {
    /// Returns what an error of `accept` means. Linux passes on errors of the network that concern the new connection
    /// only (accept(2)).
    pub fn of(error: &Error) -> AcceptFailure {
        match error.raw_os_error() {
            Some(libc::EAGAIN) => AcceptFailure::WouldBlock,
            Some(libc::EMFILE) => AcceptFailure::NoDescriptor,
            Some(
                libc::EINTR
                | libc::ECONNABORTED
                | libc::EPROTO
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::ENOPROTOOPT
                | libc::EHOSTDOWN
                | libc::ENONET
                | libc::EHOSTUNREACH
                | libc::EOPNOTSUPP
                | libc::ETIMEDOUT,
            ) => AcceptFailure::TryNext,
            _ => AcceptFailure::OutOfResources,
        }
    }
}

fn is_out_of_memory(error: &Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}
