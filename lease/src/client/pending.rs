//! Requests that have been submitted and not completed yet.
use super::types::{ClientOutput, LeaseOutcome, RequestId};
use crate::shard_map::{PlanId, TenantId};
use crate::wire::{units_to_hundredths, BatchEntry};

/// A request that is queued or in flight.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// `None` if the caller awaits no outcome: it has received the outcome already, or the client itself made
    /// the request.
    pub(super) id: Option<RequestId>,
    pub(super) requested_units: f64,
    pub(super) spent_units: f64,
    /// Unix time in seconds by which the request must be completed.
    pub(super) deadline: f64,
}

impl PendingRequest {
    pub(super) fn is_awaited(&self) -> bool {
        self.id.is_some()
    }

    /// Whether the request asks for units rather than only reporting spent ones.
    pub(super) fn requests_units(&self) -> bool {
        self.requested_units > 0.0
    }

    /// Outputs the outcome, unless the request has been completed already.
    pub(super) fn complete(&mut self, outcome: LeaseOutcome, outputs: &mut Vec<ClientOutput>) {
        if let Some(request_id) = self.id.take() {
            outputs.push(ClientOutput::Completed { request_id, outcome });
        }
    }
}

/// Requests of one tenant, which are sent as one entry of a batch.
#[derive(Clone, Debug)]
pub(super) struct PendingEntry {
    pub(super) tenant: TenantId,
    pub(super) plan: PlanId,
    pub(super) requests: Vec<PendingRequest>,
    /// Unix time in seconds from which a batch is started for this entry. A batch started earlier for another
    /// entry may carry this one too.
    pub(super) send_at: f64,
}

impl PendingEntry {
    /// Merges another entry of the same tenant: adds its requests and adopts its plan and the earlier
    /// `send_at`.
    pub(super) fn merge(&mut self, other: PendingEntry) {
        self.plan = other.plan;
        self.send_at = self.send_at.min(other.send_at);
        self.requests.extend(other.requests);
    }

    pub(super) fn complete_all(&mut self, outcome: &LeaseOutcome, outputs: &mut Vec<ClientOutput>) {
        for request in &mut self.requests {
            request.complete(outcome.clone(), outputs);
        }
    }

    /// Returns the wire form of the entry. Spent units of all requests are reported, but units are requested
    /// only for requests whose outcome is still awaited.
    pub(super) fn to_wire(&self) -> BatchEntry {
        let spent_units: f64 = self.requests.iter().map(|request| request.spent_units).sum();
        let awaited = self.requests.iter().filter(|request| request.is_awaited());
        let requested_units: f64 = awaited.map(|request| request.requested_units).sum();
        BatchEntry {
            tenant: self.tenant,
            plan: self.plan,
            spent_hundredths: units_to_hundredths(spent_units),
            requested_hundredths: u32::try_from(units_to_hundredths(requested_units)).unwrap_or(0),
        }
    }
}
