//! Generates scenarios from a seed. The order of the random draws must not change, or a seed no longer gives the same scenario.
use super::fault_kind::SeverityRange;
use super::{Fault, FaultKind, Scenario, World};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Approximate mean number of units per request.
const MEAN_UNITS: f64 = 2.2;
/// Maximum number of requests per second.
const MAX_REQUEST_RATE: f64 = 220.0;

/// Distinguishes the random draws about pauses from the others of a seed.
const PAUSES_SEED: u64 = 0x7061_7573_6573;

impl Scenario {
    /// Generates the scenario of a seed: a world in which the invariants must hold, and faults that may overlap.
    pub fn generate(seed: u64) -> Scenario {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = generate_world(&mut rng);
        let seconds = rng.gen_range(6.0..10.0);
        let count = rng.gen_range(1..=6);
        let mut faults: Vec<Fault> = (0..count).map(|_| generate_fault(&mut rng, &world, seconds)).collect();
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        // Drawn apart, so that seeds without pauses keep their scenarios.
        if world.long_values > 0.0 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ PAUSES_SEED);
            world.paused_values = [0.0, 0.3, 1.0].choose(&mut rng).copied().unwrap_or(0.0);
        }
        Scenario { seed, seconds, world, faults }
    }
}

fn generate_world(rng: &mut ChaCha8Rng) -> World {
    let backends = rng.gen_range(4..=10);
    let instances = rng.gen_range(2..=4);
    let slots = rng.gen_range(2..=4);
    let service_time = rng.gen_range(0.02..0.06);
    // Requested load as a fraction of the capacity of all backends; up to 1.1, so that some scenarios are overloaded.
    let load_fraction = rng.gen_range(0.2..1.1);
    let request_rate =
        (backends as f64 * slots as f64 / service_time / MEAN_UNITS * load_fraction).min(MAX_REQUEST_RATE);
    World {
        instances,
        backends,
        zones: rng.gen_range(1..=3),
        cells: rng.gen_range(2..=4),
        customers: rng.gen_range(6..=60),
        request_rate,
        service_time,
        slots,
        max_connections: rng.gen_range(24..=96),
        max_pipelined: rng.gen_range(1..=4),
        network_delay: [0.0003, rng.gen_range(0.0005..0.006)],
        split_writes: rng.gen_range(0.0..0.3),
        long_values: [0.0, 0.0, 0.02].choose(rng).copied().unwrap_or(0.0),
        paused_values: 0.0,
        hedging: rng.gen_bool(0.6),
        cancellation: rng.gen_bool(0.8),
        gossip: rng.gen_bool(0.7),
        polls_discovery: rng.gen_bool(0.2),
        inherits_listener: rng.gen_bool(0.4),
        max_descriptors: rng.gen_range(96..=512),
        admission: rng.gen_bool(0.5),
        operator_files: rng.gen_bool(0.4),
        membership_interval: [0.0, 0.0, 0.5, 1.0].choose(rng).copied().unwrap_or(0.0),
        drain_grace: rng.gen_range(0.1..1.0),
        slow_start_fraction: rng.gen_range(0.15..0.3),
        slow_start_duration: rng.gen_range(5.0..18.0),
        overload_factor: rng.gen_range(2.0..4.0),
        overload_window: rng.gen_range(2.0..3.0),
    }
}

fn generate_fault(rng: &mut ChaCha8Rng, world: &World, seconds: f64) -> Fault {
    let is_applicable = |kind: &FaultKind| *kind != FaultKind::Upgrade || world.inherits_listener;
    let kinds: Vec<FaultKind> = FaultKind::all().filter(is_applicable).collect();
    let kind = *kinds.choose(rng).expect("at least one fault kind is applicable");
    let target = kind.target();
    let backend = target.has_backend().then(|| rng.gen_range(0..world.backends));
    let instance = target.has_instance().then(|| rng.gen_range(0..world.instances));
    let zone = target.has_zone().then(|| rng.gen_range(0..world.zones));
    let duration = (!kind.is_instant()).then(|| round_to_thousandth(rng.gen_range(0.2..4.0)));
    let severity = kind.severity_range().map(|range| generate_severity(rng, kind, range));
    let at = round_to_thousandth(rng.gen_range(0.3..seconds * 0.8));
    Fault { at, kind, backend, instance, zone, duration, severity }
}

fn generate_severity(rng: &mut ChaCha8Rng, kind: FaultKind, range: SeverityRange) -> f64 {
    let SeverityRange { min, max } = range;
    round_to_thousandth(match kind {
        FaultKind::MalformedClients | FaultKind::IdleConnections | FaultKind::RandomResets => {
            rng.gen_range(min..max / 4.0)
        }
        FaultKind::NetworkDelay => rng.gen_range(1.0..20.0),
        FaultKind::TrafficBurst => rng.gen_range(1.0..3.0),
        _ if min > 0.0 => rng.gen_range(min..max / 2.0),
        _ => rng.gen_range(0.1..1.0),
    })
}

/// Rounds to three decimals, to keep scenario files readable.
fn round_to_thousandth(number: f64) -> f64 {
    (number * 1e3).round() / 1e3
}
