//! Many gateway instances lease one customer's quota from a shared counter. Tests compare the units that all of them admit with those
//! that the quota allows.
use quillramp::policy::PolicyEngine;
use quillramp::types::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

mod fixtures;

/// Duration of each attempt, in seconds.
const SERVICE_TIME: f64 = 0.01;

const BACKENDS: usize = 50;
/// Start time of a simulation, in seconds.
const START: f64 = 31.0;
/// Duration of a simulation, in seconds.
const DURATION: f64 = 60.0;

/// Gateway instances that share a counter, which answers each call immediately.
struct Fleet {
    instances: Vec<PolicyEngine>,
    /// Totals of the counter, by series.
    totals: BTreeMap<u32, f64>,
    requests: usize,
}

impl Fleet {
    fn new(instances: usize, plan: &Plan) -> Fleet {
        let instance = |seed: usize| {
            let mut engine = PolicyEngine::new(EngineSettings {
                seed: seed as u64,
                instances: instances as f64,
                gossip_intake_rate: 0.0,
                polls_endpoints: false,
                operations: vec![fixtures::operation(Idempotency::Idempotent)],
                plans: vec![plan.clone()],
                slow_start: SlowStart { initial_fraction: 0.2, duration: 10.0 },
                attempts: fixtures::attempt_settings(),
                counter: Some(CounterSettings { timeout: 0.05 }),
            });
            let endpoints: Vec<Endpoint> = (0..BACKENDS).map(fixtures::ready_endpoint).collect();
            engine.update_endpoints(30.0, true, &endpoints);
            engine
        };
        let instances = (0..instances).map(instance).collect();
        Fleet { instances, totals: BTreeMap::new(), requests: 0 }
    }

    /// Submits a request to an instance; returns whether it was admitted.
    fn admit(&mut self, now: f64, instance: usize, units: f64) -> bool {
        let attributes = RequestAttributes {
            units,
            instances: InstanceRange { first: 0, count: self.instances.len() },
            deadline: now + 4.0,
            ..RequestAttributes::default()
        };
        let request = self.requests;
        self.requests += 1;
        self.poll(now, instance);
        let mut output = self.instances[instance].route(now, request, &attributes);
        loop {
            self.answer_counter_calls(now, instance, output.effects.counter_calls);
            match output.decision {
                Decision::Forward { backend } => {
                    self.succeed(now, instance, request, backend);
                    return true;
                }
                Decision::Pending => output = self.instances[instance].route(now, request, &attributes),
                Decision::Throttle { .. } | Decision::Error => return false,
            }
        }
    }

    /// Ends the first attempt of a request with a success.
    fn succeed(&mut self, now: f64, instance: usize, request: RequestIndex, backend: BackendIndex) {
        let outcome = AttemptOutcome { backend, ..fixtures::succeeded(SERVICE_TIME) };
        let output = self.instances[instance].attempt_ended(now, request, &outcome);
        self.answer_counter_calls(now, instance, output.effects.counter_calls);
        self.instances[instance].request_closed(now, request);
    }

    /// Polls the timers of an instance, which may call the counter.
    fn poll(&mut self, now: f64, instance: usize) {
        let output = self.instances[instance].poll(now);
        self.answer_counter_calls(now, instance, output.effects.counter_calls);
    }

    /// Answers these counter calls immediately, and then the calls that the answers cause.
    fn answer_counter_calls(&mut self, now: f64, instance: usize, calls: Vec<CounterCall>) {
        let mut calls = VecDeque::from(calls);
        while let Some(call) = calls.pop_front() {
            let total = self.totals.entry(call.key.series).or_default();
            *total += call.delta;
            let result = CounterResult::Total(*total);
            let engine = &mut self.instances[instance];
            engine.counter_answered(now, call.key, result);
            calls.extend(engine.poll(now).effects.counter_calls);
        }
    }
}

/// The token bucket of a quota, which has the capacity of the burst and refills at the rate.
struct TokenBucket {
    units: f64,
    updated_at: f64,
}

impl TokenBucket {
    /// Takes units from the bucket; returns the number of units that it did not contain.
    fn take(&mut self, now: f64, plan: &Plan, units: f64) -> f64 {
        self.units = (self.units + plan.rate * (now - self.updated_at)).min(plan.burst);
        self.updated_at = now;
        let excess = (units - self.units).max(0.0);
        self.units = (self.units - units).max(0.0);
        excess
    }
}

/// Admitted units in comparison with the quota.
struct Usage {
    /// Admitted units as a fraction of those that the quota allows.
    fraction_of_quota: f64,
    /// Fraction of the admitted units that exceeded the quota.
    excess_fraction: f64,
}

/// Simulates a customer that requests `demand_factor` times its rate, at randomly drawn instances.
fn simulate(instances: usize, demand_factor: f64, seed: u64) -> Usage {
    const MEAN_UNITS: f64 = 1.5;
    let plan = Plan { rate: 6.0, burst: 10.0, ..fixtures::plan() };
    let mean_interval = MEAN_UNITS / (plan.rate * demand_factor);
    let mut fleet = Fleet::new(instances, &plan);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut bucket = TokenBucket { units: plan.burst, updated_at: START };
    let mut admitted = 0.0;
    let mut excess = 0.0;
    let mut now = START;
    while now < START + DURATION {
        now += mean_interval * rng.gen_range(0.0..2.0);
        let units = f64::from(rng.gen_range(1..=2));
        let instance = rng.gen_range(0..instances);
        if fleet.admit(now, instance, units) {
            admitted += units;
            excess += bucket.take(now, &plan, units);
        }
    }
    let quota_units = plan.burst + plan.rate * DURATION;
    Usage { fraction_of_quota: admitted / quota_units, excess_fraction: excess / admitted }
}

#[test]
fn a_customer_that_each_instance_sees_once_a_minute_gets_its_quota_and_little_more() {
    for seed in 0..4 {
        let Usage { fraction_of_quota, excess_fraction } = simulate(150, 2.0, seed);
        assert!(fraction_of_quota > 0.9, "seed {seed}: only {fraction_of_quota} of the quota was admitted");
        assert!(
            excess_fraction < 0.1,
            "seed {seed}: {excess_fraction} of the admitted units exceeded the quota"
        );
    }
}
