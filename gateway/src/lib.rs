//! The front door on sockets round the decisions of `quillramp::decide`.
pub mod process;
pub mod sockets;
pub mod state;
pub mod wire;
