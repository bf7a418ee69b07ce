//! What can happen at a time of the virtual clock.
use crate::network::{LinkId, Side};
use std::net::SocketAddr;

/// An event of the simulated world. Processes, instances and backends are named by their index.
pub enum ScheduledEvent {
    /// Bytes arrive at one side of a link.
    BytesArrived {
        /// On which link.
        link: LinkId,
        /// At which side.
        at: Side,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// One side is notified that the link was closed behind all that was sent, or reset.
    LinkClosed {
        /// Which link.
        link: LinkId,
        /// Which side is notified.
        at: Side,
        /// Whatever was on its way is lost.
        reset: bool,
    },
    /// A connection that one side asked for has reached the other side.
    ConnectRequested(LinkId),
    /// A process is notified that a connection it asked for was accepted or refused.
    ConnectCompleted {
        /// Which link.
        link: LinkId,
        /// Accepted, else refused.
        accepted: bool,
    },
    /// A process handles the events that have come, or its timers.
    ProcessWake(usize),
    /// A datagram arrives at a gateway instance.
    DatagramArrived {
        /// At which instance.
        instance: usize,
        /// The sender.
        from: SocketAddr,
        /// The payload.
        body: Vec<u8>,
    },
    /// A backend has executed a job.
    JobCompleted {
        /// Which backend.
        backend: usize,
        /// The job's number at that backend.
        job: u64,
    },
    /// A fault of the scenario starts or ends.
    FaultBoundary {
        /// Index into the scenario's faults.
        index: usize,
        /// It ends, else it starts.
        ended: bool,
    },
    /// The clients send the next request.
    RequestDue,
    /// The next client connects that sends what can't be parsed.
    MalformedClientDue,
    /// A client sends a request again, by the request's index.
    RetryDue(usize),
    /// A client disconnects.
    ClientDisconnects(LinkId),
    /// Some link is reset at random.
    RandomReset,
    /// The counter has handled the oldest call on a link.
    CounterCallCompleted(LinkId),
    /// A watch at the discovery service has come to its timeout.
    WatchTimedOut {
        /// The link that it waits on.
        link: LinkId,
        /// The watch's number.
        watch: u64,
    },
    /// A change of the endpoint list reaches the discovery agent of an instance.
    EndpointUpdate(usize),
    /// A process is killed, if it is still there.
    ProcessKilled(usize),
    /// An instance's process starts, unless one runs.
    InstanceStarts(usize),
    /// The process of a backend that crashed or was replaced starts.
    BackendStarts {
        /// Which backend.
        backend: usize,
        /// The incarnation that came to its end: the event is stale after the next start.
        incarnation: u64,
    },
}
