//! Accepts connections. Each connection has a reading and a writing thread, which only do I/O.
use crate::service::Event;
use quillramp_lease::shard::ConnectionId;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, Sender, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of open connections: twice the 420 gateway instances of the target, because an old
/// connection of an instance may still be open beside its new one, plus connections of other shards.
const MAX_CONNECTIONS: usize = 1024;
/// Maximum number of responses queued for one connection. A gateway instance has only one batch in flight.
const MAX_QUEUED_RESPONSES: usize = 16;
/// Timeout for writing a response; the connection is closed when it expires.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next accept after a failed one, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of the read buffer of a connection, in bytes.
const READ_BUFFER_SIZE: usize = 16 * 1024;

/// Handle by which the service sends to a connection and closes it.
pub struct ConnectionHandle {
    response_queue: SyncSender<Vec<u8>>,
    stream: Arc<TcpStream>,
}

impl ConnectionHandle {
    /// Queues bytes for the writing thread.
    ///
    /// # Errors
    /// Returns [`TrySendError`] if the queue is full because the remote side does not read, or if the
    /// connection is closed.
    pub fn send(&self, bytes: Vec<u8>) -> Result<(), TrySendError<Vec<u8>>> {
        self.response_queue.try_send(bytes)
    }

    /// Closes the connection.
    pub fn close(&self) {
        // Fails if the connection is already closed.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Starts the thread that accepts connections.
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
                // Dropping the stream closes the connection.
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
///
/// # Errors
/// Returns [`io::Error`] if the socket options cannot be set.
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
        // The service has stopped; the process is about to exit.
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
    // Fails if the service has stopped.
    let _ = events.send(Event::Closed { connection });
}

fn write_responses(mut stream: &TcpStream, queued_responses: &Receiver<Vec<u8>>) {
    for bytes in queued_responses {
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    // Fails if the connection is already closed.
    let _ = stream.shutdown(Shutdown::Both);
}
