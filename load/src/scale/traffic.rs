//! Clients of one front door: requests at times that wait for no answer, over a few connections, tenants drawn by seed.
use super::point::{plan_name, Point, Tenant};
use crate::sync::lock;
use crate::test_bed::loopback::read_reply;
use hdrhistogram::Histogram;
use rand::distributions::{Distribution, WeightedIndex};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Connections of the clients; each has its answers in order, so a slow one holds up only those behind it.
const CONNECTIONS: usize = 64;
/// The longest time that is told from longer ones.
const LONGEST_MICROSECONDS: u64 = 60_000_000;
/// Milliseconds that a client waits, as the request says.
const WAIT_MS: u64 = 1_400;

/// What became of the requests.
#[derive(Default)]
pub struct Answers {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub throttled: AtomicU64,
    pub errored: AtomicU64,
}

/// The counts of `Answers` at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answered {
    pub sent: u64,
    pub served: u64,
    pub throttled: u64,
    pub errored: u64,
}

impl Answers {
    pub fn read(&self) -> Answered {
        let now = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Answered {
            sent: now(&self.sent),
            served: now(&self.served),
            throttled: now(&self.throttled),
            errored: now(&self.errored),
        }
    }
}

impl Answered {
    /// Both together.
    pub fn plus(&self, other: &Answered) -> Answered {
        Answered {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            throttled: self.throttled + other.throttled,
            errored: self.errored + other.errored,
        }
    }

    /// What came since then.
    pub fn since(&self, then: &Answered) -> Answered {
        Answered {
            sent: self.sent - then.sent,
            served: self.served - then.served,
            throttled: self.throttled - then.throttled,
            errored: self.errored - then.errored,
        }
    }
}

/// The tenants of a point, and how often each is drawn.
pub struct Population {
    tenants: Vec<Tenant>,
    draw: WeightedIndex<f64>,
}

impl Population {
    /// The tenants of a point; an error where there are none.
    pub fn new(point: &Point) -> Result<Arc<Population>, String> {
        Ok(Arc::new(Population { tenants: point.tenants(), draw: point.draw()? }))
    }
}

/// Draws the requests of one front door.
pub struct Arrivals {
    rng: ChaCha8Rng,
    population: Arc<Population>,
    gaps: Exp<f64>,
    front_doors: usize,
    next_id: u64,
}

impl Arrivals {
    /// Those of the front door of that number. All front doors serve every tenant.
    pub fn new(point: &Point, population: &Arc<Population>, front_door: usize) -> Result<Arrivals, String> {
        let seed = point.seed.wrapping_mul(1_000_003).wrapping_add(front_door as u64);
        Ok(Arrivals {
            rng: ChaCha8Rng::seed_from_u64(seed),
            population: population.clone(),
            gaps: Exp::new(point.requests).map_err(|e| format!("requests: {e}"))?,
            front_doors: point.front_doors,
            next_id: (front_door as u64) << 40,
        })
    }

    /// Seconds to the next request.
    pub fn gap(&mut self) -> f64 {
        self.gaps.sample(&mut self.rng)
    }

    /// The next request, as a client writes it: no body, one unit, idempotent.
    pub fn request(&mut self) -> Vec<u8> {
        let tenant = self.population.draw.sample(&mut self.rng);
        self.next_id += 1;
        let plan = plan_name(self.population.tenants[tenant].plan);
        let spread = self.front_doors;
        let list = format!("c=look,t={plan},d={WAIT_MS},units=1,spread={spread},first=0");
        let id = self.next_id;
        format!(
            "*4\r\n$8\r\nCALL.GET\r\n$16\r\n{tenant:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
            list.len()
        )
        .into_bytes()
    }
}

type Waiting = Arc<Mutex<VecDeque<Instant>>>;

/// Clients that ask until this is dropped.
pub struct Clients {
    pub answers: Arc<Answers>,
    /// Microseconds from a request's write to its answer, all outcomes.
    pub took: Arc<Mutex<Histogram<u64>>>,
    stop: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
}

impl Clients {
    /// Connects to a front door and asks it.
    pub fn start(at: SocketAddr, mut arrivals: Arrivals) -> Result<Clients, String> {
        let failed = |e: std::io::Error| format!("client: {e}");
        let (answers, stop) = (Arc::new(Answers::default()), Arc::new(AtomicBool::new(false)));
        let took =
            Histogram::new_with_bounds(1, LONGEST_MICROSECONDS, 3).map_err(|e| format!("histogram: {e}"))?;
        let took = Arc::new(Mutex::new(took));
        let mut streams: Vec<(TcpStream, Waiting)> = vec![];
        for _ in 0..CONNECTIONS {
            let stream = TcpStream::connect(at).map_err(failed)?;
            stream.set_nodelay(true).map_err(failed)?;
            let waiting = Waiting::default();
            let from = stream.try_clone().map_err(failed)?;
            let (answers, took, asked) = (answers.clone(), took.clone(), waiting.clone());
            spawn(move || read_answers(from, &asked, &answers, &took));
            streams.push((stream, waiting));
        }
        let (sent, stopped) = (answers.clone(), stop.clone());
        let writer = spawn(move || {
            let (mut at, start) = (0.0, Instant::now());
            for n in 0.. {
                at += arrivals.gap();
                sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
                let (stream, waiting) = &mut streams[n % CONNECTIONS];
                lock(waiting).push_back(Instant::now());
                if stopped.load(Ordering::Relaxed) || stream.write_all(&arrivals.request()).is_err() {
                    return;
                }
                sent.sent.fetch_add(1, Ordering::Relaxed);
            }
        });
        Ok(Clients { answers, took, stop, writer: Some(writer) })
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(writer) = self.writer.take() {
            let _ = writer.join(); // its panic was printed
        }
    }
}

fn read_answers(from: TcpStream, asked: &Waiting, answers: &Answers, took: &Mutex<Histogram<u64>>) {
    let mut from = BufReader::new(from);
    while let Ok(reply) = read_reply(&mut from) {
        let count = match reply.kind {
            b'$' => &answers.served,
            _ if reply.bytes.starts_with(b"-BUSY") => &answers.throttled,
            _ => &answers.errored,
        };
        count.fetch_add(1, Ordering::Relaxed);
        if let Some(at) = lock(asked).pop_front() {
            lock(took).saturating_record(at.elapsed().as_micros() as u64);
        }
    }
}
