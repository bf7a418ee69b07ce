//! Messages to other shards: those to be sent next, and the tenants whose messages have not been answered.
use super::types::ShardOutput;
use crate::shard_map::{ShardId, TenantId};
use crate::wire::{encode, Frame, PeerIdentity, PeerMessage, MAX_PEER_MESSAGES};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
pub(super) struct PeerOutbox {
    messages: BTreeMap<ShardId, Vec<PeerMessage>>,
    unanswered: BTreeSet<TenantId>,
    /// The tenant with which the next round of retransmissions begins.
    next_tenant: TenantId,
}

impl PeerOutbox {
    pub(super) fn push(&mut self, shard: ShardId, message: PeerMessage) {
        self.messages.entry(shard).or_default().push(message);
    }

    /// Notes whether a tenant has a message that is not answered.
    pub(super) fn set_unanswered(&mut self, tenant: TenantId, unanswered: bool) {
        if unanswered {
            self.unanswered.insert(tenant);
        } else {
            self.unanswered.remove(&tenant);
        }
    }

    /// Drops all messages; these tenants' messages are not answered.
    pub(super) fn reset(&mut self, unanswered: BTreeSet<TenantId>) {
        self.messages.clear();
        self.unanswered = unanswered;
    }

    pub(super) fn has_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// The tenants whose messages are retransmitted next: at most a frame's worth, in rotation.
    pub(super) fn next_retransmissions(&mut self) -> Vec<TenantId> {
        let from_next_tenant = self.unanswered.range(self.next_tenant..);
        let before_next_tenant = self.unanswered.range(..self.next_tenant);
        let tenants: Vec<TenantId> =
            from_next_tenant.chain(before_next_tenant).take(MAX_PEER_MESSAGES).copied().collect();
        self.next_tenant = tenants.last().map_or(0, |last| last.wrapping_add(1));
        tenants
    }

    /// Takes all messages as frames.
    pub(super) fn drain_frames(&mut self, from: PeerIdentity, epoch: u32, outputs: &mut Vec<ShardOutput>) {
        for (shard, messages) in std::mem::take(&mut self.messages) {
            for messages in messages.chunks(MAX_PEER_MESSAGES) {
                let bytes = encode(&Frame::Peer { from, epoch, messages: messages.to_vec() });
                outputs.push(ShardOutput::SendToPeer { shard, bytes });
            }
        }
    }
}
