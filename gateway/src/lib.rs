//! The gateway process around the policy engine, `quillramp::policy`.
//!
//! [`sockets`] reads bytes, which [`wire`] decodes, and reports them as events to the reducer in [`state`].
//! The reducer returns effects, which [`sockets`] carries out. [`process`] has the life cycle of the process.
pub mod process;
pub mod sockets;
pub mod state;
pub mod wire;
