//! Plain settings, backends and outcomes for tests of the decisions.
use quillramp::types::*;

/// An operation whose answers are worth most within a second.
pub fn operation(effect: Idempotency) -> Operation {
    Operation { latency_objective: 1.0, idempotency: effect, billed_value: 1.0 }
}

/// A quota of 2 units a second, 8 at once.
pub fn plan() -> Plan {
    Plan {
        rate: 2.0,
        burst: 8.0,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

/// What deliveries are allowed to do.
pub fn may() -> AttemptSettings {
    AttemptSettings {
        max_attempts: 5,
        hedging: true,
        cancellation: true,
        connection_idle_timeout: 15.0,
        max_retry_after: Some(2.0),
        home_zone: None,
    }
}

/// A backend long started, with its index for its place.
pub fn listed(tgt: BackendIndex) -> Endpoint {
    Endpoint {
        backend: tgt,
        status: EndpointStatus::Ready,
        zone: tgt % 2,
        cell: tgt / 2,
        weight: 1.0,
        started_at: None,
    }
}

/// Backend 0 answered the first delivery.
pub fn succeeded(took: f64) -> AttemptOutcome {
    let (ending, closed, true_units, report) = (AttemptResult::Succeeded, true, None, None);
    AttemptOutcome {
        attempt: 0,
        backend: 0,
        result: ending,
        duration: took,
        request_closed: closed,
        billed_units: true_units,
        load_report: report,
    }
}
