//! Requests that have been accepted, and their attempts.
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
    /// Which of the request's attempts it is, from 0.
    pub attempt: usize,
}

/// One attempt to have a request answered by a backend.
pub struct Attempt {
    /// Where it was sent.
    pub backend: BackendIndex,
    /// When it was sent, in seconds.
    pub sent_at: f64,
    /// The connection on which it is in flight; none once it has ended.
    pub connection: Option<u64>,
    /// How long its streamed response took to begin, in seconds.
    pub time_to_first_byte: Option<f64>,
}

/// What came with a response besides its value.
#[derive(Clone, Copy, Default)]
pub struct ResponseMetadata {
    /// The units that the request really took.
    pub billed_units: Option<f64>,
    /// The backend's report of its own load.
    pub load_report: Option<LoadReport>,
}

/// An attempt that has ended, of which the policy engine has not been notified yet.
pub struct EndedAttempt {
    /// Which one.
    pub id: AttemptId,
    /// How it ended.
    pub result: AttemptResult,
    /// What came with its response.
    pub metadata: ResponseMetadata,
}

/// A request, from its command to the end of its last attempt.
pub struct PendingRequest {
    /// What the policy engine knows of it.
    pub attributes: RequestAttributes,
    /// The client's command, which is sent to backends.
    pub command: Arc<RequestCommand>,
    /// The client's connection.
    pub client: u64,
    /// The number of its command on that connection, from 0.
    pub command_number: u64,
    /// In the order in which they began.
    pub attempts: Vec<Attempt>,
    /// It has been answered, or its client has left.
    pub is_closed: bool,
    /// Set from the first attempt on: the request's timeout, then the stream's.
    pub timeout: Option<TimerKey>,
    /// The attempt whose response is to be streamed.
    pub streaming_attempt: Option<usize>,
    /// That response is on its way to the client.
    pub is_forwarding: bool,
    /// What the contract of its team granted for it.
    pub grant: Option<Grant>,
}

impl PendingRequest {
    /// Some attempt has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.connection.is_some())
    }
}

/// All requests that are not over.
#[derive(Default)]
pub struct RequestTable {
    /// By index.
    pub slots: Slab<PendingRequest>,
    /// The clients' ids of these requests.
    pub open_ids: HashSet<u64>,
    /// Those of which the policy engine is to be notified, the last one first.
    pub ended_attempts: Vec<EndedAttempt>,
}

impl RequestTable {
    /// The request with this index, if there is one.
    pub fn get(&self, index: RequestIndex) -> Option<&PendingRequest> {
        self.slots[index].as_ref()
    }

    /// The request with this index, if there is one.
    pub fn get_mut(&mut self, index: RequestIndex) -> Option<&mut PendingRequest> {
        self.slots[index].as_mut()
    }

    /// The request with this index, if there is one that still waits for its answer.
    pub fn get_open(&self, index: RequestIndex) -> Option<&PendingRequest> {
        self.get(index).filter(|pending| !pending.is_closed)
    }

    /// The request with this index, if there is one that still waits for its answer.
    pub fn get_open_mut(&mut self, index: RequestIndex) -> Option<&mut PendingRequest> {
        self.get_mut(index).filter(|pending| !pending.is_closed)
    }

    /// The connection that carries an attempt, while it is in flight.
    pub fn connection_of(&self, id: AttemptId) -> Option<u64> {
        self.get(id.request)?.attempts[id.attempt].connection
    }
}
