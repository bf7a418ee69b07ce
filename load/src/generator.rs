//! The generator: clients ask at their times, or as fast as they are answered, and what came of each invocation is a row.
use crate::experiment::{Arrival, Experiment};
use crate::fleet::Front;
use crate::standins;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{sleep, Builder};
use std::time::{Duration, Instant};

/// How an invocation ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    Succeeded,
    Throttled,
    Errored,
    /// The connection ended, or the time was up, without one.
    NoAnswer,
    /// No front door of the customer's could be reached.
    NotConnected,
}

/// What came of one invocation. Times are seconds; `took` counts from when it was to start, so that nothing that stands still is
/// hidden.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    pub variant: String,
    pub repetition: usize,
    pub at: f64,
    /// By how much the generator itself was late.
    pub late: f64,
    pub took: f64,
    pub door: usize,
    pub customer: u64,
    pub order: bool,
    pub outcome: Outcome,
}

const PLANS: [&str; 2] = ["small", "large"];
/// Longest that a client waits, seconds.
const WAIT: f64 = 1.4;
const STACK: usize = 96 * 1024;

static IDS: AtomicU64 = AtomicU64::new(1);

/// An invocation as a client writes it. A customer's front doors begin at its own number.
fn invocation(a: &Arrival, (doors, spread): (usize, usize)) -> String {
    let (verb, n, name, body) =
        if a.order { ("CALL.POST", 5, "order", "$1\r\nx\r\n") } else { ("CALL.GET", 4, "look", "") };
    let plan = PLANS[a.customer as usize % PLANS.len()];
    let (wait, first) = ((WAIT * 1e3) as u64, a.customer as usize % doors);
    let list = format!("c={name},t={plan},d={wait},units={},spread={spread},first={first}", a.units);
    let id = IDS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!(
        "*{n}\r\n${}\r\n{verb}\r\n$16\r\n{:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n{body}",
        verb.len(),
        a.customer,
        list.len()
    )
}

type Stream = Option<(usize, TcpStream, BufReader<TcpStream>)>;

fn connect(at: SocketAddr) -> std::io::Result<(TcpStream, BufReader<TcpStream>)> {
    let to = TcpStream::connect(at)?;
    to.set_nodelay(true)?;
    to.set_read_timeout(Some(Duration::from_secs_f64(WAIT + 1.0)))?;
    let from = BufReader::with_capacity(512, to.try_clone()?);
    Ok((to, from))
}

/// Sends it to a front door of the customer's that is up, and says which and what came back.
fn ask(stream: &mut Stream, front: &Front, a: &Arrival, spread: usize) -> (usize, Outcome) {
    let doors = front.at.len();
    let text = invocation(a, (doors, spread));
    let mut door = a.door;
    for _ in 0..=spread {
        door = front.pick(a.door, a.customer as usize % doors, spread);
        if stream.as_ref().is_none_or(|s| s.0 != door) {
            *stream = match connect(front.at[door]) {
                Ok((to, from)) => Some((door, to, from)),
                Err(_) => {
                    front.found_down(door);
                    continue;
                }
            };
        }
        let Some((_, to, from)) = stream else { continue };
        let sent = to.write_all(text.as_bytes());
        return match sent.and_then(|()| standins::reply(from)) {
            Ok((b'$', _)) => (door, Outcome::Succeeded),
            Ok((b'-', line)) if line.starts_with(b"-BUSY") => (door, Outcome::Throttled),
            Ok((b'-', line)) if line.starts_with(b"-ERR draining") => {
                // A front door that is about to go took nothing: the next one is asked.
                front.found_down(door);
                *stream = None;
                continue;
            }
            Ok(_) => (door, Outcome::Errored),
            Err(_) => {
                *stream = None;
                (door, Outcome::NoAnswer)
            }
        };
    }
    (door, Outcome::NotConnected)
}

/// Connections that have said one word and then nothing; open as long as this is held.
pub fn idle(front: &Front, each: usize) -> Result<Vec<TcpStream>, String> {
    let mut all = vec![];
    for at in &front.at {
        for _ in 0..each {
            let said = || -> std::io::Result<TcpStream> {
                let (mut to, mut from) = connect(*at)?;
                to.write_all(b"*1\r\n$4\r\nPING\r\n")?;
                standins::reply(&mut from)?;
                Ok(to)
            };
            all.push(said().map_err(|e| format!("idle connection {} at {at}: {e}", all.len() + 1))?);
        }
    }
    Ok(all)
}

/// Drives the front doors through one play.
pub fn drive(
    experiment: &Experiment,
    (variant, repetition): (&str, usize),
    front: &Arc<Front>,
) -> Result<Vec<Row>, String> {
    let traffic = &experiment.traffic;
    let (open, spread) = (traffic.rate > 0.0, experiment.spread());
    let (rows, back) = mpsc::channel();
    let start = Instant::now();
    // Each front door has a queue of its own: one that stands still holds up nobody else's invocations.
    let queues: Vec<_> = front.at.iter().map(|_| mpsc::channel::<Arrival>()).collect();
    let (give, take): (Vec<_>, Vec<_>) =
        queues.into_iter().map(|(g, t)| (g, Arc::new(Mutex::new(t)))).unzip();
    let mut workers = vec![];
    for n in 0..traffic.connections * front.at.len() {
        let door = n % front.at.len();
        let (take, rows, experiment, front) =
            (take[door].clone(), rows.clone(), experiment.clone(), front.clone());
        let name = variant.to_owned();
        let work = move || {
            let mut stream = None;
            let seed = experiment.seed.wrapping_add(104_729 * (repetition as u64 + 1)).wrapping_add(n as u64);
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            loop {
                let a = if open {
                    let next = take.lock().unwrap_or_else(|e| e.into_inner()).recv();
                    let Ok(a) = next else { return };
                    a
                } else {
                    let now = start.elapsed().as_secs_f64();
                    if now >= experiment.traffic.seconds {
                        return;
                    }
                    // Its own front door's customers: those whose set holds it.
                    let a = experiment.arrival(&mut rng, now);
                    let first = a.customer as usize % front.at.len();
                    let within = (door + front.at.len() - first) % front.at.len() < spread;
                    Arrival { door: if within { door } else { a.door }, ..a }
                };
                let late = start.elapsed().as_secs_f64() - a.at;
                let (door, outcome) = ask(&mut stream, &front, &a, spread);
                let took = start.elapsed().as_secs_f64() - a.at;
                let (variant, Arrival { at, customer, order, .. }) = (name.clone(), a);
                if rows
                    .send(Row { variant, repetition, at, late, took, door, customer, order, outcome })
                    .is_err()
                {
                    return;
                }
            }
        };
        let thread = Builder::new().stack_size(STACK).spawn(work);
        workers.push(thread.map_err(|e| format!("thread {} of the generator: {e}", n + 1))?);
    }
    drop(rows);
    if open {
        for a in experiment.arrivals(repetition) {
            let wait = a.at - start.elapsed().as_secs_f64();
            if wait > 0.0 {
                sleep(Duration::from_secs_f64(wait));
            }
            give[a.door].send(a).map_err(|_| "the generator's threads have ended")?;
        }
    }
    drop(give);
    let mut all: Vec<Row> = back.into_iter().collect();
    for worker in workers {
        worker.join().map_err(|_| "a thread of the generator has ended badly")?;
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(all)
}
