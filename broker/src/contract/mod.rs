//! Contracts between teams. A team's contract has versions, of which one is in force at a time.
mod conflict;
mod registry;
pub use conflict::Conflict;
pub use registry::Contracts;

/// One version of a team's contract. Times are Unix seconds; rates are those of all gateway instances together, units per second.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// Name of the team.
    pub team: String,
    /// Version; the highest of several valid versions is in force.
    pub version: u32,
    /// Start of the validity.
    pub valid_from: f64,
    /// End of the validity, exclusive.
    pub valid_until: f64,
    /// Patterns of the operations that the team may use, see [`matches_any`].
    pub operations: Vec<String>,
    /// Customers for which the team may send requests; empty: any.
    pub customers: Vec<u64>,
    /// The rate, units per second.
    pub rate: f64,
    /// The burst, units.
    pub burst: f64,
    /// Additional limits on single operations.
    pub operation_limits: Vec<OperationLimit>,
    /// Weight of the team among those that borrow unused capacity.
    pub weight: f64,
    /// Limit over a longer period; `None` for no limit.
    pub budget: Option<Budget>,
}

/// A limit on the operations that a pattern matches.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationLimit {
    /// Name of an operation, or a prefix followed by `*`.
    pub operation: String,
    /// The rate, units per second.
    pub rate: f64,
    /// The burst, units.
    pub burst: f64,
}

/// A number of units per period; periods are aligned to the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Units in a period.
    pub units: f64,
    /// Length of a period, seconds.
    pub period: f64,
}

impl Contract {
    /// Returns whether the contract is valid at a time.
    pub fn is_valid_at(&self, now: f64) -> bool {
        now >= self.valid_from && now < self.valid_until
    }

    /// Returns whether the team may use an operation.
    pub fn allows(&self, operation: &str) -> bool {
        matches_any(&self.operations, operation)
    }

    /// Returns the first limit that matches an operation.
    pub fn operation_limit(&self, operation: &str) -> Option<&OperationLimit> {
        self.operation_limits.iter().find(|limit| matches(&limit.operation, operation))
    }

    /// Returns whether both contracts are valid at some time.
    fn overlaps(&self, other: &Contract) -> bool {
        other.valid_from < self.valid_until && self.valid_from < other.valid_until
    }
}

/// Returns whether any pattern matches a name; a pattern is a name, or a prefix followed by `*`. An empty list matches all names.
pub fn matches_any(patterns: &[String], name: &str) -> bool {
    patterns.is_empty() || patterns.iter().any(|pattern| matches(pattern, name))
}

fn matches(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => pattern == name,
    }
}
