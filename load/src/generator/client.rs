//! A client of the instances: one connection, one request after another.
use super::Outcome;
use crate::error::RunError;
use crate::experiment::Arrival;
use crate::fleet::Routes;
use crate::test_bed::loopback::read_reply;
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The plans of the customers, in turns by the customer's number.
const PLANS: [&str; 2] = ["small", "large"];
/// Longest that a client waits, seconds.
const CLIENT_TIMEOUT: f64 = 1.4;
/// Seconds after the client's timeout until it gives the connection up.
const READ_GRACE: f64 = 1.0;
/// Read buffer of a connection, bytes.
const READ_BUFFER_BYTES: usize = 512;
/// Spreads consecutive request ids over 64 bits.
const ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Numbers the requests of this process.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The instances as a customer uses them.
pub(super) struct CustomerRoutes<'a> {
    /// Where the instances are.
    pub routes: &'a Routes,
    /// Instances of each customer.
    pub spread: usize,
}

impl CustomerRoutes<'_> {
    /// The first of a customer's instances.
    fn first(&self, customer: u64) -> usize {
        customer as usize % self.routes.addresses.len()
    }
}

/// The outcome of a request, and the instance that it comes from.
pub(super) struct Answer {
    /// Index of the instance.
    pub instance: usize,
    /// How the request ended.
    pub outcome: Outcome,
}

struct Connection {
    instance: usize,
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    fn open(address: SocketAddr, instance: usize) -> Result<Connection> {
        let writer = TcpStream::connect(address)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs_f64(CLIENT_TIMEOUT + READ_GRACE)))?;
        let reader = BufReader::with_capacity(READ_BUFFER_BYTES, writer.try_clone()?);
        Ok(Connection { instance, writer, reader })
    }

    /// Sends a request and reads what comes back.
    fn exchange(&mut self, text: &str) -> Exchange {
        let sent = self.writer.write_all(text.as_bytes());
        let Ok(reply) = sent.and_then(|()| read_reply(&mut self.reader)) else { return Exchange::Lost };
        match reply.kind {
            b'$' => Exchange::Answered(Outcome::Succeeded),
            b'-' if reply.bytes.starts_with(b"-BUSY") => Exchange::Answered(Outcome::Throttled),
            b'-' if reply.bytes.starts_with(b"-ERR draining") => Exchange::Draining,
            _ => Exchange::Answered(Outcome::Errored),
        }
    }
}

/// The outcome of one attempt on a connection.
enum Exchange {
    /// The instance answered.
    Answered(Outcome),
    /// The instance is about to stop and took nothing.
    Draining,
    /// The connection ended, or the time was up.
    Lost,
}

/// A client; its connection stays open from one request to the next.
pub(super) struct Client {
    connection: Option<Connection>,
}

impl Client {
    /// A client without a connection.
    pub fn new() -> Client {
        Client { connection: None }
    }

    /// Sends a request to an instance of the customer's that is up.
    pub fn send(&mut self, to: &CustomerRoutes, arrival: &Arrival) -> Answer {
        let text = encode_request(arrival, to);
        let first = to.first(arrival.customer);
        let mut instance = arrival.instance;
        for _ in 0..=to.spread {
            instance = to.routes.pick(arrival.instance, first, to.spread);
            let Some(connection) = self.connect(to.routes, instance) else { continue };
            match connection.exchange(&text) {
                Exchange::Answered(outcome) => return Answer { instance, outcome },
                Exchange::Draining => {
                    to.routes.mark_down(instance);
                    self.connection = None;
                }
                Exchange::Lost => {
                    self.connection = None;
                    return Answer { instance, outcome: Outcome::NoAnswer };
                }
            }
        }
        Answer { instance, outcome: Outcome::NotConnected }
    }

    /// The connection to an instance, opened if need be; none where the instance cannot be reached.
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

/// A request as a client writes it. A customer's instances begin at its own number.
fn encode_request(arrival: &Arrival, to: &CustomerRoutes) -> String {
    let (verb, words, name, body) = if arrival.non_idempotent {
        ("CALL.POST", 5, "order", "$1\r\nx\r\n")
    } else {
        ("CALL.GET", 4, "look", "")
    };
    let plan = PLANS[arrival.customer as usize % PLANS.len()];
    let timeout_ms = (CLIENT_TIMEOUT * 1e3) as u64;
    let first = to.first(arrival.customer);
    let attributes = format!(
        "c={name},t={plan},d={timeout_ms},units={},spread={},first={first}",
        arrival.units, to.spread
    );
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(ID_MULTIPLIER);
    format!(
        "*{words}\r\n${}\r\n{verb}\r\n$16\r\n{:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{attributes}\r\n{body}",
        verb.len(),
        arrival.customer,
        attributes.len()
    )
}

/// Connections that have sent one command and then nothing; open as long as the result is held.
pub fn open_idle_connections(routes: &Routes, each: usize) -> std::result::Result<Vec<TcpStream>, RunError> {
    let mut all = vec![];
    for (instance, address) in routes.addresses.iter().enumerate() {
        for _ in 0..each {
            let number = all.len() + 1;
            let opened = open_idle(*address, instance);
            all.push(opened.map_err(|source| RunError::IdleConnection {
                number,
                address: *address,
                source,
            })?);
        }
    }
    Ok(all)
}

fn open_idle(address: SocketAddr, instance: usize) -> Result<TcpStream> {
    let mut connection = Connection::open(address, instance)?;
    connection.writer.write_all(b"*1\r\n$4\r\nPING\r\n")?;
    read_reply(&mut connection.reader)?;
    Ok(connection.writer)
}
