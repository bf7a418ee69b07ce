//! What a front door keeps, by how long it lives.
use crate::wire::resp::{ClientReply, RequestCommand};
use quillramp::types::*;
use quillramp_broker::Grant;
use quillramp_identity::Caller;
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// One delivery; its link while it is out.
pub struct Attempt {
    pub backend: BackendIndex,
    pub at: f64,
    pub link: Option<u64>,
    /// How long its answer took to begin.
    pub took: Option<f64>,
}

/// What came beside an answer: the true units, and its backend's load.
#[derive(Clone, Copy, Default)]
pub struct ResponseMetadata {
    pub billed: Option<f64>,
    pub report: Option<LoadReport>,
}

/// One invocation, from its command to the end of its last delivery.
pub struct PendingRequest {
    pub ask: RequestAttributes,
    pub call: Arc<RequestCommand>,
    pub client: u64,
    /// Which of the client's commands it is.
    pub command: u64,
    pub deliveries: Vec<Attempt>,
    pub closed: bool,
    /// The timer at which what is still out has timed out, from the first delivery on; then for a stream.
    pub ends: Option<TimerKey>,
    /// The delivery whose value is to pass through, and whether it does: it is its turn on the client's connection.
    pub begun: Option<usize>,
    pub passes: bool,
    /// What its team's contract gave for it.
    pub grant: Option<Grant>,
}

impl PendingRequest {
    pub fn out(&self) -> bool {
        self.deliveries.iter().any(|d| d.link.is_some())
    }
}

/// A client's connection: its unanswered commands in order, and those answered out of order.
#[derive(Default)]
pub struct Client {
    pub from: Option<IpAddr>,
    /// Who speaks on it, once that was said.
    pub caller: Option<Caller>,
    pub first: u64,
    pub owed: VecDeque<(Option<RequestIndex>, Option<ClientReply>)>,
    /// When it last said something, or was answered.
    pub used: f64,
    /// It has said something.
    pub said: bool,
    /// Since when it has been at a command that is not whole.
    pub half: Option<f64>,
    /// When more of a long body came; never, while it waits for us.
    pub grown: Option<f64>,
    /// Its framing broke: it closes once all is answered.
    pub broken: bool,
    /// Nothing more is heard of it: it closes so, too.
    pub muted: bool,
}

/// A delivery on a backend's connection.
pub struct QueuedAttempt {
    /// Its number, unique on the connection.
    pub number: u64,
    /// The invocation and which of its deliveries this is; none where an answer is no longer wanted.
    pub delivery: Option<(RequestIndex, usize)>,
}

/// A connection to a backend.
pub struct BackendConnection {
    pub backend: BackendIndex,
    pub up: bool,
    /// Its end stands further back in the batch: nothing new goes on it.
    pub ending: bool,
    /// The deliveries on it, in the order of their answers.
    pub carries: VecDeque<QueuedAttempt>,
    /// The number of the next delivery on it.
    pub next_number: u64,
    pub since: f64,
}

impl BackendConnection {
    /// One that is about to be opened.
    pub fn new(backend: BackendIndex, now: f64) -> BackendConnection {
        BackendConnection {
            backend,
            up: false,
            ending: false,
            carries: VecDeque::new(),
            next_number: 0,
            since: now,
        }
    }

    /// Puts a delivery behind the others on it; returns its number.
    pub fn carry(&mut self, inv: RequestIndex, delivery: usize) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.carries.push_back(QueuedAttempt { number, delivery: Some((inv, delivery)) });
        number
    }

    /// The delivery whose answer comes next, if that is still wanted.
    pub fn front(&self) -> Option<(RequestIndex, usize)> {
        self.carries.front().and_then(|c| c.delivery)
    }

    /// It carries something, and nobody waits for any of it.
    pub fn is_abandoned(&self) -> bool {
        !self.carries.is_empty() && self.carries.iter().all(|c| c.delivery.is_none())
    }
}

/// A backend as the list has it (no address: the index is free), and its idle connections, the newest last.
#[derive(Default)]
pub struct BackendEntry {
    pub address: Option<SocketAddr>,
    pub standing: EndpointStatus,
    /// Out by hand.
    pub out: bool,
    pub idle: Vec<u64>,
}

impl BackendEntry {
    /// It may get what is new.
    pub fn takes(&self) -> bool {
        self.standing == EndpointStatus::Ready && !self.out
    }
}

/// A connection to the counter, and its calls in order, none where their time is over.
#[derive(Default)]
pub struct CounterConnection {
    pub up: bool,
    pub calls: VecDeque<(u64, Option<(CounterKey, TimerKey)>)>,
    /// Calls for when it is up.
    pub waits: Vec<(CounterCall, u64, TimerKey)>,
    /// A call on it went unanswered past its time, and nothing came since.
    pub silent: bool,
    /// The counter has moved: nothing new goes on it.
    pub old: bool,
    pub used: f64,
}

impl CounterConnection {
    /// New calls may go on it.
    pub fn well(&self) -> bool {
        !self.silent && !self.old
    }
    /// It carries nothing and nothing waits for it.
    pub fn idle(&self) -> bool {
        self.calls.is_empty() && self.waits.is_empty()
    }
}

/// A timer, by its time and number.
pub type TimerKey = (u64, u64);

/// A call of the counter, in its turn among those on the same name; its result if earlier ones are still out.
pub struct PendingCall {
    pub no: u64,
    pub link: u64,
    pub result: Option<CounterResult>,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub enum TimerKind {
    ConnectTimeout(u64),
    RequestTimeout(RequestIndex),
    StreamStalled(RequestIndex),
    PartialCommand(u64),
    CounterTimeout(u64, u64),
    WatchTimeout(u64),
    RetryWatch,
    IdleCheck,
    AdminTimeout(u64),
    BeginDrain,
    StopReading,
    PresenceCall,
    AnswerBeforeExit,
    Exit,
}
