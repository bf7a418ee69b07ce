//! The facts given at start, from JSON into the plain values of the decisions' interface.
use crate::policy::PolicyEngine;
use crate::types::*;
use serde::Deserialize;

#[derive(Deserialize)]
struct Told {
    balancers: usize,
    discovery: String,
    caps: Caps,
    classes: Vec<Class>,
    extra: Extra,
    #[serde(default)]
    feedback: Feedback,
    rules: Rules,
    slot_no: usize,
    #[serde(default)]
    charges: Charges,
    #[serde(default)]
    zone: usize,
    tariffs: Vec<Tariff>,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct Caps {
    cancel: bool,
    conn_idle_us: f64,
    dial_timeout_us: f64,
    max_attempts: usize,
    max_retry_after_us: f64,
    peers: bool,
    retry_after: bool,
    second_copies: bool,
    streams_per_conn: usize,
}

#[derive(Deserialize)]
struct Class {
    aim_us: f64,
    #[serde(default)]
    gain: f64,
    give_up_us: f64,
    group: String,
    idempotency: String,
    name: String,
    window_us: f64,
}

#[derive(Deserialize)]
struct Extra {
    counter: bool,
    counter_timeout_us: f64,
    max_units: Option<f64>,
    peer_intake: f64,
}

#[derive(Deserialize, Default)]
struct Charges {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
struct Feedback {
    #[serde(default)]
    fields: Vec<String>,
    source: Option<String>,
}

#[derive(Deserialize)]
struct Rules {
    cold_from: f64,
    warm_after_us: f64,
}

#[derive(Deserialize)]
struct Tariff {
    ceiling_rate: f64,
    ceiling_slack: f64,
    depth: f64,
    hard_burst: f64,
    name: String,
    parallel: usize,
    per_second: f64,
}

/// The decisions, ready to be asked, and what their caller needs to know itself.
pub struct Loaded {
    pub engine: PolicyEngine,
    pub instance: InstanceSettings,
}

/// An operation, as clients name it.
pub struct OfferedOperation {
    pub name: String,
    pub idempotency: Idempotency,
    pub latency_objective: f64,
    /// The longest that a client waits.
    pub timeout: f64,
}

pub struct InstanceSettings {
    pub instances: usize,
    pub instance_index: usize,
    /// Deliveries of one invocation at the most, and whether two of them may be out at once.
    pub max_attempts: usize,
    pub hedging: bool,
    pub operations: Vec<OfferedOperation>,
    pub plans: Vec<String>,
    /// The most units of one invocation.
    pub max_units: f64,
    pub zones: Vec<String>,
    /// The list comes only when it is asked for.
    pub polls_endpoints: bool,
    pub connect_timeout: f64,
    pub connection_idle_timeout: f64,
    pub max_streams_per_connection: usize,
    pub counter_timeout: f64,
    pub max_client_timeout: f64,
    /// Advice on when to come again may be given.
    pub sends_retry_after: bool,
    /// The values of a load report beside an answer, in their order; none where there is none.
    pub load_report_fields: Vec<String>,
}

/// A load report from its values by the names that the settings have for them; unknown ones are passed over.
pub fn load_report(names: &[String], value: impl Fn(usize, &str) -> Option<f64>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (i, name) in names.iter().enumerate() {
        let value = value(i, name).filter(|v| v.is_finite() && *v >= 0.0);
        match name.as_str() {
            "load_share" => report.cpu_utilization = value,
            "concurrent" => report.in_flight = value,
            "depth" => report.queued = value,
            "mean_ms" => report.service_time = value.map(|ms| ms / 1e3),
            "tps" => report.throughput = value,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

fn operation(i: usize, c: &Class) -> Result<Operation, String> {
    let group = || match c.group.as_str() {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        other => Err(format!("classes[{i}].group: unknown value '{other}'")),
    };
    let effect = match c.idempotency.as_str() {
        "retryable" => Idempotency::Idempotent,
        "dedup" => Idempotency::Keyed { scope: group()?, window: c.window_us / 1e6 },
        "fragile" => Idempotency::NonIdempotent,
        other => return Err(format!("classes[{i}].idempotency: unknown value '{other}'")),
    };
    Ok(Operation { latency_objective: c.aim_us / 1e6, idempotency: effect, billed_value: c.gain })
}

fn offered((c, o): (Class, Operation)) -> OfferedOperation {
    let Operation { latency_objective, idempotency: effect, .. } = o;
    OfferedOperation { name: c.name, idempotency: effect, latency_objective, timeout: c.give_up_us / 1e6 }
}

pub fn load(seed: u64, json: &[u8]) -> Result<Loaded, String> {
    let told: Told = serde_json::from_slice(json).map_err(|e| format!("settings: {e}"))?;
    let operations = told.classes.iter().enumerate().map(|(i, c)| operation(i, c));
    let operations: Vec<Operation> =
        operations.collect::<Result<_, _>>().map_err(|e| format!("settings: {e}"))?;
    let asks = match told.discovery.as_str() {
        "pushed" => false,
        "on_request" => true,
        other => return Err(format!("settings: discovery: unknown value '{other}'")),
    };
    let report = match told.feedback.source.as_deref() {
        Some("piggyback") => told.feedback.fields,
        None | Some("pull" | "silent") => vec![],
        Some(other) => return Err(format!("settings: feedback.source: unknown value '{other}'")),
    };
    if told.charges.cross_zone > 0.0 && told.zone >= told.zones.len() {
        return Err(format!("settings: zone {} of {}", told.zone, told.zones.len()));
    }
    // A lease passes under a ceiling because the quota lies under it.
    let low = |t: &&Tariff| {
        t.ceiling_rate > 0.0
            && (t.ceiling_rate < t.per_second || t.per_second > 0.0 && t.hard_burst < t.depth)
    };
    if let Some(t) = told.tariffs.iter().find(low) {
        return Err(format!("settings: tariff '{}': its ceiling lies under its quota", t.name));
    }
    let plans: Vec<Plan> = told
        .tariffs
        .iter()
        .map(|t| Plan {
            rate: t.per_second,
            burst: t.depth,
            max_in_flight: t.parallel,
            ceiling_rate: t.ceiling_rate,
            ceiling_burst: t.hard_burst,
            ceiling_slack: t.ceiling_slack,
        })
        .collect();
    let rules =
        SlowStart { initial_fraction: told.rules.cold_from, duration: told.rules.warm_after_us / 1e6 };
    let may = AttemptSettings {
        max_attempts: told.caps.max_attempts,
        hedging: told.caps.second_copies,
        cancellation: told.caps.cancel,
        connection_idle_timeout: told.caps.conn_idle_us / 1e6,
        home_zone: (told.charges.cross_zone > 0.0).then_some(told.zone),
        max_retry_after: told.caps.retry_after.then_some(told.caps.max_retry_after_us / 1e6),
    };
    let limits = CounterSettings { timeout: told.extra.counter_timeout_us / 1e6 };
    let counter = told.extra.counter.then_some(limits);
    let hears = if told.caps.peers { told.extra.peer_intake } else { 0.0 };
    let doors = told.balancers.max(1);
    let engine = PolicyEngine::new(EngineSettings {
        seed,
        instances: doors as f64,
        gossip_intake_rate: hears,
        polls_endpoints: asks,
        operations: operations.clone(),
        plans,
        slow_start: rules,
        attempts: may,
        counter,
    });
    let about = InstanceSettings {
        instances: doors,
        instance_index: told.slot_no,
        max_client_timeout: told.classes.iter().map(|c| c.give_up_us / 1e6).fold(0.0, f64::max),
        max_attempts: told.caps.max_attempts,
        hedging: told.caps.second_copies,
        operations: told.classes.into_iter().zip(operations).map(offered).collect(),
        max_units: told.extra.max_units.unwrap_or(f64::INFINITY),
        plans: told.tariffs.into_iter().map(|t| t.name).collect(),
        zones: told.zones,
        polls_endpoints: asks,
        connect_timeout: told.caps.dial_timeout_us / 1e6,
        connection_idle_timeout: told.caps.conn_idle_us / 1e6,
        max_streams_per_connection: told.caps.streams_per_conn.max(1),
        sends_retry_after: told.caps.retry_after,
        load_report_fields: report,
        counter_timeout: told.extra.counter_timeout_us / 1e6,
    };
    Ok(Loaded { engine, instance: about })
}
