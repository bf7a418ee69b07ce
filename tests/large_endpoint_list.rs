//! Selection of a backend from an endpoint list with thousands of entries: only backends that may get an attempt are selected, and
//! the cost does not grow with the list.
use quillramp::policy::PolicyEngine;
use quillramp::types::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

mod fixtures;

/// Number of backends in a large list.
const LARGE_LIST_LENGTH: usize = 3800;
/// Number of backends in the longest list that is scanned completely.
const SMALL_LIST_LENGTH: usize = 256;

/// Time of the first endpoint list, in seconds.
const START: f64 = 30.0;

/// A policy engine with a clock and a sequence of requests.
struct EndpointSelection {
    engine: PolicyEngine,
    requests: usize,
    now: f64,
}

impl EndpointSelection {
    fn new(endpoints: &[Endpoint]) -> EndpointSelection {
        let mut engine = PolicyEngine::new(EngineSettings {
            seed: 7,
            instances: 1.0,
            gossip_intake_rate: 0.0,
            polls_endpoints: false,
            operations: vec![fixtures::operation(Idempotency::Idempotent)],
            plans: vec![Plan { rate: 1e6, burst: 1e6, ..fixtures::plan() }],
            slow_start: SlowStart { initial_fraction: 0.2, duration: 10.0 },
            attempts: fixtures::attempt_settings(),
            counter: None,
        });
        engine.update_endpoints(START, true, endpoints);
        EndpointSelection { engine, requests: 0, now: START }
    }

    /// Submits one request and completes it; returns its backend, or `None` if it was not forwarded.
    fn select(&mut self) -> Option<BackendIndex> {
        let backend = self.submit()?;
        self.complete(self.requests - 1, backend);
        Some(backend)
    }

    /// Submits one request; returns its backend, or `None` if it was not forwarded.
    fn submit(&mut self) -> Option<BackendIndex> {
        self.now += 0.004;
        self.engine.poll(self.now);
        let attributes = RequestAttributes {
            units: 1.0,
            instances: InstanceRange { first: 0, count: 1 },
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

    /// Ends the attempt of a request with a success, and closes the request.
    fn complete(&mut self, request: RequestIndex, backend: BackendIndex) {
        let outcome = AttemptOutcome { backend, ..fixtures::succeeded(0.002) };
        self.engine.attempt_ended(self.now, request, &outcome);
        self.engine.request_closed(self.now, request);
    }
}

/// Returns a list of ready backends.
fn ready_endpoints(backends: usize) -> Vec<Endpoint> {
    (0..backends).map(fixtures::ready_endpoint).collect()
}

#[test]
fn the_only_ready_backend_is_found_among_thousands() {
    const READY: BackendIndex = 1234;
    let mut endpoints = ready_endpoints(LARGE_LIST_LENGTH);
    for endpoint in &mut endpoints {
        if endpoint.backend != READY {
            endpoint.status = EndpointStatus::Draining;
        }
    }
    let mut selection = EndpointSelection::new(&endpoints);
    for _ in 0..200 {
        assert_eq!(selection.select(), Some(READY));
    }
}

/// Returns a list in which the backends whose index is `ready` modulo 40 are ready; the others are draining or removed.
fn endpoints_with_one_in_40_ready(ready: usize) -> Vec<Endpoint> {
    let mut endpoints = ready_endpoints(LARGE_LIST_LENGTH);
    for endpoint in &mut endpoints {
        if endpoint.backend % 40 != ready {
            let is_removed = endpoint.backend % 3 == 0;
            endpoint.status = if is_removed { EndpointStatus::Removed } else { EndpointStatus::Draining };
        }
    }
    endpoints
}

#[test]
fn a_change_of_a_large_endpoint_list_applies_to_the_next_request() {
    let mut selection = EndpointSelection::new(&ready_endpoints(LARGE_LIST_LENGTH));
    for round in 0..40 {
        let now = selection.now;
        selection.engine.update_endpoints(now, false, &endpoints_with_one_in_40_ready(round));
        // An operator ejects the first ready backend.
        selection.engine.set_manual_ejection(now, round, Some(now));
        for _ in 0..50 {
            let backend = selection.select().expect("a backend is ready");
            assert_eq!(
                backend % 40,
                round,
                "round {round}: forwarded to backend {backend}, which is not ready"
            );
            assert_ne!(backend, round, "round {round}: forwarded to backend {backend}, which is ejected");
        }
    }
}

#[test]
fn thousands_of_warming_backends_get_their_fraction_of_the_requests() {
    let just_started = |endpoint: Endpoint| Endpoint { started_at: Some(START), ..endpoint };
    let endpoints: Vec<Endpoint> = ready_endpoints(LARGE_LIST_LENGTH).into_iter().map(just_started).collect();
    let mut selection = EndpointSelection::new(&endpoints);
    // During the requests the backends warm up from 0.2 to 0.3 of their capacity, and accept that fraction of the requests.
    let forwarded = (0..300).filter(|_| selection.select().is_some()).count();
    assert!((45..=110).contains(&forwarded), "forwarded {forwarded} of 300 requests, expected 45 to 110");
}

#[test]
fn attempts_spread_over_a_large_endpoint_list_and_go_to_lightly_loaded_backends() {
    let mut selection = EndpointSelection::new(&ready_endpoints(LARGE_LIST_LENGTH));
    let mut in_flight: BTreeMap<BackendIndex, usize> = BTreeMap::new();
    for _ in 0..400 {
        let backend = selection.submit().expect("a backend has capacity");
        *in_flight.entry(backend).or_default() += 1;
    }
    assert!(in_flight.len() > 300, "attempts went to {} backends, expected more than 300", in_flight.len());
    let most = in_flight.values().max();
    assert!(
        most.is_some_and(|most| *most <= 3),
        "{most:?} attempts in flight at one backend, expected at most 3"
    );
}

/// Returns the duration of the fastest of five rounds of 400 selections.
fn fastest_round(selection: &mut EndpointSelection) -> Duration {
    let mut round = || {
        let start = Instant::now();
        let forwarded = (0..400).filter_map(|_| selection.select()).count();
        let duration = start.elapsed();
        assert_eq!(forwarded, 400);
        duration
    };
    (0..5).map(|_| round()).min().expect("five rounds")
}

#[test]
fn a_selection_from_a_large_endpoint_list_costs_no_more_than_from_a_small_one() {
    let small = fastest_round(&mut EndpointSelection::new(&ready_endpoints(SMALL_LIST_LENGTH)));
    let large = fastest_round(&mut EndpointSelection::new(&ready_endpoints(LARGE_LIST_LENGTH)));
    // The large list has fifteen times as many backends.
    assert!(
        large < 3 * small,
        "{large:?} with {LARGE_LIST_LENGTH} backends is not less than 3 x {small:?} with {SMALL_LIST_LENGTH}"
    );
}
