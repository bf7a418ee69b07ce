//! The front door on sockets round the decisions of `quillramp::decide`.
pub mod life;
pub mod memory;
pub mod sockets;
pub mod wire;
