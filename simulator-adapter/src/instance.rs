//! One simulated gateway instance: its requests, interned ids and timer. It turns events into calls of the policy engine, and the
//! engine's decisions and effects into actions. It makes no decisions itself.
use crate::actions;
use crate::codes::EventCode;
use crate::events::{
    self, Address, AttemptEnded, CounterReply, EndpointEntry, FetchOutcome, RequestId, RequestSubmitted,
};
use crate::frame::{microseconds, FrameError, Record, RecordError, Reply};
use quillramp::gossip::{self, WireMessage};
use quillramp::interner::{Interner, Slab};
use quillramp::policy::PolicyEngine;
use quillramp::settings;
use quillramp::types::*;
use std::collections::HashMap;

/// Number of low bits of a counter's name that contain the customer's id. The high bits contain the series.
const CUSTOMER_BITS: u32 = 33;
/// Mask of the customer's id in a counter's name.
const CUSTOMER_MASK: u64 = (1 << CUSTOMER_BITS) - 1;
/// Maximum duration of a timer, in seconds. When it fires, the engine is polled for the next timer.
const MAX_TIMER_SECONDS: f64 = 3600.0;

/// A request that has no final answer yet, or has attempts in flight.
struct Request {
    id: RequestId,
    attributes: RequestAttributes,
    /// Number of attempts in flight.
    in_flight: usize,
    /// Number of attempts so far.
    attempts: usize,
    /// Whether the request has its final answer, or was aborted by its client.
    is_closed: bool,
}

/// The current timer.
#[derive(Default)]
struct Timer {
    /// When the timer fires, in microseconds of the simulator's clock; `None` if no timer is set.
    fires_at: Option<u64>,
    /// Number of the timer, which is the number of timers set so far. Earlier timers are ignored when they fire.
    number: u64,
}

/// A simulated gateway instance.
pub(crate) struct Instance {
    engine: PolicyEngine,
    /// Number of all instances.
    instances: usize,
    /// Index of this instance.
    instance_index: usize,
    /// Number of operations in the settings.
    operations: usize,
    /// Number of plans in the settings.
    plans: usize,
    /// Names of the values of a backend's load report, in order.
    load_report_fields: Vec<String>,
    requests: Slab<Request>,
    request_indices: HashMap<RequestId, RequestIndex>,
    backends: Interner<Address>,
    customers: Interner<u64>,
    timer: Timer,
}

impl Instance {
    /// Creates an instance without requests.
    pub fn new(loaded: settings::Loaded) -> Instance {
        Instance {
            engine: loaded.engine,
            instances: loaded.instance.instances,
            instance_index: loaded.instance.instance_index,
            operations: loaded.instance.operations.len(),
            plans: loaded.instance.plans.len(),
            load_report_fields: loaded.instance.load_report_fields,
            requests: Slab::default(),
            request_indices: HashMap::new(),
            backends: Interner::default(),
            customers: Interner::default(),
            timer: Timer::default(),
        }
    }

    /// Handles one event; fails if its record is invalid. `now` is the time of the simulator's clock, in seconds.
    pub fn handle_event(
        &mut self,
        now: f64,
        code: EventCode,
        record: &Record,
        reply: &mut Reply,
    ) -> Result<(), FrameError> {
        match code {
            EventCode::Listed => self.endpoints_fetched(now, record),
            EventCode::Submitted => self.request_submitted(now, record, reply),
            EventCode::Streaming => self.response_started(now, record),
            EventCode::Completed => self.attempt_ended(now, record, reply),
            EventCode::Counted => self.counter_answered(now, record),
            EventCode::PeerMessage => self.gossip_received(now, record),
            EventCode::Probed => events::check_probed(record),
            EventCode::Aborted => {
                self.request_aborted(now, record);
                Ok(())
            }
            EventCode::Timer => {
                self.timer_fired(record);
                Ok(())
            }
            // The host handles these events.
            EventCode::Instance | EventCode::Started | EventCode::Stopped => Ok(()),
        }
    }

    /// Polls the engine after a batch of events: applies its effects, routes the requests that it returns, and sets the next timer.
    pub fn poll(&mut self, now: f64, reply: &mut Reply) {
        loop {
            let output = self.engine.poll(now);
            self.apply_effects(output.effects, reply);
            for customer in output.evicted_customers {
                self.customers.release(customer);
            }
            if output.reconsider.is_empty() {
                return self.set_timer(now, output.next_poll_in, reply);
            }
            for request in output.reconsider {
                self.route_again(now, request, reply);
            }
        }
    }

    fn endpoints_fetched(&mut self, now: f64, record: &Record) -> Result<(), FrameError> {
        let is_snapshot = match FetchOutcome::decode(record)? {
            FetchOutcome::Failed => {
                self.engine.endpoint_fetch_failed(now);
                return Ok(());
            }
            FetchOutcome::Changes => false,
            FetchOutcome::Snapshot => true,
        };
        let mut endpoints = Vec::new();
        for entry in EndpointEntry::decode_all(record)? {
            let EndpointEntry { cell, zone, address, status, started_at, weight } = entry?;
            let backend = self.backends.intern(&address);
            endpoints.push(Endpoint { backend, status, zone, cell, weight, started_at });
        }
        self.engine.update_endpoints(now, is_snapshot, &endpoints);
        Ok(())
    }

    fn request_submitted(&mut self, now: f64, record: &Record, reply: &mut Reply) -> Result<(), FrameError> {
        let event = RequestSubmitted::decode(record);
        let RequestSubmitted { id, operation, plan, units, .. } = event;
        if operation >= self.operations {
            let operations = self.operations;
            return Err(record.frame_error(RecordError::UnknownOperation { operation, operations }));
        }
        if plan >= self.plans {
            return Err(record.frame_error(RecordError::UnknownPlan { plan, plans: self.plans }));
        }
        if !units.is_finite() || units < 0.0 {
            return Err(record.frame_error(RecordError::InvalidUnits(units)));
        }
        let customer = self.customers.intern(&event.customer);
        let attributes = RequestAttributes {
            operation,
            plan,
            customer,
            units,
            instances: InstanceRange { first: event.first_instance, count: event.instances },
            deadline: now + event.client_timeout,
            ..RequestAttributes::default()
        };
        let request = Request { id, attributes, in_flight: 0, attempts: 0, is_closed: false };
        let index = self.requests.insert(request);
        self.request_indices.insert(id, index);
        let output = self.engine.route(now, index, &attributes);
        self.apply(index, output, reply);
        Ok(())
    }

    fn response_started(&mut self, now: f64, record: &Record) -> Result<(), FrameError> {
        let index = self.request_index(record)?;
        self.engine.response_started(now, index);
        Ok(())
    }

    fn attempt_ended(&mut self, now: f64, record: &Record, reply: &mut Reply) -> Result<(), FrameError> {
        let event = AttemptEnded::decode(record);
        let index = self.request_index(record)?;
        let Some(backend) = self.backends.get(&event.address) else {
            return Err(record.frame_error(RecordError::UnknownBackend(event.address)));
        };
        let result = AttemptEnded::result(record)?;
        let request = self.requests[index].as_mut().expect("every id in the map belongs to a stored request");
        if event.attempt >= request.attempts {
            let error = RecordError::UnknownAttempt { attempt: event.attempt, attempts: request.attempts };
            return Err(record.frame_error(error));
        }
        request.in_flight = request.in_flight.saturating_sub(1);
        request.is_closed |= event.is_closed;
        let reported = self.load_report_fields.len().min(event.load_report_length);
        let load_report = settings::load_report(&self.load_report_fields[..reported], |index, _| {
            Some(AttemptEnded::load_report_value(record, index))
        });
        let outcome = AttemptOutcome {
            attempt: event.attempt,
            backend,
            result,
            duration: event.duration,
            request_closed: event.is_closed,
            billed_units: event.billed_units,
            load_report,
        };
        let output = self.engine.attempt_ended(now, index, &outcome);
        self.apply(index, output, reply);
        Ok(())
    }

    fn request_aborted(&mut self, now: f64, record: &Record) {
        let Some(&index) = self.request_indices.get(&events::request_id(record)) else { return };
        self.engine.request_closed(now, index);
        if let Some(request) = self.requests[index].as_mut() {
            request.is_closed = true;
        }
        self.release_if_done(index);
    }

    fn timer_fired(&mut self, record: &Record) {
        if events::timer_number(record) == self.timer.number {
            self.timer.fires_at = None;
        }
    }

    fn counter_answered(&mut self, now: f64, record: &Record) -> Result<(), FrameError> {
        let CounterReply { name, result } = CounterReply::decode(record)?;
        if let Some(customer) = self.customers.get(&(name & CUSTOMER_MASK)) {
            let series = (name >> CUSTOMER_BITS) as u32;
            self.engine.counter_answered(now, CounterKey { customer, series }, result);
        }
        Ok(())
    }

    fn gossip_received(&mut self, now: f64, record: &Record) -> Result<(), FrameError> {
        match gossip::decode(events::message_body(record)?) {
            Some(WireMessage::BackendRecovered(address)) => {
                if let Some(backend) = self.backends.get(&address[..]) {
                    self.engine.gossip_received(now, GossipMessage::BackendRecovered { backend });
                }
            }
            Some(WireMessage::CounterTotal { customer, plan, instances, series, total })
                if plan < self.plans =>
            {
                let key = CounterKey { customer: self.customers.intern(&customer), series };
                let message = GossipMessage::CounterTotal { key, plan, instances, total };
                self.engine.gossip_received(now, message);
            }
            // The plan is not in the settings of this instance.
            Some(_) => {}
            None => return Err(record.frame_error(RecordError::InvalidGossip)),
        }
        Ok(())
    }

    fn route_again(&mut self, now: f64, index: RequestIndex, reply: &mut Reply) {
        let open = self.requests[index].as_ref().filter(|request| !request.is_closed);
        if let Some(attributes) = open.map(|request| request.attributes) {
            let output = self.engine.route(now, index, &attributes);
            self.apply(index, output, reply);
        }
    }

    /// Turns the engine's decision on a request and its effects into actions.
    fn apply(&mut self, index: RequestIndex, output: PolicyOutput, reply: &mut Reply) {
        let request = self.requests[index].as_mut().expect("the engine decides only on stored requests");
        match output.decision {
            Decision::Forward { backend } => {
                request.in_flight += 1;
                request.attempts += 1;
                let address =
                    self.backends.resolve(backend).expect("the engine names only interned backends");
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
        self.apply_effects(output.effects, reply);
        self.release_if_done(index);
    }

    fn apply_effects(&self, effects: Effects, reply: &mut Reply) {
        for call in effects.counter_calls {
            let series = u64::from(call.key.series) << CUSTOMER_BITS;
            let name = self.customer_id(call.key.customer) | series;
            actions::counter_call(reply, name, call.delta, call.lifetime);
        }
        for message in effects.gossip {
            self.send_gossip(message, reply);
        }
        for Cancellation { request: index, attempt } in effects.cancellations {
            if let Some(request) = self.requests[index].as_ref() {
                actions::cancel(reply, request.id, attempt);
            }
        }
        if effects.fetch_endpoints {
            actions::fetch_endpoints(reply);
        }
        for message in effects.log {
            actions::log(reply, &message.to_string());
        }
    }

    /// Sends gossip: the recovery of a backend to all peers, a customer's total to the other instances that the customer uses.
    fn send_gossip(&self, message: GossipMessage, reply: &mut Reply) {
        match message {
            GossipMessage::BackendRecovered { backend } => {
                let address =
                    self.backends.resolve(backend).expect("the engine names only interned backends");
                actions::broadcast(reply, &gossip::encode(&WireMessage::BackendRecovered(address.to_vec())));
            }
            GossipMessage::CounterTotal { key, plan, instances, total } => {
                let customer = self.customer_id(key.customer);
                let body = gossip::encode(&WireMessage::CounterTotal {
                    customer,
                    plan,
                    instances,
                    series: key.series,
                    total,
                });
                let recipients = (instances.first..instances.first + instances.count)
                    .map(|instance| instance % self.instances);
                for peer in recipients.filter(|peer| *peer != self.instance_index) {
                    actions::send(reply, peer, &body);
                }
            }
        }
    }

    /// Sets a timer. Timers cannot be cancelled, so a new one is set only if it fires before the current one.
    fn set_timer(&mut self, now: f64, seconds: Option<f64>, reply: &mut Reply) {
        let Some(seconds) = seconds else { return };
        let seconds = seconds.clamp(0.0, MAX_TIMER_SECONDS);
        let fires_at = microseconds(now + seconds) as u64;
        if self.timer.fires_at.is_none_or(|current| fires_at < current) {
            self.timer.number += 1;
            self.timer.fires_at = Some(fires_at);
            actions::set_timer(reply, self.timer.number, seconds);
        }
    }

    /// Returns the index of the request that an event concerns.
    fn request_index(&self, record: &Record) -> Result<RequestIndex, FrameError> {
        let id = events::request_id(record);
        let index = self.request_indices.get(&id).copied();
        index.ok_or_else(|| record.frame_error(RecordError::UnknownRequest(id)))
    }

    /// Forgets a request once it is closed and has no attempt in flight.
    fn release_if_done(&mut self, index: RequestIndex) {
        let is_done = |request: &Request| request.is_closed && request.in_flight == 0;
        if self.requests[index].as_ref().is_some_and(is_done) {
            let request = self.requests.release(index).expect("the request is stored");
            self.request_indices.remove(&request.id);
        }
    }

    fn customer_id(&self, customer: CustomerIndex) -> u64 {
        *self.customers.resolve(customer).expect("the engine names only interned customers")
    }
}
