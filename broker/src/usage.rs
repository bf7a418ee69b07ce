//! Usage statistics by team.

use crate::fair_share::Source;
use crate::Verdict;

/// A team's usage, counted from the creation of the broker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests that were granted.
    pub granted: u64,
    /// Units that were granted.
    pub units: f64,
    /// Units, of those granted, that were borrowed from other teams.
    pub borrowed: f64,
    /// Requests that were deferred.
    pub deferred: u64,
    /// Requests that were denied.
    pub denied: u64,
}

impl Usage {
    /// Counts the verdict on a request for a number of units.
    pub(crate) fn record(&mut self, verdict: &Verdict, units: f64) {
        match verdict {
            Verdict::Grant(grant) => {
                self.granted += 1;
                self.units += units;
                if grant.source == Source::Borrowed {
                    self.borrowed += units;
                }
            }
            Verdict::RetryAfter { .. } => self.deferred += 1,
            Verdict::Deny(_) => self.denied += 1,
        }
    }
}

/// The usage of one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamUsage<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Version of the team's contract in force; `None` without a contract.
    pub version: Option<u32>,
    /// Usage of the team.
    pub usage: &'a Usage,
}
