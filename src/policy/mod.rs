//! All decisions of one gateway instance: which requests are admitted, where they go, when they are retried or hedged, and when
//! they are given up. Nothing here does I/O or reads a clock: the caller passes the time, seconds on a clock that never goes
//! back, and carries out the [`Effects`] that come with each answer.
//!
//! | module | decides |
//! | --- | --- |
//! | `requests` | the life of a request: first routing, ended attempts, closing |
//! | `attempts` | whether and when a request gets its next attempt: retries, hedging, giving up |
//! | `retry_budget` | how many requests that may have run can be sent again |
//! | `quota` | whether a customer's quota admits a request: leases, even shares, ceilings |
//! | `leases` | what an answer of the shared counter means for a lease; expiry and refunds |
//! | `permits` | caps on a customer's requests in flight |
//! | `counter` | what an answer of the counter, or the lack of one, sets going |
//! | `counter_health` | how often the counter is called, and when it counts as unresponsive |
//! | `load_balancing` | which backend gets an attempt |
//! | `concurrency` | how much may be in flight at all backends together |
//! | `latencies` | how long answers take, and when they are slow everywhere |
//! | `failure_rates` | which kinds of outcomes are scarce |
//! | `outliers` | what an outcome says of a backend: ejection, recovery, its pace |
//! | `endpoints` | which backends there are, by the endpoint list and by operators' orders |
//! | `gossip` | what is sent to other instances, and how often |
//!
//! Quota. A customer's counter holds the units taken since its window began. The token bucket that it stands for refills at the
//! plan's rate, so what may be taken is the burst plus the refill since the window began. A total that lags behind the refill,
//! because the bucket was full or the counter lost it, is corrected upwards.
mod attempts;
mod concurrency;
mod counter;
mod counter_health;
mod endpoints;
mod failure_rates;
mod gossip;
mod latencies;
mod leases;
mod load_balancing;
mod outliers;
mod permits;
mod quota;
mod requests;
mod retry_budget;

use crate::state::{BackendSet, CustomerAccount, OutcomeKinds, PendingRequest, TimerKind, Timers};
use crate::types::*;
use concurrency::ConcurrencyLimit;
use counter_health::CounterHealth;
use failure_rates::FailureRates;
use gossip::GossipBudget;
use latencies::LatencyEstimates;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use retry_budget::RetryBudget;
use std::collections::{BTreeMap, BTreeSet};

/// Timers this late, seconds, show that this process itself stood still.
const STALL_THRESHOLD: f64 = 0.1;

/// The decisions of one gateway instance, and all that they remember.
pub struct PolicyEngine {
    rng: ChaCha8Rng,
    /// Number of gateway instances.
    instances: f64,
    /// Number of processes of this instance: two during an upgrade.
    local_processes: f64,
    gossip_budget: GossipBudget,
    operations: Vec<Operation>,
    plans: Vec<Plan>,
    slow_start: SlowStart,
    attempt_settings: AttemptSettings,
    requests: BTreeMap<RequestIndex, PendingRequest>,
    accounts: BTreeMap<CustomerIndex, CustomerAccount>,
    backends: BackendSet,
    latencies: LatencyEstimates,
    concurrency: ConcurrencyLimit,
    failure_rates: FailureRates,
    retry_budget: RetryBudget,
    counter: CounterHealth,
    last_call_at: f64,
    /// Requests to be decided on again.
    reconsider: BTreeSet<RequestIndex>,
    evicted_customers: Vec<CustomerIndex>,
    timers: Timers,
    /// What has become due since the last answer.
    effects: Effects,
}

impl PolicyEngine {
    /// An engine that knows no backends yet.
    pub fn new(settings: EngineSettings) -> PolicyEngine {
        let EngineSettings { instances, operations, plans, counter, .. } = settings;
        let mut timers = Timers::default();
        if settings.polls_endpoints {
            timers.schedule(0.0, TimerKind::FetchEndpoints);
        }
        PolicyEngine {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            instances,
            local_processes: 1.0,
            gossip_budget: GossipBudget::new(settings.gossip_intake_rate, instances),
            latencies: LatencyEstimates::new(&operations),
            failure_rates: FailureRates::new(OutcomeKinds::new(operations.len(), plans.len())),
            operations,
            plans,
            slow_start: settings.slow_start,
            attempt_settings: settings.attempts,
            requests: BTreeMap::new(),
            accounts: BTreeMap::new(),
            backends: BackendSet::default(),
            concurrency: ConcurrencyLimit::default(),
            retry_budget: RetryBudget::new(),
            counter: CounterHealth::new(counter, instances),
            last_call_at: f64::INFINITY,
            reconsider: BTreeSet::new(),
            evicted_customers: Vec::new(),
            timers,
            effects: Effects::default(),
        }
    }

    /// Another process of this instance is there, or no longer: each has half of the instance's even shares.
    pub fn set_peer_process(&mut self, is_running: bool) {
        self.local_processes = if is_running { 2.0 } else { 1.0 };
    }

    /// What is due by now, which requests are to be routed again, and when to poll next.
    pub fn poll(&mut self, now: f64) -> PollOutput {
        while let Some(timer) = self.timers.pop_due(now, &self.requests) {
            match timer {
                TimerKind::Request(request) => {
                    self.reconsider.insert(request);
                }
                TimerKind::Customer(customer) => self.customer_timer_fired(now, customer),
                TimerKind::FetchEndpoints => self.effects.fetch_endpoints = true,
            }
        }
        let requests = &self.requests;
        self.reconsider.retain(|index| requests.get(index).is_some_and(|request| !request.closed));
        PollOutput {
            reconsider: std::mem::take(&mut self.reconsider).into_iter().collect(),
            evicted_customers: std::mem::take(&mut self.evicted_customers),
            next_poll_in: self.timers.next().map(|at| at - now),
            effects: std::mem::take(&mut self.effects),
        }
    }

    /// If this process itself stood still, the silence meanwhile was not its backends'.
    fn detect_own_stall(&mut self, now: f64) {
        let late = self.timers.next().map_or(0.0, |at| now - at);
        if now > self.last_call_at && late > STALL_THRESHOLD {
            for backend in self.backends.values_mut() {
                backend.last_progress_at = now;
                backend.answered_at = now;
            }
            self.effects.log.push(PolicyLogMessage::ProcessStalled { duration: late });
        }
        self.last_call_at = now;
    }

    /// A random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.rng.gen_range(0.0..1.0)
    }

    /// A request that the engine is deciding on.
    fn request(&mut self, index: RequestIndex) -> &mut PendingRequest {
        self.requests.get_mut(&index).expect("a request under decision is pending")
    }

    /// Refuses a request with the advice to come back after so many seconds, where advice can be given.
    fn throttle(&self, seconds: f64) -> Decision {
        /// The least Retry-After, seconds.
        const MIN_RETRY_AFTER: f64 = 0.05;
        let longest = self.attempt_settings.max_retry_after;
        Decision::Throttle { retry_after: longest.map(|longest| seconds.max(MIN_RETRY_AFTER).min(longest)) }
    }
}
