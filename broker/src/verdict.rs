//! Requests of teams, and the broker's verdicts.
use crate::budget::CounterCall;
use crate::fair_share::Source;
use crate::TeamId;

/// A request of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request<'a> {
    /// The name of the operation.
    pub operation: &'a str,
    /// The customer.
    pub customer: u64,
    /// Units that the request is expected to use.
    pub units: f64,
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The verdict.
    pub verdict: Verdict,
    /// A call on the count of the team's budget that is due, regardless of the verdict.
    pub counter_call: Option<CounterCall>,
}

impl Response {
    /// A denial.
    pub(crate) fn deny(reason: Reason) -> Response {
        Response { verdict: Verdict::Deny(reason), counter_call: None }
    }
}

/// The verdict on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Granted.
    Grant(Grant),
    /// Deferred: the request may be retried later.
    RetryAfter {
        /// Delay after which to retry, seconds.
        seconds: f64,
        /// The limit that is used up.
        reason: Reason,
    },
    /// Denied: the team's contract does not permit the request.
    Deny(Reason),
}

/// Why a request is deferred or denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// The team has no contract in force.
    NoContract,
    /// The contract does not include the operation.
    Operation,
    /// The contract does not include the customer.
    Customer,
    /// The rate of the team's contract is used up.
    Rate,
    /// The rate of the operation is used up.
    OperationRate,
    /// The budget of the team's contract is used up.
    Budget,
}

impl Reason {
    /// Returns the text that is sent to the caller.
    pub fn message(self) -> &'static str {
        match self {
            Reason::NoContract => "no contract in force",
            Reason::Operation => "not an operation of its contract",
            Reason::Customer => "not a customer that it speaks for",
            Reason::Rate => "rate",
            Reason::OperationRate => "rate of the operation",
            Reason::Budget => "budget",
        }
    }
}

/// Units that were granted for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The team.
    pub team: TeamId,
    /// Version of the contract that granted the units.
    pub version: u32,
    /// Number of units.
    pub units: f64,
    /// The source of the units.
    pub(crate) source: Source,
    /// Position of the pattern of the operation limit that the units also count against, at the team.
    pub(crate) operation_limit: Option<usize>,
}
