//! Checks that each command of a client gets its response in time.
use super::client_connection::{ClientConnection, CommandKind, PendingCommand};
use super::{Checker, Invariant, SHUTDOWN_INTAKE, TOLERANCE};
use crate::network::LinkId;

/// A client whose bytes can't be parsed gets an error, or the end of its connection, within so many seconds.
pub(super) const MALFORMED_TIMEOUT: f64 = 3.0;
/// Time for the response to a command that is not a request, in seconds.
const COMMAND_TIMEOUT: f64 = 1.0;
/// Time after which a response that arrives in pieces is looked at again, in seconds.
const RECHECK_INTERVAL: f64 = 0.5;

/// When a connection's oldest command is to be looked at.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    /// Bits of the time: those of non-negative numbers sort as the numbers do.
    at_bits: u64,
    link: LinkId,
}

impl Deadline {
    /// A deadline at that time, in seconds.
    pub fn new(at: f64, link: LinkId) -> Deadline {
        Deadline { at_bits: at.to_bits(), link }
    }

    fn at(self) -> f64 {
        f64::from_bits(self.at_bits)
    }
}

impl Checker {
    /// When the command at the front of a connection's pipeline must have its response.
    fn response_deadline(&self, link: LinkId) -> Option<f64> {
        let client = self.clients.get(&link)?;
        let stalled_until = self.processes.get(&client.process).map_or(0.0, |process| process.stalled_until);
        if client.malformed {
            return Some(client.connected_at.max(stalled_until) + MALFORMED_TIMEOUT);
        }
        let command = client.pending.front()?;
        // What arrived during a stall counts from the stall's end: a process can't know how long bytes lay there.
        let received_at = command.received_at.max(stalled_until);
        Some(match command.kind {
            CommandKind::Request(id) => {
                let timeout = self.requests.get(&id).map_or(COMMAND_TIMEOUT, |request| request.timeout);
                (received_at + timeout).max(client.front_since) + TOLERANCE
            }
            CommandKind::Other => client.front_since.max(received_at) + COMMAND_TIMEOUT,
        })
    }

    /// Schedules the next look at a connection.
    pub(super) fn schedule_deadline(&mut self, link: LinkId) {
        if let Some(at) = self.response_deadline(link) {
            self.deadlines.insert(Deadline::new(at, link));
        }
    }

    /// The connection with the earliest deadline, if that has passed.
    fn next_overdue(&self, now: f64) -> Option<LinkId> {
        self.deadlines.first().filter(|deadline| deadline.at() < now).map(|deadline| deadline.link)
    }

    /// Finds the commands that should have had a response by now.
    pub fn check_deadlines(&mut self, now: f64) {
        while let Some(link) = self.next_overdue(now) {
            self.deadlines.pop_first();
            let Some(deadline) = self.response_deadline(link) else { continue };
            let client = &self.clients[&link];
            if self.processes.get(&client.process).is_none_or(|process| process.ended) {
                continue;
            }
            if deadline >= now {
                self.deadlines.insert(Deadline::new(deadline, link));
            } else if !client.response_bytes.is_empty() && !client.malformed {
                // Its response is arriving in pieces.
                self.deadlines.insert(Deadline::new(now + RECHECK_INTERVAL, link));
            } else if let Some(message) = self.overdue_message(link, client) {
                match client.overdue_request() {
                    Some(id) => self.record_request_violation(Invariant::SingleResponse, now, id, message),
                    None => self.record_violation(Invariant::SingleResponse, now, message),
                }
            }
        }
    }

    /// What a connection's client waits for; none where it arrived too late before a shutdown.
    fn overdue_message(&self, link: LinkId, client: &ClientConnection) -> Option<String> {
        if client.malformed {
            return Some(format!(
                "connection {link}: neither an error nor a close within {MALFORMED_TIMEOUT} s of bytes that can't be parsed"
            ));
        }
        let process = self.processes.get(&client.process);
        let shutdown = process.and_then(|process| process.shutdown_requested);
        match client.pending.front() {
            Some(command) if shutdown.is_some_and(|at| command.received_at > at + SHUTDOWN_INTAKE) => None,
            Some(PendingCommand { kind: CommandKind::Request(id), received_at }) => Some(format!(
                "request {id:016x}, received at {received_at:.4} on connection {link}, has no response in time"
            )),
            _ => Some(format!("connection {link}: a command has no response in time")),
        }
    }
}
