//! What is kept, and the one reducer through which all of it changes. Nothing here touches a socket.
//! `reducer` takes events in and asks the decisions; its other parts stand in a file each.
mod admin;
mod admission;
mod backends;
pub mod backlog;
mod broker;
mod clients;
mod counter;
pub mod descriptors;
mod discovery;
pub mod event;
pub mod framing;
mod gossip;
mod identity;
pub mod kept;
mod presence;
pub mod reducer;
mod shutdown;
mod streams;
pub mod write_buffer;
