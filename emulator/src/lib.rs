//! Deterministic simulation testing of the gateway: the production reducer, codecs and policies run on a virtual clock, against models
//! of clients, backends and services, with faults generated from a seed. Invariants are checked after each event. The models are
//! simple: the emulator finds violations of invariants, and is not meant for performance measurements.
//!
//! These modules take part in a run:
//!
//! - [`scenario`] describes the run: a deployment and the faults injected into it, read from a file or generated from a seed.
//!   [`deployment`] derives the gateway's configuration and the limits for the checker.
//! - [`simulation`] takes one event after another from the queue of the virtual clock, and dispatches it to a [`gateway_process`] or to
//!   a model (clients, backends, the counter, the list service).
//! - All parts of a run share a context: the clock, the random number generator, the links of the network and the trace.
//! - [`checker`] observes every byte that the gateway reads or writes and the actions of the models, and keeps the first violation.
//!
//! The same seed gives the same run, byte for byte: all random numbers of a run come from one generator, in the order of the events.
//!
//! Built on single runs are the [`sweep`] over seeds, the [`shrinker`], which searches for a smaller scenario with the same violation,
//! the [`results`] files, and the studies [`growth_study`], [`quota_study`] and [`fleet_study`].
mod addresses;
mod backend;
pub mod checker;
mod clients;
mod context;
mod counter;
pub mod deployment;
mod discovery;
mod event_queue;
pub mod fleet_study;
pub mod gateway_process;
pub mod growth_study;
mod http_request;
mod network;
mod operator_files;
pub mod quota_study;
pub mod quota_usage;
pub mod results;
pub mod scenario;
mod scheduled_event;
pub mod shrinker;
pub mod simulation;
pub mod sweep;
mod trace;
