//! What a counter holds: totals by name, each with its life. Plain state, changed by commands in their order and by nothing else, so that every
//! member that takes the same commands in holds the same. The time is in the commands.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The longest that a name lives unless a counter is told otherwise, and what a name and an amount may be, as the platform's counter has it.
pub const LONGEST_LIFE: f64 = 60.0;
pub const LONGEST_NAME: usize = 64;
pub const LARGEST: f64 = 1e9;

/// Adds to a name. `at` is the time of the member that took the call, in seconds; the clock of the state never runs back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Add {
    pub name: Vec<u8>,
    pub by: f64,
    /// Seconds that a new name lives.
    pub lives: f64,
    pub at: f64,
}

impl Add {
    /// Whether it is a call that a counter takes.
    pub fn well(&self) -> bool {
        (1..=LONGEST_NAME).contains(&self.name.len())
            && self.by.is_finite()
            && self.by.abs() <= LARGEST
            && self.lives >= 0.001
            && self.at.is_finite()
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Total {
    is: f64,
    /// When it is forgotten, in microseconds.
    until: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    names: BTreeMap<Vec<u8>, Total>,
    /// Names by the moment at which they are forgotten.
    ends: BTreeSet<(u64, Vec<u8>)>,
    /// The latest time that a command brought, microseconds.
    now: u64,
}

impl Totals {
    /// The total that stands there afterwards.
    pub fn add(&mut self, add: &Add) -> f64 {
        // A clock that stepped back, or another member's that is behind, forgets nothing sooner and nothing later.
        self.now = self.now.max((add.at.max(0.0) * 1e6) as u64);
        self.forget();
        let lives = (add.lives * 1e6) as u64;
        let until = self.now + lives;
        let total = self.names.entry(add.name.clone()).or_insert_with(|| {
            self.ends.insert((until, add.name.clone()));
            Total { is: 0.0, until }
        });
        total.is += add.by;
        total.is
    }

    fn forget(&mut self) {
        while self.ends.first().is_some_and(|(until, _)| *until <= self.now) {
            let Some((_, name)) = self.ends.pop_first() else { return };
            self.names.remove(&name);
        }
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Names and their totals, in order.
    pub fn all(&self) -> impl Iterator<Item = (&[u8], f64)> {
        self.names.iter().map(|(name, total)| (name.as_slice(), total.is))
    }
}
