//! Messages queued for other shards, and the tenants whose messages have not been answered.
use super::types::ShardOutput;
use crate::shard_map::{ShardId, TenantId};
use crate::wire::{encode, Frame, PeerIdentity, PeerMessage, MAX_PEER_MESSAGES};
use std::collections::{BTreeMap, BTreeSet};

/// Queue of messages to other shards.
#[derive(Debug, Default)]
pub(super) struct PeerOutbox {
    messages: BTreeMap<ShardId, Vec<PeerMessage>>,
    /// Tenants whose message is retransmitted until it is answered.
    unanswered: BTreeSet<TenantId>,
    /// Tenant with which the next retransmissions start.
    next_tenant: TenantId,
}

impl PeerOutbox {
    pub(super) fn push(&mut self, shard: ShardId, message: PeerMessage) {
        self.messages.entry(shard).or_default().push(message);
    }

    /// Sets whether a tenant has an unanswered message.
    pub(super) fn set_unanswered(&mut self, tenant: TenantId, unanswered: bool) {
        if unanswered {
            self.unanswered.insert(tenant);
        } else {
            self.unanswered.remove(&tenant);
        }
    }

    /// Drops all queued messages, and replaces the set of tenants with an unanswered message.
    pub(super) fn reset(&mut self, unanswered: BTreeSet<TenantId>) {
        self.messages.clear();
        self.unanswered = unanswered;
    }

    pub(super) fn has_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Returns the tenants whose messages are retransmitted next, in rotation: at most [`MAX_PEER_MESSAGES`]
    /// of them, which fit into one frame.
    pub(super) fn next_retransmissions(&mut self) -> Vec<TenantId> {
        let from_next_tenant = self.unanswered.range(self.next_tenant..);
        let before_next_tenant = self.unanswered.range(..self.next_tenant);
        let tenants: Vec<TenantId> =
            from_next_tenant.chain(before_next_tenant).take(MAX_PEER_MESSAGES).copied().collect();
        self.next_tenant = tenants.last().map_or(0, |last| last.wrapping_add(1));
        tenants
    }

    /// Encodes all queued messages into frames, and appends these to `outputs`.
    pub(super) fn drain_frames(&mut self, from: PeerIdentity, epoch: u32, outputs: &mut Vec<ShardOutput>) {
        for (shard, messages) in std::mem::take(&mut self.messages) {
            for messages in messages.chunks(MAX_PEER_MESSAGES) {
                let bytes = encode(&Frame::Peer { from, epoch, messages: messages.to_vec() });
                outputs.push(ShardOutput::SendToPeer { shard, bytes });
            }
        }
    }
}
