//! The real program on loopback, and clients that close their connections while something of theirs still waits: no attempt
//! may begin more than 0.1 s later. Each test makes the order of events itself: a backend, a counter or a list service
//! under its control says nothing before it has been seen that the client has left. Both ways of leaving are tried, a FIN
//! and a reset. docs/crossings.md has the table of the places where something waits.

#[path = "../help/mod.rs"]
mod help;

mod busy_backend;
mod connecting;
mod counter;
mod shared_connection;
mod unread;
mod world;
