//! All backends of an instance, indexed so that it can choose among thousands of them without a scan: those that may get attempts,
//! have attempts in flight, are warming up, or are connected.
use super::{Backend, OutcomeKind};
use crate::types::{BackendIndex, Endpoint, EndpointStatus, SlowStart};
use indexmap::IndexSet;
use rand::seq::index;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Backends by their index.
#[derive(Default)]
pub struct BackendSet {
    backends: BTreeMap<BackendIndex, Backend>,
    /// Backends with attempts of this instance in flight.
    busy: BTreeSet<BackendIndex>,
    /// Backends that attempts were sent to. The connections to some of them may have closed since.
    connected: IndexSet<BackendIndex>,
    summary: Summary,
}

/// Values computed over all backends, cached until the endpoint list or an operator changes a backend.
#[derive(Default)]
struct Summary {
    /// Whether backends have changed since the values were computed.
    outdated: bool,
    computed_at: f64,
    /// Backends that may get new attempts.
    ready: Vec<BackendIndex>,
    /// The ready backends that had not warmed up.
    warming: Vec<BackendIndex>,
    /// Total weight of the other ready backends.
    warm_weight: f64,
    /// Total weight of all listed backends.
    listed_weight: f64,
}

/// Combined capacity of a set of backends.
pub struct FleetCapacity {
    /// Number of backends that may get new attempts.
    pub ready_count: usize,
    /// Total weight of these backends, each multiplied by its capacity fraction.
    pub effective_weight: f64,
    /// Total weight of all listed backends.
    pub listed_weight: f64,
}

/// A random sample of backends.
pub struct Sample {
    /// Backends drawn from all that may get new attempts.
    pub ready: Vec<BackendIndex>,
    /// Backends drawn from those with a connection to this instance.
    pub connected: Vec<BackendIndex>,
}

/// How a sample is drawn.
pub struct SampleSettings<'a> {
    /// Maximum number of backends drawn into each list of the sample.
    pub size: usize,
    /// Connections last used before this time are assumed to be closed.
    pub idle_since: f64,
    /// Seconds after which the summary is recomputed to find backends that have warmed up.
    pub warming_check_interval: f64,
    /// Slow start of backends.
    pub slow_start: &'a SlowStart,
}

impl BackendSet {
    /// Returns the backend with this index; `None` if there is none.
    pub fn get(&self, index: BackendIndex) -> Option<&Backend> {
        self.backends.get(&index)
    }

    /// Whether the set contains no backends.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Number of backends.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns all backends in the order of their indices.
    pub fn values(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns a backend for changes that affect neither the indexes nor the summary: its list entry, maintenance state and attempts in
    /// flight must stay as they are.
    pub fn get_mut(&mut self, index: BackendIndex) -> Option<&mut Backend> {
        self.backends.get_mut(&index)
    }

    /// Returns all backends, for the same kinds of changes as [`get_mut`](Self::get_mut).
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.backends.values_mut()
    }

    /// Applies the entries of an endpoint list. A snapshot marks backends that it does not contain as removed. `kinds` is the
    /// number of outcome kinds.
    pub fn update_endpoints(&mut self, now: f64, is_snapshot: bool, endpoints: &[Endpoint], kinds: usize) {
        self.summary.outdated = true;
        if is_snapshot {
            for backend in self.backends.values_mut() {
                backend.endpoint.status = EndpointStatus::Removed;
            }
        }
        for &endpoint in endpoints {
            let backend =
                self.backends.entry(endpoint.backend).or_insert_with(|| Backend::new(now, endpoint, kinds));
            if backend.endpoint.started_at == endpoint.started_at {
                backend.endpoint = endpoint;
            } else {
                *backend = backend.restarted(now, endpoint);
            }
        }
    }

    /// Takes a backend out of service as of `since`, or puts it back (`None`), as ordered by an operator.
    pub fn set_maintenance(&mut self, now: f64, index: BackendIndex, since: Option<f64>) {
        self.summary.outdated = true;
        if let Some(backend) = self.backends.get_mut(&index) {
            backend.set_maintenance(now, since);
        }
    }

    /// Forgets a backend; its index may be reused.
    pub fn forget(&mut self, index: BackendIndex) {
        self.summary.outdated = true;
        self.backends.remove(&index);
        self.busy.remove(&index);
        self.connected.swap_remove(&index);
    }

    /// Adds an attempt of `units` to those in flight at a backend.
    pub fn add_attempt(&mut self, index: BackendIndex, units: f64) {
        if let Some(backend) = self.backends.get_mut(&index) {
            backend.add_attempt(units);
        }
        self.busy.insert(index);
        self.connected.insert(index);
    }

    /// Removes an attempt of `units` from those in flight at a backend; `units` is 0 if it was removed before. Returns the backend.
    pub fn remove_attempt(&mut self, index: BackendIndex, units: f64) -> Option<&mut Backend> {
        let backend = self.backends.get_mut(&index)?;
        backend.remove_attempt(units);
        if backend.in_flight == 0 {
            self.busy.remove(&index);
        }
        Some(backend)
    }

    /// Returns the backends with attempts in flight, in the order of their indices.
    pub fn busy(&self) -> impl Iterator<Item = &Backend> {
        self.busy.iter().filter_map(|index| self.backends.get(index))
    }

    /// Returns the capacity of all backends, from the summary that the last call of [`sample`](Self::sample) used.
    pub fn summarized_capacity(&self, now: f64, slow_start: &SlowStart) -> FleetCapacity {
        let Summary { ready, warming, warm_weight, listed_weight, .. } = &self.summary;
        let warming = warming.iter().filter_map(|index| self.backends.get(index));
        let warming_weight = warming.map(|backend| backend.effective_weight(now, slow_start)).sum::<f64>();
        FleetCapacity {
            ready_count: ready.len(),
            effective_weight: warm_weight + warming_weight,
            listed_weight: *listed_weight,
        }
    }

    /// Returns the capacity of the given backends, by a scan of them.
    pub fn capacity_of<'a>(
        &self,
        now: f64,
        slow_start: &SlowStart,
        ready: impl Iterator<Item = &'a Backend>,
    ) -> FleetCapacity {
        let mut ready_count = 0;
        let counted = ready.inspect(|_| ready_count += 1);
        let effective_weight = counted.map(|backend| backend.effective_weight(now, slow_start)).sum();
        FleetCapacity { ready_count, effective_weight, listed_weight: listed_weight(self.values()) }
    }

    /// Draws a sample of the backends that may get attempts, and one of the connected backends.
    pub fn sample(&mut self, now: f64, rng: &mut impl Rng, settings: &SampleSettings) -> Sample {
        let is_warming_outdated = now - self.summary.computed_at > settings.warming_check_interval
            && !self.summary.warming.is_empty();
        if self.summary.outdated || is_warming_outdated {
            self.summarize(now, settings.slow_start);
        }
        let ready = sample_indices(rng, settings.size, &self.summary.ready);
        let connected = self.sample_connected(rng, settings);
        Sample { ready, connected }
    }

    /// Draws a sample of the connected backends. Drawn backends that are no longer connected are removed from `connected`.
    fn sample_connected(&mut self, rng: &mut impl Rng, settings: &SampleSettings) -> Vec<BackendIndex> {
        let count = settings.size.min(self.connected.len());
        let drawn = index::sample(rng, self.connected.len(), count);
        let drawn: Vec<BackendIndex> = drawn.iter().map(|position| self.connected[position]).collect();
        let (open, closed): (Vec<BackendIndex>, Vec<BackendIndex>) =
            drawn.into_iter().partition(|index| self.is_connected(*index, settings.idle_since));
        for index in closed {
            self.connected.swap_remove(&index);
        }
        open
    }

    fn is_connected(&self, index: BackendIndex, idle_since: f64) -> bool {
        self.backends.get(&index).is_some_and(|backend| {
            let was_connected = backend.streak(OutcomeKind::CONNECTION, idle_since) > 0;
            backend.accepts_attempts() && (backend.in_flight > 0 || was_connected)
        })
    }

    fn summarize(&mut self, now: f64, slow_start: &SlowStart) {
        let listed_weight = listed_weight(self.values());
        let mut summary = Summary { computed_at: now, listed_weight, ..Summary::default() };
        for (index, backend) in self.backends.iter().filter(|(_, backend)| backend.accepts_attempts()) {
            summary.ready.push(*index);
            if backend.capacity_fraction(now, slow_start) < 1.0 {
                summary.warming.push(*index);
            } else {
                summary.warm_weight += backend.endpoint.weight;
            }
        }
        self.summary = summary;
    }
}

fn sample_indices(rng: &mut impl Rng, size: usize, all: &[BackendIndex]) -> Vec<BackendIndex> {
    let drawn = index::sample(rng, all.len(), size.min(all.len()));
    drawn.iter().map(|position| all[position]).collect()
}

fn listed_weight<'a>(backends: impl Iterator<Item = &'a Backend>) -> f64 {
    let listed = backends.filter(|backend| backend.endpoint.status != EndpointStatus::Removed);
    listed.map(|backend| backend.endpoint.weight).sum()
}

impl std::ops::Index<&BackendIndex> for BackendSet {
    type Output = Backend;

    fn index(&self, index: &BackendIndex) -> &Backend {
        &self.backends[index]
    }
}
