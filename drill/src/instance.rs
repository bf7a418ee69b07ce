//! One instance: its requests, ids and timer. Events become calls of the decisions, their answers become actions; nothing is decided
//! here.
use crate::actions;
use crate::codes::EventCode;
use crate::events::{self, Address, Completed, CounterReply, ListEntry, ListResult, RequestId, Submitted};
use crate::frame::{microseconds, Malformed, Record, Reply};
use quillramp::gossip::{self, WireMessage};
use quillramp::interner::{Interner, Slab};
use quillramp::policy::PolicyEngine;
use quillramp::settings;
use quillramp::types::*;
use std::collections::HashMap;

/// The lower bits of a count's name are its customer, the others its series.
const CUSTOMER_BITS: u32 = 33;
const CUSTOMER_MASK: u64 = (1 << CUSTOMER_BITS) - 1;
/// The longest timer, seconds: when it rings the decisions are asked again what is due.
const MAX_TIMER_SECONDS: f64 = 3600.0;

/// A request without its answer, or with deliveries that are out.
struct Request {
    id: RequestId,
    ask: RequestAttributes,
    /// Deliveries that are out.
    outstanding: usize,
    /// Deliveries that were ever sent.
    sent: usize,
    /// It is answered, or its client is gone.
    is_closed: bool,
}

/// The timer that is set.
#[derive(Default)]
struct Timer {
    /// When it rings, microseconds of the simulator's clock; none if none is set.
    rings_at: Option<u64>,
    /// Its number: timers that were set until now.
    number: u64,
}

pub(crate) struct Instance {
    decisions: PolicyEngine,
    /// Number of all instances.
    instances: usize,
    /// This instance.
    own: usize,
    /// Number of operations.
    operations: usize,
    /// Number of plans.
    plans: usize,
    /// Names of the figures of a backend's report.
    report: Vec<String>,
    requests: Slab<Request>,
    by_id: HashMap<RequestId, RequestIndex>,
    backends: Interner<Address>,
    customers: Interner<u64>,
    timer: Timer,
}

impl Instance {
    pub fn new(start: settings::Loaded) -> Instance {
        Instance {
            decisions: start.engine,
            instances: start.instance.instances,
            own: start.instance.instance_index,
            operations: start.instance.operations.len(),
            plans: start.instance.plans.len(),
            report: start.instance.load_report_fields,
            requests: Slab::default(),
            by_id: HashMap::new(),
            backends: Interner::default(),
            customers: Interner::default(),
            timer: Timer::default(),
        }
    }

    pub fn handle_event(
        &mut self,
        now: f64,
        code: EventCode,
        record: &Record,
        reply: &mut Reply,
    ) -> Result<(), Malformed> {
        match code {
            EventCode::Listed => self.listed(now, record),
            EventCode::Submitted => self.submitted(now, record, reply),
            EventCode::Streaming => self.streaming(now, record),
            EventCode::Completed => self.completed(now, record, reply),
            EventCode::Counted => self.counted(now, record),
            EventCode::PeerMessage => self.peer_message(now, record),
            EventCode::Probed => events::check_probed(record),
            EventCode::Aborted => {
                self.aborted(now, record);
                Ok(())
            }
            EventCode::Timer => {
                self.timer_rings(record);
                Ok(())
            }
            // The host handles these itself.
            EventCode::Instance | EventCode::Started | EventCode::Stopped => Ok(()),
        }
    }

    /// After a batch of events: decides on requests again, and sets the next timer.
    pub fn settle(&mut self, now: f64, reply: &mut Reply) {
        loop {
            let wait = self.decisions.poll(now);
            self.carry_out_errands(wait.effects, reply);
            for customer in wait.evicted_customers {
                self.customers.release(customer);
            }
            if wait.reconsider.is_empty() {
                return self.set_timer(now, wait.next_poll_in, reply);
            }
            for request in wait.reconsider {
                self.decide_again(now, request, reply);
            }
        }
    }

    fn listed(&mut self, now: f64, record: &Record) -> Result<(), Malformed> {
        let is_whole = match ListResult::decode(record)? {
            ListResult::Failed => {
                self.decisions.endpoint_fetch_failed(now);
                return Ok(());
            }
            ListResult::Changes => false,
            ListResult::Whole => true,
        };
        let mut listed = Vec::new();
        for entry in ListEntry::decode_all(record)? {
            let ListEntry { cell, zone, address, standing, started, size } = entry?;
            let tgt = self.backends.intern(&address);
            listed.push(Endpoint {
                backend: tgt,
                status: standing,
                zone,
                cell,
                weight: size,
                started_at: started,
            });
        }
        self.decisions.update_endpoints(now, is_whole, &listed);
        Ok(())
    }

    fn submitted(&mut self, now: f64, record: &Record, reply: &mut Reply) -> Result<(), Malformed> {
        let event = Submitted::decode(record);
        let Submitted { id, operation, plan, units, .. } = event;
        if operation >= self.operations {
            return Err(record.malformed(format!("operation {operation} of {}", self.operations)));
        }
        if plan >= self.plans {
            return Err(record.malformed(format!("plan {plan} of {}", self.plans)));
        }
        if !units.is_finite() || units < 0.0 {
            return Err(record.malformed(format!("{units} units")));
        }
        let customer = self.customers.intern(&event.customer);
        let of = InstanceRange { first: event.first_instance, count: event.instances };
        let ask = RequestAttributes {
            operation,
            plan,
            customer,
            units,
            instances: of,
            deadline: now + event.wait,
            ..RequestAttributes::default()
        };
        let request = self.requests.insert(Request { id, ask, outstanding: 0, sent: 0, is_closed: false });
        self.by_id.insert(id, request);
        let answer = self.decisions.route(now, request, &ask);
        self.carry_out(request, answer, reply);
        Ok(())
    }

    fn streaming(&mut self, now: f64, record: &Record) -> Result<(), Malformed> {
        let request = self.request(record)?;
        self.decisions.response_started(now, request);
        Ok(())
    }

    fn completed(&mut self, now: f64, record: &Record, reply: &mut Reply) -> Result<(), Malformed> {
        let event = Completed::decode(record);
        let index = self.request(record)?;
        let address = event.address;
        let Some(tgt) = self.backends.get(&address) else {
            return Err(record.malformed(format!("backend {address:?} was never listed")));
        };
        let ending = Completed::ending(record)?;
        let request = self.requests[index].as_mut().expect("an id leads to a held request");
        if event.delivery >= request.sent {
            return Err(record.malformed(format!("delivery {} of {}", event.delivery, request.sent)));
        }
        request.outstanding = request.outstanding.saturating_sub(1);
        request.is_closed |= event.is_closed;
        let reported = &self.report[..self.report.len().min(event.report_length)];
        let outcome = AttemptOutcome {
            attempt: event.delivery,
            backend: tgt,
            result: ending,
            duration: event.took,
            request_closed: event.is_closed,
            billed_units: event.units,
            load_report: settings::load_report(reported, |place, _| {
                Some(Completed::report_figure(record, place))
            }),
        };
        let answer = self.decisions.attempt_ended(now, index, &outcome);
        self.carry_out(index, answer, reply);
        Ok(())
    }

    fn aborted(&mut self, now: f64, record: &Record) {
        let Some(&index) = self.by_id.get(&events::request_id(record)) else { return };
        self.decisions.request_closed(now, index);
        if let Some(request) = self.requests[index].as_mut() {
            request.is_closed = true;
        }
        self.release_if_over(index);
    }

    fn timer_rings(&mut self, record: &Record) {
        if events::timer_number(record) == self.timer.number {
            self.timer.rings_at = None;
        }
    }

    fn counted(&mut self, now: f64, record: &Record) -> Result<(), Malformed> {
        let CounterReply { name, result } = CounterReply::decode(record)?;
        if let Some(customer) = self.customers.get(&(name & CUSTOMER_MASK)) {
            let series = (name >> CUSTOMER_BITS) as u32;
            self.decisions.counter_answered(now, CounterKey { customer, series }, result);
        }
        Ok(())
    }

    fn peer_message(&mut self, now: f64, record: &Record) -> Result<(), Malformed> {
        match gossip::decode(events::message_body(record)?) {
            Some(WireMessage::BackendRecovered(address)) => {
                if let Some(tgt) = self.backends.get(&address[..]) {
                    self.decisions.gossip_received(now, GossipMessage::BackendRecovered { backend: tgt });
                }
            }
            Some(WireMessage::CounterTotal { customer, plan, instances: of, series, total })
                if plan < self.plans =>
            {
                let name = CounterKey { customer: self.customers.intern(&customer), series };
                self.decisions.gossip_received(
                    now,
                    GossipMessage::CounterTotal { key: name, plan, instances: of, total },
                );
            }
            Some(_) => {}
            None => return Err(record.malformed("no word of ours")),
        }
        Ok(())
    }

    fn decide_again(&mut self, now: f64, index: RequestIndex, reply: &mut Reply) {
        let open = self.requests[index].as_ref().filter(|request| !request.is_closed);
        if let Some(ask) = open.map(|request| request.ask) {
            let answer = self.decisions.route(now, index, &ask);
            self.carry_out(index, answer, reply);
        }
    }

    fn carry_out(&mut self, index: RequestIndex, answer: PolicyOutput, reply: &mut Reply) {
        let request = self.requests[index].as_mut().expect("decided on a held request");
        match answer.decision {
            Decision::Forward { backend: tgt } => {
                request.outstanding += 1;
                request.sent += 1;
                let address = self.backends.resolve(tgt).expect("the decisions name listed backends");
                actions::deliver(reply, request.id, address);
            }
            Decision::Pending => {}
            Decision::Throttle { retry_after } => {
                request.is_closed = true;
                actions::throttle(reply, request.id, retry_after);
            }
            Decision::Error => {
                request.is_closed = true;
                actions::error(reply, request.id);
            }
        }
        self.carry_out_errands(answer.effects, reply);
        self.release_if_over(index);
    }

    fn carry_out_errands(&self, errands: Effects, reply: &mut Reply) {
        for call in errands.counter_calls {
            let series = u64::from(call.key.series) << CUSTOMER_BITS;
            let name = self.customer_key(call.key.customer) | series;
            actions::counter_call(reply, name, call.delta, call.lifetime);
        }
        for word in errands.gossip {
            self.send_word(word, reply);
        }
        for (index, delivery) in errands.cancellations {
            if let Some(request) = self.requests[index].as_ref() {
                actions::cancel(reply, request.id, delivery);
            }
        }
        if errands.fetch_endpoints {
            actions::fetch_list(reply);
        }
        for line in errands.log {
            actions::log(reply, &line);
        }
    }

    fn send_word(&self, word: GossipMessage, reply: &mut Reply) {
        match word {
            GossipMessage::BackendRecovered { backend: tgt } => {
                let address = self.backends.resolve(tgt).expect("the decisions name listed backends");
                actions::broadcast(reply, &gossip::encode(&WireMessage::BackendRecovered(address.to_vec())));
            }
            GossipMessage::CounterTotal { key: name, plan, instances: of, total } => {
                let customer = self.customer_key(name.customer);
                let body = gossip::encode(&WireMessage::CounterTotal {
                    customer,
                    plan,
                    instances: of,
                    series: name.series,
                    total,
                });
                let sharing = (of.first..of.first + of.count).map(|instance| instance % self.instances);
                for peer in sharing.filter(|peer| *peer != self.own) {
                    actions::send(reply, peer, &body);
                }
            }
        }
    }

    /// Timers can't be cancelled: a new one is set only where it rings before the one that is set.
    fn set_timer(&mut self, now: f64, seconds: Option<f64>, reply: &mut Reply) {
        let Some(seconds) = seconds else { return };
        let seconds = seconds.clamp(0.0, MAX_TIMER_SECONDS);
        let rings_at = microseconds(now + seconds) as u64;
        if self.timer.rings_at.is_none_or(|earlier| rings_at < earlier) {
            self.timer.number += 1;
            self.timer.rings_at = Some(rings_at);
            actions::set_timer(reply, self.timer.number, seconds);
        }
    }

    /// The request that an event is about.
    fn request(&self, record: &Record) -> Result<RequestIndex, Malformed> {
        let id = events::request_id(record);
        let index = self.by_id.get(&id).copied();
        index.ok_or_else(|| record.malformed(format!("invocation {id} is not held")))
    }

    /// Forgets a request once it is closed and no delivery of it is out.
    fn release_if_over(&mut self, index: RequestIndex) {
        let is_over = |request: &Request| request.is_closed && request.outstanding == 0;
        if self.requests[index].as_ref().is_some_and(is_over) {
            let request = self.requests.release(index).expect("it is held");
            self.by_id.remove(&request.id);
        }
    }

    fn customer_key(&self, customer: CustomerIndex) -> u64 {
        *self.customers.resolve(customer).expect("the decisions name customers in hand")
    }
}
