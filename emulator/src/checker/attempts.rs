//! Checks that requests are repeated only as their operations' idempotency allows, and the limits on retries and hedged requests. The
//! checks observe the attempts that processes write to backends, and the executions at backends.
use super::request::{Attempt, RequestEvent, RequestRecord};
use super::{CheckedLimits, Checker, Invariant, TOLERANCE};
use crate::network::LinkId;
use quillramp::types::{Idempotency, KeyScope};
use quillramp_gateway::wire::resp;
use quillramp_gateway::wire::DecodedMessage;
use std::collections::VecDeque;

/// Identifies an attempt by its request and its index among the request's attempts.
#[derive(Clone, Copy)]
pub(super) struct AttemptRef {
    /// Id of the request.
    pub request: u64,
    /// Index of the attempt.
    pub attempt: usize,
}

/// A connection from a process to a backend.
#[derive(Default)]
pub(super) struct BackendConnection {
    /// Index of the backend.
    backend: usize,
    /// Bytes from the process that do not form a complete command yet.
    request_bytes: Vec<u8>,
    /// Time at which the first byte of `request_bytes` was written.
    first_byte_at: f64,
    /// Bytes from the backend that do not form a complete reply yet.
    pub reply_bytes: Vec<u8>,
    /// Attempts without a reply, in the order in which they were written.
    pub in_flight: VecDeque<AttemptRef>,
}

/// The process that wrote an attempt, and the connection on which it did so.
#[derive(Clone, Copy)]
struct Sender {
    link: LinkId,
    process: usize,
}

/// A violation caused by an attempt.
struct Problem {
    invariant: Invariant,
    message: String,
}

impl Problem {
    fn at_most_once(message: String) -> Option<Problem> {
        Some(Problem { invariant: Invariant::AtMostOnce, message })
    }
}

impl Checker {
    /// Records that a process opened a connection to a backend.
    pub fn backend_connected(&mut self, link: LinkId, backend: usize) {
        self.backends.insert(link, BackendConnection { backend, ..BackendConnection::default() });
    }

    /// Processes bytes that a process wrote to a backend, and checks each attempt that they complete.
    pub fn request_bytes_written(&mut self, now: f64, link: LinkId, process: usize, bytes: &[u8]) {
        let Some(connection) = self.backends.get_mut(&link) else { return };
        if connection.request_bytes.is_empty() {
            connection.first_byte_at = now;
        }
        connection.request_bytes.extend_from_slice(bytes);
        loop {
            let Some(connection) = self.backends.get_mut(&link) else { return };
            let decoded = resp::decode_command(&connection.request_bytes);
            let Ok(Some(DecodedMessage { value: resp::ClientCommand::Request(request), length })) = decoded
            else {
                return;
            };
            connection.request_bytes.drain(..length);
            let first_byte_at = connection.first_byte_at;
            connection.first_byte_at = now;
            let attempt = Attempt { backend: connection.backend, first_byte_at, outcome: None };
            self.attempt_sent(now, Sender { link, process }, request.id, attempt);
            self.charge(now, request.id, request.units);
        }
    }

    /// Records and checks an attempt that was written completely.
    fn attempt_sent(&mut self, now: f64, sender: Sender, id: u64, attempt: Attempt) {
        self.coverage.attempts += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            let message =
                format!("backend {} is sent request {id:016x}, which no client sent", attempt.backend);
            return self.record_request_violation(Invariant::SingleResponse, now, id, message);
        };
        self.coverage.repeated_attempts += u64::from(request.possibly_executed_attempt().is_some());
        let problem = sent_after_response(request, id, &attempt)
            .or_else(|| repeated_execution(&self.limits, request, id, &attempt))
            .or_else(|| disallowed_hedge(&self.limits, request, id))
            .or_else(|| too_many_attempts(&self.limits, request, id));
        request.record(attempt.first_byte_at, RequestEvent::AttemptSent { backend: attempt.backend });
        request.attempts.push(attempt);
        let index = request.attempts.len() - 1;
        if let Some(connection) = self.backends.get_mut(&sender.link) {
            connection.in_flight.push_back(AttemptRef { request: id, attempt: index });
        }
        let problem = problem.or_else(|| self.sent_past_drain_grace(sender.process, id, &attempt));
        if let Some(problem) = problem {
            self.record_request_violation(problem.invariant, now, id, problem.message);
        }
    }

    /// Returns a problem if the attempt started after the grace period of a backend that is draining or removed. The period starts when
    /// the process is notified.
    fn sent_past_drain_grace(&self, process: usize, id: u64, attempt: &Attempt) -> Option<Problem> {
        let Attempt { backend, first_byte_at, .. } = *attempt;
        let notified_at = self.processes.get(&process)?.not_ready_since.get(&backend).copied()?;
        if first_byte_at <= notified_at + self.limits.drain_grace + TOLERANCE {
            return None;
        }
        let message = format!(
            "request {id:016x} is sent to backend {backend} at {first_byte_at:.4}, notified at {notified_at:.4} as draining or removed"
        );
        Some(Problem { invariant: Invariant::DrainGrace, message })
    }

    /// Records that a backend started to execute a request, and checks that a non-idempotent request is executed only once.
    pub fn execution_started(&mut self, now: f64, backend: usize, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.record(now, RequestEvent::ExecutionStarted { backend });
        let idempotency = self.limits.operations[request.operation].idempotency;
        let first_execution = self.executed.insert(id);
        if idempotency == Idempotency::NonIdempotent && !first_execution {
            let message =
                format!("non-idempotent request {id:016x} is executed a second time, at backend {backend}");
            self.record_request_violation(Invariant::AtMostOnce, now, id, message);
        }
    }
}

/// Returns a problem if the attempt started after the request's final response.
fn sent_after_response(request: &RequestRecord, id: u64, attempt: &Attempt) -> Option<Problem> {
    if request.answered_at.is_none_or(|at| attempt.first_byte_at <= at) {
        return None;
    }
    let message = format!("request {id:016x} is forwarded after its final response");
    Some(Problem { invariant: Invariant::SingleResponse, message })
}

/// Returns a problem if an earlier attempt may have executed the request, and its operation's idempotency does not allow another
/// execution at this backend.
fn repeated_execution(
    limits: &CheckedLimits,
    request: &RequestRecord,
    id: u64,
    attempt: &Attempt,
) -> Option<Problem> {
    let earlier = request.possibly_executed_attempt()?;
    let backend = attempt.backend;
    match limits.operations[request.operation].idempotency {
        Idempotency::Idempotent => None,
        Idempotency::Keyed { scope, window } => {
            let same_scope = match scope {
                KeyScope::All => true,
                KeyScope::Zone => limits.backend_zones[backend] == limits.backend_zones[earlier.backend],
                KeyScope::Cell => limits.backend_cells[backend] == limits.backend_cells[earlier.backend],
            };
            if same_scope && attempt.first_byte_at <= earlier.first_byte_at + window + TOLERANCE {
                return None;
            }
            Problem::at_most_once(format!(
                "keyed request {id:016x} may have been executed at backend {} and is sent to backend {backend} {}",
                earlier.backend,
                if same_scope { "after the window of its key" } else { "outside the scope of its key" }
            ))
        }
        Idempotency::NonIdempotent => Problem::at_most_once(format!(
            "non-idempotent request {id:016x} may have been executed at backend {} and is sent to backend {backend}",
            earlier.backend
        )),
    }
}

/// Returns a problem if another attempt of the request is in flight and hedged requests are not allowed.
fn disallowed_hedge(limits: &CheckedLimits, request: &RequestRecord, id: u64) -> Option<Problem> {
    let attempt_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
    if !attempt_in_flight || limits.hedging {
        return None;
    }
    Problem::at_most_once(format!("request {id:016x} is hedged, but hedged requests are not allowed"))
}

/// Returns a problem if the request has had the maximum number of attempts before this one.
fn too_many_attempts(limits: &CheckedLimits, request: &RequestRecord, id: u64) -> Option<Problem> {
    if request.attempts.len() < limits.max_attempts {
        return None;
    }
    Problem::at_most_once(format!("request {id:016x} has more attempts than allowed"))
}
