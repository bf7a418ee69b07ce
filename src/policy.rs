//! All decisions of one front door. Interface: `types.rs`; what it remembers: `state.rs`, `backends.rs`. Facts enter by what
//! returns nothing; three are asked, errands go with each: `place` (where, not yet, never), `after`, `wait`. Quota: a customer's
//! count on the counter service holds the units taken since its window began. The store it stands for regains `rate` a second, so
//! the allowance is the burst plus that, and a count that lags behind what the store regained is lifted to it, as is a forgotten one.
use crate::backends::{Backends, Drawn};
use crate::state::*;
use crate::types::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const WINDOW: f64 = 30.0; // one name of a count; long, for an edge costs a call to carry the level over
const LAPSE: f64 = 1.0; // an unspent lease goes back
const BATCH: f64 = 1.0 / 16.0; // of the burst, taken at once while more than half of the store is there
const SPILL: f64 = 1.0 / 8.0; // of the burst: smaller lags of the count are left alone
const PLACES: (u32, f64) = (1 << 30, 10.0); // counts of places: first series, and how long one is
const OWN: f64 = 4.0; // medians of answer times that a place of our own share is counted for
const ABOVE: f64 = 0.5; // of what a ceiling leaves above the quota: what goes without a lease may take
const WORTH: f64 = 0.5; // units: what is less waits for the next call
const DEADLINE: (f64, f64) = (0.04, 3.0); // longest wait for the counter: of the objective, of its quickest
const MISSES: u32 = 4; // calls past the deadline, none answered since: the counter is silent
const RECALL: f64 = 0.25; // a silent counter is read this often
const PACE: (f64, f64) = (20.0, 400.0); // counter calls a second, all doors: least, first
const PACE_STEP: (f64, f64, f64, f64) = (1.0, 0.25, 2.5, 0.2); // up to a miss, after it; less by it, a part
const PACE_SPAN: (f64, f64) = (0.2, 4.0); // calls are saved up for so long, and so many at least
const OWED: f64 = 0.25; // of the burst: so much may be spent on trust before the count is told
const PAUSE: f64 = 1.0; // no trust for so long after all of the limit was out
const STANDS: f64 = 0.5; // so far a call stands for others, let in on trust at doors that will not call soon
const IDLE: f64 = 12.0; // a customer not seen for so long is dropped
const HIGH: f64 = 0.95; // the quantile of answer times that judges a backend
const STEP: (f64, f64) = (0.05, 0.8); // by which an answer moves a quantile: the fleet's, one backend's
const HARD: (f64, f64) = (0.1, 0.05); // hard to get: a share of failed deliveries; the step of one case
const STREAK: u32 = 3; // good deliveries on end: proven
const DOUBT: f64 = 3.0; // times the high answer time: a delivery is doubted whatever its backend does
const PRESSED: f64 = 0.15; // of the latency objective: the work out at a backend may fill so much of it
const SLOWED: f64 = 3.0; // times the least median of late: a slow answer
const FAR: f64 = 1.5; // times its load: a backend in a zone that is charged for; one not connected
const DRIFT: f64 = 0.0002; // by which that least forgets, an answer
const LIMIT: (f64, f64) = (10.0, 0.25); // units out: at first, a backend, all doors; by an answer
const CUT: f64 = 0.5; // off that limit by a slow answer of a backend that says it is full
const FULL: (f64, f64) = (0.9, 2.0); // that is: share of its cores busy, times its own service time taken
const RATE_SPAN: f64 = 2.0; // answers are counted over about so long
const ASIDE: (f64, f64) = (1.0, 8.0); // a backend set aside: first and longest time
const REPEATS: (f64, f64) = (0.1, 20.0); // re-deliveries: earned by a first delivery, and saved at most
const WORDS: f64 = 0.5; // peers are told of one thing no more often
const TELLS: f64 = 0.5; // of what a door hears, it tells
const SAY: f64 = 0.1; // of the burst: less room is news to the customer's other doors
const STALL: f64 = 0.1; // our own timers so late: the door stood still
const LIST_AGAIN: f64 = 2.0; // after a list call that failed, give or take half
const SCANNED: usize = 256; // so many backends are looked at one by one; of more, so many drawn at random
const DRAWN: usize = 32; // (0.23 us each, docs/CAPACITY.md: 7 us of the 104 us of processor that a request may take)
const SOON: f64 = 2.0; // one that came back by hand is tried within so long, not by all doors at once
const ANSWER_BY: f64 = 0.005; // before the client gives up: a last look; what it finds held is answered

impl Store {
    /// It is not asked: silent, waited for, or short of calls (sooner for what could do without: `spares`).
    fn passes(&self, waited: bool, asked: bool, spares: bool) -> bool {
        let least = if spares { (self.pace * PACE_SPAN.0 / 2.0).max(1.0) } else { 1.0 };
        self.silent || waited || !asked && self.calls < least
    }
}

#[derive(Default)]
pub struct PolicyEngine {
    rng: Option<ChaCha8Rng>,
    doors: f64,
    own: f64, // processes of this door
    words: Words,
    operations: Vec<Operation>,
    plans: Vec<Plan>,
    rules: SlowStart,
    may: AttemptSettings,
    invs: BTreeMap<RequestIndex, Invocation>,
    accounts: BTreeMap<CustomerIndex, Account>,
    backends: Backends,
    times: Vec<Times>, // by operation, over all backends
    all: AllOut,
    hard: Vec<f64>, // shares of deliveries that found no connection, no answer by operation, no room by plan
    repeats: f64,
    store: Store,
    woke: f64,
    again: BTreeSet<RequestIndex>,
    idle: Vec<CustomerIndex>,
    timers: Timers,
    errands: Effects,
}

impl PolicyEngine {
    pub fn new(settings: EngineSettings) -> PolicyEngine {
        let EngineSettings { instances, operations, plans, counter, .. } = settings;
        let pace = PACE.1 / instances;
        let store = Store {
            pace,
            calls: pace * PACE_SPAN.0,
            timeout: counter.map_or(0.0, |c| c.timeout),
            silent: counter.is_none(),
            asked: 1.0,
            ..Store::default()
        };
        let mut timers = Timers::default();
        if settings.polls_endpoints {
            timers.ring(0.0, Bell::List);
        }
        PolicyEngine {
            rng: Some(ChaCha8Rng::seed_from_u64(settings.seed)),
            doors: instances,
            own: 1.0,
            words: Words { hears: settings.gossip_intake_rate, ..Words::default() },
            times: operations.iter().map(|o| Times::first(o.latency_objective / 4.0)).collect(),
            hard: vec![0.0; 1 + operations.len() + plans.len()],
            operations,
            plans,
            rules: settings.slow_start,
            may: settings.attempts,
            repeats: REPEATS.1 / 2.0,
            store,
            woke: f64::INFINITY,
            timers,
            ..PolicyEngine::default()
        }
    }

    // ======== facts

    /// The list, or what changed in it; `whole` replaces it, so what it lacks is gone.
    pub fn update_endpoints(&mut self, now: f64, whole: bool, entries: &[Endpoint]) {
        if self.backends.is_empty() {
            let first = (LIMIT.0 * entries.len() as f64 / self.doors).max(1.0); // the first sign of time
            (self.all.limit, self.store.heard, self.store.paced) = (first, now, now);
        }
        self.backends.listed(now, whole, entries, self.hard.len());
    }

    /// An operator leaves a backend out since then, or uses it again: what we knew of it is past.
    pub fn set_manual_ejection(&mut self, now: f64, tgt: BackendIndex, out: Option<f64>) {
        self.backends.by_hand(now, tgt, out);
    }

    /// How many listed backends get nothing new now: draining, out by hand or set aside.
    pub fn unavailable_backends(&self) -> usize {
        self.backends.values().filter(|b| b.avoided()).count()
    }

    /// Another process of this door is there, or no longer: each has half of what is the door's own.
    pub fn set_peer_process(&mut self, two: bool) {
        self.own = if two { 2.0 } else { 1.0 };
    }

    /// A gone backend that nothing held has to do with any more: its index may mean another one from now on.
    pub fn forget_backend(&mut self, tgt: BackendIndex) {
        self.backends.forget(tgt);
    }

    /// The list could not be had, or broke off: it is asked for again, not by all doors at once.
    pub fn endpoint_fetch_failed(&mut self, now: f64) {
        let at = now + LIST_AGAIN * (0.5 + self.chance());
        self.timers.ring(at, Bell::List);
    }

    /// A peer had a backend aside and has an answer since, or has seen what a customer's count stands at.
    pub fn gossip_received(&mut self, now: f64, word: GossipMessage) {
        match word {
            GossipMessage::BackendRecovered { backend: tgt } => {
                let Some(b) = self.backends.get_mut(tgt) else { return };
                b.praised = now;
                // The word may be older than our trouble: half of the span comes first.
                let soon = b.aside.filter(|a| a.until - now < a.span / 2.0);
                b.aside = soon.map(|a| Aside { until: now, ..a }).or(b.aside);
            }
            GossipMessage::CounterTotal { key: name, plan, instances: of, total } => {
                let a = self.account(now, (name.customer, plan, of));
                if name.series == a.series {
                    (a.seen, a.told, a.at) = (Some(total), now, now);
                }
            }
        }
    }

    /// A stream has begun: the invocation owes nothing by the clock, and its backend has done its work.
    pub fn response_started(&mut self, now: f64, inv: RequestIndex) {
        let Some((tgt, units)) = self.invs.get_mut(&inv).and_then(Invocation::stream) else { return };
        self.backends.lighter(tgt, units).into_iter().for_each(|b| b.quiet_since = now);
    }

    /// What came of a counter call.
    pub fn counter_answered(&mut self, now: f64, name: CounterKey, result: CounterResult) {
        let Some(a) = self.accounts.get_mut(&name.customer) else { return };
        let Some(i) = a.calls.iter().position(|c| c.series == name.series) else { return };
        let call = a.calls.remove(i).expect("position found");
        if name.series >= PLACES.0 {
            return self.placed(now, name, &call, result);
        }
        if let CounterResult::Total(total) = result {
            return self.credit(now, name, &call, total);
        }
        // Unanswered may have been added: what it paid is taken as paid, so that nothing is added twice.
        let back = if result == CounterResult::AppliedTotalUnknown { call.add } else { 0.0 }; // added unread: it goes back
        a.settle += if matches!(result, CounterResult::Unanswered) { 0.0 } else { call.paid } - back;
        let waiting = std::mem::take(&mut a.waiting);
        self.in_vain(now, waiting);
    }

    // ======== the three questions

    /// Where to send this invocation, or not yet, or never. Asked first when it comes, then as `wait` says.
    pub fn route(&mut self, now: f64, inv: RequestIndex, ask: &RequestAttributes) -> PolicyOutput {
        self.awake(now);
        if !self.invs.contains_key(&inv) {
            let most = self.store.timeout.min((ask.deadline - now) / 4.0);
            let least = DEADLINE.0 * self.operations[ask.operation].latency_objective;
            let counter_until = now + most.min(least.max(DEADLINE.1 * self.store.quick));
            let (ask, came, luck, last) = (*ask, now, self.chance(), ask.deadline - ANSWER_BY);
            self.invs.insert(inv, Invocation { ask, came, last, luck, counter_until, ..Default::default() });
            self.timers.ring(counter_until, Bell::Inv(inv));
            self.timers.ring(last, Bell::Inv(inv));
        }
        let v = self.invs.get_mut(&inv).expect("held"); // its time may have been cut short since
        (v.ask.deadline, v.counter_until) = (ask.deadline, v.counter_until.min(ask.deadline));
        let verdict = self.decide(now, inv);
        self.answer(now, inv, verdict)
    }

    /// What to do after this outcome.
    pub fn attempt_ended(&mut self, now: f64, inv: RequestIndex, o: &AttemptOutcome) -> PolicyOutput {
        self.awake(now);
        let Some(v) = self.invs.get_mut(&inv) else { return self.answer(now, inv, Decision::Pending) };
        let (ask, sent) = (v.ask, v.deliveries[o.attempt].sent);
        v.deliveries[o.attempt].ending = Some(o.result);
        let (out, left, streams, closed) = (v.out(), v.closed, v.streams, v.closed || o.request_closed);
        if let Some((a, units)) = self.accounts.get_mut(&ask.customer).zip(o.billed_units) {
            a.settle += units - ask.units;
            self.look_after(ask.customer, now + LAPSE);
        }
        self.judge(now, &ask, (sent, left, streams), o);
        if closed {
            self.request_closed(now, inv);
        }
        let verdict = if closed || out > 0 { Decision::Pending } else { self.decide(now, inv) };
        self.answer(now, inv, verdict)
    }

    /// How long to wait, and whom to ask about again now.
    pub fn poll(&mut self, now: f64) -> PollOutput {
        while let Some(bell) = self.timers.take(now, &self.invs) {
            match bell {
                Bell::Inv(inv) => drop(self.again.insert(inv)),
                Bell::Customer(c) => self.lapse(now, c),
                Bell::List => self.errands.fetch_endpoints = true,
            }
        }
        self.again.retain(|inv| self.invs.get(inv).is_some_and(|v| !v.closed));
        let again = std::mem::take(&mut self.again).into_iter().collect();
        let seconds = self.timers.next().map(|at| at - now);
        let (idle, errands) = (std::mem::take(&mut self.idle), std::mem::take(&mut self.errands));
        PollOutput { reconsider: again, evicted_customers: idle, next_poll_in: seconds, effects: errands }
    }

    /// The door itself stood still: the silence meanwhile is not its backends'.
    fn awake(&mut self, now: f64) {
        let late = self.timers.next().map_or(0.0, |at| now - at);
        if now > self.woke && late > STALL {
            self.backends.values_mut().for_each(|b| (b.quiet_since, b.good_at) = (now, now));
            self.errands.log.push(format!("stood still for {late:.2} s"));
        }
        self.woke = now;
    }

    // ======== the course of one invocation

    /// Quota first; then the next delivery, as far as the operation allows one.
    fn decide(&mut self, now: f64, inv: RequestIndex) -> Decision {
        if !self.invs[&inv].admitted {
            if let Some(no) = self.quota(now, inv).or_else(|| self.place_of(now, inv)) {
                return no;
            }
            self.invs.get_mut(&inv).expect("held").admitted = true;
        }
        let v = &self.invs[&inv];
        let (ask, says, came, luck) = (v.ask, v.ask.limits, v.came, v.luck);
        let Operation { latency_objective, idempotency: effect, .. } = self.operations[ask.operation];
        let (objective, most) =
            (latency_objective.min(says.latency_objective), self.may.max_attempts.min(says.max_attempts));
        let (out, tries, left) = (v.out(), v.deliveries.len(), ask.deadline - now);
        let (units, high) = (ask.units.max(1.0), self.times[ask.operation].high * ask.units.max(1.0));
        let may_have = |d: &&Delivery| !d.ending.is_some_and(AttemptResult::never_ran);
        let ran = v.deliveries.iter().find(may_have).map(|d| (d.tgt, d.sent));
        let (may_repeat, bound) = match (ran, effect) {
            (Some((tgt, sent)), Idempotency::Keyed { scope: group, window }) => {
                (now < sent + window.min(says.retry_window), (group != KeyScope::All).then_some((group, tgt)))
            }
            (Some(_), Idempotency::NonIdempotent) => (false, None),
            (ran, _) => (ran.is_none_or(|(_, sent)| now < sent + says.retry_window), None),
        };
        let (may_throttle, late) =
            (ran.is_none() || effect == Idempotency::Idempotent, now - came > objective);
        let spent = tries >= most || tries > 0 && (late || ran.is_some() && self.repeats < 1.0);
        if out > 0 {
            // A delivery is doubted when its backend is quiet, or when its answer is long overdue.
            let i = v.deliveries.iter().rposition(|d| d.ending.is_none()).expect("one is out");
            if now < v.look || effect != Idempotency::Idempotent || late || tries >= most || !may_repeat {
                return Decision::Pending;
            }
            let b = &self.backends[&v.deliveries[i].tgt];
            let quiet = self.quiet(now, b, self.times[ask.operation].high);
            let doubtful = (DOUBT * high / b.share(now, &self.rules)).min(says.attempt_timeout);
            if self.repeats < 1.0 || !quiet && now - v.deliveries[i].sent <= doubtful {
                return self.look_again(now, inv, (high / 2.0).min(says.attempt_timeout / 4.0));
            }
            if !(self.may.hedging && says.hedging) {
                self.errands.cancellations.extend(self.may.cancellation.then_some((inv, i)));
                self.invs.get_mut(&inv).expect("held").look = f64::INFINITY;
                return Decision::Pending;
            }
        } else if left < 2.0 * ANSWER_BY || !may_repeat || spent {
            return if may_throttle { throttle(&self.may, 1.0) } else { Decision::Error };
        }
        let tried: Vec<BackendIndex> = v.deliveries.iter().map(|d| d.tgt).collect();
        let Some(tgt) = self.pick(now, (&ask, luck), &tried, bound) else {
            if out == 0 && now - came > objective / 4.0 {
                self.give_back(now, inv);
                return if may_throttle { throttle(&self.may, objective) } else { Decision::Error };
            }
            return self.look_again(now, inv, objective / 50.0);
        };
        self.repeats = (self.repeats + REPEATS.0 - f64::from(ran.is_some())).min(REPEATS.1);
        self.look_again(now, inv, high.min(says.attempt_timeout));
        self.invs.get_mut(&inv).expect("held").deliveries.push(Delivery { tgt, sent: now, ending: None });
        let b = self.backends.get_mut(tgt).expect("picked");
        (b.quiet_since, b.unused) = (if b.out == 0 { now } else { b.quiet_since }, f64::INFINITY);
        b.aside = b.aside.map(|a| Aside { until: a.until.max(now + a.span), ..a }); // one trial a span
        self.backends.delivers(tgt, units);
        Decision::Forward { backend: tgt }
    }

    fn look_again(&mut self, now: f64, inv: RequestIndex, seconds: f64) -> Decision {
        self.invs.get_mut(&inv).expect("held").look = now + seconds;
        self.timers.ring(now + seconds, Bell::Inv(inv));
        Decision::Pending
    }

    fn answer(&mut self, now: f64, inv: RequestIndex, verdict: Decision) -> PolicyOutput {
        if matches!(verdict, Decision::Throttle { .. } | Decision::Error) {
            self.request_closed(now, inv);
        }
        PolicyOutput { decision: verdict, effects: std::mem::take(&mut self.errands) }
    }

    /// The client has left, or the time is up, or it has its answer: nothing more is owed.
    pub fn request_closed(&mut self, now: f64, inv: RequestIndex) {
        let Some(v) = self.invs.get_mut(&inv) else { return };
        if !v.closed && self.may.cancellation {
            let out = v.deliveries.iter().enumerate().filter(|(_, d)| d.ending.is_none());
            self.errands.cancellations.extend(out.map(|(i, _)| (inv, i)));
        }
        v.closed = true;
        if v.out() == 0 {
            let v = self.invs.remove(&inv).expect("held");
            self.accounts.entry(v.ask.customer).and_modify(|a| a.seeking.retain(|w| *w != inv));
            self.vacate(now, v.ask.customer, v.place);
        }
    }

    fn chance(&mut self) -> f64 {
        self.rng.as_mut().expect("seeded").gen_range(0.0..1.0)
    }

    // ======== quotas

    /// The customer's account, made if need be, and brought into the window of now.
    fn account(
        &mut self,
        now: f64,
        (customer, plan, of): (CustomerIndex, usize, InstanceRange),
    ) -> &mut Account {
        let (p, doors) = (&self.plans[plan], of.count.max(1) as f64);
        let (slice, ceiling) = (p.burst / doors / self.own, p.ceiling_slack / doors / 2.0 / self.own);
        let (used, at, bell, rate) = (now, now, f64::INFINITY, p.rate);
        let new = Account { plan, doors, of, rate, slice, ceiling, used, at, bell, ..Account::default() };
        let a = self.accounts.entry(customer).or_insert(new);
        a.enters((now / WINDOW) as u32, WINDOW);
        self.look_after(customer, now + IDLE);
        self.accounts.get_mut(&customer).expect("just made")
    }

    /// The quota's word: spend from the lease, lease anew, refuse when the count is full; none is yes.
    fn quota(&mut self, now: f64, inv: RequestIndex) -> Option<Decision> {
        let v = &self.invs[&inv];
        if v.paid {
            return None;
        }
        let (RequestAttributes { customer, units, absent_fraction: absent, .. }, past) =
            (v.ask, now >= v.counter_until);
        self.account(now, (customer, v.ask.plan, v.ask.instances));
        let a = self.accounts.get_mut(&customer).expect("just made");
        let (p, doors) = (&self.plans[a.plan], a.doors * self.own);
        let (even, most) = (p.rate / doors, p.burst / doors);
        a.rate = p.rate * (1.0 - absent); // those whom the count does not reach have their even slices of it
        a.slice = (a.slice + even * (now - a.used)).min(most);
        // The count vouches for what is leased. The rest has a share under a ceiling: a restart fills none.
        let part = |all: f64| ABOVE * all / doors;
        let (above, room) = (part(p.ceiling_rate - p.rate), part(p.ceiling_burst - p.burst));
        a.ceiling = (a.ceiling + above * (now - a.used)).min(room);
        let often = now - std::mem::replace(&mut a.used, now) < LAPSE;
        let capped = p.ceiling_rate > 0.0 && a.ceiling < units;
        // A young count grants the burst once more, the last one's may just be spent: it vouches for nothing.
        let (series, regained) = (a.series, a.rate * (now - f64::from(a.series) * WINDOW));
        let vouched = p.ceiling_rate <= 0.0 || p.rate > 0.0 && regained >= p.burst;
        if p.rate <= 0.0 || now < a.lapses && a.lease >= units {
            if !vouched && capped {
                return Some(throttle(&self.may, (units - a.ceiling) / above));
            }
            a.lease -= if p.rate > 0.0 { units } else { 0.0 };
            a.ceiling -= if vouched { 0.0 } else { units };
            return None;
        }
        let owed = a.settle + a.sliced;
        let room = |back: f64| a.seen.map_or(p.burst, |s| p.burst + back - (s + owed).max(back));
        let (rich, room) = (room(regained - a.rate * (now - a.at)) > p.burst / 2.0, room(regained));
        // What the slice regained a rich store did too, or one of which nothing else spends. It is told soon or never.
        a.sliced = if rich || self.store.silent { a.sliced.min(most - a.slice) } else { a.sliced };
        a.sliced = if often || self.store.silent { a.sliced } else { 0.0 };
        let leasing = a.calls.iter().any(|c| matches!(c.what, Errand::Lease { .. }));
        // In silence, or where rich, a full slice below what is asked goes into debt: small quotas.
        let fits = a.slice >= if rich || self.store.silent { units.min(most) } else { units };
        let store = &mut self.store;
        let saved = (store.pace * PACE_SPAN.0).max(PACE_SPAN.1);
        (store.calls, store.paced) = ((store.calls + store.pace * (now - store.paced)).min(saved), now);
        let need = units - a.unspent(now);
        if need > room && !leasing && !store.silent {
            return Some(throttle(&self.may, (need - room) / p.rate));
        }
        if store.passes(past, leasing, fits) {
            a.waiting.retain(|w| *w != inv);
            let (idle, short) = (a.calls.is_empty(), (units.min(most) - a.slice) / even);
            // Whom a crowded counter can't be asked about goes into debt, while the backends keep up.
            let trust = !store.silent && rich && now - self.all.full > PAUSE;
            let fits = (fits || trust && a.slice > -OWED * p.burst) && !capped;
            if fits {
                drift(&mut store.asked, store.silent, HARD.1); // a silent counter is not crowded
                a.slice -= units;
                a.sliced += units;
                a.ceiling -= units;
                self.look_after(customer, now + LAPSE);
            }
            if self.store.silent && now >= self.store.recall && idle && self.store.timeout > 0.0 {
                self.store.recall = now + RECALL;
                self.call(now, (customer, series), (0.0, 0.0), Errand::Return);
            } else if past && !self.store.silent && !idle {
                self.missed(now);
            }
            return if fits { None } else { Some(throttle(&self.may, short)) };
        }
        a.waiting.push(inv); // one call in flight serves all that wait for it
        if !leasing {
            let units = need.max(if rich && often { p.burst * BATCH } else { 0.0 });
            let others = STANDS * need * (1.0 / self.store.asked.max(0.1) - 1.0);
            let guess = if owed < WORTH { others } else { 0.0 };
            drift(&mut self.store.asked, true, HARD.1);
            (a.settle, a.sliced) = (0.0, 0.0);
            let lease = Errand::Lease { units, need, guess };
            self.call(now, (customer, series), (units + owed + guess, owed), lease);
        }
        Some(Decision::Pending)
    }

    /// The word of a cap on deliveries out at once: a place is leased on a count of its own; none is yes.
    fn place_of(&mut self, now: f64, inv: RequestIndex) -> Option<Decision> {
        let v = self.invs.get_mut(&inv).expect("held");
        v.paid = true;
        let (customer, past) = (v.ask.customer, now >= v.counter_until);
        let hold = self.times[v.ask.operation].half;
        let a = self.accounts.get_mut(&customer).expect("has an account");
        let (open, doors) = (self.plans[a.plan].max_in_flight as f64, a.doors * self.own);
        if open <= 0.0 {
            return None;
        }
        a.seeking.retain(|w| *w != inv);
        v.place = a.free.pop();
        if v.place.is_some() {
            return None;
        }
        // The even share of less than one place is one place for that part of the time.
        let fits = now >= a.own_again && (a.out as f64) < (open / doors).ceil();
        let asked = a.calls.iter().filter(|c| matches!(c.what, Errand::Place)).count();
        let full = now < a.full_until;
        if full || self.store.passes(past, asked > 0, fits) {
            if full || !fits {
                self.give_back(now, inv);
                return Some(throttle(&self.may, hold / open));
            }
            a.own_again = now + OWN * hold * (doors / open - 1.0).max(0.0);
            a.out += 1;
            v.place = Some(0);
            return None;
        }
        a.seeking.push(inv);
        if asked < a.seeking.len() {
            let series = PLACES.0 + (now / PLACES.1) as u32;
            self.call(now, (customer, series), (1.0, 0.0), Errand::Place);
        }
        Some(Decision::Pending)
    }

    /// What came of a call for a place, or of one that gave it back.
    fn placed(&mut self, now: f64, name: CounterKey, call: &Call, result: CounterResult) {
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        let a = self.accounts.get_mut(&name.customer).expect("has calls");
        let open = self.plans[a.plan].max_in_flight as f64;
        let (seeking, free) = (a.seeking.clone(), a.free.len());
        if matches!(call.what, Errand::Place) && result != CounterResult::NotApplied {
            a.out += 1;
            let fits = total.is_some_and(|t| t <= open);
            if total.is_some() && !fits {
                // Till then one of those that are out will have come back.
                a.full_until = now + self.times.iter().map(|t| t.half).fold(f64::INFINITY, f64::min) / open;
            }
            if fits && free < seeking.len() {
                a.free.push(name.series);
            } else {
                self.vacate(now, name.customer, Some(name.series));
            }
        }
        if total.is_none() {
            return self.in_vain(now, seeking);
        }
        self.heard(now);
        self.again.extend(seeking);
    }

    /// A place goes back: the count is told, unless it is silent.
    fn vacate(&mut self, now: f64, customer: CustomerIndex, place: Option<u32>) {
        let (Some(series), Some(a)) = (place, self.accounts.get_mut(&customer)) else { return };
        a.out = a.out.saturating_sub(1);
        if series > 0 && !self.store.silent {
            self.call(now, (customer, series), (-1.0, -1.0), Errand::Return);
        }
    }

    fn call(
        &mut self,
        now: f64,
        (customer, series): (CustomerIndex, u32),
        (add, paid): (f64, f64),
        what: Errand,
    ) {
        let calls = &mut self.accounts.get_mut(&customer).expect("has an account").calls;
        calls.push_back(Call { series, sent: now, add, paid, what });
        self.store.calls -= 1.0;
        let name = CounterKey { customer, series };
        self.errands.counter_calls.push(CounterCall { key: name, delta: add, lifetime: 1.5 * WINDOW });
    }

    /// An answered call: right the count where it lags or was lifted twice, keep what fits, return the rest.
    fn credit(&mut self, now: f64, name: CounterKey, call: &Call, total: f64) {
        self.heard(now);
        let a = self.accounts.get_mut(&name.customer).expect("has calls");
        let p = &self.plans[a.plan];
        a.slice += call.paid.max(0.0); // what the count was told of, the slice has back
        self.again.extend(a.waiting.drain(..));
        let (current, whose, took) = (a.series == call.series, (name.customer, call.series), now - call.sent);
        let quick = &mut self.store.quick;
        *quick = if *quick > 0.0 { (*quick * (1.0 + DRIFT)).min(took) } else { took };
        let regained = a.rate * (now - f64::from(call.series) * WINDOW).max(0.0);
        let before = total - call.add;
        // It must have stood at what the store regained at least; new or forgotten, at what we last saw.
        let (lost, small) = (before < WORTH, p.burst * SPILL);
        let level = regained.max(a.seen.filter(|_| current && lost).unwrap_or(0.0));
        let lag = (level - before - call.paid - call.guess()).max(0.0);
        let (back, lift) = match call.what {
            Errand::Lease { units, need, guess } => {
                let over = (total + lag - p.burst - regained).max(0.0);
                let part = units - (over - guess).max(0.0);
                a.leases(now, if part < need { 0.0 } else { part }, LAPSE);
                // A part too small for the invocation would be of use to nobody, and what is beyond full is past.
                let none = (units + guess).max(over).min(call.add);
                (if part < need { none } else { units - part + guess.min(over) }, lag)
            }
            Errand::Lift { level } => (call.add - (level - before).clamp(0.0, call.add), 0.0),
            Errand::Return | Errand::Place => (0.0, 0.0),
        };
        a.settle -= if back > WORTH { 0.0 } else { back };
        // More than full and owed is others' double lift, soon taken back: believed, it shut a customer out.
        let seen = (total + lift - back).min(p.burst * (1.0 + OWED) + regained);
        (a.seen, a.at) = if current { (Some(seen), now) } else { (a.seen, a.at) };
        if current && p.burst + regained - seen < SAY * p.burst && now > a.told + WORDS {
            a.told = now; // the customer's other doors hear it
            let (word, doors) = (
                GossipMessage::CounterTotal { key: name, plan: a.plan, instances: a.of, total: seen },
                a.doors,
            );
            self.tell(now, word, doors);
        }
        if lift > small || lift > WORTH && lost {
            self.call(now, whose, (lift, 0.0), Errand::Lift { level: level + call.add });
        }
        if back > WORTH {
            self.call(now, whose, (-back, -back), Errand::Return);
        }
        self.look_after(name.customer, now + LAPSE);
    }

    /// Says it to so many doors, as far as they can take words in.
    fn tell(&mut self, now: f64, word: GossipMessage, doors: f64) {
        if self.words.allows(now, doors, TELLS, self.doors) {
            self.errands.gossip.push(word);
        }
    }

    /// Units of an invocation that was never sent on serve the customer's next.
    fn give_back(&mut self, now: f64, inv: RequestIndex) {
        let v = self.invs.get_mut(&inv).expect("held");
        let (ask, paid) = (v.ask, std::mem::take(&mut v.paid) && v.deliveries.is_empty());
        let paid = paid && self.plans[ask.plan].rate > 0.0;
        if let Some(a) = self.accounts.get_mut(&ask.customer).filter(|_| paid) {
            a.leases(now, ask.units, LAPSE);
            self.look_after(ask.customer, now + LAPSE);
        }
    }

    /// One bell for a customer, at the earliest time asked for.
    fn look_after(&mut self, customer: CustomerIndex, at: f64) {
        if let Some(a) = self.accounts.get_mut(&customer).filter(|a| at < a.bell) {
            a.bell = at;
            self.timers.ring(at, Bell::Customer(customer));
        }
    }

    /// A lease that lapsed goes back to the count; a customer not seen for long is dropped.
    fn lapse(&mut self, now: f64, customer: CustomerIndex) {
        let Some(a) = self.accounts.get_mut(&customer).filter(|a| now >= a.bell) else { return };
        a.bell = f64::INFINITY;
        let (lapsed, quiet, series) = (now >= a.lapses, a.calls.is_empty(), a.series);
        let next = if lapsed { (a.used + IDLE).max(now + LAPSE) } else { a.lapses };
        a.settle -= if lapsed { std::mem::take(&mut a.lease) } else { 0.0 };
        let add = a.settle + a.sliced;
        if lapsed && quiet && add.abs() > WORTH && !self.store.passes(false, false, true) {
            (a.settle, a.sliced) = (0.0, 0.0);
            self.call(now, (customer, series), (add, add), Errand::Return);
        } else if now >= a.used + IDLE && quiet && !self.invs.values().any(|v| v.ask.customer == customer) {
            self.accounts.remove(&customer);
            self.idle.push(customer);
        }
        self.look_after(customer, next);
    }

    fn heard(&mut self, now: f64) {
        if self.store.silent {
            let gap = now - self.store.heard;
            self.errands.log.push(format!("counter answers again after {gap:.2} s; leases resume"));
            self.store.pace = (self.store.pace / 4.0).max(PACE.0 / self.doors); // no herd back to it
        }
        (self.store.silent, self.store.misses, self.store.heard) = (false, 0, now);
        let more = if self.store.cut > 0.0 { PACE_STEP.1 } else { PACE_STEP.0 };
        self.store.pace += if self.store.passes(false, false, true) { more } else { 0.0 };
    }

    /// A call was missed: those that wait for it do so no longer.
    fn in_vain(&mut self, now: f64, waiting: Vec<RequestIndex>) {
        self.missed(now);
        self.invs.iter_mut().filter(|v| waiting.contains(v.0)).for_each(|(_, v)| v.counter_until = now);
        self.again.extend(waiting);
    }

    fn missed(&mut self, now: f64) {
        let store = &mut self.store;
        store.misses += 1;
        let pace = (store.pace - PACE_STEP.2.min(store.pace * PACE_STEP.3)).max(PACE.0 / self.doors);
        let crowd = now > store.cut + store.timeout; // calls missed together tell of one
        (store.pace, store.cut) = if crowd { (pace, now) } else { (store.pace, store.cut) };
        let (n, gap) = (store.misses, now - store.heard);
        if !store.silent && n >= MISSES && gap > PACE_SPAN.0 {
            (store.silent, store.recall) = (true, now + RECALL);
            self.errands.log.push(format!("counter silent: {n} calls missed in {gap:.2} s; even slices"));
        }
    }

    // ======== backends

    /// Two drawn at random among those in good standing; the one our own counts favour wins.
    fn pick(
        &mut self,
        now: f64,
        (ask, luck): (&RequestAttributes, f64),
        tried: &[BackendIndex],
        kin: Kin,
    ) -> Option<BackendIndex> {
        let key = |b: &Backend, g| if g == KeyScope::Zone { b.is.zone } else { b.is.cell };
        let kin = kin.and_then(|(g, t)| self.backends.get(t).map(|b| (g, key(b, g))));
        let easy = self.kinds(ask).into_iter().all(|k| self.hard[k] <= HARD.0);
        let drawn = (kin.is_none() && easy && self.backends.len() > SCANNED).then(|| self.draw(now));
        let ready =
            || self.backends.values().filter(|b| b.ready() && kin.is_none_or(|(g, k)| key(b, g) == k));
        let high = self.times[ask.operation].high;
        // Where answers come as fast as ever, what says nothing hangs; else it may be slow.
        let slow = self.times[ask.operation].half > SLOWED * self.times[ask.operation].base;
        let counts = |b: &&Backend| b.aside.is_none() && (slow || !self.quiet(now, b, high));
        let busy = self.backends.busy().filter(|b| b.ready() && kin.is_none_or(|(g, k)| key(b, g) == k));
        let all_out: f64 = busy.filter(counts).map(|b| b.owes).sum();
        // What the list tells of starts and drains lowers it at once: answers tell it when it is too late.
        let totals = match &drawn {
            Some(_) => self.backends.totals(now, &self.rules),
            None => self.backends.totals_of(now, &self.rules, ready()),
        };
        let limit = self.all.limit * totals.capacity / totals.listed.max(totals.capacity);
        // An operation may fill of it what it is billed for its work against the dearest: that goes first.
        let worth = |op: usize| self.operations[op].billed_value / self.times[op].base;
        let dearest = (0..self.operations.len()).map(worth).fold(0.0, f64::max);
        let limit = limit * (worth(ask.operation) / dearest).min(1.0); // all of it where no value is told
        self.all.near = all_out * 2.0 > limit;
        if all_out >= limit.max(totals.ready as f64 / self.doors).max(1.0) {
            self.all.full = now;
            return None; // answers slow down all over: no more out than come back in time
        }
        let look =
            |among: &mut dyn Iterator<Item = &Backend>| self.candidates(now, (ask, luck), tried, among);
        let of = |tgts: &[BackendIndex]| look(&mut tgts.iter().filter_map(|t| self.backends.get(*t)));
        let connected = drawn.as_ref().map(|d| of(&d.connected).good);
        let few = drawn.map(|d| of(&d.ready)).filter(|few| !few.good.is_empty());
        let Candidates { mut good, poor, pressed } = few.unwrap_or_else(|| look(&mut ready()));
        // Where connections, or good answers to the operation or the plan, are hard to get: who gives them.
        for kind in self.kinds(ask).into_iter().filter(|k| self.hard[*k] > HARD.0) {
            let streak =
                |t: &BackendIndex| self.backends[t].streak(kind, now - self.may.connection_idle_timeout);
            let best = good.iter().map(streak).max().unwrap_or(0).min(STREAK);
            good.retain(|t| streak(t) >= best);
        }
        if good.is_empty() && !pressed {
            // All are in trouble: those that we have not tried yet, then any.
            let new: Vec<BackendIndex> = poor.iter().copied().filter(|t| !tried.contains(t)).collect();
            good = if new.is_empty() { poor } else { new };
        }
        let due = |b: &&Backend| (now - b.unused) * b.share(now, &self.rules) > SOON * luck;
        let soon = good.iter().map(|t| &self.backends[t]).find(due).map(|b| b.is.backend);
        let i = (!good.is_empty()).then(|| (self.chance() * good.len() as f64) as usize)?;
        let u = self.chance();
        let j = (i + (u * (good.len().max(2) - 1) as f64) as usize + 1) % good.len();
        // The second is one with an idle connection, if any: a new one costs both sides a handshake.
        let open =
            |b: &Backend| !slow && b.high <= 1.0 && b.rests(now - self.may.connection_idle_timeout / 2.0);
        let near = connected.as_ref().unwrap_or(&good).iter().copied();
        let opens: Vec<BackendIndex> = near.filter(|t| open(&self.backends[t])).collect();
        let other = opens.get((u * opens.len() as f64) as usize).unwrap_or(&good[j]);
        // The units we have out there, against its size, its slowness beside its fellows and its warmth.
        let dear = |b: &Backend| FAR.powi(i32::from(b.far(self.may.home_zone)) + i32::from(!open(b)));
        let slow = |b: &Backend| b.high.clamp(0.5, 5.0);
        let load = |b: &Backend| (b.owes + 1.0) * slow(b) * dear(b) / b.is.weight / b.share(now, &self.rules);
        let (x, y) = (&self.backends[&good[i]], &self.backends[other]);
        soon.or(Some(if load(y) < load(x) { y.is.backend } else { x.is.backend }))
    }

    /// Some of the backends that may get deliveries, and some of those that we are connected with.
    fn draw(&mut self, now: f64) -> Drawn {
        let idle_since = now - self.may.connection_idle_timeout / 2.0;
        let rng = self.rng.as_mut().expect("seeded");
        self.backends.draw(now, rng, DRAWN, idle_since, &self.rules)
    }

    /// Which of these are open to an invocation.
    fn candidates(
        &self,
        now: f64,
        (ask, luck): (&RequestAttributes, f64),
        tried: &[BackendIndex],
        among: &mut dyn Iterator<Item = &Backend>,
    ) -> Candidates {
        let Operation { latency_objective, idempotency: effect, .. } = self.operations[ask.operation];
        let (high, span) = (self.times[ask.operation].high, PRESSED * latency_objective);
        let Candidates { mut good, mut poor, mut pressed } = Candidates::default();
        for b in among {
            // Cold: open to its share of the invocations. All doors doing so, that is under what it can do.
            if b.share(now, &self.rules) < luck {
                continue;
            }
            let waits = b.aside.is_some_and(|a| now < a.until || effect != Idempotency::Idempotent);
            if waits || tried.contains(&b.is.backend) || self.quiet(now, b, high) {
                poor.push(b.is.backend);
            } else if b.owes >= (b.rate(now, RATE_SPAN) * span).max(1.0) {
                pressed = true; // what is out there takes enough of the objective, at the pace of its answers
            } else {
                good.push(b.is.backend);
            }
        }
        Candidates { good, poor, pressed }
    }

    /// What a delivery can prove of a backend: that it connects, serves the operation, serves the plan.
    fn kinds(&self, ask: &RequestAttributes) -> [usize; 3] {
        [0, 1 + ask.operation, 1 + self.operations.len() + ask.plan]
    }

    /// It holds our deliveries and has said nothing for longer than they can explain, more while it is cold.
    fn quiet(&self, now: f64, b: &Backend, high: f64) -> bool {
        let (out, high) = (b.out as f64, high / b.share(now, &self.rules));
        b.out > 0 && now - b.quiet_since > high * b.owes / out * (1.0 + 1.0 / out)
    }

    /// What an outcome says of its backend.
    fn judge(
        &mut self,
        now: f64,
        ask: &RequestAttributes,
        (sent, left, streams): (f64, bool, bool),
        o: &AttemptOutcome,
    ) {
        let (op, units, kinds) = (ask.operation, ask.units.max(1.0), self.kinds(ask));
        let Times { high, half, base } = &mut self.times[op];
        let slow = o.duration > SLOWED * *base;
        let ended = if streams { 0.0 } else { units };
        let Some(b) = self.backends.lighter(o.backend, ended) else { return };
        if o.result == AttemptResult::NotSent
            || left && o.result == AttemptResult::Cancelled && o.duration < *high * units
        {
            return; // a client that left early says nothing of the backend
        }
        let says = match o.result {
            AttemptResult::Succeeded => [Some(true); 3],
            AttemptResult::NotConnected => [Some(false), None, None],
            AttemptResult::Rejected => [Some(true), None, Some(false)],
            _ => [Some(true), Some(false), None],
        };
        for (kind, well) in kinds.into_iter().zip(says).filter_map(|(kind, well)| Some((kind, well?))) {
            b.proven[kind] = if well { (now, b.proven[kind].1 + 1) } else { (now, 0) };
            drift(&mut self.hard[kind], !well, HARD.1);
        }
        if o.result == AttemptResult::Succeeded || slow && b.aside.is_none() && !o.result.never_ran() {
            // What a backend says of its load tells work that waits from work that is long.
            let full = o.load_report.is_some_and(|r| full(&r));
            let less = if full { CUT * self.all.limit } else { 0.0 };
            let more = if self.all.near && !full { LIMIT.1 } else { 0.0 };
            self.all.limit = (self.all.limit + if slow { -less.max(LIMIT.1) } else { more }).max(1.0);
        }
        match o.result {
            AttemptResult::Succeeded => {
                toward(high, o.duration / units, HIGH, STEP.0);
                toward(half, o.duration, 0.5, STEP.0);
                *base = (*base * (1.0 + DRIFT)).min(*half);
                toward(&mut b.high, o.duration / units / *high, HIGH, STEP.1);
                b.good = b.good * ((b.good_at - now) / RATE_SPAN).exp() + units;
                (b.good_at, b.quiet_since, b.fails) = (now, now, 0);
                if b.aside.take().is_some() {
                    self.errands
                        .log
                        .push(format!("backend {} back: answered in {:.3} s", o.backend, o.duration));
                    if now > b.praised + WORDS {
                        b.praised = now;
                        self.tell(now, GossipMessage::BackendRecovered { backend: o.backend }, self.doors);
                    }
                }
            }
            AttemptResult::Rejected => b.quiet_since = now,
            _ => {
                // No answer tells little if others were answered since it was sent.
                let silent = matches!(o.result, AttemptResult::TimedOut | AttemptResult::Cancelled);
                b.fails += u32::from(!silent || b.good_at < sent);
                // Only what was sent since it was set aside says more than we knew.
                if b.fails >= 3 && b.aside.is_none_or(|a| sent > a.since) {
                    let span = b.aside.map_or(ASIDE.0, |a| (a.span * 2.0).min(ASIDE.1));
                    b.aside = Some(Aside { since: now, until: now + span, span });
                    let line = format!("{} bad in a row, last {:?}", b.fails, o.result);
                    self.errands.log.push(format!("backend {} aside for {span} s: {line}", o.backend));
                }
            }
        }
    }
}

/// Whether work waits at a backend, as far as it says so.
fn full(r: &LoadReport) -> bool {
    let taken = r
        .in_flight
        .zip(r.throughput)
        .zip(r.service_time)
        .map(|((held, rate), own)| held > FULL.1 * own * rate);
    let waits = taken.or(r.queued.zip(r.in_flight).map(|(waits, held)| waits * FULL.1 > held));
    waits.or(r.cpu_utilization.map(|busy| busy > FULL.0)).unwrap_or(false)
}

fn throttle(may: &AttemptSettings, seconds: f64) -> Decision {
    Decision::Throttle { retry_after: may.max_retry_after.map(|most| seconds.max(0.05).min(most)) }
}
