//! The load generator: clients send requests at given times (open loop) or as soon as the last one is answered (closed loop), and each
//! request yields a row with its outcome.
mod client;

pub use client::open_idle_connections;

use crate::error::RunError;
use crate::experiment::{Arrival, Experiment};
use crate::fleet::Routes;
use crate::sync::lock;
use client::{Client, CustomerRoutes};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{sleep, Builder, JoinHandle};
use std::time::{Duration, Instant};

/// Stack size of a client's thread, bytes.
const STACK_BYTES: usize = 96 * 1024;

/// Factor on the repetition in the seeds of the closed loop's clients, so that repetitions differ.
const REPETITION_SEED_FACTOR: u64 = 104_729;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Answered with a value.
    Succeeded,
    /// Rejected with BUSY.
    Throttled,
    /// Answered with an error.
    Errored,
    /// Not answered: the connection ended, or the read timed out.
    NoAnswer,
    /// Not accepted: each of the customer's instances that was tried was draining or could not be reached.
    NotConnected,
}

/// A row of `rows.csv`: the outcome of one request. Latency is measured from the intended start instead of the actual one, so that a
/// stall of an instance also shows in the requests that wait behind it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestRow {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
    /// Intended start, seconds since the start of the traffic.
    pub at: f64,
    /// Time from the intended start until the generator sent the request, seconds.
    #[serde(rename = "late")]
    pub send_delay: f64,
    /// Time from the intended start to the answer, seconds.
    #[serde(rename = "took")]
    pub latency: f64,
    /// Index of the instance that the request was last sent to.
    #[serde(rename = "door")]
    pub instance: usize,
    /// Number of the customer.
    pub customer: u64,
    /// Whether the request is not idempotent.
    #[serde(rename = "order")]
    pub non_idempotent: bool,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Identifies the run that a row belongs to.
#[derive(Clone, Debug)]
pub struct RunLabel {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
}

/// Where a client gets its requests from.
enum ArrivalSource {
    /// Open loop: a queue, which gets each request at its intended start.
    Queue(Arc<Mutex<mpsc::Receiver<Arrival>>>),
    /// Closed loop: drawn at random as soon as the last one is answered.
    Random(Box<ChaCha8Rng>),
}

/// One thread of the generator: a client with one connection.
struct Worker {
    experiment: Experiment,
    label: RunLabel,
    routes: Arc<Routes>,
    /// When the traffic starts.
    start: Instant,
    /// Index of the instance whose queue the worker serves in an open loop, and that it prefers in a closed loop.
    instance: usize,
    source: ArrivalSource,
    /// Receives the outcome of each request.
    rows: mpsc::Sender<RequestRow>,
}

impl Worker {
    /// Sends requests until there are no more, or the receiver of the rows is gone.
    fn run(mut self) {
        let mut client = Client::new();
        while let Some(arrival) = self.next() {
            let row = self.send(&mut client, &arrival);
            if self.rows.send(row).is_err() {
                return;
            }
        }
    }

    /// Sends a request and waits for its outcome.
    fn send(&self, client: &mut Client, arrival: &Arrival) -> RequestRow {
        let send_delay = self.elapsed() - arrival.at;
        let customer_routes = CustomerRoutes { routes: &self.routes, spread: self.experiment.spread() };
        let result = client.send(&customer_routes, arrival);
        let latency = self.elapsed() - arrival.at;
        RequestRow {
            variant: self.label.variant.clone(),
            repetition: self.label.repetition,
            at: arrival.at,
            send_delay,
            latency,
            instance: result.instance,
            customer: arrival.customer,
            non_idempotent: arrival.non_idempotent,
            outcome: result.outcome,
        }
    }

    /// Seconds since the start of the traffic.
    fn elapsed(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Returns the next request, or `None` at the end of the run.
    fn next(&mut self) -> Option<Arrival> {
        let now = self.elapsed();
        match &mut self.source {
            ArrivalSource::Queue(queue) => lock(queue).recv().ok(),
            ArrivalSource::Random(_) if now >= self.experiment.traffic.seconds => None,
            ArrivalSource::Random(rng) => {
                let arrival = self.experiment.draw_arrival(rng, now);
                let instance =
                    if self.serves_customer(arrival.customer) { self.instance } else { arrival.instance };
                Some(Arrival { instance, ..arrival })
            }
        }
    }

    /// Whether the worker's instance is one of the customer's, which are `spread` consecutive ones.
    fn serves_customer(&self, customer: u64) -> bool {
        let instances = self.routes.addresses.len();
        let first = customer as usize % instances;
        (self.instance + instances - first) % instances < self.experiment.spread()
    }
}

/// The threads of the generator, and the queues of an open loop.
struct Workers {
    /// One queue per instance, so that a stalled instance delays only its own requests.
    queues: Vec<mpsc::Sender<Arrival>>,
    /// Keep the queues open when their threads have panicked; `finish` reports the panic.
    _receivers: Vec<Arc<Mutex<mpsc::Receiver<Arrival>>>>,
    threads: Vec<JoinHandle<()>>,
    rows: mpsc::Receiver<RequestRow>,
    start: Instant,
}

impl Workers {
    fn start(experiment: &Experiment, label: &RunLabel, routes: &Arc<Routes>) -> Result<Workers, RunError> {
        let traffic = &experiment.traffic;
        let (rows_sender, rows) = mpsc::channel();
        let start = Instant::now();
        let mut queues = vec![];
        let mut receivers = vec![];
        for _ in &routes.addresses {
            let (sender, receiver) = mpsc::channel();
            queues.push(sender);
            receivers.push(Arc::new(Mutex::new(receiver)));
        }
        let new_worker = |index: usize| {
            let instance = index % routes.addresses.len();
            let source = if experiment.is_open_loop() {
                ArrivalSource::Queue(receivers[instance].clone())
            } else {
                ArrivalSource::Random(worker_rng(experiment, label.repetition, index))
            };
            Worker {
                experiment: experiment.clone(),
                label: label.clone(),
                routes: routes.clone(),
                start,
                instance,
                source,
                rows: rows_sender.clone(),
            }
        };
        let mut threads = vec![];
        for index in 0..traffic.connections * routes.addresses.len() {
            let worker = new_worker(index);
            let thread = Builder::new().stack_size(STACK_BYTES).spawn(move || worker.run());
            threads.push(thread.map_err(|source| RunError::GeneratorThread { number: index + 1, source })?);
        }
        Ok(Workers { queues, _receivers: receivers, threads, rows, start })
    }

    /// Puts each arrival into the queue of its instance at its intended start.
    fn enqueue(&self, arrivals: Vec<Arrival>) -> Result<(), RunError> {
        for arrival in arrivals {
            let wait = arrival.at - self.start.elapsed().as_secs_f64();
            if wait > 0.0 {
                sleep(Duration::from_secs_f64(wait));
            }
            let queue = &self.queues[arrival.instance];
            queue.send(arrival).map_err(|_| RunError::GeneratorEnded)?;
        }
        Ok(())
    }

    /// Waits for the outcomes of all requests, and returns the rows in the order of their intended starts. Fails if a thread panicked.
    fn finish(self) -> Result<Vec<RequestRow>, RunError> {
        drop(self.queues);
        let mut rows: Vec<RequestRow> = self.rows.into_iter().collect();
        for thread in self.threads {
            thread.join().map_err(|_| RunError::GeneratorPanicked)?;
        }
        rows.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(rows)
    }
}

/// Creates the random number generator of a closed-loop worker.
fn worker_rng(experiment: &Experiment, repetition: usize, index: usize) -> Box<ChaCha8Rng> {
    let seed = experiment
        .seed
        .wrapping_add(REPETITION_SEED_FACTOR * (repetition as u64 + 1))
        .wrapping_add(index as u64);
    Box::new(ChaCha8Rng::seed_from_u64(seed))
}

/// Sends the traffic of one run to the instances and returns a row per request.
pub fn drive(
    experiment: &Experiment,
    label: &RunLabel,
    routes: &Arc<Routes>,
) -> Result<Vec<RequestRow>, RunError> {
    let workers = Workers::start(experiment, label, routes)?;
    if experiment.is_open_loop() {
        workers.enqueue(experiment.arrivals(label.repetition))?;
    }
    workers.finish()
}
