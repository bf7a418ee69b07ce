//! A broker between teams: each team has a contract that says which operations it may use, for which customers, at which rate and within
//! which budget. A team that asks for more is told when to try again, and the others do not notice. Capacity that nobody uses is lent.
//!
//! There is no I/O and no clock here. The broker knows nothing of backends, retries and the customers' own quotas, which are
//! `quillramp::decide`'s: a request is put to the broker first, and what is refused after that is refunded.
#![warn(missing_docs)]
mod broker;
pub mod budget;
pub mod contract;
pub mod fair_share;
mod usage;
mod verdict;

pub use broker::Broker;
pub use usage::{TeamUsage, Usage};
pub use verdict::{Grant, Reason, Request, Response, Verdict};

/// Identifies a team at one instance of the gateway.
pub type TeamId = usize;
