//! Stand-in for a backend: executes a limited number of requests at a time, each for a time in proportion to its units.
use super::condition::BackendOutcome;
use super::executions::BackendRequest;
use super::loopback::spawn_connection;
use super::TestBed;
use crate::example_servers::read_command;
use crate::sync::lock;
use std::io::{BufReader, Result, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Interval at which a waiting thread checks the condition of the backend again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Limits the requests that a backend executes at a time; further requests wait.
struct Slots {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Slots {
    /// Takes a slot, waiting until one is free.
    fn acquire(&self) {
        let mut free = lock(&self.free);
        while *free == 0 {
            free = self.freed.wait(free).unwrap_or_else(|e| e.into_inner());
        }
        *free -= 1;
    }

    fn release(&self) {
        *lock(&self.free) += 1;
        self.freed.notify_one();
    }
}

/// Starts a backend on new threads. While the condition of the backend is down, its address refuses connections.
pub fn start(listener: TcpListener, index: usize, test_bed: Arc<TestBed>) {
    let slots = Arc::new(Slots { free: Mutex::new(test_bed.world.slots), freed: Condvar::new() });
    spawn(move || listen(listener, index, &test_bed, &slots));
}

/// Accepts connections until the run is over; listens again when a crashed backend restarts.
fn listen(listener: TcpListener, index: usize, test_bed: &Arc<TestBed>, slots: &Arc<Slots>) -> Result<()> {
    let address = listener.local_addr()?;
    let mut listener = Some(listener);
    let process_ended = Arc::new(AtomicBool::new(false));
    loop {
        if test_bed.is_finished() {
            return Ok(());
        }
        let Some(open) = listener.take() else {
            if test_bed.condition(index).down {
                sleep(POLL_INTERVAL);
            } else if let Ok(reopened) = TcpListener::bind(address) {
                listener = Some(reopened);
            } else {
                sleep(POLL_INTERVAL);
            }
            continue;
        };
        process_ended.store(false, Ordering::Relaxed);
        close_when_down(&open, index, test_bed.clone(), process_ended.clone())?;
        while let Ok((stream, _)) = open.accept() {
            if process_ended.load(Ordering::Relaxed) {
                break;
            }
            test_bed.record_connection(index, &stream);
            let test_bed = test_bed.clone();
            let slots = slots.clone();
            spawn_connection(stream, move |stream| Connection { index, test_bed, slots }.serve(stream));
        }
    }
}

/// Shuts the listener down once the backend is down, which wakes the thread that waits in `accept`.
fn close_when_down(
    listener: &TcpListener,
    index: usize,
    test_bed: Arc<TestBed>,
    process_ended: Arc<AtomicBool>,
) -> Result<()> {
    let listener = listener.try_clone()?;
    spawn(move || {
        while !test_bed.condition(index).down {
            sleep(POLL_INTERVAL);
        }
        process_ended.store(true, Ordering::Relaxed);
        let _ = socket2::SockRef::from(&listener).shutdown(Shutdown::Both);
    });
    Ok(())
}

/// A connection from an instance to the backend.
struct Connection {
    index: usize,
    test_bed: Arc<TestBed>,
    slots: Arc<Slots>,
}

impl Connection {
    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        let process_number = self.process_number();
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(words) = read_command(&mut reader)? {
            // Wait while the machine is unresponsive; its connections end when a new process starts.
            while self.test_bed.condition(self.index).unresponsive && !self.test_bed.is_finished() {
                sleep(POLL_INTERVAL);
            }
            if self.process_number() != process_number {
                return Ok(());
            }
            if words.first().is_some_and(|word| word == "PING") {
                stream.write_all(b"+PONG\r\n")?;
                continue;
            }
            let Some(request) = decode_request(&words) else { return Ok(()) };
            let outcome = self.outcome(request.units);
            let work = match outcome {
                BackendOutcome::Reject => {
                    stream.write_all(b"-BUSY\r\n")?;
                    continue;
                }
                BackendOutcome::Serve(work)
                | BackendOutcome::LeaveUnanswered(work)
                | BackendOutcome::Malformed(work)
                | BackendOutcome::Fail(work) => work,
            };
            if !self.execute(process_number, &request, work) {
                return Ok(());
            }
            write_reply(&mut stream, outcome, &words[2], request.units)?;
        }
        Ok(())
    }

    /// Returns the number of the backend's current process.
    fn process_number(&self) -> u64 {
        self.test_bed.condition(self.index).process_number
    }

    /// Returns the outcome of a request; a draining backend rejects all of them.
    fn outcome(&self, units: f64) -> BackendOutcome {
        if self.test_bed.condition(self.index).draining {
            BackendOutcome::Reject
        } else {
            self.test_bed.draw_outcome(self.index, units)
        }
    }

    /// Executes a request in a slot. Returns `false`, without executing it, if the process has ended while the request waited.
    fn execute(&self, process_number: u64, request: &BackendRequest, work: Duration) -> bool {
        self.slots.acquire();
        let is_running = self.process_number() == process_number;
        if is_running {
            self.test_bed.record_execution(self.index, request);
            sleep(work);
        }
        self.slots.release();
        is_running
    }
}

/// Decodes a request from the words of a command; returns `None` if words are missing.
fn decode_request(words: &[String]) -> Option<BackendRequest<'_>> {
    let customer = words.get(1)?;
    let id = words.get(2)?;
    let attributes = words.get(3)?;
    let attribute = |name: &str| attributes.split(',').find_map(|p| p.strip_prefix(name));
    let hex = |text: &str| u64::from_str_radix(text, 16).unwrap_or(0);
    Some(BackendRequest {
        id: hex(id),
        customer: hex(customer),
        plan: attribute("t=").unwrap_or(""),
        units: attribute("units=").and_then(|units| units.parse().ok()).unwrap_or(1.0),
        non_idempotent: words[0] == "CALL.POST",
    })
}

/// Writes the reply that the outcome of a request demands; some faults demand none.
fn write_reply(stream: &mut TcpStream, outcome: BackendOutcome, id: &str, units: f64) -> Result<()> {
    match outcome {
        BackendOutcome::LeaveUnanswered(_) => Ok(()),
        BackendOutcome::Fail(_) => stream.write_all(b"-ERR failed\r\n"),
        BackendOutcome::Malformed(_) => stream.write_all(b"?what\r\n"),
        BackendOutcome::Serve(_) | BackendOutcome::Reject => {
            let cost = format!("cost={units}");
            write!(stream, "*3\r\n$16\r\n{id}\r\n${}\r\n{cost}\r\n$-1\r\n", cost.len())
        }
    }
}
