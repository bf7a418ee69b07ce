//! A shard: keeps the token buckets of the tenants that it owns and applies each batch once.
//!
//! The caller owns the sockets and the clock. After each event it drains [`Shard::poll_outputs`] and sets a timer to
//! [`Shard::poll_timeout`]. All times are seconds of Unix time.
mod account;
mod batches;
mod ownership;
mod peer_messages;
mod peer_outbox;
mod sessions;
mod types;

pub use types::{ConnectionId, ShardOutput, ShardSettings};

use crate::protocol_violation::ProtocolViolation;
use crate::shard_map::{ShardMap, ShardMapError, TenantId};
use crate::wire::{Frame, PeerIdentity, PROTOCOL_VERSION};
use account::Account;
use ownership::Ownership;
use peer_outbox::PeerOutbox;
use sessions::SessionTable;
use std::collections::BTreeMap;

/// Interval at which messages to other shards are retransmitted, seconds: some round trips between regions.
const RETRANSMIT_INTERVAL: f64 = 0.5;
/// Interval at which expired sessions and buckets are removed, seconds.
const CLEANUP_INTERVAL: f64 = 30.0;
/// With a second region, buckets are kept for this long after their last use, seconds: a new one has to request its
/// fraction of the quota first.
const IDLE_BUCKET_LIFETIME: f64 = 600.0;

/// The state machine of one shard.
#[derive(Debug)]
pub struct Shard {
    settings: ShardSettings,
    ownership: Ownership,
    sessions: SessionTable,
    accounts: BTreeMap<TenantId, Account>,
    peer_outbox: PeerOutbox,
    /// Number of the last transfer to another region; 0: none.
    last_transfer_number: u32,
    next_retransmit_at: f64,
    next_cleanup_at: f64,
    outputs: Vec<ShardOutput>,
}

impl Shard {
    /// A shard without any state. The map is used at once, since there is no other one; before its `active_at` the
    /// shard grants nothing, since owners under the former map may still grant.
    ///
    /// # Errors
    /// [`ShardMapError`] if the map is invalid or lacks the shard.
    pub fn new(now: f64, settings: ShardSettings, map: ShardMap) -> Result<Shard, ShardMapError> {
        Ok(Shard {
            ownership: Ownership::new(now, &settings, map)?,
            sessions: SessionTable::new(settings.injected_fault),
            settings,
            accounts: BTreeMap::new(),
            peer_outbox: PeerOutbox::default(),
            last_transfer_number: 0,
            next_retransmit_at: now,
            next_cleanup_at: now + CLEANUP_INTERVAL,
            outputs: vec![],
        })
    }

    /// Bytes arrived on a connection, in arbitrary pieces; an unknown connection is a new one.
    pub fn receive(&mut self, now: f64, connection: ConnectionId, bytes: &[u8]) {
        self.handle_timeout(now);
        self.sessions.receive(connection, bytes);
        if self.handle_frames(now, connection).is_err() {
            self.close(connection);
        }
    }

    /// A connection was lost.
    pub fn handle_disconnected(&mut self, connection: ConnectionId) {
        self.sessions.remove_connection(connection);
    }

    /// Takes over a newer map, which is used from its `active_at` on.
    ///
    /// # Errors
    /// [`ShardMapError`] if the map is invalid or not newer than the newest one known.
    pub fn update_map(&mut self, now: f64, map: ShardMap) -> Result<(), ShardMapError> {
        self.ownership.schedule(map)?;
        self.handle_timeout(now);
        Ok(())
    }

    /// Does whatever is due by now.
    pub fn handle_timeout(&mut self, now: f64) {
        if self.ownership.activate_if_due(now) {
            self.apply_map_change(now);
        }
        if now >= self.next_retransmit_at {
            self.next_retransmit_at = now + RETRANSMIT_INTERVAL;
            self.retransmit_unanswered();
        }
        if now >= self.next_cleanup_at {
            self.next_cleanup_at = now + CLEANUP_INTERVAL;
            self.remove_expired(now);
        }
    }

    /// When [`Shard::handle_timeout`] has something to do next, Unix time in seconds.
    pub fn poll_timeout(&self) -> f64 {
        let activation = self.ownership.next_activation();
        let retransmit = self.peer_outbox.has_unanswered().then_some(self.next_retransmit_at);
        activation.into_iter().chain(retransmit).fold(self.next_cleanup_at, f64::min)
    }

    /// What the caller has to do, in order.
    pub fn poll_outputs(&mut self) -> Vec<ShardOutput> {
        let from = PeerIdentity { shard: self.settings.id, incarnation: self.settings.incarnation };
        self.peer_outbox.drain_frames(from, self.epoch(), &mut self.outputs);
        std::mem::take(&mut self.outputs)
    }

    /// Epoch of the map in force.
    pub fn epoch(&self) -> u32 {
        self.ownership.map().epoch
    }

    /// The fraction of a tenant's quota that may be used here, parts per million; `None`: the tenant has no bucket
    /// here.
    pub fn quota_fraction_ppm(&self, tenant: TenantId) -> Option<u32> {
        self.accounts.get(&tenant).map(|account| account.regional_quota.fraction_ppm())
    }

    fn close(&mut self, connection: ConnectionId) {
        self.sessions.remove_connection(connection);
        self.outputs.push(ShardOutput::Close { connection });
    }

    fn handle_frames(&mut self, now: f64, connection: ConnectionId) -> Result<(), ProtocolViolation> {
        while let Some(frame) = self.sessions.next_frame(connection)? {
            self.handle_frame(now, connection, frame)?;
        }
        Ok(())
    }

    fn handle_frame(
        &mut self,
        now: f64,
        connection: ConnectionId,
        frame: Frame,
    ) -> Result<(), ProtocolViolation> {
        match frame {
            Frame::Hello { version, gateway, incarnation, .. } => {
                if version != PROTOCOL_VERSION {
                    return Err(ProtocolViolation::UnsupportedVersion(version));
                }
                if let Some(replaced) = self.sessions.handle_hello(now, connection, gateway, incarnation)? {
                    self.close(replaced);
                }
            }
            Frame::Batch { sequence, entries } => {
                self.handle_batch(now, connection, sequence, &entries)?;
            }
            Frame::Peer { from, epoch, messages } => {
                // Under different maps the two shards may disagree on who owns a tenant.
                if epoch == self.epoch() {
                    for message in messages {
                        self.handle_peer_message(now, from, &message);
                    }
                }
            }
            Frame::BatchResponse { .. } => return Err(ProtocolViolation::UnexpectedFrame),
        }
        Ok(())
    }

    /// Drops the accounts of tenants that moved away, and adapts the other ones to the new map.
    fn apply_map_change(&mut self, now: f64) {
        let ownership = &self.ownership;
        self.accounts.retain(|tenant, account| {
            if ownership.peer_owner_changed(*tenant) {
                account.regional_quota.forget_peer();
            }
            ownership.owns(*tenant) && ownership.map().plan(account.plan).is_some()
        });
        let fractions_changed = ownership.quota_fractions_changed();
        for account in self.accounts.values_mut() {
            if fractions_changed {
                account.regional_quota = ownership.new_regional_quota(now);
            }
            if let Some(plan) = ownership.map().plan(account.plan) {
                account.reconfigure_bucket(plan, now);
            }
        }
        let awaiting = self.accounts.iter().filter(|(_, account)| account.regional_quota.awaits_response());
        self.peer_outbox.reset(awaiting.map(|(tenant, _)| *tenant).collect());
    }

    /// Forgets gateway instances that are gone, and accounts that a new one would be equal to.
    fn remove_expired(&mut self, now: f64) {
        self.sessions.remove_expired(now);
        self.ownership.remove_expired(now);
        let configured_ppm = self.ownership.configured_fraction_ppm();
        let has_peer_region = self.ownership.has_peer_region();
        self.accounts.retain(|_, account| !account.is_removable(now, configured_ppm, has_peer_region));
    }
}
