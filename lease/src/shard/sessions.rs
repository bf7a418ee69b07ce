//! Connections to a shard, and the sessions of gateway instances, which ensure that each batch is applied
//! only once.
use super::types::ConnectionId;
use crate::fault_injection::InjectedFault;
use crate::protocol_violation::ProtocolViolation;
use crate::wire::{Frame, FrameDecoder};
use std::collections::BTreeMap;

/// Lifetime of a session after its last frame, in seconds; far longer than a client retransmits a batch.
const SESSION_LIFETIME: f64 = 120.0;

/// State of an open connection.
#[derive(Debug, Default)]
struct Connection {
    decoder: FrameDecoder,
    /// Id of the gateway instance, `None` until it has sent its `Hello`.
    gateway: Option<u64>,
}

/// State kept for a gateway instance across its connections: the last batch applied and its response.
#[derive(Debug)]
struct Session {
    incarnation: u64,
    /// Current connection of the instance.
    connection: ConnectionId,
    /// Sequence number of the last batch applied, 0 if none.
    last_sequence: u32,
    /// Encoded response to the last batch applied.
    last_response: Vec<u8>,
    /// Unix time in seconds of the last `Hello` or batch.
    last_seen_at: f64,
}

/// Classification of a received batch, which determines its handling.
#[derive(Debug)]
pub(super) enum BatchDisposition {
    /// The batch is older than the last one applied: ignore it.
    Obsolete,
    /// The batch is the last one applied: send the stored response again.
    Retransmitted { response: Vec<u8> },
    /// The batch is new: apply it.
    New { gateway: u64 },
}

/// Open connections, and the sessions by gateway instance.
#[derive(Debug)]
pub(super) struct SessionTable {
    connections: BTreeMap<ConnectionId, Connection>,
    sessions: BTreeMap<u64, Session>,
    injected_fault: Option<InjectedFault>,
}

impl SessionTable {
    pub(super) fn new(injected_fault: Option<InjectedFault>) -> SessionTable {
        SessionTable { connections: BTreeMap::new(), sessions: BTreeMap::new(), injected_fault }
    }

    /// Buffers bytes received on a connection. The first bytes register a new connection.
    pub(super) fn receive(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.connections.entry(connection).or_default().decoder.extend(bytes);
    }

    /// Returns the next complete frame of a connection, `None` if more bytes are needed or the connection is
    /// closed.
    ///
    /// # Errors
    /// Returns [`ProtocolViolation::InvalidFrame`] if the bytes are not a valid frame.
    pub(super) fn next_frame(
        &mut self,
        connection: ConnectionId,
    ) -> Result<Option<Frame>, ProtocolViolation> {
        match self.connections.get_mut(&connection) {
            Some(open_connection) => Ok(open_connection.decoder.next_frame()?),
            None => Ok(None),
        }
    }

    pub(super) fn remove_connection(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Assigns a connection to a gateway instance on its `Hello`. Returns the instance's former connection,
    /// which the caller must close: batches still in transit on it must not be applied after those on the new
    /// connection.
    ///
    /// # Errors
    /// Returns [`ProtocolViolation::ReplacedIncarnation`] if a newer process of the instance has a session.
    pub(super) fn handle_hello(
        &mut self,
        now: f64,
        connection: ConnectionId,
        gateway: u64,
        incarnation: u64,
    ) -> Result<Option<ConnectionId>, ProtocolViolation> {
        let replaced = match self.sessions.get_mut(&gateway) {
            Some(session) => session.reconnect(now, connection, incarnation)?,
            None => {
                self.sessions.insert(gateway, Session::new(now, connection, incarnation));
                None
            }
        };
        if let Some(open_connection) = self.connections.get_mut(&connection) {
            open_connection.gateway = Some(gateway);
        }
        Ok(replaced.filter(|former| self.connections.contains_key(former)))
    }

    /// Classifies a batch by its sequence number.
    ///
    /// # Errors
    /// Returns [`ProtocolViolation`] if the connection is not the current one of a gateway instance.
    pub(super) fn receive_batch(
        &mut self,
        now: f64,
        connection: ConnectionId,
        sequence: u32,
    ) -> Result<BatchDisposition, ProtocolViolation> {
        let gateway = self.connections.get(&connection).and_then(|open_connection| open_connection.gateway);
        let gateway = gateway.ok_or(ProtocolViolation::BatchBeforeHello)?;
        let session = self.sessions.get_mut(&gateway).ok_or(ProtocolViolation::BatchBeforeHello)?;
        if session.connection != connection {
            return Err(ProtocolViolation::ReplacedConnection);
        }
        session.last_seen_at = now;
        if self.injected_fault == Some(InjectedFault::ReapplyRetransmittedBatch) {
            return Ok(BatchDisposition::New { gateway });
        }
        Ok(match sequence.cmp(&session.last_sequence) {
            std::cmp::Ordering::Less => BatchDisposition::Obsolete,
            std::cmp::Ordering::Equal => {
                BatchDisposition::Retransmitted { response: session.last_response.clone() }
            }
            std::cmp::Ordering::Greater => BatchDisposition::New { gateway },
        })
    }

    /// Stores the encoded response to a batch that has been applied.
    pub(super) fn store_response(&mut self, gateway: u64, sequence: u32, response: &[u8]) {
        if let Some(session) = self.sessions.get_mut(&gateway) {
            session.last_sequence = sequence;
            session.last_response.clear();
            session.last_response.extend_from_slice(response);
        }
    }

    /// Removes sessions whose last frame is older than [`SESSION_LIFETIME`].
    pub(super) fn remove_expired(&mut self, now: f64) {
        self.sessions.retain(|_, session| now - session.last_seen_at < SESSION_LIFETIME);
    }
}

impl Session {
    fn new(now: f64, connection: ConnectionId, incarnation: u64) -> Session {
        Session { incarnation, connection, last_sequence: 0, last_response: vec![], last_seen_at: now }
    }

    /// Moves the session to a connection, and returns the former connection if it is a different one. A newer
    /// process of the instance restarts the sequence numbers.
    ///
    /// # Errors
    /// Returns [`ProtocolViolation::ReplacedIncarnation`] if the session belongs to a newer process.
    fn reconnect(
        &mut self,
        now: f64,
        connection: ConnectionId,
        incarnation: u64,
    ) -> Result<Option<ConnectionId>, ProtocolViolation> {
        if incarnation < self.incarnation {
            return Err(ProtocolViolation::ReplacedIncarnation(incarnation));
        }
        let former = std::mem::replace(&mut self.connection, connection);
        self.last_seen_at = now;
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.last_sequence = 0;
            self.last_response.clear();
        }
        Ok(Some(former).filter(|former| *former != connection))
    }
}
