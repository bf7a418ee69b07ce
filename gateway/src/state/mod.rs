//! What is kept, and the one reducer through which all of it changes. Nothing here touches a socket.
//! `reducer` takes events in and asks the decisions; its other parts stand in a file each.
mod admission;
mod backends;
pub mod backlog;
mod broker;
mod clients;
mod counter;
mod drain;
pub mod event;
pub mod framing;
mod identity;
pub mod kept;
mod list;
mod operators;
mod peers;
pub mod reducer;
pub mod room;
mod roster;
mod streams;
pub mod write_buffer;
