//! Connections between the replicas: each sends on a connection of its own and receives on those that its peers opened.
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

/// A peer that does not accept by then is tried again with the next message; below the election timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// A peer that reads nothing for so long loses its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// What replicas send each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// A message of the replication.
    Raft(Message<Add>),
    /// A client's call, forwarded to the leader; `call_id` is the sender's.
    ForwardedCall { call_id: u64, add: Add },
    /// The leader's answer to a forwarded call.
    ForwardedOutcome { call_id: u64, outcome: CallOutcome },
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum CallOutcome {
    /// Committed: the total after it.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// It may be added yet.
    Unknown,
}

/// Sends to the peers; messages that can't be sent at once are lost.
pub(super) struct PeerLinks(BTreeMap<NodeId, Sender<PeerMessage>>);

impl PeerLinks {
    /// Starts a thread for each peer.
    pub(super) fn connect(config: &ReplicaConfig, shutdown: &ShutdownFlag) -> PeerLinks {
        let mut links = BTreeMap::new();
        for (id, address) in &config.peer_addresses {
            if *id == config.id {
                continue;
            }
            let (sender, messages) = channel();
            let (own_id, address, shutdown) = (config.id, *address, shutdown.clone());
            std::thread::spawn(move || send_messages(own_id, address, &messages, &shutdown));
            links.insert(*id, sender);
        }
        PeerLinks(links)
    }

    /// Whether there is such a peer.
    pub(super) fn contains(&self, id: NodeId) -> bool {
        self.0.contains_key(&id)
    }

    /// Sends a message; one to an unknown peer is dropped.
    pub(super) fn send(&self, to: NodeId, message: PeerMessage) {
        if let Some(link) = self.0.get(&to) {
            let _ = link.send(message); // its thread lasts as long as the replica
        }
    }
}

/// Receives the messages of a peer until its connection ends.
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
    own_id: NodeId,
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
                frame::encode(&own_id, &mut bytes);
            }
        }
        frame::encode(&first, &mut bytes);
        for more in messages.try_iter() {
            frame::encode(&more, &mut bytes);
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
