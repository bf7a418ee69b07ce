//! Socket I/O: accepts and opens connections, reads and writes them, and runs the reducer.
//!
//! All of it runs in coroutines on one worker thread. A coroutine must not hold a borrow of shared state
//! while it waits, and must not block the thread.
pub mod acceptor;
pub mod clock;
pub mod connection;
pub mod driver;
mod effects;
pub mod event_queue;
pub mod failure;
pub mod gossip_socket;
