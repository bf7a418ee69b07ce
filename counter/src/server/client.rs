//! Client connections: pipelined calls are passed to the replica as they are read, and responses are written in the order of the
//! calls.
use super::Event;
use crate::http::{self, Request, Response};
use crate::totals::Add;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::spawn;
use std::time::{SystemTime, UNIX_EPOCH};

/// Accepts the response of one call and keeps its position in the order of the connection.
#[derive(Clone)]
pub(super) struct ResponseSlot {
    responses: Sender<OrderedResponse>,
    sequence: u64,
}

struct OrderedResponse {
    sequence: u64,
    response: Response,
}

impl ResponseSlot {
    /// Sends the response; false if the connection is closed.
    pub(super) fn respond(&self, response: Response) -> bool {
        self.responses.send(OrderedResponse { sequence: self.sequence, response }).is_ok()
    }
}

/// Serves a connection until it closes. `max_lifetime` caps the lifetime in a call, seconds.
pub(super) fn serve(stream: TcpStream, replica: &Sender<Event>, max_lifetime: f64) {
    let Ok(output) = stream.try_clone() else { return };
    let (responses, received) = channel();
    let writer = spawn(move || write_responses(output, &received));
    read_requests(stream, responses, replica, max_lifetime);
    let _ = writer.join();
}

fn read_requests(
    stream: TcpStream,
    responses: Sender<OrderedResponse>,
    replica: &Sender<Event>,
    max_lifetime: f64,
) {
    let mut reader = BufReader::new(stream);
    let mut sequence = 0;
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        let response = ResponseSlot { responses: responses.clone(), sequence };
        sequence += 1;
        let is_accepted = match command(request, max_lifetime) {
            Some(add) => replica.send(Event::ClientCall { add, response }).is_ok(),
            None => response.respond(Response::BadRequest),
        };
        if !is_accepted {
            break;
        }
    }
}

/// Returns the command of a request; `None` if the request is not a valid call.
fn command(request: Request, max_lifetime: f64) -> Option<Add> {
    let Request::Add { name, amount, lifetime } = request else { return None };
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
    let add = Add { name, amount, lifetime: lifetime.min(max_lifetime), time };
    add.is_valid().then_some(add)
}

fn write_responses(mut output: TcpStream, received: &Receiver<OrderedResponse>) {
    let mut next = 0;
    let mut early = BTreeMap::new();
    let mut bytes = vec![];
    while let Ok(first) = received.recv() {
        early.insert(first.sequence, first.response);
        for another in received.try_iter() {
            early.insert(another.sequence, another.response);
        }
        let mut is_last = false;
        while let Some(response) = early.remove(&next) {
            next += 1;
            is_last = !response.encode(&mut bytes);
            if is_last {
                break;
            }
        }
        if output.write_all(&bytes).is_err() || is_last {
            break;
        }
        bytes.clear();
    }
    let _ = output.shutdown(Shutdown::Both); // the connection may be closed already
}
