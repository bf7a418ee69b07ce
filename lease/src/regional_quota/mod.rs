//! The fractions of one tenant's quota that the owners in two regions hold, and transfers between them.
//!
//! Both fractions, with what is in transit, never add up to more than the full quota: the sender deducts before it
//! sends, the receiver adds a transfer once, and an owner that does not know its fraction uses the floor, which no
//! owner transfers away, until the other owner has reported what it holds.
mod demand;

use crate::fault_injection::InjectedFault;
use crate::shard_map::{Plan, PlanId, TenantId, FULL_QUOTA_PPM};
use crate::wire::{PeerIdentity, PeerMessage};
use demand::DemandEstimate;

/// The part of the configured fraction that is never transferred away.
const FLOOR_FRACTION_OF_CONFIGURED: f64 = 0.5;
/// The part of the spare quota that one transfer carries, so that a tenant that moves back and forth finds some on
/// either side.
const TRANSFER_FRACTION_OF_SPARE: f64 = 0.5;
/// Smallest transfer, parts per million of the quota: a smaller one is not worth its messages.
const MIN_TRANSFER_PPM: u32 = 10_000;
/// Least time between two requests of an owner that is short of units, seconds.
const TRANSFER_REQUEST_INTERVAL: f64 = 1.0;

/// The part of a configured fraction that is never transferred away; both in parts per million of the quota.
pub fn floor_ppm(configured_ppm: u32) -> u32 {
    (f64::from(configured_ppm) * FLOOR_FRACTION_OF_CONFIGURED) as u32
}

/// A transfer that has not been acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OutgoingTransfer {
    number: u32,
    amount_ppm: u32,
}

/// The process of the other owner whose transfers count.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PeerOwner {
    identity: PeerIdentity,
    /// Number of its last transfer that was added; 0: none.
    last_added_transfer: u32,
}

/// What one owner knows of its fraction of a tenant's quota. Fractions are parts per million (ppm), times Unix time in
/// seconds.
#[derive(Clone, Debug)]
pub struct RegionalQuota {
    fraction_ppm: u32,
    /// Whether the fraction is known to fit the other owner's.
    reconciled: bool,
    outgoing: Option<OutgoingTransfer>,
    peer: Option<PeerOwner>,
    demand: DemandEstimate,
    next_request_at: f64,
    injected_fault: Option<InjectedFault>,
}

impl RegionalQuota {
    /// The fraction of an owner that has no peer in another region.
    pub fn fixed(fraction_ppm: u32, now: f64) -> RegionalQuota {
        RegionalQuota {
            fraction_ppm,
            reconciled: true,
            outgoing: None,
            peer: None,
            demand: DemandEstimate::new(now),
            next_request_at: 0.0,
            injected_fault: None,
        }
    }

    /// An owner that does not know its fraction: it uses `floor_ppm` until the other owner has responded.
    pub fn unreconciled(
        floor_ppm: u32,
        configured_ppm: u32,
        now: f64,
        injected_fault: Option<InjectedFault>,
    ) -> RegionalQuota {
        let assumes_configured = injected_fault == Some(InjectedFault::AssumeConfiguredFraction);
        let fraction_ppm = if assumes_configured { configured_ppm } else { floor_ppm };
        RegionalQuota {
            reconciled: assumes_configured,
            injected_fault,
            ..RegionalQuota::fixed(fraction_ppm, now)
        }
    }

    /// The fraction of the quota that may be used here (ppm).
    pub fn fraction_ppm(&self) -> u32 {
        self.fraction_ppm
    }

    /// Whether a message has to be retransmitted until it is answered.
    pub fn awaits_response(&self) -> bool {
        !self.reconciled || self.outgoing.is_some()
    }

    /// Whether the fraction is the configured one, with nothing in transit.
    pub fn is_settled_at(&self, configured_ppm: u32) -> bool {
        !self.awaits_response() && self.fraction_ppm == configured_ppm
    }

    /// Another shard now owns the tenant in the other region: transfers of the former owner no longer count.
    pub fn forget_peer(&mut self) {
        self.peer = None;
    }

    /// Records units that were spent or requested.
    pub fn record_demand(&mut self, units: f64, now: f64) {
        self.demand.record(units, now);
    }

    /// Whether to request a transfer now: the demand exceeds this fraction of the plan's rate, and the last request was
    /// long enough ago. A request is taken as made.
    pub fn should_request_transfer(&mut self, plan: &Plan, now: f64) -> bool {
        let available_rate = plan.rate * f64::from(self.fraction_ppm) / f64::from(FULL_QUOTA_PPM);
        let should_request =
            self.reconciled && now >= self.next_request_at && self.demand.rate(now) > available_rate;
        if should_request {
            self.next_request_at = now + TRANSFER_REQUEST_INTERVAL;
        }
        should_request
    }

    /// The other owner is short of units: begins a transfer of half of what is neither used nor part of the floor.
    /// False: nothing is transferred now.
    pub fn begin_transfer(&mut self, plan: &Plan, configured_ppm: u32, number: u32, now: f64) -> bool {
        let used_ppm = self.demand.rate(now) / plan.rate * f64::from(FULL_QUOTA_PPM);
        let retained_ppm = used_ppm.max(f64::from(floor_ppm(configured_ppm)));
        let spare_ppm = (f64::from(self.fraction_ppm) - retained_ppm).max(0.0);
        let amount_ppm = (spare_ppm * TRANSFER_FRACTION_OF_SPARE) as u32;
        if !self.reconciled || self.outgoing.is_some() || amount_ppm < MIN_TRANSFER_PPM {
            return false;
        }
        if self.injected_fault != Some(InjectedFault::DeductOnAcknowledgement) {
            self.fraction_ppm -= amount_ppm;
        }
        self.outgoing = Some(OutgoingTransfer { number, amount_ppm });
        true
    }

    /// The message that awaits a response, to be sent now or again.
    pub fn pending_message(&self, tenant: TenantId, plan: PlanId) -> Option<PeerMessage> {
        if !self.reconciled {
            return Some(PeerMessage::Reconcile { tenant, plan });
        }
        let OutgoingTransfer { number, amount_ppm } = self.outgoing?;
        Some(PeerMessage::Transfer { tenant, plan, transfer_number: number, amount_ppm })
    }

    /// The other owner does not know its fraction: returns what is allocated here, transfers in transit included (ppm);
    /// `None` if unknown here as well.
    pub fn allocated_ppm_for(&mut self, from: PeerIdentity) -> Option<u32> {
        if self.peer.is_none_or(|peer| peer.identity != from) {
            self.peer = Some(PeerOwner { identity: from, last_added_transfer: 0 });
        }
        let in_transit_ppm = self.outgoing.map_or(0, |outgoing| outgoing.amount_ppm);
        self.reconciled.then_some(self.fraction_ppm + in_transit_ppm)
    }

    /// The other owner has reported what it holds (ppm); `None`: it does not know itself.
    pub fn reconcile(&mut self, allocated_ppm: Option<u32>, configured_ppm: u32) {
        if self.reconciled {
            return;
        }
        self.fraction_ppm = allocated_ppm
            .map_or(configured_ppm, |allocated_ppm| FULL_QUOTA_PPM.saturating_sub(allocated_ppm));
        self.reconciled = true;
    }

    /// The other owner sent a transfer; returns whether to acknowledge it.
    pub fn receive_transfer(&mut self, from: PeerIdentity, number: u32, amount_ppm: u32) -> bool {
        if !self.reconciled || !self.accepts_messages_from(from) {
            return false;
        }
        let last_added_transfer = self.peer.map_or(0, |peer| peer.last_added_transfer);
        if number > last_added_transfer {
            self.fraction_ppm = self.fraction_ppm.saturating_add(amount_ppm).min(FULL_QUOTA_PPM);
            self.peer = Some(PeerOwner { identity: from, last_added_transfer: number });
        }
        true
    }

    /// The other owner has acknowledged a transfer.
    pub fn transfer_acknowledged(&mut self, from: PeerIdentity, number: u32) {
        if !self.accepts_messages_from(from) {
            return;
        }
        if let Some(outgoing) = self.outgoing.filter(|outgoing| outgoing.number == number) {
            self.outgoing = None;
            if self.injected_fault == Some(InjectedFault::DeductOnAcknowledgement) {
                self.fraction_ppm = self.fraction_ppm.saturating_sub(outgoing.amount_ppm);
            }
        }
    }

    /// Whether a newer process of the sending shard is known: messages of a replaced process are obsolete.
    pub fn is_replaced_process(&self, from: PeerIdentity) -> bool {
        self.peer.is_some_and(|peer| {
            peer.identity.shard == from.shard && peer.identity.incarnation > from.incarnation
        })
    }

    /// Messages of a replaced process do not count.
    fn accepts_messages_from(&self, from: PeerIdentity) -> bool {
        self.peer.is_none_or(|peer| peer.identity == from)
    }
}
