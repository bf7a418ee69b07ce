//! The steady state: what a span of traffic cost one instance, in rows.
use super::outcomes::OutcomeCounts;
use super::rows::Rows;
use super::server_load::{LoadReadings, Role};

/// What all measured instances did and used in a span.
pub struct SpanUsage {
    /// Length of the span, seconds.
    pub seconds: f64,
    /// Instances that were measured.
    pub instances: usize,
    /// The outcomes of the requests.
    pub outcomes: OutcomeCounts,
    /// The load of the servers.
    pub loads: LoadReadings,
    /// Seconds of processor time.
    pub processor: f64,
}

/// Adds the figures of a span, each for one instance.
pub fn add_rows(rows: &mut Rows, usage: &SpanUsage) {
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
        let load = usage.loads.of(role);
        rows.add(&format!("{name}: calls"), load.calls as f64 / instance_seconds, "1/s");
        rows.add(&format!("{name}: calls a request"), load.calls as f64 / sent, "1");
        rows.add(&format!("{name}: bytes out"), load.received as f64 / instance_seconds, "B/s");
        rows.add(&format!("{name}: bytes in"), load.sent as f64 / instance_seconds, "B/s");
        rows.add(&format!("{name}: connections made"), load.connections as f64 / instance_seconds, "1/s");
    }
    rows.add("processor", usage.processor / instance_seconds, "cores");
}
