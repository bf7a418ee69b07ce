//! The simulator's adapter: hosts instances of quillramp's decisions behind the wire of the bench. Frames of events come in, frames of
//! actions go out; what to do is decided by `quillramp::decide` alone.
#![warn(missing_docs)]
mod actions;
mod codes;
mod events;
pub mod frame;
mod host;
mod instance;
pub use host::Host;
