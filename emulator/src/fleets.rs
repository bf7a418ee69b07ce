//! Three worlds of about a hundred front doors before as many as sixty backends, drawn from a seed: what is harmless in one front door
//! and harmful when all do it is struck at full size, and every rule is checked after each step.
use crate::play::{play, Report};
use crate::script::{Fault, Kind, Script, World};
use crate::sweep;
use clap::ValueEnum;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, ValueEnum)]
pub enum Day {
    /// Most front doors are killed at once during a release, some of them twice, while the list service turns callers away.
    Herd,
    /// A zone is lost and comes back cold; some other backends are bad.
    Zone,
    /// Six in ten backends are replaced within seconds; some are bad.
    Join,
}

impl Day {
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |v| v.get_name().to_owned())
    }
}

fn fault(at: f64, kind: Kind, lasts: Option<f64>) -> Fault {
    Fault { at, kind, backend: None, door: None, zone: None, lasts, by: None }
}

/// So many of these are bad from then on: slow, failing or mute.
fn bad(r: &mut ChaCha8Rng, faults: &mut Vec<Fault>, at: f64, backends: &[usize], number: usize) {
    for &backend in backends.choose_multiple(r, number) {
        let (kind, by) =
            *[(Kind::Slow, 6.0), (Kind::Err, 0.7), (Kind::Swallow, 0.7)].choose(r).expect("three");
        let (at, lasts) = (at + r.gen_range(0.0..1.0), Some(r.gen_range(2.0..5.0)));
        faults.push(Fault { backend: Some(backend), by: Some(by), ..fault(at, kind, lasts) });
    }
}

/// The script that this seed draws for such a day.
pub fn script(day: Day, seed: u64) -> Script {
    let mut r = ChaCha8Rng::seed_from_u64(seed);
    let (doors, backends): (usize, usize) = (r.gen_range(90..=110), r.gen_range(40..=60));
    let world = World {
        doors,
        backends,
        zones: 3,
        cells: backends / 4,
        customers: r.gen_range(600..=1000),
        rate: r.gen_range(10.0..16.0) * backends as f64,
        service: 0.08,
        slots: 2,
        connections: r.gen_range(60..=400),
        warm_after: r.gen_range(6.0..17.0),
        cold_from: r.gen_range(0.15..0.45),
        peers: r.gen_bool(0.8),
        asks: r.gen_bool(0.2),
        ..World::default()
    };
    let mut faults = vec![];
    let mut all: Vec<usize> = (0..backends).collect();
    all.shuffle(&mut r);
    match day {
        Day::Herd => {
            let replaced = &all[..backends * 3 / 4];
            for (i, &backend) in replaced.iter().enumerate() {
                let at = 2.0 + 5.0 * i as f64 / replaced.len() as f64;
                faults.push(Fault {
                    backend: Some(backend),
                    ..fault(at, Kind::Drain, Some(r.gen_range(0.5..1.5)))
                });
            }
            faults.push(fault(3.0, Kind::ListDown, Some(r.gen_range(0.5..3.0))));
            let mut killed: Vec<usize> = (0..doors).collect();
            killed.shuffle(&mut r);
            killed.truncate(doors * 7 / 10);
            for (i, door) in killed.into_iter().enumerate() {
                faults
                    .push(Fault { door: Some(door), ..fault(3.5, Kind::Kill, Some(r.gen_range(0.2..1.0))) });
                if i % 10 == 0 {
                    faults.push(Fault { door: Some(door), ..fault(5.5, Kind::Kill, Some(0.3)) });
                }
            }
        }
        Day::Zone => {
            let zone = r.gen_range(0..3);
            faults
                .push(Fault { zone: Some(zone), ..fault(2.0, Kind::ZoneLoss, Some(r.gen_range(1.5..4.0))) });
            let elsewhere: Vec<usize> = all.iter().copied().filter(|b| b % 3 != zone).collect();
            bad(&mut r, &mut faults, 2.5, &elsewhere, backends / 8);
        }
        Day::Join => {
            for &backend in &all[..backends * 6 / 10] {
                let (at, kind) =
                    (r.gen_range(2.0..8.0), if r.gen_bool(0.5) { Kind::Replace } else { Kind::Drain });
                let lasts = (kind == Kind::Drain).then_some(0.8);
                faults.push(Fault { backend: Some(backend), ..fault(at, kind, lasts) });
            }
            bad(&mut r, &mut faults, 3.0, &all[backends * 2 / 3..], backends / 8);
        }
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    Script { seed, seconds: 11.0, world, faults }
}

/// Plays these days for these seeds, on so many threads; in the order of days and seeds.
pub fn sweep(days: &[Day], seeds: std::ops::Range<u64>, threads: usize) -> Vec<(Day, Report)> {
    let tasks = days.iter().flat_map(|d| seeds.clone().map(|s| (*d, s))).collect();
    sweep::on_threads(tasks, threads, |(day, seed)| (day, play(&script(day, seed), None)))
}

pub fn table(all: &[(Day, Report)]) -> String {
    let mut text = String::from(
        "| day | runs | invocations | succeeded | throttled | errored | deliveries an invocation | to cold backends | rules broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for &day in Day::value_variants() {
        let of: Vec<&Report> = all.iter().filter(|(d, _)| *d == day).map(|(_, r)| r).collect();
        if of.is_empty() {
            continue;
        }
        let sum = |n: fn(&Report) -> u64| of.iter().map(|r| n(r)).sum::<u64>();
        let invocations = sum(|r| r.met.invocations);
        let share = |n: u64| n as f64 / invocations.max(1) as f64;
        let _ = writeln!(
            text,
            "| {} | {} | {invocations} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} |",
            day.name(),
            of.len(),
            share(sum(|r| r.met.succeeded)),
            share(sum(|r| r.met.throttled)),
            share(sum(|r| r.met.errored)),
            share(sum(|r| r.met.deliveries)),
            sum(|r| r.met.cold),
            sum(|r| u64::from(r.breach.is_some()))
        );
    }
    text
}
