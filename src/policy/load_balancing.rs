//! Which backend gets an attempt: two are drawn at random among those in good standing, and the one with the lower load wins.
use super::outliers::THROUGHPUT_WINDOW;
use super::PolicyEngine;
use crate::state::{Backend, Sample, SampleSettings};
use crate::types::*;

/// Up to so many backends are looked at one by one; of more, a sample is drawn.
const MAX_SCANNED_BACKENDS: usize = 256;
/// The size of that sample. A look at one backend takes 0.23 us (docs/CAPACITY.md): 7 us of the 104 us of processor time that a
/// request may take.
const SAMPLE_SIZE: usize = 32;
/// How often the sample's summary looks which backends have warmed up, seconds.
const WARMING_CHECK_INTERVAL: f64 = 1.0;
/// So many good outcomes in a row are as good as any.
const PROVEN_STREAK: u32 = 3;
/// A backend's attempts in flight may fill this fraction of the latency objective at the pace of its answers.
const MAX_BACKLOG_FRACTION: f64 = 0.15;
/// The load of a backend counts so many times if its zone is charged for, and again if there is no connection to it.
const REMOTE_LOAD_FACTOR: f64 = 1.5;
/// Bounds of the slowness that a backend's load is multiplied by.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 5.0;
/// A backend that an operator put back into service is tried within about so long, seconds, not by all instances at once.
const RESTORED_TRIAL_SPAN: f64 = 2.0;

/// Where a retry has to stay for its idempotency key to be known.
#[derive(Clone, Copy)]
pub(super) struct Affinity {
    /// The zone or the cell.
    pub scope: KeyScope,
    /// The backend whose zone or cell it is.
    pub backend: BackendIndex,
}

/// What an attempt is for.
pub(super) struct Selection<'a> {
    /// The request that it belongs to.
    pub attributes: &'a RequestAttributes,
    /// Only backends with more than this fraction of their capacity are open to the request.
    pub slow_start_draw: f64,
    /// Backends of earlier attempts.
    pub tried: &'a [BackendIndex],
    /// Set where a retry is bound to a zone or cell.
    pub affinity: Option<Affinity>,
}

/// Backends sorted by whether they are open to a request.
#[derive(Default)]
struct Candidates {
    preferred: Vec<BackendIndex>,
    /// Ejected, unresponsive or tried before: for want of others.
    fallback: Vec<BackendIndex>,
    /// Some are left out since their backlog fills enough of the objective.
    has_saturated: bool,
}

/// The zone or cell that a backend has to be in.
#[derive(Clone, Copy)]
struct Location {
    scope: KeyScope,
    number: usize,
}

impl Location {
    fn of(backend: &Backend, scope: KeyScope) -> Location {
        let number = if scope == KeyScope::Zone { backend.endpoint.zone } else { backend.endpoint.cell };
        Location { scope, number }
    }

    fn contains(self, backend: &Backend) -> bool {
        Location::of(backend, self.scope).number == self.number
    }
}

impl PolicyEngine {
    /// The backend for an attempt; `None` if none can take it now.
    pub(super) fn pick_backend(&mut self, now: f64, selection: &Selection) -> Option<BackendIndex> {
        let location = selection.affinity.and_then(|affinity| {
            self.backends.get(affinity.backend).map(|backend| Location::of(backend, affinity.scope))
        });
        let sample = self.sample_if_many(now, selection, location);
        let capacity = match &sample {
            Some(_) => self.backends.summarized_capacity(now, &self.slow_start),
            None => self.backends.capacity_of(now, &self.slow_start, self.accepting(location)),
        };
        let in_flight = self.units_in_flight(now, selection, location);
        // What the list says of starts and drains lowers the limit at once: answers say it too late.
        let available = self.concurrency.limit * capacity.effective_weight
            / capacity.listed_weight.max(capacity.effective_weight);
        let limit = available * self.priority_fraction(selection.attributes.operation);
        self.concurrency.half_used = in_flight * 2.0 > limit;
        if in_flight >= limit.max(capacity.ready_count as f64 / self.instances).max(1.0) {
            // Answers slow down everywhere: no more in flight than come back in time.
            self.concurrency.reached_at = now;
            return None;
        }
        let connected = sample
            .as_ref()
            .map(|sample| self.sampled_candidates(now, selection, &sample.connected).preferred);
        let sampled = sample.map(|sample| self.sampled_candidates(now, selection, &sample.ready));
        let candidates = sampled
            .filter(|candidates| !candidates.preferred.is_empty())
            .unwrap_or_else(|| self.candidates(now, selection, self.accepting(location)));
        let preferred = self.prefer_proven(now, selection, candidates);
        self.pick_of_two(now, selection, &preferred, connected.as_ref().unwrap_or(&preferred))
    }

    /// A sample, where there are too many backends to look at each and any of them will do.
    fn sample_if_many(
        &mut self,
        now: f64,
        selection: &Selection,
        location: Option<Location>,
    ) -> Option<Sample> {
        let kinds = self.failure_rates.kinds().of_request(selection.attributes);
        let something_is_scarce = kinds.into_iter().any(|kind| self.failure_rates.is_scarce(kind));
        if location.is_some() || something_is_scarce || self.backends.len() <= MAX_SCANNED_BACKENDS {
            return None;
        }
        let settings = SampleSettings {
            size: SAMPLE_SIZE,
            idle_since: now - self.attempt_settings.connection_idle_timeout / 2.0,
            warming_check_interval: WARMING_CHECK_INTERVAL,
            slow_start: &self.slow_start,
        };
        Some(self.backends.sample(now, &mut self.rng, &settings))
    }

    /// The backends at a location that accept new attempts.
    fn accepting(&self, location: Option<Location>) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(move |backend| is_accepting(backend, location))
    }

    /// Units in flight at backends that are expected to answer. Where answers come as fast as ever, a silent backend hangs and
    /// does not count; where they are slow, it may be slow too.
    fn units_in_flight(&self, now: f64, selection: &Selection, location: Option<Location>) -> f64 {
        let operation = selection.attributes.operation;
        let p95 = self.latencies.p95(operation);
        let fleet_is_slow = self.latencies.is_fleet_slow(operation);
        let counts = |backend: &&Backend| {
            backend.ejection.is_none() && (fleet_is_slow || !self.is_unresponsive(now, backend, p95))
        };
        let busy = self.backends.busy().filter(|backend| is_accepting(backend, location));
        busy.filter(counts).map(|backend| backend.in_flight_units).sum()
    }

    /// The fraction of the limit that an operation may fill: what is billed for its work against the operation that is billed
    /// most. All of it where nothing is billed.
    fn priority_fraction(&self, operation: usize) -> f64 {
        let priority = |operation: usize| {
            self.operations[operation].billed_value / self.latencies.least_median(operation)
        };
        let highest = (0..self.operations.len()).map(priority).fold(0.0, f64::max);
        (priority(operation) / highest).min(1.0)
    }

    fn sampled_candidates(&self, now: f64, selection: &Selection, sample: &[BackendIndex]) -> Candidates {
        let backends = sample.iter().filter_map(|index| self.backends.get(*index));
        self.candidates(now, selection, backends)
    }

    /// Sorts backends by whether they are open to a request.
    fn candidates<'a>(
        &self,
        now: f64,
        selection: &Selection,
        backends: impl Iterator<Item = &'a Backend>,
    ) -> Candidates {
        let Operation { latency_objective, idempotency, .. } =
            self.operations[selection.attributes.operation];
        let p95 = self.latencies.p95(selection.attributes.operation);
        let backlog_time = MAX_BACKLOG_FRACTION * latency_objective;
        let mut candidates = Candidates::default();
        for backend in backends {
            // A backend that warms up is open to its fraction of the requests: with all instances doing so it gets that fraction
            // of a warm one's load.
            if backend.capacity_fraction(now, &self.slow_start) < selection.slow_start_draw {
                continue;
            }
            let index = backend.endpoint.backend;
            // Ejected backends are tried with idempotent requests only.
            let is_ejected = backend
                .ejection
                .is_some_and(|ejection| now < ejection.until || idempotency != Idempotency::Idempotent);
            let was_tried = selection.tried.contains(&index);
            let backlog = || (backend.throughput(now, &THROUGHPUT_WINDOW) * backlog_time).max(1.0);
            if is_ejected || was_tried || self.is_unresponsive(now, backend, p95) {
                candidates.fallback.push(index);
            } else if backend.in_flight_units >= backlog() {
                candidates.has_saturated = true;
            } else {
                candidates.preferred.push(index);
            }
        }
        candidates
    }

    /// Where connections, or good answers to the operation or under the plan, are scarce: those that give them. Where no
    /// backend is in good standing: those that were not tried yet, then any.
    fn prefer_proven(&self, now: f64, selection: &Selection, candidates: Candidates) -> Vec<BackendIndex> {
        let Candidates { mut preferred, fallback, has_saturated } = candidates;
        let since = now - self.attempt_settings.connection_idle_timeout;
        let kinds = self.failure_rates.kinds().of_request(selection.attributes);
        for kind in kinds.into_iter().filter(|kind| self.failure_rates.is_scarce(*kind)) {
            let streak = |index: &BackendIndex| self.backends[index].streak(kind, since);
            let longest = preferred.iter().map(streak).max().unwrap_or(0).min(PROVEN_STREAK);
            preferred.retain(|index| streak(index) >= longest);
        }
        if !preferred.is_empty() || has_saturated {
            return preferred;
        }
        let is_new = |index: &BackendIndex| !selection.tried.contains(index);
        let new: Vec<BackendIndex> = fallback.iter().copied().filter(is_new).collect();
        if new.is_empty() {
            fallback
        } else {
            new
        }
    }

    /// Draws two of the preferred backends and takes the one with the lower load. The second is one with an idle connection, if
    /// there is any: a new one costs both sides a handshake.
    fn pick_of_two(
        &mut self,
        now: f64,
        selection: &Selection,
        preferred: &[BackendIndex],
        connected: &[BackendIndex],
    ) -> Option<BackendIndex> {
        if preferred.is_empty() {
            return None;
        }
        let restored = self.restored_for_trial(now, selection, preferred);
        let first = (self.random_fraction() * preferred.len() as f64) as usize;
        let draw = self.random_fraction();
        let distance = (draw * (preferred.len().max(2) - 1) as f64) as usize + 1;
        let second = (first + distance) % preferred.len();
        let fleet_is_slow = self.latencies.is_fleet_slow(selection.attributes.operation);
        let is_idle = |index: &&BackendIndex| self.is_idle(now, &self.backends[*index], fleet_is_slow);
        let idle: Vec<&BackendIndex> = connected.iter().filter(is_idle).collect();
        let position = (draw * idle.len() as f64) as usize;
        let second = idle.get(position).copied().unwrap_or(&preferred[second]);
        let first = &self.backends[&preferred[first]];
        let second = &self.backends[second];
        let second_wins = self.load(now, second, fleet_is_slow) < self.load(now, first, fleet_is_slow);
        let winner = if second_wins { second } else { first };
        restored.or(Some(winner.endpoint.backend))
    }

    /// A backend that was put back into service and whose first trial is due. The draw of the request spreads the trials.
    fn restored_for_trial(
        &self,
        now: f64,
        selection: &Selection,
        preferred: &[BackendIndex],
    ) -> Option<BackendIndex> {
        let is_due = |backend: &&Backend| {
            (now - backend.unused_since) * backend.capacity_fraction(now, &self.slow_start)
                > RESTORED_TRIAL_SPAN * selection.slow_start_draw
        };
        let mut backends = preferred.iter().map(|index| &self.backends[index]);
        backends.find(is_due).map(|backend| backend.endpoint.backend)
    }

    /// Whether an idle connection to a fast backend can be expected.
    fn is_idle(&self, now: f64, backend: &Backend, fleet_is_slow: bool) -> bool {
        let since = now - self.attempt_settings.connection_idle_timeout / 2.0;
        !fleet_is_slow && backend.slowness <= 1.0 && backend.has_idle_connection(since)
    }

    /// The units in flight at a backend against its weight, its slowness beside the others and the capacity it has so far.
    fn load(&self, now: f64, backend: &Backend, fleet_is_slow: bool) -> f64 {
        let is_remote = backend.crosses_zone(self.attempt_settings.home_zone);
        let needs_handshake = !self.is_idle(now, backend, fleet_is_slow);
        let factor = REMOTE_LOAD_FACTOR.powi(i32::from(is_remote) + i32::from(needs_handshake));
        let slowness = backend.slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        (backend.in_flight_units + 1.0) * slowness * factor
            / backend.endpoint.weight
            / backend.capacity_fraction(now, &self.slow_start)
    }
}

fn is_accepting(backend: &Backend, location: Option<Location>) -> bool {
    backend.accepts_attempts() && location.is_none_or(|location| location.contains(backend))
}
