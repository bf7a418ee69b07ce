//! Checks the service's invariants. The [`Checker`] observes every byte that a gateway process reads or writes and the actions of the
//! models. It never relies on what a process reports about itself.
//!
//! Each of these modules extends [`Checker`] with the checks of one invariant, or with observations that the checks need:
//!
//! | module | what it checks |
//! | --- | --- |
//! | `client_responses`, `deadlines` | one final response to each command, before its deadline |
//! | `attempts` | at-most-once execution, and the limits on retries and hedged requests |
//! | `backend_replies` | which attempts were answered, rejected, or ended without a reply |
//! | `drain` | which backends the processes were notified of as draining or removed |
//! | `slow_start` | no overload of backends that are warming up |
//! | `rate_ceiling` | no customer exceeds the ceiling of its plan |
//! | `processes` | the descriptor limit of each gateway instance; starts, stalls and ends of processes |
mod attempts;
mod backend_replies;
mod client_connection;
mod client_responses;
mod deadlines;
mod drain;
mod invariant;
mod limits;
mod processes;
mod rate_ceiling;
mod request;
mod response;
mod slow_start;

pub use invariant::{Coverage, Invariant, Violation};
pub use limits::{Ceiling, CheckedLimits, OperationSpec, QuotaLimit, SlowStartLimit};
pub use rate_ceiling::CustomerPlan;
pub use response::{parse_response, ParsedResponse, ResponseKind};

use crate::network::LinkId;
use crate::quota_usage::QuotaUsage;
use attempts::BackendConnection;
use client_connection::ClientConnection;
use deadlines::Deadline;
use drain::DiscoveryConnection;
use processes::ProcessState;
use rate_ceiling::CeilingBucket;
use request::RequestRecord;
use slow_start::WarmingBackend;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Seconds added to each time limit, because sockets are slower than the virtual clock.
const TOLERANCE: f64 = 0.05;

/// Observes a run and keeps the first violation, which ends the run. Times are in seconds of the virtual clock.
pub struct Checker {
    limits: CheckedLimits,
    /// The first violation, if any.
    pub violation: Option<Violation>,
    /// Numbers of requests, attempts and checks.
    pub coverage: Coverage,
    requests: HashMap<u64, RequestRecord>,
    clients: HashMap<LinkId, ClientConnection>,
    backends: HashMap<LinkId, BackendConnection>,
    discovery: HashMap<LinkId, DiscoveryConnection>,
    processes: HashMap<usize, ProcessState>,
    deadlines: BTreeSet<Deadline>,
    warming: HashMap<usize, WarmingBackend>,
    ceilings: HashMap<CustomerPlan, CeilingBucket>,
    /// Usage of each customer with a quota.
    pub quota_usage: HashMap<CustomerPlan, QuotaUsage>,
    /// Ids of the requests that a backend has started to execute.
    executed: HashSet<u64>,
    /// Time until which ceilings are not checked, because a second counter responds to some gateway instances.
    split_until: f64,
    /// Index of the backend that each endpoint name belongs to.
    pub backend_names: BTreeMap<String, usize>,
}

impl Checker {
    /// Returns a checker for a run that has not started.
    pub fn new(limits: CheckedLimits) -> Checker {
        Checker {
            limits,
            violation: None,
            coverage: Coverage::default(),
            requests: HashMap::new(),
            clients: HashMap::new(),
            backends: HashMap::new(),
            discovery: HashMap::new(),
            processes: HashMap::new(),
            deadlines: BTreeSet::new(),
            warming: HashMap::new(),
            ceilings: HashMap::new(),
            quota_usage: HashMap::new(),
            executed: HashSet::new(),
            split_until: 0.0,
            backend_names: BTreeMap::new(),
        }
    }

    /// Records a violation that is not about a single request. Only the first violation of a run is kept.
    fn record_violation(&mut self, invariant: Invariant, now: f64, message: String) {
        self.violation.get_or_insert(Violation { invariant, at: now, message, history: vec![] });
    }

    /// Records a violation with the history of the request that caused it. Only the first violation of a run is kept.
    fn record_request_violation(&mut self, invariant: Invariant, now: f64, id: u64, message: String) {
        let history = self.requests.get(&id).map_or(vec![], RequestRecord::history_lines);
        self.violation.get_or_insert(Violation { invariant, at: now, message, history });
    }
}
