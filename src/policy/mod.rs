//! Policy engine of one gateway instance: admits requests, selects backends, schedules retries and hedged
//! requests, and decides when a request is throttled or ends with an error.
//!
//! The engine does no I/O and reads no clock. The caller passes the current time, in seconds on a monotonic
//! clock, and carries out the [`Effects`] that are returned with each decision.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `requests` | request lifecycle: first routing, ended attempts, closing |
//! | `attempts` | whether and when a request gets an attempt, a retry, a hedged request or its final answer |
//! | `retry_budget` | how many attempts may repeat a request that may already have run |
//! | `quota` | whether a customer's quota admits a request: leases, even shares, ceilings |
//! | `leases` | how much of a requested lease is kept; corrections of totals, expiry, refunds |
//! | `permits` | whether a customer's cap on requests in flight admits a request |
//! | `counter` | calls to the counter service and the handling of their results |
//! | `counter_health` | how often the counter is called, and when it counts as unresponsive |
//! | `load_balancing` | which backend gets an attempt |
//! | `concurrency` | how many units may be in flight at all backends together |
//! | `latencies` | expected latency of each operation, and whether it is slow at all backends |
//! | `failure_rates` | which kinds of outcomes fail often at all backends |
//! | `outliers` | ejection and recovery of backends; latency and throughput of each backend |
//! | `endpoints` | which backends are listed or out of service, by the endpoint list and by operators |
//! | `gossip` | which messages are sent to other instances, and how often |
//!
//! A customer's quota is a token bucket that all instances share. The customer's counter holds the total of
//! units taken since the current window began. The token bucket refills at the plan's rate, so the total may
//! reach the burst plus the refill since the window began. A total that lags behind the refill, because the
//! token bucket was full for a time or the counter lost its value, is corrected upwards.
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

/// Delay of a due timer, in seconds, above which this process counts as stalled.
const STALL_THRESHOLD: f64 = 0.1;

/// Policy engine of one gateway instance, with its settings and its state.
pub struct PolicyEngine {
    rng: ChaCha8Rng,
    /// Number of gateway instances.
    instances: f64,
    /// Number of processes of this instance; two during an upgrade.
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
    /// Time of the last `route` or `attempt_ended` call, in seconds; infinite before the first.
    last_call_at: f64,
    /// Requests that the next poll returns to be routed again.
    reconsider: BTreeSet<RequestIndex>,
    /// Customers whose state was dropped since the last poll.
    evicted_customers: Vec<CustomerIndex>,
    timers: Timers,
    /// Effects that have not been returned to the caller yet.
    effects: Effects,
}

impl PolicyEngine {
    /// Creates an engine without any backends.
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

    /// Sets whether a second process of this instance is running. While it is, each process gets half of the
    /// instance's even shares.
    pub fn set_peer_process(&mut self, is_running: bool) {
        self.local_processes = if is_running { 2.0 } else { 1.0 };
    }

    /// Handles the timers that are due. Returns the requests to route again and the delay until the next
    /// poll.
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

    /// Detects a stall of this process by an overdue timer. The time of the stall does not count as silence
    /// of the backends.
    fn detect_process_stall(&mut self, now: f64) {
        let timer_delay = self.timers.next().map_or(0.0, |at| now - at);
        if now > self.last_call_at && timer_delay > STALL_THRESHOLD {
            for backend in self.backends.values_mut() {
                backend.last_progress_at = now;
                backend.answered_at = now;
            }
            self.effects.log.push(PolicyLogMessage::ProcessStalled { duration: timer_delay });
        }
        self.last_call_at = now;
    }

    /// Returns a random number from 0, inclusive, to 1, exclusive.
    fn random_fraction(&mut self) -> f64 {
        self.rng.gen_range(0.0..1.0)
    }

    /// Returns the state of a request that is being decided on.
    fn request(&mut self, index: RequestIndex) -> &mut PendingRequest {
        self.requests.get_mut(&index).expect("a request that is decided on must be pending")
    }

    /// Throttles a request, with a Retry-After of `delay` seconds within its bounds.
    fn throttle(&self, delay: f64) -> Decision {
        Decision::Throttle { retry_after: self.retry_after(delay) }
    }

    /// Returns a Retry-After of `delay` seconds within its bounds, if the settings allow one.
    fn retry_after(&self, delay: f64) -> Option<f64> {
        /// Minimum Retry-After, in seconds.
        const MIN_RETRY_AFTER: f64 = 0.05;
        let upper_bound = self.attempt_settings.max_retry_after;
        upper_bound.map(|upper_bound| delay.max(MIN_RETRY_AFTER).min(upper_bound))
    }

    /// Returns whether the next poll returns requests to be routed again.
    pub fn has_requests_to_reconsider(&self) -> bool {
        !self.reconsider.is_empty()
    }

    /// Returns the Retry-After of requests that are rejected because the instance is short of memory, in seconds, if the
    /// settings allow one. Other clients need the memory first.
    pub fn retry_after_overload(&self) -> Option<f64> {
        /// Time in which most pending requests are answered, in seconds.
        const OVERLOAD_RETRY_AFTER: f64 = 0.5;
        self.retry_after(OVERLOAD_RETRY_AFTER)
    }

    /// Returns the Retry-After of requests that are rejected because the instance drains, in seconds, if the settings
    /// allow one. Other instances can take these requests at once.
    pub fn retry_after_while_draining(&self) -> Option<f64> {
        self.retry_after(0.0)
    }
}
