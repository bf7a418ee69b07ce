//! Start and stop: the configuration, the log, the signals, what the next version takes over.
pub mod check;
pub mod configuration;
pub mod descriptors;
pub mod handover;
pub mod logger;
pub mod operator;
pub mod signals;
