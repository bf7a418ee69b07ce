//! What one gateway instance remembers, a module for each kind of record. Records change themselves and answer questions about
//! themselves; which change is made, and when, is decided in [`crate::policy`].
//!
//! All times are seconds on the caller's clock, all indices are those of the caller.
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
