//! Start and stop: the configuration, the log, the signals.
pub mod configuration;
pub mod logger;
pub mod signals;
