//! Many seeds, on several threads; the order of the results is that of the seeds.
use crate::door::Sabotage;
use crate::play::{play, Report};
use crate::rules::Met;
use crate::script::{Kind, Script};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;

/// All that was met in many runs.
#[derive(Default)]
pub struct Totals {
    pub runs: u64,
    pub steps: u64,
    pub met: Met,
    pub counter_calls: u64,
    pub faults: BTreeMap<Kind, u64>,
}

impl Totals {
    pub fn add(&mut self, r: &Report) {
        self.runs += 1;
        self.steps += r.steps;
        self.counter_calls += r.counter_calls;
        for (kind, n) in &r.faults {
            *self.faults.entry(*kind).or_default() += n;
        }
        let (all, one) = (&mut self.met, &r.met);
        all.invocations += one.invocations;
        all.succeeded += one.succeeded;
        all.throttled += one.throttled;
        all.errored += one.errored;
        all.deliveries += one.deliveries;
        all.repeats += one.repeats;
        all.drained += one.drained;
        all.cold += one.cold;
        all.ceilings += one.ceilings;
        all.turned_away += one.turned_away;
        all.descriptors += one.descriptors;
    }
}

/// What each of these comes to, on so many threads; in the order of the tasks.
pub fn on_threads<T: Send, R: Send>(tasks: Vec<T>, threads: usize, play: impl Fn(T) -> R + Sync) -> Vec<R> {
    let (next, found) = (Mutex::new(tasks.into_iter().enumerate()), Mutex::new(vec![]));
    std::thread::scope(|all| {
        for _ in 0..threads.max(1) {
            all.spawn(|| loop {
                let task = next.lock().unwrap_or_else(|e| e.into_inner()).next();
                let Some((i, task)) = task else { return };
                let one = (i, play(task));
                found.lock().unwrap_or_else(|e| e.into_inner()).push(one);
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_else(|e| e.into_inner());
    found.sort_by_key(|f| f.0);
    found.into_iter().map(|f| f.1).collect()
}

/// Plays these seeds; `stop_at` broken rules are enough. Reports by seed.
pub fn sweep(
    seeds: std::ops::Range<u64>,
    threads: usize,
    stop_at: usize,
    sabotage: Option<Sabotage>,
    done: &(dyn Fn(u64) + Sync),
) -> Vec<Report> {
    let next = AtomicU64::new(seeds.start);
    let (found, enough) = (Mutex::new(vec![]), AtomicBool::new(false));
    std::thread::scope(|all| {
        for _ in 0..threads.max(1) {
            all.spawn(|| {
                while !enough.load(Ordering::Relaxed) {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let report = play(&Script::draw(seed), sabotage);
                    let mut found = found.lock().unwrap_or_else(|e| e.into_inner());
                    found.push(report);
                    done(found.len() as u64);
                    let broken = found.iter().filter(|r: &&Report| r.breach.is_some()).count();
                    enough.fetch_or(broken >= stop_at, Ordering::Relaxed);
                }
            });
        }
    });
    let mut reports = found.into_inner().unwrap_or_else(|e| e.into_inner());
    reports.sort_by_key(|r| r.seed);
    reports
}
