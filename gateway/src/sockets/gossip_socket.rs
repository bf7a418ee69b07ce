//! The UDP socket for gossip between gateway instances.
use super::event_queue::EventQueue;
use super::failure::SocketFailure;
use crate::state::event::Event;
use may::io::{CoIo, WaitIo};
use quillramp::gossip;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// Size of the receive buffer: one byte more than the longest valid datagram, so that longer ones are
/// recognized.
const BUFFER_BYTES: usize = gossip::MAX_DATAGRAM_BYTES + 1;

/// Maximum number of failed calls in a row after which the next datagram is waited for.
const MAX_FAILURES: usize = 64;

/// Error of binding the gossip socket.
#[derive(Debug, thiserror::Error)]
pub enum BindError {
    /// The kernel can't bind the socket to the address.
    #[error("can't bind the gossip socket to {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The kernel's error.
        source: std::io::Error,
    },
    /// The coroutine runtime can't register the socket.
    #[error("can't register the gossip socket on {address} with the coroutine runtime: {source:?}")]
    Register {
        /// The address.
        address: SocketAddr,
        /// The runtime's error.
        source: std::io::Error,
    },
}

/// The socket that gossip is sent and received on.
pub struct GossipSocket(CoIo<UdpSocket>);

impl GossipSocket {
    /// Binds the socket. If `shared`, another process of this instance may be bound to the same address; both
    /// may send from it, and the newest process receives the datagrams.
    pub fn bind(address: SocketAddr, shared: bool) -> Result<Arc<GossipSocket>, BindError> {
        let socket = bind(address, shared).map_err(|source| BindError::Bind { address, source })?;
        let socket =
            CoIo::new(socket).map_err(|source| BindError::Register { address, source: source.into() })?;
        Ok(Arc::new(GossipSocket(socket)))
    }

    /// Starts the coroutine that receives datagrams.
    pub fn start(self: &Arc<GossipSocket>, events: Arc<EventQueue>) {
        let socket = self.clone();
        may::go!(move || loop {
            socket.0.wait_io();
            let mut buffer = [0; BUFFER_BYTES];
            for _ in 0..MAX_FAILURES {
                match receive_all(&socket.0, &mut buffer, &events) {
                    SocketFailure::WouldBlock => break,
                    // Also errors that earlier sends have caused; they concern no datagram that waits.
                    SocketFailure::Interrupted | SocketFailure::OutOfResources | SocketFailure::Broken => {}
                }
            }
        });
    }

    /// Sends a datagram; one that the kernel does not accept at once is dropped.
    pub fn send(&self, to: SocketAddr, body: &[u8]) {
        let _ = self.0.inner().send_to(body, to);
    }
}

/// Receives datagrams until that fails; returns how.
fn receive_all(socket: &CoIo<UdpSocket>, buffer: &mut [u8], events: &EventQueue) -> SocketFailure {
    loop {
        match socket.inner().recv_from(buffer) {
            Ok((length, from)) => events.push(Event::Datagram { from, body: buffer[..length].to_vec() }),
            Err(error) => return SocketFailure::of(&error),
        }
    }
}

fn bind(address: SocketAddr, shared: bool) -> std::io::Result<UdpSocket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    socket.set_reuse_address(shared)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
