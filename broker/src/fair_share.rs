//! Fair sharing of capacity. Each team has a token bucket that is refilled at its contract's rate. The overflow of full buckets is
//! divided among the teams that need more than their own, by weighted max-min fairness: what one of them does not need goes to the
//! others.
//!
//! What a contract promises is therefore always available at once: only units that their owner's bucket could not hold are lent.
use crate::TeamId;
use std::collections::BTreeSet;

/// Time for which a team takes part in the division after it needed more than its own, seconds.
const BORROWING_TIME: f64 = 1.0;
/// Limit on the borrowed units that all borrowers together accumulate, in seconds of the total capacity. It bounds what is still
/// taken from lent capacity once the owner uses its own again.
pub const MAX_BORROWED_SECONDS: f64 = 0.05;
/// The shortest refill step, seconds: a shorter one is not worth a pass over the buckets.
const MIN_STEP: f64 = 0.001;
/// The smallest weight, which keeps quotients finite.
const MIN_WEIGHT: f64 = 1e-6;
/// Remainder below which a division ends, units: it is a rounding error.
const NEGLIGIBLE_UNITS: f64 = 1e-9;

/// What a team's contract promises at this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Refill rate of its bucket, units per second.
    pub rate: f64,
    /// Capacity of its bucket, units.
    pub burst: f64,
    /// Its weight beside other borrowers.
    pub weight: f64,
}

/// The source of units, to which they are refunded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    /// The team's own bucket.
    Own,
    /// The unused capacity of other teams.
    Borrowed,
}

/// The units that a team could have now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Available {
    /// Units in its own bucket; negative if it is in debt.
    pub own: f64,
    /// Units borrowed from other teams.
    pub borrowed: f64,
}

/// No units are available now.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("no units for {retry_after} s")]
pub struct NoUnits {
    /// Time until the team's own bucket has them, seconds; infinite if it never will.
    pub retry_after: f64,
}

/// The token bucket of a team.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Refill rate, units per second.
    rate: f64,
    /// Capacity, units.
    burst: f64,
    /// Weight beside other borrowers.
    weight: f64,
    /// Units in it; negative if it is in debt.
    level: f64,
    /// Borrowed units.
    borrowed: f64,
    /// Time until which the team takes part in the division, seconds.
    borrows_until: f64,
}

impl Bucket {
    fn is_full(&self) -> bool {
        self.level >= self.burst
    }

    /// Refills it for a time in seconds and returns the overflow.
    fn refill(&mut self, seconds: f64) -> f64 {
        let level = self.level + self.rate * seconds;
        self.level = level.min(self.burst);
        (level - self.burst).max(0.0)
    }
}

/// The token buckets of all teams at one gateway instance. Times are seconds.
#[derive(Clone, Debug, Default)]
pub struct FairShareLimiter {
    /// Total capacity, units per second.
    capacity: f64,
    buckets: Vec<Bucket>,
    /// Teams whose bucket is not full.
    filling: BTreeSet<TeamId>,
    /// Sum of the rates of full buckets, units per second: all of it overflows.
    full_rate: f64,
    /// Sum of all rates, units per second.
    promised_rate: f64,
    /// Teams that take part in the division.
    borrowers: BTreeSet<TeamId>,
    /// Time up to which the buckets are refilled, seconds.
    advanced_to: f64,
}

impl FairShareLimiter {
    /// A limiter without teams; `capacity` in units per second.
    pub fn new(now: f64, capacity: f64) -> FairShareLimiter {
        FairShareLimiter { capacity, advanced_to: now, ..FairShareLimiter::default() }
    }

    /// Changes the capacity, units per second.
    pub fn set_capacity(&mut self, now: f64, capacity: f64) {
        self.advance(now);
        self.capacity = capacity;
    }

    /// Changes a team's terms. A new team starts with a full bucket; an existing one keeps its level, up to the new burst.
    pub fn set_terms(&mut self, now: f64, team: TeamId, terms: Terms) {
        self.advance(now);
        if self.buckets.len() <= team {
            self.buckets.resize(team + 1, Bucket::default());
        }
        let bucket = &mut self.buckets[team];
        let is_new = bucket.rate == 0.0 && bucket.burst == 0.0;
        self.promised_rate += terms.rate - bucket.rate;
        if !self.filling.contains(&team) {
            self.full_rate += terms.rate - bucket.rate;
        }
        bucket.rate = terms.rate;
        bucket.burst = terms.burst;
        bucket.weight = terms.weight.max(MIN_WEIGHT);
        bucket.level = if is_new { terms.burst } else { bucket.level.min(terms.burst) };
        self.update_filling(team);
    }

    /// Takes units from the team's own bucket, or else from its borrowed units.
    pub fn try_take(&mut self, now: f64, team: TeamId, units: f64) -> Result<Source, NoUnits> {
        self.advance(now);
        let Some(bucket) = self.buckets.get_mut(team).filter(|bucket| bucket.rate > 0.0) else {
            return Err(NoUnits { retry_after: f64::INFINITY });
        };
        // A request larger than the bucket is granted once the bucket is full, and takes it into debt.
        let needed = units.min(bucket.burst);
        if bucket.level >= needed {
            bucket.level -= units;
            self.update_filling(team);
            return Ok(Source::Own);
        }
        bucket.borrows_until = now + BORROWING_TIME;
        self.borrowers.insert(team);
        if bucket.borrowed >= units {
            bucket.borrowed -= units;
            return Ok(Source::Borrowed);
        }
        Err(NoUnits { retry_after: (needed - bucket.level) / bucket.rate })
    }

    /// Returns units that were taken and not used.
    pub fn refund(&mut self, team: TeamId, units: f64, source: Source) {
        let Some(bucket) = self.buckets.get_mut(team) else { return };
        match source {
            Source::Own => bucket.level = (bucket.level + units).min(bucket.burst),
            Source::Borrowed => bucket.borrowed += units,
        }
        self.update_filling(team);
    }

    /// Corrects a bucket by the difference between the units that a request used and those taken for it; may be negative.
    pub fn adjust(&mut self, now: f64, team: TeamId, difference: f64) {
        self.advance(now);
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level - difference).min(bucket.burst);
            self.update_filling(team);
        }
    }

    /// The units that a team could have now.
    pub fn available(&self, team: TeamId) -> Available {
        let available = |bucket: &Bucket| Available { own: bucket.level, borrowed: bucket.borrowed };
        self.buckets.get(team).map_or(Available::default(), available)
    }

    /// Updates the sets of full and of filling buckets for a team.
    fn update_filling(&mut self, team: TeamId) {
        let bucket = &self.buckets[team];
        if bucket.is_full() && self.filling.remove(&team) {
            self.full_rate += bucket.rate;
        } else if !bucket.is_full() && self.filling.insert(team) {
            self.full_rate -= bucket.rate;
        }
    }

    /// Advances the time: refills the buckets and divides the overflow.
    fn advance(&mut self, now: f64) {
        let step = now - self.advanced_to;
        if step < MIN_STEP {
            return;
        }
        self.advanced_to = now;
        let unpromised_rate = (self.capacity - self.promised_rate).max(0.0);
        let mut overflow = (self.full_rate + unpromised_rate) * step;
        let mut filled = vec![];
        for team in &self.filling {
            let bucket = &mut self.buckets[*team];
            overflow += bucket.refill(step);
            if bucket.is_full() {
                filled.push(*team);
            }
        }
        filled.into_iter().for_each(|team| self.update_filling(team));
        self.end_borrowing(now);
        self.divide(overflow);
    }

    /// Ends the borrowing of teams that have lately needed no more than their own.
    fn end_borrowing(&mut self, now: f64) {
        let buckets = &mut self.buckets;
        self.borrowers.retain(|team| {
            let bucket = &mut buckets[*team];
            let is_borrowing = bucket.borrows_until > now;
            if !is_borrowing {
                bucket.borrowed = 0.0;
            }
            is_borrowing
        });
    }

    /// Divides units among the borrowers by weighted max-min fairness: what one can't hold goes to the others.
    fn divide(&mut self, mut units: f64) {
        let total_weight: f64 = self.borrowers.iter().map(|team| self.buckets[*team].weight).sum();
        let max_borrowed = self.capacity * MAX_BORROWED_SECONDS;
        let mut open: Vec<TeamId> = self.borrowers.iter().copied().collect();
        let mut open_weight = total_weight;
        while units > NEGLIGIBLE_UNITS && !open.is_empty() {
            let units_per_weight = units / open_weight;
            let weight_before = open_weight;
            let mut given = 0.0;
            let mut still_open = vec![];
            for team in open {
                let bucket = &mut self.buckets[team];
                let headroom = (max_borrowed * bucket.weight / total_weight - bucket.borrowed).max(0.0);
                let part = units_per_weight * bucket.weight;
                bucket.borrowed += part.min(headroom);
                given += part.min(headroom);
                if part < headroom {
                    still_open.push(team);
                } else {
                    open_weight -= bucket.weight;
                }
            }
            units -= given;
            if open_weight >= weight_before {
                break; // every borrower could hold its part
            }
            open = still_open;
        }
    }
}
