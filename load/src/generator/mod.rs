//! The load generator: clients send requests at given times, or as fast as they are answered, and the outcome of each one is a row.
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

/// Stack of a thread that is one client, bytes.
const STACK_BYTES: usize = 96 * 1024;

/// Sets the seeds of one repetition's clients apart from those of another.
const REPETITION_SEED_FACTOR: u64 = 104_729;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Answered with a value.
    Succeeded,
    /// Rejected.
    Throttled,
    /// Answered with an error.
    Errored,
    /// The connection ended, or the time was up, without an answer.
    NoAnswer,
    /// No instance of the customer's could be reached.
    NotConnected,
}

/// A row of `rows.csv`: the outcome of one request. Times are seconds; `took` counts from the intended start, so that no stall
/// of an instance is hidden.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestRow {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
    /// The intended start, since the start of the traffic.
    pub at: f64,
    /// By how much the generator itself was late.
    #[serde(rename = "late")]
    pub send_delay: f64,
    /// From the intended start to the answer.
    #[serde(rename = "took")]
    pub latency: f64,
    /// Index of the instance that was asked last.
    #[serde(rename = "door")]
    pub instance: usize,
    /// The customer's number.
    pub customer: u64,
    /// It is not idempotent.
    #[serde(rename = "order")]
    pub non_idempotent: bool,
    /// How it ended.
    pub outcome: Outcome,
}

/// Which run the rows belong to.
#[derive(Clone, Debug)]
pub struct RunLabel {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
}

/// Where the requests of a client come from.
enum ArrivalSource {
    /// Open loop: a queue that is filled at the intended times.
    Queue(Arc<Mutex<mpsc::Receiver<Arrival>>>),
    /// Closed loop: the next one as soon as the last one is answered.
    Random(Box<ChaCha8Rng>),
}

/// One thread of the generator: a client with one connection.
struct Worker {
    experiment: Experiment,
    label: RunLabel,
    routes: Arc<Routes>,
    /// When the traffic starts.
    start: Instant,
    /// The instance whose queue or whose customers it serves.
    instance: usize,
    source: ArrivalSource,
    /// Takes the outcome of each request.
    rows: mpsc::Sender<RequestRow>,
}

impl Worker {
    /// Sends requests until there are no more, or nobody takes the rows.
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
        let answer = client.send(&customer_routes, arrival);
        let latency = self.elapsed() - arrival.at;
        RequestRow {
            variant: self.label.variant.clone(),
            repetition: self.label.repetition,
            at: arrival.at,
            send_delay,
            latency,
            instance: answer.instance,
            customer: arrival.customer,
            non_idempotent: arrival.non_idempotent,
            outcome: answer.outcome,
        }
    }

    fn elapsed(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The next request; none at the end of the run.
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

    /// Whether the worker's own instance is one of the customer's: these are consecutive ones from its first.
    fn serves_customer(&self, customer: u64) -> bool {
        let instances = self.routes.addresses.len();
        let first = customer as usize % instances;
        (self.instance + instances - first) % instances < self.experiment.spread()
    }
}

/// The threads of the generator, and the queues of an open loop.
struct Workers {
    /// By instance: one that stalls holds up nobody else's requests.
    queues: Vec<mpsc::Sender<Arrival>>,
    /// Held so that a queue takes arrivals also when its threads have panicked; that is reported at the end.
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

    /// Puts each arrival into the queue of its instance at its time.
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

    /// Waits until all is answered; the rows in the order of their intended starts.
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

fn worker_rng(experiment: &Experiment, repetition: usize, index: usize) -> Box<ChaCha8Rng> {
    let seed = experiment
        .seed
        .wrapping_add(REPETITION_SEED_FACTOR * (repetition as u64 + 1))
        .wrapping_add(index as u64);
    Box::new(ChaCha8Rng::seed_from_u64(seed))
}

/// Drives the instances through one run.
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
