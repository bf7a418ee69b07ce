//! What the endpoint list and operators say of backends: which there are, and which are out of service.
use super::PolicyEngine;
use crate::state::TimerKind;
use crate::types::*;

/// Mean pause before the endpoint list is requested again after a failure, seconds. Drawn from half of it to one and a half, so
/// that instances do not come back together.
const ENDPOINT_RETRY_PAUSE: f64 = 2.0;

impl PolicyEngine {
    /// Takes up the endpoint list, or what changed in it. What a snapshot lacks is removed.
    pub fn update_endpoints(&mut self, now: f64, is_snapshot: bool, endpoints: &[Endpoint]) {
        if self.backends.is_empty() {
            // The first call with a time.
            self.concurrency.reset(endpoints.len(), self.instances);
            self.counter.start(now);
        }
        self.backends.update_endpoints(now, is_snapshot, endpoints, self.failure_rates.kinds().count());
    }

    /// The endpoint list could not be had, or its watch broke off: it is requested again after a pause.
    pub fn endpoint_fetch_failed(&mut self, now: f64) {
        let at = now + ENDPOINT_RETRY_PAUSE * (0.5 + self.random_fraction());
        self.timers.schedule(at, TimerKind::FetchEndpoints);
    }

    /// An operator takes a backend out of service from `since` on, or puts it back (`None`): what was known of it is past.
    pub fn set_manual_ejection(&mut self, now: f64, backend: BackendIndex, since: Option<f64>) {
        self.backends.set_maintenance(now, backend, since);
    }

    /// How many listed backends get nothing new now: draining, out of service or ejected.
    pub fn unavailable_backends(&self) -> usize {
        self.backends.values().filter(|backend| backend.is_unavailable()).count()
    }

    /// Forgets a removed backend that nothing in flight has to do with any more. Its index may name another one from now on.
    pub fn forget_backend(&mut self, backend: BackendIndex) {
        self.backends.forget(backend);
    }
}
