//! Recent failure rates of attempts over all backends, by kind of outcome. A kind that fails often is scarce.
use crate::state::{update_fraction, OutcomeKind, OutcomeKinds};

/// Weight of one attempt in a failure rate.
const ATTEMPT_WEIGHT: f64 = 0.05;
/// Failure rate above which a kind of outcome is scarce: backends with recent good outcomes of that kind are
/// preferred.
const SCARCE_FAILURE_RATE: f64 = 0.1;

/// Fraction of attempts that failed, 0 to 1, by kind of outcome.
pub(super) struct FailureRates {
    kinds: OutcomeKinds,
    /// Indexed by [`OutcomeKind::index`].
    rates: Vec<f64>,
}

impl FailureRates {
    /// Creates failure rates of 0 for all kinds.
    pub fn new(kinds: OutcomeKinds) -> FailureRates {
        FailureRates { kinds, rates: vec![0.0; kinds.count()] }
    }

    /// Returns the kinds of outcomes that have a failure rate.
    pub fn kinds(&self) -> OutcomeKinds {
        self.kinds
    }

    /// Whether good outcomes of this kind are scarce.
    pub fn is_scarce(&self, kind: OutcomeKind) -> bool {
        self.rates[kind.index()] > SCARCE_FAILURE_RATE
    }

    /// Records an outcome of this kind.
    pub fn record(&mut self, kind: OutcomeKind, failed: bool) {
        update_fraction(&mut self.rates[kind.index()], failed, ATTEMPT_WEIGHT);
    }
}
