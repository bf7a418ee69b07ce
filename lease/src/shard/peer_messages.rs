//! Handling and retransmission of messages between the owners of a tenant in two regions.
use super::account::PeerMessageContext;
use super::Shard;
use crate::shard_map::TenantId;
use crate::wire::{PeerIdentity, PeerMessage};

impl Shard {
    /// Handles a message, or ignores it unless its sender and this shard are the tenant's owners.
    pub(super) fn handle_peer_message(&mut self, now: f64, from: PeerIdentity, message: &PeerMessage) {
        let tenant = message.tenant();
        if self.ownership.peer_owner(tenant) != Some(from.shard) || !self.ownership.owns(tenant) {
            return;
        }
        if let PeerMessage::Reconcile { plan, .. } | PeerMessage::Transfer { plan, .. } = message {
            if !self.ensure_account(now, tenant, *plan) {
                return;
            }
        }
        let Some(account) = self.accounts.get_mut(&tenant) else { return };
        let Some(plan) = self.ownership.map().plan(account.plan) else { return };
        if account.regional_quota.is_replaced_process(from) {
            return;
        }
        let context = PeerMessageContext {
            now,
            tenant,
            plan,
            configured_ppm: self.ownership.configured_fraction_ppm(),
            incarnation: self.settings.incarnation,
            next_transfer_number: self.last_transfer_number.saturating_add(1),
        };
        let response = account.handle_peer_message(from, message, &context);
        self.peer_outbox.set_unanswered(tenant, account.regional_quota.awaits_response());
        account.reconfigure_bucket(plan, now);
        if let Some(response) = response {
            if let PeerMessage::Transfer { transfer_number, .. } = response {
                self.last_transfer_number = transfer_number;
            }
            self.peer_outbox.push(from.shard, response);
        }
    }

    /// Retransmits the next messages that have not been answered.
    pub(super) fn retransmit_unanswered(&mut self) {
        for tenant in self.peer_outbox.next_retransmissions() {
            self.transmit_pending_message(tenant);
        }
    }

    /// Queues the tenant's pending message, if there is one, for its owner in the other region.
    pub(super) fn transmit_pending_message(&mut self, tenant: TenantId) {
        let Some(peer) = self.ownership.peer_owner(tenant) else { return };
        let Some(account) = self.accounts.get(&tenant) else { return };
        if let Some(message) = account.regional_quota.pending_message(tenant, account.plan) {
            self.peer_outbox.push(peer, message);
        }
    }
}
