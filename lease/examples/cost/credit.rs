//! The gateway instance's state of a tenant, and the rules for admitting a request on credit, that is,
//! without a lease.
use quillramp_lease::client::RequestId;

/// Minimum available units for credit, as a fraction of the burst.
const CREDIT_THRESHOLD_FRACTION: f64 = 0.5;
/// Time in seconds for which the available units of a response are considered recent.
const RESPONSE_LIFETIME: f64 = 120.0;
/// Maximum number of a tenant's requests on credit whose report has not been answered.
const MAX_CREDIT_REQUESTS: usize = 1;
/// Maximum number of such requests as a fraction of the burst, if that is more (for a tenant with a large
/// quota).
const MAX_CREDIT_FRACTION: f64 = 0.01;
/// Time in seconds for which a lease covers the tenant's requests at this gateway instance. A lease has at
/// least one unit.
const LEASE_HORIZON: f64 = 2.0;
/// Time constant of the average request rate of a tenant, in seconds.
const RATE_TIME_CONSTANT: f64 = 10.0;

/// Rule by which a request that no lease covers is admitted without first requesting units from the shard.
#[derive(Clone, Copy, PartialEq)]
pub enum CreditRule {
    /// Never admit on credit.
    Never,
    /// Admit if a recent response reported plenty of available units.
    IfPlentyReported,
    /// Admit unless a recent response reported too few available units.
    UnlessShortReported,
}

impl CreditRule {
    /// Returns the name of the rule in the CSV.
    pub fn name(self) -> &'static str {
        match self {
            CreditRule::Never => "Never",
            CreditRule::IfPlentyReported => "RoomTold",
            CreditRule::UnlessShortReported => "UnlessShort",
        }
    }
}

/// State of one tenant at the gateway instance. Times are Unix time in seconds.
#[derive(Default, Clone)]
pub struct Account {
    /// Units left of the lease.
    pub leased_units: f64,
    /// Available units that the shard reported in its last response.
    pub available_units: u32,
    /// Time of the shard's last response.
    pub last_response_at: f64,
    /// Average request rate at `last_request_at`, in requests per second.
    request_rate: f64,
    last_request_at: f64,
    /// Lease request that has not been answered.
    pub lease_request: Option<RequestId>,
    /// Number of requests on credit whose report has not been answered.
    pub credit_requests: usize,
    /// Number of requests that wait for units.
    pub queued_requests: usize,
}

impl Account {
    /// Records a request of the tenant in the average request rate.
    pub fn record_request(&mut self, now: f64) {
        let decay = (-(now - self.last_request_at) / RATE_TIME_CONSTANT).exp();
        self.request_rate = self.request_rate * decay + 1.0 / RATE_TIME_CONSTANT;
        self.last_request_at = now;
    }

    /// Returns the number of units for a new lease request.
    pub fn lease_units(&self) -> f64 {
        (self.request_rate * LEASE_HORIZON).floor().max(1.0)
    }

    /// Whether a request that no lease covers is admitted on credit. `burst` is that of the plan, in units.
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
