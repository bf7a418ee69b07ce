//! Outgoing connections to other shards. Each has a thread that connects when there are bytes to send. Bytes
//! that cannot be sent are dropped: the shard retransmits its messages until they are answered.
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::Duration;

/// Maximum number of buffers queued for one connection.
const QUEUE_CAPACITY: usize = 64;
/// Timeout for opening a connection, and for a write to it.
const IO_TIMEOUT: Duration = Duration::from_secs(1);

/// Send queues of the connections to other shards, by address.
#[derive(Default)]
pub struct PeerConnections {
    queues: HashMap<SocketAddr, SyncSender<Vec<u8>>>,
}

impl PeerConnections {
    /// Queues bytes for the shard at `address`, or drops them if its queue is full.
    pub fn send(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        let queue = self.queues.entry(address).or_insert_with(|| {
            let (queue, buffers) = sync_channel(QUEUE_CAPACITY);
            std::thread::spawn(move || write_queued_buffers(address, &buffers));
            queue
        });
        // Fails if the queue is full. The shard retransmits its messages.
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
            // The queued buffers are outdated as well; the shard retransmits their messages.
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
