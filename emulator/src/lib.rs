//! The front door's own reducer, codecs and decisions on a virtual clock, before models of all other parties, with faults
//! from a seed and every rule checked after each step. Its world is plain: it finds broken rules, and measures nothing.
mod agenda;
mod backends;
mod clients;
mod counter;
mod declared;
mod discovery;
pub mod door;
pub mod fleets;
pub mod growth;
mod net;
pub mod play;
pub mod quota;
pub mod quotas;
pub mod results;
pub mod rules;
pub mod script;
pub mod shrink;
pub mod sweep;
mod trace;
