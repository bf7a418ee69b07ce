//! The simulated deployment of a run. It is deliberately simple.
use serde::{Deserialize, Serialize};

/// A deployment: gateway instances, backends, customers and the network between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// Number of gateway instances.
    #[serde(rename = "doors")]
    pub instances: usize,
    /// Number of backends.
    pub backends: usize,
    /// Number of zones over which the backends are distributed.
    pub zones: usize,
    /// Number of cells. Backends of one cell recognise each other's idempotency keys.
    pub cells: usize,
    /// Number of customers.
    pub customers: usize,
    /// Requests per second of all clients together.
    #[serde(rename = "rate")]
    pub request_rate: f64,
    /// Seconds that a warmed-up backend takes to execute one unit, before jitter.
    #[serde(rename = "service")]
    pub service_time: f64,
    /// Number of requests that a backend executes concurrently.
    pub slots: usize,
    /// Maximum number of connections that a backend accepts.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Maximum number of attempts in flight on one connection to a backend.
    #[serde(rename = "per_connection")]
    pub max_pipelined: usize,
    /// Minimum and maximum one-way network delay, in seconds.
    #[serde(rename = "delay")]
    pub network_delay: [f64; 2],
    /// Fraction of writes that are split and arrive in pieces.
    #[serde(rename = "pieces")]
    pub split_writes: f64,
    /// Fraction of values and of request bodies that are too long to be buffered whole.
    #[serde(rename = "long")]
    pub long_values: f64,
    /// Fraction of the long values that a backend writes in uneven parts, with pauses of up to seconds.
    #[serde(rename = "paused")]
    pub paused_values: f64,
    /// Whether hedged requests are allowed.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    #[serde(rename = "cancels")]
    pub cancellation: bool,
    /// Whether gateway instances exchange gossip.
    #[serde(rename = "peers")]
    pub gossip: bool,
    /// Whether gateway instances poll the list service instead of watching it for changes.
    #[serde(rename = "asks")]
    pub polls_discovery: bool,
    /// Whether a gateway process passes its listening socket to the process of the next version.
    #[serde(rename = "passed")]
    pub inherits_listener: bool,
    /// Whether admission limits apply. The frontend's network is then listed as known.
    pub admission: bool,
    /// Whether each gateway instance starts with an operator's file that declares limits.
    #[serde(rename = "declared")]
    pub operator_files: bool,
    /// Heartbeat interval, in seconds, of the membership by which gateway instances find out which of them reach the counter.
    /// 0 disables membership.
    #[serde(rename = "presence")]
    pub membership_interval: f64,
    /// Maximum number of descriptors of one gateway instance.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Seconds for which a backend may still receive attempts after a gateway process was notified that it is draining.
    pub drain_grace: f64,
    /// Fraction of its capacity that a backend has when it starts.
    #[serde(rename = "cold_from")]
    pub slow_start_fraction: f64,
    /// Seconds that a backend takes to warm up.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: f64,
    /// Load, as a multiple of the backend's current capacity, above which a backend that is warming up counts as overloaded.
    #[serde(rename = "cold_times")]
    pub overload_factor: f64,
    /// Seconds over which the load of a backend that is warming up is measured.
    #[serde(rename = "cold_for")]
    pub overload_window: f64,
}

impl Default for World {
    fn default() -> World {
        World {
            instances: 3,
            backends: 8,
            zones: 2,
            cells: 3,
            customers: 24,
            request_rate: 80.0,
            service_time: 0.025,
            slots: 4,
            max_connections: 64,
            max_pipelined: 2,
            network_delay: [0.0003, 0.003],
            split_writes: 0.1,
            long_values: 0.01,
            paused_values: 0.0,
            hedging: true,
            cancellation: true,
            gossip: true,
            polls_discovery: false,
            inherits_listener: false,
            admission: false,
            operator_files: false,
            membership_interval: 0.0,
            max_descriptors: 256,
            drain_grace: 0.25,
            slow_start_fraction: 0.2,
            slow_start_duration: 10.0,
            overload_factor: 4.0,
            overload_window: 3.0,
        }
    }
}
