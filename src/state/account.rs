//! The account of an active customer: its lease, its even share, its permits and its counter calls in flight.
use crate::types::{InstanceRange, RequestIndex};
use std::collections::VecDeque;

/// Purpose of a counter call.
#[derive(Clone, Copy)]
pub enum CallPurpose {
    /// Requests a lease: adds units to the total, and leases those that fit the quota.
    Lease {
        /// Units requested.
        units: f64,
        /// The minimum of these units that admits the waiting request.
        required_units: f64,
        /// Estimate of the units that other instances have spent without reporting them.
        peer_estimate: f64,
    },
    /// Corrects the total upwards because it lags behind the refill of the token bucket.
    Correct {
        /// The total after the correction, in units.
        target: f64,
    },
    /// Requests a permit: adds one to the counter of requests in flight.
    AcquirePermit,
    /// Returns units or a permit, reports units spent without a lease, or only reads the total (by adding 0).
    Settle,
}

/// A counter call in flight.
pub struct PendingCall {
    /// Series of the counter.
    pub series: u32,
    /// When the call was sent.
    pub sent_at: f64,
    /// Amount that the call adds, in units or permits.
    pub delta: f64,
    /// The part of `delta` that reports debt: units spent earlier, less units returned.
    pub debt_repaid: f64,
    /// Purpose of the call.
    pub purpose: CallPurpose,
}

impl PendingCall {
    /// The part of `delta` that estimates the unreported spending of other instances.
    pub fn peer_estimate(&self) -> f64 {
        match self.purpose {
            CallPurpose::Lease { peer_estimate, .. } => peer_estimate,
            _ => 0.0,
        }
    }
}

/// The state of a customer's quota and permits at this instance. Amounts are in units.
#[derive(Default)]
pub struct CustomerAccount {
    /// Index of the customer's plan.
    pub plan: usize,
    /// Units per second by which the shared token bucket refills; below the plan's rate while some instances cannot reach the
    /// counter.
    pub refill_rate: f64,
    /// Number of gateway instances that serve the customer, at least 1.
    pub instance_count: f64,
    /// The gateway instances that serve the customer.
    pub instances: InstanceRange,
    /// When the total was last sent to or received from other instances by gossip.
    pub gossiped_at: f64,
    /// Series of the current counter: the number of the current time window.
    pub series: u32,
    /// The last observed shared total; `None` before the first observation.
    pub observed_total: Option<f64>,
    /// When the total was observed. Units refilled since then may have been spent by other instances.
    pub observed_at: f64,
    /// Leased units that are not yet spent.
    pub leased: f64,
    /// When the whole lease expires.
    pub lease_expires_at: f64,
    /// Units still to be added to the total, negative to return them: differences between billed and estimated units, and expired
    /// leases.
    pub unsettled: f64,
    /// Units left in the even share of the quota, which is used when the counter is not called; negative while in debt.
    pub even_share: f64,
    /// Units spent from the even share and not yet reported to the counter.
    pub unreported: f64,
    /// Units that the plan's ceiling still admits without a lease.
    pub ceiling_tokens: f64,
    /// Permits for requests in flight that this instance holds, in use or free.
    pub permits_held: usize,
    /// Permits that no request uses yet, each as the series of its counter.
    pub free_permits: Vec<u32>,
    /// Requests that wait for a permit, in the order of arrival.
    pub permit_waiters: Vec<RequestIndex>,
    /// Earliest time at which the next permit of the even share may be taken.
    pub next_local_permit_at: f64,
    /// Until this time the cap on requests in flight is assumed to be reached.
    pub permits_exhausted_until: f64,
    /// Counter calls in flight, in the order in which they were sent.
    pub calls: VecDeque<PendingCall>,
    /// Requests that wait for the answer to a lease call.
    pub lease_waiters: Vec<RequestIndex>,
    /// When the customer's units were last requested; the even share is refilled up to this time.
    pub last_used_at: f64,
    /// When the customer's timer fires; infinite if no timer is set.
    pub timer_at: f64,
}

impl CustomerAccount {
    /// Enters the time window with the number `series`, carrying over the total of the last one. A window lasts `window` seconds.
    pub fn enter_window(&mut self, series: u32, window: f64) {
        let windows_passed = f64::from(series.wrapping_sub(self.series));
        let refill = self.refill_rate * window;
        self.observed_total = self.observed_total.map(|total| total - windows_passed * refill);
        self.series = series;
    }

    /// Adds `units` to the lease. The whole lease then expires after `lifetime` seconds.
    pub fn extend_lease(&mut self, now: f64, units: f64, lifetime: f64) {
        self.leased = units + self.unspent(now);
        self.lease_expires_at = now + lifetime;
    }

    /// Returns the units left in the lease; 0 once it has expired.
    pub fn unspent(&self, now: f64) -> f64 {
        if now < self.lease_expires_at {
            self.leased
        } else {
            0.0
        }
    }

    /// Whether a lease call is in flight.
    pub fn is_leasing(&self) -> bool {
        self.calls.iter().any(|call| matches!(call.purpose, CallPurpose::Lease { .. }))
    }

    /// Returns the number of permit calls in flight.
    pub fn permits_requested(&self) -> usize {
        self.calls.iter().filter(|call| matches!(call.purpose, CallPurpose::AcquirePermit)).count()
    }
}
