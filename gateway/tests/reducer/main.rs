//! Tests of the reducer without sockets: each feeds it events and compares the effects that it returns,
//! written as a trace.

mod admin;
mod bench;
mod contracts;
mod counter;
mod descriptors;
mod operator_file;
mod peers;
mod requests;
mod shutdown;
