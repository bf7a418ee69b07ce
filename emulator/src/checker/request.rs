//! What is known of one request: its attempts, and its history for the report of a violation.
use super::ResponseKind;
use crate::network::LinkId;

/// How an attempt came to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    /// The backend rejected it without executing it.
    Rejected,
    /// The backend sent a reply, whether a value, a failure or one that can't be parsed.
    Answered,
    /// Its connection ended.
    Ended,
}

/// An attempt that was written completely.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The backend, by index.
    pub backend: usize,
    /// When its first byte was written.
    pub first_byte: f64,
    /// How it ended; none while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// For the message of a violation.
    pub fn describe(&self) -> String {
        let Attempt { backend, first_byte, outcome } = self;
        format!("sent to backend {backend} at {first_byte:.4}, {outcome:?}")
    }
}

/// Something that happened to a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestEvent {
    /// It was received on that connection.
    Received(LinkId),
    /// An attempt was written to a backend.
    AttemptSent { backend: usize },
    /// A backend has begun to execute it.
    ExecutionStarted { backend: usize },
    /// An attempt has ended.
    AttemptEnded { backend: usize, outcome: AttemptOutcome },
    /// Its final response was written.
    Answered(ResponseKind),
}

impl RequestEvent {
    fn describe(self) -> String {
        match self {
            RequestEvent::Received(link) => format!("received, on connection {link}"),
            RequestEvent::AttemptSent { backend } => format!("first byte of an attempt to backend {backend}"),
            RequestEvent::ExecutionStarted { backend } => format!("execution starts at backend {backend}"),
            RequestEvent::AttemptEnded { backend, outcome } => {
                format!("attempt to backend {backend}: {outcome:?}")
            }
            RequestEvent::Answered(kind) => format!("answered: {kind:?}"),
        }
    }
}

/// An event and when it happened.
#[derive(Debug)]
struct TimedEvent {
    at: f64,
    event: RequestEvent,
}

/// A request that a gateway process received.
#[derive(Debug)]
pub(super) struct RequestRecord {
    /// Index into the operations of the limits.
    pub operation: usize,
    /// The plan's name.
    pub plan: String,
    /// The customer's id.
    pub customer: u64,
    /// Seconds that the client waits.
    pub timeout: f64,
    /// When its final response was written.
    pub answered_at: Option<f64>,
    /// Its attempts, in the order in which they were written.
    pub attempts: Vec<Attempt>,
    /// Its units have been taken from its customer's ceiling and quota.
    pub charged: bool,
    /// A value that a backend made for it has arrived.
    pub value_received: bool,
    events: Vec<TimedEvent>,
}

impl RequestRecord {
    /// A request that was just received.
    pub fn new(operation: usize, plan: String, customer: u64, timeout: f64) -> RequestRecord {
        RequestRecord {
            operation,
            plan,
            customer,
            timeout,
            answered_at: None,
            attempts: vec![],
            charged: false,
            value_received: false,
            events: vec![],
        }
    }

    /// Adds to its history.
    pub fn record(&mut self, at: f64, event: RequestEvent) {
        self.events.push(TimedEvent { at, event });
    }

    /// Its history, an event a line.
    pub fn history_lines(&self) -> Vec<String> {
        let line = |timed: &TimedEvent| format!("{:9.4} {}", timed.at, timed.event.describe());
        self.events.iter().map(line).collect()
    }

    /// The earliest attempt that was not rejected: the backend may have executed it.
    pub fn possibly_executed_attempt(&self) -> Option<Attempt> {
        self.attempts.iter().find(|attempt| attempt.outcome != Some(AttemptOutcome::Rejected)).copied()
    }
}
