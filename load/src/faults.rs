//! What strikes in a play, and when: the emulator's fault kinds, as far as sockets and processes can have them. No I/O: the schedule is worked
//! out here, and carried out by `stage.rs` and `fleet.rs`.
use quillramp_emulator::scenario::{Fault, FaultKind, World};

/// Whether this tool can play it; the others are the emulator's alone.
pub fn played(kind: FaultKind) -> bool {
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

/// One thing to do at a time: a fault begins or is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: f64,
    pub kind: FaultKind,
    pub begins: bool,
    /// The backend or the front door, where it is about one.
    pub whom: usize,
    pub by: f64,
}

/// All steps in their order; of two at one time, what is over comes first.
pub fn schedule(faults: &[Fault], world: &World) -> Vec<Step> {
    let mut steps = vec![];
    for f in faults.iter().filter(|f| f.kind != FaultKind::TrafficBurst) {
        let whom: Vec<usize> = match f.kind {
            FaultKind::ZoneLoss => {
                (0..world.backends).filter(|b| Some(b % world.zones.max(1)) == f.zone).collect()
            }
            _ => vec![f.backend.or(f.instance).unwrap_or(0)],
        };
        let kind = if f.kind == FaultKind::ZoneLoss { FaultKind::Crash } else { f.kind };
        for whom in whom {
            let step = Step { at: f.at, kind, begins: true, whom, by: f.severity.unwrap_or(1.0) };
            let over = f.duration.map(|lasts| Step { at: f.at + lasts, begins: false, ..step.clone() });
            steps.push(step);
            steps.extend(over);
        }
    }
    steps.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.begins.cmp(&b.begins)));
    steps
}

/// How many times the usual rate clients come at then.
pub fn burst(faults: &[Fault], at: f64) -> f64 {
    let now =
        |f: &&Fault| f.kind == FaultKind::TrafficBurst && at >= f.at && at < f.at + f.duration.unwrap_or(0.0);
    faults.iter().filter(now).map(|f| f.severity.unwrap_or(1.0)).product()
}

/// The part of its capacity that a backend has, by the seconds since its start.
pub fn warmth(world: &World, age: Option<f64>) -> f64 {
    let from = world.slow_start_fraction;
    age.map_or(1.0, |age| (from + (1.0 - from) * age / world.slow_start_duration).clamp(0.01, 1.0))
}
