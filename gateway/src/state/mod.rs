//! What an instance keeps, and the one reducer through which all of it changes. Nothing here touches a socket.
//!
//! `reducer` takes each `event` in and returns `effect`s; `dispatch` hands an event to the part that handles it, and `decisions`
//! asks the policy engine. `connection`, `shared_state` and `log_message` are the values that events and effects carry. The
//! tables (`requests`, `client_table`, `backend_table`, `counter_table`, `timers`) keep what the parts share. `backlog`,
//! `framing` and `write_buffer` keep the bytes of one connection.
mod admin;
mod admission;
mod attempts;
mod backend_table;
mod backends;
pub mod backlog;
mod broker;
mod client_table;
mod clients;
pub mod connection;
mod counter;
mod counter_table;
mod decisions;
pub mod descriptors;
mod discovery;
mod dispatch;
pub mod effect;
pub mod event;
pub mod framing;
mod gossip;
mod identity;
mod idle;
pub mod log_message;
mod membership;
pub mod reducer;
mod requests;
pub mod shared_state;
mod shutdown;
mod stats;
mod streams;
mod timers;
mod validation;
pub mod write_buffer;
