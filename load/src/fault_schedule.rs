//! Computes the times at which the faults of an experiment begin and end. Supports those of the emulator's fault kinds that can be
//! injected into real sockets and processes. This module does no I/O: `test_bed::TestBed::inject` and `fleet::Fleet::inject` execute
//! the steps.
use quillramp_emulator::scenario::{Fault, FaultKind, World};

/// Minimum capacity of a backend that is warming up, as a fraction of its full capacity.
const MIN_WARM_UP_CAPACITY: f64 = 0.01;

/// Whether this tool can inject faults of the kind; only the emulator supports the others.
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

/// The beginning or the end of a fault at one target.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultStep {
    /// Seconds since the start of the traffic.
    pub at: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Whether the fault begins; otherwise it ends.
    pub begins: bool,
    /// Index of the affected backend or instance; 0 if the kind affects neither.
    pub target: usize,
    /// Severity of the fault; the kind decides whether it is a factor, a fraction or a delay in milliseconds.
    pub magnitude: f64,
}

/// Returns all steps in the order of their times; at the same time, ends of faults precede beginnings. Traffic bursts have no steps:
/// `burst_factor` applies them.
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

/// Returns the indices of the backends or of the instance that a fault affects.
fn targets(fault: &Fault, world: &World) -> Vec<usize> {
    match fault.kind {
        FaultKind::ZoneLoss => {
            (0..world.backends).filter(|backend| Some(backend % world.zones.max(1)) == fault.zone).collect()
        }
        _ => vec![fault.backend.or(fault.instance).unwrap_or(0)],
    }
}

/// Returns the factor of the active traffic bursts on the request rate; `at` is in seconds since the start of the traffic.
pub fn burst_factor(faults: &[Fault], at: f64) -> f64 {
    let active = |fault: &&Fault| {
        fault.kind == FaultKind::TrafficBurst
            && at >= fault.at
            && at < fault.at + fault.duration.unwrap_or(0.0)
    };
    faults.iter().filter(active).map(|fault| fault.severity.unwrap_or(1.0)).product()
}

/// Returns the capacity of a backend as a fraction of its full capacity; `age` is in seconds since its start. It grows linearly while the
/// backend is warming up.
pub fn warm_capacity(world: &World, age: Option<f64>) -> f64 {
    let initial = world.slow_start_fraction;
    age.map_or(1.0, |age| {
        (initial + (1.0 - initial) * age / world.slow_start_duration).clamp(MIN_WARM_UP_CAPACITY, 1.0)
    })
}
