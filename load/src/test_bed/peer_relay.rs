//! The relay for gossip: passes each datagram of an instance on to all the others.
use std::net::{SocketAddr, UdpSocket};
use std::thread::spawn;

/// The longest datagram, bytes.
const DATAGRAM_BYTES: usize = 512;

/// Relays datagrams. Instances know the relay's address as a peer's.
pub fn start(socket: UdpSocket, peers: Vec<SocketAddr>) {
    spawn(move || {
        let mut body = [0; DATAGRAM_BYTES];
        while let Ok((length, from)) = socket.recv_from(&mut body) {
            for to in peers.iter().filter(|peer| **peer != from) {
                let _ = socket.send_to(&body[..length], to); // gossip may be lost
            }
        }
    });
}
