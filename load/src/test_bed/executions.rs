//! What the backends executed, all together.
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Seconds of one column of the charts over time.
pub const INTERVAL_SECONDS: f64 = 0.25;

/// An request as a backend reads it.
#[derive(Clone, Copy, Debug)]
pub struct BackendRequest<'a> {
    /// The request id.
    pub id: u64,
    /// The customer's number.
    pub customer: u64,
    /// The name of the customer's plan.
    pub plan: &'a str,
    /// Its cost in units.
    pub units: f64,
    /// It is not idempotent: it must take effect once at the most.
    pub non_idempotent: bool,
}

/// Units executed at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedUnits {
    /// Seconds since the start of the run.
    pub at: f64,
    /// Units.
    pub units: f64,
}

/// A customer under one of its plans.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CustomerPlan {
    /// The customer's number.
    pub customer: u64,
    /// The name of the plan.
    pub plan: String,
}

/// What all backends executed.
#[derive(Default)]
pub struct Executions {
    /// How often a request took effect, by its id.
    execution_counts: HashMap<u64, u32>,
    /// Effects beyond the first, of requests that are not idempotent.
    pub duplicates: u64,
    /// Requests that were executed, duplicates included.
    pub total: u64,
    /// Connections that were made.
    pub connections: u64,
    /// Deliveries by backend.
    pub total_by_backend: Vec<u64>,
    /// When the traffic began, seconds since the start of the run: the intervals count from then.
    pub traffic_start: f64,
    /// Units by backend and column of time.
    pub units_by_interval: Vec<Vec<f64>>,
    /// When units of a customer were first executed.
    pub customer_units: HashMap<CustomerPlan, Vec<TimedUnits>>,
}

impl Executions {
    /// Nothing was executed yet.
    pub fn new(backends: usize) -> Executions {
        Executions {
            total_by_backend: vec![0; backends],
            units_by_interval: vec![vec![]; backends],
            ..Executions::default()
        }
    }

    /// Records an execution. Its units count for the customer when it is the first of this request.
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

    /// What each backend executed over time.
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

/// A row of `backends.csv`: what one backend executed in one column of time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
    /// Start of the column, seconds since the start of the traffic.
    pub at: f64,
    /// The backend's index.
    pub backend: usize,
    /// Units that it executed.
    pub units: f64,
}
