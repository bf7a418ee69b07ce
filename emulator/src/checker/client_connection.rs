//! The state of a client's connection.
use std::collections::VecDeque;

/// The kind of a command.
#[derive(Clone, Copy)]
pub(super) enum CommandKind {
    /// A request, with its id.
    Request(u64),
    /// Any other command.
    Other,
}

/// A command that has no response yet.
#[derive(Clone, Copy)]
pub(super) struct PendingCommand {
    /// Kind of the command.
    pub kind: CommandKind,
    /// Time at which the last byte arrived.
    pub received_at: f64,
}

/// A request that has no response when its connection ends.
pub(super) struct LostRequest {
    /// Id of the request.
    pub id: u64,
    /// Time at which the last byte arrived.
    pub received_at: f64,
}

/// A client's connection.
#[derive(Default)]
pub(super) struct ClientConnection {
    /// Index of the process that the client is connected to.
    pub process: usize,
    /// Whether the client is one that sends bytes that can't be parsed.
    pub malformed: bool,
    /// Bytes from the client that do not form a complete command yet.
    pub received: Vec<u8>,
    /// Bytes to the client that do not form a complete response yet.
    pub response_bytes: Vec<u8>,
    /// Commands without a response, oldest first.
    pub pending: VecDeque<PendingCommand>,
    /// Time since which the oldest pending command has been at the front of the pipeline.
    pub front_since: f64,
    /// Whether further bytes from the client are ignored, because earlier ones can't be parsed or the process rejected the connection.
    pub unparseable: bool,
    /// Time at which the client connected.
    pub connected_at: f64,
}

impl ClientConnection {
    /// Returns the id of the request at the front of the pipeline; none if the pipeline is empty or another command is at its front.
    pub fn front_request(&self) -> Option<u64> {
        match self.pending.front()?.kind {
            CommandKind::Request(id) if !self.malformed => Some(id),
            _ => None,
        }
    }

    /// Returns the oldest request without a response. None if a response was written in part: the client can detect that a truncated
    /// response is incomplete.
    pub fn lost_request(&self) -> Option<LostRequest> {
        self.lost_request_since(f64::NEG_INFINITY)
    }

    /// Returns the first request without a response that arrived after `since`. None if a response has been written in part.
    pub fn lost_request_since(&self, since: f64) -> Option<LostRequest> {
        if !self.response_bytes.is_empty() {
            return None;
        }
        self.pending.iter().filter(|command| command.received_at > since).find_map(|command| {
            match command.kind {
                CommandKind::Request(id) => Some(LostRequest { id, received_at: command.received_at }),
                CommandKind::Other => None,
            }
        })
    }
}
