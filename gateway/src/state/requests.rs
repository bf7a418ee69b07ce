//! Accepted requests, and their attempts.
use super::timers::TimerKey;
use crate::wire::resp::RequestCommand;
use quillramp::interner::Slab;
use quillramp::types::*;
use quillramp_broker::Grant;
use std::collections::HashSet;
use std::sync::Arc;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestIndex,
    /// Index of the attempt within the request, from 0.
    pub attempt: usize,
}

/// An attempt to get the answer to a request from a backend.
pub struct Attempt {
    /// The backend that it was sent to.
    pub backend: BackendIndex,
    /// Time of its start, in seconds.
    pub sent_at: f64,
    /// The connection on which it is in flight; `None` once it has ended.
    pub connection: Option<u64>,
    /// Time from its start to the first byte of a streamed response, in seconds.
    pub time_to_first_byte: Option<f64>,
}

/// Data in a response besides its value.
#[derive(Clone, Copy, Default)]
pub struct ResponseMetadata {
    /// Units that the backend billed for the request, if it reported them.
    pub billed_units: Option<f64>,
    /// The backend's load report, if there was one.
    pub load_report: Option<LoadReport>,
}

/// An attempt that has ended, but not been reported to the policy engine yet.
pub struct EndedAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// The result of the attempt.
    pub result: AttemptResult,
    /// Data of its response besides the value.
    pub metadata: ResponseMetadata,
}

/// A request, from its command to the end of its last attempt.
pub struct PendingRequest {
    /// The attributes that the policy engine uses.
    pub attributes: RequestAttributes,
    /// The client's command, which is sent to backends.
    pub command: Arc<RequestCommand>,
    /// The client's connection.
    pub client: u64,
    /// Number of its command on that connection, from 0.
    pub command_number: u64,
    /// Its attempts, in the order of their start.
    pub attempts: Vec<Attempt>,
    /// Whether it has been answered or its client has disconnected.
    pub is_closed: bool,
    /// The timer for the timeout of the request, later for checks of its stream; set from the first attempt on.
    pub timeout: Option<TimerKey>,
    /// Index of the attempt whose response is streamed.
    pub streaming_attempt: Option<usize>,
    /// Whether that response is being forwarded to the client.
    pub is_forwarding: bool,
    /// The grant of its team's contract, if there is one.
    pub grant: Option<Grant>,
}

impl PendingRequest {
    /// Returns whether any attempt has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.connection.is_some())
    }
}

/// All requests that have not ended.
#[derive(Default)]
pub struct RequestTable {
    /// The requests, by index.
    pub slots: Slab<PendingRequest>,
    /// The IDs that clients gave these requests.
    pub open_ids: HashSet<u64>,
    /// Attempts to report to the policy engine, the last one first.
    pub ended_attempts: Vec<EndedAttempt>,
}

impl RequestTable {
    /// Returns the request with this index, if there is one.
    pub fn get(&self, index: RequestIndex) -> Option<&PendingRequest> {
        self.slots[index].as_ref()
    }

    /// Returns the request with this index, if there is one.
    pub fn get_mut(&mut self, index: RequestIndex) -> Option<&mut PendingRequest> {
        self.slots[index].as_mut()
    }

    /// Returns the request with this index, if there is one that is not closed.
    pub fn get_open(&self, index: RequestIndex) -> Option<&PendingRequest> {
        self.get(index).filter(|pending| !pending.is_closed)
    }

    /// Returns the request with this index, if there is one that is not closed.
    pub fn get_open_mut(&mut self, index: RequestIndex) -> Option<&mut PendingRequest> {
        self.get_mut(index).filter(|pending| !pending.is_closed)
    }

    /// Returns the connection of an attempt while it is in flight.
    pub fn connection_of(&self, id: AttemptId) -> Option<u64> {
        self.get(id.request)?.attempts[id.attempt].connection
    }
}
