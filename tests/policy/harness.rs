//! A policy engine with a test harness in place of clients, counter service and backends.
use crate::fixtures::*;
use crate::trace::Trace;
use quillramp::policy::PolicyEngine;
use quillramp::types::*;
use std::collections::BTreeMap;

/// The engine, the requests submitted to it and the trace of its decisions.
pub struct EngineHarness {
    pub engine: PolicyEngine,
    /// All requests submitted so far, by index.
    requests: Vec<RequestAttributes>,
    /// Counter calls without a result.
    counter_calls: Vec<CounterCall>,
    /// Totals of the counters. The key is the series plus 100 times the customer.
    pub counter_totals: BTreeMap<u32, f64>,
    /// Backends of each request's attempts.
    attempts: BTreeMap<RequestIndex, Vec<BackendIndex>>,
    /// The first request that `take_forwarded` has not considered yet.
    first_untaken: RequestIndex,
    trace: Trace,
}

/// Creates a harness with one plan and one idempotent operation.
pub fn idempotent(backends: usize) -> EngineHarness {
    with_idempotency(Idempotency::Idempotent, backends)
}

/// Creates a harness with one plan and one operation.
pub fn with_idempotency(idempotency: Idempotency, backends: usize) -> EngineHarness {
    EngineHarness::new(vec![operation(idempotency)], vec![plan()], attempt_settings(), backends)
}

/// Creates a harness for one of 200 gateway instances before 400 backends, with one operation.
pub fn one_of_200_instances(idempotency: Idempotency, plan: Plan) -> EngineHarness {
    EngineHarness::among_instances(200.0, vec![operation(idempotency)], vec![plan], attempt_settings(), 400)
}

/// Returns how many of 200 requests within 0.2 s are forwarded to the only backend.
pub fn forwarded_at_once(harness: &mut EngineHarness, from: f64) -> usize {
    let forwarded = (0..200).map(|customer| {
        let now = from + customer as f64 * 0.001;
        harness.submit_from(now, customer, 1.0);
        harness.answer_counter_calls(now);
        let forwarded = harness.take_forwarded();
        for request in &forwarded {
            harness.complete_attempt(now, *request, 0, AttemptResult::Succeeded, 0.1);
        }
        forwarded.len()
    });
    forwarded.sum()
}

impl EngineHarness {
    /// Creates a harness for one of two gateway instances.
    pub fn new(
        operations: Vec<Operation>,
        plans: Vec<Plan>,
        attempts: AttemptSettings,
        backends: usize,
    ) -> EngineHarness {
        EngineHarness::among_instances(2.0, operations, plans, attempts, backends)
    }

    /// Creates a harness for one of the given number of gateway instances. Its endpoint list is complete at
    /// 30 s.
    pub fn among_instances(
        instances: f64,
        operations: Vec<Operation>,
        plans: Vec<Plan>,
        attempts: AttemptSettings,
        backends: usize,
    ) -> EngineHarness {
        let mut engine = PolicyEngine::new(EngineSettings {
            seed: 7,
            instances,
            gossip_intake_rate: 40.0,
            polls_endpoints: false,
            operations,
            plans,
            slow_start: SlowStart { initial_fraction: 0.2, duration: 10.0 },
            attempts,
            counter: Some(CounterSettings { timeout: 0.05 }),
        });
        let endpoints: Vec<Endpoint> = (0..backends).map(ready_endpoint).collect();
        engine.update_endpoints(30.0, true, &endpoints);
        EngineHarness {
            engine,
            requests: vec![],
            counter_calls: vec![],
            counter_totals: BTreeMap::new(),
            attempts: BTreeMap::new(),
            first_untaken: 0,
            trace: Trace::default(),
        }
    }

    /// Submits a request of customer 0.
    pub fn submit(&mut self, now: f64, operation: usize, units: f64) -> RequestIndex {
        self.submit_request(now, RequestAttributes { operation, units, ..RequestAttributes::default() })
    }

    /// Submits a request of the given customer.
    pub fn submit_from(&mut self, now: f64, customer: CustomerIndex, units: f64) -> RequestIndex {
        self.submit_request(now, RequestAttributes { customer, units, ..RequestAttributes::default() })
    }

    /// Submits a request of one unit for the given operation.
    pub fn submit_operation(&mut self, now: f64, customer: CustomerIndex, operation: usize) -> RequestIndex {
        let attributes =
            RequestAttributes { customer, operation, units: 1.0, ..RequestAttributes::default() };
        self.submit_request(now, attributes)
    }

    /// Submits a request of one unit under the given plan.
    pub fn submit_under_plan(&mut self, now: f64, customer: CustomerIndex, plan: usize) -> RequestIndex {
        let attributes = RequestAttributes { customer, plan, units: 1.0, ..RequestAttributes::default() };
        self.submit_request(now, attributes)
    }

    /// Submits a request of one unit with limits from the operator's file.
    pub fn submit_with_limits(&mut self, now: f64, limits: RequestLimits) -> RequestIndex {
        self.submit_request(now, RequestAttributes { units: 1.0, limits, ..RequestAttributes::default() })
    }

    /// Submits a request of one unit whose client waits until `deadline`.
    pub fn submit_with_deadline(&mut self, now: f64, deadline: f64) -> RequestIndex {
        self.submit_request(now, RequestAttributes { units: 1.0, deadline, ..RequestAttributes::default() })
    }

    /// Submits a request of customer 0, which uses this many gateway instances.
    pub fn submit_across_instances(&mut self, now: f64, count: usize, units: f64) -> RequestIndex {
        let instances = InstanceRange { first: 0, count };
        self.submit_request(now, RequestAttributes { units, instances, ..RequestAttributes::default() })
    }

    /// Submits a request. Unless the attributes say otherwise, the client waits for 4 s and the customer uses
    /// two gateway instances.
    fn submit_request(&mut self, now: f64, mut attributes: RequestAttributes) -> RequestIndex {
        self.poll(now);
        if attributes.deadline <= 0.0 {
            attributes.deadline = now + 4.0;
        }
        if attributes.instances.count == 0 {
            attributes.instances = InstanceRange { first: 0, count: 2 };
        }
        let request = self.requests.len();
        self.requests.push(attributes);
        let output = self.engine.route(now, request, &attributes);
        self.record(now, request, " submitted", output);
        request
    }

    /// Answers all counter calls made so far, and those that the answers cause.
    pub fn answer_counter_calls(&mut self, now: f64) {
        while !self.counter_calls.is_empty() {
            let call = self.counter_calls.remove(0);
            let key = call.key.series + 100 * call.key.customer as u32;
            let total = self.counter_totals.entry(key).or_default();
            *total += call.delta;
            let result = CounterResult::Total(*total);
            self.engine.counter_answered(now, call.key, result);
            self.poll(now);
        }
    }

    /// Ends all counter calls made so far with the given result.
    pub fn fail_counter_calls(&mut self, now: f64, result: CounterResult) {
        for call in std::mem::take(&mut self.counter_calls) {
            self.engine.counter_answered(now, call.key, result);
        }
        self.poll(now);
    }

    /// Ends an attempt. The request is closed if the attempt succeeded.
    pub fn complete_attempt(
        &mut self,
        now: f64,
        request: RequestIndex,
        attempt: usize,
        result: AttemptResult,
        duration: f64,
    ) {
        self.poll(now);
        let outcome = AttemptOutcome {
            attempt,
            backend: self.attempts[&request][attempt],
            result,
            duration,
            request_closed: result == AttemptResult::Succeeded,
            billed_units: None,
            load_report: None,
        };
        let output = self.engine.attempt_ended(now, request, &outcome);
        self.record(now, request, &format!(" {result:?}"), output);
    }

    /// Ends the first attempt of a request with success and with a load report of its backend.
    pub fn complete_with_load_report(
        &mut self,
        now: f64,
        request: RequestIndex,
        duration: f64,
        load_report: Option<LoadReport>,
    ) {
        let backend = self.attempts[&request][0];
        let outcome = AttemptOutcome { backend, load_report, ..succeeded(duration) };
        let output = self.engine.attempt_ended(now, request, &outcome);
        self.record(now, request, " Succeeded", output);
    }

    /// Polls the engine and routes the requests that it returns, until it returns none.
    pub fn poll(&mut self, now: f64) {
        loop {
            let output = self.engine.poll(now);
            self.record_effects(now, output.effects);
            if output.reconsider.is_empty() {
                return;
            }
            for request in output.reconsider {
                let output = self.engine.route(now, request, &self.requests[request]);
                if output.decision == Decision::Pending {
                    self.record_effects(now, output.effects); // still pending
                } else {
                    self.record(now, request, "", output);
                }
            }
        }
    }

    fn record(&mut self, now: f64, request: RequestIndex, cause: &str, output: PolicyOutput) {
        if let Decision::Forward { backend } = output.decision {
            self.attempts.entry(request).or_default().push(backend);
        }
        self.trace.add_decision(now, request, cause, output.decision);
        self.record_effects(now, output.effects);
    }

    fn record_effects(&mut self, now: f64, effects: Effects) {
        self.counter_calls.extend(&effects.counter_calls);
        self.trace.add_effects(now, &effects);
    }

    /// Delivers gossip from another instance with the total of a customer's counter.
    pub fn receive_counter_total(&mut self, now: f64, customer: CustomerIndex, series: u32, total: f64) {
        let message = GossipMessage::CounterTotal {
            key: CounterKey { customer, series },
            plan: 0,
            instances: InstanceRange { first: 0, count: 2 },
            total,
        };
        self.engine.gossip_received(now, message);
    }

    /// Returns the forwarded requests among those submitted since the last call.
    pub fn take_forwarded(&mut self) -> Vec<RequestIndex> {
        let first = std::mem::replace(&mut self.first_untaken, self.requests.len());
        self.attempts.keys().copied().filter(|request| *request >= first).collect()
    }

    /// Returns the trace since the last call.
    pub fn take_trace(&mut self) -> String {
        self.trace.take()
    }

    /// Compares the trace since the last call with the expected one.
    pub fn expect_trace(&mut self, expected: expect_test::Expect) {
        expected.assert_eq(&self.take_trace());
    }
}
