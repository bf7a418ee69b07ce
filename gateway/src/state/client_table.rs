//! Clients' connections and the replies that they wait for.
use crate::wire::resp::ClientReply;
use quillramp::types::RequestIndex;
use quillramp_identity::Caller;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::IpAddr;

/// The reply to a command: replies leave in the order of the commands.
pub enum PendingReply {
    /// This request is to be answered first.
    Request(RequestIndex),
    /// It waits only for the replies to the commands before.
    Ready(ClientReply),
}

/// A client's connection.
#[derive(Default)]
pub struct Client {
    /// Where it comes from.
    pub address: Option<IpAddr>,
    /// Who speaks on it, once it has been authenticated.
    pub caller: Option<Caller>,
    /// The number of the first command without a reply.
    pub first_unanswered_number: u64,
    /// One for each command without a reply.
    pub pending_replies: VecDeque<PendingReply>,
    /// When the last command came or was answered, in seconds.
    pub last_active: f64,
    /// A command has come.
    pub has_sent_command: bool,
    /// Since when a command has been incomplete, in seconds.
    pub partial_since: Option<f64>,
    /// When more of a long body came, in seconds; infinite while the body waits for memory here.
    pub body_progress_at: Option<f64>,
    /// Its framing broke: it is closed once all is answered.
    pub has_protocol_error: bool,
    /// It is no longer read, and closed once all is answered.
    pub is_reading_stopped: bool,
}

impl Client {
    /// The number that its next command gets.
    pub fn next_command_number(&self) -> u64 {
        self.first_unanswered_number + self.pending_replies.len() as u64
    }

    /// Every command has been answered.
    pub fn is_answered(&self) -> bool {
        self.pending_replies.is_empty()
    }

    /// The request whose answer is to be sent next.
    pub fn next_request(&self) -> Option<RequestIndex> {
        match self.pending_replies.front() {
            Some(PendingReply::Request(request)) => Some(*request),
            _ => None,
        }
    }

    /// Takes the next reply, if it is ready.
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

    /// Gives the reply to a command, if that still has none.
    pub fn set_reply(&mut self, command_number: u64, reply: ClientReply) {
        let position = command_number.checked_sub(self.first_unanswered_number);
        let pending = position.and_then(|position| self.pending_replies.get_mut(position as usize));
        if let Some(pending) = pending {
            *pending = PendingReply::Ready(reply);
        }
    }

    /// The requests that it waits for.
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
    /// By number.
    pub connections: HashMap<u64, Client>,
    /// How many commands of the current batch are still to be handled, by client.
    pub commands_in_batch: BTreeMap<u64, usize>,
    /// A connection was rejected in the current batch, which leaves a descriptor.
    pub rejected_in_batch: bool,
}
