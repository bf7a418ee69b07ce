//! Load tests of gateway instances on loopback. An experiment file defines the stand-in servers, the traffic and the faults; the results
//! are tables, a summary and charts. Experiment files, tables and the command line use "door" or "front door" for an instance, and
//! "play" for a run.
//!
//! * `experiment` reads an experiment and draws the arrivals of its requests; `fault_schedule` computes when its faults begin and end.
//! * `run` runs a variant with the stand-in servers of `test_bed`, the processes of `fleet` and the clients of `generator`; `usage`
//!   compares the customers' usage with their quotas.
//! * `results` writes, reads, summarizes and compares the results of a session; `charts` draws them.
//! * `scale` measures the resource usage of one instance of a large fleet.
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

/// The servers of the example deployment, whose protocol functions the stand-ins use.
#[allow(dead_code)]
#[path = "../../examples/example_backend.rs"]
mod example_servers;
