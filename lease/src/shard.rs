//! A shard: keeps the buckets of the tenants that it owns and answers batches, each once.
use crate::fault_injection::InjectedFault;
use crate::regional_quota::{floor_ppm, RegionalQuota};
use crate::shard_map::{PlanId, Region, ShardId, ShardMap, ShardMapError, ShardMapSchedule, TenantId};
use crate::token_bucket::TokenBucket;
use crate::wire::{
    encode, BatchEntry, EntryResponse, Frame, FrameDecoder, PeerIdentity, PeerMessage, HUNDREDTHS_PER_UNIT,
    MAX_PEER_MESSAGES, PROTOCOL_VERSION,
};
use std::collections::{BTreeMap, BTreeSet};

/// A front door unheard for so long (seconds) is forgotten; far beyond the time in which a client sends a batch again.
const SESSION_LIFE: f64 = 120.0;
/// Messages between shards are sent again that often, seconds: some round trips between regions.
const PEER_INTERVAL: f64 = 0.5;
/// Old sessions and buckets are looked for that often, seconds.
const SWEEP_INTERVAL: f64 = 30.0;
/// A bucket under this part of its capacity is short.
const SHORT_PART: f64 = 0.25;
/// Between two regions buckets are kept for that long (seconds) after their last use, since a new one has to ask for its share.
const BUCKET_LIFE: f64 = 600.0;

/// Names a connection to the shard.
pub type ConnectionId = u64;

/// Which shard this is.
#[derive(Clone, Debug)]
pub struct ShardSettings {
    /// Its number in the map.
    pub id: ShardId,
    /// Its region.
    pub region: String,
    /// This process; another one with each start.
    pub incarnation: u64,
    /// For tests alone: a guard that is switched off.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardOutput {
    /// Write bytes on a connection.
    Send {
        /// Which one.
        connection: ConnectionId,
        /// Whole frames.
        bytes: Vec<u8>,
    },
    /// Close a connection; no `disconnected` is expected.
    Close {
        /// Which one.
        connection: ConnectionId,
    },
    /// Send bytes to another shard; they may be lost.
    Peer {
        /// Which shard.
        shard: ShardId,
        /// Whole frames.
        bytes: Vec<u8>,
    },
}

#[derive(Debug)]
struct Connection {
    reader: FrameDecoder,
    front_door: Option<u64>,
}

/// What is kept of a front door: the last batch applied and its reply.
#[derive(Debug)]
struct Session {
    incarnation: u64,
    connection: ConnectionId,
    last_sequence: u32,
    last_reply: Vec<u8>,
    heard_at: f64,
}

/// One tenant here.
#[derive(Debug)]
struct Account {
    plan: PlanId,
    bucket: TokenBucket,
    regional_quota: RegionalQuota,
    touched_at: f64,
}

/// A map that was in force up to a time.
#[derive(Debug)]
struct FormerMap {
    map: ShardMap,
    ended_at: f64,
}

/// The state machine of one shard.
#[derive(Debug)]
pub struct Shard {
    settings: ShardSettings,
    maps: ShardMapSchedule,
    former_maps: Vec<FormerMap>,
    /// Buckets that are not known here count as empty then.
    empty_at: f64,
    connections: BTreeMap<ConnectionId, Connection>,
    sessions: BTreeMap<u64, Session>,
    accounts: BTreeMap<TenantId, Account>,
    /// Tenants with a message to another shard that is not answered.
    waiting: BTreeSet<TenantId>,
    /// Where the next round of messages begins.
    waiting_from: TenantId,
    next_peer_round: f64,
    next_sweep: f64,
    transfers: u32,
    peer_messages: BTreeMap<ShardId, Vec<PeerMessage>>,
    outputs: Vec<ShardOutput>,
}

impl Shard {
    /// A shard that knows nothing yet. The map is used at once, since there is no other one; before its `active_at` the
    /// shard grants nothing, for owners under the former map may grant still.
    pub fn new(now: f64, settings: ShardSettings, map: ShardMap) -> Result<Shard, ShardMapError> {
        check(&settings, &map)?;
        let at_once = settings.injected_fault == Some(InjectedFault::ActivateMapImmediately);
        let empty_at = if at_once { now } else { now.max(map.active_at) };
        Ok(Shard {
            maps: ShardMapSchedule::new(map, settings.injected_fault),
            settings,
            former_maps: vec![],
            empty_at,
            connections: BTreeMap::new(),
            sessions: BTreeMap::new(),
            accounts: BTreeMap::new(),
            waiting: BTreeSet::new(),
            waiting_from: 0,
            next_peer_round: now,
            next_sweep: now + SWEEP_INTERVAL,
            transfers: 0,
            peer_messages: BTreeMap::new(),
            outputs: vec![],
        })
    }

    /// Bytes came on a connection; a connection not heard of before is a new one.
    pub fn receive(&mut self, now: f64, connection: ConnectionId, bytes: &[u8]) {
        self.tick(now);
        let fresh = || Connection { reader: FrameDecoder::default(), front_door: None };
        self.connections.entry(connection).or_insert_with(fresh).reader.extend(bytes);
        while let Some(open) = self.connections.get_mut(&connection) {
            let read = match open.reader.next_frame() {
                Ok(None) => return,
                Ok(Some(frame)) => self.read(now, connection, frame),
                Err(_) => false,
            };
            if !read {
                return self.close(connection);
            }
        }
    }

    /// A connection is gone.
    pub fn disconnected(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// A newer map; it is used from its `active_at` on.
    pub fn change_map(&mut self, now: f64, map: ShardMap) -> Result<(), ShardMapError> {
        self.maps.check_newer(&map)?;
        map.validate()?;
        self.maps.schedule(map);
        self.tick(now);
        Ok(())
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: f64) {
        if let Some(former) = self.maps.activate_due(now) {
            self.follow_map(now, former);
        }
        if now >= self.next_peer_round {
            self.next_peer_round = now + PEER_INTERVAL;
            self.send_waiting();
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// When [`Shard::tick`] has something to do next, Unix time.
    pub fn due(&self) -> f64 {
        let map = self.maps.next_activation().into_iter();
        let peers = (!self.waiting.is_empty()).then_some(self.next_peer_round);
        map.chain(peers).fold(self.next_sweep, f64::min)
    }

    /// What the caller has to do, in order.
    pub fn poll_outputs(&mut self) -> Vec<ShardOutput> {
        let from = self.identity();
        let epoch = self.maps.active().epoch;
        for (shard, messages) in std::mem::take(&mut self.peer_messages) {
            for messages in messages.chunks(MAX_PEER_MESSAGES) {
                let bytes = encode(&Frame::Peer { from, epoch, messages: messages.to_vec() });
                self.outputs.push(ShardOutput::Peer { shard, bytes });
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Epoch of the map in force.
    pub fn epoch(&self) -> u32 {
        self.maps.active().epoch
    }

    /// The share of a tenant's quota that may be used here, parts per million; none: nothing is known of the tenant.
    pub fn share(&self, tenant: TenantId) -> Option<u32> {
        self.accounts.get(&tenant).map(|account| account.regional_quota.fraction_ppm())
    }

    fn identity(&self) -> PeerIdentity {
        PeerIdentity { shard: self.settings.id, incarnation: self.settings.incarnation }
    }

    fn close(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.outputs.push(ShardOutput::Close { connection });
    }

    /// Takes in a frame; false: the connection has to end.
    fn read(&mut self, now: f64, connection: ConnectionId, frame: Frame) -> bool {
        match frame {
            Frame::Hello { version, gateway: front_door, incarnation, .. } => {
                version == PROTOCOL_VERSION && self.hello(now, connection, front_door, incarnation)
            }
            Frame::Batch { sequence, entries } => self.batch(now, connection, sequence, &entries),
            Frame::Peer { from, epoch, messages } => {
                if epoch == self.maps.active().epoch {
                    for message in messages {
                        self.peer_message(now, from, message);
                    }
                }
                true
            }
            Frame::BatchResponse { .. } => false,
        }
    }

    fn hello(&mut self, now: f64, connection: ConnectionId, front_door: u64, incarnation: u64) -> bool {
        if let Some(session) = self.sessions.get_mut(&front_door) {
            if incarnation < session.incarnation {
                return false;
            }
            let former = std::mem::replace(&mut session.connection, connection);
            session.heard_at = now;
            if incarnation > session.incarnation {
                session.incarnation = incarnation;
                session.last_sequence = 0;
                session.last_reply.clear();
            }
            // What the former connection still holds must not be applied behind what comes on this one.
            if former != connection && self.connections.contains_key(&former) {
                self.close(former);
            }
        } else {
            let session =
                Session { incarnation, connection, last_sequence: 0, last_reply: vec![], heard_at: now };
            self.sessions.insert(front_door, session);
        }
        if let Some(open) = self.connections.get_mut(&connection) {
            open.front_door = Some(front_door);
        }
        true
    }

    fn batch(&mut self, now: f64, connection: ConnectionId, sequence: u32, entries: &[BatchEntry]) -> bool {
        let Some(front_door) = self.connections.get(&connection).and_then(|open| open.front_door) else {
            return false;
        };
        let Some(session) = self.sessions.get_mut(&front_door) else { return false };
        if session.connection != connection {
            return false;
        }
        session.heard_at = now;
        let keeps = self.settings.injected_fault != Some(InjectedFault::ReapplyRetransmittedBatch);
        if keeps && sequence < session.last_sequence {
            return true;
        }
        if keeps && sequence == session.last_sequence {
            let bytes = session.last_reply.clone();
            self.outputs.push(ShardOutput::Send { connection, bytes });
            return true;
        }
        let answers = entries.iter().map(|entry| self.apply(now, entry)).collect();
        let bytes = encode(&Frame::BatchResponse { sequence, responses: answers });
        if let Some(session) = self.sessions.get_mut(&front_door) {
            session.last_sequence = sequence;
            session.last_reply.clone_from(&bytes);
        }
        self.outputs.push(ShardOutput::Send { connection, bytes });
        true
    }

    fn apply(&mut self, now: f64, entry: &BatchEntry) -> EntryResponse {
        if !self.owns(self.maps.active(), entry.tenant) {
            return EntryResponse::Moved { epoch: self.maps.active().epoch };
        }
        if !self.open_account(now, entry.tenant, entry.plan) {
            return EntryResponse::UnknownPlan;
        }
        let Some(account) = self.accounts.get_mut(&entry.tenant) else { return EntryResponse::UnknownPlan };
        let spent = f64::from(entry.spent_hundredths) / HUNDREDTHS_PER_UNIT;
        let want = f64::from(entry.requested_hundredths) / HUNDREDTHS_PER_UNIT;
        account.touched_at = now;
        account.regional_quota.record_demand(spent.max(0.0) + want, now);
        account.bucket.deduct(spent, now);
        let granted = account.bucket.take(want, 1.0 / HUNDREDTHS_PER_UNIT, now);
        let tokens = account.bucket.balance(now);
        let is_short = tokens < SHORT_PART * account.bucket.capacity();
        if is_short {
            self.ask_other_region(now, entry.tenant);
        }
        EntryResponse::Granted {
            granted_hundredths: (granted * HUNDREDTHS_PER_UNIT).round() as u32,
            available_units: tokens.max(0.0) as u32,
        }
    }

    fn ask_other_region(&mut self, now: f64, tenant: TenantId) {
        let Some(peer) = self.peer_of(tenant) else { return };
        let Some(account) = self.accounts.get_mut(&tenant) else { return };
        let Some(plan) = self.maps.active().plan(account.plan) else { return };
        if account.regional_quota.should_request_transfer(plan, now) {
            self.peer_messages.entry(peer).or_default().push(PeerMessage::RequestTransfer { tenant });
        }
    }

    fn own_region<'a>(&self, map: &'a ShardMap) -> Option<&'a Region> {
        map.region(&self.settings.region).ok()
    }

    fn owns(&self, map: &ShardMap, tenant: TenantId) -> bool {
        self.own_region(map).is_some_and(|region| region.owner(tenant) == self.settings.id)
    }

    /// The tenant's owner in the other region.
    fn peer_of(&self, tenant: TenantId) -> Option<ShardId> {
        self.maps.active().peer_region(&self.settings.region).map(|region| region.owner(tenant))
    }

    /// Makes sure that there is an account of that plan; false: the map has no such plan.
    fn open_account(&mut self, now: f64, tenant: TenantId, plan_id: PlanId) -> bool {
        let Some(plan) = self.maps.active().plan(plan_id) else { return false };
        if let Some(account) = self.accounts.get_mut(&tenant) {
            if account.plan != plan_id {
                account.plan = plan_id;
                account.bucket.reconfigure(plan, account.regional_quota.fraction_ppm(), now);
            }
            return true;
        }
        let configured = self.own_region(self.maps.active()).map_or(0, Region::quota_fraction_ppm);
        let regional_quota = match self.maps.active().peer_region(&self.settings.region) {
            None => RegionalQuota::fixed(configured, now),
            Some(_) => {
                let least = self.least_share(configured);
                RegionalQuota::unreconciled(least, configured, now, self.settings.injected_fault)
            }
        };
        let bucket = TokenBucket::new(
            plan,
            regional_quota.fraction_ppm(),
            self.tenant_empty_at(tenant, plan.refill_time(), now),
            now,
        );
        if regional_quota.awaits_response() {
            self.waiting.insert(tenant);
        }
        self.accounts.insert(tenant, Account { plan: plan_id, bucket, regional_quota, touched_at: now });
        self.send_waiting_of(tenant);
        true
    }

    /// The floor under this map and those that were in force a short while ago, which the other region may still use.
    fn least_share(&self, configured: u32) -> u32 {
        let former = self.former_maps.iter().filter_map(|former| self.own_region(&former.map));
        former.map(|region| floor_ppm(region.quota_fraction_ppm())).fold(floor_ppm(configured), u32::min)
    }

    /// Since when a bucket that is not known here has filled up: since the start, or since the tenant moved here.
    fn tenant_empty_at(&self, tenant: TenantId, refill_time: f64, now: f64) -> f64 {
        if self.settings.injected_fault == Some(InjectedFault::StartWithFullBucket) {
            return now - refill_time;
        }
        let elsewhere = self.former_maps.iter().filter(|former| !self.owns(&former.map, tenant));
        elsewhere.map(|former| former.ended_at).fold(self.empty_at, f64::max)
    }

    fn follow_map(&mut self, now: f64, former: ShardMap) {
        self.former_maps.push(FormerMap { map: former, ended_at: now });
        let former = &self.former_maps[self.former_maps.len() - 1].map;
        let region = self.settings.region.as_str();
        let shares_changed = former.quota_fractions_ppm() != self.maps.active().quota_fractions_ppm();
        let mut accounts = std::mem::take(&mut self.accounts);
        accounts.retain(|tenant, account| {
            let peer = |map: &ShardMap| map.peer_region(region).map(|r| r.owner(*tenant));
            if peer(former) != peer(self.maps.active()) {
                account.regional_quota.forget_peer();
            }
            self.owns(self.maps.active(), *tenant) && self.maps.active().plan(account.plan).is_some()
        });
        if shares_changed {
            let configured = self.own_region(self.maps.active()).map_or(0, Region::quota_fraction_ppm);
            let least = self.least_share(configured);
            for account in accounts.values_mut() {
                account.regional_quota = match self.maps.active().peer_region(region) {
                    None => RegionalQuota::fixed(configured, now),
                    Some(_) => {
                        RegionalQuota::unreconciled(least, configured, now, self.settings.injected_fault)
                    }
                };
            }
        }
        for account in accounts.values_mut() {
            if let Some(plan) = self.maps.active().plan(account.plan) {
                account.bucket.reconfigure(plan, account.regional_quota.fraction_ppm(), now);
            }
        }
        self.waiting = accounts
            .iter()
            .filter(|(_, a)| a.regional_quota.awaits_response())
            .map(|(tenant, _)| *tenant)
            .collect();
        self.accounts = accounts;
        self.peer_messages.clear();
    }

    fn peer_message(&mut self, now: f64, from: PeerIdentity, message: PeerMessage) {
        let tenant = match message {
            PeerMessage::RequestTransfer { tenant }
            | PeerMessage::Reconcile { tenant, .. }
            | PeerMessage::ReconcileResponse { tenant, .. }
            | PeerMessage::Transfer { tenant, .. }
            | PeerMessage::Acknowledge { tenant, .. } => tenant,
        };
        if self.peer_of(tenant) != Some(from.shard) || !self.owns(self.maps.active(), tenant) {
            return;
        }
        if let PeerMessage::Reconcile { plan, .. } | PeerMessage::Transfer { plan, .. } = message {
            if !self.open_account(now, tenant, plan) {
                return;
            }
        }
        let configured = self.own_region(self.maps.active()).map_or(0, Region::quota_fraction_ppm);
        let Some(account) = self.accounts.get_mut(&tenant) else { return };
        let Some(plan) = self.maps.active().plan(account.plan) else { return };
        if account.regional_quota.has_newer_peer(from) {
            return;
        }
        let own = self.settings.incarnation;
        let regional_quota = &mut account.regional_quota;
        let mut reply = None;
        match message {
            PeerMessage::RequestTransfer { .. } => {
                let number = self.transfers.saturating_add(1);
                if regional_quota.begin_transfer(plan, configured, number, now) {
                    self.transfers = number;
                    reply = regional_quota.pending_message(tenant, account.plan);
                }
            }
            PeerMessage::Reconcile { .. } => {
                let amount = regional_quota.held_ppm_for(from);
                reply = Some(PeerMessage::ReconcileResponse {
                    tenant,
                    held_ppm: amount,
                    requester_incarnation: from.incarnation,
                });
            }
            PeerMessage::ReconcileResponse { held_ppm: amount, requester_incarnation, .. }
                if requester_incarnation == own =>
            {
                regional_quota.reconcile(amount, configured)
            }
            PeerMessage::Transfer { transfer_number: number, amount_ppm: amount, .. } => {
                reply = regional_quota.receive_transfer(from, number, amount).then_some(
                    PeerMessage::Acknowledge {
                        tenant,
                        transfer_number: number,
                        sender_incarnation: from.incarnation,
                    },
                );
            }
            PeerMessage::Acknowledge { transfer_number: number, sender_incarnation, .. }
                if sender_incarnation == own =>
            {
                regional_quota.transfer_acknowledged(from, number)
            }
            PeerMessage::ReconcileResponse { .. } | PeerMessage::Acknowledge { .. } => {}
        }
        if account.regional_quota.awaits_response() {
            self.waiting.insert(tenant);
        } else {
            self.waiting.remove(&tenant);
        }
        account.bucket.reconfigure(plan, account.regional_quota.fraction_ppm(), now);
        if let Some(reply) = reply {
            self.peer_messages.entry(from.shard).or_default().push(reply);
        }
    }

    /// Sends again what is not answered, at most a frame's worth in a round, in turn.
    fn send_waiting(&mut self) {
        let later = self.waiting.range(self.waiting_from..);
        let tenants: Vec<TenantId> =
            later.chain(self.waiting.range(..self.waiting_from)).take(MAX_PEER_MESSAGES).copied().collect();
        self.waiting_from = tenants.last().map_or(0, |last| last.wrapping_add(1));
        for tenant in tenants {
            self.send_waiting_of(tenant);
        }
    }

    fn send_waiting_of(&mut self, tenant: TenantId) {
        let Some(peer) = self.peer_of(tenant) else { return };
        let Some(account) = self.accounts.get(&tenant) else { return };
        if let Some(message) = account.regional_quota.pending_message(tenant, account.plan) {
            self.peer_messages.entry(peer).or_default().push(message);
        }
    }

    /// Forgets front doors that are gone, and buckets that are full again and hold their configured share.
    fn sweep(&mut self, now: f64) {
        self.sessions.retain(|_, session| now - session.heard_at < SESSION_LIFE);
        let refill = self.maps.active().longest_refill_time();
        self.former_maps.retain(|former| now - former.ended_at < refill.max(BUCKET_LIFE));
        let configured = self.own_region(self.maps.active()).map_or(0, Region::quota_fraction_ppm);
        let alone = self.maps.active().peer_region(&self.settings.region).is_none();
        let life = if alone { 0.0 } else { BUCKET_LIFE };
        self.accounts.retain(|_, account| {
            let is_full = account.bucket.balance(now) >= account.bucket.capacity();
            let is_old = now - account.touched_at >= life;
            !(is_full && is_old && account.regional_quota.is_settled_at(configured))
        });
    }
}

fn check(settings: &ShardSettings, map: &ShardMap) -> Result<(), ShardMapError> {
    map.validate()?;
    let region = map.region(&settings.region)?;
    if region.shards.iter().any(|shard| shard.id == settings.id) {
        return Ok(());
    }
    Err(ShardMapError::UnknownShard { id: settings.id, region: settings.region.clone() })
}
