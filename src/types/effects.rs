//! What the policy engine returns: decisions, and the effects that the caller carries out.
use super::{BackendIndex, CounterCall, CustomerIndex, GossipMessage, PolicyLogMessage, RequestIndex};

/// What becomes of a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Start an attempt.
    Forward {
        /// The backend that it goes to.
        backend: BackendIndex,
    },
    /// Nothing for now; [`PollOutput::reconsider`] names the request when it is to be routed again.
    Pending,
    /// Answer that the client was throttled; the request is closed.
    Throttle {
        /// Seconds after which the client may retry; `None` where no such advice can be given.
        retry_after: Option<f64>,
    },
    /// Answer with an error; the request is closed.
    Error,
}

/// An attempt in flight that is no longer wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cancellation {
    /// The request that it belongs to.
    pub request: RequestIndex,
    /// Which of the request's attempts it is, counted from 0.
    pub attempt: usize,
}

/// What the caller carries out beside a decision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Calls to the counter service, to be made in this order.
    pub counter_calls: Vec<CounterCall>,
    /// Messages to other gateway instances.
    pub gossip: Vec<GossipMessage>,
    /// Attempts to cancel.
    pub cancellations: Vec<Cancellation>,
    /// Request the endpoint list, and its changes from now on.
    pub fetch_endpoints: bool,
    /// Messages for the log.
    pub log: Vec<PolicyLogMessage>,
}

/// The answer to a request's arrival and to the end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyOutput {
    /// What becomes of the request.
    pub decision: Decision,
    /// What else is to be done.
    pub effects: Effects,
}

/// The answer to a poll of the policy engine's timers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollOutput {
    /// Requests to route again now.
    pub reconsider: Vec<RequestIndex>,
    /// Customers whose state was dropped: their indices are free.
    pub evicted_customers: Vec<CustomerIndex>,
    /// Seconds until the next poll is due; `None` if none is.
    pub next_poll_in: Option<f64>,
    /// What else is to be done.
    pub effects: Effects,
}
