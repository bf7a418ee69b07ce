//! Output of the policy engine: decisions on requests, and effects that the caller carries out.
use super::{BackendIndex, CounterCall, CustomerIndex, GossipMessage, PolicyLogMessage, RequestIndex};

/// The next step of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Start an attempt.
    Forward {
        /// The backend to send it to.
        backend: BackendIndex,
    },
    /// Wait until [`PollOutput::reconsider`] contains the request, then route it again.
    Pending,
    /// Answer that the request is throttled, and close it.
    Throttle {
        /// Seconds after which the client may retry; `None` to send no such advice.
        retry_after: Option<f64>,
    },
    /// Answer with an error, and close the request.
    Error,
}

/// An attempt in flight to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cancellation {
    /// The request of the attempt.
    pub request: RequestIndex,
    /// Index of the attempt within its request, counted from 0.
    pub attempt: usize,
}

/// I/O that the policy engine asks its caller to perform, in addition to a decision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Calls to make to the counter service, in this order.
    pub counter_calls: Vec<CounterCall>,
    /// Messages to send to other gateway instances.
    pub gossip: Vec<GossipMessage>,
    /// Attempts to cancel.
    pub cancellations: Vec<Cancellation>,
    /// Whether to request the endpoint list, and to watch it for changes from then on.
    pub fetch_endpoints: bool,
    /// Messages to log.
    pub log: Vec<PolicyLogMessage>,
}

/// Output of the policy engine when a request is routed or an attempt has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyOutput {
    /// The next step of the request.
    pub decision: Decision,
    /// Effects to carry out.
    pub effects: Effects,
}

/// Output of a poll of the policy engine's timers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollOutput {
    /// Requests to route again now.
    pub reconsider: Vec<RequestIndex>,
    /// Customers whose state was dropped; their indices may be reused.
    pub evicted_customers: Vec<CustomerIndex>,
    /// Seconds until the next poll is due; `None` if no timer is set.
    pub next_poll_in: Option<f64>,
    /// Effects to carry out.
    pub effects: Effects,
}
