//! The record of one request: its attempts, and its history for the report of a violation.
use super::ResponseKind;
use crate::network::LinkId;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    /// The backend rejected the attempt without executing it.
    Rejected,
    /// The backend replied with a value, with a failure, or with bytes that can't be parsed.
    Answered,
    /// The connection ended before a reply arrived.
    Ended,
}

/// An attempt that a process has written completely.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Index of the backend.
    pub backend: usize,
    /// Time at which its first byte was written.
    pub first_byte_at: f64,
    /// How the attempt ended; none while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Returns a description for the message of a violation.
    pub fn describe(&self) -> String {
        let Attempt { backend, first_byte_at, outcome } = self;
        format!("sent to backend {backend} at {first_byte_at:.4}, outcome {outcome:?}")
    }
}

/// An event in the history of a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestEvent {
    /// A process received the request on this connection.
    Received(LinkId),
    /// The first byte of an attempt was written to a backend.
    AttemptSent { backend: usize },
    /// A backend started to execute the request.
    ExecutionStarted { backend: usize },
    /// An attempt ended.
    AttemptEnded { backend: usize, outcome: AttemptOutcome },
    /// A process wrote the final response.
    Answered(ResponseKind),
}

impl RequestEvent {
    fn describe(self) -> String {
        match self {
            RequestEvent::Received(link) => format!("received on connection {link}"),
            RequestEvent::AttemptSent { backend } => format!("first byte of an attempt to backend {backend}"),
            RequestEvent::ExecutionStarted { backend } => format!("execution started at backend {backend}"),
            RequestEvent::AttemptEnded { backend, outcome } => {
                format!("attempt to backend {backend}: {outcome:?}")
            }
            RequestEvent::Answered(kind) => format!("answered: {kind:?}"),
        }
    }
}

/// An event with its time.
#[derive(Debug)]
struct TimedEvent {
    at: f64,
    event: RequestEvent,
}

/// A request that a gateway process received.
#[derive(Debug)]
pub(super) struct RequestRecord {
    /// Index of the operation in [`super::CheckedLimits::operations`].
    pub operation: usize,
    /// Name of the plan.
    pub plan: String,
    /// Id of the customer.
    pub customer: u64,
    /// Seconds that the client waits for the response.
    pub timeout: f64,
    /// Time at which the final response was written.
    pub answered_at: Option<f64>,
    /// The attempts, in the order in which they were written.
    pub attempts: Vec<Attempt>,
    /// Whether the request's units have been charged to the customer's quota and ceiling.
    pub charged: bool,
    /// Whether a connection with an attempt in flight ended for another reason than the process's own decision.
    pub connection_lost: bool,
    /// Whether at least the head of a value from a backend has arrived for the request.
    pub value_received: bool,
    events: Vec<TimedEvent>,
}

impl RequestRecord {
    /// Returns the record of a request without attempts and events.
    pub fn new(operation: usize, plan: String, customer: u64, timeout: f64) -> RequestRecord {
        RequestRecord {
            operation,
            plan,
            customer,
            timeout,
            answered_at: None,
            attempts: vec![],
            charged: false,
            connection_lost: false,
            value_received: false,
            events: vec![],
        }
    }

    /// Adds an event to the history.
    pub fn record(&mut self, at: f64, event: RequestEvent) {
        self.events.push(TimedEvent { at, event });
    }

    /// Returns the history, one event per line.
    pub fn history_lines(&self) -> Vec<String> {
        let line = |timed: &TimedEvent| format!("{:9.4} {}", timed.at, timed.event.describe());
        self.events.iter().map(line).collect()
    }

    /// Returns the earliest attempt that was not rejected, so that the backend may have executed it.
    pub fn possibly_executed_attempt(&self) -> Option<Attempt> {
        self.attempts.iter().find(|attempt| attempt.outcome != Some(AttemptOutcome::Rejected)).copied()
    }
}
