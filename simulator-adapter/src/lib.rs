//! Runs instances of the policy engine for a simulator, behind the simulator's wire protocol. The adapter translates event frames into
//! calls of `quillramp::policy`, and the engine's decisions and effects into action frames.
#![warn(missing_docs)]
mod actions;
mod codes;
mod events;
pub mod frame;
mod host;
mod instance;
pub use host::Host;
