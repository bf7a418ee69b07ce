//! Start and stop: the configuration, the log, the signal to end.
pub mod configuration;
pub mod logger;
pub mod stop;
