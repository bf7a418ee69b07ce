//! Scale runs: what one instance of a large fleet costs, measured at sizes that no single machine can run whole.
//!
//! * `real` measures the program itself, beside the stand-ins of `stand_ins` on loopback.
//! * `embedded` is an instance without sockets and a process of its own; the command line and the rows call it `hollow`.
//!   `simulation` runs some of them on a simulated clock, `socket_group` with real sockets; `embedded_run` measures both.
//! * `propagation` measures how long a change of the endpoint list takes to be in force.
//! * `sweep` measures over one factor after another, `fit` puts lines through the figures, `slope_report` prints and draws them.
//!
//! Every figure is a row with the command that gave it; `rows` has the format.
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
