//! The listening socket that a process inherits, so that it can accept clients while the previous process
//! shuts down.
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd};

/// Environment variable with the descriptor number of the inherited listening socket.
pub const SOCKET_VARIABLE: &str = "EDGE_PASSED_SOCKET";
/// The highest descriptor number of the standard streams.
const STDERR: i32 = 2;

/// Error of a descriptor that can't be used as a listening socket.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The variable's text is not a number, or names a standard stream.
    #[error("{SOCKET_VARIABLE}: expected a descriptor number above {STDERR}, found '{0}'")]
    NotADescriptor(String),
    /// The descriptor is not open.
    #[error("{SOCKET_VARIABLE}: descriptor {descriptor} is not open: {source}")]
    NotOpen {
        /// The descriptor's number.
        descriptor: i32,
        /// The kernel's error.
        source: nix::errno::Errno,
    },
    /// The descriptor is not a socket.
    #[error("{SOCKET_VARIABLE}: descriptor {descriptor} is not a socket: {source}")]
    NotASocket {
        /// The descriptor's number.
        descriptor: i32,
        /// The kernel's error.
        source: std::io::Error,
    },
    /// The socket is not listening.
    #[error("{SOCKET_VARIABLE}: descriptor {0} is a socket that is not listening")]
    NotListening(i32),
}

/// Returns the inherited listening socket, if there is one. Must be called before the process opens any
/// descriptor.
pub fn take() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Ok(text) = std::env::var(SOCKET_VARIABLE) else { return Ok(None) };
    let descriptor = text.parse::<i32>().ok().filter(|descriptor| *descriptor > STDERR);
    let descriptor = descriptor.ok_or(InheritedListenerError::NotADescriptor(text))?;
    // SAFETY: the descriptor is only passed to `F_GETFD`, which fails if it is not open.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    nix::fcntl::fcntl(borrowed, nix::fcntl::FcntlArg::F_GETFD)
        .map_err(|source| InheritedListenerError::NotOpen { descriptor, source })?;
    // SAFETY: the descriptor is open and inherited, and nothing else in this process uses it.
    let socket = unsafe { socket2::Socket::from_raw_fd(descriptor) };
    match socket.is_listener() {
        Ok(true) => Ok(Some(socket.into())),
        Ok(false) => Err(InheritedListenerError::NotListening(descriptor)),
        Err(source) => Err(InheritedListenerError::NotASocket { descriptor, source }),
    }
}
