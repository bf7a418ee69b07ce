//! How far quotas hold while the counter is ill: split, silent to some or to all, forgetful, for minutes, with the roster and without. What is
//! found is set against the bound that docs/counter.md derives.
use crate::play::{play, Report};
use crate::script::{Fault, Kind, Script, World};
use crate::sweep;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// What befalls the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Ill {
    /// Nothing does: what the ordinary path leaves.
    None,
    /// Every other front door meets another one that answers too.
    Split,
    /// It is gone for all.
    Down,
    /// It says nothing to anybody.
    Silent,
    /// It is replaced by an empty one, again and again.
    Lost,
    /// It adds and does not say so, one call in three.
    Deaf,
    /// Any of these, one after another.
    Mixed,
}

/// A run of so many seconds, ill for most of it.
pub fn script(ill: Ill, seconds: f64, presence: f64, seed: u64) -> Script {
    let mut r = ChaCha8Rng::seed_from_u64(seed ^ 0x7173);
    let world = World {
        doors: r.gen_range(2..=8),
        backends: 8,
        customers: r.gen_range(8..=20),
        rate: r.gen_range(150.0..250.0),
        service: 0.01,
        slots: 8,
        long: 0.0,
        peers: r.gen_bool(0.5),
        presence,
        ..World::default()
    };
    let fault = |at: f64, kind: Kind, lasts: Option<f64>, by: Option<f64>| Fault {
        at,
        kind,
        backend: None,
        door: None,
        zone: None,
        lasts,
        by,
    };
    let (from, lasts) = (5.0, seconds - 8.0);
    let faults = match ill {
        Ill::None => vec![],
        Ill::Split => vec![fault(from, Kind::CounterSplit, Some(lasts), None)],
        Ill::Down => vec![fault(from, Kind::CounterDown, Some(lasts), None)],
        Ill::Silent => vec![fault(from, Kind::CounterSilent, Some(lasts), None)],
        Ill::Lost => {
            let each = lasts / 4.0;
            (0..4).map(|i| fault(from + each * f64::from(i), Kind::CounterLost, None, None)).collect()
        }
        Ill::Deaf => vec![fault(from, Kind::CounterDeaf, Some(lasts), Some(0.33))],
        Ill::Mixed => {
            let kinds = [Kind::CounterSplit, Kind::CounterDown, Kind::CounterSilent, Kind::CounterLost];
            let each = lasts / 4.0;
            let one = |i: u32| {
                let kind = kinds[r.gen_range(0..kinds.len())];
                let lasts = (!kind.at_once()).then(|| r.gen_range(each / 4.0..each * 0.9));
                fault(from + each * f64::from(i), kind, lasts, None)
            };
            (0..4).map(one).collect()
        }
    };
    Script { seed, seconds, world, faults }
}

/// How often the counter falls ill or gets well in a script: each time a store may be there once more.
pub fn edges(script: &Script) -> usize {
    script.faults.iter().map(|f| if f.kind.at_once() { 1 } else { 2 }).sum()
}

/// What a run came to, of its worst customer, as parts of what its quota allowed in that time.
#[derive(Clone, Debug)]
pub struct Found {
    pub ill: Ill,
    pub seed: u64,
    pub presence: f64,
    pub overshoot: f64,
    pub bound: f64,
    pub report: Report,
}

/// Plays one, and sets it against the bound: for the run itself and at each edge one more burst, and the rate for as long as an edge takes to be noticed.
pub fn look(ill: Ill, seconds: f64, presence: f64, seed: u64) -> Found {
    let script = script(ill, seconds, presence, seed);
    let report = play(&script, None);
    let (overshoot, bound) = report.worst_of(|rate, burst| {
        let noticed = 4.0 * presence + 1.0;
        (1 + edges(&script)) as f64 * (burst + rate * noticed) / (burst + rate * script.seconds)
    });
    Found { ill, seed, presence, overshoot, bound, report }
}

/// Plays these seeds of each illness, with the roster and without.
pub fn sweep(ills: &[Ill], seconds: f64, seeds: std::ops::Range<u64>, threads: usize) -> Vec<Found> {
    let tasks: Vec<(Ill, f64, u64)> = ills
        .iter()
        .flat_map(|ill| seeds.clone().flat_map(move |s| [(*ill, 0.0, s), (*ill, 1.0, s)]))
        .collect();
    let mut found =
        sweep::on_threads(tasks, threads, |(ill, presence, seed)| look(ill, seconds, presence, seed));
    found.sort_by(|a, b| (a.ill, a.seed).cmp(&(b.ill, b.seed)).then(a.presence.total_cmp(&b.presence)));
    found
}

pub fn table(found: &[Found]) -> String {
    let mut text = String::from(
        "| the counter | roster | runs | overshoot of the worst customer: median, most | bound, at that one | past the bound | \
         succeeded | rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut kinds: Vec<(Ill, bool)> = found.iter().map(|f| (f.ill, f.presence > 0.0)).collect();
    kinds.dedup();
    kinds.sort();
    kinds.dedup();
    for (ill, on) in kinds {
        let mut own: Vec<&Found> =
            found.iter().filter(|f| f.ill == ill && (f.presence > 0.0) == on).collect();
        own.sort_by(|a, b| a.overshoot.total_cmp(&b.overshoot));
        let (Some(middle), Some(most)) = (own.get(own.len() / 2), own.last()) else { continue };
        let sum = |of: &dyn Fn(&Report) -> u64| own.iter().map(|f| of(&f.report)).sum::<u64>();
        let _ = writeln!(
            text,
            "| {ill:?} | {} | {} | {:.2}%, {:.2}% | {:.2}% | {} | {:.3} | {} |",
            if on { "on" } else { "off" },
            own.len(),
            100.0 * middle.overshoot,
            100.0 * most.overshoot,
            100.0 * most.bound,
            own.iter().filter(|f| f.overshoot > f.bound).count(),
            sum(&|r| r.met.succeeded) as f64 / sum(&|r| r.met.invocations).max(1) as f64,
            own.iter().filter(|f| f.report.breach.is_some()).count()
        );
    }
    text
}
