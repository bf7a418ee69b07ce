//! The simulator adapter: runs instances of the policy engine behind the wire protocol of the bench. It translates frames of events
//! into calls of `quillramp::policy`, and the engine's decisions and effects into frames of actions.
#![warn(missing_docs)]
mod actions;
mod codes;
mod events;
pub mod frame;
mod host;
mod instance;
pub use host::Host;
