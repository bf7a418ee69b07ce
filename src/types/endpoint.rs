//! Entries of the endpoint list, and the load that backends report.

/// Index that the caller has assigned to a backend. The caller may reuse it after
/// [`PolicyEngine::forget_backend`](crate::policy::PolicyEngine::forget_backend).
pub type BackendIndex = usize;

/// Status of a backend on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EndpointStatus {
    /// The backend accepts new attempts.
    Ready,
    /// The backend finishes its attempts in flight and accepts no new ones.
    Draining,
    /// The backend is no longer on the list.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The backend that the entry describes.
    pub backend: BackendIndex,
    /// Status of the backend.
    pub status: EndpointStatus,
    /// Index of the backend's zone.
    pub zone: usize,
    /// Index of the backend's cell.
    pub cell: usize,
    /// Capacity of the backend relative to other backends.
    pub weight: f64,
    /// Time of the backend's last start; `None` if it started too long ago to matter.
    pub started_at: Option<f64>,
}

/// Load that a backend reports with an answer. The values are noisy and slightly outdated; those it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of the backend's cores that are busy, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Requests in flight at the backend, including queued ones.
    pub in_flight: Option<f64>,
    /// Requests in the backend's queue.
    pub queued: Option<f64>,
    /// Recent service time without queueing, in seconds.
    pub service_time: Option<f64>,
    /// Requests that the backend completes per second.
    pub throughput: Option<f64>,
}
