//! When which fault of an experiment begins and ends: the emulator's fault kinds, as far as sockets and processes can have them. No I/O:
//! the schedule is computed here, and carried out by `test_bed::TestBed::inject` and `fleet::Fleet::inject`.
use quillramp_emulator::scenario::{Fault, FaultKind, World};

/// The least part of its capacity that a backend has while it is warming up.
const MIN_WARM_UP_CAPACITY: f64 = 0.01;

/// Whether this tool can inject the kind; the others are the emulator's alone.
pub fn is_supported(kind: FaultKind) -> bool {
    use FaultKind::*;
    matches!(
        kind,
        Crash
            | Unresponsive
            | Slow
            | LostResponses
            | MalformedResponses
            | Errors
            | Rejections
            | Drain
            | ZoneLoss
            | Kill
            | Terminate
            | Stall
            | ReloadConfiguration
            | CounterDown
            | CounterUnresponsive
            | CounterSlow
            | CounterReset
            | CounterSplit
            | CounterLostResponses
            | CounterRejections
            | DiscoveryDown
            | TrafficBurst
    )
}

/// A fault begins or ends.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultStep {
    /// Seconds since the start of the traffic.
    pub at: f64,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// Whether it begins, or else ends.
    pub begins: bool,
    /// The index of the backend or the instance, where it concerns one.
    pub target: usize,
    /// How strong it is, as its kind has it: a factor or a fraction.
    pub magnitude: f64,
}

/// All steps in their order; of two at one time, the one that ends a fault comes first.
pub fn schedule(faults: &[Fault], world: &World) -> Vec<FaultStep> {
    let mut steps = vec![];
    for fault in faults.iter().filter(|fault| fault.kind != FaultKind::TrafficBurst) {
        let kind = if fault.kind == FaultKind::ZoneLoss { FaultKind::Crash } else { fault.kind };
        for target in targets(fault, world) {
            let magnitude = fault.severity.unwrap_or(1.0);
            let step = FaultStep { at: fault.at, kind, begins: true, target, magnitude };
            let end = fault.duration.map(|duration| FaultStep {
                at: fault.at + duration,
                begins: false,
                ..step.clone()
            });
            steps.push(step);
            steps.extend(end);
        }
    }
    steps.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.begins.cmp(&b.begins)));
    steps
}

/// The backends or the instance that a fault concerns.
fn targets(fault: &Fault, world: &World) -> Vec<usize> {
    match fault.kind {
        FaultKind::ZoneLoss => {
            (0..world.backends).filter(|backend| Some(backend % world.zones.max(1)) == fault.zone).collect()
        }
        _ => vec![fault.backend.or(fault.instance).unwrap_or(0)],
    }
}

/// Factor on the rate of requests at a time, seconds since the start of the traffic.
pub fn burst_factor(faults: &[Fault], at: f64) -> f64 {
    let active = |fault: &&Fault| {
        fault.kind == FaultKind::TrafficBurst
            && at >= fault.at
            && at < fault.at + fault.duration.unwrap_or(0.0)
    };
    faults.iter().filter(active).map(|fault| fault.severity.unwrap_or(1.0)).product()
}

/// The part of its capacity that a backend has, by the seconds since its start.
pub fn warm_capacity(world: &World, age: Option<f64>) -> f64 {
    let initial = world.slow_start_fraction;
    age.map_or(1.0, |age| {
        (initial + (1.0 - initial) * age / world.slow_start_duration).clamp(MIN_WARM_UP_CAPACITY, 1.0)
    })
}
