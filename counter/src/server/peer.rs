//! Connections between replicas: each replica sends on the connections that it opened and receives on those that its peers opened.
use super::{Event, ReplicaConfig, ShutdownFlag};
use crate::frame;
use crate::raft::{Message, NodeId};
use crate::totals::Add;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Timeout of a connection attempt, shorter than an election timeout; the next message triggers another attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a connection with a blocked write is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// A message between replicas. The encoding follows the order of the variants, which must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// A message of the Raft node.
    Raft(Message<Add>),
    /// A client's call, forwarded to the leader; `call_id` is assigned by the sender.
    ForwardedCall { call_id: u64, add: Add },
    /// The leader's response to a forwarded call.
    ForwardedOutcome { call_id: u64, outcome: CallOutcome },
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum CallOutcome {
    /// The call was committed; the total after it.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// The outcome is unknown: the call may still be committed.
    Unknown,
}

/// Sends messages to the peers. Delivery is best effort: messages to an unreachable peer are lost, which Raft tolerates.
pub(super) struct PeerLinks(BTreeMap<NodeId, Sender<PeerMessage>>);

impl PeerLinks {
    /// Spawns a sending thread for each peer.
    pub(super) fn connect(config: &ReplicaConfig, shutdown: &ShutdownFlag) -> PeerLinks {
        let mut links = BTreeMap::new();
        for (id, address) in &config.peer_addresses {
            if *id == config.id {
                continue;
            }
            let (sender, messages) = channel();
            let local_id = config.id;
            let address = *address;
            let shutdown = shutdown.clone();
            std::thread::spawn(move || send_messages(local_id, address, &messages, &shutdown));
            links.insert(*id, sender);
        }
        PeerLinks(links)
    }

    /// Returns whether an id is that of a peer.
    pub(super) fn contains(&self, id: NodeId) -> bool {
        self.0.contains_key(&id)
    }

    /// Sends a message; a message to an unknown peer is dropped.
    pub(super) fn send(&self, to: NodeId, message: PeerMessage) {
        if let Some(link) = self.0.get(&to) {
            let _ = link.send(message); // the thread runs as long as the replica
        }
    }
}

/// Receives the messages of a peer until its connection closes; the first frame is the peer's id.
pub(super) fn receive(stream: TcpStream, replica: &Sender<Event>) {
    let mut reader = BufReader::new(stream);
    let Ok(Some(from)) = frame::read::<NodeId>(&mut reader) else { return };
    while let Ok(Some(message)) = frame::read(&mut reader) {
        if replica.send(Event::PeerMessage { from, message }).is_err() {
            return;
        }
    }
}

fn send_messages(
    local_id: NodeId,
    address: SocketAddr,
    messages: &Receiver<PeerMessage>,
    shutdown: &ShutdownFlag,
) {
    let mut connection: Option<TcpStream> = None;
    let mut bytes = vec![];
    while let Ok(first) = messages.recv() {
        if shutdown.load(Ordering::Relaxed) {
            return;
        }
        bytes.clear();
        if connection.is_none() {
            connection = open(address);
            if connection.is_some() {
                frame::encode(&local_id, &mut bytes);
            }
        }
        frame::encode(&first, &mut bytes);
        for message in messages.try_iter() {
            frame::encode(&message, &mut bytes);
        }
        let is_lost = connection.as_mut().is_some_and(|stream| stream.write_all(&bytes).is_err());
        if is_lost {
            connection = None;
        }
    }
}

fn open(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    Some(stream)
}
