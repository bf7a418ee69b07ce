//! A shard, which keeps the token buckets of the tenants that it owns and applies each batch exactly once.
//!
//! The caller owns the sockets and the clock. After each event it drains [`Shard::poll_outputs`] and sets a
//! timer to [`Shard::poll_timeout`]. All times are Unix time in seconds.
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

/// Interval in seconds at which unanswered messages to other shards are retransmitted: several round trips
/// between regions.
const RETRANSMIT_INTERVAL: f64 = 0.5;
/// Interval in seconds at which expired sessions, accounts and former maps are removed.
const CLEANUP_INTERVAL: f64 = 30.0;
/// Minimum time in seconds for which an account is kept after its last use if there is a second region,
/// because a new account must first be reconciled with the other region.
const IDLE_BUCKET_LIFETIME: f64 = 600.0;

/// State machine of one shard.
#[derive(Debug)]
pub struct Shard {
    settings: ShardSettings,
    ownership: Ownership,
    sessions: SessionTable,
    accounts: BTreeMap<TenantId, Account>,
    peer_outbox: PeerOutbox,
    /// Number of the last transfer to another region, 0 if none.
    last_transfer_number: u32,
    next_retransmit_at: f64,
    next_cleanup_at: f64,
    outputs: Vec<ShardOutput>,
}

impl Shard {
    /// Creates a shard without accounts or sessions. The map is active immediately, since there is no other
    /// one. Until its `active_at` the shard grants nothing, because the owners under the former map may still
    /// grant units.
    ///
    /// # Errors
    /// Returns [`ShardMapError`] if the map is invalid or does not contain the shard.
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

    /// Handles bytes received on a connection, which may be split at any position. The first bytes register a
    /// new connection.
    pub fn receive(&mut self, now: f64, connection: ConnectionId, bytes: &[u8]) {
        self.handle_timeout(now);
        self.sessions.receive(connection, bytes);
        if self.handle_frames(now, connection).is_err() {
            self.close(connection);
        }
    }

    /// Handles the loss of a connection.
    pub fn handle_disconnected(&mut self, connection: ConnectionId) {
        self.sessions.remove_connection(connection);
    }

    /// Schedules a newer map, which takes effect at its `active_at`.
    ///
    /// # Errors
    /// Returns [`ShardMapError`] if the map is invalid or has no higher epoch than the newest map accepted.
    pub fn update_map(&mut self, now: f64, map: ShardMap) -> Result<(), ShardMapError> {
        self.ownership.schedule(map)?;
        self.handle_timeout(now);
        Ok(())
    }

    /// Performs the actions due at `now`: activates a scheduled map, retransmits unanswered messages and
    /// removes expired state.
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

    /// Returns the Unix time in seconds at which to call [`Shard::handle_timeout`].
    pub fn poll_timeout(&self) -> f64 {
        let activation = self.ownership.next_activation();
        let retransmit = self.peer_outbox.has_unanswered().then_some(self.next_retransmit_at);
        activation.into_iter().chain(retransmit).fold(self.next_cleanup_at, f64::min)
    }

    /// Drains the outputs, which the caller must perform in order.
    pub fn poll_outputs(&mut self) -> Vec<ShardOutput> {
        let from = PeerIdentity { shard: self.settings.id, incarnation: self.settings.incarnation };
        self.peer_outbox.drain_frames(from, self.epoch(), &mut self.outputs);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the epoch of the active map.
    pub fn epoch(&self) -> u32 {
        self.ownership.map().epoch
    }

    /// Returns the fraction of a tenant's quota that this shard may use, in parts per million, or `None` if
    /// the tenant has no account here.
    pub fn quota_fraction_ppm(&self, tenant: TenantId) -> Option<u32> {
        self.accounts.get(&tenant).map(|account| account.regional_quota.fraction_ppm())
    }

    /// Closes a connection from the shard's side.
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
                // Ignore messages sent under another map, since the two shards may disagree about a tenant's
                // owner.
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

    /// Drops the accounts of tenants that this shard no longer owns or whose plan was removed, and adapts the
    /// others to the new map.
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
        let accounts_awaiting_response =
            self.accounts.iter().filter(|(_, account)| account.regional_quota.awaits_response());
        self.peer_outbox.reset(accounts_awaiting_response.map(|(tenant, _)| *tenant).collect());
    }

    /// Removes sessions of gateway instances that are gone, former maps that no longer matter, and accounts
    /// that are equivalent to new ones.
    fn remove_expired(&mut self, now: f64) {
        self.sessions.remove_expired(now);
        self.ownership.remove_expired(now);
        let configured_ppm = self.ownership.configured_fraction_ppm();
        let has_peer_region = self.ownership.has_peer_region();
        self.accounts.retain(|_, account| !account.is_removable(now, configured_ppm, has_peer_region));
    }
}
