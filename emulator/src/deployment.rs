//! Derives the deployment from a scenario's world: operations and plans, the configuration of the gateway instances, and the limits that
//! the checker verifies.
use crate::checker::{Ceiling, CheckedLimits, OperationSpec, QuotaLimit, SlowStartLimit};
use crate::clients::KNOWN_NETWORK;
use crate::gateway_process::InjectedDefect;
use crate::scenario::World;
use quillramp::types::{Idempotency, KeyScope};
use quillramp_admission::Limits;
use serde_json::{json, Value};

/// Seconds within which a request with an idempotency key may be repeated.
const KEY_WINDOW: f64 = 1.5;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 5;
/// Maximum number of units per request.
const MAX_UNITS: f64 = 4.0;
/// Fraction of a ceiling's burst by which a customer may exceed the ceiling.
const CEILING_SLACK: f64 = 0.1;
/// Factor on the quotas and ceilings in the gateway's configuration, if the defect that exceeds them is injected.
const EXCESS_FACTOR: f64 = 50.0;
/// Number of descriptors of a gateway instance that are not available to clients.
const RESERVED_DESCRIPTORS: usize = 60;

/// An operation. All worlds have the same operations.
pub(crate) struct Operation {
    /// Name of the operation in commands.
    pub name: &'static str,
    /// Whether the operation may be executed more than once, and under which conditions.
    pub idempotency: Idempotency,
    /// Latency objective in seconds.
    pub objective: f64,
    /// Maximum client timeout in seconds.
    pub timeout: f64,
    /// Share of requests for this operation, relative to the weights of the others.
    pub weight: f64,
}

/// A plan. All worlds have the same plans.
pub(crate) struct Plan {
    /// Name of the plan.
    pub name: &'static str,
    /// Quota in units per second, 0 for a plan without a quota.
    pub rate: f64,
    /// Burst of the quota, in units.
    pub burst: f64,
    /// Maximum number of requests in flight, 0 for no limit.
    pub max_in_flight: usize,
    /// Ratio of the ceiling to the quota, 0 for a plan without a ceiling.
    pub ceiling_factor: f64,
}

impl Plan {
    /// Returns the units by which a customer may exceed the ceiling.
    fn ceiling_slack(&self) -> f64 {
        let ceiling_burst = self.burst * self.ceiling_factor;
        if ceiling_burst > 0.0 {
            (ceiling_burst * CEILING_SLACK).max(MAX_UNITS)
        } else {
            0.0
        }
    }
}

/// Returns the operations of all worlds.
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

/// The plans of all worlds.
pub(crate) const PLANS: [Plan; 4] = [
    Plan { name: "small", rate: 24.0, burst: 48.0, max_in_flight: 0, ceiling_factor: 0.0 },
    Plan { name: "wide", rate: 8.0, burst: 16.0, max_in_flight: 0, ceiling_factor: 1.8 },
    Plan { name: "capped", rate: 0.0, burst: 0.0, max_in_flight: 6, ceiling_factor: 0.0 },
    Plan { name: "large", rate: 60.0, burst: 80.0, max_in_flight: 0, ceiling_factor: 2.0 },
];

/// Returns the configuration of a gateway instance as the JSON that the gateway reads. `slot_no`, the instance's index, is 0.
pub fn gateway_settings(world: &World, defect: Option<InjectedDefect>) -> Value {
    let excess_factor = if defect == Some(InjectedDefect::ExceedsCeilings) { EXCESS_FACTOR } else { 1.0 };
    let classes: Vec<Value> = operations().iter().map(operation_settings).collect();
    let tariffs: Vec<Value> = PLANS.iter().map(|plan| plan_settings(plan, excess_factor)).collect();
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

/// Returns the settings of an operation.
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

/// Returns the settings of a plan, with quota and ceiling multiplied by `excess_factor`.
fn plan_settings(plan: &Plan, excess_factor: f64) -> Value {
    let Plan { name, rate, burst, max_in_flight, ceiling_factor } = plan;
    json!({"ceiling_rate": rate * ceiling_factor * excess_factor, "ceiling_slack": plan.ceiling_slack() * excess_factor,
           "depth": burst * excess_factor, "hard_burst": burst * ceiling_factor * excess_factor, "name": name,
           "parallel": max_in_flight, "per_second": rate * excess_factor})
}

/// Returns the limits that the checker verifies in a run of this world.
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

/// Returns the admission limits of a world that has them. The frontend's network is listed as known.
pub(crate) fn admission_limits(world: &World) -> Limits {
    let connections = world.max_descriptors - RESERVED_DESCRIPTORS;
    Limits {
        connections,
        reserve: connections / 2,
        per_address: connections,
        unidentified: connections / 3,
        rate: 60.0,
        burst: 90.0,
        pending_commands: 4 * connections,
        first_command_timeout: 1.0,
        known_for: 0.0,
        known_networks: vec![KNOWN_NETWORK.parse().expect("KNOWN_NETWORK is a valid network")],
    }
}
