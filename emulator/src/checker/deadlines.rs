//! Checks that each command of a client gets its response before a deadline.
use super::client_connection::{ClientConnection, CommandKind, PendingCommand};
use super::{Checker, Invariant, TOLERANCE};
use crate::network::LinkId;

/// Maximum number of seconds from the start of a connection to the error or the close for a client whose bytes can't be parsed.
pub(super) const MALFORMED_TIMEOUT: f64 = 3.0;
/// Maximum number of seconds to the response to a command that is not a request.
const COMMAND_TIMEOUT: f64 = 1.0;
/// Seconds until a response that has been written in part is checked again.
const RECHECK_INTERVAL: f64 = 0.5;

/// The time at which a connection's oldest pending command is checked.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    /// Bits of the time in seconds. The bits of non-negative numbers have the same order as the numbers.
    at_bits: u64,
    link: LinkId,
}

impl Deadline {
    /// Returns a deadline at the time `at`, in seconds.
    pub fn new(at: f64, link: LinkId) -> Deadline {
        Deadline { at_bits: at.to_bits(), link }
    }

    fn at(self) -> f64 {
        f64::from_bits(self.at_bits)
    }
}

impl Checker {
    /// Returns the time by which the command at the front of a connection's pipeline must get its response.
    fn response_deadline(&self, link: LinkId) -> Option<f64> {
        let client = self.clients.get(&link)?;
        let stalled_until = self.processes.get(&client.process).map_or(0.0, |process| process.stalled_until);
        if client.malformed {
            return Some(client.connected_at.max(stalled_until) + MALFORMED_TIMEOUT);
        }
        let command = client.pending.front()?;
        // Bytes that arrived during a stall count as received at its end: a process can't determine when they arrived.
        let received_at = command.received_at.max(stalled_until);
        Some(match command.kind {
            CommandKind::Request(id) => {
                let timeout = self.requests.get(&id).map_or(COMMAND_TIMEOUT, |request| request.timeout);
                (received_at + timeout).max(client.front_since) + TOLERANCE
            }
            CommandKind::Other => client.front_since.max(received_at) + COMMAND_TIMEOUT,
        })
    }

    /// Schedules the next check of a connection.
    pub(super) fn schedule_deadline(&mut self, link: LinkId) {
        if let Some(at) = self.response_deadline(link) {
            self.deadlines.insert(Deadline::new(at, link));
        }
    }

    /// Returns the connection with the earliest deadline, if that deadline has passed.
    fn next_overdue(&self, now: f64) -> Option<LinkId> {
        self.deadlines.first().filter(|deadline| deadline.at() < now).map(|deadline| deadline.link)
    }

    /// Checks the connections whose deadlines have passed, and records a violation for a command without a response.
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
                // The response has been written in part.
                self.deadlines.insert(Deadline::new(now + RECHECK_INTERVAL, link));
            } else {
                let message = Self::overdue_message(link, client);
                match client.front_request() {
                    Some(id) => self.record_request_violation(Invariant::SingleResponse, now, id, message),
                    None => self.record_violation(Invariant::SingleResponse, now, message),
                }
            }
        }
    }

    /// Returns the message about a connection without a response in time.
    fn overdue_message(link: LinkId, client: &ClientConnection) -> String {
        if client.malformed {
            return format!(
                "connection {link}: expected an error or a close within {MALFORMED_TIMEOUT} s for bytes that can't be parsed, found neither"
            );
        }
        match client.pending.front() {
            Some(PendingCommand { kind: CommandKind::Request(id), received_at }) => format!(
                "request {id:016x}, received at {received_at:.4} on connection {link}, got no response before its deadline"
            ),
            _ => format!("connection {link}: a command got no response before its deadline"),
        }
    }
}
