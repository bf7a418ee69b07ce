//! The backends that a front door knows, with what it takes to choose among thousands of them without a look at each:
//! those that may get deliveries, those that hold some, those that are warming up, those that it is connected with.
//! It decides nothing: what a backend is worth is the decisions' to say.
use crate::state::Backend;
use crate::types::*;
use indexmap::IndexSet;
use rand::seq::index;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Backends that warm up are summed up one by one; so often, in seconds, it is looked which of them are done.
const WARMING_CHECK_INTERVAL: f64 = 1.0;

/// Backends by their index.
#[derive(Default)]
pub struct BackendSet {
    known: BTreeMap<BackendIndex, Backend>,
    /// Those that hold deliveries of ours.
    busy: BTreeSet<BackendIndex>,
    /// Those that we have sent to; some of the connections have closed since.
    connected: IndexSet<BackendIndex>,
    summary: Summary,
}

/// What is reckoned anew from all backends when the list has changed.
#[derive(Default)]
struct Summary {
    /// The list has changed since.
    outdated: bool,
    /// When it was reckoned, seconds.
    computed_at: f64,
    /// Those that may get new deliveries.
    ready: Vec<BackendIndex>,
    /// Of them, those that had not warmed up; and the sizes of the rest together.
    warming: Vec<BackendIndex>,
    warm_weight: f64,
    /// The sizes of all that are listed.
    listed_weight: f64,
}

/// What backends can take together.
pub struct Totals {
    /// How many may get new deliveries.
    pub ready_count: usize,
    /// Of these, the sizes times the shares of capacity.
    pub capacity: f64,
    /// The sizes of all that are listed.
    pub listed_weight: f64,
}

/// Backends drawn at random: of all that may get new deliveries, and of those that there is a connection to.
pub struct Sample {
    pub ready: Vec<BackendIndex>,
    pub connected: Vec<BackendIndex>,
}

impl BackendSet {
    pub fn get(&self, tgt: BackendIndex) -> Option<&Backend> {
        self.known.get(&tgt)
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn values(&self) -> impl Iterator<Item = &Backend> {
        self.known.values()
    }

    /// For changes that neither list nor operator makes, and that leave what it holds as it is.
    pub fn get_mut(&mut self, tgt: BackendIndex) -> Option<&mut Backend> {
        self.known.get_mut(&tgt)
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.known.values_mut()
    }

    /// Takes up what the list says; `whole` replaces it, so what it lacks is gone. So many kinds are to be proven.
    pub fn update_endpoints(&mut self, now: f64, whole: bool, entries: &[Endpoint], kinds: usize) {
        self.summary.outdated = true;
        self.known.values_mut().filter(|_| whole).for_each(|b| b.endpoint.status = EndpointStatus::Removed);
        for &is in entries {
            let b = self.known.entry(is.backend).or_insert_with(|| Backend::new(now, is, kinds));
            let same = b.endpoint.started_at == is.started_at;
            *b = if same { Backend { endpoint: is, ..std::mem::take(b) } } else { b.restarted(now, is) };
        }
    }

    /// An operator leaves a backend out since then, or uses it again.
    pub fn set_maintenance(&mut self, now: f64, tgt: BackendIndex, out: Option<f64>) {
        self.summary.outdated = true;
        self.known.entry(tgt).and_modify(|b| b.set_maintenance(now, out));
    }

    pub fn forget(&mut self, tgt: BackendIndex) {
        self.summary.outdated = true;
        self.known.remove(&tgt);
        self.busy.remove(&tgt);
        self.connected.swap_remove(&tgt);
    }

    /// One delivery more, of so many units.
    pub fn add_attempt(&mut self, tgt: BackendIndex, units: f64) {
        self.known.entry(tgt).and_modify(|b| b.add_attempt(units));
        self.busy.insert(tgt);
        self.connected.insert(tgt);
    }

    /// A delivery of so many units is no longer its work; none if that was told before.
    pub fn remove_attempt(&mut self, tgt: BackendIndex, units: f64) -> Option<&mut Backend> {
        let b = self.known.get_mut(&tgt)?;
        b.remove_attempt(units);
        if b.in_flight == 0 {
            self.busy.remove(&tgt);
        }
        Some(b)
    }

    /// Those that hold deliveries of ours, in order of their index.
    pub fn busy(&self) -> impl Iterator<Item = &Backend> {
        self.busy.iter().filter_map(|tgt| self.known.get(tgt))
    }

    /// The totals by the summary that the last draw left.
    pub fn totals(&self, now: f64, rules: &SlowStart) -> Totals {
        let Summary { ready, warming, warm_weight: warm_size, listed_weight: listed, .. } = &self.summary;
        let warming = warming.iter().filter_map(|tgt| self.known.get(tgt));
        let capacity = warm_size + warming.map(|b| b.effective_weight(now, rules)).sum::<f64>();
        Totals { ready_count: ready.len(), capacity, listed_weight: *listed }
    }

    /// The totals of those given, each looked at.
    pub fn totals_of<'a>(
        &self,
        now: f64,
        rules: &SlowStart,
        ready: impl Iterator<Item = &'a Backend>,
    ) -> Totals {
        let mut number = 0;
        let capacity = ready.inspect(|_| number += 1).map(|b| b.effective_weight(now, rules)).sum();
        Totals { ready_count: number, capacity, listed_weight: listed_size(self.values()) }
    }

    /// Draws as many as asked for of each kind; connections that were last used before `idle_since` are closed by now.
    pub fn sample(
        &mut self,
        now: f64,
        rng: &mut impl Rng,
        most: usize,
        idle_since: f64,
        rules: &SlowStart,
    ) -> Sample {
        let looked =
            now - self.summary.computed_at > WARMING_CHECK_INTERVAL && !self.summary.warming.is_empty();
        if self.summary.outdated || looked {
            self.summarize(now, rules);
        }
        let all = &self.summary.ready;
        let ready = index::sample(rng, all.len(), most.min(all.len())).iter().map(|i| all[i]).collect();
        let some = index::sample(rng, self.connected.len(), most.min(self.connected.len()));
        let some: Vec<BackendIndex> = some.iter().map(|i| self.connected[i]).collect();
        let (open, closed): (Vec<BackendIndex>, Vec<BackendIndex>) = some.into_iter().partition(|tgt| {
            let b = self.known.get(tgt);
            b.is_some_and(|b| b.accepts_new() && (b.in_flight > 0 || b.streak(0, idle_since) > 0))
        });
        for tgt in closed {
            self.connected.swap_remove(&tgt);
        }
        Sample { ready, connected: open }
    }

    fn summarize(&mut self, now: f64, rules: &SlowStart) {
        let listed = listed_size(self.values());
        let mut summary = Summary { computed_at: now, listed_weight: listed, ..Summary::default() };
        for (tgt, b) in self.known.iter().filter(|(_, b)| b.accepts_new()) {
            summary.ready.push(*tgt);
            if b.capacity_fraction(now, rules) < 1.0 {
                summary.warming.push(*tgt);
            } else {
                summary.warm_weight += b.endpoint.weight;
            }
        }
        self.summary = summary;
    }
}

fn listed_size<'a>(all: impl Iterator<Item = &'a Backend>) -> f64 {
    all.filter(|b| b.endpoint.status != EndpointStatus::Removed).map(|b| b.endpoint.weight).sum()
}

impl std::ops::Index<&BackendIndex> for BackendSet {
    type Output = Backend;
    fn index(&self, tgt: &BackendIndex) -> &Backend {
        &self.known[tgt]
    }
}
