//! A client of the instances: sends one request after another on one connection.
use super::Outcome;
use crate::error::RunError;
use crate::experiment::Arrival;
use crate::fleet::Routes;
use crate::test_bed::loopback::read_reply;
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Plan names; the customer's number modulo their count selects the customer's plan.
const PLANS: [&str; 2] = ["small", "large"];
/// Time that a client allows for a request, seconds.
const CLIENT_TIMEOUT_SECONDS: f64 = 1.4;
/// Time after the client's timeout until it closes the connection, seconds.
const READ_GRACE_SECONDS: f64 = 1.0;
/// Size of a connection's read buffer, bytes.
const READ_BUFFER_BYTES: usize = 512;
/// Multiplier that spreads consecutive numbers over the 64 bits of a request id.
const REQUEST_ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Number of the next request of this process.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The routes to the instances, and how many of them each customer uses.
pub(super) struct CustomerRoutes<'a> {
    /// Addresses and states of the instances.
    pub routes: &'a Routes,
    /// Number of instances that each customer's requests are spread over.
    pub spread: usize,
}

impl CustomerRoutes<'_> {
    /// Returns the index of the first of a customer's consecutive instances.
    fn first_instance(&self, customer: u64) -> usize {
        customer as usize % self.routes.addresses.len()
    }
}

/// The outcome of a request, and the instance that it was last sent to.
pub(super) struct RequestResult {
    /// Index of the instance.
    pub instance: usize,
    /// How the request ended.
    pub outcome: Outcome,
}

/// An open connection to an instance.
struct Connection {
    instance: usize,
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    fn open(address: SocketAddr, instance: usize) -> Result<Connection> {
        let writer = TcpStream::connect(address)?;
        writer.set_nodelay(true)?;
        writer
            .set_read_timeout(Some(Duration::from_secs_f64(CLIENT_TIMEOUT_SECONDS + READ_GRACE_SECONDS)))?;
        let reader = BufReader::with_capacity(READ_BUFFER_BYTES, writer.try_clone()?);
        Ok(Connection { instance, writer, reader })
    }

    /// Sends an encoded request and reads the reply.
    fn exchange(&mut self, text: &str) -> AttemptOutcome {
        let sent = self.writer.write_all(text.as_bytes());
        let Ok(reply) = sent.and_then(|()| read_reply(&mut self.reader)) else {
            return AttemptOutcome::NoAnswer;
        };
        match reply.kind {
            b'$' => AttemptOutcome::Answered(Outcome::Succeeded),
            b'-' if reply.bytes.starts_with(b"-BUSY") => AttemptOutcome::Answered(Outcome::Throttled),
            b'-' if reply.bytes.starts_with(b"-ERR draining") => AttemptOutcome::Draining,
            _ => AttemptOutcome::Answered(Outcome::Errored),
        }
    }
}

/// The outcome of one attempt on a connection.
enum AttemptOutcome {
    /// The instance replied with the final answer.
    Answered(Outcome),
    /// The instance is draining and did not accept the request.
    Draining,
    /// The connection ended, or the read timed out, before a reply.
    NoAnswer,
}

/// A client that keeps its connection open between requests to the same instance.
pub(super) struct Client {
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client without a connection.
    pub fn new() -> Client {
        Client { connection: None }
    }

    /// Sends a request to one of the customer's instances that is up, and to the next one if an instance is draining or can't be reached.
    pub fn send(&mut self, customer_routes: &CustomerRoutes, arrival: &Arrival) -> RequestResult {
        let text = encode_request(arrival, customer_routes);
        let first = customer_routes.first_instance(arrival.customer);
        let mut instance = arrival.instance;
        for _ in 0..=customer_routes.spread {
            instance = customer_routes.routes.pick(arrival.instance, first, customer_routes.spread);
            let Some(connection) = self.connect(customer_routes.routes, instance) else { continue };
            match connection.exchange(&text) {
                AttemptOutcome::Answered(outcome) => return RequestResult { instance, outcome },
                AttemptOutcome::Draining => {
                    customer_routes.routes.mark_down(instance);
                    self.connection = None;
                }
                AttemptOutcome::NoAnswer => {
                    self.connection = None;
                    return RequestResult { instance, outcome: Outcome::NoAnswer };
                }
            }
        }
        RequestResult { instance, outcome: Outcome::NotConnected }
    }

    /// Returns the connection to an instance, opening it if necessary. Returns `None` and marks the instance as down if it can't be
    /// reached.
    fn connect(&mut self, routes: &Routes, instance: usize) -> Option<&mut Connection> {
        if self.connection.as_ref().is_none_or(|open| open.instance != instance) {
            match Connection::open(routes.addresses[instance], instance) {
                Ok(connection) => self.connection = Some(connection),
                Err(_) => {
                    routes.mark_down(instance);
                    return None;
                }
            }
        }
        self.connection.as_mut()
    }
}

/// Encodes a request as a RESP command. Its attributes name the first of the customer's instances and their number.
fn encode_request(arrival: &Arrival, customer_routes: &CustomerRoutes) -> String {
    let (verb, words, name, body) = if arrival.non_idempotent {
        ("CALL.POST", 5, "order", "$1\r\nx\r\n")
    } else {
        ("CALL.GET", 4, "look", "")
    };
    let plan = PLANS[arrival.customer as usize % PLANS.len()];
    let timeout_ms = (CLIENT_TIMEOUT_SECONDS * 1e3) as u64;
    let first = customer_routes.first_instance(arrival.customer);
    let attributes = format!(
        "c={name},t={plan},d={timeout_ms},units={},spread={},first={first}",
        arrival.units, customer_routes.spread
    );
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(REQUEST_ID_MULTIPLIER);
    format!(
        "*{words}\r\n${}\r\n{verb}\r\n$16\r\n{:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{attributes}\r\n{body}",
        verb.len(),
        arrival.customer,
        attributes.len()
    )
}

/// Opens idle connections, which have sent one command each. They stay open until the returned streams are dropped.
pub fn open_idle_connections(
    routes: &Routes,
    per_instance: usize,
) -> std::result::Result<Vec<TcpStream>, RunError> {
    let mut connections = vec![];
    for (instance, address) in routes.addresses.iter().enumerate() {
        for _ in 0..per_instance {
            let number = connections.len() + 1;
            let opened = open_idle(*address, instance);
            connections.push(opened.map_err(|source| RunError::IdleConnection {
                number,
                address: *address,
                source,
            })?);
        }
    }
    Ok(connections)
}

/// Opens one connection and exchanges a PING on it.
fn open_idle(address: SocketAddr, instance: usize) -> Result<TcpStream> {
    let mut connection = Connection::open(address, instance)?;
    connection.writer.write_all(b"*1\r\n$4\r\nPING\r\n")?;
    read_reply(&mut connection.reader)?;
    Ok(connection.writer)
}
