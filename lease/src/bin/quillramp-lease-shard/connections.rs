//! Accepts connections and runs their threads, which only do I/O.
use crate::service::Event;
use quillramp_lease::shard::ConnectionId;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, Sender, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// Most connections at a time: twice the target's 420 gateway instances, since old connections may stand beside new
/// ones, and other shards.
const MAX_CONNECTIONS: usize = 1024;
/// Most responses that wait for a gateway instance to read them; it has one batch in flight.
const MAX_QUEUED_RESPONSES: usize = 16;
/// Time-out of writing a response; the connection is closed then.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of a connection's read buffer, bytes.
const READ_BUFFER_SIZE: usize = 16 * 1024;

/// The service's handle on a connection.
pub struct ConnectionHandle {
    response_queue: SyncSender<Vec<u8>>,
    stream: Arc<TcpStream>,
}

impl ConnectionHandle {
    /// Queues bytes to be written.
    ///
    /// # Errors
    /// [`TrySendError`] if the other side does not read, or the connection is closed.
    pub fn send(&self, bytes: Vec<u8>) -> Result<(), TrySendError<Vec<u8>>> {
        self.response_queue.try_send(bytes)
    }

    /// Closes the connection.
    pub fn close(&self) {
        // Fails if it is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Accepts connections in a thread of its own.
pub fn spawn_acceptor(listener: TcpListener, events: Sender<Event>) {
    std::thread::spawn(move || {
        let open_connections = Arc::new(AtomicUsize::new(0));
        let mut next_connection: ConnectionId = 1;
        loop {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            };
            if open_connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                // Dropping the stream closes it.
                continue;
            }
            if spawn_connection(stream, next_connection, &events, &open_connections).is_err() {
                continue;
            }
            next_connection += 1;
        }
    });
}

/// Starts the reading and the writing thread of a connection.
fn spawn_connection(
    stream: TcpStream,
    connection: ConnectionId,
    events: &Sender<Event>,
    open_connections: &Arc<AtomicUsize>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let stream = Arc::new(stream);
    let (response_queue, queued_responses) = sync_channel(MAX_QUEUED_RESPONSES);
    let handle = ConnectionHandle { response_queue, stream: stream.clone() };
    if events.send(Event::Opened { connection, handle }).is_err() {
        // The process is about to end.
        return Ok(());
    }
    open_connections.fetch_add(1, Ordering::Relaxed);
    let open_connections = open_connections.clone();
    let events = events.clone();
    let reading_stream = stream.clone();
    std::thread::spawn(move || {
        read_until_closed(&reading_stream, connection, &events);
        open_connections.fetch_sub(1, Ordering::Relaxed);
    });
    std::thread::spawn(move || write_responses(&stream, &queued_responses));
    Ok(())
}

fn read_until_closed(mut stream: &TcpStream, connection: ConnectionId, events: &Sender<Event>) {
    let mut buffer = [0; READ_BUFFER_SIZE];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => {
                let bytes = buffer[..length].to_vec();
                if events.send(Event::Received { connection, bytes }).is_err() {
                    return;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    // Fails if the process is about to end.
    let _ = events.send(Event::Closed { connection });
}

fn write_responses(mut stream: &TcpStream, queued_responses: &Receiver<Vec<u8>>) {
    for bytes in queued_responses {
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    // Fails if it is closed already.
    let _ = stream.shutdown(Shutdown::Both);
}
