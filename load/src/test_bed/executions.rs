//! The record of the requests that the backends executed.
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Length of the intervals that executions and outcomes are summed up by, seconds.
pub const INTERVAL_SECONDS: f64 = 0.25;

/// A request as a backend receives it.
#[derive(Clone, Copy, Debug)]
pub struct BackendRequest<'a> {
    /// Request id.
    pub id: u64,
    /// Number of the customer.
    pub customer: u64,
    /// Name of the customer's plan.
    pub plan: &'a str,
    /// Cost in units.
    pub units: f64,
    /// Whether the request is not idempotent, so that it must be executed at most once.
    pub non_idempotent: bool,
}

/// Units that were executed at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedUnits {
    /// Seconds since the start of the run.
    pub at: f64,
    /// Executed units.
    pub units: f64,
}

/// A customer and the plan that a request of it names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CustomerPlan {
    /// Number of the customer.
    pub customer: u64,
    /// Name of the plan.
    pub plan: String,
}

/// The executions at all backends.
#[derive(Default)]
pub struct Executions {
    /// Number of executions by request id.
    execution_counts: HashMap<u64, u32>,
    /// Repeated executions of requests that are not idempotent.
    pub duplicates: u64,
    /// Number of executions, repeated ones included.
    pub total: u64,
    /// Number of connections that instances opened.
    pub connections: u64,
    /// Number of executions by backend, repeated ones included.
    pub total_by_backend: Vec<u64>,
    /// Start of the traffic and of the first interval, seconds since the start of the run.
    pub traffic_start: f64,
    /// Executed units by backend and interval, repeated executions included.
    pub units_by_interval: Vec<Vec<f64>>,
    /// Units and time of the first execution of each request, by customer.
    pub customer_units: HashMap<CustomerPlan, Vec<TimedUnits>>,
}

impl Executions {
    /// Creates an empty record for a number of backends.
    pub fn new(backends: usize) -> Executions {
        Executions {
            total_by_backend: vec![0; backends],
            units_by_interval: vec![vec![]; backends],
            ..Executions::default()
        }
    }

    /// Records an execution; `at` is in seconds since the start of the run. Only the first execution of a request counts as usage of
    /// its customer.
    pub fn record(&mut self, at: f64, backend: usize, request: &BackendRequest) {
        self.total += 1;
        self.total_by_backend[backend] += 1;
        let interval = ((at - self.traffic_start).max(0.0) / INTERVAL_SECONDS) as usize;
        let intervals = &mut self.units_by_interval[backend];
        if intervals.len() <= interval {
            intervals.resize(interval + 1, 0.0);
        }
        intervals[interval] += request.units;
        let count = self.execution_counts.entry(request.id).or_default();
        *count += 1;
        let count = *count;
        self.duplicates += u64::from(request.non_idempotent && count > 1);
        if count == 1 {
            let key = CustomerPlan { customer: request.customer, plan: request.plan.to_owned() };
            self.customer_units.entry(key).or_default().push(TimedUnits { at, units: request.units });
        }
    }

    /// Returns the units of each backend by interval, as table rows.
    pub fn loads(&self, variant: &str, repetition: usize) -> Vec<BackendLoad> {
        let mut loads = vec![];
        for (backend, intervals) in self.units_by_interval.iter().enumerate() {
            for (interval, units) in intervals.iter().enumerate() {
                loads.push(BackendLoad {
                    variant: variant.to_owned(),
                    repetition,
                    at: interval as f64 * INTERVAL_SECONDS,
                    backend,
                    units: *units,
                });
            }
        }
        loads
    }
}

/// A row of `backends.csv`: the units that one backend executed in one interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
    /// Start of the interval, seconds since the start of the traffic.
    pub at: f64,
    /// Index of the backend.
    pub backend: usize,
    /// Units that the backend executed.
    pub units: f64,
}
