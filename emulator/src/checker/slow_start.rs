//! Checks that no backend is overloaded while it warms up.
use super::{Checker, Invariant, SlowStartLimit};
use std::collections::VecDeque;

/// The arrival of an attempt at a backend.
#[derive(Clone, Copy)]
struct Arrival {
    at: f64,
    units: f64,
}

/// A backend that is warming up.
#[derive(Default)]
pub(super) struct WarmingBackend {
    /// Time at which the backend's process started.
    started_at: f64,
    /// Arrivals within the window of the limit.
    arrivals: VecDeque<Arrival>,
    units_in_window: f64,
}

impl WarmingBackend {
    fn record(&mut self, now: f64, units: f64, window: f64) {
        self.arrivals.push_back(Arrival { at: now, units });
        self.units_in_window += units;
        while self.arrivals.front().is_some_and(|arrival| arrival.at < now - window) {
            self.units_in_window -= self.arrivals.pop_front().map_or(0.0, |arrival| arrival.units);
        }
    }
}

impl SlowStartLimit {
    /// Returns the maximum number of units that may arrive within one window at a backend that started `age` seconds ago.
    fn max_units(&self, age: f64) -> f64 {
        let mid_window_age = (age - self.window / 2.0).max(0.0);
        let fraction = self.initial_fraction + (1.0 - self.initial_fraction) * mid_window_age / self.duration;
        self.overload_factor * self.capacity * fraction.min(1.0) * self.window
    }
}

impl Checker {
    /// Records that a backend's process started and is warming up.
    pub fn backend_started(&mut self, now: f64, backend: usize) {
        self.warming.insert(backend, WarmingBackend { started_at: now, ..WarmingBackend::default() });
    }

    /// Records that an attempt arrived completely at a backend, and checks that a backend that is warming up is not overloaded.
    pub fn attempt_arrived(&mut self, now: f64, backend: usize, units: f64) {
        let limit = self.limits.slow_start;
        let Some(warming) = self.warming.get_mut(&backend) else { return };
        let age = now - warming.started_at;
        if age > limit.duration {
            self.warming.remove(&backend);
            return;
        }
        self.coverage.slow_start_checks += 1;
        warming.record(now, units, limit.window);
        let max_units = limit.max_units(age);
        if age >= limit.window && warming.units_in_window > max_units {
            let message = format!(
                "backend {backend}, started {age:.2} s ago, received {:.0} units within {} s, limit {max_units:.0}",
                warming.units_in_window, limit.window
            );
            self.record_violation(Invariant::SlowStart, now, message);
        }
    }
}
