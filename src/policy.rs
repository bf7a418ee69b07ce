//! All decisions of one front door. Interface: `types.rs`; what it remembers: `state.rs`, `backends.rs`. Facts enter by what
//! returns nothing; three are asked, errands go with each: `place` (where, not yet, never), `after`, `wait`. Quota: a customer's
//! count on the counter service holds the units taken since its window began. The store it stands for regains `rate` a second, so
//! the allowance is the burst plus that, and a count that lags behind what the store regained is lifted to it, as is a forgotten one.
use crate::backends::{BackendSet, Sample};
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

impl CounterHealth {
    /// It is not asked: silent, waited for, or short of calls (sooner for what could do without: `spares`).
    fn should_skip(&self, waited: bool, asked: bool, spares: bool) -> bool {
        let least = if spares { (self.pace * PACE_SPAN.0 / 2.0).max(1.0) } else { 1.0 };
        self.unresponsive || waited || !asked && self.call_tokens < least
    }
}

#[derive(Default)]
pub struct PolicyEngine {
    rng: Option<ChaCha8Rng>,
    instances: f64,
    local_processes: f64, // processes of this door
    gossip_budget: GossipBudget,
    operations: Vec<Operation>,
    plans: Vec<Plan>,
    slow_start: SlowStart,
    attempt_settings: AttemptSettings,
    requests: BTreeMap<RequestIndex, PendingRequest>,
    accounts: BTreeMap<CustomerIndex, CustomerAccount>,
    backends: BackendSet,
    latencies: Vec<LatencyEstimate>, // by operation, over all backends
    concurrency: ConcurrencyLimit,
    failure_rates: Vec<f64>, // shares of deliveries that found no connection, no answer by operation, no room by plan
    retry_tokens: f64,
    counter: CounterHealth,
    last_call_at: f64,
    reconsider: BTreeSet<RequestIndex>,
    evicted_customers: Vec<CustomerIndex>,
    timers: Timers,
    effects: Effects,
}

impl PolicyEngine {
    pub fn new(settings: EngineSettings) -> PolicyEngine {
        let EngineSettings { instances, operations, plans, counter, .. } = settings;
        let pace = PACE.1 / instances;
        let store = CounterHealth {
            pace,
            call_tokens: pace * PACE_SPAN.0,
            timeout: counter.map_or(0.0, |c| c.timeout),
            unresponsive: counter.is_none(),
            consulted_fraction: 1.0,
            ..CounterHealth::default()
        };
        let mut timers = Timers::default();
        if settings.polls_endpoints {
            timers.schedule(0.0, TimerKind::FetchEndpoints);
        }
        PolicyEngine {
            rng: Some(ChaCha8Rng::seed_from_u64(settings.seed)),
            instances,
            local_processes: 1.0,
            gossip_budget: GossipBudget {
                intake_rate: settings.gossip_intake_rate,
                ..GossipBudget::default()
            },
            latencies: operations
                .iter()
                .map(|o| LatencyEstimate::initial(o.latency_objective / 4.0))
                .collect(),
            failure_rates: vec![0.0; 1 + operations.len() + plans.len()],
            operations,
            plans,
            slow_start: settings.slow_start,
            attempt_settings: settings.attempts,
            retry_tokens: REPEATS.1 / 2.0,
            counter: store,
            last_call_at: f64::INFINITY,
            timers,
            ..PolicyEngine::default()
        }
    }

    // ======== facts

    /// The list, or what changed in it; `whole` replaces it, so what it lacks is gone.
    pub fn update_endpoints(&mut self, now: f64, whole: bool, entries: &[Endpoint]) {
        if self.backends.is_empty() {
            let first = (LIMIT.0 * entries.len() as f64 / self.instances).max(1.0); // the first sign of time
            (self.concurrency.limit, self.counter.last_answer_at, self.counter.tokens_updated_at) =
                (first, now, now);
        }
        self.backends.update_endpoints(now, whole, entries, self.failure_rates.len());
    }

    /// An operator leaves a backend out since then, or uses it again: what we knew of it is past.
    pub fn set_manual_ejection(&mut self, now: f64, tgt: BackendIndex, out: Option<f64>) {
        self.backends.set_maintenance(now, tgt, out);
    }

    /// How many listed backends get nothing new now: draining, out by hand or set aside.
    pub fn unavailable_backends(&self) -> usize {
        self.backends.values().filter(|b| b.is_unavailable()).count()
    }

    /// Another process of this door is there, or no longer: each has half of what is the door's own.
    pub fn set_peer_process(&mut self, two: bool) {
        self.local_processes = if two { 2.0 } else { 1.0 };
    }

    /// A gone backend that nothing held has to do with any more: its index may mean another one from now on.
    pub fn forget_backend(&mut self, tgt: BackendIndex) {
        self.backends.forget(tgt);
    }

    /// The list could not be had, or broke off: it is asked for again, not by all doors at once.
    pub fn endpoint_fetch_failed(&mut self, now: f64) {
        let at = now + LIST_AGAIN * (0.5 + self.random_fraction());
        self.timers.schedule(at, TimerKind::FetchEndpoints);
    }

    /// A peer had a backend aside and has an answer since, or has seen what a customer's count stands at.
    pub fn gossip_received(&mut self, now: f64, word: GossipMessage) {
        match word {
            GossipMessage::BackendRecovered { backend: tgt } => {
                let Some(b) = self.backends.get_mut(tgt) else { return };
                b.recovery_gossiped_at = now;
                // The word may be older than our trouble: half of the span comes first.
                let soon = b.ejection.filter(|a| a.until - now < a.duration / 2.0);
                b.ejection = soon.map(|a| Ejection { until: now, ..a }).or(b.ejection);
            }
            GossipMessage::CounterTotal { key: name, plan, instances: of, total } => {
                let a = self.account(now, (name.customer, plan, of));
                if name.series == a.series {
                    (a.observed_total, a.gossiped_at, a.observed_at) = (Some(total), now, now);
                }
            }
        }
    }

    /// A stream has begun: the invocation owes nothing by the clock, and its backend has done its work.
    pub fn response_started(&mut self, now: f64, inv: RequestIndex) {
        let Some((tgt, units)) = self.requests.get_mut(&inv).and_then(PendingRequest::start_streaming) else {
            return;
        };
        self.backends.remove_attempt(tgt, units).into_iter().for_each(|b| b.last_progress_at = now);
    }

    /// What came of a counter call.
    pub fn counter_answered(&mut self, now: f64, name: CounterKey, result: CounterResult) {
        let Some(a) = self.accounts.get_mut(&name.customer) else { return };
        let Some(i) = a.calls.iter().position(|c| c.series == name.series) else { return };
        let call = a.calls.remove(i).expect("position found");
        if name.series >= PLACES.0 {
            return self.permit_answered(now, name, &call, result);
        }
        if let CounterResult::Total(total) = result {
            return self.lease_answered(now, name, &call, total);
        }
        // Unanswered may have been added: what it paid is taken as paid, so that nothing is added twice.
        let back = if result == CounterResult::AppliedTotalUnknown { call.delta } else { 0.0 }; // added unread: it goes back
        a.unsettled +=
            if matches!(result, CounterResult::Unanswered) { 0.0 } else { call.debt_repaid } - back;
        let waiting = std::mem::take(&mut a.lease_waiters);
        self.stop_waiting(now, waiting);
    }

    // ======== the three questions

    /// Where to send this invocation, or not yet, or never. Asked first when it comes, then as `wait` says.
    pub fn route(&mut self, now: f64, inv: RequestIndex, ask: &RequestAttributes) -> PolicyOutput {
        self.detect_own_stall(now);
        if !self.requests.contains_key(&inv) {
            let most = self.counter.timeout.min((ask.deadline - now) / 4.0);
            let least = DEADLINE.0 * self.operations[ask.operation].latency_objective;
            let counter_until = now + most.min(least.max(DEADLINE.1 * self.counter.fastest_answer));
            let (ask, came, luck, last) = (*ask, now, self.random_fraction(), ask.deadline - ANSWER_BY);
            self.requests.insert(
                inv,
                PendingRequest {
                    attributes: ask,
                    arrived_at: came,
                    final_check_at: last,
                    slow_start_draw: luck,
                    counter_deadline: counter_until,
                    ..Default::default()
                },
            );
            self.timers.schedule(counter_until, TimerKind::Request(inv));
            self.timers.schedule(last, TimerKind::Request(inv));
        }
        let v = self.requests.get_mut(&inv).expect("held"); // its time may have been cut short since
        (v.attributes.deadline, v.counter_deadline) = (ask.deadline, v.counter_deadline.min(ask.deadline));
        let verdict = self.decide(now, inv);
        self.output(now, inv, verdict)
    }

    /// What to do after this outcome.
    pub fn attempt_ended(&mut self, now: f64, inv: RequestIndex, o: &AttemptOutcome) -> PolicyOutput {
        self.detect_own_stall(now);
        let Some(v) = self.requests.get_mut(&inv) else { return self.output(now, inv, Decision::Pending) };
        let (ask, sent) = (v.attributes, v.attempts[o.attempt].sent_at);
        v.attempts[o.attempt].result = Some(o.result);
        let (out, left, streams, closed) =
            (v.in_flight(), v.closed, v.streaming, v.closed || o.request_closed);
        if let Some((a, units)) = self.accounts.get_mut(&ask.customer).zip(o.billed_units) {
            a.unsettled += units - ask.units;
            self.schedule_customer(ask.customer, now + LAPSE);
        }
        self.record_outcome(now, &ask, (sent, left, streams), o);
        if closed {
            self.request_closed(now, inv);
        }
        let verdict = if closed || out > 0 { Decision::Pending } else { self.decide(now, inv) };
        self.output(now, inv, verdict)
    }

    /// How long to wait, and whom to ask about again now.
    pub fn poll(&mut self, now: f64) -> PollOutput {
        while let Some(bell) = self.timers.pop_due(now, &self.requests) {
            match bell {
                TimerKind::Request(inv) => drop(self.reconsider.insert(inv)),
                TimerKind::Customer(c) => self.customer_timer_fired(now, c),
                TimerKind::FetchEndpoints => self.effects.fetch_endpoints = true,
            }
        }
        self.reconsider.retain(|inv| self.requests.get(inv).is_some_and(|v| !v.closed));
        let again = std::mem::take(&mut self.reconsider).into_iter().collect();
        let seconds = self.timers.next().map(|at| at - now);
        let (idle, errands) =
            (std::mem::take(&mut self.evicted_customers), std::mem::take(&mut self.effects));
        PollOutput { reconsider: again, evicted_customers: idle, next_poll_in: seconds, effects: errands }
    }

    /// The door itself stood still: the silence meanwhile is not its backends'.
    fn detect_own_stall(&mut self, now: f64) {
        let late = self.timers.next().map_or(0.0, |at| now - at);
        if now > self.last_call_at && late > STALL {
            self.backends.values_mut().for_each(|b| (b.last_progress_at, b.answered_at) = (now, now));
            self.effects.log.push(format!("stood still for {late:.2} s"));
        }
        self.last_call_at = now;
    }

    // ======== the course of one invocation

    /// Quota first; then the next delivery, as far as the operation allows one.
    fn decide(&mut self, now: f64, inv: RequestIndex) -> Decision {
        if !self.requests[&inv].admitted {
            if let Some(no) = self.take_units(now, inv).or_else(|| self.acquire_permit(now, inv)) {
                return no;
            }
            self.requests.get_mut(&inv).expect("held").admitted = true;
        }
        let v = &self.requests[&inv];
        let (ask, says, came, luck) = (v.attributes, v.attributes.limits, v.arrived_at, v.slow_start_draw);
        let Operation { latency_objective, idempotency: effect, .. } = self.operations[ask.operation];
        let (objective, most) = (
            latency_objective.min(says.latency_objective),
            self.attempt_settings.max_attempts.min(says.max_attempts),
        );
        let (out, tries, left) = (v.in_flight(), v.attempts.len(), ask.deadline - now);
        let (units, high) = (ask.units.max(1.0), self.latencies[ask.operation].p95 * ask.units.max(1.0));
        let may_have = |d: &&Attempt| !d.result.is_some_and(AttemptResult::never_ran);
        let ran = v.attempts.iter().find(may_have).map(|d| (d.backend, d.sent_at));
        let (may_repeat, bound) = match (ran, effect) {
            (Some((tgt, sent)), Idempotency::Keyed { scope: group, window }) => {
                (now < sent + window.min(says.retry_window), (group != KeyScope::All).then_some((group, tgt)))
            }
            (Some(_), Idempotency::NonIdempotent) => (false, None),
            (ran, _) => (ran.is_none_or(|(_, sent)| now < sent + says.retry_window), None),
        };
        let (may_throttle, late) =
            (ran.is_none() || effect == Idempotency::Idempotent, now - came > objective);
        let spent = tries >= most || tries > 0 && (late || ran.is_some() && self.retry_tokens < 1.0);
        if out > 0 {
            // A delivery is doubted when its backend is quiet, or when its answer is long overdue.
            let i = v.attempts.iter().rposition(|d| d.result.is_none()).expect("one is out");
            if now < v.next_check_at
                || effect != Idempotency::Idempotent
                || late
                || tries >= most
                || !may_repeat
            {
                return Decision::Pending;
            }
            let b = &self.backends[&v.attempts[i].backend];
            let quiet = self.is_unresponsive(now, b, self.latencies[ask.operation].p95);
            let doubtful =
                (DOUBT * high / b.capacity_fraction(now, &self.slow_start)).min(says.attempt_timeout);
            if self.retry_tokens < 1.0 || !quiet && now - v.attempts[i].sent_at <= doubtful {
                return self.check_again_in(now, inv, (high / 2.0).min(says.attempt_timeout / 4.0));
            }
            if !(self.attempt_settings.hedging && says.hedging) {
                self.effects.cancellations.extend(self.attempt_settings.cancellation.then_some((inv, i)));
                self.requests.get_mut(&inv).expect("held").next_check_at = f64::INFINITY;
                return Decision::Pending;
            }
        } else if left < 2.0 * ANSWER_BY || !may_repeat || spent {
            return if may_throttle { throttle(&self.attempt_settings, 1.0) } else { Decision::Error };
        }
        let tried: Vec<BackendIndex> = v.attempts.iter().map(|d| d.backend).collect();
        let Some(tgt) = self.pick_backend(now, (&ask, luck), &tried, bound) else {
            if out == 0 && now - came > objective / 4.0 {
                self.refund_units(now, inv);
                return if may_throttle {
                    throttle(&self.attempt_settings, objective)
                } else {
                    Decision::Error
                };
            }
            return self.check_again_in(now, inv, objective / 50.0);
        };
        self.retry_tokens = (self.retry_tokens + REPEATS.0 - f64::from(ran.is_some())).min(REPEATS.1);
        self.check_again_in(now, inv, high.min(says.attempt_timeout));
        self.requests.get_mut(&inv).expect("held").attempts.push(Attempt {
            backend: tgt,
            sent_at: now,
            result: None,
        });
        let b = self.backends.get_mut(tgt).expect("picked");
        (b.last_progress_at, b.unused_since) =
            (if b.in_flight == 0 { now } else { b.last_progress_at }, f64::INFINITY);
        b.ejection = b.ejection.map(|a| Ejection { until: a.until.max(now + a.duration), ..a }); // one trial a span
        self.backends.add_attempt(tgt, units);
        Decision::Forward { backend: tgt }
    }

    fn check_again_in(&mut self, now: f64, inv: RequestIndex, seconds: f64) -> Decision {
        self.requests.get_mut(&inv).expect("held").next_check_at = now + seconds;
        self.timers.schedule(now + seconds, TimerKind::Request(inv));
        Decision::Pending
    }

    fn output(&mut self, now: f64, inv: RequestIndex, verdict: Decision) -> PolicyOutput {
        if matches!(verdict, Decision::Throttle { .. } | Decision::Error) {
            self.request_closed(now, inv);
        }
        PolicyOutput { decision: verdict, effects: std::mem::take(&mut self.effects) }
    }

    /// The client has left, or the time is up, or it has its answer: nothing more is owed.
    pub fn request_closed(&mut self, now: f64, inv: RequestIndex) {
        let Some(v) = self.requests.get_mut(&inv) else { return };
        if !v.closed && self.attempt_settings.cancellation {
            let out = v.attempts.iter().enumerate().filter(|(_, d)| d.result.is_none());
            self.effects.cancellations.extend(out.map(|(i, _)| (inv, i)));
        }
        v.closed = true;
        if v.in_flight() == 0 {
            let v = self.requests.remove(&inv).expect("held");
            self.accounts.entry(v.attributes.customer).and_modify(|a| a.permit_waiters.retain(|w| *w != inv));
            self.release_permit(now, v.attributes.customer, v.permit);
        }
    }

    fn random_fraction(&mut self) -> f64 {
        self.rng.as_mut().expect("seeded").gen_range(0.0..1.0)
    }

    // ======== quotas

    /// The customer's account, made if need be, and brought into the window of now.
    fn account(
        &mut self,
        now: f64,
        (customer, plan, of): (CustomerIndex, usize, InstanceRange),
    ) -> &mut CustomerAccount {
        let (p, doors) = (&self.plans[plan], of.count.max(1) as f64);
        let (slice, ceiling) =
            (p.burst / doors / self.local_processes, p.ceiling_slack / doors / 2.0 / self.local_processes);
        let (used, at, bell, rate) = (now, now, f64::INFINITY, p.rate);
        let new = CustomerAccount {
            plan,
            instance_count: doors,
            instances: of,
            refill_rate: rate,
            even_share: slice,
            ceiling_tokens: ceiling,
            last_used_at: used,
            observed_at: at,
            timer_at: bell,
            ..CustomerAccount::default()
        };
        let a = self.accounts.entry(customer).or_insert(new);
        a.enter_window((now / WINDOW) as u32, WINDOW);
        self.schedule_customer(customer, now + IDLE);
        self.accounts.get_mut(&customer).expect("just made")
    }

    /// The quota's word: spend from the lease, lease anew, refuse when the count is full; none is yes.
    fn take_units(&mut self, now: f64, inv: RequestIndex) -> Option<Decision> {
        let v = &self.requests[&inv];
        if v.units_granted {
            return None;
        }
        let (RequestAttributes { customer, units, absent_fraction: absent, .. }, past) =
            (v.attributes, now >= v.counter_deadline);
        self.account(now, (customer, v.attributes.plan, v.attributes.instances));
        let a = self.accounts.get_mut(&customer).expect("just made");
        let (p, doors) = (&self.plans[a.plan], a.instance_count * self.local_processes);
        let (even, most) = (p.rate / doors, p.burst / doors);
        a.refill_rate = p.rate * (1.0 - absent); // those whom the count does not reach have their even slices of it
        a.even_share = (a.even_share + even * (now - a.last_used_at)).min(most);
        // The count vouches for what is leased. The rest has a share under a ceiling: a restart fills none.
        let part = |all: f64| ABOVE * all / doors;
        let (above, room) = (part(p.ceiling_rate - p.rate), part(p.ceiling_burst - p.burst));
        a.ceiling_tokens = (a.ceiling_tokens + above * (now - a.last_used_at)).min(room);
        let often = now - std::mem::replace(&mut a.last_used_at, now) < LAPSE;
        let capped = p.ceiling_rate > 0.0 && a.ceiling_tokens < units;
        // A young count grants the burst once more, the last one's may just be spent: it vouches for nothing.
        let (series, regained) = (a.series, a.refill_rate * (now - f64::from(a.series) * WINDOW));
        let vouched = p.ceiling_rate <= 0.0 || p.rate > 0.0 && regained >= p.burst;
        if p.rate <= 0.0 || now < a.lease_expires_at && a.leased >= units {
            if !vouched && capped {
                return Some(throttle(&self.attempt_settings, (units - a.ceiling_tokens) / above));
            }
            a.leased -= if p.rate > 0.0 { units } else { 0.0 };
            a.ceiling_tokens -= if vouched { 0.0 } else { units };
            return None;
        }
        let owed = a.unsettled + a.unreported;
        let room = |back: f64| a.observed_total.map_or(p.burst, |s| p.burst + back - (s + owed).max(back));
        let (rich, room) =
            (room(regained - a.refill_rate * (now - a.observed_at)) > p.burst / 2.0, room(regained));
        // What the slice regained a rich store did too, or one of which nothing else spends. It is told soon or never.
        a.unreported = if rich || self.counter.unresponsive {
            a.unreported.min(most - a.even_share)
        } else {
            a.unreported
        };
        a.unreported = if often || self.counter.unresponsive { a.unreported } else { 0.0 };
        let leasing = a.calls.iter().any(|c| matches!(c.purpose, CallPurpose::Lease { .. }));
        // In silence, or where rich, a full slice below what is asked goes into debt: small quotas.
        let fits = a.even_share >= if rich || self.counter.unresponsive { units.min(most) } else { units };
        let store = &mut self.counter;
        let saved = (store.pace * PACE_SPAN.0).max(PACE_SPAN.1);
        (store.call_tokens, store.tokens_updated_at) =
            ((store.call_tokens + store.pace * (now - store.tokens_updated_at)).min(saved), now);
        let need = units - a.unspent(now);
        if need > room && !leasing && !store.unresponsive {
            return Some(throttle(&self.attempt_settings, (need - room) / p.rate));
        }
        if store.should_skip(past, leasing, fits) {
            a.lease_waiters.retain(|w| *w != inv);
            let (idle, short) = (a.calls.is_empty(), (units.min(most) - a.even_share) / even);
            // Whom a crowded counter can't be asked about goes into debt, while the backends keep up.
            let trust = !store.unresponsive && rich && now - self.concurrency.reached_at > PAUSE;
            let fits = (fits || trust && a.even_share > -OWED * p.burst) && !capped;
            if fits {
                update_fraction(&mut store.consulted_fraction, store.unresponsive, HARD.1); // a silent counter is not crowded
                a.even_share -= units;
                a.unreported += units;
                a.ceiling_tokens -= units;
                self.schedule_customer(customer, now + LAPSE);
            }
            if self.counter.unresponsive
                && now >= self.counter.next_probe_at
                && idle
                && self.counter.timeout > 0.0
            {
                self.counter.next_probe_at = now + RECALL;
                self.call_counter(now, (customer, series), (0.0, 0.0), CallPurpose::GiveBack);
            } else if past && !self.counter.unresponsive && !idle {
                self.counter_missed(now);
            }
            return if fits { None } else { Some(throttle(&self.attempt_settings, short)) };
        }
        a.lease_waiters.push(inv); // one call in flight serves all that wait for it
        if !leasing {
            let units = need.max(if rich && often { p.burst * BATCH } else { 0.0 });
            let others = STANDS * need * (1.0 / self.counter.consulted_fraction.max(0.1) - 1.0);
            let guess = if owed < WORTH { others } else { 0.0 };
            update_fraction(&mut self.counter.consulted_fraction, true, HARD.1);
            (a.unsettled, a.unreported) = (0.0, 0.0);
            let lease = CallPurpose::Lease { units, need, peer_estimate: guess };
            self.call_counter(now, (customer, series), (units + owed + guess, owed), lease);
        }
        Some(Decision::Pending)
    }

    /// The word of a cap on deliveries out at once: a place is leased on a count of its own; none is yes.
    fn acquire_permit(&mut self, now: f64, inv: RequestIndex) -> Option<Decision> {
        let v = self.requests.get_mut(&inv).expect("held");
        v.units_granted = true;
        let (customer, past) = (v.attributes.customer, now >= v.counter_deadline);
        let hold = self.latencies[v.attributes.operation].median;
        let a = self.accounts.get_mut(&customer).expect("has an account");
        let (open, doors) =
            (self.plans[a.plan].max_in_flight as f64, a.instance_count * self.local_processes);
        if open <= 0.0 {
            return None;
        }
        a.permit_waiters.retain(|w| *w != inv);
        v.permit = a.free_permits.pop();
        if v.permit.is_some() {
            return None;
        }
        // The even share of less than one place is one place for that part of the time.
        let fits = now >= a.next_local_permit_at && (a.permits_held as f64) < (open / doors).ceil();
        let asked = a.calls.iter().filter(|c| matches!(c.purpose, CallPurpose::AcquirePermit)).count();
        let full = now < a.permits_exhausted_until;
        if full || self.counter.should_skip(past, asked > 0, fits) {
            if full || !fits {
                self.refund_units(now, inv);
                return Some(throttle(&self.attempt_settings, hold / open));
            }
            a.next_local_permit_at = now + OWN * hold * (doors / open - 1.0).max(0.0);
            a.permits_held += 1;
            v.permit = Some(0);
            return None;
        }
        a.permit_waiters.push(inv);
        if asked < a.permit_waiters.len() {
            let series = PLACES.0 + (now / PLACES.1) as u32;
            self.call_counter(now, (customer, series), (1.0, 0.0), CallPurpose::AcquirePermit);
        }
        Some(Decision::Pending)
    }

    /// What came of a call for a place, or of one that gave it back.
    fn permit_answered(&mut self, now: f64, name: CounterKey, call: &PendingCall, result: CounterResult) {
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        let a = self.accounts.get_mut(&name.customer).expect("has calls");
        let open = self.plans[a.plan].max_in_flight as f64;
        let (seeking, free) = (a.permit_waiters.clone(), a.free_permits.len());
        if matches!(call.purpose, CallPurpose::AcquirePermit) && result != CounterResult::NotApplied {
            a.permits_held += 1;
            let fits = total.is_some_and(|t| t <= open);
            if total.is_some() && !fits {
                // Till then one of those that are out will have come back.
                a.permits_exhausted_until =
                    now + self.latencies.iter().map(|t| t.median).fold(f64::INFINITY, f64::min) / open;
            }
            if fits && free < seeking.len() {
                a.free_permits.push(name.series);
            } else {
                self.release_permit(now, name.customer, Some(name.series));
            }
        }
        if total.is_none() {
            return self.stop_waiting(now, seeking);
        }
        self.counter_responded(now);
        self.reconsider.extend(seeking);
    }

    /// A place goes back: the count is told, unless it is silent.
    fn release_permit(&mut self, now: f64, customer: CustomerIndex, place: Option<u32>) {
        let (Some(series), Some(a)) = (place, self.accounts.get_mut(&customer)) else { return };
        a.permits_held = a.permits_held.saturating_sub(1);
        if series > 0 && !self.counter.unresponsive {
            self.call_counter(now, (customer, series), (-1.0, -1.0), CallPurpose::GiveBack);
        }
    }

    fn call_counter(
        &mut self,
        now: f64,
        (customer, series): (CustomerIndex, u32),
        (add, paid): (f64, f64),
        what: CallPurpose,
    ) {
        let calls = &mut self.accounts.get_mut(&customer).expect("has an account").calls;
        calls.push_back(PendingCall { series, sent_at: now, delta: add, debt_repaid: paid, purpose: what });
        self.counter.call_tokens -= 1.0;
        let name = CounterKey { customer, series };
        self.effects.counter_calls.push(CounterCall { key: name, delta: add, lifetime: 1.5 * WINDOW });
    }

    /// An answered call: right the count where it lags or was lifted twice, keep what fits, return the rest.
    fn lease_answered(&mut self, now: f64, name: CounterKey, call: &PendingCall, total: f64) {
        self.counter_responded(now);
        let a = self.accounts.get_mut(&name.customer).expect("has calls");
        let p = &self.plans[a.plan];
        a.even_share += call.debt_repaid.max(0.0); // what the count was told of, the slice has back
        self.reconsider.extend(a.lease_waiters.drain(..));
        let (current, whose, took) =
            (a.series == call.series, (name.customer, call.series), now - call.sent_at);
        let quick = &mut self.counter.fastest_answer;
        *quick = if *quick > 0.0 { (*quick * (1.0 + DRIFT)).min(took) } else { took };
        let regained = a.refill_rate * (now - f64::from(call.series) * WINDOW).max(0.0);
        let before = total - call.delta;
        // It must have stood at what the store regained at least; new or forgotten, at what we last saw.
        let (lost, small) = (before < WORTH, p.burst * SPILL);
        let level = regained.max(a.observed_total.filter(|_| current && lost).unwrap_or(0.0));
        let lag = (level - before - call.debt_repaid - call.peer_estimate()).max(0.0);
        let (back, lift) = match call.purpose {
            CallPurpose::Lease { units, need, peer_estimate: guess } => {
                let over = (total + lag - p.burst - regained).max(0.0);
                let part = units - (over - guess).max(0.0);
                a.extend_lease(now, if part < need { 0.0 } else { part }, LAPSE);
                // A part too small for the invocation would be of use to nobody, and what is beyond full is past.
                let none = (units + guess).max(over).min(call.delta);
                (if part < need { none } else { units - part + guess.min(over) }, lag)
            }
            CallPurpose::Correct { target: level } => {
                (call.delta - (level - before).clamp(0.0, call.delta), 0.0)
            }
            CallPurpose::GiveBack | CallPurpose::AcquirePermit => (0.0, 0.0),
        };
        a.unsettled -= if back > WORTH { 0.0 } else { back };
        // More than full and owed is others' double lift, soon taken back: believed, it shut a customer out.
        let seen = (total + lift - back).min(p.burst * (1.0 + OWED) + regained);
        (a.observed_total, a.observed_at) =
            if current { (Some(seen), now) } else { (a.observed_total, a.observed_at) };
        if current && p.burst + regained - seen < SAY * p.burst && now > a.gossiped_at + WORDS {
            a.gossiped_at = now; // the customer's other doors hear it
            let (word, doors) = (
                GossipMessage::CounterTotal { key: name, plan: a.plan, instances: a.instances, total: seen },
                a.instance_count,
            );
            self.send_gossip(now, word, doors);
        }
        if lift > small || lift > WORTH && lost {
            self.call_counter(now, whose, (lift, 0.0), CallPurpose::Correct { target: level + call.delta });
        }
        if back > WORTH {
            self.call_counter(now, whose, (-back, -back), CallPurpose::GiveBack);
        }
        self.schedule_customer(name.customer, now + LAPSE);
    }

    /// Says it to so many doors, as far as they can take words in.
    fn send_gossip(&mut self, now: f64, word: GossipMessage, doors: f64) {
        if self.gossip_budget.try_spend(now, doors, TELLS, self.instances) {
            self.effects.gossip.push(word);
        }
    }

    /// Units of an invocation that was never sent on serve the customer's next.
    fn refund_units(&mut self, now: f64, inv: RequestIndex) {
        let v = self.requests.get_mut(&inv).expect("held");
        let (ask, paid) = (v.attributes, std::mem::take(&mut v.units_granted) && v.attempts.is_empty());
        let paid = paid && self.plans[ask.plan].rate > 0.0;
        if let Some(a) = self.accounts.get_mut(&ask.customer).filter(|_| paid) {
            a.extend_lease(now, ask.units, LAPSE);
            self.schedule_customer(ask.customer, now + LAPSE);
        }
    }

    /// One bell for a customer, at the earliest time asked for.
    fn schedule_customer(&mut self, customer: CustomerIndex, at: f64) {
        if let Some(a) = self.accounts.get_mut(&customer).filter(|a| at < a.timer_at) {
            a.timer_at = at;
            self.timers.schedule(at, TimerKind::Customer(customer));
        }
    }

    /// A lease that lapsed goes back to the count; a customer not seen for long is dropped.
    fn customer_timer_fired(&mut self, now: f64, customer: CustomerIndex) {
        let Some(a) = self.accounts.get_mut(&customer).filter(|a| now >= a.timer_at) else { return };
        a.timer_at = f64::INFINITY;
        let (lapsed, quiet, series) = (now >= a.lease_expires_at, a.calls.is_empty(), a.series);
        let next = if lapsed { (a.last_used_at + IDLE).max(now + LAPSE) } else { a.lease_expires_at };
        a.unsettled -= if lapsed { std::mem::take(&mut a.leased) } else { 0.0 };
        let add = a.unsettled + a.unreported;
        if lapsed && quiet && add.abs() > WORTH && !self.counter.should_skip(false, false, true) {
            (a.unsettled, a.unreported) = (0.0, 0.0);
            self.call_counter(now, (customer, series), (add, add), CallPurpose::GiveBack);
        } else if now >= a.last_used_at + IDLE
            && quiet
            && !self.requests.values().any(|v| v.attributes.customer == customer)
        {
            self.accounts.remove(&customer);
            self.evicted_customers.push(customer);
        }
        self.schedule_customer(customer, next);
    }

    fn counter_responded(&mut self, now: f64) {
        if self.counter.unresponsive {
            let gap = now - self.counter.last_answer_at;
            self.effects.log.push(format!("counter answers again after {gap:.2} s; leases resume"));
            self.counter.pace = (self.counter.pace / 4.0).max(PACE.0 / self.instances);
            // no herd back to it
        }
        (self.counter.unresponsive, self.counter.consecutive_misses, self.counter.last_answer_at) =
            (false, 0, now);
        let more = if self.counter.pace_cut_at > 0.0 { PACE_STEP.1 } else { PACE_STEP.0 };
        self.counter.pace += if self.counter.should_skip(false, false, true) { more } else { 0.0 };
    }

    /// A call was missed: those that wait for it do so no longer.
    fn stop_waiting(&mut self, now: f64, waiting: Vec<RequestIndex>) {
        self.counter_missed(now);
        self.requests
            .iter_mut()
            .filter(|v| waiting.contains(v.0))
            .for_each(|(_, v)| v.counter_deadline = now);
        self.reconsider.extend(waiting);
    }

    fn counter_missed(&mut self, now: f64) {
        let store = &mut self.counter;
        store.consecutive_misses += 1;
        let pace = (store.pace - PACE_STEP.2.min(store.pace * PACE_STEP.3)).max(PACE.0 / self.instances);
        let crowd = now > store.pace_cut_at + store.timeout; // calls missed together tell of one
        (store.pace, store.pace_cut_at) = if crowd { (pace, now) } else { (store.pace, store.pace_cut_at) };
        let (n, gap) = (store.consecutive_misses, now - store.last_answer_at);
        if !store.unresponsive && n >= MISSES && gap > PACE_SPAN.0 {
            (store.unresponsive, store.next_probe_at) = (true, now + RECALL);
            self.effects.log.push(format!("counter silent: {n} calls missed in {gap:.2} s; even slices"));
        }
    }

    // ======== backends

    /// Two drawn at random among those in good standing; the one our own counts favour wins.
    fn pick_backend(
        &mut self,
        now: f64,
        (ask, luck): (&RequestAttributes, f64),
        tried: &[BackendIndex],
        kin: Kin,
    ) -> Option<BackendIndex> {
        let key = |b: &Backend, g| if g == KeyScope::Zone { b.endpoint.zone } else { b.endpoint.cell };
        let kin = kin.and_then(|(g, t)| self.backends.get(t).map(|b| (g, key(b, g))));
        let easy = self.kinds(ask).into_iter().all(|k| self.failure_rates[k] <= HARD.0);
        let drawn =
            (kin.is_none() && easy && self.backends.len() > SCANNED).then(|| self.sample_backends(now));
        let ready =
            || self.backends.values().filter(|b| b.accepts_new() && kin.is_none_or(|(g, k)| key(b, g) == k));
        let high = self.latencies[ask.operation].p95;
        // Where answers come as fast as ever, what says nothing hangs; else it may be slow.
        let slow = self.latencies[ask.operation].median > SLOWED * self.latencies[ask.operation].least_median;
        let counts = |b: &&Backend| b.ejection.is_none() && (slow || !self.is_unresponsive(now, b, high));
        let busy =
            self.backends.busy().filter(|b| b.accepts_new() && kin.is_none_or(|(g, k)| key(b, g) == k));
        let all_out: f64 = busy.filter(counts).map(|b| b.in_flight_units).sum();
        // What the list tells of starts and drains lowers it at once: answers tell it when it is too late.
        let totals = match &drawn {
            Some(_) => self.backends.totals(now, &self.slow_start),
            None => self.backends.totals_of(now, &self.slow_start, ready()),
        };
        let limit = self.concurrency.limit * totals.capacity / totals.listed_weight.max(totals.capacity);
        // An operation may fill of it what it is billed for its work against the dearest: that goes first.
        let worth = |op: usize| self.operations[op].billed_value / self.latencies[op].least_median;
        let dearest = (0..self.operations.len()).map(worth).fold(0.0, f64::max);
        let limit = limit * (worth(ask.operation) / dearest).min(1.0); // all of it where no value is told
        self.concurrency.half_used = all_out * 2.0 > limit;
        if all_out >= limit.max(totals.ready_count as f64 / self.instances).max(1.0) {
            self.concurrency.reached_at = now;
            return None; // answers slow down all over: no more out than come back in time
        }
        let look =
            |among: &mut dyn Iterator<Item = &Backend>| self.candidates(now, (ask, luck), tried, among);
        let of = |tgts: &[BackendIndex]| look(&mut tgts.iter().filter_map(|t| self.backends.get(*t)));
        let connected = drawn.as_ref().map(|d| of(&d.connected).preferred);
        let few = drawn.map(|d| of(&d.ready)).filter(|few| !few.preferred.is_empty());
        let Candidates { preferred: mut good, fallback: poor, saturated: pressed } =
            few.unwrap_or_else(|| look(&mut ready()));
        // Where connections, or good answers to the operation or the plan, are hard to get: who gives them.
        for kind in self.kinds(ask).into_iter().filter(|k| self.failure_rates[*k] > HARD.0) {
            let streak = |t: &BackendIndex| {
                self.backends[t].streak(kind, now - self.attempt_settings.connection_idle_timeout)
            };
            let best = good.iter().map(streak).max().unwrap_or(0).min(STREAK);
            good.retain(|t| streak(t) >= best);
        }
        if good.is_empty() && !pressed {
            // All are in trouble: those that we have not tried yet, then any.
            let new: Vec<BackendIndex> = poor.iter().copied().filter(|t| !tried.contains(t)).collect();
            good = if new.is_empty() { poor } else { new };
        }
        let due =
            |b: &&Backend| (now - b.unused_since) * b.capacity_fraction(now, &self.slow_start) > SOON * luck;
        let soon = good.iter().map(|t| &self.backends[t]).find(due).map(|b| b.endpoint.backend);
        let i = (!good.is_empty()).then(|| (self.random_fraction() * good.len() as f64) as usize)?;
        let u = self.random_fraction();
        let j = (i + (u * (good.len().max(2) - 1) as f64) as usize + 1) % good.len();
        // The second is one with an idle connection, if any: a new one costs both sides a handshake.
        let open = |b: &Backend| {
            !slow
                && b.slowness <= 1.0
                && b.has_idle_connection(now - self.attempt_settings.connection_idle_timeout / 2.0)
        };
        let near = connected.as_ref().unwrap_or(&good).iter().copied();
        let opens: Vec<BackendIndex> = near.filter(|t| open(&self.backends[t])).collect();
        let other = opens.get((u * opens.len() as f64) as usize).unwrap_or(&good[j]);
        // The units we have out there, against its size, its slowness beside its fellows and its warmth.
        let dear = |b: &Backend| {
            FAR.powi(i32::from(b.crosses_zone(self.attempt_settings.home_zone)) + i32::from(!open(b)))
        };
        let slow = |b: &Backend| b.slowness.clamp(0.5, 5.0);
        let load = |b: &Backend| {
            (b.in_flight_units + 1.0) * slow(b) * dear(b)
                / b.endpoint.weight
                / b.capacity_fraction(now, &self.slow_start)
        };
        let (x, y) = (&self.backends[&good[i]], &self.backends[other]);
        soon.or(Some(if load(y) < load(x) { y.endpoint.backend } else { x.endpoint.backend }))
    }

    /// Some of the backends that may get deliveries, and some of those that we are connected with.
    fn sample_backends(&mut self, now: f64) -> Sample {
        let idle_since = now - self.attempt_settings.connection_idle_timeout / 2.0;
        let rng = self.rng.as_mut().expect("seeded");
        self.backends.sample(now, rng, DRAWN, idle_since, &self.slow_start)
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
        let (high, span) = (self.latencies[ask.operation].p95, PRESSED * latency_objective);
        let Candidates { preferred: mut good, fallback: mut poor, saturated: mut pressed } =
            Candidates::default();
        for b in among {
            // Cold: open to its share of the invocations. All doors doing so, that is under what it can do.
            if b.capacity_fraction(now, &self.slow_start) < luck {
                continue;
            }
            let waits = b.ejection.is_some_and(|a| now < a.until || effect != Idempotency::Idempotent);
            if waits || tried.contains(&b.endpoint.backend) || self.is_unresponsive(now, b, high) {
                poor.push(b.endpoint.backend);
            } else if b.in_flight_units >= (b.throughput(now, RATE_SPAN) * span).max(1.0) {
                pressed = true; // what is out there takes enough of the objective, at the pace of its answers
            } else {
                good.push(b.endpoint.backend);
            }
        }
        Candidates { preferred: good, fallback: poor, saturated: pressed }
    }

    /// What a delivery can prove of a backend: that it connects, serves the operation, serves the plan.
    fn kinds(&self, ask: &RequestAttributes) -> [usize; 3] {
        [0, 1 + ask.operation, 1 + self.operations.len() + ask.plan]
    }

    /// It holds our deliveries and has said nothing for longer than they can explain, more while it is cold.
    fn is_unresponsive(&self, now: f64, b: &Backend, high: f64) -> bool {
        let (out, high) = (b.in_flight as f64, high / b.capacity_fraction(now, &self.slow_start));
        b.in_flight > 0 && now - b.last_progress_at > high * b.in_flight_units / out * (1.0 + 1.0 / out)
    }

    /// What an outcome says of its backend.
    fn record_outcome(
        &mut self,
        now: f64,
        ask: &RequestAttributes,
        (sent, left, streams): (f64, bool, bool),
        o: &AttemptOutcome,
    ) {
        let (op, units, kinds) = (ask.operation, ask.units.max(1.0), self.kinds(ask));
        let LatencyEstimate { p95: high, median: half, least_median: base } = &mut self.latencies[op];
        let slow = o.duration > SLOWED * *base;
        let ended = if streams { 0.0 } else { units };
        let Some(b) = self.backends.remove_attempt(o.backend, ended) else { return };
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
            b.streaks[kind] = if well { (now, b.streaks[kind].1 + 1) } else { (now, 0) };
            update_fraction(&mut self.failure_rates[kind], !well, HARD.1);
        }
        if o.result == AttemptResult::Succeeded || slow && b.ejection.is_none() && !o.result.never_ran() {
            // What a backend says of its load tells work that waits from work that is long.
            let full = o.load_report.is_some_and(|r| is_saturated(&r));
            let less = if full { CUT * self.concurrency.limit } else { 0.0 };
            let more = if self.concurrency.half_used && !full { LIMIT.1 } else { 0.0 };
            self.concurrency.limit =
                (self.concurrency.limit + if slow { -less.max(LIMIT.1) } else { more }).max(1.0);
        }
        match o.result {
            AttemptResult::Succeeded => {
                update_quantile(high, o.duration / units, HIGH, STEP.0);
                update_quantile(half, o.duration, 0.5, STEP.0);
                *base = (*base * (1.0 + DRIFT)).min(*half);
                update_quantile(&mut b.slowness, o.duration / units / *high, HIGH, STEP.1);
                b.answered_units = b.answered_units * ((b.answered_at - now) / RATE_SPAN).exp() + units;
                (b.answered_at, b.last_progress_at, b.consecutive_failures) = (now, now, 0);
                if b.ejection.take().is_some() {
                    self.effects
                        .log
                        .push(format!("backend {} back: answered in {:.3} s", o.backend, o.duration));
                    if now > b.recovery_gossiped_at + WORDS {
                        b.recovery_gossiped_at = now;
                        self.send_gossip(
                            now,
                            GossipMessage::BackendRecovered { backend: o.backend },
                            self.instances,
                        );
                    }
                }
            }
            AttemptResult::Rejected => b.last_progress_at = now,
            _ => {
                // No answer tells little if others were answered since it was sent.
                let silent = matches!(o.result, AttemptResult::TimedOut | AttemptResult::Cancelled);
                b.consecutive_failures += u32::from(!silent || b.answered_at < sent);
                // Only what was sent since it was set aside says more than we knew.
                if b.consecutive_failures >= 3 && b.ejection.is_none_or(|a| sent > a.started_at) {
                    let span = b.ejection.map_or(ASIDE.0, |a| (a.duration * 2.0).min(ASIDE.1));
                    b.ejection = Some(Ejection { started_at: now, until: now + span, duration: span });
                    let line = format!("{} bad in a row, last {:?}", b.consecutive_failures, o.result);
                    self.effects.log.push(format!("backend {} aside for {span} s: {line}", o.backend));
                }
            }
        }
    }
}

/// Whether work waits at a backend, as far as it says so.
fn is_saturated(r: &LoadReport) -> bool {
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
