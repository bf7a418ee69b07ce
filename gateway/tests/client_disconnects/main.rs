//! Clients that disconnect from a gateway on loopback while a request of theirs waits for something: no attempt of it may begin
//! more than 0.1 s later. Each test controls the order of events: a backend, a counter or a list service does not respond before
//! the gateway has logged the disconnect. Each test is run with a FIN and with a reset. docs/crossings.md has the table of what a
//! request may wait for.

#[path = "../common/mod.rs"]
mod common;

mod busy_backend;
mod connecting;
mod counter;
mod harness;
mod paused_client;
mod shared_connection;
