//! Clients that disconnect from a gateway on loopback while one of their requests waits. No attempt of that
//! request may start more than 0.1 s after the disconnect. Each test controls the order of events: a backend,
//! the counter or the list service responds only after the gateway has logged the disconnect. Each test runs
//! with a FIN and with a reset. docs/crossings.md has the table of what a request may wait for.

#[path = "../common/mod.rs"]
mod common;

mod busy_backend;
mod connecting;
mod counter;
mod harness;
mod paused_client;
mod shared_connection;
