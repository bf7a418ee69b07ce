//! What happens to a front door, and what it asks to be done.
use crate::wire::http::{Request, Response};
use crate::wire::manage;
use crate::wire::resp::{Answer, Call, Command, Reply};
use quillramp_admission::Limits;
use quillramp_identity::Trust;
use quillramp_operator::broker::BrokerSettings;
use quillramp_operator::routes::Table;
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// A connection, by what it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Conn {
    Client(u64),
    Backend(u64),
    Counter(u64),
    List(u64),
    /// An operator's call.
    Operator(u64),
}

/// Why a connection ended, as its log line says it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// The other side closed it.
    Closed,
    Reset,
    Refused,
    BadFraming,
    /// It never came up in time.
    DialTimeout,
    Idle,
    /// A delivery on it was given up.
    GaveUp,
    /// Its backend drains or is gone.
    Delisted,
    /// It said nothing for too long.
    Silent,
    /// It brought what nobody asked for.
    Surplus,
    /// Descriptors ran short.
    Crowded,
    /// It was not taken in.
    TurnedAway,
    /// The configuration names another address now.
    Moved,
    Stopping,
    /// The front door drains.
    Draining,
    /// An operator's call was answered, or not finished in time.
    Called,
    /// A value broke off on its way through.
    CutOff,
    /// A value on its way through stood still.
    Stalled,
}

impl Why {
    pub fn code(self) -> &'static str {
        match self {
            Why::Closed => "closed",
            Why::Reset => "reset",
            Why::Refused => "refused",
            Why::BadFraming => "bad-framing",
            Why::DialTimeout => "dial-timeout",
            Why::Idle => "idle",
            Why::GaveUp => "gave-up",
            Why::Delisted => "delisted",
            Why::Silent => "silent",
            Why::Surplus => "surplus",
            Why::Crowded => "crowded",
            Why::TurnedAway => "turned-away",
            Why::Moved => "moved",
            Why::Stopping => "stopping",
            Why::Draining => "draining",
            Why::Called => "called",
            Why::CutOff => "cut-off",
            Why::Stalled => "stalled",
        }
    }
}

/// What an operator's file says to the front door.
#[derive(Debug, Default)]
pub struct Declares {
    /// The limits of admission, where there are any.
    pub admission: Option<Limits>,
    /// What is declared for which invocations.
    pub routes: Table,
    /// The span in which front doors look who of them reaches the counter, seconds; none where they don't.
    pub presence: Option<f64>,
    /// Contracts between teams, where there is a broker.
    pub broker: Option<BrokerSettings>,
    /// What tokens are checked against, where callers have to be known.
    pub identity: Option<Trust>,
}

/// The end of a connection, as the log has it.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    pub kind: &'static str,
    pub id: u64,
    /// A backend's name.
    pub name: Option<String>,
    pub why: Why,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (space, name) = self.name.as_ref().map_or(("", ""), |n| (" ", n));
        write!(f, "connection {} {}{space}{name} ended: {}", self.kind, self.id, self.why.code())
    }
}

/// What operators change for good: it is kept for the next version too.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Since when.
    Out(String, f64),
    Back(String),
    Drained(bool),
}

impl Change {
    pub fn make(self, out: &mut BTreeMap<String, f64>, drained: &mut bool) {
        match self {
            Change::Out(name, since) => drop(out.entry(name).or_insert(since)),
            Change::Back(name) => drop(out.remove(&name)),
            Change::Drained(now) => *drained = now,
        }
    }
}

/// What the processes of one front door share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shared {
    /// Backends out by hand, and since when.
    pub out: BTreeMap<String, f64>,
    pub drained: bool,
    /// Another process of this front door is there too; and it started after this one.
    pub beside: bool,
    pub newer: bool,
    /// It leaves, and will hold no more descriptors than these.
    pub holds: Option<usize>,
}

#[derive(Debug)]
pub enum Event {
    /// A client connected, from there.
    Accepted(u64, IpAddr),
    /// An operator connected.
    Called(u64),
    Call(u64, manage::Call),
    /// What is shared has changed: by a call from here, or by another process.
    Kept {
        call: Option<u64>,
        shared: Result<Shared, String>,
    },
    /// A client's connection that was to end between invocations has.
    Parted(u64, Why),
    Command(u64, Command),
    /// A reply, and whether more came right behind it.
    Reply(u64, Reply, bool),
    /// The head of a value that is to pass through; then that it has; and what stands behind.
    Begun(u64),
    Passed(u64),
    Rest(u64, Option<f64>, Option<Vec<u8>>, bool),
    Response(Conn, Response),
    /// The beginning of a message has come, and not yet the rest.
    Partial(Conn),
    /// More of a long body has come, or there is no room for more.
    Body(u64, bool),
    /// A connection that was asked for is up.
    Up(Conn),
    /// This delivery was taken out of the buffer of a backend's connection before any of its bytes was written.
    Withdrawn {
        connection: u64,
        delivery: u64,
    },
    /// A connection ended that nobody here closed; `unsent`: not all that was written to it has left.
    Ended {
        conn: Conn,
        why: Why,
        unsent: bool,
    },
    Datagram {
        from: SocketAddr,
        body: Vec<u8>,
    },
    /// Accepting found no descriptor left for one more client.
    Crowded,
    /// The configuration was read again: where the list service and the counter are now.
    Moved {
        list: SocketAddr,
        counter: Option<SocketAddr>,
    },
    /// The operator's file was read again, all of it well.
    Declared(Box<Declares>),
    /// The configuration was to be read again, and can't be.
    NotMoved(String),
    Stop,
}

#[derive(Debug)]
pub enum Effect {
    Answer(u64, Answer),
    /// The last word to a client that is not taken in.
    TurnAway(u64, &'static str),
    /// To an operator; that side of the connection ends with it.
    Respond(u64, manage::Response),
    /// To be kept for the next version, and told to this one's other process.
    Keep(u64, Change),
    /// From now on this process holds no more descriptors than these: the other one may have the rest.
    Holds(usize),
    /// Ends a client's connection unless something has come on it that nobody has read.
    Part(u64, Why),
    /// Nothing more is heard of this client but its end.
    Mute(u64),
    /// Writes a call to a backend's connection, with the milliseconds that we shall wait for its answer.
    Deliver {
        connection: u64,
        /// Its number, unique on this connection.
        delivery: u64,
        call: Arc<Call>,
        wait_ms: u64,
    },
    /// Takes a delivery back out of its connection's buffer, if none of its bytes has been written yet.
    Withdraw {
        connection: u64,
        delivery: u64,
    },
    /// What has begun on this backend's connection passes to that client, or to nobody.
    Pass(u64, Option<u64>),
    /// Ends a backend's connection on which a value is on its way through, if its backend has been silent for so many
    /// seconds while its client took all there was, or if nothing has moved for so many, for whatever reason.
    EndIfStalled {
        connection: u64,
        silent_for: f64,
        still_for: f64,
    },
    Request(Conn, Request),
    Connect(Conn, SocketAddr),
    /// What was written before it leaves first.
    Close(Conn),
    Datagram(SocketAddr, Vec<u8>),
    Log(String),
    LogEnd(End),
    StopAccepting,
    /// Once all that was written has left.
    Exit,
    /// At once: there is no more time.
    ExitNow,
}
