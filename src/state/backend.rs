//! The state of one backend.
use super::OutcomeKind;
use crate::types::{Endpoint, EndpointStatus, SlowStart};

/// The ejection of an outlier, during which it gets no new attempts.
#[derive(Clone, Copy)]
pub struct Ejection {
    /// When the ejection started.
    pub started_at: f64,
    /// When the backend may be tried again.
    pub until: f64,
    /// Duration of the ejection, in seconds. Each further ejection without a success in between lasts longer.
    pub duration: f64,
}

/// Consecutive successes of one kind of outcome.
#[derive(Clone, Copy)]
pub struct Streak {
    /// When an outcome of the kind was last observed.
    pub observed_at: f64,
    /// Number of consecutive successes.
    pub successes: u32,
}

/// How the throughput of a backend is averaged.
#[derive(Clone, Copy)]
pub struct ThroughputWindow {
    /// Time constant of the exponential decay of answers, in seconds.
    pub time_constant: f64,
    /// Seconds added to the time since a backend was listed, so that its first answers do not yield an excessive rate.
    pub initial_observation: f64,
}

/// A backend: its entry on the endpoint list, and the observations of this instance.
#[derive(Default)]
pub struct Backend {
    /// Its entry on the endpoint list.
    pub endpoint: Endpoint,
    /// Number of attempts in flight from this instance.
    pub in_flight: usize,
    /// Total units of the attempts in flight.
    pub in_flight_units: f64,
    /// Ratio of the 95th percentile of its latency to that of all backends.
    pub slowness: f64,
    /// When the backend last answered, or was sent an attempt while it had none in flight.
    pub last_progress_at: f64,
    /// Number of failures since its last success.
    pub consecutive_failures: u32,
    /// The ejection, while the backend is an outlier.
    pub ejection: Option<Ejection>,
    /// When an operator took it out of service; `None` while it is in service.
    pub maintenance_since: Option<f64>,
    /// When an operator put it back into service. The backend counts as started then, unless the endpoint list has a later start.
    pub restored_at: f64,
    /// When it was put back into service, if it has had no attempt since; otherwise infinite.
    pub unused_since: f64,
    /// Units answered, with exponential decay, as of `answered_at`.
    pub answered_units: f64,
    /// When the backend last answered.
    pub answered_at: f64,
    /// When the backend was first listed, or first listed after its last restart.
    pub listed_at: f64,
    /// When its recovery was last sent to or received from other instances by gossip.
    pub recovery_gossiped_at: f64,
    /// Streaks, indexed by [`OutcomeKind::index`].
    pub streaks: Vec<Streak>,
}

impl Backend {
    /// Creates a newly listed backend without outcomes. `kinds` is the number of outcome kinds.
    pub fn new(now: f64, endpoint: Endpoint, kinds: usize) -> Backend {
        Backend {
            endpoint,
            slowness: 1.0,
            last_progress_at: now,
            answered_at: now,
            listed_at: now,
            streaks: vec![Streak { observed_at: now, successes: 0 }; kinds],
            restored_at: f64::NEG_INFINITY,
            unused_since: f64::INFINITY,
            ..Backend::default()
        }
    }

    /// Returns the units per second that it has answered, averaged over about the time constant of the window.
    pub fn throughput(&self, now: f64, window: &ThroughputWindow) -> f64 {
        let ThroughputWindow { time_constant, initial_observation } = *window;
        let weight_before = ((self.listed_at - now - initial_observation) / time_constant).exp();
        self.recent_units(now, window) / (time_constant * (1.0 - weight_before))
    }

    /// Returns the units answered, decayed up to `now`.
    fn recent_units(&self, now: f64, window: &ThroughputWindow) -> f64 {
        self.answered_units * ((self.answered_at - now) / window.time_constant).exp()
    }

    /// Adds an answer of `units` to the throughput.
    pub fn record_answer(&mut self, now: f64, units: f64, window: &ThroughputWindow) {
        self.answered_units = self.recent_units(now, window) + units;
        self.answered_at = now;
    }

    /// Whether this instance probably has an idle connection to the backend, last used after `since`.
    pub fn has_idle_connection(&self, since: f64) -> bool {
        self.in_flight == 0 && self.streak(OutcomeKind::CONNECTION, since) > 0
    }

    /// Whether the backend is outside of the zone `home`; false for `None`, which means that crossing zones is free.
    pub fn crosses_zone(&self, home: Option<usize>) -> bool {
        home.is_some_and(|zone| zone != self.endpoint.zone)
    }

    /// Whether the backend is listed but gets no new attempts.
    pub fn is_unavailable(&self) -> bool {
        self.endpoint.status != EndpointStatus::Removed
            && (!self.accepts_attempts() || self.ejection.is_some())
    }

    /// Whether the backend may get new attempts, regardless of ejections.
    pub fn accepts_attempts(&self) -> bool {
        self.endpoint.status == EndpointStatus::Ready && self.maintenance_since.is_none()
    }

    /// Seconds since its start; infinite if no start is known.
    fn age(&self, now: f64) -> f64 {
        now - self.endpoint.started_at.map_or(self.restored_at, |started| started.max(self.restored_at))
    }

    /// Returns the minimum fraction of its full capacity, by the time since its start.
    pub fn capacity_fraction(&self, now: f64, slow_start: &SlowStart) -> f64 {
        slow_start.capacity_fraction(self.age(now))
    }

    /// Returns its weight multiplied by its capacity fraction.
    pub fn effective_weight(&self, now: f64, slow_start: &SlowStart) -> f64 {
        self.endpoint.weight * self.capacity_fraction(now, slow_start)
    }

    /// Returns the backend after a restart: without outcomes, but with its attempts in flight and its maintenance state.
    pub fn restarted(&self, now: f64, endpoint: Endpoint) -> Backend {
        Backend {
            in_flight: self.in_flight,
            in_flight_units: self.in_flight_units,
            maintenance_since: self.maintenance_since,
            restored_at: self.restored_at,
            unused_since: self.unused_since,
            ..Backend::new(now, endpoint, self.streaks.len())
        }
    }

    /// Adds an attempt of `units` to those in flight.
    pub fn add_attempt(&mut self, units: f64) {
        self.in_flight += 1;
        self.in_flight_units += units;
    }

    /// Removes an attempt of `units` from those in flight; does nothing for an attempt of 0 units, which was removed before.
    pub fn remove_attempt(&mut self, units: f64) {
        self.in_flight = self.in_flight.saturating_sub(usize::from(units > 0.0));
        self.in_flight_units = if self.in_flight > 0 { (self.in_flight_units - units).max(0.0) } else { 0.0 };
    }

    /// Takes the backend out of service as of `since`, or puts it back (`None`), as ordered by an operator. A backend that is put
    /// back counts as just started, unless the endpoint list has reported a start since it was taken out.
    pub fn set_maintenance(&mut self, now: f64, since: Option<f64>) {
        let ended_maintenance = self.maintenance_since.filter(|_| since.is_none());
        if let Some(maintenance_start) = ended_maintenance {
            let start_is_listed = self.endpoint.started_at.is_some_and(|started| started > maintenance_start);
            let restored_at = if start_is_listed { self.restored_at } else { now };
            *self = Backend { restored_at, unused_since: now, ..self.restarted(now, self.endpoint) };
        }
        self.maintenance_since = since;
    }

    /// Returns the consecutive successes of a kind of outcome; 0 if the kind was not observed after `since`.
    pub fn streak(&self, kind: OutcomeKind, since: f64) -> u32 {
        let streak = self.streaks[kind.index()];
        if streak.observed_at > since {
            streak.successes
        } else {
            0
        }
    }

    /// Records an outcome of a kind.
    pub fn record_streak(&mut self, now: f64, kind: OutcomeKind, success: bool) {
        let streak = &mut self.streaks[kind.index()];
        streak.successes = if success { streak.successes + 1 } else { 0 };
        streak.observed_at = now;
    }
}
