//! Rows for the steady state: requests, traffic and processor time of one instance.
use super::outcomes::OutcomeCounts;
use super::rows::Rows;
use super::server_traffic::{Role, ServerTrafficCounts};

/// Outcomes, traffic and processor time of all measured instances in one measured interval.
pub struct IntervalUsage {
    /// Length of the interval in seconds.
    pub seconds: f64,
    /// Number of measured instances.
    pub instances: usize,
    /// Outcomes of the requests.
    pub outcomes: OutcomeCounts,
    /// Traffic between the instances and the servers.
    pub traffic: ServerTrafficCounts,
    /// Processor time of the instances in seconds.
    pub cpu_seconds: f64,
}

/// Adds the figures of an interval, each as the mean of one instance.
pub fn add_rows(rows: &mut Rows, usage: &IntervalUsage) {
    let instance_seconds = usage.seconds * usage.instances as f64;
    let sent = usage.outcomes.sent.max(1) as f64;
    rows.add("counted", usage.seconds, "s");
    rows.add("requests", usage.outcomes.sent as f64 / instance_seconds, "1/s");
    let outcomes = [
        ("served", usage.outcomes.served),
        ("throttled", usage.outcomes.throttled),
        ("errored", usage.outcomes.errored),
    ];
    for (name, count) in outcomes {
        rows.add(name, count as f64 / sent, "share of requests");
    }
    for role in Role::ALL {
        let name = role.name();
        let counts = usage.traffic.of(role);
        rows.add(&format!("{name}: calls"), counts.calls as f64 / instance_seconds, "1/s");
        rows.add(&format!("{name}: calls a request"), counts.calls as f64 / sent, "1");
        rows.add(&format!("{name}: bytes out"), counts.bytes_received as f64 / instance_seconds, "B/s");
        rows.add(&format!("{name}: bytes in"), counts.bytes_sent as f64 / instance_seconds, "B/s");
        rows.add(&format!("{name}: connections made"), counts.connections as f64 / instance_seconds, "1/s");
    }
    rows.add("processor", usage.cpu_seconds / instance_seconds, "cores");
}
