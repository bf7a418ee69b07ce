//! Settings of a gateway instance's client.
use crate::fault_injection::InjectedFault;

/// Identity and timing of a client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// This gateway instance.
    pub gateway: u64,
    /// This process; grows with each start.
    pub incarnation: u64,
    /// Name of the region whose shards are used.
    pub region: String,
    /// Longest time that a report waits for a request to be batched with, seconds.
    pub report_delay: f64,
    /// Time that a request for units waits for others to be batched with, seconds; 0: it is sent at once.
    pub batch_delay: f64,
    /// Time without a response to a batch after which the connection is considered broken, seconds. Several round trips
    /// within a region.
    pub response_timeout: f64,
    /// Time after which opening a connection is aborted, seconds.
    pub connect_timeout: f64,
    /// Mean backoff between two attempts to connect, seconds. Each is drawn from half to one and a half of it, to avoid
    /// a thundering herd of gateway instances.
    pub reconnect_backoff: f64,
    /// For tests only.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl ClientSettings {
    /// The default timing for a process (`incarnation`) of a gateway instance in a region.
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

    /// The backoff after a failed attempt to connect, seconds: pseudo-random, the same for the same attempt.
    pub(super) fn backoff(&self, attempt: u32) -> f64 {
        let key = [self.gateway, u64::from(attempt)].map(u64::to_le_bytes).concat();
        let jitter = (xxhash_rust::xxh64::xxh64(&key, 0) >> 32) as f64 / f64::from(u32::MAX);
        self.reconnect_backoff * (0.5 + jitter)
    }
}
