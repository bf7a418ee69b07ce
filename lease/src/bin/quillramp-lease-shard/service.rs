//! The shard's thread, which owns the state machine, and the threads of its connections, which only do I/O.
use crate::clock::Clock;
use crate::log;
use crate::peers::Peers;
use quillramp_lease::shard::{ConnectionId, Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{ShardMap, ShardMapError};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, Sender, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Connections at a time: twice the target's 420 front doors, since old ones may stand beside new ones, and shards.
const MAX_CONNECTIONS: usize = 1024;
/// Replies that wait for a front door to read; it has one batch in flight.
const UNREAD_REPLIES: usize = 16;
/// A reply that long in writing ends the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const READ_BUFFER: usize = 16 * 1024;

/// What reaches the shard's thread.
pub enum Input {
    /// A connection was accepted; its replies go to the stream's writer.
    Opened { connection: ConnectionId, replies: SyncSender<Vec<u8>>, stream: Arc<TcpStream> },
    /// Bytes came.
    Received { connection: ConnectionId, bytes: Vec<u8> },
    /// A connection is gone.
    Closed { connection: ConnectionId },
    /// The map was read again.
    Map(ShardMap),
    /// The process is to end.
    Stop,
}

struct OpenConnection {
    replies: SyncSender<Vec<u8>>,
    stream: Arc<TcpStream>,
}

/// A shard with its connections.
pub struct Service {
    clock: Clock,
    shard: Shard,
    /// The newest map, for addresses of other shards.
    map: ShardMap,
    peers: Peers,
    connections: HashMap<ConnectionId, OpenConnection>,
    sender: Sender<Input>,
    receiver: Receiver<Input>,
}

impl Service {
    /// A shard that knows nothing yet.
    pub fn new(settings: ShardSettings, map: ShardMap) -> Result<Service, ShardMapError> {
        let clock = Clock::new();
        let shard = Shard::new(clock.now(), settings, map.clone())?;
        let (sender, receiver) = channel();
        Ok(Service {
            clock,
            shard,
            map,
            peers: Peers::default(),
            connections: HashMap::new(),
            sender,
            receiver,
        })
    }

    /// Where inputs go.
    pub fn inputs(&self) -> Sender<Input> {
        self.sender.clone()
    }

    /// Serves until [`Input::Stop`].
    pub fn run(mut self) {
        loop {
            let wait = (self.shard.poll_timeout() - self.clock.now()).max(0.0);
            match self.receiver.recv_timeout(Duration::from_secs_f64(wait)) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.take_in(input),
                Err(RecvTimeoutError::Timeout) => self.shard.handle_timeout(self.clock.now()),
            }
            for output in self.shard.poll_outputs() {
                self.put_out(output);
            }
        }
    }

    fn take_in(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Opened { connection, replies, stream } => {
                self.connections.insert(connection, OpenConnection { replies, stream });
            }
            Input::Received { connection, bytes } => {
                // What was read before the connection was closed here no longer counts.
                if self.connections.contains_key(&connection) {
                    self.shard.receive(now, connection, &bytes);
                }
            }
            Input::Closed { connection } => {
                self.connections.remove(&connection);
                self.shard.handle_disconnected(connection);
            }
            Input::Map(map) => self.change_map(now, map),
            Input::Stop => {}
        }
    }

    fn change_map(&mut self, now: f64, map: ShardMap) {
        let (epoch, active_at) = (map.epoch, map.active_at);
        match self.shard.update_map(now, map.clone()) {
            Ok(()) => {
                self.map = map;
                log(&format!("map of epoch {epoch}, in force from {active_at} on"));
            }
            Err(error) => log(&format!("{error}; the last good map stays")),
        }
    }

    fn put_out(&mut self, output: ShardOutput) {
        match output {
            ShardOutput::Send { connection, bytes } => {
                let Some(open) = self.connections.get(&connection) else { return };
                if open.replies.try_send(bytes).is_err() {
                    self.close(connection); // it does not read
                    self.shard.handle_disconnected(connection);
                }
            }
            ShardOutput::Close { connection } => self.close(connection),
            ShardOutput::SendToPeer { shard, bytes } => {
                if let Some(address) = self.map.shard_address(shard) {
                    self.peers.send(address, bytes);
                }
            }
        }
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(open) = self.connections.remove(&connection) {
            let _ = open.stream.shutdown(Shutdown::Both); // it may be gone already
        }
    }
}

/// Accepts connections in a thread of its own.
pub fn accept(listener: TcpListener, inputs: Sender<Input>) {
    std::thread::spawn(move || {
        let count = Arc::new(AtomicUsize::new(0));
        let mut next: ConnectionId = 1;
        loop {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            if count.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                continue; // closed by being dropped
            }
            if serve(stream, next, &inputs, &count).is_err() {
                continue;
            }
            next += 1;
        }
    });
}

/// Starts the two threads of a connection.
fn serve(
    stream: TcpStream,
    connection: ConnectionId,
    inputs: &Sender<Input>,
    count: &Arc<AtomicUsize>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let stream = Arc::new(stream);
    let (replies, to_write) = sync_channel(UNREAD_REPLIES);
    let opened = Input::Opened { connection, replies, stream: stream.clone() };
    if inputs.send(opened).is_err() {
        return Ok(()); // the process ends
    }
    let (reading, inputs, count) = (stream.clone(), inputs.clone(), count.clone());
    count.fetch_add(1, Ordering::Relaxed);
    std::thread::spawn(move || {
        read_all(&reading, connection, &inputs);
        count.fetch_sub(1, Ordering::Relaxed);
    });
    std::thread::spawn(move || write_all(&stream, &to_write));
    Ok(())
}

fn read_all(mut stream: &TcpStream, connection: ConnectionId, inputs: &Sender<Input>) {
    let mut buffer = [0; READ_BUFFER];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => {
                let bytes = buffer[..length].to_vec();
                if inputs.send(Input::Received { connection, bytes }).is_err() {
                    return;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    let _ = inputs.send(Input::Closed { connection }); // the process may be ending
}

fn write_all(mut stream: &TcpStream, replies: &Receiver<Vec<u8>>) {
    for bytes in replies {
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both); // it may be gone already
}
