//! All decisions of one front door. Its interface is in `types.rs`. The caller tells facts (`listed`, `counted`,
//! `peer_word`, `gone`) and asks three things: `place` (where does this invocation go, or not yet, or never),
//! `after` (what now, after this outcome), `wait` (how long until the next look, and whom to ask about again).
//! The caller keeps the timer and the held invocations; errands (counter calls, words, cancels) leave with answers.
//!
//! Quota: a customer's count on the counter service holds the units taken since its window began. The store it
//! stands for regains `rate` a second, so the allowance is the burst plus that, and a count that lags behind what
//! the store has regained is lifted to it (a full store spills). A forgotten or new count is lifted likewise.
use crate::types::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const WINDOW: f64 = 30.0; // one name of a count; long, for an edge costs a call to carry the level over
const NAME_LIFE: f64 = 45.0; // past the window's end, for late calls
const LAPSE: f64 = 1.0; // an unspent lease goes back
const BATCH: f64 = 1.0 / 16.0; // of the burst, taken at once while more than half of the store is there
const SPILL: f64 = 1.0 / 8.0; // of the burst: smaller lags of the count are left alone
const DEADLINE: f64 = 0.04; // of the latency objective: the longest wait for the counter
const MISSES: u32 = 4; // calls past the deadline, none answered since: the counter is silent
const RECALL: f64 = 0.25; // a silent counter is read this often
const IDLE: f64 = 12.0; // a customer not seen for so long is dropped
const HIGH: f64 = 0.95; // the quantile of answer times that judges a backend
const QUIET: f64 = 3.0; // times the high answer time without any answer: suspect
const SECOND_LOOK: f64 = 0.3; // of the latency objective: no delivery is doubted sooner
const ASIDE: (f64, f64) = (1.0, 8.0); // a backend set aside: first and longest time
const REPEATS: f64 = 0.1; // re-deliveries per first delivery, in the long run
const WORDS: f64 = 0.5; // peers are told of good answers this often

#[derive(Clone, Copy, PartialEq)]
enum Errand {
    Lease { units: f64, owed: f64, spill: f64 },
    Lift { level: f64 },
    Return,
    Read,
}

struct Call {
    series: u32,
    add: f64,
    what: Errand,
}

// ---- for one delivery
struct Delivery {
    tgt: Tgt,
    sent: f64,
    ending: Option<Ending>,
}

// ---- for one invocation
struct Invocation {
    ask: Ask,
    came: f64,
    counter_until: f64,
    admitted: bool,
    look: f64,
    deliveries: Vec<Delivery>,
    closed: bool,
}

impl Invocation {
    fn out(&self) -> usize {
        self.deliveries.iter().filter(|d| d.ending.is_none()).count()
    }
    fn may_have_run(&self) -> bool {
        self.deliveries.iter().any(|d| !d.ending.is_some_and(Ending::never_ran))
    }
}

// ---- for one customer (kept while it is seen)
struct Account {
    plan: usize,
    doors: f64,
    series: u32,
    seen: Option<f64>,
    lease: f64,
    lapses: f64,
    owed: f64,
    slice: f64,
    slice_at: f64,
    ceiling: f64,
    ceiling_at: f64,
    out: usize,
    calls: VecDeque<Call>,
    waiting: Vec<Inv>,
    used: f64,
}

// ---- for one backend
struct Backend {
    is: Listed,
    out: usize,
    high: f64,
    quiet_since: f64,
    fails: u32,
    aside: Option<(f64, f64)>,
    busy_until: f64,
    sent: VecDeque<f64>,
    good: f64,
    good_at: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Bell {
    Inv(Inv),
    Customer(Customer),
    Words,
}

struct Due(f64, u64, Bell);
impl PartialEq for Due {
    fn eq(&self, o: &Due) -> bool {
        self.cmp(o).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, o: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Due {
    fn cmp(&self, o: &Due) -> std::cmp::Ordering {
        self.0.total_cmp(&o.0).then(self.1.cmp(&o.1))
    }
}

enum Quota {
    Go,
    Hold,
    Refuse(f64),
}

// ---- for the instance
pub struct Door {
    rng: ChaCha8Rng,
    place: Place,
    operations: Vec<Operation>,
    plans: Vec<Plan>,
    rules: StartAndStop,
    may: Deliveries,
    counter: Option<CounterLimits>,
    invs: Vec<Option<Invocation>>,
    accounts: Vec<Option<Account>>,
    backends: Vec<Option<Backend>>,
    high: Vec<f64>,
    repeats: f64,
    misses: u32,
    heard: f64,
    silent: bool,
    recall: f64,
    again: Vec<Inv>,
    idle: Vec<Customer>,
    bells: BinaryHeap<Reverse<Due>>,
    rung: u64,
    errands: Errands,
}

impl Door {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seed: u64,
        place: Place,
        operations: Vec<Operation>,
        plans: Vec<Plan>,
        rules: StartAndStop,
        may: Deliveries,
        counter: Option<CounterLimits>,
    ) -> Door {
        let high = operations.iter().map(|o| o.latency_objective / 4.0).collect();
        let (invs, accounts, backends, again, idle) = (vec![], vec![], vec![], vec![], vec![]);
        let (rng, bells, errands) = (ChaCha8Rng::seed_from_u64(seed), BinaryHeap::new(), Errands::default());
        let (repeats, misses, heard, silent, recall, rung) = (5.0, 0, 0.0, false, 0.0, 0);
        Door {
            rng,
            place,
            operations,
            plans,
            rules,
            may,
            counter,
            invs,
            accounts,
            backends,
            high,
            repeats,
            misses,
            heard,
            silent,
            recall,
            again,
            idle,
            bells,
            rung,
            errands,
        }
    }

    // ======== facts

    /// The list, or what changed in it; `whole` replaces it, so what it lacks is gone.
    pub fn listed(&mut self, now: f64, whole: bool, entries: &[Listed]) {
        if self.place.peers && self.rung == 0 {
            self.ring(now + WORDS, Bell::Words);
        }
        if whole {
            self.backends.iter_mut().flatten().for_each(|b| b.is.standing = Standing::Gone);
        }
        for e in entries {
            if self.backends.len() <= e.tgt {
                self.backends.resize_with(e.tgt + 1, || None);
            }
            match &mut self.backends[e.tgt] {
                Some(b) if b.is.started == e.started => b.is = *e,
                slot => {
                    let out = slot.as_ref().map_or(0, |b| b.out);
                    let sent = slot.take().map_or(VecDeque::new(), |b| b.sent);
                    *slot = Some(Backend {
                        is: *e,
                        out,
                        high: 1.0,
                        quiet_since: now,
                        fails: 0,
                        aside: None,
                        busy_until: 0.0,
                        sent,
                        good: 0.0,
                        good_at: now,
                    })
                }
            }
        }
    }

    /// A peer has had good answers from this backend: one set aside may be tried again.
    pub fn peer_word(&mut self, now: f64, tgt: Tgt) {
        if let Some(Some(b)) = self.backends.get_mut(tgt) {
            if let Some((until, span)) = b.aside {
                // the word may be older than our trouble: half a span of our own comes first
                if until - now < span / 2.0 {
                    b.aside = Some((now, span));
                }
            }
        }
    }

    /// The client has left, or the time is up: nothing more is owed.
    pub fn gone(&mut self, inv: Inv) {
        self.close(inv);
    }

    /// A stream has begun: the invocation is bound to its delivery and owes nothing by the clock.
    pub fn streaming(&mut self, inv: Inv) {
        if let Some(Some(v)) = self.invs.get_mut(inv) {
            (v.look, v.ask.until) = (f64::INFINITY, f64::INFINITY);
        }
    }

    /// What came of a counter call.
    pub fn counted(&mut self, now: f64, name: CountName, result: Counted) {
        let Some(Some(a)) = self.accounts.get_mut(name.customer) else { return };
        let Some(i) = a.calls.iter().position(|c| c.series == name.series) else { return };
        let call = a.calls.remove(i).expect("position found");
        if let Counted::Total(total) = result {
            self.heard(now);
            self.credit(now, name, &call, total);
        } else {
            self.misses += 1;
            // Unanswered may have been added: what it paid is taken as paid, so that nothing is added twice.
            if result == Counted::Unreached {
                a.owed += match call.what {
                    Errand::Lease { owed, .. } => owed,
                    Errand::Lift { .. } | Errand::Read => 0.0,
                    Errand::Return => call.add,
                };
            }
            let waiting = std::mem::take(&mut a.waiting);
            for inv in waiting {
                if let Some(Some(v)) = self.invs.get_mut(inv) {
                    v.counter_until = now;
                    self.again.push(inv);
                }
            }
            self.fall_silent(now);
        }
    }

    // ======== the three questions

    /// Where to send this invocation, or not yet, or never. Asked first when it comes, then as `wait` says.
    pub fn place(&mut self, now: f64, inv: Inv, ask: &Ask) -> Answer {
        if self.invs.len() <= inv {
            self.invs.resize_with(inv + 1, || None);
        }
        if self.invs[inv].is_none() {
            let deadline = DEADLINE * self.operations[ask.operation].latency_objective;
            let deadline = self.counter.map_or(0.0, |c| deadline.min(c.timeout));
            self.account(now, ask);
            self.invs[inv] = Some(Invocation {
                ask: *ask,
                came: now,
                counter_until: now + deadline,
                admitted: false,
                look: f64::INFINITY,
                deliveries: vec![],
                closed: false,
            });
            self.ring(now + deadline, Bell::Inv(inv));
        }
        let verdict = self.decide(now, inv);
        self.answer(now, inv, verdict)
    }

    /// What to do after this outcome.
    pub fn after(&mut self, now: f64, inv: Inv, o: &Outcome) -> Answer {
        let Some(Some(v)) = self.invs.get_mut(inv) else { return self.answer(now, inv, Verdict::NotYet) };
        let (ask, sent) = (v.ask, v.deliveries[o.delivery].sent);
        v.deliveries[o.delivery].ending = Some(o.ending);
        if let Some(Some(a)) = self.accounts.get_mut(ask.customer) {
            a.out = a.out.saturating_sub(1);
            if let Some(units) = o.true_units {
                a.owed += units - ask.units;
                let at = now + LAPSE;
                self.ring(at, Bell::Customer(ask.customer));
            }
        }
        self.judge(now, &ask, sent, o);
        let v = self.invs[inv].as_ref().expect("held");
        let verdict = if o.closed || v.closed {
            let done = v.out() == 0;
            self.close(inv);
            if done {
                self.invs[inv] = None;
            }
            Verdict::NotYet
        } else if v.out() > 0 {
            Verdict::NotYet
        } else {
            self.decide(now, inv)
        };
        self.answer(now, inv, verdict)
    }

    /// How long to wait, and whom to ask about again now.
    pub fn wait(&mut self, now: f64) -> Wait {
        while let Some(Reverse(d)) = self.bells.peek() {
            if d.0 > now {
                break;
            }
            let bell = self.bells.pop().expect("peeked").0 .2;
            match bell {
                Bell::Inv(inv) => self.again.push(inv),
                Bell::Customer(c) => self.lapse(now, c),
                Bell::Words => {
                    let good =
                        self.backends.iter().flatten().filter(|b| b.good_at > now - WORDS && b.good > 0.0);
                    self.errands.good_word = good.map(|b| b.is.tgt).collect();
                    self.ring(now + WORDS, Bell::Words);
                }
            }
        }
        self.again.sort_unstable();
        self.again.dedup();
        let live = |i: &Inv| self.invs.get(*i).is_some_and(|v| v.as_ref().is_some_and(|v| !v.closed));
        let again = std::mem::take(&mut self.again).into_iter().filter(live).collect();
        let seconds = self.bells.peek().map(|d| d.0 .0 - now);
        let idle = std::mem::take(&mut self.idle);
        Wait { again, idle, seconds, errands: std::mem::take(&mut self.errands) }
    }

    // ======== the course of one invocation

    fn decide(&mut self, now: f64, inv: Inv) -> Verdict {
        let v = self.invs[inv].as_ref().expect("held");
        if v.closed {
            return Verdict::NotYet;
        }
        if !v.admitted {
            match self.quota(now, inv) {
                Quota::Go => self.invs[inv].as_mut().expect("held").admitted = true,
                Quota::Hold => return Verdict::NotYet,
                Quota::Refuse(seconds) => return self.throttle(seconds),
            }
        }
        self.deliver(now, inv)
    }

    /// The next delivery of an admitted invocation, as far as its operation allows one.
    fn deliver(&mut self, now: f64, inv: Inv) -> Verdict {
        let v = self.invs[inv].as_ref().expect("held");
        let op = &self.operations[v.ask.operation];
        let (out, tries) = (v.out(), v.deliveries.len());
        let first = v.deliveries.iter().find(|d| !d.ending.is_some_and(Ending::never_ran));
        let (first_sent, first_tgt) = first.map_or((now, None), |d| (d.sent, Some(d.tgt)));
        if out > 0 && (now < v.look || !self.may.second_copies || op.effect != Effect::Idempotent) {
            return Verdict::NotYet;
        }
        let left = v.ask.until - now;
        let may_repeat = !v.may_have_run()
            || match op.effect {
                Effect::Idempotent => true,
                Effect::Tokened { window, .. } => now < first_sent + window,
                Effect::NonIdempotent => false,
            };
        let may_throttle = may_repeat
            && out == 0
            && !matches!(op.effect,
            Effect::Tokened { group: Group::Zone | Group::Cell, .. } if v.may_have_run());
        let late = now - v.came > op.latency_objective;
        if left <= 0.0 || !may_repeat || tries >= self.may.most || (tries > 0 && (late || self.repeats < 1.0))
        {
            return match (out > 0, may_throttle && left > 0.0) {
                (true, _) => Verdict::NotYet,
                (_, true) => self.throttle(1.0),
                _ => Verdict::Error,
            };
        }
        let bound = match op.effect {
            Effect::Tokened { group: Group::Zone, .. } => first_tgt.map(|t| (Group::Zone, t)),
            Effect::Tokened { group: Group::Cell, .. } => first_tgt.map(|t| (Group::Cell, t)),
            _ => None,
        };
        let tried: Vec<Tgt> = v.deliveries.iter().map(|d| d.tgt).collect();
        let (operation, came, customer) = (v.ask.operation, v.came, v.ask.customer);
        let cap = self.accounts[customer].as_ref().map_or(usize::MAX, |a| self.open_share(a));
        let full = tries == 0 && self.accounts[customer].as_ref().is_some_and(|a| a.out >= cap);
        let (objective, effect) = (op.latency_objective, op.effect);
        let Some(tgt) = (if full { None } else { self.pick(now, &tried, bound) }) else {
            if now - came > objective / 2.0 && out == 0 {
                return if may_throttle { self.throttle(1.0) } else { Verdict::Error };
            }
            self.ring(now + objective / 50.0, Bell::Inv(inv));
            return Verdict::NotYet;
        };
        // A delivery is doubted after a time that answers seldom need; what may run once only is never doubted.
        let doubt = (QUIET * self.high[operation]).max(SECOND_LOOK * objective);
        let mut time_out = None;
        let mut look = f64::INFINITY;
        if effect == Effect::Idempotent && now + doubt < came + objective {
            if self.may.second_copies {
                look = now + doubt;
                self.ring(look, Bell::Inv(inv));
            } else {
                time_out = Some(doubt);
            }
        }
        self.repeats = if tries == 0 { (self.repeats + REPEATS).min(10.0) } else { self.repeats - 1.0 };
        let v = self.invs[inv].as_mut().expect("held");
        v.look = look;
        v.deliveries.push(Delivery { tgt, sent: now, ending: None });
        if let Some(a) = self.accounts[customer].as_mut() {
            a.out += 1;
        }
        let b = self.backends[tgt].as_mut().expect("picked");
        if b.out == 0 {
            b.quiet_since = now;
        }
        b.out += 1;
        b.sent.push_back(now);
        if let Some((until, span)) = b.aside {
            b.aside = Some((until.max(now + span), span)); // one trial in each span
        }
        Verdict::Deliver { tgt, time_out }
    }

    fn throttle(&self, seconds: f64) -> Verdict {
        Verdict::Throttle {
            retry_after: self.may.retry_after.map(|most| seconds.clamp(0.05, most.max(0.05))),
        }
    }

    fn answer(&mut self, _now: f64, inv: Inv, verdict: Verdict) -> Answer {
        if matches!(verdict, Verdict::Throttle { .. } | Verdict::Error) {
            self.close(inv);
        }
        Answer { verdict, errands: std::mem::take(&mut self.errands) }
    }

    fn close(&mut self, inv: Inv) {
        let Some(Some(v)) = self.invs.get_mut(inv) else { return };
        if !v.closed && self.may.cancels {
            let out = v.deliveries.iter().enumerate().filter(|(_, d)| d.ending.is_none());
            self.errands.cancels.extend(out.map(|(i, _)| (inv, i)));
        }
        v.closed = true;
        if v.out() == 0 {
            self.invs[inv] = None;
        }
    }

    fn ring(&mut self, at: f64, bell: Bell) {
        self.rung += 1;
        self.bells.push(Reverse(Due(at, self.rung, bell)));
    }

    // ======== quotas

    fn account(&mut self, now: f64, ask: &Ask) {
        if self.accounts.len() <= ask.customer {
            self.accounts.resize_with(ask.customer + 1, || None);
        }
        if self.accounts[ask.customer].is_none() {
            let (p, doors) = (&self.plans[ask.plan], ask.doors.max(1) as f64);
            self.accounts[ask.customer] = Some(Account {
                plan: ask.plan,
                doors,
                series: 0,
                seen: None,
                lease: 0.0,
                lapses: 0.0,
                owed: 0.0,
                slice: p.burst / doors,
                slice_at: now,
                ceiling: p.ceiling_slack / doors / 2.0,
                ceiling_at: now,
                out: 0,
                calls: VecDeque::new(),
                waiting: vec![],
                used: now,
            });
            self.ring(now + IDLE, Bell::Customer(ask.customer));
        }
    }

    fn open_share(&self, a: &Account) -> usize {
        match self.plans[a.plan].open {
            0 => usize::MAX,
            open => (open as f64 / a.doors).ceil().max(1.0) as usize,
        }
    }

    /// The quota's word: spend from the lease, lease anew, refuse at once when the count is full.
    fn quota(&mut self, now: f64, inv: Inv) -> Quota {
        let v = self.invs[inv].as_ref().expect("held");
        let (ask, past) = (v.ask, now >= v.counter_until);
        let a = self.accounts[ask.customer].as_mut().expect("has an account");
        let p = &self.plans[a.plan];
        a.used = now;
        if p.ceiling_rate > 0.0 {
            // A hard ceiling is held by an even share of its own, which starts empty: a restart fills nothing.
            let most = p.ceiling_burst / a.doors;
            a.ceiling = (a.ceiling + p.ceiling_rate / a.doors * (now - a.ceiling_at)).min(most);
            a.ceiling_at = now;
            if a.ceiling < ask.units {
                return Quota::Refuse((ask.units - a.ceiling) * a.doors / p.ceiling_rate);
            }
        }
        if p.rate <= 0.0 {
            a.ceiling -= ask.units;
            return Quota::Go;
        }
        if now < a.lapses && a.lease >= ask.units {
            a.lease -= ask.units;
            a.ceiling -= ask.units;
            return Quota::Go;
        }
        let most = p.burst / a.doors;
        a.slice = (a.slice + p.rate / a.doors * (now - a.slice_at)).min(most);
        a.slice_at = now;
        a.owed = a.owed.min((most - a.slice).max(0.0)); // what the slice has regained is owed no more
        let window = WINDOW;
        let series = (now / window) as u32;
        if series != a.series {
            let edges = series.wrapping_sub(a.series) as f64;
            a.seen = a.seen.filter(|_| edges <= 2.0).map(|s| s - edges * p.rate * window);
            a.series = series;
        }
        let regained = p.rate * (now - series as f64 * window);
        let room = a.seen.map_or(p.burst, |s| p.burst + regained - s.max(regained) - a.owed);
        if self.silent || past || self.counter.is_none() {
            if self.silent && now >= self.recall && a.calls.is_empty() {
                self.recall = now + RECALL;
                self.call(ask.customer, series, 0.0, Errand::Read);
            } else if past
                && !self.silent
                && !self.accounts[ask.customer].as_ref().is_some_and(|a| a.calls.is_empty())
            {
                self.misses += 1;
                self.fall_silent(now);
            }
            let a = self.accounts[ask.customer].as_mut().expect("has an account");
            a.waiting.retain(|w| *w != inv);
            if a.slice >= ask.units {
                a.slice -= ask.units;
                a.owed += ask.units;
                a.ceiling -= ask.units;
                return Quota::Go;
            }
            return Quota::Refuse((ask.units - a.slice) * a.doors / self.plans[a.plan].rate);
        }
        if a.calls.iter().any(|c| matches!(c.what, Errand::Lease { .. })) {
            a.waiting.push(inv); // one call in flight serves all that wait for it
            return Quota::Hold;
        }
        let need = ask.units - if now < a.lapses { a.lease } else { 0.0 };
        if need > room {
            return Quota::Refuse((need - room) / p.rate);
        }
        let batch = if room > p.burst / 2.0 { p.burst * BATCH } else { 0.0 };
        let spill = a.seen.map_or(0.0, |s| (regained - s).max(0.0));
        let (units, owed) = (need.max(batch), a.owed);
        a.owed = 0.0;
        a.waiting.push(inv);
        self.call(ask.customer, series, units + owed + spill, Errand::Lease { units, owed, spill });
        Quota::Hold
    }

    fn call(&mut self, customer: Customer, series: u32, add: f64, what: Errand) {
        let Some(Some(a)) = self.accounts.get_mut(customer) else { return };
        a.calls.push_back(Call { series, add, what });
        let name = CountName { customer, series };
        self.errands.counter.push(CounterCall { name, add, lives: NAME_LIFE });
    }

    /// An answered call: correct the count where it lags or was lifted twice, keep what fits, return the rest.
    fn credit(&mut self, now: f64, name: CountName, call: &Call, total: f64) {
        let a = self.accounts[name.customer].as_mut().expect("has calls");
        let p = &self.plans[a.plan];
        let waiting = std::mem::take(&mut a.waiting);
        let current = a.series == call.series;
        let regained = p.rate * (now - call.series as f64 * WINDOW).max(0.0);
        let before = total - call.add;
        // What the count must have stood at: at least what the store regained; and, where it is new or was
        // forgotten, what we last saw. Peers return lapsed leases, so a small drop is no loss.
        let known = a.seen.filter(|_| current).unwrap_or(0.0);
        let lost = before < known - p.burst * SPILL * a.doors || before < 0.01;
        let level = if lost { regained.max(known) } else { regained };
        let mut now_at = total;
        let mut back = 0.0;
        let mut lift = 0.0;
        let lag = (level - before).max(0.0);
        match call.what {
            Errand::Lease { units, spill, .. } => {
                if spill > lag {
                    back += spill - lag;
                } else {
                    lift = lag - spill;
                }
                now_at += lift - back;
                let fits = (units - (now_at - p.burst - regained).max(0.0)).max(0.0);
                back += units - fits;
                now_at -= units - fits;
                a.lease = fits + if now < a.lapses { a.lease } else { 0.0 };
                a.lapses = now + LAPSE;
            }
            Errand::Lift { level } => {
                let needed = (level - before).clamp(0.0, call.add);
                back = call.add - needed;
                now_at -= back;
            }
            Errand::Return | Errand::Read => {}
        }
        if current {
            a.seen = Some(now_at);
        }
        let (small, lapses, leased) = (p.burst * SPILL, a.lapses, a.lease > 0.0);
        if lift > small || (lift > 0.0 && lost) {
            self.call(name.customer, call.series, lift, Errand::Lift { level });
        }
        if back > 0.01 {
            self.call(name.customer, call.series, -back, Errand::Return);
        }
        if leased {
            self.ring(lapses, Bell::Customer(name.customer));
        }
        self.again.extend(waiting);
    }

    /// A lease that lapsed goes back to the count; a customer not seen for long is dropped.
    fn lapse(&mut self, now: f64, customer: Customer) {
        let Some(Some(a)) = self.accounts.get_mut(customer) else { return };
        let (lapsed, series) = (now >= a.lapses, a.series);
        if lapsed && (a.lease > 0.5 || a.owed.abs() > 0.5) && !self.silent && a.calls.is_empty() {
            let add = a.owed - a.lease;
            (a.lease, a.owed) = (0.0, 0.0);
            if add != 0.0 && self.counter.is_some() {
                self.call(customer, series, add, Errand::Return);
            }
        } else if now >= a.used + IDLE {
            if a.calls.is_empty() && a.out == 0 && a.waiting.is_empty() {
                self.accounts[customer] = None;
                self.idle.push(customer);
            } else {
                self.ring(now + IDLE, Bell::Customer(customer));
            }
        } else if lapsed {
            let at = a.used + IDLE;
            self.ring(at, Bell::Customer(customer));
        }
    }

    fn heard(&mut self, now: f64) {
        if self.silent {
            let line = format!("counter answers again after {:.2} s; leases resume", now - self.heard);
            self.errands.log.push(line);
        }
        (self.silent, self.misses, self.heard) = (false, 0, now);
    }

    fn fall_silent(&mut self, now: f64) {
        if !self.silent && self.misses >= MISSES {
            self.silent = true;
            self.recall = now + RECALL;
            let line = format!(
                "counter silent: {} calls unanswered since {:.2}; even slices",
                self.misses, self.heard
            );
            self.errands.log.push(line);
        }
    }

    // ======== backends

    /// Two drawn at random among those in good standing; the one our own counts favour wins.
    fn pick(&mut self, now: f64, tried: &[Tgt], bound: Option<(Group, Tgt)>) -> Option<Tgt> {
        let kin = bound.and_then(|(g, t)| self.backends[t].as_ref().map(|b| (g, b.is.zone, b.is.cell)));
        let warm: Vec<f64> = self
            .backends
            .iter()
            .flatten()
            .filter(|b| b.is.standing == Standing::Ready && self.share(now, b) >= 1.0 && b.aside.is_none())
            .map(|b| b.good * (-(now - b.good_at) / 2.0).exp() / 2.0)
            .collect();
        let warm_rate = if warm.is_empty() { 0.0 } else { warm.iter().sum::<f64>() / warm.len() as f64 };
        let patience = QUIET * self.high.iter().cloned().fold(0.0, f64::max);
        let mut good = vec![];
        let mut poor = vec![];
        for b in self.backends.iter_mut().flatten() {
            if b.is.standing != Standing::Ready {
                continue;
            }
            if kin.is_some_and(|(g, z, c)| if g == Group::Zone { b.is.zone != z } else { b.is.cell != c }) {
                continue;
            }
            while b.sent.front().is_some_and(|t| *t < now - self.rules.fall_after) {
                b.sent.pop_front();
            }
            let age = b.is.started.map_or(f64::INFINITY, |s| now - s);
            if age < self.rules.warm_after {
                // Cold: no more than its share of what a warm one answers us. All doors doing so, it gets a
                // share of a warm one's load, which is under what it can do.
                let share = self.rules.cold_from
                    + (1.0 - self.rules.cold_from) * (age / self.rules.warm_after).max(0.0);
                if b.sent.len() as f64 >= (share * warm_rate * self.rules.fall_after).max(1.0) {
                    continue;
                }
            }
            let quiet = b.out > 0 && now - b.quiet_since > patience;
            let trial = b.aside.is_some_and(|(until, _)| now >= until);
            if tried.contains(&b.is.tgt) || quiet || b.busy_until > now || (b.aside.is_some() && !trial) {
                poor.push(b.is.tgt);
            } else {
                good.push(b.is.tgt);
            }
        }
        if good.is_empty() {
            // All are in trouble: those that we have not tried yet, then any.
            let fresh: Vec<Tgt> = poor.iter().copied().filter(|t| !tried.contains(t)).collect();
            good = if fresh.is_empty() { poor } else { fresh };
        }
        if good.is_empty() {
            return None;
        }
        let i = self.rng.gen_range(0..good.len());
        let j = (i + self.rng.gen_range(0..good.len().max(2) - 1) + 1) % good.len();
        let (x, y) = (good[i], good[j]);
        Some(if self.load(now, y) < self.load(now, x) { y } else { x })
    }

    fn share(&self, now: f64, b: &Backend) -> f64 {
        let age = b.is.started.map_or(f64::INFINITY, |s| now - s);
        (self.rules.cold_from + (1.0 - self.rules.cold_from) * age / self.rules.warm_after).clamp(0.0, 1.0)
    }

    /// Our own deliveries out, against the backend's size, its slowness beside its fellows and its warmth.
    fn load(&self, now: f64, tgt: Tgt) -> f64 {
        let b = self.backends[tgt].as_ref().expect("listed");
        (b.out + 1) as f64 * b.high.max(0.5) / b.is.size.max(0.01) / self.share(now, b).max(0.01)
    }

    /// What an outcome says of its backend.
    fn judge(&mut self, now: f64, ask: &Ask, sent: f64, o: &Outcome) {
        let high = &mut self.high[ask.operation];
        let Some(Some(b)) = self.backends.get_mut(o.tgt) else { return };
        b.out = b.out.saturating_sub(1);
        match o.ending {
            Ending::Succeeded => {
                let step = 0.05;
                let over = o.took > *high;
                *high *= if over { 1.0 + step * HIGH } else { 1.0 - step * (1.0 - HIGH) };
                // against the fellows: the backend's own high quantile of answer time over the fleet's
                let over = o.took > *high * b.high;
                b.high = (b.high * if over { 1.0 + step * HIGH } else { 1.0 - step * (1.0 - HIGH) })
                    .clamp(0.3, 5.0);
                b.good = b.good * (-(now - b.good_at) / 2.0).exp() + 1.0;
                (b.good_at, b.quiet_since, b.fails) = (now, now, 0);
                if b.aside.take().is_some() {
                    self.errands.log.push(format!("backend {} back: answered in {:.3} s", o.tgt, o.took));
                }
            }
            Ending::TurnedAway => (b.busy_until, b.quiet_since) = (now + 0.1, now),
            Ending::Errored | Ending::NotConnected | Ending::Broken | Ending::TimedOut => {
                // A time-out tells little if others were answered since it was sent.
                b.fails += u32::from(o.ending != Ending::TimedOut || b.good_at < sent);
                if b.fails >= 2 || o.ending == Ending::Broken {
                    let span = b.aside.map_or(ASIDE.0, |(_, s)| (s * 2.0).min(ASIDE.1));
                    if b.aside.is_none() {
                        self.errands.log.push(format!(
                            "backend {} aside: {} bad in a row, last {:?}",
                            o.tgt, b.fails, o.ending
                        ));
                    }
                    if b.aside.is_none_or(|(until, _)| now >= until || until - now <= span) {
                        b.aside = Some((now + span, span));
                    }
                }
            }
            Ending::Cancelled | Ending::NotSent => {}
        }
    }
}
