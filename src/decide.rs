//! All decisions of one front door. Its interface is in `types.rs`. The caller tells facts (`listed`, `counted`,
//! `peer_word`, `gone`, `streaming`) and asks three things: `place` (where does this invocation go, or not yet, or
//! never), `after` (what now, after this outcome), `wait` (how long until the next look, and whom to ask about
//! again). It keeps the timer and the held invocations; errands (counter calls, words, cancels) leave with answers.
//!
//! Quota: a customer's count on the counter service holds the units taken since its window began. The store it
//! stands for regains `rate` a second, so the allowance is the burst plus that, and a count that lags behind what
//! the store has regained is lifted to it (a full store spills). A forgotten or new count is lifted likewise.
use crate::types::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

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
const STEP: f64 = 0.05; // by which an answer moves that quantile
const DOUBT: f64 = 3.0; // times the high answer time: a delivery is doubted whatever its backend does
const PRESSED: f64 = 0.4; // of the latency objective: the work out at a backend may fill so much of it
const RATE_SPAN: f64 = 2.0; // answers are counted over about so long
const ASIDE: (f64, f64) = (1.0, 8.0); // a backend set aside: first and longest time
const REPEATS: (f64, f64) = (0.1, 20.0); // re-deliveries: earned by a first delivery, and saved at most
const WORDS: f64 = 0.5; // peers are told of good answers this often
const ANSWER_BY: f64 = 0.005; // before the client gives up

// ======== for one delivery
struct Delivery {
    tgt: Tgt,
    sent: f64,
    ending: Option<Ending>,
}

// ======== for one invocation
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
    /// The first delivery not known never to have run.
    fn may_have_run(&self) -> Option<&Delivery> {
        self.deliveries.iter().find(|d| !d.ending.is_some_and(Ending::never_ran))
    }
}

// ======== for one customer, while it is seen
#[derive(Clone, Copy, PartialEq)]
enum Errand {
    Lease { units: f64, paid: f64, spill: f64 },
    Lift { level: f64 },
    Return,
    Read,
}

struct Call {
    series: u32,
    add: f64,
    what: Errand,
}

#[derive(Default)]
struct Account {
    plan: usize,
    doors: f64,
    series: u32,
    seen: Option<f64>,
    lease: f64,
    lapses: f64,
    settle: f64, // true units less guessed, owed to the count
    slice: f64,
    slice_at: f64,
    sliced: f64, // spent from the slice and not yet told to the count
    ceiling: f64,
    out: usize,
    calls: VecDeque<Call>,
    waiting: Vec<Inv>,
    used: f64,
}

// ======== for one backend
struct Backend {
    is: Listed,
    out: usize,
    high: f64, // its high quantile of answer times, against its fellows'
    quiet_since: f64,
    fails: u32,
    aside: Option<(f64, f64)>,
    busy_until: f64,
    sent: VecDeque<f64>,
    good: f64,
    good_at: f64,
}

impl Backend {
    /// Good answers a second that we have had from it lately.
    fn rate(&self, now: f64) -> f64 {
        self.good * ((self.good_at - now) / RATE_SPAN).exp() / RATE_SPAN
    }
    /// It holds our deliveries and has said nothing for longer than they can explain.
    fn quiet(&self, now: f64, high: f64) -> bool {
        self.out > 0 && now - self.quiet_since > high * (1.0 + 2.0 / self.out as f64)
    }
}

#[derive(Clone, Copy)]
enum Bell {
    Inv(Inv),
    Customer(Customer),
    Words,
}

enum Quota {
    Go,
    Hold,
    Refuse(f64),
}

// ======== for the instance
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
    high: Vec<f64>, // by operation, over all backends
    repeats: f64,
    misses: u32,
    heard: f64,
    silent: bool,
    recall: f64,
    again: Vec<Inv>,
    idle: Vec<Customer>,
    bells: BTreeMap<(u64, u64), Bell>,
    rung: u64,
    errands: Errands,
}

impl Door {
    pub fn new(
        (seed, place): (u64, Place),
        (operations, plans): (Vec<Operation>, Vec<Plan>),
        (rules, may): (StartAndStop, Deliveries),
        counter: Option<CounterLimits>,
    ) -> Door {
        let high = operations.iter().map(|o| o.latency_objective / 4.0).collect();
        let (invs, accounts, backends, again, idle) = (vec![], vec![], vec![], vec![], vec![]);
        let (rng, bells, errands) = (ChaCha8Rng::seed_from_u64(seed), BTreeMap::new(), Errands::default());
        let (repeats, misses, heard, silent, recall, rung) = (REPEATS.1 / 2.0, 0, 0.0, false, 0.0, 0);
        #[rustfmt::skip]
        return Door {
            rng, place, operations, plans, rules, may, counter, invs, accounts, backends, high, repeats, misses,
            heard, silent, recall, again, idle, bells, rung, errands,
        };
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
        for &is in entries {
            if self.backends.len() <= is.tgt {
                self.backends.resize_with(is.tgt + 1, || None);
            }
            match &mut self.backends[is.tgt] {
                Some(b) if b.is.started == is.started => b.is = is,
                slot => {
                    let (out, sent) = slot.take().map_or((0, VecDeque::new()), |b| (b.out, b.sent));
                    let (high, quiet_since, fails, aside, busy_until) = (1.0, now, 0, None, 0.0);
                    let (good, good_at) = (0.0, now);
                    #[rustfmt::skip]
                    let b = Backend { is, out, high, quiet_since, fails, aside, busy_until, sent, good, good_at };
                    *slot = Some(b);
                }
            }
        }
    }

    /// A peer has had good answers from this backend: one set aside may be tried again.
    pub fn peer_word(&mut self, now: f64, tgt: Tgt) {
        let Some(Some(b)) = self.backends.get_mut(tgt) else { return };
        // The word may be older than our trouble: half of the span comes first.
        b.aside = b.aside.map(|(until, span)| (if until - now < span / 2.0 { now } else { until }, span));
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
            return;
        }
        // Unanswered may have been added: what it paid is taken as paid, so that nothing is added twice.
        if result == Counted::Unreached {
            match call.what {
                Errand::Lease { paid, .. } => a.settle += paid,
                Errand::Return => a.settle += call.add,
                Errand::Lift { .. } | Errand::Read => {}
            }
        }
        for inv in std::mem::take(&mut a.waiting) {
            if let Some(Some(v)) = self.invs.get_mut(inv) {
                v.counter_until = now;
                self.again.push(inv);
            }
        }
        self.missed(now);
    }

    // ======== the three questions

    /// Where to send this invocation, or not yet, or never. Asked first when it comes, then as `wait` says.
    pub fn place(&mut self, now: f64, inv: Inv, ask: &Ask) -> Answer {
        if self.invs.len() <= inv {
            self.invs.resize_with(inv + 1, || None);
        }
        if self.invs[inv].is_none() {
            let deadline = DEADLINE * self.operations[ask.operation].latency_objective;
            let deadline = self.counter.map_or(0.0, |c| deadline.min(c.timeout)).min((ask.until - now) / 4.0);
            self.account(now, ask);
            let (ask, came, counter_until) = (*ask, now, now + deadline);
            let (admitted, look, deliveries, closed) = (false, f64::INFINITY, vec![], false);
            #[rustfmt::skip]
            let v = Invocation { ask, came, counter_until, admitted, look, deliveries, closed };
            self.invs[inv] = Some(v);
            self.ring(counter_until, Bell::Inv(inv));
            self.ring(ask.until - ANSWER_BY, Bell::Inv(inv)); // a last look, whatever it is held for
        }
        let verdict = self.decide(now, inv);
        self.answer(inv, verdict)
    }

    /// What to do after this outcome.
    pub fn after(&mut self, now: f64, inv: Inv, o: &Outcome) -> Answer {
        let Some(Some(v)) = self.invs.get_mut(inv) else { return self.answer(inv, Verdict::NotYet) };
        let (ask, sent) = (v.ask, v.deliveries[o.delivery].sent);
        v.deliveries[o.delivery].ending = Some(o.ending);
        let (out, closed) = (v.out(), v.closed || o.closed);
        if let Some(Some(a)) = self.accounts.get_mut(ask.customer) {
            a.out = a.out.saturating_sub(1);
            if let Some(units) = o.true_units {
                a.settle += units - ask.units;
                self.ring(now + LAPSE, Bell::Customer(ask.customer));
            }
        }
        self.judge(now, ask.operation, sent, o);
        if closed {
            self.close(inv);
        }
        let verdict = if closed || out > 0 { Verdict::NotYet } else { self.decide(now, inv) };
        self.answer(inv, verdict)
    }

    /// How long to wait, and whom to ask about again now.
    pub fn wait(&mut self, now: f64) -> Wait {
        while let Some(e) = self.bells.first_entry().filter(|e| f64::from_bits(e.key().0) <= now) {
            match e.remove() {
                Bell::Inv(inv) => self.again.push(inv),
                Bell::Customer(c) => self.lapse(now, c),
                Bell::Words => {
                    let good =
                        self.backends.iter().flatten().filter(|b| b.good > 0.0 && b.good_at > now - WORDS);
                    self.errands.good_word = good.map(|b| b.is.tgt).collect();
                    self.ring(now + WORDS, Bell::Words);
                }
            }
        }
        self.again.sort_unstable();
        self.again.dedup();
        let live = |i: &Inv| self.invs.get(*i).is_some_and(|v| v.as_ref().is_some_and(|v| !v.closed));
        let again = std::mem::take(&mut self.again).into_iter().filter(live).collect();
        let seconds = self.bells.keys().next().map(|k| f64::from_bits(k.0) - now);
        let idle = std::mem::take(&mut self.idle);
        Wait { again, idle, seconds, errands: std::mem::take(&mut self.errands) }
    }

    // ======== the course of one invocation

    fn decide(&mut self, now: f64, inv: Inv) -> Verdict {
        if !self.invs[inv].as_ref().expect("held").admitted {
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
        let (out, tries, left) = (v.out(), v.deliveries.len(), v.ask.until - now);
        let (operation, customer, objective) = (v.ask.operation, v.ask.customer, op.latency_objective);
        let ran = v.may_have_run();
        let may_repeat = match (ran, op.effect) {
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(d), Effect::Tokened { window, .. }) => now < d.sent + window,
            (_, Effect::NonIdempotent) => false,
        };
        let bound = match (ran, op.effect) {
            (Some(d), Effect::Tokened { group, .. }) if group != Group::All => Some((group, d.tgt)),
            _ => None,
        };
        let may_throttle = may_repeat && bound.is_none();
        let late = now - v.came > objective;
        if out > 0 {
            // A delivery is doubted when its backend is quiet, or when its answer is long overdue.
            let (i, d) =
                v.deliveries.iter().enumerate().rfind(|(_, d)| d.ending.is_none()).expect("one is out");
            let quiet = self.backends[d.tgt].as_ref().is_some_and(|b| b.quiet(now, self.high[operation]));
            if now < v.look || op.effect != Effect::Idempotent || late || tries >= self.may.most {
                return Verdict::NotYet;
            }
            if self.repeats < 1.0 || !(quiet || now - d.sent > DOUBT * self.high[operation]) {
                return self.look_again(now, inv, self.high[operation] / 2.0);
            }
            if !self.may.second_copies {
                if self.may.cancels {
                    self.errands.cancels.push((inv, i));
                    self.invs[inv].as_mut().expect("held").look = f64::INFINITY;
                }
                return Verdict::NotYet;
            }
        } else if left <= ANSWER_BY
            || !may_repeat
            || tries >= self.may.most
            || tries > 0 && (late || self.repeats < 1.0)
        {
            return if may_throttle { self.throttle(1.0) } else { Verdict::Error };
        }
        let tried: Vec<Tgt> = v.deliveries.iter().map(|d| d.tgt).collect();
        let (came, a) = (v.came, self.accounts[customer].as_ref());
        let share = a.map_or(usize::MAX, |a| self.open_share(a));
        let full = tries == 0 && a.is_some_and(|a| a.out >= share);
        let Some(tgt) = (if full { None } else { self.pick(now, operation, &tried, bound) }) else {
            if out == 0 && (now - came > objective / 4.0 || !full) {
                if tries == 0 {
                    self.give_back(now, inv);
                }
                return if may_throttle { self.throttle(objective) } else { Verdict::Error };
            }
            return self.look_again(now, inv, objective / 50.0);
        };
        self.repeats =
            if tries == 0 { (self.repeats + REPEATS.0).min(REPEATS.1) } else { self.repeats - 1.0 };
        self.look_again(now, inv, self.high[operation]);
        self.invs[inv].as_mut().expect("held").deliveries.push(Delivery { tgt, sent: now, ending: None });
        if let Some(a) = self.accounts[customer].as_mut() {
            a.out += 1;
        }
        let b = self.backends[tgt].as_mut().expect("picked");
        b.quiet_since = if b.out == 0 { now } else { b.quiet_since };
        b.out += 1;
        b.sent.push_back(now);
        b.aside = b.aside.map(|(until, span)| (until.max(now + span), span)); // one trial in each span
        Verdict::Deliver { tgt, time_out: None }
    }

    fn look_again(&mut self, now: f64, inv: Inv, seconds: f64) -> Verdict {
        self.invs[inv].as_mut().expect("held").look = now + seconds;
        self.ring(now + seconds, Bell::Inv(inv));
        Verdict::NotYet
    }

    fn throttle(&self, seconds: f64) -> Verdict {
        Verdict::Throttle {
            retry_after: self.may.retry_after.map(|most| seconds.clamp(0.05, most.max(0.05))),
        }
    }

    fn answer(&mut self, inv: Inv, verdict: Verdict) -> Answer {
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
        self.bells.insert((at.max(0.0).to_bits(), self.rung), bell);
    }

    // ======== quotas

    fn account(&mut self, now: f64, ask: &Ask) {
        if self.accounts.len() <= ask.customer {
            self.accounts.resize_with(ask.customer + 1, || None);
        }
        if self.accounts[ask.customer].is_none() {
            let (p, doors) = (&self.plans[ask.plan], ask.doors.max(1) as f64);
            let (slice, ceiling) = (p.burst / doors, p.ceiling_slack / doors / 2.0);
            let (plan, slice_at, used) = (ask.plan, now, now);
            let a = Account { plan, doors, slice, slice_at, ceiling, used, ..Account::default() };
            self.accounts[ask.customer] = Some(a);
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
        let (customer, units, past) = (v.ask.customer, v.ask.units, now >= v.counter_until);
        let a = self.accounts[customer].as_mut().expect("has an account");
        let p = &self.plans[a.plan];
        let (even, most) = (p.rate / a.doors, p.burst / a.doors);
        a.slice = (a.slice + even * (now - a.slice_at)).min(most);
        a.sliced = a.sliced.min(most - a.slice); // what the slice has regained is owed no more
        if p.ceiling_rate > 0.0 {
            // A hard ceiling is held by an even share of its own, which starts empty: a restart fills nothing.
            let (even, most) = (p.ceiling_rate / a.doors, p.ceiling_burst / a.doors);
            a.ceiling = (a.ceiling + even * (now - a.slice_at)).min(most);
        }
        (a.slice_at, a.used) = (now, now);
        if p.ceiling_rate > 0.0 && a.ceiling < units {
            return Quota::Refuse((units - a.ceiling) * a.doors / p.ceiling_rate);
        }
        if p.rate <= 0.0 || now < a.lapses && a.lease >= units {
            a.lease -= if p.rate > 0.0 { units } else { 0.0 };
            a.ceiling -= units;
            return Quota::Go;
        }
        let series = (now / WINDOW) as u32;
        if series != a.series {
            let edges = f64::from(series.wrapping_sub(a.series));
            a.seen = a.seen.filter(|_| edges <= 2.0).map(|s| s - edges * p.rate * WINDOW);
            a.series = series;
        }
        let regained = p.rate * (now - f64::from(series) * WINDOW);
        let owed = a.settle + a.sliced;
        let room = a.seen.map_or(p.burst, |s| p.burst + regained - s.max(regained) - owed);
        if self.silent || past || self.counter.is_none() {
            a.waiting.retain(|w| *w != inv);
            let (fits, idle) = (a.slice >= units, a.calls.is_empty());
            let short = (units - a.slice) / even;
            if fits {
                a.slice -= units;
                a.sliced += units;
                a.ceiling -= units;
            }
            if self.silent && now >= self.recall && idle && self.counter.is_some() {
                self.recall = now + RECALL;
                self.call(customer, series, 0.0, Errand::Read);
            } else if !self.silent && !idle {
                self.missed(now);
            }
            return if fits { Quota::Go } else { Quota::Refuse(short) };
        }
        if a.calls.iter().any(|c| matches!(c.what, Errand::Lease { .. })) {
            a.waiting.push(inv); // one call in flight serves all that wait for it
            return Quota::Hold;
        }
        let need = units - if now < a.lapses { a.lease } else { 0.0 };
        if need > room {
            return Quota::Refuse((need - room) / p.rate);
        }
        let batch = if room > p.burst / 2.0 { p.burst * BATCH } else { 0.0 };
        let spill = a.seen.map_or(0.0, |s| (regained - s).max(0.0));
        let units = need.max(batch);
        (a.settle, a.sliced) = (0.0, 0.0);
        a.waiting.push(inv);
        self.call(customer, series, units + owed + spill, Errand::Lease { units, paid: owed, spill });
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
        let small = p.burst * SPILL;
        let waiting = std::mem::take(&mut a.waiting);
        let current = a.series == call.series;
        let regained = p.rate * (now - f64::from(call.series) * WINDOW).max(0.0);
        let before = total - call.add;
        // What the count must have stood at: at least what the store regained; and, where it is new or was
        // forgotten, what we last saw. Peers return lapsed leases, so a small drop is no loss.
        let known = a.seen.filter(|_| current).unwrap_or(0.0);
        let lost = before < 0.01 || before < known - small * a.doors;
        let level = if lost { regained.max(known) } else { regained };
        let lag = (level - before).max(0.0);
        let (mut back, mut lift) = (0.0, 0.0);
        match call.what {
            Errand::Lease { units, spill, .. } => {
                (lift, back) = ((lag - spill).max(0.0), (spill - lag).max(0.0));
                let over = total + lift - back - p.burst - regained;
                let fits = (units - over.max(0.0)).max(0.0);
                back += units - fits;
                a.lease = fits + if now < a.lapses { a.lease } else { 0.0 };
                a.lapses = now + LAPSE;
            }
            Errand::Lift { level } => back = call.add - (level - before).clamp(0.0, call.add),
            Errand::Return | Errand::Read => {}
        }
        if current {
            a.seen = Some(total + lift - back);
        }
        let (lapses, leased) = (a.lapses, a.lease > 0.0);
        if lift > small || lift > 0.0 && lost {
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

    /// Units of an invocation that was never sent on serve the customer's next.
    fn give_back(&mut self, now: f64, inv: Inv) {
        let ask = self.invs[inv].as_ref().expect("held").ask;
        let Some(Some(a)) = self.accounts.get_mut(ask.customer) else { return };
        a.lease = ask.units + if now < a.lapses { a.lease } else { 0.0 };
        a.ceiling += ask.units;
        a.lapses = now + LAPSE;
        self.ring(now + LAPSE, Bell::Customer(ask.customer));
    }

    /// A lease that lapsed goes back to the count; a customer not seen for long is dropped.
    fn lapse(&mut self, now: f64, customer: Customer) {
        let Some(Some(a)) = self.accounts.get_mut(customer) else { return };
        let (lapsed, quiet, series) = (now >= a.lapses, a.calls.is_empty(), a.series);
        let add = a.settle - a.lease;
        if lapsed && quiet && add.abs() > 0.5 && !self.silent && self.counter.is_some() {
            (a.lease, a.settle) = (0.0, 0.0);
            self.call(customer, series, add, Errand::Return);
        } else if now >= a.used + IDLE && quiet && a.out == 0 && a.waiting.is_empty() {
            self.accounts[customer] = None;
            self.idle.push(customer);
        } else if lapsed {
            let at = (a.used + IDLE).max(now + LAPSE);
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

    fn missed(&mut self, now: f64) {
        self.misses += 1;
        if !self.silent && self.misses >= MISSES {
            (self.silent, self.recall) = (true, now + RECALL);
            let line =
                format!("counter silent: {} calls missed since {:.2}; even slices", self.misses, self.heard);
            self.errands.log.push(line);
        }
    }

    // ======== backends

    /// Two drawn at random among those in good standing; the one our own counts favour wins.
    fn pick(
        &mut self,
        now: f64,
        operation: usize,
        tried: &[Tgt],
        bound: Option<(Group, Tgt)>,
    ) -> Option<Tgt> {
        let kin = bound.and_then(|(g, t)| self.backends[t].as_ref().map(|b| (g, b.is.zone, b.is.cell)));
        let in_service = |b: &&Backend| b.is.standing == Standing::Ready;
        let warm = self.backends.iter().flatten().filter(in_service);
        let warm: Vec<f64> =
            warm.filter(|b| b.aside.is_none() && self.share(now, b) >= 1.0).map(|b| b.rate(now)).collect();
        let warm_rate = warm.iter().sum::<f64>() / warm.len().max(1) as f64;
        let (high, objective) = (self.high[operation], self.operations[operation].latency_objective);
        let (mut good, mut poor) = (vec![], vec![]);
        for b in self.backends.iter().flatten().filter(in_service) {
            if kin.is_some_and(|(g, z, c)| if g == Group::Zone { b.is.zone != z } else { b.is.cell != c }) {
                continue;
            }
            let share = self.share(now, b);
            if share < 1.0 {
                // Cold: no more than its share of what a warm one answers us. All doors doing so, it gets a
                // share of a warm one's load, which is under what it can do.
                let sent = b.sent.iter().filter(|t| **t > now - self.rules.fall_after).count();
                if sent as f64 >= (share * warm_rate * self.rules.fall_after).max(1.0) {
                    continue;
                }
            }
            // Pressed: what is out there would take too much of the objective at the pace of its answers.
            if b.out as f64 >= (b.rate(now) * PRESSED * objective).max(2.0) {
                continue;
            }
            let waits = b.aside.is_some_and(|(until, _)| now < until) || b.busy_until > now;
            let list =
                if waits || tried.contains(&b.is.tgt) || b.quiet(now, high) { &mut poor } else { &mut good };
            list.push(b.is.tgt);
        }
        if good.is_empty() {
            // All are in trouble: those that we have not tried yet, then any.
            good = poor.iter().copied().filter(|t| !tried.contains(t)).collect();
            good = if good.is_empty() { poor } else { good };
        }
        if good.is_empty() {
            return None;
        }
        let i = self.rng.gen_range(0..good.len());
        let j = (i + self.rng.gen_range(0..good.len().max(2) - 1) + 1) % good.len();
        let (x, y) = (good[i], good[j]);
        Some(if self.load(now, y) < self.load(now, x) { y } else { x })
    }

    /// The part of its capacity that a backend has at least, by the time since its start.
    fn share(&self, now: f64, b: &Backend) -> f64 {
        let age = b.is.started.map_or(f64::INFINITY, |s| now - s);
        (self.rules.cold_from + (1.0 - self.rules.cold_from) * age / self.rules.warm_after).clamp(0.01, 1.0)
    }

    /// Our own deliveries out, against the backend's size, its slowness beside its fellows and its warmth.
    fn load(&self, now: f64, tgt: Tgt) -> f64 {
        let b = self.backends[tgt].as_ref().expect("listed");
        (b.out + 1) as f64 * b.high.max(0.5) / b.is.size.max(0.01) / self.share(now, b)
    }

    /// What an outcome says of its backend.
    fn judge(&mut self, now: f64, operation: usize, sent: f64, o: &Outcome) {
        let high = &mut self.high[operation];
        let Some(Some(b)) = self.backends.get_mut(o.tgt) else { return };
        let toward =
            |q: f64, over: bool| q * if over { 1.0 + STEP * HIGH } else { 1.0 - STEP * (1.0 - HIGH) };
        b.out = b.out.saturating_sub(1);
        match o.ending {
            Ending::Succeeded => {
                *high = toward(*high, o.took > *high);
                b.high = toward(b.high, o.took > *high * b.high).clamp(0.3, 5.0);
                b.good = b.rate(now) * RATE_SPAN + 1.0;
                (b.good_at, b.quiet_since, b.fails) = (now, now, 0);
                if b.aside.take().is_some() {
                    self.errands.log.push(format!("backend {} back: answered in {:.3} s", o.tgt, o.took));
                }
            }
            Ending::TurnedAway => (b.busy_until, b.quiet_since) = (now + 0.1, now),
            Ending::NotSent => {}
            _ => {
                // No answer tells little if others were answered since it was sent.
                let silent = matches!(o.ending, Ending::TimedOut | Ending::Cancelled);
                b.fails += u32::from(!silent || b.good_at < sent);
                if b.fails >= 2 || o.ending == Ending::Broken {
                    let span = b.aside.map_or(ASIDE.0, |(_, s)| (s * 2.0).min(ASIDE.1));
                    if b.aside.is_none() {
                        let line =
                            format!("backend {} aside: {} bad in a row, last {:?}", o.tgt, b.fails, o.ending);
                        self.errands.log.push(line);
                    }
                    if b.aside.is_none_or(|(until, s)| now >= until || until - now <= s / 2.0) {
                        b.aside = Some((now + span, span));
                    }
                }
            }
        }
    }
}
