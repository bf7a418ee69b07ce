//! The gossip relay: forwards each datagram of an instance to all other instances.
use std::net::{SocketAddr, UdpSocket};
use std::thread::spawn;

/// Maximum size of a datagram, bytes.
const DATAGRAM_BYTES: usize = 512;

/// Starts the relay on a new thread. The instances' configuration has its address as that of a peer.
pub fn start(socket: UdpSocket, peers: Vec<SocketAddr>) {
    spawn(move || {
        let mut body = [0; DATAGRAM_BYTES];
        while let Ok((length, from)) = socket.recv_from(&mut body) {
            for to in peers.iter().filter(|peer| **peer != from) {
                let _ = socket.send_to(&body[..length], to); // a lost datagram is allowed in gossip
            }
        }
    });
}
