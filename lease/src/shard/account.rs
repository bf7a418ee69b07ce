//! The state that a shard keeps for one tenant.
use super::IDLE_BUCKET_LIFETIME;
use crate::regional_quota::RegionalQuota;
use crate::shard_map::{Plan, PlanId, TenantId};
use crate::token_bucket::TokenBucket;
use crate::wire::{BatchEntry, EntryResponse, PeerIdentity, PeerMessage, HUNDREDTHS_PER_UNIT};

/// Fraction of the capacity below which a balance is low.
const LOW_BALANCE_FRACTION: f64 = 0.25;

/// Token bucket of one tenant, and the fraction of the quota that this region may use.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) plan: PlanId,
    pub(super) bucket: TokenBucket,
    pub(super) regional_quota: RegionalQuota,
    /// Unix time in seconds at which an entry was last applied.
    pub(super) last_used_at: f64,
}

/// Shard state that an account needs to handle a message from a peer.
pub(super) struct PeerMessageContext<'a> {
    /// Unix time in seconds.
    pub(super) now: f64,
    pub(super) tenant: TenantId,
    pub(super) plan: &'a Plan,
    /// Fraction of the quota that the map assigns to this region, in parts per million.
    pub(super) configured_ppm: u32,
    /// Incarnation of this shard's process.
    pub(super) incarnation: u64,
    /// Number for the next transfer, if one begins.
    pub(super) next_transfer_number: u32,
}

impl Account {
    /// Applies an entry of a batch: deducts the spent units first, then grants requested ones.
    pub(super) fn apply_entry(&mut self, now: f64, entry: &BatchEntry) -> EntryResponse {
        let spent_units = f64::from(entry.spent_hundredths) / HUNDREDTHS_PER_UNIT;
        let requested_units = f64::from(entry.requested_hundredths) / HUNDREDTHS_PER_UNIT;
        self.last_used_at = now;
        self.regional_quota.record_demand(spent_units.max(0.0) + requested_units, now);
        self.bucket.deduct(spent_units, now);
        let granted_units = self.bucket.take(requested_units, 1.0 / HUNDREDTHS_PER_UNIT, now);
        EntryResponse::Granted {
            granted_hundredths: (granted_units * HUNDREDTHS_PER_UNIT).round() as u32,
            available_units: self.bucket.balance(now).max(0.0) as u32,
        }
    }

    /// Whether the balance is so low that the shard may request quota from the other region.
    pub(super) fn has_low_balance(&mut self, now: f64) -> bool {
        self.bucket.balance(now) < LOW_BALANCE_FRACTION * self.bucket.capacity()
    }

    /// Adapts the bucket to the plan and to this region's current fraction of the quota.
    pub(super) fn reconfigure_bucket(&mut self, plan: &Plan, now: f64) {
        self.bucket.reconfigure(plan, self.regional_quota.fraction_ppm(), now);
    }

    /// Whether the account can be removed without loss: the bucket is full, the fraction is the configured
    /// one and, with a peer region, the tenant has been idle for [`IDLE_BUCKET_LIFETIME`].
    pub(super) fn is_removable(&mut self, now: f64, configured_ppm: u32, has_peer_region: bool) -> bool {
        let idle_lifetime = if has_peer_region { IDLE_BUCKET_LIFETIME } else { 0.0 };
        let is_full = self.bucket.balance(now) >= self.bucket.capacity();
        let is_idle = now - self.last_used_at >= idle_lifetime;
        is_full && is_idle && self.regional_quota.is_settled_at(configured_ppm)
    }

    /// Begins a transfer to the other owner, which is short of units. Returns its message, or `None` if
    /// nothing can be transferred now.
    fn begin_transfer(&mut self, context: &PeerMessageContext) -> Option<PeerMessage> {
        let PeerMessageContext { now, tenant, plan, configured_ppm, next_transfer_number, .. } = *context;
        let has_begun = self.regional_quota.begin_transfer(plan, configured_ppm, next_transfer_number, now);
        if !has_begun {
            return None;
        }
        self.regional_quota.pending_message(tenant, self.plan)
    }

    /// Handles a message from the tenant's owner in the other region, and returns the response if there is
    /// one.
    pub(super) fn handle_peer_message(
        &mut self,
        from: PeerIdentity,
        message: &PeerMessage,
        context: &PeerMessageContext,
    ) -> Option<PeerMessage> {
        let quota = &mut self.regional_quota;
        let tenant = context.tenant;
        match *message {
            PeerMessage::RequestTransfer { .. } => self.begin_transfer(context),
            PeerMessage::Reconcile { .. } => Some(PeerMessage::ReconcileResponse {
                tenant,
                allocated_ppm: quota.allocated_ppm_for(from),
                requester_incarnation: from.incarnation,
            }),
            PeerMessage::ReconcileResponse { allocated_ppm, requester_incarnation, .. } => {
                if requester_incarnation == context.incarnation {
                    quota.reconcile(allocated_ppm, context.configured_ppm);
                }
                None
            }
            PeerMessage::Transfer { transfer_number, amount_ppm, .. } => {
                let should_acknowledge = quota.receive_transfer(from, transfer_number, amount_ppm);
                should_acknowledge.then_some(PeerMessage::Acknowledge {
                    tenant,
                    transfer_number,
                    sender_incarnation: from.incarnation,
                })
            }
            PeerMessage::Acknowledge { transfer_number, sender_incarnation, .. } => {
                if sender_incarnation == context.incarnation {
                    quota.transfer_acknowledged(from, transfer_number);
                }
                None
            }
        }
    }
}
