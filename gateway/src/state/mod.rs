//! The state of a gateway instance, and the reducer that makes all changes to it. No I/O happens here.
//!
//! `reducer` takes batches of `event`s and returns `effect`s. `dispatch` passes each event to the module that handles
//! it, and `decisions` calls the policy engine. `connection`, `shared_state` and `log_message` define the values that
//! events and effects carry. The tables (`requests`, `client_table`, `backend_table`, `counter_table`, `timers`) hold
//! the state that several modules use. `backlog`, `framing` and `write_buffer` handle the bytes of one connection,
//! `stream_progress` follows streamed values, `memory_budget` counts the bytes of all connections.
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
pub mod customers;
mod decisions;
pub mod descriptors;
mod discovery;
mod dispatch;
mod drain;
pub mod effect;
pub mod event;
pub mod framing;
mod gossip;
mod identity;
mod idle;
pub mod log_message;
mod membership;
pub mod memory_budget;
pub mod reducer;
mod requests;
pub mod shared_state;
mod shutdown;
pub mod stats;
pub mod stream_progress;
mod streams;
mod timers;
mod validation;
pub mod write_buffer;
