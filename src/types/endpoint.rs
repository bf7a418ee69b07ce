//! Backends: the entries of the endpoint list, and the load that a backend reports.

/// Index of a backend that the caller knows. The caller reuses it once the policy engine has forgotten the backend.
pub type BackendIndex = usize;

/// What the endpoint list says of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EndpointStatus {
    /// Takes new attempts.
    Ready,
    /// Finishes what it has; takes no new attempts.
    Draining,
    /// No longer on the list.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The backend that the entry is about.
    pub backend: BackendIndex,
    /// Whether it takes new attempts.
    pub status: EndpointStatus,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its cell.
    pub cell: usize,
    /// Its capacity relative to the other backends.
    pub weight: f64,
    /// When it last started; `None` if that is long past.
    pub started_at: Option<f64>,
}

/// Load that a backend reports beside an answer, as far as it reports any: slightly outdated and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of its cores that is busy, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Requests that it holds, queued ones included.
    pub in_flight: Option<f64>,
    /// Requests that wait in its queue.
    pub queued: Option<f64>,
    /// Recent service time without queueing, seconds.
    pub service_time: Option<f64>,
    /// Requests that it serves per second.
    pub throughput: Option<f64>,
}
