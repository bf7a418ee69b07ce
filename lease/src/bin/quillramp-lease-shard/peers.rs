//! Connections to other shards: one thread each, which connects when there is something to send. What cannot be sent is
//! dropped; the shard retransmits it until it is answered.
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::Duration;

/// Most buffers that are queued for one connection.
const QUEUE_CAPACITY: usize = 64;
/// Time-out of opening a connection and of writing to it.
const IO_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends bytes to other shards.
#[derive(Default)]
pub struct PeerConnections {
    queues: HashMap<SocketAddr, SyncSender<Vec<u8>>>,
}

impl PeerConnections {
    /// Sends bytes to the shard at an address, or drops them if its queue is full.
    pub fn send(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        let queue = self.queues.entry(address).or_insert_with(|| {
            let (queue, buffers) = sync_channel(QUEUE_CAPACITY);
            std::thread::spawn(move || write_queued_buffers(address, &buffers));
            queue
        });
        // Fails if the queue is full: the shard retransmits.
        let _ = queue.try_send(bytes);
    }
}

fn write_queued_buffers(address: SocketAddr, buffers: &Receiver<Vec<u8>>) {
    let mut connection = None;
    for bytes in buffers {
        if connection.is_none() {
            connection = connect(address);
        }
        let sent = connection.as_mut().is_some_and(|stream| stream.write_all(&bytes).is_ok());
        if !sent {
            connection = None;
            // What is queued is as old as what could not be sent.
            while buffers.try_recv().is_ok() {}
        }
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, IO_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(IO_TIMEOUT)).ok()?;
    Some(stream)
}
