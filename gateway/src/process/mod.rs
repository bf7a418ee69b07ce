//! The life cycle of the process: configuration, log, signals, and the handover to the next process.
pub mod allocator;
pub mod check;
pub mod configuration;
pub mod descriptors;
pub mod handover;
pub mod inherited_listener;
pub mod logger;
pub mod operator;
pub mod process_identity;
pub mod shared_file;
pub mod signals;
