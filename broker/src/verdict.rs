//! Requests of teams, and the broker's answers.
use crate::budget::CounterCall;
use crate::fair_share::Source;
use crate::TeamId;

/// What a team asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request<'a> {
    /// The operation's name.
    pub operation: &'a str,
    /// For whom.
    pub customer: u64,
    /// How many units it is expected to take.
    pub units: f64,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Whether the team may have it.
    pub verdict: Verdict,
    /// A call on the count of its budget that is due, whatever the verdict.
    pub counter_call: Option<CounterCall>,
}

impl Response {
    pub(crate) fn deny(reason: Reason) -> Response {
        Response { verdict: Verdict::Deny(reason), counter_call: None }
    }
}

/// Whether a team may have what it asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Yes.
    Grant(Grant),
    /// Not now.
    RetryAfter {
        /// When to try again, seconds from now.
        seconds: f64,
        /// What is used up.
        reason: Reason,
    },
    /// Not under its contract.
    Deny(Reason),
}

/// Why a team may not have what it asks for, now or at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// It has no contract in force.
    NoContract,
    /// Its contract does not have the operation.
    Operation,
    /// It does not speak for the customer.
    Customer,
    /// The rate of its contract is used up.
    Rate,
    /// The rate of the operation is used up.
    OperationRate,
    /// The budget of its contract is used up.
    Budget,
}

impl Reason {
    /// What the caller reads.
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

/// Units that were granted for a request, under the contract version that was in force then.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Who has them.
    pub team: TeamId,
    /// The version of its contract.
    pub version: u32,
    /// How many.
    pub units: f64,
    /// Where the units of the contract's rate came from.
    pub(crate) source: Source,
    /// The operation limit that they count against too.
    pub(crate) operation_limit: Option<usize>,
}
