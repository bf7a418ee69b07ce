//! The gateway instance's record of a tenant, and when it admits a request on credit.
use quillramp_lease::client::RequestId;

/// Fraction of the burst that has to be available for credit.
const CREDIT_THRESHOLD_FRACTION: f64 = 0.5;
/// Time for which a response about available units counts, seconds.
const RESPONSE_LIFETIME: f64 = 120.0;
/// Most requests of a tenant on credit whose report has not been answered.
const MAX_CREDIT_REQUESTS: usize = 1;
/// The same for a tenant with a large quota, as a fraction of the burst.
const MAX_CREDIT_FRACTION: f64 = 0.01;
/// A lease covers the requests that this gateway instance sees of the tenant in this time, seconds; at least
/// one.
const LEASE_HORIZON: f64 = 2.0;
/// Time constant of a tenant's request rate, seconds.
const RATE_TIME_CONSTANT: f64 = 10.0;

/// When a request without a lease is admitted before its shard has been asked for units.
#[derive(Clone, Copy, PartialEq)]
pub enum CreditRule {
    Never,
    /// A recent response reported plenty of available units.
    IfPlentyReported,
    /// As [`CreditRule::IfPlentyReported`], and where no recent response is known.
    UnlessShortReported,
}

impl CreditRule {
    /// Its name in the CSV.
    pub fn name(self) -> &'static str {
        match self {
            CreditRule::Never => "Never",
            CreditRule::IfPlentyReported => "RoomTold",
            CreditRule::UnlessShortReported => "UnlessShort",
        }
    }
}

/// One tenant at the gateway instance; times in seconds.
#[derive(Default, Clone)]
pub struct Account {
    /// Units of the lease that are left.
    pub leased_units: f64,
    /// Units available at the shard according to its last response.
    pub available_units: u32,
    /// When the shard last responded.
    pub last_response_at: f64,
    /// Requests per second.
    request_rate: f64,
    last_request_at: f64,
    /// The request for a lease that has not been answered.
    pub lease_request: Option<RequestId>,
    /// Requests on credit whose report has not been answered.
    pub credit_requests: usize,
    /// Requests that wait for units.
    pub queued_requests: usize,
}

impl Account {
    /// Notes a request of the tenant.
    pub fn record_request(&mut self, now: f64) {
        let decay = (-(now - self.last_request_at) / RATE_TIME_CONSTANT).exp();
        self.request_rate = self.request_rate * decay + 1.0 / RATE_TIME_CONSTANT;
        self.last_request_at = now;
    }

    /// Units of a lease that is requested now.
    pub fn lease_units(&self) -> f64 {
        (self.request_rate * LEASE_HORIZON).floor().max(1.0)
    }

    /// Whether a request that no lease covers is admitted on credit; the burst is the plan's, in units.
    pub fn admits_on_credit(&self, rule: CreditRule, burst: f64, now: f64) -> bool {
        let is_response_recent = now - self.last_response_at < RESPONSE_LIFETIME;
        let has_plenty = f64::from(self.available_units) >= CREDIT_THRESHOLD_FRACTION * burst;
        let allowed = match rule {
            CreditRule::Never => false,
            CreditRule::IfPlentyReported => is_response_recent && has_plenty,
            CreditRule::UnlessShortReported => !is_response_recent || has_plenty,
        };
        let max_credit_requests = MAX_CREDIT_REQUESTS.max((burst * MAX_CREDIT_FRACTION) as usize);
        allowed && self.credit_requests < max_credit_requests
    }
}
