//! Connections to a shard and the sessions of gateway instances, by which a batch is applied only once.
use super::types::ConnectionId;
use crate::fault_injection::InjectedFault;
use crate::protocol_violation::ProtocolViolation;
use crate::wire::{Frame, FrameDecoder};
use std::collections::BTreeMap;

/// Lifetime of a session since its last frame, seconds; far longer than a client retransmits a batch.
const SESSION_LIFETIME: f64 = 120.0;

#[derive(Debug, Default)]
struct Connection {
    decoder: FrameDecoder,
    /// The gateway instance, once it has sent its `Hello`.
    gateway: Option<u64>,
}

/// What is stored for a gateway instance: the last batch applied and its response.
#[derive(Debug)]
struct Session {
    incarnation: u64,
    connection: ConnectionId,
    /// Sequence of the last batch applied; 0: none.
    last_sequence: u32,
    /// The encoded response to it.
    last_response: Vec<u8>,
    /// Unix time in seconds of the last `Hello` or batch.
    last_seen_at: f64,
}

/// What has to be done with a batch.
#[derive(Debug)]
pub(super) enum BatchDisposition {
    /// It is older than the last batch applied: nothing.
    Obsolete,
    /// It is the last batch applied: send the stored response again.
    Retransmitted { response: Vec<u8> },
    /// Apply it.
    New { gateway: u64 },
}

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

    /// Buffers received bytes; an unknown connection is a new one.
    pub(super) fn receive(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.connections.entry(connection).or_default().decoder.extend(bytes);
    }

    /// The next complete frame of a connection, `None` if there is none or the connection is closed.
    ///
    /// # Errors
    /// [`ProtocolViolation::InvalidFrame`] if the bytes are not a valid frame.
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

    /// A gateway instance introduces itself. Returns the connection that this one replaces and that has to be closed:
    /// what it still carries must not be applied after what arrives on this one.
    ///
    /// # Errors
    /// [`ProtocolViolation::ReplacedIncarnation`] if a newer process of the instance has a session.
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

    /// Decides what to do with a batch by its sequence.
    ///
    /// # Errors
    /// [`ProtocolViolation`] if the connection is not the current one of a gateway instance.
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

    /// Stores the response to a batch that has been applied.
    pub(super) fn store_response(&mut self, gateway: u64, sequence: u32, response: &[u8]) {
        if let Some(session) = self.sessions.get_mut(&gateway) {
            session.last_sequence = sequence;
            session.last_response.clear();
            session.last_response.extend_from_slice(response);
        }
    }

    /// Forgets gateway instances that are gone.
    pub(super) fn remove_expired(&mut self, now: f64) {
        self.sessions.retain(|_, session| now - session.last_seen_at < SESSION_LIFETIME);
    }
}

impl Session {
    fn new(now: f64, connection: ConnectionId, incarnation: u64) -> Session {
        Session { incarnation, connection, last_sequence: 0, last_response: vec![], last_seen_at: now }
    }

    /// Moves the session to a connection, and returns the former connection if it is another one. A newer process
    /// begins a new count of batches.
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
