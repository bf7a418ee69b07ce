//! Drives gateway instances over their protocol, among stand-in servers of its own on loopback, by experiments that are files; keeps
//! rows, summaries and charts. Its figures are called by its name. Experiment files, tables and the command line call an instance a
//! door or front door, and a run a play.
//!
//! * `experiment` reads an experiment and draws the arrivals of its requests; `fault_schedule` computes when which fault begins and ends.
//! * `run` makes one run of a variant: the stand-ins of `test_bed`, the processes of `fleet`, the clients of `generator`; `usage` holds
//!   what the customers used against their quotas.
//! * `results` writes, reads, sums up and compares the runs of a session; `charts` draws them.
//! * `scale` measures what one instance of a large fleet costs.
mod charts;
pub mod error;
pub mod experiment;
pub mod fault_schedule;
mod fleet;
pub mod generator;
mod process_stat;
pub mod results;
pub mod run;
pub mod scale;
mod sync;
pub mod test_bed;
pub mod usage;

/// The servers of the example deployment serve here too.
#[allow(dead_code)]
#[path = "../../examples/example_backend.rs"]
mod example_servers;
