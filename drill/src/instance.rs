//! One instance: its requests, ids and timer. Events become calls of the decisions, their answers become actions; nothing is decided
//! here.
use crate::actions;
use crate::codes::EventCode;
use crate::events::{self, Address, Completed, CounterResult, ListEntry, ListResult, RequestId, Submitted};
use crate::frame::{microseconds, Malformed, Record, Reply};
use quillramp::decide::Door;
use quillramp::facts;
use quillramp::ids::{Ids, Slots};
use quillramp::types::*;
use quillramp::word::{self, Said};
use std::collections::HashMap;

/// The lower bits of a count's name are its customer, the others its series.
const CUSTOMER_BITS: u32 = 33;
const CUSTOMER_MASK: u64 = (1 << CUSTOMER_BITS) - 1;
/// The longest timer, seconds: when it rings the decisions are asked again what is due.
const MAX_TIMER_SECONDS: f64 = 3600.0;

/// A request without its answer, or with deliveries that are out.
struct Request {
    id: RequestId,
    ask: Ask,
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
    decisions: Door,
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
    requests: Slots<Request>,
    by_id: HashMap<RequestId, Inv>,
    backends: Ids<Address>,
    customers: Ids<u64>,
    timer: Timer,
}

impl Instance {
    pub fn new(start: facts::Start) -> Instance {
        Instance {
            decisions: start.door,
            instances: start.about.doors,
            own: start.about.slot,
            operations: start.about.operations.len(),
            plans: start.about.plans.len(),
            report: start.about.report,
            requests: Slots::default(),
            by_id: HashMap::new(),
            backends: Ids::default(),
            customers: Ids::default(),
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
            let wait = self.decisions.wait(now);
            self.carry_out_errands(wait.errands, reply);
            for customer in wait.idle {
                self.customers.release(customer);
            }
            if wait.again.is_empty() {
                return self.set_timer(now, wait.seconds, reply);
            }
            for request in wait.again {
                self.decide_again(now, request, reply);
            }
        }
    }

    fn listed(&mut self, now: f64, record: &Record) -> Result<(), Malformed> {
        let is_whole = match ListResult::decode(record)? {
            ListResult::Failed => {
                self.decisions.unlisted(now);
                return Ok(());
            }
            ListResult::Changes => false,
            ListResult::Whole => true,
        };
        let mut listed = Vec::new();
        for entry in ListEntry::decode_all(record)? {
            let ListEntry { cell, zone, address, standing, started, size } = entry?;
            let tgt = self.backends.index(&address);
            listed.push(Listed { tgt, standing, zone, cell, size, started });
        }
        self.decisions.listed(now, is_whole, &listed);
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
        let customer = self.customers.index(&event.customer);
        let of = Doors { first: event.first_instance, number: event.instances };
        let ask = Ask { operation, plan, customer, units, of, until: now + event.wait, ..Ask::default() };
        let request = self.requests.put(Request { id, ask, outstanding: 0, sent: 0, is_closed: false });
        self.by_id.insert(id, request);
        let answer = self.decisions.place(now, request, &ask);
        self.carry_out(request, answer, reply);
        Ok(())
    }

    fn streaming(&mut self, now: f64, record: &Record) -> Result<(), Malformed> {
        let request = self.request(record)?;
        self.decisions.streaming(now, request);
        Ok(())
    }

    fn completed(&mut self, now: f64, record: &Record, reply: &mut Reply) -> Result<(), Malformed> {
        let event = Completed::decode(record);
        let index = self.request(record)?;
        let address = event.address;
        let Some(tgt) = self.backends.find(&address) else {
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
        let outcome = Outcome {
            delivery: event.delivery,
            tgt,
            ending,
            took: event.took,
            closed: event.is_closed,
            true_units: event.units,
            report: facts::report(reported, |place, _| Some(Completed::report_figure(record, place))),
        };
        let answer = self.decisions.after(now, index, &outcome);
        self.carry_out(index, answer, reply);
        Ok(())
    }

    fn aborted(&mut self, now: f64, record: &Record) {
        let Some(&index) = self.by_id.get(&events::request_id(record)) else { return };
        self.decisions.gone(now, index);
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
        let CounterResult { name, result } = CounterResult::decode(record)?;
        if let Some(customer) = self.customers.find(&(name & CUSTOMER_MASK)) {
            let series = (name >> CUSTOMER_BITS) as u32;
            self.decisions.counted(now, CountName { customer, series }, result);
        }
        Ok(())
    }

    fn peer_message(&mut self, now: f64, record: &Record) -> Result<(), Malformed> {
        match word::decode(events::message_body(record)?) {
            Some(Said::Backend(address)) => {
                if let Some(tgt) = self.backends.find(&address[..]) {
                    self.decisions.peer_word(now, Word::Backend { tgt });
                }
            }
            Some(Said::Count { customer, plan, of, series, total }) if plan < self.plans => {
                let name = CountName { customer: self.customers.index(&customer), series };
                self.decisions.peer_word(now, Word::Count { name, plan, of, total });
            }
            Some(_) => {}
            None => return Err(record.malformed("no word of ours")),
        }
        Ok(())
    }

    fn decide_again(&mut self, now: f64, index: Inv, reply: &mut Reply) {
        let open = self.requests[index].as_ref().filter(|request| !request.is_closed);
        if let Some(ask) = open.map(|request| request.ask) {
            let answer = self.decisions.place(now, index, &ask);
            self.carry_out(index, answer, reply);
        }
    }

    fn carry_out(&mut self, index: Inv, answer: Answer, reply: &mut Reply) {
        let request = self.requests[index].as_mut().expect("decided on a held request");
        match answer.verdict {
            Verdict::Deliver { tgt } => {
                request.outstanding += 1;
                request.sent += 1;
                let address = self.backends.name(tgt).expect("the decisions name listed backends");
                actions::deliver(reply, request.id, address);
            }
            Verdict::NotYet => {}
            Verdict::Throttle { retry_after } => {
                request.is_closed = true;
                actions::throttle(reply, request.id, retry_after);
            }
            Verdict::Error => {
                request.is_closed = true;
                actions::error(reply, request.id);
            }
        }
        self.carry_out_errands(answer.errands, reply);
        self.release_if_over(index);
    }

    fn carry_out_errands(&self, errands: Errands, reply: &mut Reply) {
        for call in errands.counter {
            let series = u64::from(call.name.series) << CUSTOMER_BITS;
            let name = self.customer_key(call.name.customer) | series;
            actions::counter_call(reply, name, call.add, call.lives);
        }
        for word in errands.words {
            self.send_word(word, reply);
        }
        for (index, delivery) in errands.cancels {
            if let Some(request) = self.requests[index].as_ref() {
                actions::cancel(reply, request.id, delivery);
            }
        }
        if errands.ask_for_list {
            actions::fetch_list(reply);
        }
        for line in errands.log {
            actions::log(reply, &line);
        }
    }

    fn send_word(&self, word: Word, reply: &mut Reply) {
        match word {
            Word::Backend { tgt } => {
                let address = self.backends.name(tgt).expect("the decisions name listed backends");
                actions::broadcast(reply, &word::encode(&Said::Backend(address.to_vec())));
            }
            Word::Count { name, plan, of, total } => {
                let customer = self.customer_key(name.customer);
                let body = word::encode(&Said::Count { customer, plan, of, series: name.series, total });
                let sharing = (of.first..of.first + of.number).map(|instance| instance % self.instances);
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
    fn request(&self, record: &Record) -> Result<Inv, Malformed> {
        let id = events::request_id(record);
        let index = self.by_id.get(&id).copied();
        index.ok_or_else(|| record.malformed(format!("invocation {id} is not held")))
    }

    /// Forgets a request once it is closed and no delivery of it is out.
    fn release_if_over(&mut self, index: Inv) {
        let is_over = |request: &Request| request.is_closed && request.outstanding == 0;
        if self.requests[index].as_ref().is_some_and(is_over) {
            let request = self.requests.release(index).expect("it is held");
            self.by_id.remove(&request.id);
        }
    }

    fn customer_key(&self, customer: Customer) -> u64 {
        *self.customers.name(customer).expect("the decisions name customers in hand")
    }
}
