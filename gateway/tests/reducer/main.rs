//! The reducer without sockets: events in, the effects it asks for as a short trace.

mod admin;
mod bench;
mod counter;
mod descriptors;
mod operator_file;
mod peers;
mod requests;
mod shutdown;
