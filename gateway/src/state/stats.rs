//! Statistics of this process since its start.
use super::connection::CloseReason;
use super::reducer::Reducer;
use quillramp::types::EndpointStatus;
use serde::Serialize;
use std::collections::BTreeMap;

/// What connections' buffers hold, in bytes.
#[derive(Clone, Copy, Default, Serialize)]
pub struct BufferedBytes {
    /// Input that is not decoded yet.
    pub input: usize,
    /// Commands that have no reply yet.
    pub commands: usize,
    /// Output that is not written yet.
    pub output: usize,
    /// Maximum of the sum.
    pub limit: usize,
}

/// Counters since the start of the process. Counts of requests are by operation.
#[derive(Default)]
pub struct Stats {
    /// Requests answered with a value.
    pub completed: Vec<u64>,
    /// Requests that were rejected or throttled.
    pub rejected: Vec<u64>,
    /// Requests that failed.
    pub failed: Vec<u64>,
    /// Requests rejected because the instance drains and their connections are to end, of all operations.
    pub rejected_while_draining: u64,
    /// Requests rejected because clients' commands take too much memory, of all operations.
    pub rejected_out_of_memory: u64,
    /// Requests rejected because their customers were new and too many customers have accounts, of all operations.
    pub rejected_new_customers: u64,
    /// Bytes that connections' buffers hold.
    pub buffered_bytes: BufferedBytes,
    /// Number of times that a connection's turn ended before its input, so that others were served first.
    pub deferred_turns: u64,
    /// Number of attempts written to backends.
    pub attempts_written: u64,
    /// Number of values that had begun and could not be completed, by the reason why the backend's connection ended.
    pub interrupted_values: BTreeMap<&'static str, u64>,
    /// Number of successful reloads of the configuration.
    pub reloads: u64,
    /// Number of failed reloads of the configuration.
    pub reload_errors: u64,
}

impl Stats {
    /// Creates counters of 0 for this number of operations.
    pub fn new(operations: usize) -> Stats {
        let zeros = vec![0; operations];
        Stats { completed: zeros.clone(), rejected: zeros.clone(), failed: zeros, ..Stats::default() }
    }

    /// Counts a value that had begun and could not be completed.
    pub fn record_interrupted_value(&mut self, reason: CloseReason) {
        *self.interrupted_values.entry(reason.code()).or_default() += 1;
    }
}

/// The statistics as operators read them.
#[derive(Serialize)]
struct StatsReport<'a> {
    completed: BTreeMap<&'a str, u64>,
    rejected: BTreeMap<&'a str, u64>,
    failed: BTreeMap<&'a str, u64>,
    rejected_while_draining: u64,
    rejected_out_of_memory: u64,
    rejected_new_customers: u64,
    buffered_bytes: BufferedBytes,
    deferred_turns: u64,
    customers: usize,
    upstream_requests: u64,
    pending: usize,
    forwarded_values: usize,
    interrupted_values: &'a BTreeMap<&'static str, u64>,
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
    /// Returns the statistics as JSON for operators.
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
            rejected_while_draining: self.stats.rejected_while_draining,
            rejected_out_of_memory: self.stats.rejected_out_of_memory,
            rejected_new_customers: self.stats.rejected_new_customers,
            buffered_bytes: self.stats.buffered_bytes,
            deferred_turns: self.stats.deferred_turns,
            customers: self.customers.len(),
            upstream_requests: self.stats.attempts_written,
            pending: self.requests.slots.iter().filter(|pending| !pending.is_closed).count(),
            forwarded_values: self.forwarded_values(),
            interrupted_values: &self.stats.interrupted_values,
            backends: entries.filter(|entry| entry.status != EndpointStatus::Removed).count(),
            unavailable_backends: self.engine.unavailable_backends(),
            reloads: self.stats.reloads,
            reload_errors: self.stats.reload_errors,
        };
        serde_json::to_string(&report).expect("strings and numbers serialize to JSON")
    }
}
