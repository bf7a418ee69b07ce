//! Which outcomes are hard to get anywhere: the fraction of attempts that failed lately, by kind of outcome, over all backends.
use crate::state::{update_fraction, OutcomeKind, OutcomeKinds};

/// The weight of one attempt in a failure rate.
const STEP: f64 = 0.05;
/// A failure rate above this makes a kind of outcome scarce: backends are preferred that are known to serve it.
const SCARCE_ABOVE: f64 = 0.1;

/// The fraction of attempts that failed, from 0 to 1, by kind of outcome.
pub(super) struct FailureRates {
    kinds: OutcomeKinds,
    /// By [`OutcomeKind::index`].
    rates: Vec<f64>,
}

impl FailureRates {
    /// Rates of 0 for each kind.
    pub fn new(kinds: OutcomeKinds) -> FailureRates {
        FailureRates { kinds, rates: vec![0.0; kinds.count()] }
    }

    /// The kinds that rates are kept for.
    pub fn kinds(&self) -> OutcomeKinds {
        self.kinds
    }

    /// Whether backends that give good outcomes of this kind are hard to find.
    pub fn is_scarce(&self, kind: OutcomeKind) -> bool {
        self.rates[kind.index()] > SCARCE_ABOVE
    }

    /// Learns from one outcome of this kind.
    pub fn record(&mut self, kind: OutcomeKind, failed: bool) {
        update_fraction(&mut self.rates[kind.index()], failed, STEP);
    }
}
