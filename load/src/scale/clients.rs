//! Open-loop clients of one instance: they send requests at scheduled times, without waiting for replies, over a
//! fixed number of connections.
use super::error::ScaleError;
use super::outcomes::OutcomeCounters;
use super::requests::RequestSource;
use crate::sync::lock;
use crate::test_bed::loopback::read_reply;
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Number of client connections. Replies on one connection arrive in request order, so a slow reply delays only the
/// later ones on its connection.
const CONNECTIONS: usize = 64;
/// Upper bound of the latency histogram; longer latencies are recorded as this value.
const MAX_LATENCY_MICROSECONDS: u64 = 60_000_000;

/// Send times of the requests of a connection that have no reply yet.
type PendingRequests = Arc<Mutex<VecDeque<Instant>>>;

struct Connection {
    stream: TcpStream,
    pending: PendingRequests,
}

/// Clients that send requests until this is dropped.
pub struct Clients {
    /// Outcomes of the requests.
    pub outcomes: Arc<OutcomeCounters>,
    /// Microseconds from the write of a request to its reply, for all outcomes.
    pub latencies: Arc<Mutex<Histogram<u64>>>,
    stop: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
}

impl Clients {
    /// Connects to an instance and starts to send requests.
    pub fn start(address: SocketAddr, source: RequestSource) -> Result<Clients, ScaleError> {
        let histogram =
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROSECONDS, 3).map_err(ScaleError::Histogram)?;
        let outcomes = Arc::new(OutcomeCounters::default());
        let latencies = Arc::new(Mutex::new(histogram));
        let stop = Arc::new(AtomicBool::new(false));
        let mut connections = vec![];
        for _ in 0..CONNECTIONS {
            let connection = connect(address, &outcomes, &latencies).map_err(ScaleError::Client)?;
            connections.push(connection);
        }
        let writer = spawn({
            let outcomes = outcomes.clone();
            let stop = stop.clone();
            move || write_requests(source, connections, &outcomes, &stop)
        });
        Ok(Clients { outcomes, latencies, stop, writer: Some(writer) })
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(writer) = self.writer.take() {
            let _ = writer.join(); // the panic message is already printed
        }
    }
}

/// Opens a connection and starts a thread that reads its replies.
fn connect(
    address: SocketAddr,
    outcomes: &Arc<OutcomeCounters>,
    latencies: &Arc<Mutex<Histogram<u64>>>,
) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let pending = PendingRequests::default();
    let reader = stream.try_clone()?;
    spawn({
        let outcomes = outcomes.clone();
        let latencies = latencies.clone();
        let pending = pending.clone();
        move || read_replies(reader, &pending, &outcomes, &latencies)
    });
    Ok(Connection { stream, pending })
}

/// Writes each request at its scheduled time, using the connections in turn.
fn write_requests(
    mut source: RequestSource,
    mut connections: Vec<Connection>,
    outcomes: &OutcomeCounters,
    stop: &AtomicBool,
) {
    let mut send_at_seconds = 0.0;
    let start = Instant::now();
    for index in 0.. {
        send_at_seconds += source.next_interarrival_seconds();
        sleep(Duration::from_secs_f64(send_at_seconds).saturating_sub(start.elapsed()));
        let connection = &mut connections[index % CONNECTIONS];
        lock(&connection.pending).push_back(Instant::now());
        if stop.load(Ordering::Relaxed) || connection.stream.write_all(&source.next_request()).is_err() {
            return;
        }
        outcomes.sent.fetch_add(1, Ordering::Relaxed);
    }
}

fn read_replies(
    stream: TcpStream,
    pending: &PendingRequests,
    outcomes: &OutcomeCounters,
    latencies: &Mutex<Histogram<u64>>,
) {
    let mut reader = BufReader::new(stream);
    while let Ok(reply) = read_reply(&mut reader) {
        let count = match reply.kind {
            b'$' => &outcomes.served,
            _ if reply.bytes.starts_with(b"-BUSY") => &outcomes.throttled,
            _ => &outcomes.errored,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let sent_at = lock(pending).pop_front();
        if let Some(sent_at) = sent_at {
            lock(latencies).saturating_record(sent_at.elapsed().as_micros() as u64);
        }
    }
}
