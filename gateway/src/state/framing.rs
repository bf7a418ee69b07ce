//! What comes on one connection, as events: where it is in its messages. No socket: bytes in, events out, so that
//! whoever moves the bytes (the sockets, the emulator) reads them alike.
use super::event::{CloseReason, ConnectionId, Event};
use crate::wire::{admin, http, resp, ProtocolError};

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
pub trait MessageSink {
    /// An event; where it is a long command, how many bytes that holds until it is answered, else 0.
    fn event(&mut self, event: Event, long: usize);
    /// A piece of a value on its way through; `end`: the last, with the line's end behind it.
    fn body_chunk(&mut self, bytes: &[u8], end: bool);
    /// No more events are wanted now; what is left of the bytes is for later.
    fn is_full(&self) -> bool {
        false
    }
}

pub struct MessageReader {
    conn: ConnectionId,
    stage: Stage,
    /// Nothing more of what comes is looked at.
    pub discard: bool,
}

impl MessageReader {
    pub fn new(conn: ConnectionId) -> MessageReader {
        MessageReader { conn, stage: Stage::Head, discard: false }
    }

    /// A value that has begun may pass: how long it is. None where none waits.
    pub fn start_streaming(&mut self) -> Option<usize> {
        let Stage::Waits { left } = self.stage else { return None };
        self.stage = Stage::Passes { left };
        Some(left)
    }

    /// A value has begun and waits for the word to pass.
    pub fn is_stream_pending(&self) -> bool {
        matches!(self.stage, Stage::Waits { .. })
    }

    pub fn is_streaming(&self) -> bool {
        matches!(self.stage, Stage::Passes { .. })
    }

    /// Tells of each whole message; how many bytes they took.
    pub fn decode(&mut self, bytes: &[u8], to: &mut dyn MessageSink) -> Result<usize, CloseReason> {
        let mut done = 0;
        loop {
            let rest = &bytes[done..];
            if rest.is_empty() || to.is_full() {
                return Ok(done);
            }
            let event = match self.conn {
                ConnectionId::Client(id) => match resp::decode_command(rest) {
                    Ok(m) => m.map(|(m, n)| (Event::ClientCommand(id, m), n)),
                    Err(ProtocolError(why)) => {
                        self.protocol_error(why, to);
                        return Ok(bytes.len());
                    }
                },
                ConnectionId::Backend(id) => match self.stage {
                    Stage::Waits { .. } => return Ok(done),
                    Stage::Passes { left } => {
                        let n = self.pass(left, rest, to)?;
                        done += n;
                        if n > left {
                            to.event(Event::StreamForwarded(id), 0);
                        } else if n == 0 {
                            return Ok(done); // the end of the value is in two pieces
                        }
                        continue;
                    }
                    Stage::Rest => {
                        let m = resp::decode_trailer(rest).map_err(|_| CloseReason::BadFraming)?;
                        let Some(((billed, report), n)) = m else { return Ok(done) };
                        self.stage = Stage::Head;
                        Some((Event::StreamTrailer(id, billed, report, n < rest.len()), n))
                    }
                    Stage::Head => {
                        match resp::decode_stream_head(rest).map_err(|_| CloseReason::BadFraming)? {
                            Some((left, n)) => {
                                self.stage = Stage::Waits { left };
                                Some((Event::StreamStarted(id), n))
                            }
                            None => {
                                let m = resp::decode_reply(rest).map_err(|_| CloseReason::BadFraming)?;
                                m.map(|(m, n)| (Event::BackendReply(id, m, n < rest.len()), n))
                            }
                        }
                    }
                },
                ConnectionId::Admin(id) => {
                    let call = admin::decode_call(rest).map(|call| (Event::AdminCall(id, call), rest.len()));
                    self.discard |= call.is_some(); // one call to a connection
                    call
                }
                conn => {
                    let m = http::decode_response(rest).map_err(|_| CloseReason::BadFraming)?;
                    m.map(|(m, n)| (Event::HttpResponse(conn, m), n))
                }
            };
            let Some((event, n)) = event else {
                let partial = match self.conn {
                    ConnectionId::Client(id) if rest.len() > resp::MAX_MESSAGE_BYTES => {
                        Event::BodyProgress(id, true)
                    }
                    conn => Event::PartialMessage(conn),
                };
                to.event(partial, 0);
                return Ok(done);
            };
            to.event(event, if n > resp::MAX_MESSAGE_BYTES { n } else { 0 });
            done += n;
        }
    }

    /// Passes the beginning of these bytes on, as far as they belong to the value; how many that were.
    fn pass(&mut self, left: usize, bytes: &[u8], to: &mut dyn MessageSink) -> Result<usize, CloseReason> {
        let n = bytes.len().min(left);
        self.stage = Stage::Passes { left: left - n };
        let end = if left == n { bytes.get(n..n + 2) } else { None };
        if end.is_some_and(|end| end != b"\r\n") {
            return Err(CloseReason::BadFraming);
        }
        to.body_chunk(&bytes[..n], end.is_some());
        let Some(end) = end else { return Ok(n) };
        self.stage = Stage::Rest;
        Ok(n + end.len())
    }

    /// Nothing more of what this client says is understood.
    pub fn protocol_error(&mut self, why: &'static str, to: &mut dyn MessageSink) {
        if let (ConnectionId::Client(id), false) = (self.conn, std::mem::replace(&mut self.discard, true)) {
            to.event(Event::ClientCommand(id, resp::ClientCommand::ProtocolError(why)), 0);
        }
    }
}
