//! The state of one client connection.
use crate::{ConnectionId, CustomerId};
use std::net::IpAddr;

/// A connection that was open before the controller was created.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenConnection {
    /// Id of the connection.
    pub id: ConnectionId,
    /// The address of the client.
    pub from: IpAddr,
    /// Whether the client has sent a complete command or greeting.
    pub has_sent_command: bool,
    /// Customers of the pending commands, one entry for each command.
    pub pending: Vec<CustomerId>,
}

/// An open connection.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    /// The address of the client.
    pub from: IpAddr,
    /// The customer of the last command; `None` before the first.
    pub customer: Option<CustomerId>,
    /// Whether the client has sent a complete command or greeting.
    pub has_sent_command: bool,
    /// Customers of the pending commands, one entry for each command.
    pub pending: Vec<CustomerId>,
    /// Number of commands that were read and are not decided on yet.
    pub queued: usize,
    /// Time at which the beginning of an incomplete command was read, seconds.
    pub partial_since: Option<f64>,
    /// Time of the latest of opening, response and complete command, seconds.
    pub last_active: f64,
}

impl Connection {
    /// Creates a connection that has sent nothing.
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

    /// Records a complete command or greeting that is about to be decided on.
    pub fn command_received(&mut self, now: f64) {
        self.partial_since = None;
        self.last_active = now;
        self.has_sent_command = true;
    }

    /// Returns whether the connection has no pending and no queued command.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.queued == 0
    }

    /// Returns whether the connection is idle and has sent nothing, not even an incomplete command.
    pub fn is_silent(&self) -> bool {
        !self.has_sent_command && self.partial_since.is_none() && self.is_idle()
    }
}
