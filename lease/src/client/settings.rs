//! Settings of a lease client.
use crate::fault_injection::InjectedFault;

/// Identity and timing of a lease client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Id of this gateway instance.
    pub gateway: u64,
    /// Incarnation of this process; higher for each later process of the instance.
    pub incarnation: u64,
    /// Name of the region whose shards the client uses.
    pub region: String,
    /// Maximum time in seconds that a report waits to be sent in one batch with other requests.
    pub report_delay: f64,
    /// Time in seconds that a request for units waits for others to share its batch; 0 sends it immediately.
    pub batch_delay: f64,
    /// Time in seconds without a response to a batch after which the client closes the connection: several
    /// round trips within a region.
    pub response_timeout: f64,
    /// Time in seconds after which the client aborts an attempt to connect.
    pub connect_timeout: f64,
    /// Mean backoff in seconds after a failed attempt to connect. Each backoff is between 0.5 and 1.5 times
    /// the mean, to avoid a thundering herd of gateway instances.
    pub reconnect_backoff: f64,
    /// Fault for tests; `None` in production.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl ClientSettings {
    /// Returns settings with the default timing for the process `incarnation` of the gateway instance
    /// `gateway`.
    pub fn new(gateway: u64, incarnation: u64, region: &str) -> ClientSettings {
        ClientSettings {
            gateway,
            incarnation,
            region: region.to_owned(),
            report_delay: 0.2,
            batch_delay: 0.0,
            response_timeout: 0.5,
            connect_timeout: 1.0,
            reconnect_backoff: 0.5,
            injected_fault: None,
        }
    }

    /// Returns the backoff in seconds after a failed attempt to connect. Its jitter is pseudo-random, but
    /// always the same for a given instance and attempt.
    pub(super) fn backoff(&self, attempt: u32) -> f64 {
        let key = [self.gateway, u64::from(attempt)].map(u64::to_le_bytes).concat();
        let jitter = (xxhash_rust::xxh64::xxh64(&key, 0) >> 32) as f64 / f64::from(u32::MAX);
        self.reconnect_backoff * (0.5 + jitter)
    }
}
