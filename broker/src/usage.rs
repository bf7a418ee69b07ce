//! Usage statistics by team.

/// A team's usage, counted from the creation of the broker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests that were granted.
    pub granted: u64,
    /// Units that were granted.
    pub units: f64,
    /// Of these, units borrowed from other teams.
    pub borrowed: f64,
    /// Requests that were told to retry later.
    pub deferred: u64,
    /// Requests that were denied.
    pub denied: u64,
}

/// The usage of one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamUsage<'a> {
    /// Its name.
    pub team: &'a str,
    /// The version of its contract that is in force.
    pub version: Option<u32>,
    /// Its usage.
    pub usage: &'a Usage,
}
