//! Who may have units now. Each team has a token bucket of its own, refilled at its contract's rate. What a full bucket can't hold
//! spills, and is divided max-min by weight among the teams that ask for more than their own: one that wants less than its part leaves
//! the rest to the others.
//!
//! So what a contract promises is there at once, whatever others do: only what its owner could no longer have held is lent.
use crate::TeamId;
use std::collections::BTreeSet;

/// For so long after it asked for more than its own a team has a part of what spills, seconds.
const BORROWING_TIME: f64 = 1.0;
/// Borrowers hold so much of what spilled at the most, seconds of the whole capacity. After an owner asks for its own again, no more
/// than that is taken beside it.
pub const MAX_BORROWED_SECONDS: f64 = 0.05;
/// Time is taken in by steps of at least so much, seconds: a shorter one is not worth a look at all buckets.
const MIN_STEP: f64 = 0.001;
/// The smallest weight, so that parts stay finite.
const MIN_WEIGHT: f64 = 1e-6;
/// What is left of what spilled below this is not divided further, units: it is rounding.
const NEGLIGIBLE_UNITS: f64 = 1e-9;

/// What a team is promised here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Its part of what is lent, beside others.
    pub weight: f64,
}

/// Where units came from, so that they can be refunded there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    /// The team's own bucket.
    Own,
    /// Others' unused capacity.
    Borrowed,
}

/// Units that a team could have now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Available {
    /// In its own bucket; negative where it took more.
    pub own: f64,
    /// Of others' unused capacity.
    pub borrowed: f64,
}

/// There are no units now.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("no units for {retry_after} s")]
pub struct NoUnits {
    /// When the team's own bucket will have them, seconds from now; infinite if never.
    pub retry_after: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    rate: f64,
    burst: f64,
    weight: f64,
    level: f64,
    /// The team's part of what spilled.
    borrowed: f64,
    /// It has such a part until then.
    borrows_until: f64,
}

impl Bucket {
    fn is_full(&self) -> bool {
        self.level >= self.burst
    }

    /// Refills it for so many seconds: what it can't hold.
    fn refill(&mut self, seconds: f64) -> f64 {
        let level = self.level + self.rate * seconds;
        self.level = level.min(self.burst);
        (level - self.burst).max(0.0)
    }
}

/// Token buckets of all teams at one instance of the gateway.
#[derive(Clone, Debug, Default)]
pub struct FairShareLimiter {
    /// Units a second in all.
    capacity: f64,
    buckets: Vec<Bucket>,
    /// Teams whose bucket is not full.
    filling: BTreeSet<TeamId>,
    /// The sum of the rates of full buckets, units a second: all of it spills.
    full_rate: f64,
    /// The sum of all rates, units a second.
    promised_rate: f64,
    borrowers: BTreeSet<TeamId>,
    /// Time was taken in until then.
    advanced_to: f64,
}

impl FairShareLimiter {
    /// Without teams; `capacity` in units a second.
    pub fn new(now: f64, capacity: f64) -> FairShareLimiter {
        FairShareLimiter { capacity, advanced_to: now, ..FairShareLimiter::default() }
    }

    /// Changes the capacity, units a second.
    pub fn set_capacity(&mut self, now: f64, capacity: f64) {
        self.advance(now);
        self.capacity = capacity;
    }

    /// Changes a team's terms. A new team begins with a full bucket; another one keeps its level, as far as the bucket holds it.
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

    /// Takes units from the team's own bucket, or from its part of what others leave.
    pub fn try_take(&mut self, now: f64, team: TeamId, units: f64) -> Result<Source, NoUnits> {
        self.advance(now);
        let Some(bucket) = self.buckets.get_mut(team).filter(|bucket| bucket.rate > 0.0) else {
            return Err(NoUnits { retry_after: f64::INFINITY });
        };
        // A request for more than the bucket holds takes it into debt once it is full.
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

    /// Units that were taken and not used.
    pub fn refund(&mut self, team: TeamId, units: f64, source: Source) {
        let Some(bucket) = self.buckets.get_mut(team) else { return };
        match source {
            Source::Own => bucket.level = (bucket.level + units).min(bucket.burst),
            Source::Borrowed => bucket.borrowed += units,
        }
        self.update_filling(team);
    }

    /// What a request took beside what was taken for it; may be negative.
    pub fn adjust(&mut self, now: f64, team: TeamId, difference: f64) {
        self.advance(now);
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level - difference).min(bucket.burst);
            self.update_filling(team);
        }
    }

    /// What a team could have now.
    pub fn available(&self, team: TeamId) -> Available {
        let available = |bucket: &Bucket| Available { own: bucket.level, borrowed: bucket.borrowed };
        self.buckets.get(team).map_or(Available::default(), available)
    }

    /// Sorts a team among those whose bucket is full, or not.
    fn update_filling(&mut self, team: TeamId) {
        let bucket = &self.buckets[team];
        if bucket.is_full() && self.filling.remove(&team) {
            self.full_rate += bucket.rate;
        } else if !bucket.is_full() && self.filling.insert(team) {
            self.full_rate -= bucket.rate;
        }
    }

    /// Takes time in: refills the buckets, and divides what they can't hold.
    fn advance(&mut self, now: f64) {
        let step = now - self.advanced_to;
        if step < MIN_STEP {
            return;
        }
        self.advanced_to = now;
        let unpromised_rate = (self.capacity - self.promised_rate).max(0.0);
        let mut spilled = (self.full_rate + unpromised_rate) * step;
        let mut filled = vec![];
        for team in &self.filling {
            let bucket = &mut self.buckets[*team];
            spilled += bucket.refill(step);
            if bucket.is_full() {
                filled.push(*team);
            }
        }
        filled.into_iter().for_each(|team| self.update_filling(team));
        self.end_borrowing(now);
        self.divide(spilled);
    }

    /// Teams that asked for no more than their own lately have no part of what spills.
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

    /// Divides units max-min by weight: a borrower that can hold no more leaves its part to the others.
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
                let room = (max_borrowed * bucket.weight / total_weight - bucket.borrowed).max(0.0);
                let part = units_per_weight * bucket.weight;
                bucket.borrowed += part.min(room);
                given += part.min(room);
                if part < room {
                    still_open.push(team);
                } else {
                    open_weight -= bucket.weight;
                }
            }
            units -= given;
            if open_weight >= weight_before {
                break; // all had room for their part
            }
            open = still_open;
        }
    }
}
