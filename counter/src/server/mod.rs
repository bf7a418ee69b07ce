//! The counter as a server. One thread owns the node, the log and the totals; the threads of client and peer connections only do
//! I/O. Calls that arrive together are replicated and synced as one batch.
mod acceptor;
mod client;
mod config;
mod peer;
mod pending;
mod replica;
pub use config::{Listeners, ReplicaConfig, Timing};

use crate::disk::Disk;
use crate::log::Log;
use crate::raft::NodeId;
use crate::totals::{Add, Totals};
use crate::Result;
use acceptor::OpenConnections;
use client::ResponseSlot;
use peer::{PeerLinks, PeerMessage};
use replica::Replica;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

/// An event for the thread of the replica.
enum Event {
    /// A client has sent a valid call.
    ClientCall { add: Add, response: ResponseSlot },
    /// A peer has sent a message.
    PeerMessage { from: NodeId, message: PeerMessage },
    /// The server has to shut down.
    Shutdown,
}

/// Set once the server shuts down; the threads of connections check it.
type ShutdownFlag = Arc<AtomicBool>;

/// A running server; dropping it shuts it down.
pub struct Server {
    /// The address on which clients are accepted.
    pub client_address: SocketAddr,
    peer_address: SocketAddr,
    events: Sender<Event>,
    replica: Option<JoinHandle<Result<()>>>,
    shutdown: ShutdownFlag,
    connections: OpenConnections,
}

impl Server {
    /// Opens the log and starts serving. `seed` randomizes the election timeouts. Fails if the log is damaged or the disk fails.
    pub fn start<D: Disk + Send + 'static>(
        disk: D,
        config: ReplicaConfig,
        timing: Timing,
        listeners: Listeners,
        seed: u64,
    ) -> Result<Server> {
        let (log, recovered) = Log::open::<Totals, Add>(disk)?;
        if recovered.dropped_bytes > 0 {
            eprintln!("quillramp-counter: dropped {} bytes of an unfinished write", recovered.dropped_bytes);
        }
        let (events, received_events) = channel();
        let shutdown = ShutdownFlag::default();
        let connections = OpenConnections::default();
        let peers = PeerLinks::connect(&config, &shutdown);
        let client_address = listeners.clients.local_addr()?;
        let peer_address = listeners.peers.local_addr()?;
        let to_replica = events.clone();
        acceptor::spawn(listeners.clients, connections.clone(), shutdown.clone(), move |stream| {
            client::serve(stream, &to_replica, timing.max_lifetime);
        });
        let to_replica = events.clone();
        acceptor::spawn(listeners.peers, connections.clone(), shutdown.clone(), move |stream| {
            peer::receive(stream, &to_replica);
        });
        let replica = Replica::new(config, timing, log, recovered, peers, seed);
        let thread = Builder::new().name("replica".into()).spawn(move || replica.run(&received_events))?;
        Ok(Server { client_address, peer_address, events, replica: Some(thread), shutdown, connections })
    }

    /// Shuts the server down; committed calls are on the disk.
    pub fn stop(mut self) -> Result<()> {
        self.shut_down()
    }

    /// Waits until the server has stopped. Fails if its disk has failed, after which it stops by itself.
    pub fn wait(&mut self) -> Result<()> {
        let Some(replica) = self.replica.take() else { return Ok(()) };
        replica.join().unwrap_or(Ok(()))
    }

    /// Returns a function that shuts the server down from another thread.
    pub fn stopper(&self) -> impl FnOnce() + Send + 'static {
        let events = self.events.clone();
        move || drop(events.send(Event::Shutdown)) // the replica may have stopped already
    }

    fn shut_down(&mut self) -> Result<()> {
        self.shutdown.store(true, Ordering::Relaxed);
        let _ = self.events.send(Event::Shutdown); // the replica may have stopped already
        for address in [self.client_address, self.peer_address] {
            let _ = TcpStream::connect(address); // wakes the accepting thread
        }
        for stream in self.connections.take_all() {
            let _ = stream.shutdown(Shutdown::Both); // the connection may be closed already
        }
        self.wait()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.shut_down(); // a drop can't return the error
    }
}
