//! Checks that nothing is executed twice, by what processes write to backends and by what backends execute.
use super::request::{Attempt, RequestEvent, RequestRecord};
use super::{CheckedLimits, Checker, Invariant, TOLERANCE};
use crate::network::LinkId;
use quillramp::types::{Idempotency, KeyScope};
use quillramp_gateway::wire::resp;
use quillramp_gateway::wire::DecodedMessage;
use std::collections::VecDeque;

/// An attempt on a connection, by its request's id and its index among that request's attempts.
#[derive(Clone, Copy)]
pub(super) struct AttemptRef {
    /// The request's id.
    pub request: u64,
    /// The attempt's index.
    pub attempt: usize,
}

/// A connection from a process to a backend.
#[derive(Default)]
pub(super) struct BackendConnection {
    /// The backend, by index.
    backend: usize,
    /// Bytes of the process that are no complete command yet.
    request_bytes: Vec<u8>,
    /// When the first byte of the command that is being written was written.
    first_byte: f64,
    /// Bytes of the backend that are no complete reply yet.
    pub reply_bytes: Vec<u8>,
    /// Attempts without a reply, in the order in which they were written.
    pub in_flight: VecDeque<AttemptRef>,
}

/// Where an attempt was written: the connection, and the process that wrote it.
#[derive(Clone, Copy)]
struct Sender {
    link: LinkId,
    process: usize,
}

/// What an attempt violates.
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
    /// A process opens a connection to a backend.
    pub fn backend_connected(&mut self, link: LinkId, backend: usize) {
        self.backends.insert(link, BackendConnection { backend, ..BackendConnection::default() });
    }

    /// These bytes have left a process for a backend.
    pub fn request_bytes_written(&mut self, now: f64, link: LinkId, process: usize, bytes: &[u8]) {
        let Some(connection) = self.backends.get_mut(&link) else { return };
        if connection.request_bytes.is_empty() {
            connection.first_byte = now;
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
            let first_byte = connection.first_byte;
            connection.first_byte = now;
            let attempt = Attempt { backend: connection.backend, first_byte, outcome: None };
            self.attempt_sent(now, Sender { link, process }, request.id, attempt);
            self.charge(now, request.id, request.units);
        }
    }

    /// An attempt has been written completely.
    fn attempt_sent(&mut self, now: f64, sender: Sender, id: u64, attempt: Attempt) {
        self.coverage.attempts += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            let message = format!("backend {} is sent {id:016x}, which no client requested", attempt.backend);
            return self.record_request_violation(Invariant::SingleResponse, now, id, message);
        };
        self.coverage.repeated_attempts += u64::from(request.possibly_executed_attempt().is_some());
        let problem = sent_after_response(request, id, &attempt)
            .or_else(|| repeated_execution(&self.limits, request, id, &attempt))
            .or_else(|| disallowed_hedge(&self.limits, request, id))
            .or_else(|| too_many_attempts(&self.limits, request, id));
        request.record(attempt.first_byte, RequestEvent::AttemptSent { backend: attempt.backend });
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

    /// An attempt for a backend that the process knows to be draining or removed.
    fn sent_past_drain_grace(&self, process: usize, id: u64, attempt: &Attempt) -> Option<Problem> {
        let Attempt { backend, first_byte, .. } = *attempt;
        let notified = self.processes.get(&process)?.not_ready_since.get(&backend).copied()?;
        if first_byte <= notified + self.limits.drain_grace + TOLERANCE {
            return None;
        }
        let message = format!(
            "{id:016x} is sent to backend {backend} at {first_byte:.4}, notified at {notified:.4} that it drains or is removed"
        );
        Some(Problem { invariant: Invariant::DrainGrace, message })
    }

    /// A backend has begun to execute a request.
    pub fn execution_started(&mut self, now: f64, backend: usize, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.record(now, RequestEvent::ExecutionStarted { backend });
        let idempotency = self.limits.operations[request.operation].idempotency;
        let first_execution = self.executed.insert(id);
        if idempotency == Idempotency::NonIdempotent && !first_execution {
            let message = format!("non-idempotent {id:016x} is executed a second time, at backend {backend}");
            self.record_request_violation(Invariant::AtMostOnce, now, id, message);
        }
    }
}

fn sent_after_response(request: &RequestRecord, id: u64, attempt: &Attempt) -> Option<Problem> {
    if request.answered_at.is_none_or(|at| attempt.first_byte <= at) {
        return None;
    }
    let message = format!("request {id:016x} is forwarded after its final response");
    Some(Problem { invariant: Invariant::SingleResponse, message })
}

/// A retry, or a hedged request, of what may have been executed and must not be executed there again.
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
            if same_scope && attempt.first_byte <= earlier.first_byte + window + TOLERANCE {
                return None;
            }
            Problem::at_most_once(format!(
                "keyed {id:016x} may have been executed at backend {} and is sent to {backend}, {}",
                earlier.backend,
                if same_scope { "after its window" } else { "outside its scope" }
            ))
        }
        Idempotency::NonIdempotent => Problem::at_most_once(format!(
            "non-idempotent {id:016x} may have been executed at backend {} and is sent to {backend}",
            earlier.backend
        )),
    }
}

fn disallowed_hedge(limits: &CheckedLimits, request: &RequestRecord, id: u64) -> Option<Problem> {
    let attempt_open = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
    if !attempt_open || limits.hedging {
        return None;
    }
    Problem::at_most_once(format!("a hedged request of {id:016x}, and none is allowed"))
}

fn too_many_attempts(limits: &CheckedLimits, request: &RequestRecord, id: u64) -> Option<Problem> {
    if request.attempts.len() < limits.max_attempts {
        return None;
    }
    Problem::at_most_once(format!("{id:016x} has more attempts than allowed"))
}
