//! Connections to other shards: a thread for each, which connects when there is something to send. What can't be sent is
//! dropped; the shard sends it again until it is answered.
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::Duration;

/// Frames that wait for a connection, at most.
const QUEUE: usize = 64;
/// A connection that long in opening, or bytes that long in writing, are given up.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Ways to other shards.
#[derive(Default)]
pub struct Peers {
    queues: HashMap<SocketAddr, SyncSender<Vec<u8>>>,
}

impl Peers {
    /// Sends bytes to the shard at an address, or drops them.
    pub fn send(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        let queue = self.queues.entry(address).or_insert_with(|| {
            let (queue, frames) = sync_channel(QUEUE);
            std::thread::spawn(move || write_all(address, &frames));
            queue
        });
        let _ = queue.try_send(bytes); // full: dropped
    }
}

fn write_all(address: SocketAddr, frames: &Receiver<Vec<u8>>) {
    let mut connection = None;
    for bytes in frames {
        if connection.is_none() {
            connection = connect(address);
        }
        let sent = connection.as_mut().is_some_and(|stream| stream.write_all(&bytes).is_ok());
        if !sent {
            connection = None;
            while frames.try_recv().is_ok() {} // as old as the one that could not be sent
        }
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(TIMEOUT)).ok()?;
    Some(stream)
}
