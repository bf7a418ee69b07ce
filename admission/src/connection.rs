//! The state of one connection.
use crate::{ConnectionId, CustomerId};
use std::net::IpAddr;

/// A connection that was open before the controller was there.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenConnection {
    /// Its number.
    pub id: ConnectionId,
    /// Where it comes from.
    pub from: IpAddr,
    /// It has sent something whole.
    pub has_spoken: bool,
    /// The customers of its commands without an answer, once for each command.
    pub unanswered: Vec<CustomerId>,
}

#[derive(Clone, Debug)]
pub(crate) struct Connection {
    pub from: IpAddr,
    /// The customer of its last command.
    pub customer: Option<CustomerId>,
    /// It has sent something whole, if only a greeting.
    pub has_spoken: bool,
    /// The customers of its commands without an answer, once for each command.
    pub unanswered: Vec<CustomerId>,
    /// Commands that were read and are not decided on yet.
    pub undecided: usize,
    /// When the command began that has not come whole yet.
    pub partial_since: Option<f64>,
    /// When it was opened, was answered or last sent something whole.
    pub last_active: f64,
}

impl Connection {
    pub fn new(now: f64, from: IpAddr) -> Connection {
        Connection {
            from,
            customer: None,
            has_spoken: false,
            unanswered: vec![],
            undecided: 0,
            partial_since: None,
            last_active: now,
        }
    }

    /// It is owed no answer, as far as is known.
    pub fn is_idle(&self) -> bool {
        self.unanswered.is_empty() && self.undecided == 0
    }

    /// It is idle and has sent nothing, not even the beginning of a command.
    pub fn is_silent(&self) -> bool {
        !self.has_spoken && self.partial_since.is_none() && self.is_idle()
    }
}
