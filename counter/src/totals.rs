//! The replicated state machine: totals by name, each with a lifetime. It is deterministic: only commands change it, and each
//! command carries its time, so nodes that apply the same commands in the same order have the same state.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Default maximum lifetime of a name, seconds, as on the platform's counter.
pub const DEFAULT_MAX_LIFETIME: f64 = 60.0;
/// Maximum length of a name, bytes, as on the platform's counter.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum absolute value of an amount, as on the platform's counter.
pub const MAX_AMOUNT: f64 = 1e9;
/// Minimum lifetime, seconds: one millisecond, the unit of the platform's calls.
const MIN_LIFETIME: f64 = 0.001;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The command that adds to a total.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Add {
    /// The name of the total.
    pub name: Vec<u8>,
    /// The amount to add; may be negative.
    pub amount: f64,
    /// Lifetime of the total if it is new, seconds.
    pub lifetime: f64,
    /// Unix time at the node that received the call, seconds.
    pub time: f64,
}

impl Add {
    /// Returns whether name, amount, lifetime and time are within the limits of a counter.
    pub fn is_valid(&self) -> bool {
        (1..=MAX_NAME_BYTES).contains(&self.name.len())
            && self.amount.is_finite()
            && self.amount.abs() <= MAX_AMOUNT
            && self.lifetime >= MIN_LIFETIME
            && self.time.is_finite()
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Total {
    value: f64,
    /// Unix time, microseconds.
    expires_at: u64,
}

/// Expiry of a total; ordered by time. The encoding follows the order of the fields, which must not change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Expiry {
    /// Unix time of the expiry, microseconds.
    at: u64,
    /// The name of the total.
    name: Vec<u8>,
}

/// Totals by name. An expired total is indistinguishable from one that never existed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    by_name: BTreeMap<Vec<u8>, Total>,
    /// Expiries of all totals, ordered by time.
    by_expiry: BTreeSet<Expiry>,
    /// The latest time of any applied command, Unix time in microseconds; monotonic.
    now: u64,
}

impl Totals {
    /// Applies a command and returns the total after it.
    pub fn add(&mut self, add: &Add) -> f64 {
        // Monotonic: a clock that steps back, or that differs between nodes, neither hastens nor delays an expiry.
        self.now = self.now.max(microseconds(add.time.max(0.0)));
        self.expire();
        let expires_at = self.now + microseconds(add.lifetime);
        let total = self.by_name.entry(add.name.clone()).or_insert_with(|| {
            self.by_expiry.insert(Expiry { at: expires_at, name: add.name.clone() });
            Total { value: 0.0, expires_at }
        });
        total.value += add.amount;
        total.value
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether no name has a total.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the names and their totals, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], f64)> {
        self.by_name.iter().map(|(name, total)| (name.as_slice(), total.value))
    }

    fn expire(&mut self) {
        while self.by_expiry.first().is_some_and(|expiry| expiry.at <= self.now) {
            let Some(expiry) = self.by_expiry.pop_first() else { return };
            self.by_name.remove(&expiry.name);
        }
    }
}

fn microseconds(seconds: f64) -> u64 {
    (seconds * MICROSECONDS_PER_SECOND) as u64
}
