//! Scale runs: what one front door of a large fleet costs, measured at sizes that no single machine can run whole.
//!
//! A *real* front door is the program itself, beside the stand-ins of this module on loopback. Every figure is a row
//! with the command that gave it; `rows` has the format.
pub mod agenda;
pub mod command;
pub mod counts;
pub mod cpu;
pub mod discovery;
pub mod fit;
pub mod hollow;
pub mod hollow_run;
pub mod in_process;
pub mod on_sockets;
pub mod operator_file;
pub mod point;
pub mod process;
pub mod real;
pub mod report;
pub mod rows;
pub mod servers;
pub mod spreading;
pub mod stand_ins;
pub mod steady;
pub mod sweep;
pub mod tally;
pub mod traffic;
