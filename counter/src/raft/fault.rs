//! Faults that tests inject, to show that their checks find them.

/// A deliberate fault of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The algorithm as it is.
    #[default]
    None,
    /// Votes for every candidate, however far its log is behind.
    VotesBlindly,
    /// Commits what it alone holds.
    CommitsAlone,
    /// Forgets its vote over a restart.
    ForgetsVote,
}
