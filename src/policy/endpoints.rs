//! Applies the endpoint list and operators' orders: which backends exist, and which are out of service.
use super::PolicyEngine;
use crate::state::TimerKind;
use crate::types::*;

/// Mean delay before the endpoint list is requested again after a failure, in seconds. Each delay is drawn
/// from half to one and a half times the mean, so that the instances do not retry at the same time.
const ENDPOINT_RETRY_PAUSE: f64 = 2.0;

impl PolicyEngine {
    /// Applies the endpoint list or changes to it. Backends that a snapshot does not list are removed.
    pub fn update_endpoints(&mut self, now: f64, is_snapshot: bool, endpoints: &[Endpoint]) {
        if self.backends.is_empty() {
            // `PolicyEngine::new` gets neither the number of backends nor the time, so the state that depends
            // on them is initialized here.
            self.concurrency.reset(endpoints.len(), self.instances);
            self.counter.start(now);
        }
        self.backends.update_endpoints(now, is_snapshot, endpoints, self.failure_rates.kinds().count());
    }

    /// Schedules another request for the endpoint list after a failed fetch or a broken watch.
    pub fn endpoint_fetch_failed(&mut self, now: f64) {
        let at = now + ENDPOINT_RETRY_PAUSE * (0.5 + self.random_fraction());
        self.timers.schedule(at, TimerKind::FetchEndpoints);
    }

    /// Takes a backend out of service from `since` on, or puts it back (`None`), by order of an operator. A
    /// backend that is put back starts without its earlier outcomes.
    pub fn set_manual_ejection(&mut self, now: f64, backend: BackendIndex, since: Option<f64>) {
        self.backends.set_maintenance(now, backend, since);
    }

    /// Returns the number of listed backends that get no new attempts: draining, out of service or ejected.
    pub fn unavailable_backends(&self) -> usize {
        self.backends.values().filter(|backend| backend.is_unavailable()).count()
    }

    /// Drops the state of a removed backend that has no attempts in flight. The caller may then reuse its
    /// index.
    pub fn forget_backend(&mut self, backend: BackendIndex) {
        self.backends.forget(backend);
    }
}
