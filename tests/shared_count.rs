//! Many front doors lease one customer's quota from one shared count: what all of them let in together against what the
//! quota allows.
use quillramp::policy::PolicyEngine;
use quillramp::types::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

#[path = "help/settings.rs"]
mod settings;

/// Seconds that a backend takes for an answer.
const SERVICE_TIME: f64 = 0.01;

/// Front doors that share a counter which answers each call at once.
struct Fleet {
    front_doors: Vec<PolicyEngine>,
    totals: BTreeMap<u32, f64>,
    invocations: usize,
}

impl Fleet {
    fn new(front_doors: usize, plan: &Plan) -> Fleet {
        let front_door = |seed: usize| {
            let operations = vec![settings::operation(Idempotency::Idempotent)];
            let cold_start = SlowStart { initial_fraction: 0.2, duration: 10.0 };
            let counter = Some(CounterSettings { timeout: 0.05 });
            let mut door = PolicyEngine::new(EngineSettings {
                seed: seed as u64,
                instances: front_doors as f64,
                gossip_intake_rate: 0.0,
                polls_endpoints: false,
                operations,
                plans: vec![plan.clone()],
                slow_start: cold_start,
                attempts: settings::may(),
                counter,
            });
            let backends: Vec<Endpoint> = (0..50).map(settings::listed).collect();
            door.update_endpoints(30.0, true, &backends);
            door
        };
        let front_doors = (0..front_doors).map(front_door).collect();
        Fleet { front_doors, totals: BTreeMap::new(), invocations: 0 }
    }

    /// An invocation comes to a front door; says whether it was let in.
    fn admits(&mut self, now: f64, front_door: usize, units: f64) -> bool {
        let of = InstanceRange { first: 0, count: self.front_doors.len() };
        let ask =
            RequestAttributes { units, instances: of, deadline: now + 4.0, ..RequestAttributes::default() };
        let invocation = self.invocations;
        self.invocations += 1;
        self.settle(now, front_door);
        let mut answer = self.front_doors[front_door].route(now, invocation, &ask);
        loop {
            self.count(now, front_door, answer.effects.counter_calls);
            match answer.decision {
                Decision::Forward { backend: tgt } => {
                    self.succeeds(now, front_door, invocation, tgt);
                    return true;
                }
                Decision::Pending => answer = self.front_doors[front_door].route(now, invocation, &ask),
                Decision::Throttle { .. } | Decision::Error => return false,
            }
        }
    }

    fn succeeds(&mut self, now: f64, front_door: usize, invocation: RequestIndex, tgt: BackendIndex) {
        let outcome = AttemptOutcome { backend: tgt, ..settings::succeeded(SERVICE_TIME) };
        let answer = self.front_doors[front_door].attempt_ended(now, invocation, &outcome);
        self.count(now, front_door, answer.effects.counter_calls);
        self.front_doors[front_door].request_closed(now, invocation);
    }

    /// Timers that are due; they may make calls of the counter.
    fn settle(&mut self, now: f64, front_door: usize) {
        let wait = self.front_doors[front_door].poll(now);
        self.count(now, front_door, wait.effects.counter_calls);
    }

    /// The counter adds, and answers at once, until no call is left.
    fn count(&mut self, now: f64, front_door: usize, calls: Vec<CounterCall>) {
        let mut calls = std::collections::VecDeque::from(calls);
        while let Some(call) = calls.pop_front() {
            let total = self.totals.entry(call.key.series).or_default();
            *total += call.delta;
            let answer = CounterResult::Total(*total);
            let door = &mut self.front_doors[front_door];
            door.counter_answered(now, call.key, answer);
            calls.extend(door.poll(now).effects.counter_calls);
        }
    }
}

/// What a quota allows: a bucket that holds the burst and regains the rate.
struct Bucket {
    units: f64,
    as_of: f64,
}

impl Bucket {
    /// Takes units out, as far as they are there; says how many were not.
    fn take(&mut self, now: f64, plan: &Plan, units: f64) -> f64 {
        self.units = (self.units + plan.rate * (now - self.as_of)).min(plan.burst);
        self.as_of = now;
        let beyond = (units - self.units).max(0.0);
        self.units = (self.units - units).max(0.0);
        beyond
    }
}

/// Units let in against those that the quota allows, and the share of them beyond it.
struct Use {
    of_quota: f64,
    beyond: f64,
}

/// A customer asks for so many times its rate, at front doors drawn at random.
fn play(front_doors: usize, times_rate: f64, seed: u64) -> Use {
    const SECONDS: f64 = 60.0;
    let plan = Plan { rate: 6.0, burst: 10.0, ..settings::plan() };
    let mut fleet = Fleet::new(front_doors, &plan);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut bucket = Bucket { units: plan.burst, as_of: 31.0 };
    let (mut admitted, mut beyond) = (0.0, 0.0);
    let mut now = 31.0;
    while now < 31.0 + SECONDS {
        now += 1.5 / (plan.rate * times_rate) * random.gen_range(0.0..2.0);
        let units = f64::from(random.gen_range(1..=2));
        if fleet.admits(now, random.gen_range(0..front_doors), units) {
            admitted += units;
            beyond += bucket.take(now, &plan, units);
        }
    }
    Use { of_quota: admitted / (plan.burst + plan.rate * SECONDS), beyond: beyond / admitted }
}

#[test]
fn a_customer_seen_once_a_minute_by_each_front_door_has_its_quota() {
    for seed in 0..4 {
        let used = play(150, 2.0, seed);
        assert!(used.of_quota > 0.9, "seed {seed}: {} of the quota was let in", used.of_quota);
        assert!(used.beyond < 0.1, "seed {seed}: {} of it was beyond the quota", used.beyond);
    }
}
