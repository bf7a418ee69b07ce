//! Scale runs: measure what one gateway instance of a large fleet costs. One machine cannot run the whole fleet, so
//! one or a few instances run, and a stand-in counter estimates what the others would add to its totals.
//!
//! * `real` measures one process of the gateway program. `stand_ins` provides the counter, the list service and the
//!   backends on loopback.
//! * `embedded` runs the gateway's code in this process, without its sockets; the command line and the rows call such
//!   an instance `hollow`. `simulation` runs embedded instances on a simulated clock, `socket_group` runs them with
//!   real sockets, and `embedded_run` measures both.
//! * `propagation` measures the time from a change of the endpoint list until every instance has applied it.
//! * `sweep` varies one factor at a time, `fit` fits straight lines to the figures, and `slope_report` prints and
//!   draws these lines.
//!
//! Each figure is one row of a CSV file, together with the command that measured it; `rows` defines the format.
mod clients;
mod clock;
pub mod command;
pub mod counter_totals;
mod embedded;
pub mod embedded_run;
mod endpoint_rotation;
pub mod error;
mod event_queue;
pub mod fit;
pub mod operating_point;
mod operator_file;
mod outcomes;
mod process;
pub mod propagation;
pub mod real;
mod requests;
pub mod rows;
mod server_protocol;
mod server_traffic;
mod simulation;
mod slope_report;
mod socket_group;
mod stand_ins;
mod steady_state;
mod stream_io;
pub mod sweep;
pub mod timing;
