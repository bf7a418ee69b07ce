//! The listening socket that this process inherits from the previous one.
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd};

/// The environment variable that names the descriptor of the inherited listening socket.
pub const SOCKET_VARIABLE: &str = "EDGE_PASSED_SOCKET";
/// The last of the standard streams' descriptors.
const STDERR: i32 = 2;

/// Why the named descriptor can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The variable's text is no number, or names a standard stream.
    #[error("{SOCKET_VARIABLE}: '{0}' is no descriptor that a socket can be passed as")]
    NotADescriptor(String),
    /// The descriptor is not open.
    #[error("{SOCKET_VARIABLE}: descriptor {descriptor}: {source}")]
    NotOpen {
        /// The descriptor's number.
        descriptor: i32,
        /// The kernel's error.
        source: nix::errno::Errno,
    },
    /// The descriptor is no socket.
    #[error("{SOCKET_VARIABLE}: descriptor {descriptor}: {source}")]
    NotASocket {
        /// The descriptor's number.
        descriptor: i32,
        /// The kernel's error.
        source: std::io::Error,
    },
    /// The socket does not listen.
    #[error("{SOCKET_VARIABLE}: descriptor {0} is a socket that does not listen")]
    NotListening(i32),
}

/// The inherited listening socket, if there is one. To be called before any other descriptor is opened.
pub fn take() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Ok(text) = std::env::var(SOCKET_VARIABLE) else { return Ok(None) };
    let descriptor = text.parse::<i32>().ok().filter(|descriptor| *descriptor > STDERR);
    let descriptor = descriptor.ok_or(InheritedListenerError::NotADescriptor(text))?;
    // SAFETY: it is only looked at, and this call fails if it is not open.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    nix::fcntl::fcntl(borrowed, nix::fcntl::FcntlArg::F_GETFD)
        .map_err(|source| InheritedListenerError::NotOpen { descriptor, source })?;
    // SAFETY: it is open, inherited, and nobody else in this process knows of it.
    let socket = unsafe { socket2::Socket::from_raw_fd(descriptor) };
    match socket.is_listener() {
        Ok(true) => Ok(Some(socket.into())),
        Ok(false) => Err(InheritedListenerError::NotListening(descriptor)),
        Err(source) => Err(InheritedListenerError::NotASocket { descriptor, source }),
    }
}
