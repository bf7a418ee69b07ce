//! Model of a backend: a request queue, slow start, crashes, faulty replies and a connection limit. It is deliberately simple.
mod fault_rates;
mod paused_replies;
mod replies;

pub use fault_rates::FaultRates;

use crate::context::Context;
use crate::network::{LinkId, Remote, Side};
use crate::scheduled_event::ScheduledEvent;
use paused_replies::{split_reply, ReplyParts};
use quillramp_gateway::wire::resp;
use quillramp_gateway::wire::DecodedMessage;
use rand::Rng;
use replies::{BUSY_REPLY, SURPLUS_REPLY};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Maximum number of queued requests; further requests are rejected.
const MAX_QUEUED: usize = 120;
/// Probability that a queued job is dropped instead of executed if its connection has closed.
const ORPHAN_DROP_PROBABILITY: f64 = 0.5;
/// Range of the random factor on the execution time of a job.
const EXECUTION_TIME_JITTER: std::ops::Range<f64> = 0.6..1.6;
/// Number of bytes above which bytes to send that do not end with a line end contain a truncated long
/// value.
const LONG_REPLY_BYTES: usize = 64_000;

/// Whether a backend runs, and how it failed if it does not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// The backend's process runs.
    Up,
    /// The backend's process has crashed; connections are refused.
    Crashed,
    /// The backend's machine does not respond.
    Unresponsive,
}

/// A request that is queued or being executed.
struct Job {
    link: LinkId,
    id: u64,
    customer: u64,
    units: f64,
    /// Time after which the job is rejected instead of started.
    deadline: f64,
    /// Whether the reply contains a long value.
    long_value: bool,
}

/// A connection from a gateway process.
#[derive(Default)]
struct Connection {
    /// Bytes received and not parsed yet.
    received: Vec<u8>,
    /// Numbers of the jobs whose replies have not been sent, in the order of arrival.
    pipeline: VecDeque<u64>,
    /// Replies that wait for the replies to earlier jobs, by job number.
    replies: HashMap<u64, Vec<u8>>,
    /// Parts of replies that are written after pauses.
    parts: ReplyParts,
}

impl Connection {
    /// Removes and returns the replies that can be sent in order: those before which no reply is missing.
    fn take_sendable(&mut self) -> Vec<u8> {
        let mut sendable = vec![];
        while let Some(reply) = self.pipeline.front().and_then(|job| self.replies.remove(job)) {
            self.pipeline.pop_front();
            sendable.extend(reply);
        }
        sendable
    }
}

/// A backend of the deployment, in all its incarnations.
pub struct Backend {
    /// Index of the backend.
    pub index: usize,
    /// Number of process starts during the run.
    pub incarnation: u64,
    /// Whether the backend runs.
    pub lifecycle: Lifecycle,
    /// Whether the backend rejects new requests while it finishes those that it has.
    pub draining: bool,
    /// Start time of the current process, or `None` if it started long before the run.
    pub started_at: Option<f64>,
    /// The faults injected into the backend.
    pub faults: FaultRates,
    connections: BTreeMap<LinkId, Connection>,
    /// Queued and running jobs, by number.
    jobs: BTreeMap<u64, Job>,
    /// Numbers of the jobs that have not started.
    queue: VecDeque<u64>,
    /// Number of jobs being executed.
    running: usize,
    last_job: u64,
}

impl Backend {
    /// Creates a backend that started long before the run and is fully warmed up.
    pub fn new(index: usize) -> Backend {
        Backend {
            index,
            incarnation: 0,
            lifecycle: Lifecycle::Up,
            draining: false,
            started_at: None,
            faults: FaultRates::default(),
            connections: BTreeMap::new(),
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            running: 0,
            last_job: 0,
        }
    }

    /// Accepts or refuses a connection from a gateway process, or does not respond.
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

    /// Handles bytes received from a gateway process. Anything other than request commands closes the connection.
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

    /// Queues a request, or replies that the backend is busy.
    fn admit(&mut self, ctx: &mut Context, link: LinkId, request: &resp::RequestCommand) {
        ctx.checker.attempt_arrived(ctx.now, self.index, request.units);
        self.last_job += 1;
        let number = self.last_job;
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.pipeline.push_back(number);
        let queue_full = self.queue.len() >= MAX_QUEUED;
        if self.draining || queue_full || ctx.draw_bool(self.faults.rejections) {
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

    /// Returns the current capacity as a fraction of the capacity after the slow start.
    fn capacity_fraction(&self, ctx: &Context) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let initial = ctx.world.slow_start_fraction;
        let progress = (ctx.now - started_at) / ctx.world.slow_start_duration;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// Starts queued jobs while slots are free.
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
            if !self.connections.contains_key(&link) && ctx.draw_bool(ORPHAN_DROP_PROBABILITY) {
                self.jobs.remove(&number);
                continue;
            }
            ctx.checker.execution_started(ctx.now, self.index, id);
            self.running += 1;
            let jitter = ctx.rng.gen_range(EXECUTION_TIME_JITTER);
            let seconds =
                units * ctx.world.service_time * self.faults.slowdown * jitter / self.capacity_fraction(ctx);
            ctx.schedule_in(seconds, ScheduledEvent::JobCompleted { backend: self.index, job: number });
        }
    }

    /// Completes the execution of a job and replies to it.
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

    /// Adds the reply to a job, and sends all replies of the connection that are next in order.
    fn queue_reply(&mut self, ctx: &mut Context, link: LinkId, job: u64, reply: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.replies.insert(job, reply);
        let mut bytes = connection.take_sendable();
        if bytes.is_empty() {
            return;
        }
        let is_last = connection.pipeline.is_empty() && connection.parts.is_empty();
        if bytes.ends_with(SURPLUS_REPLY) && !is_last {
            // A surplus reply is sent only if no other job of the connection is pending.
            bytes.truncate(bytes.len() - SURPLUS_REPLY.len());
        }
        let is_long = bytes.len() > LONG_REPLY_BYTES;
        let truncated = is_long && !bytes.ends_with(b"\r\n");
        if !connection.parts.is_empty() || is_long && ctx.world.paused_values > 0.0 {
            let number = link as u64 ^ job << 32;
            let parts = split_reply(ctx, number, bytes, truncated);
            return self.queue_parts(ctx, link, parts);
        }
        // A surplus reply has to arrive together with the reply before it: the gateway could not distinguish a later one from the
        // reply to the next request.
        if bytes.ends_with(SURPLUS_REPLY) {
            ctx.send_unsplit(link, Side::Gateway, &bytes);
        } else {
            ctx.send(link, Side::Gateway, &bytes);
        }
        // The connection is closed after a truncated long value of more than `LONG_REPLY_BYTES`.
        if truncated || ctx.draw_bool(self.faults.closes_after_response) {
            self.disconnect(ctx, link);
        }
    }

    /// Closes a connection.
    fn disconnect(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.close(link, Side::Remote);
    }

    /// Handles the close of a connection by the gateway process.
    pub fn link_closed(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.confirm_close(link);
    }

    /// Stops the backend, and drops its jobs. Connections are reset at once if the process crashed, and at the next start if the
    /// machine became unresponsive.
    pub fn stop(&mut self, ctx: &mut Context, failure: Lifecycle) {
        self.lifecycle = failure;
        self.jobs.clear();
        self.queue.clear();
        self.running = 0;
        if failure == Lifecycle::Crashed {
            self.reset_links(ctx);
        }
    }

    /// Resets all links to the backend.
    fn reset_links(&mut self, ctx: &mut Context) {
        self.connections.clear();
        let index = self.index;
        for link in ctx.links_matching(|link| link.remote == Remote::Backend(index)) {
            ctx.reset(link);
        }
    }

    /// Starts a new process, which has to warm up.
    pub fn start(&mut self, ctx: &mut Context) {
        if self.lifecycle == Lifecycle::Unresponsive {
            self.reset_links(ctx);
        }
        self.incarnation += 1;
        self.lifecycle = Lifecycle::Up;
        self.draining = false;
        self.started_at = Some(ctx.now);
        ctx.checker.backend_started(ctx.now, self.index);
    }
}
