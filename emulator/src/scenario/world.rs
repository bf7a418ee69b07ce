//! The deployment of a run, deliberately plain.
use serde::{Deserialize, Serialize};

/// A deployment: gateway instances, backends, customers, the network between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// Gateway instances.
    #[serde(rename = "doors")]
    pub instances: usize,
    /// Backends.
    pub backends: usize,
    /// Zones of the backends.
    pub zones: usize,
    /// Backends that recognise each other's idempotency keys share a cell.
    pub cells: usize,
    /// Customers.
    pub customers: usize,
    /// Requests a second, from all clients.
    #[serde(rename = "rate")]
    pub request_rate: f64,
    /// Seconds of a backend's work for one unit.
    #[serde(rename = "service")]
    pub service_time: f64,
    /// Requests that a backend executes at once.
    pub slots: usize,
    /// Connections that a backend holds at the most.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Attempts in flight on one connection to a backend.
    #[serde(rename = "per_connection")]
    pub max_pipelined: usize,
    /// Seconds from one machine to another, at least and at most.
    #[serde(rename = "delay")]
    pub network_delay: [f64; 2],
    /// The fraction of writes that arrive in pieces.
    #[serde(rename = "pieces")]
    pub split_writes: f64,
    /// The fraction of values and of request bodies that are too long to be held complete.
    #[serde(rename = "long")]
    pub long_values: f64,
    /// Hedged requests are allowed.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Attempts may be cancelled.
    #[serde(rename = "cancels")]
    pub cancellation: bool,
    /// Gateway instances exchange gossip.
    #[serde(rename = "peers")]
    pub gossip: bool,
    /// The endpoint list comes only when it is requested.
    #[serde(rename = "asks")]
    pub polls_discovery: bool,
    /// Each gateway instance passes its listening socket to the next version.
    #[serde(rename = "passed")]
    pub inherits_listener: bool,
    /// Admission is limited, and the usual clients' addresses are known.
    pub admission: bool,
    /// Each gateway instance has an operator's file that declares limits.
    #[serde(rename = "declared")]
    pub operator_files: bool,
    /// Seconds between the rounds in which gateway instances find out who of them reaches the counter; 0: there are none.
    #[serde(rename = "presence")]
    pub membership_interval: f64,
    /// Descriptors of one gateway instance.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Seconds in which a backend may still get attempts after the notification that it drains.
    pub drain_grace: f64,
    /// The fraction of its capacity that a backend starts with.
    #[serde(rename = "cold_from")]
    pub slow_start_fraction: f64,
    /// Seconds until a backend has warmed up.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: f64,
    /// How many times its capacity overloads a backend that is warming up.
    #[serde(rename = "cold_times")]
    pub overload_factor: f64,
    /// For how long, in seconds.
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
