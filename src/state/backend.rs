//! What is remembered of one backend.
use super::OutcomeKind;
use crate::types::{Endpoint, EndpointStatus, SlowStart};

/// An outlier that gets no new attempts for a while.
#[derive(Clone, Copy)]
pub struct Ejection {
    /// When it began, seconds.
    pub started_at: f64,
    /// When trials may begin.
    pub until: f64,
    /// Seconds; the next ejection in a row is longer.
    pub duration: f64,
}

/// Good outcomes in a row, of one kind.
#[derive(Clone, Copy)]
pub struct Streak {
    /// When the kind was last observed.
    pub observed_at: f64,
    /// How many.
    pub successes: u32,
}

/// How the throughput of a backend is averaged.
#[derive(Clone, Copy)]
pub struct ThroughputWindow {
    /// Answers decay exponentially with this time constant, seconds.
    pub time_constant: f64,
    /// A backend counts as observed for so many seconds longer than it is listed.
    pub initial_observation: f64,
}

/// A backend as the endpoint list has it, and what this instance has seen of it.
#[derive(Default)]
pub struct Backend {
    /// What the endpoint list says of it.
    pub endpoint: Endpoint,
    /// Attempts in flight there.
    pub in_flight: usize,
    /// Their units together.
    pub in_flight_units: f64,
    /// Its 95th percentile of answer times against that of all backends.
    pub slowness: f64,
    /// When it last answered, or was sent its first attempt after none was in flight.
    pub last_progress_at: f64,
    /// Failures in a row, since its last success.
    pub consecutive_failures: u32,
    /// Set while it is an outlier.
    pub ejection: Option<Ejection>,
    /// Since when an operator has taken it out of service.
    pub maintenance_since: Option<f64>,
    /// When an operator put it back into service: it counts as started then, whatever the endpoint list says.
    pub restored_at: f64,
    /// Put back into service then, and not used since; infinite if it was.
    pub unused_since: f64,
    /// Units answered, decaying exponentially from `answered_at` on.
    pub answered_units: f64,
    /// When it last answered.
    pub answered_at: f64,
    /// Since when the endpoint list has had it as it is.
    pub listed_at: f64,
    /// When its recovery was last sent to, or received from, other instances.
    pub recovery_gossiped_at: f64,
    /// By [`OutcomeKind::index`].
    pub streaks: Vec<Streak>,
}

impl Backend {
    /// One that has just been listed, without any outcome of these kinds.
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

    /// Units a second that it has answered, averaged over about the time constant of the window.
    pub fn throughput(&self, now: f64, window: &ThroughputWindow) -> f64 {
        let ThroughputWindow { time_constant, initial_observation } = *window;
        let weight_before = ((self.listed_at - now - initial_observation) / time_constant).exp();
        self.recent_units(now, window) / (time_constant * (1.0 - weight_before))
    }

    /// Units answered, decayed until now.
    fn recent_units(&self, now: f64, window: &ThroughputWindow) -> f64 {
        self.answered_units * ((self.answered_at - now) / window.time_constant).exp()
    }

    /// Counts an answer of so many units.
    pub fn record_answer(&mut self, now: f64, units: f64, window: &ThroughputWindow) {
        self.answered_units = self.recent_units(now, window) + units;
        self.answered_at = now;
    }

    /// Whether an idle connection to it, last used after `since`, can be expected.
    pub fn has_idle_connection(&self, since: f64) -> bool {
        self.in_flight == 0 && self.streak(OutcomeKind::CONNECTION, since) > 0
    }

    /// Whether it is in another zone than `home`; never where crossing zones is free (`None`).
    pub fn crosses_zone(&self, home: Option<usize>) -> bool {
        home.is_some_and(|zone| zone != self.endpoint.zone)
    }

    /// Whether it is listed and yet gets nothing new.
    pub fn is_unavailable(&self) -> bool {
        self.endpoint.status != EndpointStatus::Removed
            && (!self.accepts_attempts() || self.ejection.is_some())
    }

    /// Whether it may get new attempts, ejections apart.
    pub fn accepts_attempts(&self) -> bool {
        self.endpoint.status == EndpointStatus::Ready && self.maintenance_since.is_none()
    }

    /// Seconds since its start, as far as that is known.
    fn age(&self, now: f64) -> f64 {
        now - self.endpoint.started_at.map_or(self.restored_at, |started| started.max(self.restored_at))
    }

    /// The fraction of its capacity that it has at least, by the time since its start.
    pub fn capacity_fraction(&self, now: f64, slow_start: &SlowStart) -> f64 {
        slow_start.capacity_fraction(self.age(now))
    }

    /// Its weight times that fraction.
    pub fn effective_weight(&self, now: f64, slow_start: &SlowStart) -> f64 {
        self.endpoint.weight * self.capacity_fraction(now, slow_start)
    }

    /// The same backend after a restart. Attempts in flight there stay so, and an operator's order stands.
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

    /// Counts an attempt of so many units as in flight.
    pub fn add_attempt(&mut self, units: f64) {
        self.in_flight += 1;
        self.in_flight_units += units;
    }

    /// An attempt of so many units is no longer its work; 0 units if it was taken off before.
    pub fn remove_attempt(&mut self, units: f64) {
        self.in_flight = self.in_flight.saturating_sub(usize::from(units > 0.0));
        self.in_flight_units = if self.in_flight > 0 { (self.in_flight_units - units).max(0.0) } else { 0.0 };
    }

    /// An operator takes it out of service from `since` on, or puts it back (`None`). One that is put back counts as just
    /// started, unless the endpoint list has reported a start since it was taken out.
    pub fn set_maintenance(&mut self, now: f64, since: Option<f64>) {
        let ended = self.maintenance_since.filter(|_| since.is_none());
        if let Some(out_since) = ended {
            let start_is_listed = self.endpoint.started_at.is_some_and(|started| started > out_since);
            let restored_at = if start_is_listed { self.restored_at } else { now };
            *self = Backend { restored_at, unused_since: now, ..self.restarted(now, self.endpoint) };
        }
        self.maintenance_since = since;
    }

    /// Good outcomes of a kind in a row; 0 if the kind was not observed after `since`.
    pub fn streak(&self, kind: OutcomeKind, since: f64) -> u32 {
        let streak = self.streaks[kind.index()];
        if streak.observed_at > since {
            streak.successes
        } else {
            0
        }
    }

    /// Counts an outcome of a kind.
    pub fn record_streak(&mut self, now: f64, kind: OutcomeKind, success: bool) {
        let streak = &mut self.streaks[kind.index()];
        streak.successes = if success { streak.successes + 1 } else { 0 };
        streak.observed_at = now;
    }
}
