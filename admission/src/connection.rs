//! The state of one client connection.
use crate::{ConnectionId, CustomerId};
use std::net::IpAddr;

/// A connection that was open before the controller was created.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenConnection {
    /// Its id.
    pub id: ConnectionId,
    /// The address of the client.
    pub from: IpAddr,
    /// Whether it has sent a complete command or greeting.
    pub has_sent_command: bool,
    /// The customers of its pending commands, one entry for each command.
    pub pending: Vec<CustomerId>,
}

/// An open connection.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    /// The address of the client.
    pub from: IpAddr,
    /// The customer of its last command.
    pub customer: Option<CustomerId>,
    /// Whether it has sent a complete command or greeting.
    pub has_sent_command: bool,
    /// The customers of its pending commands, one entry for each command.
    pub pending: Vec<CustomerId>,
    /// Commands that were read and not yet passed to the controller for a verdict.
    pub queued: usize,
    /// Time at which the beginning of an incomplete command was read, seconds.
    pub partial_since: Option<f64>,
    /// Time of its opening, its last response or its last complete command, seconds.
    pub last_active: f64,
}

impl Connection {
    /// A connection that has sent nothing.
    pub fn new(now: f64, from: IpAddr) -> Connection {
        Connection {
            from,
            customer: None,
            has_sent_command: false,
            pending: vec![],
            queued: 0,
            partial_since: None,
            last_active: now,
        }
    }

    /// A complete command or greeting of it is about to be decided on.
    pub fn command_received(&mut self, now: f64) {
        self.partial_since = None;
        self.last_active = now;
        self.has_sent_command = true;
    }

    /// Whether it has no pending command, as far as the controller knows.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.queued == 0
    }

    /// Whether it is idle and has sent nothing, not even an incomplete command.
    pub fn is_silent(&self) -> bool {
        !self.has_sent_command && self.partial_since.is_none() && self.is_idle()
    }
}
