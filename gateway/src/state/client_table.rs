//! Clients' connections, and the replies that are pending on them.
use super::customers::AddedCustomers;
use crate::wire::resp::ClientReply;
use quillramp::types::RequestIndex;
use quillramp_identity::Caller;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::IpAddr;

/// The reply to a command. Replies are sent in the order of the commands.
pub enum PendingReply {
    /// It depends on the answer to this request.
    Request(RequestIndex),
    /// It is known, and is sent after the replies to the commands before.
    Ready(ClientReply),
}

/// A client's connection.
#[derive(Default)]
pub struct Client {
    /// The client's address.
    pub address: Option<IpAddr>,
    /// The authenticated caller; `None` without a valid token.
    pub caller: Option<Caller>,
    /// The number of the first command without a reply.
    pub first_unanswered_number: u64,
    /// One entry for each command without a sent reply.
    pub pending_replies: VecDeque<PendingReply>,
    /// The customers that its requests have added.
    pub added_customers: AddedCustomers,
    /// Time when the last command arrived or was answered, in seconds.
    pub last_active: f64,
    /// Whether a complete command has arrived.
    pub has_sent_command: bool,
    /// Time since which a command has been incomplete, in seconds.
    pub partial_since: Option<f64>,
    /// Time when more of a command's body last arrived, in seconds; infinite while the command waits for memory of this
    /// process.
    pub body_progress_at: Option<f64>,
    /// Whether the client broke the protocol, so that the connection is closed once all commands are answered.
    pub has_protocol_error: bool,
    /// Whether its requests are rejected, because the instance drains and the connection is to end.
    pub rejects_requests: bool,
    /// Whether a command has arrived since the drain rejects requests of busy clients.
    pub has_late_command: bool,
    /// Whether nothing more is read from its socket, and it is closed once all commands that were read are answered.
    pub is_reading_stopped: bool,
}

impl Client {
    /// Returns the number of its next command.
    pub fn next_command_number(&self) -> u64 {
        self.first_unanswered_number + self.pending_replies.len() as u64
    }

    /// Returns whether every command has been answered.
    pub fn is_answered(&self) -> bool {
        self.pending_replies.is_empty()
    }

    /// Returns the request whose answer is to be sent next, unless the next reply is ready or there is none.
    pub fn next_request(&self) -> Option<RequestIndex> {
        match self.pending_replies.front() {
            Some(PendingReply::Request(request)) => Some(*request),
            _ => None,
        }
    }

    /// Removes and returns the next reply, if it is ready.
    pub fn take_ready_reply(&mut self) -> Option<ClientReply> {
        match self.pending_replies.pop_front()? {
            PendingReply::Ready(reply) => {
                self.first_unanswered_number += 1;
                Some(reply)
            }
            waiting => {
                self.pending_replies.push_front(waiting);
                None
            }
        }
    }

    /// Returns the bytes of the values that wait for earlier replies.
    pub fn waiting_value_bytes(&self) -> usize {
        let bytes = self.pending_replies.iter().map(|pending| match pending {
            PendingReply::Ready(reply) => reply.value_bytes(),
            PendingReply::Request(_) => 0,
        });
        bytes.sum()
    }

    /// Sets the reply to a command, if that is still pending.
    pub fn set_reply(&mut self, command_number: u64, reply: ClientReply) {
        let position = command_number.checked_sub(self.first_unanswered_number);
        let pending = position.and_then(|position| self.pending_replies.get_mut(position as usize));
        if let Some(pending) = pending {
            *pending = PendingReply::Ready(reply);
        }
    }

    /// Returns the requests whose answers are pending.
    pub fn requests(&self) -> impl Iterator<Item = RequestIndex> + '_ {
        self.pending_replies.iter().filter_map(|pending| match pending {
            PendingReply::Request(request) => Some(*request),
            PendingReply::Ready(_) => None,
        })
    }
}

/// All clients' connections.
#[derive(Default)]
pub struct ClientTable {
    /// The connections, by connection ID.
    pub connections: HashMap<u64, Client>,
    /// Number of commands in the current batch of events, by client.
    pub commands_in_batch: BTreeMap<u64, usize>,
    /// Bytes of the values that wait for earlier replies on their connections.
    pub waiting_value_bytes: usize,
    /// Whether a connection was rejected in the current batch, which frees a file descriptor.
    pub rejected_in_batch: bool,
}
