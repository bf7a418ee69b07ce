//! Fault injection: deliberate faults, which tests use to show that their checks detect them.

/// A deliberate fault of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Votes for every candidate, even if its log is not up to date.
    VotesForStaleLog,
    /// Commits entries without a quorum.
    CommitsWithoutQuorum,
    /// Loses its vote in a restart.
    LosesVote,
}
