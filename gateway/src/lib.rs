//! The gateway on sockets around the decisions of `quillramp::policy`.
//!
//! Bytes become typed values in [`wire`], and events in [`sockets`]; [`state`] decides by them and asks for effects, which
//! [`sockets`] carries out. [`process`] is the life cycle around that.
pub mod process;
pub mod sockets;
pub mod state;
pub mod wire;
