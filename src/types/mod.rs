//! Input and output values of the policy engine: its settings, the events that it handles, and the decisions and effects that it
//! returns.
//!
//! Unless noted otherwise, durations are in seconds, points in time are seconds on the clock of the caller's `now`, and indices
//! are small numbers that the caller assigns and may reuse once they are released.
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
