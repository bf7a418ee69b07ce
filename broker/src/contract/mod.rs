//! Contracts as they are written: versions of a team's contract, of which one is in force at a time.
mod conflict;
mod registry;
pub use conflict::Conflict;
pub use registry::Contracts;

/// One version of a team's contract. Times are Unix seconds; rates are units a second of all gateway instances together.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// The team's name.
    pub team: String,
    /// Of several versions in force the highest holds.
    pub version: u32,
    /// In force from then on.
    pub valid_from: f64,
    /// In force before then.
    pub valid_until: f64,
    /// Patterns of the operations that the team may use, see [`matches_any`].
    pub operations: Vec<String>,
    /// Customers that the team speaks for; none: whichever it names.
    pub customers: Vec<u64>,
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Lower limits on single operations.
    pub operation_limits: Vec<OperationLimit>,
    /// Its weight beside others that borrow unused capacity.
    pub weight: f64,
    /// A limit over a longer period.
    pub budget: Option<Budget>,
}

/// A limit on the operations that a pattern matches.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationLimit {
    /// A name, or a prefix with a star.
    pub operation: String,
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// So many units in each period; periods are counted from 1970.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Units in a period.
    pub units: f64,
    /// Length of a period, seconds.
    pub period: f64,
}

impl Contract {
    /// Whether a time lies between its beginning and its end.
    pub fn is_valid_at(&self, now: f64) -> bool {
        now >= self.valid_from && now < self.valid_until
    }

    /// Whether the team may use an operation.
    pub fn allows(&self, operation: &str) -> bool {
        matches_any(&self.operations, operation)
    }

    /// The place in `operation_limits` of the limit on an operation, where there is one.
    pub fn operation_limit(&self, operation: &str) -> Option<usize> {
        self.operation_limits.iter().position(|limit| matches(&limit.operation, operation))
    }

    fn overlaps(&self, other: &Contract) -> bool {
        other.valid_from < self.valid_until && self.valid_from < other.valid_until
    }
}

/// Whether one of these patterns, each a name or a prefix with a star, matches a name. An empty list matches all.
pub fn matches_any(patterns: &[String], name: &str) -> bool {
    patterns.is_empty() || patterns.iter().any(|pattern| matches(pattern, name))
}

fn matches(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => pattern == name,
    }
}
