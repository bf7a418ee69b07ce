//! The event loop of the thread that owns the shard's state machine.
use crate::clock::Clock;
use crate::connections::ConnectionHandle;
use crate::log;
use crate::peers::PeerConnections;
use quillramp_lease::shard::{ConnectionId, Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{ShardMap, ShardMapError};
use std::collections::HashMap;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

/// Event that another thread sends to the service.
pub enum Event {
    /// A connection was accepted.
    Opened {
        /// The connection.
        connection: ConnectionId,
        /// Handle for sending to the connection and closing it.
        handle: ConnectionHandle,
    },
    /// Bytes arrived on a connection.
    Received {
        /// The connection.
        connection: ConnectionId,
        /// Received bytes.
        bytes: Vec<u8>,
    },
    /// A connection failed or was closed by the remote side.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// The shard map file was reloaded.
    MapReloaded(ShardMap),
    /// A signal requested the service to stop.
    Stop,
}

/// A shard and its connections.
pub struct Service {
    clock: Clock,
    shard: Shard,
    /// The newest accepted map, which has the addresses of other shards.
    newest_map: ShardMap,
    peers: PeerConnections,
    connections: HashMap<ConnectionId, ConnectionHandle>,
    event_sender: Sender<Event>,
    event_receiver: Receiver<Event>,
}

impl Service {
    /// Creates a service whose shard has no tenants and no connections yet.
    ///
    /// # Errors
    /// Returns [`ShardMapError`] if the map is invalid or does not contain the shard.
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

    /// Returns a sender for the events of another thread.
    pub fn event_sender(&self) -> Sender<Event> {
        self.event_sender.clone()
    }

    /// Handles events until [`Event::Stop`].
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
                // Ignore bytes that were read before this thread closed the connection.
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
                log(format_args!(
                    "accepted shard map of epoch {}, active at Unix time {} s",
                    map.epoch, map.active_at
                ));
                self.newest_map = map;
            }
            Err(error) => log(format_args!(
                "rejected the reloaded shard map: {error}; keeping the last valid shard map"
            )),
        }
    }

    fn handle_output(&mut self, output: ShardOutput) {
        match output {
            ShardOutput::Send { connection, bytes } => {
                let Some(handle) = self.connections.get(&connection) else { return };
                if handle.send(bytes).is_err() {
                    // The gateway instance does not read its responses, or the connection is closed.
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
