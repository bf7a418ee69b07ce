//! The thread that owns the shard's state machine.
use crate::clock::Clock;
use crate::connections::ConnectionHandle;
use crate::log;
use crate::peers::PeerConnections;
use quillramp_lease::shard::{ConnectionId, Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{ShardMap, ShardMapError};
use std::collections::HashMap;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

/// What other threads report to the service.
pub enum Event {
    /// A connection was accepted.
    Opened {
        /// The connection.
        connection: ConnectionId,
        /// Its sending side.
        handle: ConnectionHandle,
    },
    /// Bytes arrived.
    Received {
        /// The connection.
        connection: ConnectionId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A connection was closed by the other side, or failed.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// The map file was read again.
    MapReloaded(ShardMap),
    /// The process is to end.
    Stop,
}

/// A shard with its connections.
pub struct Service {
    clock: Clock,
    shard: Shard,
    /// The newest map, for the addresses of other shards.
    newest_map: ShardMap,
    peers: PeerConnections,
    connections: HashMap<ConnectionId, ConnectionHandle>,
    event_sender: Sender<Event>,
    event_receiver: Receiver<Event>,
}

impl Service {
    /// A shard without any state.
    ///
    /// # Errors
    /// [`ShardMapError`] if the map is invalid or lacks the shard.
    pub fn new(settings: ShardSettings, map: ShardMap) -> Result<Service, ShardMapError> {
        let clock = Clock::new();
        let shard = Shard::new(clock.now(), settings, map.clone())?;
        let (event_sender, event_receiver) = channel();
        Ok(Service {
            clock,
            shard,
            newest_map: map,
            peers: PeerConnections::default(),
            connections: HashMap::new(),
            event_sender,
            event_receiver,
        })
    }

    /// Where other threads send their events.
    pub fn event_sender(&self) -> Sender<Event> {
        self.event_sender.clone()
    }

    /// Serves until [`Event::Stop`].
    pub fn run(mut self) {
        loop {
            let timeout = (self.shard.poll_timeout() - self.clock.now()).max(0.0);
            match self.event_receiver.recv_timeout(Duration::from_secs_f64(timeout)) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => self.shard.handle_timeout(self.clock.now()),
            }
            for output in self.shard.poll_outputs() {
                self.handle_output(output);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Opened { connection, handle } => {
                self.connections.insert(connection, handle);
            }
            Event::Received { connection, bytes } => {
                // Bytes that were read before the connection was closed here no longer count.
                if self.connections.contains_key(&connection) {
                    self.shard.receive(now, connection, &bytes);
                }
            }
            Event::Closed { connection } => {
                self.connections.remove(&connection);
                self.shard.handle_disconnected(connection);
            }
            Event::MapReloaded(map) => self.update_map(now, map),
            Event::Stop => {}
        }
    }

    fn update_map(&mut self, now: f64, map: ShardMap) {
        match self.shard.update_map(now, map.clone()) {
            Ok(()) => {
                log(format_args!("map of epoch {}, in force from {} on", map.epoch, map.active_at));
                self.newest_map = map;
            }
            Err(error) => log(format_args!("{error}; the last good map stays")),
        }
    }

    fn handle_output(&mut self, output: ShardOutput) {
        match output {
            ShardOutput::Send { connection, bytes } => {
                let Some(handle) = self.connections.get(&connection) else { return };
                if handle.send(bytes).is_err() {
                    // It does not read.
                    self.close(connection);
                    self.shard.handle_disconnected(connection);
                }
            }
            ShardOutput::Close { connection } => self.close(connection),
            ShardOutput::SendToPeer { shard, bytes } => {
                if let Some(address) = self.newest_map.shard_address(shard) {
                    self.peers.send(address, bytes);
                }
            }
        }
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(handle) = self.connections.remove(&connection) {
            handle.close();
        }
    }
}
