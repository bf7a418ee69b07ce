//! The sockets. All of this runs on the one worker thread of the coroutine runtime: what is shared is borrowed between
//! two waits and never across one, and nothing here may block the thread.
pub mod acceptor;
pub mod clock;
pub mod connection;
pub mod driver;
mod effects;
pub mod event_queue;
pub mod gossip_socket;
