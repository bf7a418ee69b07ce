//! The steady state: what a span of traffic cost one front door, in rows.
use super::rows::Rows;
use super::tally::{Counted, ROLES};
use super::traffic::Answered;

/// What came in a span, at all front doors that were there.
pub struct Spent {
    pub seconds: f64,
    pub front_doors: usize,
    pub answered: Answered,
    /// In the order of `ROLES`.
    pub counted: [Counted; ROLES.len()],
    /// Seconds of processor time.
    pub processor: f64,
}

/// Adds the figures of a span, each for one front door.
pub fn add(rows: &mut Rows, spent: &Spent) {
    let door_seconds = spent.seconds * spent.front_doors as f64;
    let sent = spent.answered.sent.max(1) as f64;
    rows.add("counted", spent.seconds, "s");
    rows.add("requests", spent.answered.sent as f64 / door_seconds, "1/s");
    let outcomes = [
        ("served", spent.answered.served),
        ("throttled", spent.answered.throttled),
        ("errored", spent.answered.errored),
    ];
    for (what, count) in outcomes {
        rows.add(what, count as f64 / sent, "share of requests");
    }
    for (role, new) in ROLES.iter().zip(&spent.counted) {
        let name = role.name();
        rows.add(&format!("{name}: calls"), new.calls as f64 / door_seconds, "1/s");
        rows.add(&format!("{name}: calls a request"), new.calls as f64 / sent, "1");
        rows.add(&format!("{name}: bytes out"), new.received as f64 / door_seconds, "B/s");
        rows.add(&format!("{name}: bytes in"), new.sent as f64 / door_seconds, "B/s");
        rows.add(&format!("{name}: connections made"), new.connections as f64 / door_seconds, "1/s");
    }
    rows.add("processor", spent.processor / door_seconds, "cores");
}

/// What came between two readings.
pub fn since(now: &[Counted; ROLES.len()], then: &[Counted; ROLES.len()]) -> [Counted; ROLES.len()] {
    std::array::from_fn(|i| now[i].since(&then[i]))
}
