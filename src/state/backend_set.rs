//! The backends that an instance knows, indexed so that it can choose among thousands of them without a look at each: those
//! that may get attempts, those with attempts in flight, those that are warming up, those that it is connected with.
use super::{Backend, OutcomeKind};
use crate::types::{BackendIndex, Endpoint, EndpointStatus, SlowStart};
use indexmap::IndexSet;
use rand::seq::index;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Backends by their index.
#[derive(Default)]
pub struct BackendSet {
    known: BTreeMap<BackendIndex, Backend>,
    /// Those with attempts of ours in flight.
    busy: BTreeSet<BackendIndex>,
    /// Those that attempts were sent to; some of the connections have closed since.
    connected: IndexSet<BackendIndex>,
    summary: Summary,
}

/// What is computed from all backends when the endpoint list has changed.
#[derive(Default)]
struct Summary {
    /// The list has changed since.
    outdated: bool,
    computed_at: f64,
    /// Those that may get new attempts.
    ready: Vec<BackendIndex>,
    /// Of them, those that had not warmed up.
    warming: Vec<BackendIndex>,
    /// The weights of the others together.
    warm_weight: f64,
    /// The weights of all that are listed together.
    listed_weight: f64,
}

/// What backends can take together.
pub struct FleetCapacity {
    /// How many may get new attempts.
    pub ready_count: usize,
    /// Of these, the weights times the fractions of capacity.
    pub effective_weight: f64,
    /// The weights of all that are listed.
    pub listed_weight: f64,
}

/// Backends drawn at random.
pub struct Sample {
    /// Of all that may get new attempts.
    pub ready: Vec<BackendIndex>,
    /// Of those that there is a connection to.
    pub connected: Vec<BackendIndex>,
}

/// How a sample is drawn.
pub struct SampleSettings<'a> {
    /// So many are drawn of each kind, if there are as many.
    pub size: usize,
    /// Connections that were last used before then have closed.
    pub idle_since: f64,
    /// Seconds after which it is looked again which backends have warmed up.
    pub warming_check_interval: f64,
    /// How capacity grows after a start.
    pub slow_start: &'a SlowStart,
}

impl BackendSet {
    /// The backend with this index, if it is known.
    pub fn get(&self, index: BackendIndex) -> Option<&Backend> {
        self.known.get(&index)
    }

    /// Whether no backend is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Number of known backends.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// All known backends in the order of their indices.
    pub fn values(&self) -> impl Iterator<Item = &Backend> {
        self.known.values()
    }

    /// For changes that neither the list nor an operator makes, and that leave the attempts in flight as they are.
    pub fn get_mut(&mut self, index: BackendIndex) -> Option<&mut Backend> {
        self.known.get_mut(&index)
    }

    /// All known backends, for the same kinds of changes.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.known.values_mut()
    }

    /// Takes up what the endpoint list says. What a snapshot lacks is removed. `kinds` is the number of kinds of outcomes.
    pub fn update_endpoints(&mut self, now: f64, is_snapshot: bool, endpoints: &[Endpoint], kinds: usize) {
        self.summary.outdated = true;
        if is_snapshot {
            for backend in self.known.values_mut() {
                backend.endpoint.status = EndpointStatus::Removed;
            }
        }
        for &endpoint in endpoints {
            let backend =
                self.known.entry(endpoint.backend).or_insert_with(|| Backend::new(now, endpoint, kinds));
            if backend.endpoint.started_at == endpoint.started_at {
                backend.endpoint = endpoint;
            } else {
                *backend = backend.restarted(now, endpoint);
            }
        }
    }

    /// An operator takes a backend out of service from `since` on, or puts it back.
    pub fn set_maintenance(&mut self, now: f64, index: BackendIndex, since: Option<f64>) {
        self.summary.outdated = true;
        if let Some(backend) = self.known.get_mut(&index) {
            backend.set_maintenance(now, since);
        }
    }

    /// Forgets a backend; its index may name another one from now on.
    pub fn forget(&mut self, index: BackendIndex) {
        self.summary.outdated = true;
        self.known.remove(&index);
        self.busy.remove(&index);
        self.connected.swap_remove(&index);
    }

    /// Counts an attempt of so many units as in flight.
    pub fn add_attempt(&mut self, index: BackendIndex, units: f64) {
        if let Some(backend) = self.known.get_mut(&index) {
            backend.add_attempt(units);
        }
        self.busy.insert(index);
        self.connected.insert(index);
    }

    /// An attempt of so many units is no longer the backend's work; 0 units if it was taken off before.
    pub fn remove_attempt(&mut self, index: BackendIndex, units: f64) -> Option<&mut Backend> {
        let backend = self.known.get_mut(&index)?;
        backend.remove_attempt(units);
        if backend.in_flight == 0 {
            self.busy.remove(&index);
        }
        Some(backend)
    }

    /// Those with attempts in flight, in the order of their indices.
    pub fn busy(&self) -> impl Iterator<Item = &Backend> {
        self.busy.iter().filter_map(|index| self.known.get(index))
    }

    /// The capacity by the summary that the last sample left.
    pub fn summarized_capacity(&self, now: f64, slow_start: &SlowStart) -> FleetCapacity {
        let Summary { ready, warming, warm_weight, listed_weight, .. } = &self.summary;
        let warming = warming.iter().filter_map(|index| self.known.get(index));
        let warming_weight = warming.map(|backend| backend.effective_weight(now, slow_start)).sum::<f64>();
        FleetCapacity {
            ready_count: ready.len(),
            effective_weight: warm_weight + warming_weight,
            listed_weight: *listed_weight,
        }
    }

    /// The capacity of the given backends, each looked at.
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

    /// Draws backends that may get attempts, and backends that there is a connection to.
    pub fn sample(&mut self, now: f64, rng: &mut impl Rng, settings: &SampleSettings) -> Sample {
        let is_warming_old = now - self.summary.computed_at > settings.warming_check_interval
            && !self.summary.warming.is_empty();
        if self.summary.outdated || is_warming_old {
            self.summarize(now, settings.slow_start);
        }
        let ready = sample_indices(rng, settings.size, &self.summary.ready);
        let connected = self.sample_connected(rng, settings);
        Sample { ready, connected }
    }

    /// Draws among the connected backends, and drops those drawn whose connections have closed.
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
        self.known.get(&index).is_some_and(|backend| {
            let was_connected = backend.streak(OutcomeKind::CONNECTION, idle_since) > 0;
            backend.accepts_attempts() && (backend.in_flight > 0 || was_connected)
        })
    }

    fn summarize(&mut self, now: f64, slow_start: &SlowStart) {
        let listed_weight = listed_weight(self.values());
        let mut summary = Summary { computed_at: now, listed_weight, ..Summary::default() };
        for (index, backend) in self.known.iter().filter(|(_, backend)| backend.accepts_attempts()) {
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
        &self.known[index]
    }
}
