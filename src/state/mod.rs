//! The state of one gateway instance, with one module per kind of record. Records implement their own changes and queries;
//! [`crate::policy`] decides which change is made and when.
//!
//! All times are seconds on the caller's clock, and all indices are assigned by the caller.
mod account;
mod backend;
mod backend_set;
mod estimate;
mod outcome;
mod request;
mod timers;

pub use account::{CallPurpose, CustomerAccount, PendingCall};
pub use backend::{Backend, Ejection, ThroughputWindow};
pub use backend_set::{BackendSet, Sample, SampleSettings};
pub use estimate::{update_fraction, update_quantile, LatencyEstimate};
pub use outcome::{OutcomeKind, OutcomeKinds};
pub use request::{Attempt, PendingRequest};
pub use timers::{TimerKind, Timers};
