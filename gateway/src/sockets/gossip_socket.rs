//! Datagrams between front doors.
use super::inbox::Inbox;
use crate::state::event::Event;
use may::io::{CoIo, WaitIo};
use quillramp::gossip;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// One byte more than a datagram may have, so that longer ones are known.
const ROOM: usize = gossip::MAX_DATAGRAM_BYTES + 1;

pub struct Peers(CoIo<UdpSocket>);

impl Peers {
    /// `shared`: another process of this front door may have the address too. Both may send from it; what comes is
    /// the newest one's.
    pub fn bind(at: SocketAddr, shared: bool) -> Result<Arc<Peers>, String> {
        let bind = || -> std::io::Result<UdpSocket> {
            let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::DGRAM, None)?;
            socket.set_reuse_address(shared)?;
            socket.bind(&at.into())?;
            Ok(socket.into())
        };
        let socket = bind().map_err(|e| format!("{at}: {e}"))?;
        Ok(Arc::new(Peers(CoIo::new(socket).map_err(|e| format!("{at}: {e:?}"))?)))
    }

    /// Reads what comes from now on.
    pub fn start(self: &Arc<Peers>, inbox: Arc<Inbox>) {
        let own = self.clone();
        may::go!(move || loop {
            own.0.wait_io();
            let mut body = [0; ROOM];
            while let Ok((n, from)) = own.0.inner().recv_from(&mut body) {
                inbox.push(Event::Datagram { from, body: body[..n].to_vec() });
            }
        });
    }

    /// Late or not at all: a datagram that can't leave now is lost.
    pub fn send(&self, to: SocketAddr, body: &[u8]) {
        let _ = self.0.inner().send_to(body, to);
    }
}
