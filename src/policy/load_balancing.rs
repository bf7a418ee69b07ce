//! Selects the backend for an attempt: of two backends drawn at random, the one with the lower load.
use super::outliers::THROUGHPUT_WINDOW;
use super::PolicyEngine;
use crate::state::{Backend, Sample, SampleSettings};
use crate::types::*;

/// Maximum number of backends that are examined one by one. With more backends, a random sample is examined
/// instead.
const MAX_SCANNED_BACKENDS: usize = 256;
/// Number of backends in a sample. Examining one backend takes 0.23 us (docs/CAPACITY.md), so a sample takes
/// 7 us of the 104 us of processor time that a request may take.
const SAMPLE_SIZE: usize = 32;
/// Interval at which the summary that samples are drawn from is updated for backends that have warmed up, in
/// seconds.
const WARMING_CHECK_INTERVAL: f64 = 1.0;
/// Number of consecutive good outcomes at which a backend is proven: longer streaks are not preferred to this
/// one.
const PROVEN_STREAK: u32 = 3;
/// Maximum backlog of a backend: the time that its units in flight take at its throughput, as a fraction of
/// the latency objective.
const MAX_BACKLOG_FRACTION: f64 = 0.15;
/// Factor on the load of a backend, applied once if attempts to its zone are charged for, and once if no idle
/// connection to it can be reused.
const LOAD_PENALTY: f64 = 1.5;
/// Lower bound of the slowness that a backend's load is multiplied by.
const MIN_SLOWNESS: f64 = 0.5;
/// Upper bound of the slowness that a backend's load is multiplied by.
const MAX_SLOWNESS: f64 = 5.0;
/// Time within which a backend that an operator has put back into service gets its first attempt, in seconds.
/// The instances spread their first attempts over it instead of making them all at once.
const FIRST_ATTEMPT_SPREAD: f64 = 2.0;

/// Zone or cell that a retry must stay in so that its idempotency key is recognized.
#[derive(Clone, Copy)]
pub(super) struct Affinity {
    /// Whether the retry must stay in a zone or in a cell.
    pub scope: KeyScope,
    /// A backend in that zone or cell.
    pub backend: BackendIndex,
}

/// Inputs to the selection of a backend for an attempt.
pub(super) struct Selection<'a> {
    /// Attributes of the request.
    pub attributes: &'a RequestAttributes,
    /// Only backends with at least this fraction of their capacity may get the request.
    pub slow_start_draw: f64,
    /// Backends of earlier attempts of the request.
    pub tried: &'a [BackendIndex],
    /// Zone or cell that a retry is restricted to.
    pub affinity: Option<Affinity>,
}

/// Backends that may get an attempt.
#[derive(Default)]
struct Candidates {
    /// Responsive backends with a short backlog that the request has not tried, including ejected ones that
    /// are due for a trial.
    preferred: Vec<BackendIndex>,
    /// Ejected, unresponsive or already tried backends, for use if there are no others.
    fallback: Vec<BackendIndex>,
    /// Whether backends were left out because their backlog is too long.
    has_saturated: bool,
}

/// Zone or cell that a backend must be in.
#[derive(Clone, Copy)]
struct Location {
    scope: KeyScope,
    /// Index of the zone or cell.
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
    /// Returns the backend for an attempt, or `None` if no backend can take it now.
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
        // Listed starts and drains lower the limit at once, since latencies show them too late.
        let available_limit = self.concurrency.limit * capacity.effective_weight
            / capacity.listed_weight.max(capacity.effective_weight);
        let limit = available_limit * self.priority_fraction(selection.attributes.operation);
        self.concurrency.over_half_used = in_flight * 2.0 > limit;
        if in_flight >= limit.max(capacity.ready_count as f64 / self.instances).max(1.0) {
            // Answers are slow at all backends: no more units may be in flight than are answered in time.
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

    /// Draws a sample if there are too many backends to examine each and the request may go to any of them.
    fn sample_if_many(
        &mut self,
        now: f64,
        selection: &Selection,
        location: Option<Location>,
    ) -> Option<Sample> {
        let kinds = self.failure_rates.kinds().of_request(selection.attributes);
        let any_kind_is_scarce = kinds.into_iter().any(|kind| self.failure_rates.is_scarce(kind));
        if location.is_some() || any_kind_is_scarce || self.backends.len() <= MAX_SCANNED_BACKENDS {
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

    /// Returns the backends at a location that accept new attempts.
    fn accepting(&self, location: Option<Location>) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(move |backend| is_accepting(backend, location))
    }

    /// Returns the units in flight at backends that are expected to answer. While latencies are normal, an
    /// unresponsive backend is assumed to hang, and its units do not count. While answers are slow at all
    /// backends, it may just be slow, and its units count.
    fn units_in_flight(&self, now: f64, selection: &Selection, location: Option<Location>) -> f64 {
        let operation = selection.attributes.operation;
        let p95 = self.latencies.p95(operation);
        let fleet_is_slow = self.latencies.is_fleet_slow(operation);
        let is_counted = |backend: &&Backend| {
            backend.ejection.is_none() && (fleet_is_slow || !self.is_unresponsive(now, backend, p95))
        };
        let busy = self.backends.busy().filter(|backend| is_accepting(backend, location));
        busy.filter(is_counted).map(|backend| backend.in_flight_units).sum()
    }

    /// Returns the fraction of the limit that an operation may fill: its billed value per second of work,
    /// relative to the operation with the highest. An operation may fill all of the limit if nothing is
    /// billed.
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

    /// Classifies backends by whether they may get an attempt.
    fn candidates<'a>(
        &self,
        now: f64,
        selection: &Selection,
        backends: impl Iterator<Item = &'a Backend>,
    ) -> Candidates {
        let Operation { latency_objective, idempotency, .. } =
            self.operations[selection.attributes.operation];
        let p95 = self.latencies.p95(selection.attributes.operation);
        let max_backlog_seconds = MAX_BACKLOG_FRACTION * latency_objective;
        let mut candidates = Candidates::default();
        for backend in backends {
            // A backend in slow start is eligible for its fraction of the requests. With all instances doing
            // so, it gets that fraction of a warm backend's load.
            if backend.capacity_fraction(now, &self.slow_start) < selection.slow_start_draw {
                continue;
            }
            let index = backend.endpoint.backend;
            // Ejected backends are tried with idempotent requests only.
            let is_ejected = backend
                .ejection
                .is_some_and(|ejection| now < ejection.until || idempotency != Idempotency::Idempotent);
            let was_tried = selection.tried.contains(&index);
            let max_backlog_units =
                || (backend.throughput(now, &THROUGHPUT_WINDOW) * max_backlog_seconds).max(1.0);
            if is_ejected || was_tried || self.is_unresponsive(now, backend, p95) {
                candidates.fallback.push(index);
            } else if backend.in_flight_units >= max_backlog_units() {
                candidates.has_saturated = true;
            } else {
                candidates.preferred.push(index);
            }
        }
        candidates
    }

    /// Returns the backends to draw from. These are the preferred ones; if good outcomes of the connection,
    /// the operation or the plan are scarce, only those with the longest recent streaks of them. If no
    /// backend is preferred or saturated, these are the fallback backends that were not tried yet, or else
    /// all fallback backends.
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
        let is_untried = |index: &BackendIndex| !selection.tried.contains(index);
        let untried: Vec<BackendIndex> = fallback.iter().copied().filter(is_untried).collect();
        if untried.is_empty() {
            fallback
        } else {
            untried
        }
    }

    /// Draws two of the preferred backends and returns the one with the lower load. The second is drawn from
    /// those with an idle connection, if there are any: a new connection costs both sides a handshake.
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
        let restored = self.restored_backend_due(now, selection, preferred);
        let first = (self.random_fraction() * preferred.len() as f64) as usize;
        let draw = self.random_fraction();
        let distance = (draw * (preferred.len().max(2) - 1) as f64) as usize + 1;
        let second = (first + distance) % preferred.len();
        let fleet_is_slow = self.latencies.is_fleet_slow(selection.attributes.operation);
        let can_reuse = |index: &&BackendIndex| self.can_reuse(now, &self.backends[*index], fleet_is_slow);
        let reusable: Vec<&BackendIndex> = connected.iter().filter(can_reuse).collect();
        let position = (draw * reusable.len() as f64) as usize;
        let second = reusable.get(position).copied().unwrap_or(&preferred[second]);
        let first = &self.backends[&preferred[first]];
        let second = &self.backends[second];
        let second_wins = self.load(now, second, fleet_is_slow) < self.load(now, first, fleet_is_slow);
        let winner = if second_wins { second } else { first };
        restored.or(Some(winner.endpoint.backend))
    }

    /// Returns a backend that was put back into service and is due for its first attempt. The request's draw
    /// spreads these attempts over time.
    fn restored_backend_due(
        &self,
        now: f64,
        selection: &Selection,
        preferred: &[BackendIndex],
    ) -> Option<BackendIndex> {
        let is_due = |backend: &&Backend| {
            (now - backend.unused_since) * backend.capacity_fraction(now, &self.slow_start)
                > FIRST_ATTEMPT_SPREAD * selection.slow_start_draw
        };
        let mut backends = preferred.iter().map(|index| &self.backends[index]);
        backends.find(is_due).map(|backend| backend.endpoint.backend)
    }

    /// Whether the backend is not slow and is likely to have an idle connection that an attempt can reuse.
    fn can_reuse(&self, now: f64, backend: &Backend, fleet_is_slow: bool) -> bool {
        let since = now - self.attempt_settings.connection_idle_timeout / 2.0;
        !fleet_is_slow && backend.slowness <= 1.0 && backend.has_idle_connection(since)
    }

    /// Returns the load of a backend: its units in flight relative to its weight and current capacity,
    /// multiplied by its relative slowness and by the penalties for crossing zones and for a handshake.
    fn load(&self, now: f64, backend: &Backend, fleet_is_slow: bool) -> f64 {
        let is_remote = backend.crosses_zone(self.attempt_settings.home_zone);
        let needs_handshake = !self.can_reuse(now, backend, fleet_is_slow);
        let factor = LOAD_PENALTY.powi(i32::from(is_remote) + i32::from(needs_handshake));
        let slowness = backend.slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        (backend.in_flight_units + 1.0) * slowness * factor
            / backend.endpoint.weight
            / backend.capacity_fraction(now, &self.slow_start)
    }
}

/// Whether a backend accepts new attempts and is at the location, if there is one.
fn is_accepting(backend: &Backend, location: Option<Location>) -> bool {
    backend.accepts_attempts() && location.is_none_or(|location| location.contains(backend))
}
