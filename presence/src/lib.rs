//! Which gateway instances the counter hears of. A counter that is split, or that some instances can't reach, looks healthy to each of
//! them; only the heartbeats that are missing from it tell. So each instance adds a heartbeat to a count once in each interval, and
//! reads what the count of the last interval stands at. Six instances share a count: one decimal digit each, as totals are exact to
//! seven digits.
//!
//! There is no I/O and no clock here: the caller asks which calls are due, makes them, and reports what came of them.
#![warn(missing_docs)]
mod call;
mod group;
mod membership;
pub use call::{Count, CounterCall};
pub use membership::Membership;
