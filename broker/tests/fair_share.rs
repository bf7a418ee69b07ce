//! The fair-share limiter against a plain token bucket for each team, over arbitrary requests.
use proptest::prelude::*;
use quillramp_broker::fair_share::{FairShareLimiter, Source, Terms, MAX_BORROWED_SECONDS};

/// Maximum time by which the limiter may lag behind a token bucket, seconds.
const TOLERANCE: f64 = 0.002;
/// Maximum units of one request.
const MAX_REQUEST_UNITS: f64 = 6.0;

/// The reference: a token bucket with the terms of a team's contract.
struct ReferenceBucket {
    terms: Terms,
    level: f64,
    refilled_at: f64,
}

impl ReferenceBucket {
    fn new(terms: &Terms) -> ReferenceBucket {
        ReferenceBucket { terms: *terms, level: terms.burst, refilled_at: 0.0 }
    }

    fn refill(&mut self, now: f64) {
        self.level = (self.level + self.terms.rate * (now - self.refilled_at)).min(self.terms.burst);
        self.refilled_at = now;
    }

    /// Returns whether units are within the contract by more than the tolerance.
    fn covers(&self, units: f64) -> bool {
        units <= self.terms.burst && self.level - self.terms.rate * TOLERANCE >= units
    }
}

#[derive(Clone, Debug)]
struct RequestAfterPause {
    /// The index of the team, modulo the number of teams.
    team: usize,
    units: f64,
    /// Seconds since the previous request.
    pause: f64,
}

fn terms() -> impl Strategy<Value = Terms> {
    (1.0f64..20.0, 1.0f64..30.0, 0.1f64..5.0).prop_map(|(rate, burst, weight)| Terms { rate, burst, weight })
}

fn request_after_pause() -> impl Strategy<Value = RequestAfterPause> {
    let fields = (0usize..8, 0.1f64..MAX_REQUEST_UNITS, 0.0f64..0.2);
    fields.prop_map(|(team, units, pause)| RequestAfterPause { team, units, pause })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary requests: a request within its team's contract is always granted, and all grants together never exceed the
    /// capacity.
    #[test]
    fn requests_within_contracts_are_granted_and_the_capacity_is_never_exceeded(
        teams in proptest::collection::vec(terms(), 1..8),
        spare_rate in 0.0f64..40.0,
        requests in proptest::collection::vec(request_after_pause(), 1..400),
    ) {
        let capacity = teams.iter().map(|terms| terms.rate).sum::<f64>() + spare_rate;
        let bursts = teams.iter().map(|terms| terms.burst).sum::<f64>();
        let mut limiter = FairShareLimiter::new(0.0, capacity);
        for (team, terms) in teams.iter().enumerate() {
            limiter.set_terms(0.0, team, *terms);
        }
        let mut buckets: Vec<ReferenceBucket> = teams.iter().map(ReferenceBucket::new).collect();
        let mut now = 0.0;
        let mut granted = 0.0;
        for RequestAfterPause { team, units, pause } in requests {
            now += pause;
            let team = team % teams.len();
            let bucket = &mut buckets[team];
            bucket.refill(now);
            let taken = limiter.try_take(now, team, units);
            prop_assert!(!bucket.covers(units) || taken.is_ok(), "{units} units rejected although {} are available", bucket.level);
            if taken.is_ok() {
                granted += units;
            }
            if taken == Ok(Source::Own) {
                bucket.level -= units;
            }
            let max_granted = capacity * (now + MAX_BORROWED_SECONDS) + bursts + MAX_REQUEST_UNITS;
            prop_assert!(granted <= max_granted, "granted {} units, expected at most {}", granted, max_granted);
        }
    }
}
