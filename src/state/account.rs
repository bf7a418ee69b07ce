//! What is remembered of one customer while requests of it are seen: its lease, its even share, its permits and the counter
//! calls that are in flight for it.
use crate::types::{InstanceRange, RequestIndex};
use std::collections::VecDeque;

/// What a counter call is for.
#[derive(Clone, Copy)]
pub enum CallPurpose {
    /// Adds units that are leased if they fit.
    Lease {
        /// Units asked for.
        units: f64,
        /// The least of them that admits the waiting request.
        required_units: f64,
        /// Units that other instances are estimated to have spent without reporting them.
        peer_estimate: f64,
    },
    /// Corrects a total upwards that lags behind what the token bucket must have refilled.
    Correct {
        /// What the total is to stand at.
        target: f64,
    },
    /// Adds one to the count of requests in flight.
    AcquirePermit,
    /// Gives units or a permit back, reports units spent without a lease, or only reads the total (adding 0).
    Settle,
}

/// A counter call without its answer.
pub struct PendingCall {
    /// The series of the counter that it adds to.
    pub series: u32,
    /// When it was made, seconds.
    pub sent_at: f64,
    /// What it adds.
    pub delta: f64,
    /// The part of `delta` that reports units spent earlier.
    pub debt_repaid: f64,
    /// What it is for.
    pub purpose: CallPurpose,
}

impl PendingCall {
    /// The part of `delta` that other instances are estimated to have spent.
    pub fn peer_estimate(&self) -> f64 {
        match self.purpose {
            CallPurpose::Lease { peer_estimate, .. } => peer_estimate,
            _ => 0.0,
        }
    }
}

/// A customer's quota as this instance sees it. Amounts are units.
#[derive(Default)]
pub struct CustomerAccount {
    /// Index of the customer's plan.
    pub plan: usize,
    /// Units a second that the shared total regains; less than the plan's while some instances do not reach the counter.
    pub refill_rate: f64,
    /// Number of gateway instances that serve the customer, 1 at least.
    pub instance_count: f64,
    /// The gateway instances that serve the customer.
    pub instances: InstanceRange,
    /// When the total was last sent to, or received from, other instances.
    pub gossiped_at: f64,
    /// Number of the current window, which names the counter.
    pub series: u32,
    /// The shared total as last observed.
    pub observed_total: Option<f64>,
    /// When it was observed. What was refilled since is as likely spent by another instance.
    pub observed_at: f64,
    /// Units leased and not yet spent.
    pub leased: f64,
    /// When all of the lease expires.
    pub lease_expires_at: f64,
    /// Billed units less estimated ones, and leases that expired: still to be added to the total.
    pub unsettled: f64,
    /// The even share of the quota that stands in for a lease; negative while in debt.
    pub even_share: f64,
    /// Units spent from the even share that have not been reported to the counter.
    pub unreported: f64,
    /// Units that may still be admitted without a lease under the plan's ceiling.
    pub ceiling_tokens: f64,
    /// Permits for requests in flight, taken or free.
    pub permits_held: usize,
    /// Permits that no request has taken yet, by the series of their counter.
    pub free_permits: Vec<u32>,
    /// Requests that wait for a permit, in the order in which they came.
    pub permit_waiters: Vec<RequestIndex>,
    /// When the even share of permits has one again.
    pub next_local_permit_at: f64,
    /// Until then the cap is taken for full.
    pub permits_exhausted_until: f64,
    /// Calls in flight, in the order in which they were made.
    pub calls: VecDeque<PendingCall>,
    /// Requests that wait for the lease that is being asked for.
    pub lease_waiters: Vec<RequestIndex>,
    /// When the even share was last brought up to date: at the customer's last admission.
    pub last_used_at: f64,
    /// When the customer's timer fires; infinite if none is set.
    pub timer_at: f64,
}

impl CustomerAccount {
    /// Moves on to the window with this number, each `window` seconds long; the last one's total is carried over.
    pub fn enter_window(&mut self, series: u32, window: f64) {
        let windows_passed = f64::from(series.wrapping_sub(self.series));
        let refill = self.refill_rate * window;
        self.observed_total = self.observed_total.map(|total| total - windows_passed * refill);
        self.series = series;
    }

    /// Leases so many units more. All of the lease expires after `lifetime` seconds.
    pub fn extend_lease(&mut self, now: f64, units: f64, lifetime: f64) {
        self.leased = units + self.unspent(now);
        self.lease_expires_at = now + lifetime;
    }

    /// What is left of the lease; 0 once it has expired.
    pub fn unspent(&self, now: f64) -> f64 {
        if now < self.lease_expires_at {
            self.leased
        } else {
            0.0
        }
    }

    /// Whether a lease is being asked for.
    pub fn is_leasing(&self) -> bool {
        self.calls.iter().any(|call| matches!(call.purpose, CallPurpose::Lease { .. }))
    }

    /// How many permits are being asked for.
    pub fn permits_requested(&self) -> usize {
        self.calls.iter().filter(|call| matches!(call.purpose, CallPurpose::AcquirePermit)).count()
    }
}
