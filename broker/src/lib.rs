//! A broker between teams. Each team has a contract that states which operations it may use, for which customers, at which rate and
//! within which budget. A team that exceeds its contract gets a delay after which to retry, and other teams are not affected.
//! Unused capacity is lent.
//!
//! There is no I/O and no clock here. Backends, retries and the quotas of customers belong to the policy engine
//! (`quillramp::policy`): the broker decides on a request first, and a grant that the engine then rejects is refunded.
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
