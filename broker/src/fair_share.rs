//! Fair sharing of capacity. Each team has a token bucket that is refilled at its contract's rate. The overflow of full buckets is
//! divided among the teams that need more than their own rate, by weighted max-min fairness: units that one borrower does not need
//! go to the others.
//!
//! Only units that overflow their owner's bucket are lent, so the units of a contract are always available to its team at once.
use crate::TeamId;
use std::collections::BTreeSet;

/// Time for which a team counts as a borrower after its own bucket lacked units, seconds.
const BORROWING_TIME: f64 = 1.0;
/// Maximum of the unspent units of all borrowers together, in seconds of the total capacity. It bounds the lent units that are
/// still spent after their owner uses its capacity again.
pub const MAX_BORROWED_SECONDS: f64 = 0.05;
/// Minimum refill step, seconds: a shorter step is not worth a pass over the buckets.
const MIN_STEP: f64 = 0.001;
/// Minimum weight, which keeps quotients finite.
const MIN_WEIGHT: f64 = 1e-6;
/// Remainder below which a division ends, units: a smaller remainder is a rounding error.
const NEGLIGIBLE_UNITS: f64 = 1e-9;

/// Terms of a team's contract at this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Refill rate of the team's bucket, units per second.
    pub rate: f64,
    /// Capacity of the team's bucket, units.
    pub burst: f64,
    /// Weight of the team among the borrowers.
    pub weight: f64,
}

/// The source of granted units, to which they are refunded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    /// The team's own bucket.
    Own,
    /// The unused capacity of other teams.
    Borrowed,
}

/// Units that are available to a team now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Available {
    /// Units in the team's own bucket; negative if it is in debt.
    pub own: f64,
    /// Units borrowed from other teams.
    pub borrowed: f64,
}

/// The error of a request for which no units are available now.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("no units are available for {retry_after} s")]
pub struct NoUnits {
    /// Time until the team's own bucket has the units, seconds; infinite if it never has them.
    pub retry_after: f64,
}

/// The token bucket of a team.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Refill rate, units per second.
    rate: f64,
    /// Capacity, units.
    burst: f64,
    /// Weight among the borrowers.
    weight: f64,
    /// Units in the bucket; negative if it is in debt.
    level: f64,
    /// Borrowed units that are unspent.
    borrowed: f64,
    /// Time until which the team is a borrower, seconds.
    borrows_until: f64,
}

impl Bucket {
    fn is_full(&self) -> bool {
        self.level >= self.burst
    }

    /// Refills the bucket for a time in seconds and returns the overflow, units.
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
    /// Sum of the rates of full buckets, all of which overflows, units per second.
    full_rate: f64,
    /// Sum of all rates, units per second.
    promised_rate: f64,
    /// Teams among which the overflow is divided.
    borrowers: BTreeSet<TeamId>,
    /// Time up to which the buckets are refilled, seconds.
    advanced_to: f64,
}

impl FairShareLimiter {
    /// Creates a limiter without teams; `capacity` is in units per second.
    pub fn new(now: f64, capacity: f64) -> FairShareLimiter {
        FairShareLimiter { capacity, advanced_to: now, ..FairShareLimiter::default() }
    }

    /// Sets the capacity, units per second.
    pub fn set_capacity(&mut self, now: f64, capacity: f64) {
        self.advance(now);
        self.capacity = capacity;
    }

    /// Sets a team's terms. A new team starts with a full bucket; an existing one keeps its level, up to the new burst.
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

    /// Takes units from the team's own bucket, otherwise from its borrowed units.
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

    /// Returns units that were taken and not used to their source.
    pub fn refund(&mut self, team: TeamId, units: f64, source: Source) {
        let Some(bucket) = self.buckets.get_mut(team) else { return };
        match source {
            Source::Own => bucket.level = (bucket.level + units).min(bucket.burst),
            Source::Borrowed => bucket.borrowed += units,
        }
        self.update_filling(team);
    }

    /// Subtracts from a bucket the difference between the units that a request used and those taken for it; may be negative.
    pub fn adjust(&mut self, now: f64, team: TeamId, difference: f64) {
        self.advance(now);
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level - difference).min(bucket.burst);
            self.update_filling(team);
        }
    }

    /// Returns the units that are available to a team now.
    pub fn available(&self, team: TeamId) -> Available {
        let available = |bucket: &Bucket| Available { own: bucket.level, borrowed: bucket.borrowed };
        self.buckets.get(team).map_or(Available::default(), available)
    }

    /// Updates `filling` and `full_rate` for a team's bucket.
    fn update_filling(&mut self, team: TeamId) {
        let bucket = &self.buckets[team];
        if bucket.is_full() && self.filling.remove(&team) {
            self.full_rate += bucket.rate;
        } else if !bucket.is_full() && self.filling.insert(team) {
            self.full_rate -= bucket.rate;
        }
    }

    /// Refills the buckets up to a time and divides the overflow.
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

    /// Removes the borrowers whose own bucket has had enough units for [`BORROWING_TIME`], and their borrowed units.
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

    /// Divides units among the borrowers by weighted max-min fairness: units beyond the headroom of one go to the others.
    fn divide(&mut self, mut units: f64) {
        let total_weight: f64 = self.borrowers.iter().map(|team| self.buckets[*team].weight).sum();
        let max_borrowed = self.capacity * MAX_BORROWED_SECONDS;
        let mut unfilled: Vec<TeamId> = self.borrowers.iter().copied().collect();
        let mut unfilled_weight = total_weight;
        while units > NEGLIGIBLE_UNITS && !unfilled.is_empty() {
            let units_per_weight = units / unfilled_weight;
            let weight_before = unfilled_weight;
            let mut allocated = 0.0;
            let mut still_unfilled = vec![];
            for team in unfilled {
                let bucket = &mut self.buckets[team];
                let headroom = (max_borrowed * bucket.weight / total_weight - bucket.borrowed).max(0.0);
                let share = units_per_weight * bucket.weight;
                bucket.borrowed += share.min(headroom);
                allocated += share.min(headroom);
                if share < headroom {
                    still_unfilled.push(team);
                } else {
                    unfilled_weight -= bucket.weight;
                }
            }
            units -= allocated;
            if unfilled_weight >= weight_before {
                break; // no borrower reached its headroom
            }
            unfilled = still_unfilled;
        }
    }
}
