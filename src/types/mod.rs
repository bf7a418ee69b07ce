//! Plain values that cross the border of the policy engine: what it is started with, the events it is notified of, and the decisions and
//! effects that it returns.
//!
//! Unless a field says otherwise, durations are seconds, points in time are seconds on the clock of the caller's `now`, and
//! indices are small numbers that the caller assigns and may reuse after it has released them.
mod attempt;
mod counter;
mod effects;
mod endpoint;
mod gossip;
mod log_message;
mod request;
mod settings;

pub use attempt::*;
pub use counter::*;
pub use effects::*;
pub use endpoint::*;
pub use gossip::*;
pub use log_message::*;
pub use request::*;
pub use settings::*;
