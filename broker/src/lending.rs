//! Who may have units now. Each team has a store of its own, which regains its contract's rate; what a full store can't hold spills, and is
//! divided among those who ask for more than theirs, by weight, max-min: whoever wants less than its part leaves the rest to the others.
//!
//! So what a contract promises is there whatever others do, at once: nothing of it was lent that its owner could still have held.
use std::collections::BTreeSet;

pub type Team = usize;

/// For so long after it asked for more than its own a team has a part of what spills, seconds.
const BORROWS: f64 = 1.0;
/// What spilled is held for those who borrow for so long at the most, seconds of the whole capacity. After an owner asks for its own again,
/// no more than that is taken beside it.
pub const HELD: f64 = 0.05;
/// Smaller spans are not worth a look at all.
const TICK: f64 = 0.001;

#[derive(Clone, Copy, Debug, Default)]
struct Store {
    rate: f64,
    burst: f64,
    weight: f64,
    level: f64,
    /// Its part of what spilled.
    extra: f64,
    /// Until when it has one.
    borrows: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Lender {
    capacity: f64,
    stores: Vec<Store>,
    /// Teams whose store is not full; the others regain into what spills.
    filling: BTreeSet<Team>,
    /// Units a second of those whose store is full, and of all.
    full: f64,
    promised: f64,
    borrowers: BTreeSet<Team>,
    at: f64,
}

/// Where units came from, to give them back there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    Own,
    Lent,
}

impl Lender {
    /// With so many units a second in all.
    pub fn new(now: f64, capacity: f64) -> Lender {
        Lender { capacity, at: now, ..Lender::default() }
    }

    pub fn capacity_is(&mut self, now: f64, capacity: f64) {
        self.flows(now);
        self.capacity = capacity;
    }

    /// A team's terms from now on. A new one begins with a full store; one whose terms change keeps what it has, as far as there is room.
    pub fn terms(&mut self, now: f64, team: Team, (rate, burst, weight): (f64, f64, f64)) {
        self.flows(now);
        if self.stores.len() <= team {
            self.stores.resize(team + 1, Store::default());
        }
        let s = &mut self.stores[team];
        let new = s.rate == 0.0 && s.burst == 0.0;
        self.promised += rate - s.rate;
        if !self.filling.contains(&team) {
            self.full += rate - s.rate;
        }
        (s.rate, s.burst, s.weight) = (rate, burst, weight.max(1e-6));
        s.level = if new { burst } else { s.level.min(burst) };
        self.sorts(team);
    }

    /// Its store is full, or is not.
    fn sorts(&mut self, team: Team) {
        let s = &self.stores[team];
        let full = s.level >= s.burst;
        if full && self.filling.remove(&team) {
            self.full += s.rate;
        } else if !full && self.filling.insert(team) {
            self.full -= s.rate;
        }
    }

    /// Takes these units, from its own store or from its part of what others leave; or says in how many seconds its own will have them.
    pub fn takes(&mut self, now: f64, team: Team, units: f64) -> Result<Source, f64> {
        self.flows(now);
        let Some(s) = self.stores.get_mut(team).filter(|s| s.rate > 0.0) else { return Err(f64::INFINITY) };
        // One that is larger than the whole store goes into debt once it is full.
        if s.level >= units.min(s.burst) {
            s.level -= units;
            self.sorts(team);
            return Ok(Source::Own);
        }
        s.borrows = now + BORROWS;
        self.borrowers.insert(team);
        if s.extra >= units {
            s.extra -= units;
            return Ok(Source::Lent);
        }
        Err((units.min(s.burst) - s.level) / s.rate)
    }

    /// Units that were taken and not used.
    pub fn gives_back(&mut self, team: Team, units: f64, from: Source) {
        let Some(s) = self.stores.get_mut(team) else { return };
        match from {
            Source::Own => s.level = (s.level + units).min(s.burst),
            Source::Lent => s.extra += units,
        }
        self.sorts(team);
    }

    /// What it really took, beside what was taken for it.
    pub fn settles(&mut self, now: f64, team: Team, more: f64) {
        self.flows(now);
        if let Some(s) = self.stores.get_mut(team) {
            s.level = (s.level - more).min(s.burst);
            self.sorts(team);
        }
    }

    /// Time goes by: stores fill, and what they can't hold is divided.
    fn flows(&mut self, now: f64) {
        let span = now - self.at;
        if span < TICK {
            return;
        }
        self.at = now;
        let mut spilled = (self.full + (self.capacity - self.promised).max(0.0)) * span;
        let mut filled = vec![];
        for team in &self.filling {
            let s = &mut self.stores[*team];
            let level = s.level + s.rate * span;
            spilled += (level - s.burst).max(0.0);
            s.level = level.min(s.burst);
            if s.level >= s.burst {
                filled.push(*team);
            }
        }
        for team in filled {
            self.sorts(team);
        }
        let over = |stores: &[Store], t: &Team| stores[*t].borrows <= now;
        for team in self.borrowers.iter().copied().filter(|t| over(&self.stores, t)).collect::<Vec<_>>() {
            self.borrowers.remove(&team);
            self.stores[team].extra = 0.0; // it wants no more than its own
        }
        self.divides(spilled);
    }

    /// Max-min by weight: who is full of it leaves its part to the others.
    fn divides(&mut self, mut spilled: f64) {
        let weights: f64 = self.borrowers.iter().map(|t| self.stores[*t].weight).sum();
        let most = self.capacity * HELD;
        let mut open: Vec<Team> = self.borrowers.iter().copied().collect();
        let mut left = weights;
        while spilled > 1e-9 && !open.is_empty() {
            let each = spilled / left;
            let mut still = vec![];
            let mut given = 0.0;
            let before = left;
            for team in open {
                let s = &mut self.stores[team];
                let room = (most * s.weight / weights - s.extra).max(0.0);
                let part = each * s.weight;
                s.extra += part.min(room);
                given += part.min(room);
                if part < room {
                    still.push(team);
                } else {
                    left -= s.weight;
                }
            }
            spilled -= given;
            if left >= before {
                break; // all had room for their part
            }
            open = still;
        }
    }

    /// What a team has at hand: of its own, and lent.
    pub fn at_hand(&self, team: Team) -> (f64, f64) {
        self.stores.get(team).map_or((0.0, 0.0), |s| (s.level, s.extra))
    }
}
