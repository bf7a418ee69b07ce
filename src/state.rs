//! What a front door remembers, grouped by how long it lives. Plain values: `decide.rs` decides.
use crate::types::*;
use std::collections::btree_map::{BTreeMap, OccupiedEntry};
use std::collections::VecDeque;

// ======== for the instance

/// The counter, as this front door meets it.
#[derive(Default)]
pub struct Store {
    pub misses: u32, // calls past their deadline on end
    pub cut: f64,    // when a miss last lowered the pace; 0 before the first
    pub asked: f64,  // the share of what was let in that it was asked about
    pub heard: f64,
    pub quick: f64, // its quickest answer of late
    pub silent: bool,
    pub recall: f64, // while it is silent: when it is read again
    pub timeout: f64,
    pub pace: f64, // calls a second that we allow ourselves
    pub paced: f64,
    pub calls: f64, // of them, saved up
}

/// Words to other front doors.
#[derive(Default)]
pub struct Words {
    pub hears: f64, // words a second that one takes in
    pub say: f64,   // words to one front door, saved up
    pub said: f64,
}

impl Words {
    /// Whether one may be said to so many front doors: a share of what each takes in is saved up, as far as `most`.
    pub fn allows(&mut self, now: f64, to: f64, share: f64, most: f64) -> bool {
        let since = now - std::mem::replace(&mut self.said, now);
        self.say = (self.say + share * self.hears * since).min(most.max(self.hears));
        let allows = self.say >= to;
        self.say -= if allows { to } else { 0.0 };
        allows
    }
}

/// What is out at all backends together.
#[derive(Default)]
pub struct AllOut {
    pub limit: f64, // in units
    pub near: bool, // half of it was out when we last looked
    pub full: f64,  // when we last had all of it out
}

/// Answer times of one operation: the high quantile for a unit, the median, and the least that has been of late.
#[derive(Clone, Copy)]
pub struct Times {
    pub high: f64,
    pub half: f64,
    pub base: f64,
}

impl Times {
    /// Before any answer.
    pub fn first(guess: f64) -> Times {
        Times { high: guess, half: guess, base: guess }
    }
}

/// Moves an estimate of a quantile by one value, by so large a step.
pub fn toward(estimate: &mut f64, value: f64, quantile: f64, step: f64) {
    *estimate *= if value > *estimate { 1.0 + step * quantile } else { 1.0 - step * (1.0 - quantile) };
}

/// Moves a share by one case, by so large a step.
pub fn drift(share: &mut f64, is: bool, step: f64) {
    *share += step * (f64::from(u8::from(is)) - *share);
}

// ======== for one delivery
pub struct Delivery {
    pub tgt: BackendIndex,
    pub sent: f64,
    pub ending: Option<AttemptResult>,
}

// ======== for one invocation
#[derive(Default)]
pub struct Invocation {
    pub ask: RequestAttributes,
    pub came: f64,
    pub luck: f64, // what a cold backend must have of its capacity to get it
    pub last: f64, // a last look, whatever it is held for
    pub counter_until: f64,
    pub paid: bool,         // its units are spent
    pub place: Option<u32>, // held of a cap: by its count's series, or 0 for our own share
    pub admitted: bool,
    pub look: f64,
    pub streams: bool, // its answer has begun
    pub deliveries: Vec<Delivery>,
    pub closed: bool,
}

impl Invocation {
    /// Its answer has begun: the backend that gives it, and the units; none if that was told before.
    pub fn stream(&mut self) -> Option<(BackendIndex, f64)> {
        let out = self.deliveries.iter().find(|d| d.ending.is_none()).filter(|_| !self.streams)?;
        (self.look, self.ask.deadline, self.streams) = (f64::INFINITY, f64::INFINITY, true);
        Some((out.tgt, self.ask.units.max(1.0)))
    }
    pub fn out(&self) -> usize {
        self.deliveries.iter().filter(|d| d.ending.is_none()).count()
    }
}

// ======== for one customer, while it is seen
#[derive(Clone, Copy)]
pub enum Errand {
    /// Units asked for; the least of them that lets the invocation in; what others are guessed to have spent.
    Lease {
        units: f64,
        need: f64,
        guess: f64,
    },
    Lift {
        level: f64,
    },
    Place,
    Return,
}

pub struct Call {
    pub series: u32,
    pub sent: f64,
    pub add: f64,
    pub paid: f64, // of it, what was owed
    pub what: Errand,
}

impl Call {
    /// Of what it adds, what others are guessed to have spent.
    pub fn guess(&self) -> f64 {
        match self.what {
            Errand::Lease { guess, .. } => guess,
            _ => 0.0,
        }
    }
}

#[derive(Default)]
pub struct Account {
    pub plan: usize,
    pub rate: f64, // that the count regains: less while some of the customer's front doors don't reach it
    pub doors: f64,
    pub of: InstanceRange,
    pub told: f64,
    pub series: u32,
    pub seen: Option<f64>,
    pub at: f64, // when that was: what the store regained since is as likely another door's by now
    pub lease: f64,
    pub lapses: f64,
    pub settle: f64, // true units less guessed, owed to the count
    pub slice: f64,
    pub sliced: f64, // spent from the slice and not yet told to the count
    pub ceiling: f64,
    pub out: usize,     // places held
    pub free: Vec<u32>, // of them, not yet taken, by the series of their count
    pub seeking: Vec<RequestIndex>,
    pub own_again: f64, // when our own share has a place again
    pub full_until: f64,
    pub calls: VecDeque<Call>,
    pub waiting: Vec<RequestIndex>,
    pub used: f64,
    pub bell: f64,
}

impl Account {
    /// The window that a count is named by now, each so long; what was seen of the last one is carried over.
    pub fn enters(&mut self, series: u32, window: f64) {
        let edges = f64::from(series.wrapping_sub(self.series));
        let gone = self.rate * window;
        self.seen = self.seen.map(|seen| seen - edges * gone);
        self.series = series;
    }
    /// So many units more are leased; all of the lease lapses so much later.
    pub fn leases(&mut self, now: f64, units: f64, lapse: f64) {
        self.lease = units + self.unspent(now);
        self.lapses = now + lapse;
    }
    /// What is left of the lease while it has not lapsed.
    pub fn unspent(&self, now: f64) -> f64 {
        if now < self.lapses {
            self.lease
        } else {
            0.0
        }
    }
}

// ======== for one backend
#[derive(Clone, Copy)]
pub struct Aside {
    pub since: f64,
    pub until: f64,
    pub span: f64,
}
#[derive(Default)]
pub struct Backend {
    pub is: Endpoint,
    pub out: usize,
    pub owes: f64, // units of what is out
    pub high: f64, // its high quantile of answer times, against its fellows'
    pub quiet_since: f64,
    pub fails: u32,
    pub aside: Option<Aside>,
    pub by_hand: Option<f64>, // nothing new since then: an operator's word
    pub back: f64,            // started then, for all we know, whatever the list says
    pub unused: f64,          // came back by hand then, and has had nothing since
    pub good: f64,            // units answered, fading over the span
    pub good_at: f64,
    pub known: f64, // since when we have it on the list as it is
    pub praised: f64,
    pub proven: Vec<(f64, u32)>, // by kind, when last seen, and how often on end it did well
}

impl Backend {
    /// One that is just known of, with so many kinds to prove.
    pub fn new(now: f64, is: Endpoint, kinds: usize) -> Backend {
        let (quiet_since, good_at, known, proven) = (now, now, now, vec![(now, 0); kinds]);
        let (back, unused) = (f64::NEG_INFINITY, f64::INFINITY);
        Backend { is, high: 1.0, quiet_since, good_at, known, proven, back, unused, ..Backend::default() }
    }
    /// Units a second that it has answered us lately, counted over about so long a span, seconds.
    pub fn rate(&self, now: f64, span: f64) -> f64 {
        let seen = span * (1.0 - ((self.known - now - span / 20.0) / span).exp());
        self.good * ((self.good_at - now) / span).exp() / seen
    }
    /// A connection to it stands idle, taken up after then.
    pub fn rests(&self, then: f64) -> bool {
        self.out == 0 && self.streak(0, then) > 0
    }
    /// It is in another zone than ours, where crossing is charged for.
    pub fn far(&self, home: Option<usize>) -> bool {
        home.is_some_and(|h| h != self.is.zone)
    }
    /// Listed, and yet it gets nothing new.
    pub fn avoided(&self) -> bool {
        self.is.status != EndpointStatus::Removed && (!self.ready() || self.aside.is_some())
    }
    /// Seconds since its start, as far as that is known.
    fn age(&self, now: f64) -> f64 {
        now - self.is.started_at.map_or(self.back, |s| s.max(self.back))
    }
    /// The share of its capacity that it has at least, by the time since its start.
    pub fn share(&self, now: f64, rules: &SlowStart) -> f64 {
        rules.capacity_fraction(self.age(now))
    }
    /// Its size times that share.
    pub fn capacity(&self, now: f64, rules: &SlowStart) -> f64 {
        self.is.weight * self.share(now, rules)
    }
    /// The same machine after a restart: what is out there stays out, and an operator's word stands.
    pub fn anew(&self, now: f64, is: Endpoint) -> Backend {
        let Backend { out, owes, by_hand, back, unused, .. } = *self;
        Backend { out, owes, by_hand, back, unused, ..Backend::new(now, is, self.proven.len()) }
    }
    /// One delivery more, of so many units.
    pub fn heavier(&mut self, units: f64) {
        (self.out, self.owes) = (self.out + 1, self.owes + units);
    }
    /// A delivery of so many units is no longer its work; none if that was told before.
    pub fn lighter(&mut self, units: f64) {
        self.out = self.out.saturating_sub(usize::from(units > 0.0));
        self.owes = if self.out > 0 { (self.owes - units).max(0.0) } else { 0.0 };
    }
    /// An operator's word. Where it ends, this is a machine that has just started, unless the list has told of a
    /// start since it began.
    pub fn by_hand(&mut self, now: f64, out: Option<f64>) {
        if let Some(since) = self.by_hand.filter(|_| out.is_none()) {
            let told = self.is.started_at.is_some_and(|s| s > since);
            let back = if told { self.back } else { now };
            *self = Backend { back, unused: now, ..self.anew(now, self.is) };
        }
        self.by_hand = out;
    }
    /// It may get what is new.
    pub fn ready(&self) -> bool {
        self.is.status == EndpointStatus::Ready && self.by_hand.is_none()
    }
    /// How often on end it has done well for this kind, if it was last seen after then.
    pub fn streak(&self, kind: usize, then: f64) -> u32 {
        let (at, times) = self.proven[kind];
        if at > then {
            times
        } else {
            0
        }
    }
}

/// What a look at backends came to, for one invocation.
#[derive(Default)]
pub struct Candidates {
    pub good: Vec<BackendIndex>,
    /// Set aside, quiet or tried before: for want of others.
    pub poor: Vec<BackendIndex>,
    /// Some are left out since what is out there takes enough of the objective.
    pub pressed: bool,
}

#[derive(Clone, Copy)]
pub enum Bell {
    Inv(RequestIndex),
    Customer(CustomerIndex),
    List,
}

/// When to look at what again.
#[derive(Default)]
pub struct Timers {
    due: BTreeMap<(u64, u64), Bell>,
    rung: u64,
}

impl Timers {
    pub fn ring(&mut self, at: f64, bell: Bell) {
        self.rung += 1;
        self.due.insert((at.max(0.0).to_bits(), self.rung), bell);
    }
    /// When the next one is due.
    pub fn next(&self) -> Option<f64> {
        self.due.keys().next().map(|k| f64::from_bits(k.0))
    }
    /// One that is due by then, or that nobody need wake for.
    pub fn take(&mut self, now: f64, invs: &BTreeMap<RequestIndex, Invocation>) -> Option<Bell> {
        let first = self.due.first_entry()?;
        (first.key().0 <= now.to_bits() || vain(&first, invs)).then(|| first.remove())
    }
}

/// A bell that nobody need wake for: its invocation is over, or waits for a delivery and looks later.
fn vain(bell: &OccupiedEntry<(u64, u64), Bell>, invs: &BTreeMap<RequestIndex, Invocation>) -> bool {
    let (at, Bell::Inv(inv)) = (f64::from_bits(bell.key().0), bell.get()) else { return false };
    invs.get(inv).is_none_or(|v| v.closed || v.out() > 0 && at < v.look && at != v.last)
}
