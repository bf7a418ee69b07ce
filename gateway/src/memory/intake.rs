//! What comes on one connection, as events: where it is in its messages. No socket: bytes in, events out, so that
//! whoever moves the bytes (the sockets, the emulator) reads them alike.
use super::event::{Conn, Event, Why};
use crate::wire::{http, manage, resp, Broken};

/// Where a backend's connection is in a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// At its beginning.
    Head,
    /// A long value has begun, and waits for the word to pass.
    Waits { left: usize },
    /// So much of it is still to pass.
    Passes { left: usize },
    /// Behind the value.
    Rest,
}

/// Who hears of what came.
pub trait Hears {
    /// An event; where it is a long command, how many bytes that holds until it is answered, else 0.
    fn event(&mut self, event: Event, long: usize);
    /// A piece of a value on its way through; `end`: the last, with the line's end behind it.
    fn piece(&mut self, bytes: &[u8], end: bool);
    /// No more events are wanted now; what is left of the bytes is for later.
    fn enough(&self) -> bool {
        false
    }
}

pub struct Intake {
    conn: Conn,
    stage: Stage,
    /// Nothing more of what comes is looked at.
    pub deaf: bool,
}

impl Intake {
    pub fn new(conn: Conn) -> Intake {
        Intake { conn, stage: Stage::Head, deaf: false }
    }

    /// A value that has begun may pass: how long it is. None where none waits.
    pub fn passes(&mut self) -> Option<usize> {
        let Stage::Waits { left } = self.stage else { return None };
        self.stage = Stage::Passes { left };
        Some(left)
    }

    /// A value has begun and waits for the word to pass.
    pub fn waits(&self) -> bool {
        matches!(self.stage, Stage::Waits { .. })
    }

    pub fn is_passing(&self) -> bool {
        matches!(self.stage, Stage::Passes { .. })
    }

    /// Tells of each whole message; how many bytes they took.
    pub fn decode(&mut self, bytes: &[u8], to: &mut dyn Hears) -> Result<usize, Why> {
        let mut done = 0;
        loop {
            let rest = &bytes[done..];
            if rest.is_empty() || to.enough() {
                return Ok(done);
            }
            let event = match self.conn {
                Conn::Client(id) => match resp::command(rest) {
                    Ok(m) => m.map(|(m, n)| (Event::Command(id, m), n)),
                    Err(Broken(why)) => {
                        self.broken(why, to);
                        return Ok(bytes.len());
                    }
                },
                Conn::Backend(id) => match self.stage {
                    Stage::Waits { .. } => return Ok(done),
                    Stage::Passes { left } => {
                        let n = self.pass(left, rest, to)?;
                        done += n;
                        if n > left {
                            to.event(Event::Passed(id), 0);
                        } else if n == 0 {
                            return Ok(done); // the end of the value is in two pieces
                        }
                        continue;
                    }
                    Stage::Rest => {
                        let m = resp::tail(rest).map_err(|_| Why::BadFraming)?;
                        let Some(((billed, report), n)) = m else { return Ok(done) };
                        self.stage = Stage::Head;
                        Some((Event::Rest(id, billed, report, n < rest.len()), n))
                    }
                    Stage::Head => match resp::head(rest).map_err(|_| Why::BadFraming)? {
                        Some((left, n)) => {
                            self.stage = Stage::Waits { left };
                            Some((Event::Begun(id), n))
                        }
                        None => {
                            let m = resp::reply(rest).map_err(|_| Why::BadFraming)?;
                            m.map(|(m, n)| (Event::Reply(id, m, n < rest.len()), n))
                        }
                    },
                },
                Conn::Operator(id) => {
                    let call = manage::call(rest).map(|call| (Event::Call(id, call), rest.len()));
                    self.deaf |= call.is_some(); // one call to a connection
                    call
                }
                conn => {
                    let m = http::response(rest).map_err(|_| Why::BadFraming)?;
                    m.map(|(m, n)| (Event::Response(conn, m), n))
                }
            };
            let Some((event, n)) = event else {
                let partial = match self.conn {
                    Conn::Client(id) if rest.len() > resp::MESSAGE => Event::Body(id, true),
                    conn => Event::Partial(conn),
                };
                to.event(partial, 0);
                return Ok(done);
            };
            to.event(event, if n > resp::MESSAGE { n } else { 0 });
            done += n;
        }
    }

    /// Passes the beginning of these bytes on, as far as they belong to the value; how many that were.
    fn pass(&mut self, left: usize, bytes: &[u8], to: &mut dyn Hears) -> Result<usize, Why> {
        let n = bytes.len().min(left);
        self.stage = Stage::Passes { left: left - n };
        let end = if left == n { bytes.get(n..n + 2) } else { None };
        if end.is_some_and(|end| end != b"\r\n") {
            return Err(Why::BadFraming);
        }
        to.piece(&bytes[..n], end.is_some());
        let Some(end) = end else { return Ok(n) };
        self.stage = Stage::Rest;
        Ok(n + end.len())
    }

    /// Nothing more of what this client says is understood.
    pub fn broken(&mut self, why: &'static str, to: &mut dyn Hears) {
        if let (Conn::Client(id), false) = (self.conn, std::mem::replace(&mut self.deaf, true)) {
            to.event(Event::Command(id, resp::Command::Broken(why)), 0);
        }
    }
}
