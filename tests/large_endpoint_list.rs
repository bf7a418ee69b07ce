//! The choice of a backend from a list of thousands: only backends that may get an attempt are chosen, at a cost that does not
//! grow with the list.
use quillramp::policy::PolicyEngine;
use quillramp::types::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

mod fixtures;

/// Backends of the largest list.
const LARGE: usize = 3800;
/// Backends of the longest list that is scanned completely.
const SMALL: usize = 256;

/// A policy engine and the clock and the requests of its test.
struct EndpointSelection {
    engine: PolicyEngine,
    requests: usize,
    now: f64,
}

impl EndpointSelection {
    fn new(endpoints: &[Endpoint]) -> EndpointSelection {
        let operations = vec![fixtures::operation(Idempotency::Idempotent)];
        let plans = vec![Plan { rate: 1e6, burst: 1e6, ..fixtures::plan() }];
        let slow_start = SlowStart { initial_fraction: 0.2, duration: 10.0 };
        let mut engine = PolicyEngine::new(EngineSettings {
            seed: 7,
            instances: 1.0,
            gossip_intake_rate: 0.0,
            polls_endpoints: false,
            operations,
            plans,
            slow_start,
            attempts: fixtures::attempt_settings(),
            counter: None,
        });
        engine.update_endpoints(30.0, true, endpoints);
        EndpointSelection { engine, requests: 0, now: 30.0 }
    }

    /// Forwards one request and completes it; returns its backend, `None` if it was not forwarded.
    fn select(&mut self) -> Option<BackendIndex> {
        let backend = self.submit()?;
        self.complete(self.requests - 1, backend);
        Some(backend)
    }

    /// Submits one request; returns the backend that it was forwarded to, `None` if there was none.
    fn submit(&mut self) -> Option<BackendIndex> {
        self.now += 0.004;
        self.engine.poll(self.now);
        let instances = InstanceRange { first: 0, count: 1 };
        let attributes = RequestAttributes {
            units: 1.0,
            instances,
            deadline: self.now + 4.0,
            ..RequestAttributes::default()
        };
        let request = self.requests;
        self.requests += 1;
        match self.engine.route(self.now, request, &attributes).decision {
            Decision::Forward { backend } => Some(backend),
            _ => {
                self.engine.request_closed(self.now, request);
                None
            }
        }
    }

    /// The request succeeds at once.
    fn complete(&mut self, request: RequestIndex, backend: BackendIndex) {
        self.engine.attempt_ended(
            self.now,
            request,
            &AttemptOutcome { backend, ..fixtures::succeeded(0.002) },
        );
        self.engine.request_closed(self.now, request);
    }
}

/// A list of ready backends.
fn ready_endpoints(backends: usize) -> Vec<Endpoint> {
    (0..backends).map(fixtures::ready_endpoint).collect()
}

#[test]
fn the_only_ready_backend_is_found_among_thousands() {
    let draining = |endpoint: Endpoint| Endpoint { status: EndpointStatus::Draining, ..endpoint };
    let mut entries: Vec<Endpoint> = ready_endpoints(LARGE).into_iter().map(draining).collect();
    entries[1234].status = EndpointStatus::Ready;
    let mut selection = EndpointSelection::new(&entries);
    for _ in 0..200 {
        assert_eq!(selection.select(), Some(1234));
    }
}

#[test]
fn changes_of_a_large_endpoint_list_hold_from_the_next_choice_on() {
    let mut selection = EndpointSelection::new(&ready_endpoints(LARGE));
    for round in 0..40 {
        // In each block of 40 backends one stays ready, the others drain or are removed; one ready backend is ejected manually.
        let unavailable = (0..LARGE).filter(|backend| backend % 40 != round).map(|backend| Endpoint {
            status: if backend % 3 == 0 { EndpointStatus::Removed } else { EndpointStatus::Draining },
            ..fixtures::ready_endpoint(backend)
        });
        let ready = (0..LARGE).filter(|backend| backend % 40 == round).map(fixtures::ready_endpoint);
        let entries: Vec<Endpoint> = unavailable.chain(ready).collect();
        selection.engine.update_endpoints(selection.now, false, &entries);
        selection.engine.set_manual_ejection(selection.now, round, Some(selection.now));
        for _ in 0..50 {
            let backend = selection.select().expect("some are ready");
            assert!(backend % 40 == round && backend != round, "round {round}: forwarded to {backend}");
        }
    }
}

#[test]
fn a_large_endpoint_list_of_warming_backends_takes_its_fraction_of_the_requests() {
    let entries: Vec<Endpoint> = ready_endpoints(LARGE)
        .into_iter()
        .map(|endpoint| Endpoint { started_at: Some(30.0), ..endpoint })
        .collect();
    let mut selection = EndpointSelection::new(&entries);
    // Meanwhile they warm up from 0.2 to 0.3 of their capacity, and are open to that fraction of the requests.
    let forwarded = (0..300).filter(|_| selection.select().is_some()).count();
    assert!((45..=110).contains(&forwarded), "{forwarded} of 300");
}

#[test]
fn attempts_spread_over_a_large_endpoint_list_and_go_to_the_least_loaded_backends() {
    let mut selection = EndpointSelection::new(&ready_endpoints(LARGE));
    let mut in_flight: BTreeMap<BackendIndex, usize> = BTreeMap::new();
    for _ in 0..400 {
        *in_flight.entry(selection.submit().expect("there is capacity")).or_default() += 1;
    }
    let most = *in_flight.values().max().expect("some were forwarded");
    assert!(in_flight.len() > 300 && most <= 3, "{} backends, {most} at one", in_flight.len());
}

/// Duration of the quickest of five rounds of choices.
fn fastest_round(selection: &mut EndpointSelection) -> Duration {
    let round = |selection: &mut EndpointSelection| {
        let start = Instant::now();
        assert_eq!((0..400).filter_map(|_| selection.select()).count(), 400);
        start.elapsed()
    };
    (0..5).map(|_| round(selection)).min().expect("five rounds")
}

#[test]
fn a_choice_costs_no_more_from_a_large_endpoint_list() {
    let small = fastest_round(&mut EndpointSelection::new(&ready_endpoints(SMALL)));
    let large = fastest_round(&mut EndpointSelection::new(&ready_endpoints(LARGE)));
    // Fifteen times as many backends.
    assert!(large < 3 * small, "{large:?} from {LARGE} backends, {small:?} from {SMALL}");
}
