//! A backend: a queue, a slow start, unresponsiveness, malformed replies, a limit on connections. Deliberately plain.
mod fault_rates;
mod replies;

pub use fault_rates::FaultRates;

use crate::context::Context;
use crate::network::{LinkId, Remote, Side};
use crate::scheduled_event::ScheduledEvent;
use quillramp_gateway::wire::resp;
use quillramp_gateway::wire::DecodedMessage;
use rand::Rng;
use replies::{BUSY_REPLY, SURPLUS_REPLY};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Requests that wait at the most: more are rejected.
const MAX_QUEUED: usize = 120;
/// The probability with which a job is executed whose connection has ended.
const ORPHAN_EXECUTION: f64 = 0.5;
/// By how much the time of an execution varies.
const EXECUTION_JITTER: std::ops::Range<f64> = 0.6..1.6;
/// A reply that is at least so long holds a long value.
const LONG_REPLY_BYTES: usize = 64_000;
/// Whether a backend runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// Its process runs.
    Up,
    /// Its process has crashed: connections are refused.
    Crashed,
    /// Its machine does not react at all.
    Unresponsive,
}

struct Job {
    link: LinkId,
    id: u64,
    customer: u64,
    units: f64,
    /// It is not started after that.
    deadline: f64,
    long_value: bool,
}

#[derive(Default)]
struct Connection {
    received: Vec<u8>,
    /// The numbers of its jobs, in the order in which they came.
    pipeline: VecDeque<u64>,
    /// Replies that wait for earlier ones, by the job's number.
    replies: HashMap<u64, Vec<u8>>,
}

impl Connection {
    /// The replies that may be sent: those with none missing before them.
    fn take_sendable(&mut self) -> Vec<u8> {
        let mut sendable = vec![];
        while let Some(reply) = self.pipeline.front().and_then(|job| self.replies.remove(job)) {
            self.pipeline.pop_front();
            sendable.extend(reply);
        }
        sendable
    }
}

/// A backend of the deployment.
pub struct Backend {
    /// The backend's index.
    pub index: usize,
    /// Counts its processes.
    pub incarnation: u64,
    /// Whether it runs.
    pub lifecycle: Lifecycle,
    /// It finishes what it has, and rejects what is new.
    pub draining: bool,
    /// When its process was started; none where that was long before the run.
    pub started: Option<f64>,
    /// What is wrong with it.
    pub faults: FaultRates,
    connections: BTreeMap<LinkId, Connection>,
    jobs: BTreeMap<u64, Job>,
    queue: VecDeque<u64>,
    running: usize,
    last_job: u64,
}

impl Backend {
    /// A backend that has run for long.
    pub fn new(index: usize) -> Backend {
        Backend {
            index,
            incarnation: 0,
            lifecycle: Lifecycle::Up,
            draining: false,
            started: None,
            faults: FaultRates::default(),
            connections: BTreeMap::new(),
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            running: 0,
            last_job: 0,
        }
    }

    /// A gateway process asks for a connection.
    pub fn connect_requested(&mut self, ctx: &mut Context, id: LinkId) {
        let accepted = match self.lifecycle {
            Lifecycle::Unresponsive => return,
            Lifecycle::Crashed => false,
            Lifecycle::Up => self.connections.len() < ctx.world.max_connections,
        };
        let Some(link) = ctx.links.get_mut(&id).filter(|link| link.gateway_open) else { return };
        link.remote_open = accepted;
        if accepted {
            self.connections.insert(id, Connection::default());
        }
        let delay = ctx.draw_delay();
        ctx.schedule_in(delay, ScheduledEvent::ConnectCompleted { link: id, accepted });
    }

    /// These bytes of a gateway process have arrived.
    pub fn bytes_received(&mut self, ctx: &mut Context, link: LinkId, bytes: &[u8]) {
        if self.lifecycle != Lifecycle::Up {
            return;
        }
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.received.extend_from_slice(bytes);
        loop {
            let Some(connection) = self.connections.get_mut(&link) else { return };
            match resp::decode_command(&connection.received) {
                Ok(Some(DecodedMessage { value: resp::ClientCommand::Request(request), length })) => {
                    connection.received.drain(..length);
                    self.admit(ctx, link, &request);
                }
                Ok(None) => return,
                _ => return self.disconnect(ctx, link),
            }
        }
    }

    /// Queues a request, or rejects it.
    fn admit(&mut self, ctx: &mut Context, link: LinkId, request: &resp::RequestCommand) {
        ctx.checker.attempt_arrived(ctx.now, self.index, request.units);
        self.last_job += 1;
        let number = self.last_job;
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.pipeline.push_back(number);
        let full = self.queue.len() >= MAX_QUEUED;
        if self.draining || full || ctx.draw_bool(self.faults.rejections) {
            return self.queue_reply(ctx, link, number, BUSY_REPLY.to_vec());
        }
        let long_value = request.idempotent && ctx.draw_bool(ctx.world.long_values);
        let job = Job {
            link,
            id: request.id,
            customer: request.customer,
            units: request.units,
            deadline: ctx.now + request.timeout_ms / 1e3,
            long_value,
        };
        self.jobs.insert(number, job);
        self.queue.push_back(number);
        self.start_jobs(ctx);
    }

    /// What it can do now, as a fraction of what it can do when warm.
    fn capacity_fraction(&self, ctx: &Context) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let initial = ctx.world.slow_start_fraction;
        let progress = (ctx.now - started) / ctx.world.slow_start_duration;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// Starts jobs from the queue as long as it has slots for them.
    fn start_jobs(&mut self, ctx: &mut Context) {
        while self.running < ctx.world.slots {
            let Some(number) = self.queue.pop_front() else { return };
            let Some(job) = self.jobs.get(&number) else { continue };
            let Job { link, id, units, .. } = *job;
            if ctx.now > job.deadline {
                self.jobs.remove(&number);
                self.queue_reply(ctx, link, number, BUSY_REPLY.to_vec());
                continue;
            }
            if !self.connections.contains_key(&link) && ctx.draw_bool(ORPHAN_EXECUTION) {
                self.jobs.remove(&number);
                continue;
            }
            ctx.checker.execution_started(ctx.now, self.index, id);
            self.running += 1;
            let jitter = ctx.rng.gen_range(EXECUTION_JITTER);
            let seconds =
                units * ctx.world.service_time * self.faults.slowdown * jitter / self.capacity_fraction(ctx);
            ctx.schedule_in(seconds, ScheduledEvent::JobCompleted { backend: self.index, job: number });
        }
    }

    /// A job, by its number, has been executed.
    pub fn job_completed(&mut self, ctx: &mut Context, number: u64) {
        let Some(job) = self.jobs.remove(&number) else { return };
        self.running -= 1;
        if self.lifecycle != Lifecycle::Up {
            return;
        }
        if !ctx.draw_bool(self.faults.lost_responses) {
            let reply = self.build_reply(ctx, &job);
            self.queue_reply(ctx, job.link, number, reply);
        }
        self.start_jobs(ctx);
    }

    /// Sends a reply once all before it on its connection have been sent.
    fn queue_reply(&mut self, ctx: &mut Context, link: LinkId, job: u64, reply: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.replies.insert(job, reply);
        let mut bytes = connection.take_sendable();
        if bytes.is_empty() {
            return;
        }
        if bytes.ends_with(SURPLUS_REPLY) && !connection.pipeline.is_empty() {
            // A surplus reply is sent only where no other reply is due.
            bytes.truncate(bytes.len() - SURPLUS_REPLY.len());
        }
        let truncated = bytes.len() > LONG_REPLY_BYTES && !bytes.ends_with(b"\r\n");
        // A surplus reply comes right behind the other: later, nobody could tell it from the next reply.
        if bytes.ends_with(SURPLUS_REPLY) {
            ctx.send_unsplit(link, Side::Gateway, &bytes);
        } else {
            ctx.send(link, Side::Gateway, &bytes);
        }
        // A truncated value ends the connection.
        if truncated || ctx.draw_bool(self.faults.closes_after_response) {
            self.disconnect(ctx, link);
        }
    }

    fn disconnect(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.close(link, Side::Remote);
    }

    /// The gateway process has closed a connection.
    pub fn link_closed(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.confirm_close(link);
    }

    /// Its process crashes, and its connections are reset; or its machine becomes unresponsive, and they are reset when it starts again.
    pub fn stop(&mut self, ctx: &mut Context, failure: Lifecycle) {
        self.lifecycle = failure;
        self.jobs.clear();
        self.queue.clear();
        self.running = 0;
        if failure == Lifecycle::Crashed {
            self.reset_links(ctx);
        }
    }

    fn reset_links(&mut self, ctx: &mut Context) {
        self.connections.clear();
        let index = self.index;
        for link in ctx.links_matching(|link| link.remote == Remote::Backend(index)) {
            ctx.reset(link);
        }
    }

    /// A new process starts, and has to warm up.
    pub fn start(&mut self, ctx: &mut Context) {
        if self.lifecycle == Lifecycle::Unresponsive {
            self.reset_links(ctx);
        }
        self.incarnation += 1;
        self.lifecycle = Lifecycle::Up;
        self.draining = false;
        self.started = Some(ctx.now);
        ctx.checker.backend_started(ctx.now, self.index);
    }
}
