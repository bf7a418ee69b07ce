//! Drives front doors over their protocol, among stand-ins of its own on loopback, by experiments that are files; keeps rows,
//! summaries and charts. Its figures are called by its name.
mod charts;
pub mod experiment;
pub mod faults;
mod fleet;
pub mod generator;
pub mod play;
pub mod results;
pub mod scale;
pub mod stage;
mod standins;

/// The toy world's parts serve here too.
#[allow(dead_code)]
#[path = "../../examples/example_backend.rs"]
mod toy;
