//! Calls of the policy engine about requests and attempts, and the execution of its decisions.
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::requests::{AttemptId, EndedAttempt};
use crate::wire::resp::ClientReply;
use quillramp::types::*;

impl Reducer {
    /// Asks the policy engine for a decision on a request, and carries it out.
    pub(super) fn route_request(&mut self, now: f64, request: RequestIndex) {
        let Some(pending) = self.requests.get_open(request) else { return };
        let attributes = pending.attributes;
        let output = self.engine.route(now, request, &attributes);
        self.apply_output(now, request, output);
    }

    /// Notifies the policy engine of attempts that have ended, and carries out its decisions.
    pub(super) fn report_ended_attempts(&mut self, now: f64) {
        while let Some(ended) = self.requests.ended_attempts.pop() {
            let EndedAttempt { id, result, metadata } = ended;
            let Some(pending) = self.requests.get(id.request) else { continue };
            let attempt = &pending.attempts[id.attempt];
            let outcome = AttemptOutcome {
                attempt: id.attempt,
                backend: attempt.backend,
                result,
                duration: attempt.time_to_first_byte.unwrap_or(now - attempt.sent_at),
                request_closed: pending.is_closed,
                billed_units: metadata.billed_units,
                load_report: metadata.load_report,
            };
            if let Some(units) = metadata.billed_units {
                self.settle_grant(now, id.request, units);
            }
            let output = self.engine.attempt_ended(now, id.request, &outcome);
            self.apply_output(now, id.request, output);
        }
    }

    /// Polls the policy engine, and routes the requests that it wants to reconsider. Returns the seconds until its next
    /// poll, if it needs one.
    pub(super) fn poll_engine(&mut self, now: f64) -> Option<f64> {
        loop {
            self.report_ended_attempts(now);
            let output = self.engine.poll(now);
            self.apply_effects(now, output.effects);
            for customer in output.evicted_customers {
                self.customers.release(customer);
            }
            for request in &output.reconsider {
                self.route_request(now, *request);
            }
            if output.reconsider.is_empty() && self.requests.ended_attempts.is_empty() {
                return output.next_poll_in;
            }
        }
    }

    fn apply_output(&mut self, now: f64, request: RequestIndex, output: PolicyOutput) {
        match output.decision {
            Decision::Forward { backend } => self.start_attempt(now, request, backend),
            Decision::Pending => {}
            Decision::Throttle { retry_after } => {
                self.answer_request(now, request, ClientReply::busy(retry_after));
            }
            Decision::Error => self.answer_request(now, request, ClientReply::Error("failed".into())),
        }
        self.apply_effects(now, output.effects);
        self.release_if_finished(request);
    }

    fn apply_effects(&mut self, now: f64, effects: Effects) {
        for call in effects.counter_calls {
            self.call_counter(now, call);
        }
        for message in effects.gossip {
            self.send_gossip(message);
        }
        for Cancellation { request, attempt } in effects.cancellations {
            self.cancel_or_withdraw_attempt(now, AttemptId { request, attempt });
        }
        if effects.fetch_endpoints {
            self.watch_if_not_pending(now);
        }
        for message in effects.log {
            self.log(LogMessage::Policy(message));
        }
    }

    /// Frees a request that is closed and whose attempts have all ended and been reported.
    pub(super) fn release_if_finished(&mut self, request: RequestIndex) {
        let Some(pending) = self.requests.get(request) else { return };
        if !pending.is_closed || pending.is_in_flight() {
            return;
        }
        if self.requests.ended_attempts.iter().any(|ended| ended.id.request == request) {
            return;
        }
        if let Some(timeout) = pending.timeout {
            self.timers.cancel(timeout);
        }
        let client_id = pending.command.id;
        self.requests.open_ids.remove(&client_id);
        self.refund_if_not_forwarded(request);
        self.requests.slots.release(request);
    }
}
