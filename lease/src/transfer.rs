//! Shares of one tenant's quota between the owners in two regions.
//!
//! The shares of both, with what is under way, never add up to more than a whole: the sender deducts before it sends,
//! the receiver adds once, and an owner that does not know its share uses the floor, which no owner gives away, until
//! the other side has said what it holds.
use crate::breaks::Break;
use crate::shard_map::{Plan, PlanId, TenantId, FULL_QUOTA_PPM};
use crate::wire::{PeerIdentity, PeerMessage};

/// The part of the configured share that is never given away.
const FLOOR: f64 = 0.5;
/// What is spare is given by halves, so that a tenant that moves back and forth finds some on either side.
const GIVEN_PART: f64 = 0.5;
/// A transfer smaller than that (parts per million) is not worth its messages.
const LEAST_TRANSFER: u32 = 10_000;
/// Time constant of the demand, seconds: some ten requests of a tenant at the target's 7 a second, twice that to be calm.
const DEMAND_WINDOW: f64 = 3.0;
/// A short owner asks that often, seconds.
const ASK_INTERVAL: f64 = 1.0;

/// The part of a configured share that is never given away, parts per million.
pub fn floor(configured_ppm: u32) -> u32 {
    (f64::from(configured_ppm) * FLOOR) as u32
}

/// A transfer that is not acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Outgoing {
    number: u32,
    amount: u32,
}

/// What one owner knows of its share.
#[derive(Clone, Debug)]
pub struct ShareState {
    share: u32,
    reconciled: bool,
    outgoing: Option<Outgoing>,
    /// The process of the other owner whose transfers count, and its last one that was added.
    peer: Option<(PeerIdentity, u32)>,
    demand: f64,
    demand_at: f64,
    ask_at: f64,
    breaks: Option<Break>,
}

impl ShareState {
    /// The share of an owner that has no other owner beside it.
    pub fn fixed(share: u32, now: f64) -> ShareState {
        ShareState {
            share,
            reconciled: true,
            outgoing: None,
            peer: None,
            demand: 0.0,
            demand_at: now,
            ask_at: 0.0,
            breaks: None,
        }
    }

    /// An owner that does not know its share: `least` until it does.
    pub fn unknown(least: u32, configured: u32, now: f64, breaks: Option<Break>) -> ShareState {
        let ignores_floor = breaks == Some(Break::IgnoreFloor);
        let share = if ignores_floor { configured } else { least };
        ShareState { reconciled: ignores_floor, breaks, ..ShareState::fixed(share, now) }
    }

    /// What may be used, parts per million.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Whether something is to be sent again until it is answered.
    pub fn is_waiting(&self) -> bool {
        !self.reconciled || self.outgoing.is_some()
    }

    /// Whether it is what the map says, with nothing under way.
    pub fn is_settled_at(&self, configured: u32) -> bool {
        !self.is_waiting() && self.share == configured
    }

    /// The other region's owner is another shard now: transfers of the former one no longer count.
    pub fn forget_peer(&mut self) {
        self.peer = None;
    }

    /// Units were spent or wanted.
    pub fn note_demand(&mut self, units: f64, now: f64) {
        self.demand = self.demand_now(now) + units.max(0.0) / DEMAND_WINDOW;
        self.demand_at = now;
    }

    fn demand_now(&self, now: f64) -> f64 {
        self.demand * (-(now - self.demand_at).max(0.0) / DEMAND_WINDOW).exp()
    }

    /// Whether to ask the other owner now: the demand is above this share of the plan's rate, and some time has passed.
    pub fn asks(&mut self, plan: &Plan, now: f64) -> bool {
        let own_rate = plan.rate * f64::from(self.share) / f64::from(FULL_QUOTA_PPM);
        let asks = self.reconciled && now >= self.ask_at && self.demand_now(now) > own_rate;
        if asks {
            self.ask_at = now + ASK_INTERVAL;
        }
        asks
    }

    /// The other owner is short: begins a transfer of half of what is neither used nor part of the floor.
    pub fn give(&mut self, plan: &Plan, configured: u32, number: u32, now: f64) -> bool {
        let used = self.demand_now(now) / plan.rate * f64::from(FULL_QUOTA_PPM);
        let kept = used.max(f64::from(floor(configured)));
        let amount = ((f64::from(self.share) - kept).max(0.0) * GIVEN_PART) as u32;
        if !self.reconciled || self.outgoing.is_some() || amount < LEAST_TRANSFER {
            return false;
        }
        if self.breaks != Some(Break::DeductLate) {
            self.share -= amount;
        }
        self.outgoing = Some(Outgoing { number, amount });
        true
    }

    /// What has to be sent, now or again.
    pub fn message(&self, tenant: TenantId, plan: PlanId) -> Option<PeerMessage> {
        if !self.reconciled {
            return Some(PeerMessage::Reconcile { tenant, plan });
        }
        let Outgoing { number, amount } = self.outgoing?;
        Some(PeerMessage::Transfer { tenant, plan, transfer_number: number, amount_ppm: amount })
    }

    /// The other owner does not know its share: what is held here, under way included; none if unknown here as well.
    pub fn held(&mut self, from: PeerIdentity) -> Option<u32> {
        if self.peer.is_none_or(|(peer, _)| peer != from) {
            self.peer = Some((from, 0));
        }
        let under_way = self.outgoing.map_or(0, |outgoing| outgoing.amount);
        self.reconciled.then_some(self.share + under_way)
    }

    /// The other owner said what it holds.
    pub fn reconcile(&mut self, held: Option<u32>, configured: u32) {
        if self.reconciled {
            return;
        }
        self.share = held.map_or(configured, |held| FULL_QUOTA_PPM.saturating_sub(held));
        self.reconciled = true;
    }

    /// The other owner sent a transfer; whether it is to be acknowledged.
    pub fn add(&mut self, from: PeerIdentity, number: u32, amount: u32) -> bool {
        if !self.reconciled || !self.accepts(from) {
            return false;
        }
        let last = self.peer.map_or(0, |(_, last)| last);
        if number > last {
            self.share = self.share.saturating_add(amount).min(FULL_QUOTA_PPM);
            self.peer = Some((from, number));
        }
        true
    }

    /// The other owner has added a transfer.
    pub fn acknowledged(&mut self, from: PeerIdentity, number: u32) {
        if !self.accepts(from) {
            return;
        }
        if let Some(outgoing) = self.outgoing.filter(|outgoing| outgoing.number == number) {
            self.outgoing = None;
            if self.breaks == Some(Break::DeductLate) {
                self.share = self.share.saturating_sub(outgoing.amount);
            }
        }
    }

    /// Whether the other shard's process has been replaced since: what an older one said no longer holds.
    pub fn has_newer_peer(&self, from: PeerIdentity) -> bool {
        self.peer.is_some_and(|(peer, _)| peer.shard == from.shard && peer.incarnation > from.incarnation)
    }

    /// Messages of a process that has been replaced no longer count.
    fn accepts(&self, from: PeerIdentity) -> bool {
        self.peer.is_none_or(|(peer, _)| peer == from)
    }
}
