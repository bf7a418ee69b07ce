//! What a front door remembers, grouped by how long it lives. Plain values: `decide.rs` decides.
use crate::types::*;
use std::collections::btree_map::{BTreeMap, OccupiedEntry};
use std::collections::VecDeque;

// ======== for the instance

/// The counter, as this front door meets it.
#[derive(Default)]
pub struct CounterHealth {
    pub consecutive_misses: u32, // calls past their deadline on end
    pub pace_cut_at: f64,        // when a miss last lowered the pace; 0 before the first
    pub consulted_fraction: f64, // the share of what was let in that it was asked about
    pub last_answer_at: f64,
    pub fastest_answer: f64, // its quickest answer of late
    pub unresponsive: bool,
    pub next_probe_at: f64, // while it is silent: when it is read again
    pub timeout: f64,
    pub pace: f64, // calls a second that we allow ourselves
    pub tokens_updated_at: f64,
    pub call_tokens: f64, // of them, saved up
}

/// Words to other front doors.
#[derive(Default)]
pub struct GossipBudget {
    pub intake_rate: f64, // words a second that one takes in
    pub tokens: f64,      // words to one front door, saved up
    pub updated_at: f64,
}

impl GossipBudget {
    /// Whether one may be said to so many front doors: a share of what each takes in is saved up, as far as `most`.
    pub fn try_spend(&mut self, now: f64, to: f64, share: f64, most: f64) -> bool {
        let since = now - std::mem::replace(&mut self.updated_at, now);
        self.tokens = (self.tokens + share * self.intake_rate * since).min(most.max(self.intake_rate));
        let allows = self.tokens >= to;
        self.tokens -= if allows { to } else { 0.0 };
        allows
    }
}

/// What is out at all backends together.
#[derive(Default)]
pub struct ConcurrencyLimit {
    pub limit: f64,      // in units
    pub half_used: bool, // half of it was out when we last looked
    pub reached_at: f64, // when we last had all of it out
}

/// Answer times of one operation: the high quantile for a unit, the median, and the least that has been of late.
#[derive(Clone, Copy)]
pub struct LatencyEstimate {
    pub p95: f64,
    pub median: f64,
    pub least_median: f64,
}

impl LatencyEstimate {
    /// Before any answer.
    pub fn initial(guess: f64) -> LatencyEstimate {
        LatencyEstimate { p95: guess, median: guess, least_median: guess }
    }
}

/// Moves an estimate of a quantile by one value, by so large a step.
pub fn update_quantile(estimate: &mut f64, value: f64, quantile: f64, step: f64) {
    *estimate *= if value > *estimate { 1.0 + step * quantile } else { 1.0 - step * (1.0 - quantile) };
}

/// Moves a share by one case, by so large a step.
pub fn update_fraction(share: &mut f64, is: bool, step: f64) {
    *share += step * (f64::from(u8::from(is)) - *share);
}

// ======== for one delivery
pub struct Attempt {
    pub backend: BackendIndex,
    pub sent_at: f64,
    pub result: Option<AttemptResult>,
}

// ======== for one invocation
#[derive(Default)]
pub struct PendingRequest {
    pub attributes: RequestAttributes,
    pub arrived_at: f64,
    pub slow_start_draw: f64, // what a cold backend must have of its capacity to get it
    pub final_check_at: f64,  // a last look, whatever it is held for
    pub counter_deadline: f64,
    pub units_granted: bool, // its units are spent
    pub permit: Option<u32>, // held of a cap: by its count's series, or 0 for our own share
    pub admitted: bool,
    pub next_check_at: f64,
    pub streaming: bool, // its answer has begun
    pub attempts: Vec<Attempt>,
    pub closed: bool,
}

impl PendingRequest {
    /// Its answer has begun: the backend that gives it, and the units; none if that was told before.
    pub fn start_streaming(&mut self) -> Option<(BackendIndex, f64)> {
        let out = self.attempts.iter().find(|d| d.result.is_none()).filter(|_| !self.streaming)?;
        (self.next_check_at, self.attributes.deadline, self.streaming) = (f64::INFINITY, f64::INFINITY, true);
        Some((out.backend, self.attributes.units.max(1.0)))
    }
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|d| d.result.is_none()).count()
    }
}

// ======== for one customer, while it is seen
#[derive(Clone, Copy)]
pub enum CallPurpose {
    /// Units asked for; the least of them that lets the invocation in; what others are guessed to have spent.
    Lease {
        units: f64,
        need: f64,
        peer_estimate: f64,
    },
    Correct {
        target: f64,
    },
    AcquirePermit,
    GiveBack,
}

pub struct PendingCall {
    pub series: u32,
    pub sent_at: f64,
    pub delta: f64,
    pub debt_repaid: f64, // of it, what was owed
    pub purpose: CallPurpose,
}

impl PendingCall {
    /// Of what it adds, what others are guessed to have spent.
    pub fn peer_estimate(&self) -> f64 {
        match self.purpose {
            CallPurpose::Lease { peer_estimate: guess, .. } => guess,
            _ => 0.0,
        }
    }
}

#[derive(Default)]
pub struct CustomerAccount {
    pub plan: usize,
    pub refill_rate: f64, // that the count regains: less while some of the customer's front doors don't reach it
    pub instance_count: f64,
    pub instances: InstanceRange,
    pub gossiped_at: f64,
    pub series: u32,
    pub observed_total: Option<f64>,
    pub observed_at: f64, // when that was: what the store regained since is as likely another door's by now
    pub leased: f64,
    pub lease_expires_at: f64,
    pub unsettled: f64, // true units less guessed, owed to the count
    pub even_share: f64,
    pub unreported: f64, // spent from the slice and not yet told to the count
    pub ceiling_tokens: f64,
    pub permits_held: usize,    // places held
    pub free_permits: Vec<u32>, // of them, not yet taken, by the series of their count
    pub permit_waiters: Vec<RequestIndex>,
    pub next_local_permit_at: f64, // when our own share has a place again
    pub permits_exhausted_until: f64,
    pub calls: VecDeque<PendingCall>,
    pub lease_waiters: Vec<RequestIndex>,
    pub last_used_at: f64,
    pub timer_at: f64,
}

impl CustomerAccount {
    /// The window that a count is named by now, each so long; what was seen of the last one is carried over.
    pub fn enter_window(&mut self, series: u32, window: f64) {
        let edges = f64::from(series.wrapping_sub(self.series));
        let gone = self.refill_rate * window;
        self.observed_total = self.observed_total.map(|seen| seen - edges * gone);
        self.series = series;
    }
    /// So many units more are leased; all of the lease lapses so much later.
    pub fn extend_lease(&mut self, now: f64, units: f64, lapse: f64) {
        self.leased = units + self.unspent(now);
        self.lease_expires_at = now + lapse;
    }
    /// What is left of the lease while it has not lapsed.
    pub fn unspent(&self, now: f64) -> f64 {
        if now < self.lease_expires_at {
            self.leased
        } else {
            0.0
        }
    }
}

// ======== for one backend
#[derive(Clone, Copy)]
pub struct Ejection {
    pub started_at: f64,
    pub until: f64,
    pub duration: f64,
}
#[derive(Default)]
pub struct Backend {
    pub endpoint: Endpoint,
    pub in_flight: usize,
    pub in_flight_units: f64, // units of what is out
    pub slowness: f64,        // its high quantile of answer times, against its fellows'
    pub last_progress_at: f64,
    pub consecutive_failures: u32,
    pub ejection: Option<Ejection>,
    pub maintenance_since: Option<f64>, // nothing new since then: an operator's word
    pub restored_at: f64,               // started then, for all we know, whatever the list says
    pub unused_since: f64,              // came back by hand then, and has had nothing since
    pub answered_units: f64,            // units answered, fading over the span
    pub answered_at: f64,
    pub listed_at: f64, // since when we have it on the list as it is
    pub recovery_gossiped_at: f64,
    pub streaks: Vec<(f64, u32)>, // by kind, when last seen, and how often on end it did well
}

impl Backend {
    /// One that is just known of, with so many kinds to prove.
    pub fn new(now: f64, is: Endpoint, kinds: usize) -> Backend {
        let (quiet_since, good_at, known, proven) = (now, now, now, vec![(now, 0); kinds]);
        let (back, unused) = (f64::NEG_INFINITY, f64::INFINITY);
        Backend {
            endpoint: is,
            slowness: 1.0,
            last_progress_at: quiet_since,
            answered_at: good_at,
            listed_at: known,
            streaks: proven,
            restored_at: back,
            unused_since: unused,
            ..Backend::default()
        }
    }
    /// Units a second that it has answered us lately, counted over about so long a span, seconds.
    pub fn throughput(&self, now: f64, span: f64) -> f64 {
        let seen = span * (1.0 - ((self.listed_at - now - span / 20.0) / span).exp());
        self.answered_units * ((self.answered_at - now) / span).exp() / seen
    }
    /// A connection to it stands idle, taken up after then.
    pub fn has_idle_connection(&self, then: f64) -> bool {
        self.in_flight == 0 && self.streak(0, then) > 0
    }
    /// It is in another zone than ours, where crossing is charged for.
    pub fn crosses_zone(&self, home: Option<usize>) -> bool {
        home.is_some_and(|h| h != self.endpoint.zone)
    }
    /// Listed, and yet it gets nothing new.
    pub fn is_unavailable(&self) -> bool {
        self.endpoint.status != EndpointStatus::Removed && (!self.accepts_new() || self.ejection.is_some())
    }
    /// Seconds since its start, as far as that is known.
    fn age(&self, now: f64) -> f64 {
        now - self.endpoint.started_at.map_or(self.restored_at, |s| s.max(self.restored_at))
    }
    /// The share of its capacity that it has at least, by the time since its start.
    pub fn capacity_fraction(&self, now: f64, rules: &SlowStart) -> f64 {
        rules.capacity_fraction(self.age(now))
    }
    /// Its size times that share.
    pub fn effective_weight(&self, now: f64, rules: &SlowStart) -> f64 {
        self.endpoint.weight * self.capacity_fraction(now, rules)
    }
    /// The same machine after a restart: what is out there stays out, and an operator's word stands.
    pub fn restarted(&self, now: f64, is: Endpoint) -> Backend {
        let Backend {
            in_flight: out,
            in_flight_units: owes,
            maintenance_since: by_hand,
            restored_at: back,
            unused_since: unused,
            ..
        } = *self;
        Backend {
            in_flight: out,
            in_flight_units: owes,
            maintenance_since: by_hand,
            restored_at: back,
            unused_since: unused,
            ..Backend::new(now, is, self.streaks.len())
        }
    }
    /// One delivery more, of so many units.
    pub fn add_attempt(&mut self, units: f64) {
        (self.in_flight, self.in_flight_units) = (self.in_flight + 1, self.in_flight_units + units);
    }
    /// A delivery of so many units is no longer its work; none if that was told before.
    pub fn remove_attempt(&mut self, units: f64) {
        self.in_flight = self.in_flight.saturating_sub(usize::from(units > 0.0));
        self.in_flight_units = if self.in_flight > 0 { (self.in_flight_units - units).max(0.0) } else { 0.0 };
    }
    /// An operator's word. Where it ends, this is a machine that has just started, unless the list has told of a
    /// start since it began.
    pub fn set_maintenance(&mut self, now: f64, out: Option<f64>) {
        if let Some(since) = self.maintenance_since.filter(|_| out.is_none()) {
            let told = self.endpoint.started_at.is_some_and(|s| s > since);
            let back = if told { self.restored_at } else { now };
            *self = Backend { restored_at: back, unused_since: now, ..self.restarted(now, self.endpoint) };
        }
        self.maintenance_since = out;
    }
    /// It may get what is new.
    pub fn accepts_new(&self) -> bool {
        self.endpoint.status == EndpointStatus::Ready && self.maintenance_since.is_none()
    }
    /// How often on end it has done well for this kind, if it was last seen after then.
    pub fn streak(&self, kind: usize, then: f64) -> u32 {
        let (at, times) = self.streaks[kind];
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
    pub preferred: Vec<BackendIndex>,
    /// Set aside, quiet or tried before: for want of others.
    pub fallback: Vec<BackendIndex>,
    /// Some are left out since what is out there takes enough of the objective.
    pub saturated: bool,
}

#[derive(Clone, Copy)]
pub enum TimerKind {
    Request(RequestIndex),
    Customer(CustomerIndex),
    FetchEndpoints,
}

/// When to look at what again.
#[derive(Default)]
pub struct Timers {
    due: BTreeMap<(u64, u64), TimerKind>,
    sequence: u64,
}

impl Timers {
    pub fn schedule(&mut self, at: f64, bell: TimerKind) {
        self.sequence += 1;
        self.due.insert((at.max(0.0).to_bits(), self.sequence), bell);
    }
    /// When the next one is due.
    pub fn next(&self) -> Option<f64> {
        self.due.keys().next().map(|k| f64::from_bits(k.0))
    }
    /// One that is due by then, or that nobody need wake for.
    pub fn pop_due(&mut self, now: f64, invs: &BTreeMap<RequestIndex, PendingRequest>) -> Option<TimerKind> {
        let first = self.due.first_entry()?;
        (first.key().0 <= now.to_bits() || is_obsolete(&first, invs)).then(|| first.remove())
    }
}

/// A bell that nobody need wake for: its invocation is over, or waits for a delivery and looks later.
fn is_obsolete(
    bell: &OccupiedEntry<(u64, u64), TimerKind>,
    invs: &BTreeMap<RequestIndex, PendingRequest>,
) -> bool {
    let (at, TimerKind::Request(inv)) = (f64::from_bits(bell.key().0), bell.get()) else { return false };
    invs.get(inv)
        .is_none_or(|v| v.closed || v.in_flight() > 0 && at < v.next_check_at && at != v.final_check_at)
}
