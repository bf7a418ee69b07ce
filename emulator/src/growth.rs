//! One traffic before one fleet of backends, behind more and more front doors: what a front door of a large fleet costs others, and how far
//! quotas hold. Calm, and with half of the front doors killed at once. Its figures are the emulator's, to be compared with each other.
use crate::play::{play, Report};
use crate::script::{Fault, Kind, Script, World};
use crate::sweep;
use std::fmt::Write;

/// What a play of one size came to.
#[derive(Clone, Debug)]
pub struct Grown {
    pub doors: usize,
    pub herd: bool,
    pub report: Report,
    /// Seconds that the play took here.
    pub took: f64,
}

/// The world of the study: forty backends, four hundred customers, doors as asked for.
pub fn script(doors: usize, herd: bool, seed: u64) -> Script {
    let world = World {
        doors,
        backends: 40,
        zones: 2,
        cells: 8,
        customers: 400,
        rate: 700.0,
        service: 0.02,
        slots: 4,
        connections: 4000,
        warm_after: 5.0,
        ..World::default()
    };
    // Half of them, and two backends: a release that went wrong.
    let killed = (0..doors / 2).filter(|_| herd).map(|d| Fault {
        at: 3.0,
        kind: Kind::Kill,
        backend: None,
        door: Some(2 * d),
        zone: None,
        lasts: Some(0.6),
        by: None,
    });
    Script { seed, seconds: 8.0, world, faults: killed.collect() }
}

/// Plays all sizes, calm and with a herd, on so many threads.
pub fn grow(sizes: &[usize], seed: u64, threads: usize, done: &(dyn Fn(&Grown) + Sync)) -> Vec<Grown> {
    let tasks = sizes.iter().flat_map(|d| [(*d, false), (*d, true)]).collect();
    let mut found = sweep::on_threads(tasks, threads, |(doors, herd)| {
        let from = std::time::Instant::now();
        let report = play(&script(doors, herd, seed), None);
        let grown = Grown { doors, herd, report, took: from.elapsed().as_secs_f64() };
        done(&grown);
        grown
    });
    found.sort_by_key(|g| (g.herd, g.doors));
    found
}

pub fn table(all: &[Grown]) -> String {
    let mut text = String::from(
        "| front doors | | succeeded | throttled | errored | deliveries an invocation | counter calls an invocation | \
         connections to backends a front door | units beyond quotas | worst customer | rule broken | played in |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for g in all {
        let r = &g.report;
        let all = r.met.invocations.max(1) as f64;
        let share = |n: u64| format!("{:.3}", n as f64 / all);
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {:.1} | {:.4} | {:.2} | {} | {:.1} s |",
            g.doors,
            if g.herd { "half killed at once" } else { "calm" },
            share(r.met.succeeded),
            share(r.met.throttled),
            share(r.met.errored),
            share(r.met.deliveries),
            share(r.counter_calls),
            r.connections as f64 / g.doors as f64,
            r.beyond / r.units.max(1.0),
            r.worst,
            r.breach.as_ref().map_or("none".into(), |b| b.rule.name().to_owned()),
            g.took
        );
    }
    text
}
