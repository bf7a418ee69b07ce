//! What ran beyond a quota, as an outside observer reckons it who sees all front doors' deliveries.

/// A store of `burst` units, full at the start, which regains `rate` a second, and what came that it did not hold.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    rate: f64,
    burst: f64,
    held: f64,
    last: f64,
    began: f64,
    /// The span that is worst so far: where it began, and what came in it.
    from: f64,
    taken: f64,
    /// Units that came and that the store did not hold. They take nothing from it: else one overshoot would count again and again.
    pub beyond: f64,
    /// How much more came than the quota allowed at the worst, over any span, as a share of what that span allowed.
    pub worst: f64,
    pub units: f64,
}

impl Store {
    pub fn new(rate: f64, burst: f64, now: f64) -> Store {
        Store {
            rate,
            burst,
            held: burst,
            last: now,
            began: now,
            from: now,
            taken: 0.0,
            beyond: 0.0,
            worst: 0.0,
            units: 0.0,
        }
    }

    /// Its rate and burst, and the seconds from its beginning to what came last.
    pub fn quota(&self) -> (f64, f64, f64) {
        (self.rate, self.burst, self.last - self.began)
    }

    /// Units come; times never run backwards.
    pub fn comes(&mut self, at: f64, units: f64) {
        self.units += units;
        self.held = (self.held + self.rate * (at - self.last)).min(self.burst);
        self.last = at;
        let fits = units.min(self.held);
        self.held -= fits;
        self.beyond += units - fits;
        // A span that has fallen below what was regained meanwhile is better begun anew.
        if self.taken <= self.rate * (at - self.from) {
            (self.from, self.taken) = (at, 0.0);
        }
        self.taken += units;
        let allowed = self.burst + self.rate * (at - self.from);
        self.worst = self.worst.max((self.taken - allowed) / allowed.max(f64::MIN_POSITIVE));
    }

    /// The same, of all that came, in any order.
    pub fn of(came: &[(f64, f64)], rate: f64, burst: f64) -> Store {
        let mut sorted = came.to_vec();
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut store = Store::new(rate, burst, sorted.first().map_or(0.0, |c| c.0));
        sorted.into_iter().for_each(|(at, units)| store.comes(at, units));
        store
    }
}
