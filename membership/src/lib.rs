//! Membership of gateway instances by heartbeats on the counter. A counter that is partitioned, or that some instances can't reach,
//! looks healthy to the instances that reach it; only missing heartbeats reveal the fault. Each instance therefore adds a heartbeat
//! to a count once per interval, and reads the total of the previous interval. Six instances share a count, with one decimal digit
//! each, because totals are exact to seven digits.
//!
//! There is no I/O and no clock here: the caller polls for due calls, makes them, and reports their results.
#![warn(missing_docs)]
mod call;
mod group;
mod membership;
pub use call::{Count, CounterCall};
pub use membership::Membership;
