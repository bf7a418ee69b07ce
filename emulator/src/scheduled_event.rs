//! Events that are scheduled on the virtual clock.
use crate::network::{LinkId, Side};
use std::net::SocketAddr;

/// An event of the simulation. Processes, instances and backends are identified by their index.
pub enum ScheduledEvent {
    /// Bytes arrive at one side of a link.
    BytesArrived {
        /// The link.
        link: LinkId,
        /// The receiving side.
        at: Side,
        /// The bytes that arrive.
        bytes: Vec<u8>,
    },
    /// One side is notified that a link was closed or reset.
    LinkClosed {
        /// The link.
        link: LinkId,
        /// The notified side.
        at: Side,
        /// Whether the link was reset, which discards bytes in transit, instead of closed after all bytes.
        reset: bool,
    },
    /// A connection request arrives at the other side.
    ConnectRequested(LinkId),
    /// A process is notified that the connection that it requested was accepted or refused.
    ConnectCompleted {
        /// The link.
        link: LinkId,
        /// Whether the connection was accepted.
        accepted: bool,
    },
    /// A process runs: it handles its inbox and its timers.
    ProcessWake(usize),
    /// A datagram arrives at a gateway instance.
    DatagramArrived {
        /// The receiving instance.
        instance: usize,
        /// Address of the sender.
        from: SocketAddr,
        /// The payload.
        body: Vec<u8>,
    },
    /// A backend has executed a job.
    JobCompleted {
        /// The backend.
        backend: usize,
        /// Number of the job at this backend.
        job: u64,
    },
    /// A backend writes the next part of a reply with pauses.
    ReplyPartDue {
        /// The backend.
        backend: usize,
        /// The link that it writes to.
        link: LinkId,
    },
    /// A fault of the scenario starts or ends.
    FaultBoundary {
        /// Index into the scenario's faults.
        index: usize,
        /// Whether the fault ends; otherwise it starts.
        ended: bool,
    },
    /// The frontend sends the next request.
    RequestDue,
    /// The next client that sends a malformed command connects.
    MalformedClientDue,
    /// The frontend retries the request with this index.
    RetryDue(usize),
    /// A client disconnects.
    ClientDisconnects(LinkId),
    /// A random link is reset.
    RandomReset,
    /// The counter has handled the oldest call on a link.
    CounterCallCompleted(LinkId),
    /// A watch at the list service times out.
    WatchTimedOut {
        /// The link of the watch.
        link: LinkId,
        /// Number of the watch.
        watch: u64,
    },
    /// A change of the endpoint list reaches the list service's agent of an instance.
    EndpointUpdate(usize),
    /// A process is killed, unless it has ended.
    ProcessKilled(usize),
    /// An instance starts a process, unless one runs.
    InstanceStarts(usize),
    /// A new process of a backend starts after a crash, a machine failure or a replacement.
    BackendStarts {
        /// The backend.
        backend: usize,
        /// The incarnation that ended. The event is ignored if another process has started since.
        incarnation: u64,
    },
}
