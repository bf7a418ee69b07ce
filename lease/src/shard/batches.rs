//! Handling of the batches of gateway instances.
use super::account::Account;
use super::sessions::BatchDisposition;
use super::types::{ConnectionId, ShardOutput};
use super::Shard;
use crate::protocol_violation::ProtocolViolation;
use crate::shard_map::{PlanId, TenantId};
use crate::token_bucket::TokenBucket;
use crate::wire::{encode, BatchEntry, EntryResponse, Frame, PeerMessage};

impl Shard {
    /// Applies a new batch and sends the response, or sends the stored response again if the batch is a
    /// retransmission.
    ///
    /// # Errors
    /// Returns [`ProtocolViolation`] if the connection is not the current one of a gateway instance.
    pub(super) fn handle_batch(
        &mut self,
        now: f64,
        connection: ConnectionId,
        sequence: u32,
        entries: &[BatchEntry],
    ) -> Result<(), ProtocolViolation> {
        let bytes = match self.sessions.receive_batch(now, connection, sequence)? {
            BatchDisposition::Obsolete => return Ok(()),
            BatchDisposition::Retransmitted { response } => response,
            BatchDisposition::New { gateway } => {
                let responses = entries.iter().map(|entry| self.apply_entry(now, entry)).collect();
                let bytes = encode(&Frame::BatchResponse { sequence, responses });
                self.sessions.store_response(gateway, sequence, &bytes);
                bytes
            }
        };
        self.outputs.push(ShardOutput::Send { connection, bytes });
        Ok(())
    }

    fn apply_entry(&mut self, now: f64, entry: &BatchEntry) -> EntryResponse {
        if !self.ownership.owns(entry.tenant) {
            return EntryResponse::Moved { epoch: self.epoch() };
        }
        if !self.ensure_account(now, entry.tenant, entry.plan) {
            return EntryResponse::UnknownPlan;
        }
        let Some(account) = self.accounts.get_mut(&entry.tenant) else { return EntryResponse::UnknownPlan };
        let response = account.apply_entry(now, entry);
        if account.has_low_balance(now) {
            self.request_transfer(now, entry.tenant);
        }
        response
    }

    /// Ensures that the tenant has an account with this plan. Returns false if the map does not contain the
    /// plan.
    pub(super) fn ensure_account(&mut self, now: f64, tenant: TenantId, plan_id: PlanId) -> bool {
        let Some(plan) = self.ownership.map().plan(plan_id) else { return false };
        if let Some(account) = self.accounts.get_mut(&tenant) {
            if account.plan != plan_id {
                account.plan = plan_id;
                account.reconfigure_bucket(plan, now);
            }
            return true;
        }
        let regional_quota = self.ownership.new_regional_quota(now);
        let empty_at = self.ownership.bucket_empty_at(tenant, plan, now);
        let bucket = TokenBucket::new(plan, regional_quota.fraction_ppm(), empty_at, now);
        self.peer_outbox.set_unanswered(tenant, regional_quota.awaits_response());
        self.accounts.insert(tenant, Account { plan: plan_id, bucket, regional_quota, last_used_at: now });
        self.transmit_pending_message(tenant);
        true
    }

    /// Requests quota from the other region if the tenant's demand exceeds this region's fraction.
    fn request_transfer(&mut self, now: f64, tenant: TenantId) {
        let Some(peer) = self.ownership.peer_owner(tenant) else { return };
        let Some(account) = self.accounts.get_mut(&tenant) else { return };
        let Some(plan) = self.ownership.map().plan(account.plan) else { return };
        if account.regional_quota.should_request_transfer(plan, now) {
            self.peer_outbox.push(peer, PeerMessage::RequestTransfer { tenant });
        }
    }
}
