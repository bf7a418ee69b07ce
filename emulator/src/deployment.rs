//! The deployment that a scenario's world describes: its operations and plans, the configuration of its gateway instances, and the limits
//! that a run of it is checked against.
use crate::checker::{Ceiling, CheckedLimits, OperationSpec, QuotaLimit, SlowStartLimit};
use crate::clients::KNOWN_NETWORK;
use crate::gateway_process::InjectedDefect;
use crate::scenario::World;
use quillramp::types::{Idempotency, KeyScope};
use quillramp_admission::Limits;
use serde_json::{json, Value};

/// Seconds in which a request with an idempotency key may be repeated.
const KEY_WINDOW: f64 = 1.5;
/// The most attempts of one request.
const MAX_ATTEMPTS: usize = 5;
/// The most units of one request.
const MAX_UNITS: f64 = 4.0;
/// The fraction of a ceiling's burst by which the ceiling may be passed.
const CEILING_SLACK: f64 = 0.1;
/// How many times its quotas and ceilings a gateway takes that exceeds them on purpose.
const EXCESS_FACTOR: f64 = 50.0;
/// Descriptors of a gateway instance that are not for clients.
const RESERVED_DESCRIPTORS: usize = 60;

/// An operation of every world.
pub(crate) struct Operation {
    /// Its name in commands.
    pub name: &'static str,
    /// Whether, and how, it may be repeated.
    pub idempotency: Idempotency,
    /// The latency objective, in seconds.
    pub objective: f64,
    /// Seconds that clients wait.
    pub timeout: f64,
    /// How often clients ask for it, relative to others.
    pub weight: f64,
}

/// A plan of every world.
pub(crate) struct Plan {
    /// Its name.
    pub name: &'static str,
    /// Units a second, 0 for a plan without a quota.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Requests in flight at once, 0 for any number.
    pub max_in_flight: usize,
    /// How many times the quota the ceiling is, 0 for none.
    pub ceiling_factor: f64,
}

impl Plan {
    /// Units by which the ceiling may be passed.
    fn ceiling_slack(&self) -> f64 {
        let ceiling_burst = self.burst * self.ceiling_factor;
        if ceiling_burst > 0.0 {
            (ceiling_burst * CEILING_SLACK).max(MAX_UNITS)
        } else {
            0.0
        }
    }
}

/// The operations of every world.
pub(crate) fn operations() -> [Operation; 4] {
    let keyed = |scope| Idempotency::Keyed { scope, window: KEY_WINDOW };
    let operation = |name, idempotency, objective, timeout, weight| Operation {
        name,
        idempotency,
        objective,
        timeout,
        weight,
    };
    [
        operation("look", Idempotency::Idempotent, 0.4, 1.5, 0.5),
        operation("hold", keyed(KeyScope::Cell), 0.6, 2.0, 0.15),
        operation("note", keyed(KeyScope::All), 0.6, 2.0, 0.1),
        operation("order", Idempotency::NonIdempotent, 1.0, 3.0, 0.25),
    ]
}

/// The plans of every world.
pub(crate) const PLANS: [Plan; 4] = [
    Plan { name: "small", rate: 24.0, burst: 48.0, max_in_flight: 0, ceiling_factor: 0.0 },
    Plan { name: "wide", rate: 8.0, burst: 16.0, max_in_flight: 0, ceiling_factor: 1.8 },
    Plan { name: "capped", rate: 0.0, burst: 0.0, max_in_flight: 6, ceiling_factor: 0.0 },
    Plan { name: "large", rate: 60.0, burst: 80.0, max_in_flight: 0, ceiling_factor: 2.0 },
];

/// The configuration of a gateway instance of this world, as the gateway reads it. `slot_no` is left at 0.
pub fn gateway_settings(world: &World, defect: Option<InjectedDefect>) -> Value {
    let excess = if defect == Some(InjectedDefect::ExceedsCeilings) { EXCESS_FACTOR } else { 1.0 };
    let classes: Vec<Value> = operations().iter().map(operation_settings).collect();
    let tariffs: Vec<Value> = PLANS.iter().map(|plan| plan_settings(plan, excess)).collect();
    let zones: Vec<String> = (0..world.zones).map(|zone| format!("z{zone}")).collect();
    json!({
        "balancers": world.instances, "slot_no": 0,
        "discovery": if world.polls_discovery { "on_request" } else { "pushed" }, "zones": zones,
        "caps": {"cancel": world.cancellation, "conn_idle_us": 15e6, "dial_timeout_us": 250e3,
                 "max_attempts": MAX_ATTEMPTS, "max_retry_after_us": 1e6, "peers": world.gossip, "retry_after": true,
                 "second_copies": world.hedging, "streams_per_conn": world.max_pipelined},
        "classes": classes,
        "extra": {"counter": true, "counter_timeout_us": 60e3, "max_units": MAX_UNITS, "peer_intake": 60},
        "rules": {"cold_from": world.slow_start_fraction, "warm_after_us": world.slow_start_duration * 1e6},
        "tariffs": tariffs
    })
}

fn operation_settings(operation: &Operation) -> Value {
    let (kind, scope, window) = match operation.idempotency {
        Idempotency::Idempotent => ("retryable", "all", 0.0),
        Idempotency::NonIdempotent => ("fragile", "all", 0.0),
        Idempotency::Keyed { scope: KeyScope::Cell, window } => ("dedup", "cell", window),
        Idempotency::Keyed { scope: KeyScope::Zone, window } => ("dedup", "zone", window),
        Idempotency::Keyed { window, .. } => ("dedup", "all", window),
    };
    json!({"aim_us": operation.objective * 1e6, "give_up_us": operation.timeout * 1e6, "group": scope,
           "idempotency": kind, "name": operation.name, "window_us": window * 1e6})
}

fn plan_settings(plan: &Plan, excess: f64) -> Value {
    let Plan { name, rate, burst, max_in_flight, ceiling_factor } = plan;
    json!({"ceiling_rate": rate * ceiling_factor * excess, "ceiling_slack": plan.ceiling_slack() * excess,
           "depth": burst * excess, "hard_burst": burst * ceiling_factor * excess, "name": name,
           "parallel": max_in_flight, "per_second": rate * excess})
}

/// The limits that a run in this world is checked against.
pub(crate) fn checked_limits(world: &World) -> CheckedLimits {
    let ceiling = |plan: &Plan| Ceiling {
        rate: plan.rate * plan.ceiling_factor,
        burst: plan.burst * plan.ceiling_factor,
        slack: plan.ceiling_slack(),
    };
    let with_ceiling = PLANS.iter().filter(|plan| plan.ceiling_factor > 0.0);
    let with_quota = PLANS.iter().filter(|plan| plan.rate > 0.0);
    let quota = |plan: &Plan| QuotaLimit { rate: plan.rate, burst: plan.burst };
    let specs = operations()
        .map(|operation| OperationSpec { name: operation.name.into(), idempotency: operation.idempotency });
    CheckedLimits {
        operations: specs.into(),
        ceilings: with_ceiling.map(|plan| (plan.name.to_owned(), ceiling(plan))).collect(),
        quotas: with_quota.map(|plan| (plan.name.to_owned(), quota(plan))).collect(),
        slow_start: SlowStartLimit {
            initial_fraction: world.slow_start_fraction,
            duration: world.slow_start_duration,
            overload_factor: world.overload_factor,
            window: world.overload_window,
            capacity: world.slots as f64 / world.service_time,
        },
        drain_grace: world.drain_grace,
        hedging: world.hedging,
        max_attempts: MAX_ATTEMPTS,
        backend_cells: (0..world.backends).map(|backend| backend % world.cells).collect(),
        backend_zones: (0..world.backends).map(|backend| backend % world.zones).collect(),
    }
}

/// The limits of admission, for worlds that have them: the usual clients' addresses are known.
pub(crate) fn admission_limits(world: &World) -> Limits {
    let connections = world.max_descriptors - RESERVED_DESCRIPTORS;
    Limits {
        connections,
        reserve: connections / 2,
        per_address: connections,
        strangers: connections / 3,
        rate: 60.0,
        burst: 90.0,
        unfinished: 4 * connections,
        first_word: 1.0,
        known_for: 0.0,
        known: vec![KNOWN_NETWORK.parse().expect("a network")],
    }
}
