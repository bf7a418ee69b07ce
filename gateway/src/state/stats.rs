//! The figures of this process, counted from its start.
use super::reducer::Reducer;
use quillramp::types::EndpointStatus;
use serde::Serialize;
use std::collections::BTreeMap;

/// What is counted, each where it happens. Counts of requests are by operation.
#[derive(Default)]
pub struct Stats {
    /// Requests answered with a value.
    pub completed: Vec<u64>,
    /// Requests that were not accepted, or whose clients were throttled.
    pub rejected: Vec<u64>,
    /// Requests that failed.
    pub failed: Vec<u64>,
    /// Attempts that were written to backends.
    pub attempts_written: u64,
    /// How often the configuration was read again.
    pub reloads: u64,
    /// How often that failed.
    pub reload_errors: u64,
}

impl Stats {
    /// Nothing has been counted yet, for so many operations.
    pub fn new(operations: usize) -> Stats {
        let none = vec![0; operations];
        Stats { completed: none.clone(), rejected: none.clone(), failed: none, ..Stats::default() }
    }
}

/// The figures as operators read them.
#[derive(Serialize)]
struct StatsReport<'a> {
    completed: BTreeMap<&'a str, u64>,
    rejected: BTreeMap<&'a str, u64>,
    failed: BTreeMap<&'a str, u64>,
    upstream_requests: u64,
    pending: usize,
    #[serde(rename = "members")]
    backends: usize,
    #[serde(rename = "members_unavailable")]
    unavailable_backends: usize,
    #[serde(rename = "config_reloads")]
    reloads: u64,
    #[serde(rename = "config_reload_errors")]
    reload_errors: u64,
}

impl Reducer {
    /// The figures as JSON for operators.
    pub fn stats_json(&self) -> String {
        let by_operation = |counts: &[u64]| {
            let named = self.instance.operations.iter().zip(counts);
            named.map(|(operation, count)| (operation.name.as_str(), *count)).collect()
        };
        let entries = self.backends.entries.iter();
        let report = StatsReport {
            completed: by_operation(&self.stats.completed),
            rejected: by_operation(&self.stats.rejected),
            failed: by_operation(&self.stats.failed),
            upstream_requests: self.stats.attempts_written,
            pending: self.requests.slots.iter().filter(|pending| !pending.is_closed).count(),
            backends: entries.filter(|entry| entry.status != EndpointStatus::Removed).count(),
            unavailable_backends: self.engine.unavailable_backends(),
            reloads: self.stats.reloads,
            reload_errors: self.stats.reload_errors,
        };
        serde_json::to_string(&report).expect("plain figures")
    }
}
