//! Handling of the responses to a batch.
use super::pending::{PendingEntry, PendingRequest};
use super::types::LeaseOutcome;
use super::LeaseClient;
use crate::protocol_violation::ProtocolViolation;
use crate::shard_map::{PlanId, ShardId, TenantId};
use crate::wire::{EntryResponse, HUNDREDTHS_PER_UNIT};

/// Delay before an entry answered with `Moved` is sent again, in seconds. The client expects to receive the
/// newer map in this time.
const MOVED_RETRY_DELAY: f64 = 0.1;
/// Time in seconds after which the client gives up returning units that it received for expired requests.
const RETURN_DEADLINE: f64 = 5.0;

impl LeaseClient {
    /// Applies the responses to the batch in flight.
    ///
    /// # Errors
    /// Returns [`ProtocolViolation`] if they do not match the batch in flight.
    pub(super) fn handle_batch_response(
        &mut self,
        now: f64,
        shard: ShardId,
        sequence: u32,
        responses: &[EntryResponse],
    ) -> Result<(), ProtocolViolation> {
        let Some(connection) = self.connections.get_mut(&shard) else { return Ok(()) };
        let Some(batch) = connection.take_answered_batch(sequence, responses.len())? else { return Ok(()) };
        for (mut entry, response) in batch.entries.into_iter().zip(responses) {
            match response {
                EntryResponse::Granted { granted_hundredths, available_units } => {
                    let granted_units = f64::from(*granted_hundredths) / HUNDREDTHS_PER_UNIT;
                    self.distribute_grant(now, entry, granted_units, *available_units);
                }
                EntryResponse::Moved { .. } => self.retry_moved_entry(now, entry),
                EntryResponse::UnknownPlan => {
                    entry.complete_all(&LeaseOutcome::NotApplied, &mut self.outputs);
                }
            }
        }
        Ok(())
    }

    /// Distributes granted units among the awaited requests of an entry in order, and gives the remaining
    /// units back to the tenant's owner.
    fn distribute_grant(
        &mut self,
        now: f64,
        mut entry: PendingEntry,
        granted_units: f64,
        available_units: u32,
    ) {
        let mut remaining = granted_units;
        for request in entry.requests.iter_mut().filter(|request| request.is_awaited()) {
            let units = request.requested_units.min(remaining);
            remaining -= units;
            request.complete(LeaseOutcome::Granted { units, available_units }, &mut self.outputs);
        }
        if remaining * HUNDREDTHS_PER_UNIT >= 1.0 {
            self.return_units(now, entry.tenant, entry.plan, remaining);
        }
    }

    /// Queues a report that returns units to the tenant's owner.
    fn return_units(&mut self, now: f64, tenant: TenantId, plan: PlanId, units: f64) {
        let request = PendingRequest {
            id: None,
            requested_units: 0.0,
            spent_units: -units,
            deadline: now + RETURN_DEADLINE,
        };
        let send_at = now + self.settings.report_delay;
        self.enqueue_at_owner(PendingEntry { tenant, plan, requests: vec![request], send_at });
    }

    fn retry_moved_entry(&mut self, now: f64, mut entry: PendingEntry) {
        entry.send_at = now + MOVED_RETRY_DELAY;
        self.enqueue_at_owner(entry);
    }
}
