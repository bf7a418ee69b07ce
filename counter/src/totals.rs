//! What a counter holds: totals by name, each with its lifetime. It is plain state, changed by commands in their order and by nothing
//! else, so that every node that applies the same commands holds the same. The time is in the commands.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The longest lifetime of a name unless a counter is configured otherwise, seconds; the platform's counter has it so.
pub const DEFAULT_MAX_LIFETIME: f64 = 60.0;
/// The longest name, bytes; the platform's counter has it so.
pub const MAX_NAME_BYTES: usize = 64;
/// The largest amount either way; the platform's counter has it so.
pub const MAX_AMOUNT: f64 = 1e9;
/// The shortest lifetime, seconds: the unit of the platform's calls.
const MIN_LIFETIME: f64 = 0.001;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The command that adds to a total.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Add {
    /// The name of the total.
    pub name: Vec<u8>,
    /// What is added; may be negative.
    pub amount: f64,
    /// How long a new name lives, seconds.
    pub lifetime: f64,
    /// The clock of the node that took the call, seconds since 1970.
    pub time: f64,
}

impl Add {
    /// Whether it is within the limits of a counter.
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
    /// Microseconds since 1970.
    expires_at: u64,
}

/// Totals by name; a total that has expired is as if it had never been there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    by_name: BTreeMap<Vec<u8>, Total>,
    /// Names in the order in which they expire.
    by_expiry: BTreeSet<(u64, Vec<u8>)>,
    /// The latest time of a command, microseconds since 1970; never runs back.
    now: u64,
}

impl Totals {
    /// Applies a command: the total after it.
    pub fn add(&mut self, add: &Add) -> f64 {
        // A clock that stepped back, or another node's that is behind, expires nothing sooner and nothing later.
        self.now = self.now.max(microseconds(add.time.max(0.0)));
        self.expire();
        let expires_at = self.now + microseconds(add.lifetime);
        let total = self.by_name.entry(add.name.clone()).or_insert_with(|| {
            self.by_expiry.insert((expires_at, add.name.clone()));
            Total { value: 0.0, expires_at }
        });
        total.value += add.amount;
        total.value
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Names and their totals, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], f64)> {
        self.by_name.iter().map(|(name, total)| (name.as_slice(), total.value))
    }

    fn expire(&mut self) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| *expires_at <= self.now) {
            let Some((_, name)) = self.by_expiry.pop_first() else { return };
            self.by_name.remove(&name);
        }
    }
}

fn microseconds(seconds: f64) -> u64 {
    (seconds * MICROSECONDS_PER_SECOND) as u64
}
