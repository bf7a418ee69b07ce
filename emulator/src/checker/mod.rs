//! Checks the service's invariants against what passes over the network and what the models did, never against what a gateway
//! process reports about itself. Every byte that a process reads or writes is shown to the [`Checker`].
//!
//! Each invariant has a module of its own that extends [`Checker`]:
//!
//! | module | what it checks |
//! | --- | --- |
//! | `client_responses`, `deadlines` | one final response to each command, in time |
//! | `attempts` | no execution twice: retries, hedged requests, rejections to clients |
//! | `backend_replies` | which attempts the backends completed, rejected or lost |
//! | `drain` | nothing new to a draining or removed backend after the grace period |
//! | `slow_start` | no overload of a backend that is warming up |
//! | `rate_ceiling` | no customer past its plan's ceiling |
//! | `processes` | starts, stalls and ends of processes; descriptors in use |
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

/// Tolerance added to each time limit, since sockets are slower than the virtual clock, in seconds.
const TOLERANCE: f64 = 0.05;
/// Commands received later than this after a shutdown request may go without a response, in seconds.
const SHUTDOWN_INTAKE: f64 = 0.7;

/// The observer of a run. The first violation is kept, and ends the run.
pub struct Checker {
    limits: CheckedLimits,
    /// The first violation found.
    pub violation: Option<Violation>,
    /// How often each check had something to check.
    pub coverage: Coverage,
    requests: HashMap<u64, RequestRecord>,
    clients: HashMap<LinkId, ClientConnection>,
    backends: HashMap<LinkId, BackendConnection>,
    discovery: HashMap<LinkId, DiscoveryConnection>,
    processes: HashMap<usize, ProcessState>,
    deadlines: BTreeSet<Deadline>,
    warming: HashMap<usize, WarmingBackend>,
    ceilings: HashMap<CustomerPlan, CeilingBucket>,
    /// What each customer with a quota used of it.
    pub quota_usage: HashMap<CustomerPlan, QuotaUsage>,
    /// The requests that have begun to run at some backend.
    executed: HashSet<u64>,
    /// Ceilings are not checked until then: two counters answer.
    split_until: f64,
    /// The backend, by index, that each endpoint name leads to.
    pub backend_names: BTreeMap<String, usize>,
}

impl Checker {
    /// A checker of a run that has not started.
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

    /// Keeps a violation that no single request is the cause of, if it is the first one.
    fn record_violation(&mut self, invariant: Invariant, now: f64, message: String) {
        self.violation.get_or_insert(Violation { invariant, at: now, message, history: vec![] });
    }

    /// Keeps a violation with the history of the request that it is about, if it is the first one.
    fn record_request_violation(&mut self, invariant: Invariant, now: f64, id: u64, message: String) {
        let history = self.requests.get(&id).map_or(vec![], RequestRecord::history_lines);
        self.violation.get_or_insert(Violation { invariant, at: now, message, history });
    }
}
