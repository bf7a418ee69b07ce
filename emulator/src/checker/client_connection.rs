//! What is known of a client's connection.
use std::collections::VecDeque;

/// What a command is.
#[derive(Clone, Copy)]
pub(super) enum CommandKind {
    /// A request, by its id.
    Request(u64),
    /// Another command.
    Other,
}

/// A command that has no response yet.
#[derive(Clone, Copy)]
pub(super) struct PendingCommand {
    /// What it is.
    pub kind: CommandKind,
    /// When its last byte arrived.
    pub received_at: f64,
}

/// A request whose client got no response.
pub(super) struct LostRequest {
    /// The request's id.
    pub id: u64,
    /// When its last byte arrived.
    pub received_at: f64,
}

/// A client's connection.
#[derive(Default)]
pub(super) struct ClientConnection {
    /// The process that it is connected to.
    pub process: usize,
    /// The client sends what can't be parsed.
    pub malformed: bool,
    /// Bytes of the client that are not decoded yet.
    pub received: Vec<u8>,
    /// Bytes for the client that are no complete response yet.
    pub response_bytes: Vec<u8>,
    /// The commands without a response, in order.
    pub pending: VecDeque<PendingCommand>,
    /// Since when the oldest command has been at the front of the pipeline.
    pub front_since: f64,
    /// Nothing after this can be parsed.
    pub unparseable: bool,
    /// When the client connected.
    pub connected_at: f64,
}

impl ClientConnection {
    /// The request at the front of the pipeline, if that is one.
    pub fn overdue_request(&self) -> Option<u64> {
        match self.pending.front()?.kind {
            CommandKind::Request(id) if !self.malformed => Some(id),
            _ => None,
        }
    }

    /// The oldest request without a response; none where a response has begun, for the client can tell that a truncated one is not
    /// complete.
    pub fn lost_request(&self) -> Option<LostRequest> {
        if !self.response_bytes.is_empty() {
            return None;
        }
        self.pending.iter().find_map(|command| match command.kind {
            CommandKind::Request(id) => Some(LostRequest { id, received_at: command.received_at }),
            CommandKind::Other => None,
        })
    }
}
