//! The emulator: the gateway's own reducer, codecs and decisions on a virtual clock, before models of everybody else, with faults from a
//! seed and every invariant checked after each event. Its world is plain: it finds violations, and measures nothing.
//!
//! A run goes through these parts:
//!
//! - [`scenario`] describes it: a deployment and the faults that strike it, from a file or generated from a seed. [`deployment`] derives
//!   the gateway's configuration and the limits of the checks.
//! - [`simulation`] runs it: it takes one event after another from the queue of the virtual clock and hands each to the party that it
//!   concerns, a [`gateway_process`] or a model (clients, backends, the counter, the discovery service).
//! - All parties share a context: the clock, the source of random draws, the links of the network, the trace.
//! - [`checker`] sees every byte at the gateway's edge and what the models did, and keeps the first violation.
//!
//! The same seed gives the same run, byte for byte: every random draw comes from one generator, in the order of events.
//!
//! Many runs: [`sweep`] over seeds, [`shrinker`] for a smaller scenario with the same violation, [`results`] as files, and the studies
//! [`growth_study`], [`quota_study`] and [`fleet_study`].
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
