//! The datagram socket for gossip between gateway instances.
use super::event_queue::EventQueue;
use crate::state::event::Event;
use may::io::{CoIo, WaitIo};
use quillramp::gossip;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// One byte more than a datagram may have, so that longer ones are recognized.
const BUFFER_BYTES: usize = gossip::MAX_DATAGRAM_BYTES + 1;

/// The socket could not be bound.
#[derive(Debug, thiserror::Error)]
pub enum BindError {
    /// The address is taken, or not ours.
    #[error("{address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The kernel's error.
        source: std::io::Error,
    },
    /// The runtime can't wait for it.
    #[error("{address}: {source:?}")]
    Register {
        /// The address.
        address: SocketAddr,
        /// The runtime's error.
        source: std::io::Error,
    },
}

/// The socket.
pub struct GossipSocket(CoIo<UdpSocket>);

impl GossipSocket {
    /// Binds the socket. `shared`: another process of this instance may have the address too. Both may send from it; what
    /// arrives is the newest one's.
    pub fn bind(address: SocketAddr, shared: bool) -> Result<Arc<GossipSocket>, BindError> {
        let socket = bind(address, shared).map_err(|source| BindError::Bind { address, source })?;
        let socket =
            CoIo::new(socket).map_err(|source| BindError::Register { address, source: source.into() })?;
        Ok(Arc::new(GossipSocket(socket)))
    }

    /// Reads datagrams from now on.
    pub fn start(self: &Arc<GossipSocket>, events: Arc<EventQueue>) {
        let socket = self.clone();
        may::go!(move || loop {
            socket.0.wait_io();
            let mut buffer = [0; BUFFER_BYTES];
            while let Ok((length, from)) = socket.0.inner().recv_from(&mut buffer) {
                events.push(Event::Datagram { from, body: buffer[..length].to_vec() });
            }
        });
    }

    /// Late or not at all: a datagram that can't be sent now is lost.
    pub fn send(&self, to: SocketAddr, body: &[u8]) {
        let _ = self.0.inner().send_to(body, to);
    }
}

fn bind(address: SocketAddr, shared: bool) -> std::io::Result<UdpSocket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    socket.set_reuse_address(shared)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
