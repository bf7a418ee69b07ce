//! The split of a tenant's quota between its owners in two regions, and the transfers between the owners.
//!
//! The sum of both fractions and of the transfers in transit never exceeds the full quota. Three rules ensure
//! this:
//! - The sender of a transfer deducts it before sending it.
//! - The receiver adds each transfer only once.
//! - An owner whose fraction is unknown, for instance after a restart, is reconciled with the other owner
//!   first: until the other owner has reported its allocation, it uses only the floor, which is never
//!   transferred away.
mod demand;

use crate::fault_injection::InjectedFault;
use crate::shard_map::{Plan, PlanId, TenantId, FULL_QUOTA_PPM};
use crate::wire::{PeerIdentity, PeerMessage};
use demand::DemandEstimate;

/// Part of the configured fraction that an owner never transfers away: the floor.
const FLOOR_FRACTION_OF_CONFIGURED: f64 = 0.5;
/// Part of the spare quota that one transfer carries. The sender keeps the rest, for a tenant whose demand
/// alternates between the regions.
const TRANSFER_FRACTION_OF_SPARE: f64 = 0.5;
/// Smallest transfer, in parts per million of the quota. A smaller one is not worth its messages.
const MIN_TRANSFER_PPM: u32 = 10_000;
/// Minimum interval in seconds between two transfer requests of an owner.
const TRANSFER_REQUEST_INTERVAL: f64 = 1.0;

/// Returns the floor of a configured fraction, which is never transferred away. Both are in parts per million
/// of the quota.
pub fn floor_ppm(configured_ppm: u32) -> u32 {
    (f64::from(configured_ppm) * FLOOR_FRACTION_OF_CONFIGURED) as u32
}

/// Transfer sent to the other owner and not acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OutgoingTransfer {
    number: u32,
    amount_ppm: u32,
}

/// Process of the other owner whose messages are accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PeerOwner {
    identity: PeerIdentity,
    /// Number of the last transfer added from this process, 0 if none.
    last_added_transfer: u32,
}

/// One owner's fraction of a tenant's quota, and the state of its protocol with the other owner.
///
/// Fractions are in parts per million (ppm) of the quota, and times are Unix time in seconds.
#[derive(Clone, Debug)]
pub struct RegionalQuota {
    fraction_ppm: u32,
    /// Whether the fraction is consistent with the allocation of the other owner.
    reconciled: bool,
    /// The transfer in transit to the other owner.
    outgoing: Option<OutgoingTransfer>,
    peer: Option<PeerOwner>,
    demand: DemandEstimate,
    /// Earliest time of the next transfer request.
    next_request_at: f64,
    injected_fault: Option<InjectedFault>,
}

impl RegionalQuota {
    /// Creates the constant fraction of an owner that has no peer in another region.
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

    /// Creates the fraction of an owner that is not reconciled yet: `floor_ppm` until the other owner has
    /// responded.
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

    /// Returns the fraction of the quota that this owner may use (ppm).
    pub fn fraction_ppm(&self) -> u32 {
        self.fraction_ppm
    }

    /// Whether [`RegionalQuota::pending_message`] must be retransmitted until the other owner responds.
    pub fn awaits_response(&self) -> bool {
        !self.reconciled || self.outgoing.is_some()
    }

    /// Whether the fraction equals the configured one, is reconciled and has no transfer in transit.
    pub fn is_settled_at(&self, configured_ppm: u32) -> bool {
        !self.awaits_response() && self.fraction_ppm == configured_ppm
    }

    /// Drops the process of the other owner, because another shard now owns the tenant in the other region.
    /// Messages of the new owner are then accepted.
    pub fn forget_peer(&mut self) {
        self.peer = None;
    }

    /// Records units that were spent or requested, as demand.
    pub fn record_demand(&mut self, units: f64, now: f64) {
        self.demand.record(units, now);
    }

    /// Whether to request a transfer now: the demand exceeds this owner's fraction of the plan's rate, and
    /// the last request was at least `TRANSFER_REQUEST_INTERVAL` ago. If it returns true, the request counts
    /// as made.
    pub fn should_request_transfer(&mut self, plan: &Plan, now: f64) -> bool {
        let available_rate = plan.rate * f64::from(self.fraction_ppm) / f64::from(FULL_QUOTA_PPM);
        let should_request =
            self.reconciled && now >= self.next_request_at && self.demand.rate(now) > available_rate;
        if should_request {
            self.next_request_at = now + TRANSFER_REQUEST_INTERVAL;
        }
        should_request
    }

    /// Begins a transfer to the other owner, which is short of units. The transfer carries half of the
    /// fraction that is neither used by the demand here nor part of the floor. Returns false if nothing can
    /// be transferred now.
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

    /// Returns the message whose response is pending, for its first transmission or a retransmission.
    pub fn pending_message(&self, tenant: TenantId, plan: PlanId) -> Option<PeerMessage> {
        if !self.reconciled {
            return Some(PeerMessage::Reconcile { tenant, plan });
        }
        let OutgoingTransfer { number, amount_ppm } = self.outgoing?;
        Some(PeerMessage::Transfer { tenant, plan, transfer_number: number, amount_ppm })
    }

    /// Returns this owner's allocation (ppm), including a transfer in transit, for the process `from` of the
    /// other owner, which is not reconciled. Returns `None` if this owner is not reconciled either.
    pub fn allocated_ppm_for(&mut self, from: PeerIdentity) -> Option<u32> {
        if self.peer.is_none_or(|peer| peer.identity != from) {
            self.peer = Some(PeerOwner { identity: from, last_added_transfer: 0 });
        }
        let in_transit_ppm = self.outgoing.map_or(0, |outgoing| outgoing.amount_ppm);
        self.reconciled.then_some(self.fraction_ppm + in_transit_ppm)
    }

    /// Handles the allocation (ppm) that the other owner has reported; this owner then holds the rest of the
    /// quota. `None` means that the other owner is not reconciled either; this owner then uses its configured
    /// fraction.
    pub fn reconcile(&mut self, allocated_ppm: Option<u32>, configured_ppm: u32) {
        if self.reconciled {
            return;
        }
        self.fraction_ppm = allocated_ppm
            .map_or(configured_ppm, |allocated_ppm| FULL_QUOTA_PPM.saturating_sub(allocated_ppm));
        self.reconciled = true;
    }

    /// Adds a transfer of the other owner, unless it has been added before. Returns whether to acknowledge
    /// it.
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

    /// Handles the other owner's acknowledgement of a transfer.
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

    /// Whether a newer process of the same shard has replaced the process `from`, so that its messages are
    /// obsolete.
    pub fn is_replaced_process(&self, from: PeerIdentity) -> bool {
        self.peer.is_some_and(|peer| {
            peer.identity.shard == from.shard && peer.identity.incarnation > from.incarnation
        })
    }

    /// Whether messages of the process `from` are accepted: it is the known process of the other owner, or
    /// none is known yet.
    fn accepts_messages_from(&self, from: PeerIdentity) -> bool {
        self.peer.is_none_or(|peer| peer.identity == from)
    }
}
