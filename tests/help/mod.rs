//! A desk that asks a door and writes its decisions down, one short line each.
use quillramp::policy::PolicyEngine;
use quillramp::types::*;
use std::collections::BTreeMap;
use std::fmt::Write;

mod settings;
pub use settings::*;

pub struct Desk {
    pub door: PolicyEngine,
    asks: Vec<RequestAttributes>,
    calls: Vec<CounterCall>,
    /// The counts as they stand on the counter, by series and a hundred times the customer.
    pub counts: BTreeMap<u32, f64>,
    /// Where each invocation's deliveries went.
    sent: BTreeMap<RequestIndex, Vec<BackendIndex>>,
    seen: usize,
    text: String,
}

pub fn desk(operations: Vec<Operation>, plans: Vec<Plan>, may: AttemptSettings, backends: usize) -> Desk {
    desk_among(2.0, operations, plans, may, backends)
}

pub fn desk_among(
    doors: f64,
    operations: Vec<Operation>,
    plans: Vec<Plan>,
    may: AttemptSettings,
    backends: usize,
) -> Desk {
    let cold = SlowStart { initial_fraction: 0.2, duration: 10.0 };
    let counter = Some(CounterSettings { timeout: 0.05 });
    let door = PolicyEngine::new(EngineSettings {
        seed: 7,
        instances: doors,
        gossip_intake_rate: 40.0,
        polls_endpoints: false,
        operations,
        plans,
        slow_start: cold,
        attempts: may,
        counter,
    });
    let mut desk = Desk {
        door,
        asks: vec![],
        calls: vec![],
        counts: BTreeMap::new(),
        sent: BTreeMap::new(),
        seen: 0,
        text: String::new(),
    };
    let list: Vec<Endpoint> = (0..backends).map(listed).collect();
    desk.door.update_endpoints(30.0, true, &list);
    desk
}

impl Desk {
    /// An invocation of customer 0 comes, with 4 s before its client gives up.
    pub fn comes(&mut self, now: f64, operation: usize, units: f64) -> RequestIndex {
        self.asked(now, RequestAttributes { operation, units, ..RequestAttributes::default() })
    }

    pub fn comes_of(&mut self, now: f64, customer: CustomerIndex, units: f64) -> RequestIndex {
        self.asked(now, RequestAttributes { customer, units, ..RequestAttributes::default() })
    }

    pub fn comes_for(&mut self, now: f64, customer: CustomerIndex, operation: usize) -> RequestIndex {
        self.asked(now, RequestAttributes { customer, operation, units: 1.0, ..RequestAttributes::default() })
    }

    pub fn comes_under(&mut self, now: f64, customer: CustomerIndex, plan: usize) -> RequestIndex {
        self.asked(now, RequestAttributes { customer, plan, units: 1.0, ..RequestAttributes::default() })
    }

    pub fn comes_declared(&mut self, now: f64, declared: RequestLimits) -> RequestIndex {
        self.asked(now, RequestAttributes { units: 1.0, limits: declared, ..RequestAttributes::default() })
    }

    pub fn comes_until(&mut self, now: f64, until: f64) -> RequestIndex {
        self.asked(now, RequestAttributes { units: 1.0, deadline: until, ..RequestAttributes::default() })
    }

    /// Of customer 0, whose front doors are so many.
    pub fn comes_among(&mut self, now: f64, number: usize, units: f64) -> RequestIndex {
        self.asked(
            now,
            RequestAttributes {
                units,
                instances: InstanceRange { first: 0, count: number },
                ..RequestAttributes::default()
            },
        )
    }

    fn asked(&mut self, now: f64, ask: RequestAttributes) -> RequestIndex {
        self.wait(now);
        let until = if ask.deadline > 0.0 { ask.deadline } else { now + 4.0 };
        let of = if ask.instances.count > 0 { ask.instances } else { InstanceRange { first: 0, count: 2 } };
        self.asks.push(RequestAttributes { instances: of, deadline: until, ..ask });
        let inv = self.asks.len() - 1;
        let answer = self.door.route(now, inv, &self.asks[inv]);
        self.note(now, inv, " comes", answer);
        inv
    }

    /// The counter takes up all calls made so far and those that its answers bring.
    pub fn counter(&mut self, now: f64) {
        while !self.calls.is_empty() {
            let call = self.calls.remove(0);
            let count = self.counts.entry(call.key.series + 100 * call.key.customer as u32).or_default();
            *count += call.delta;
            let total = *count;
            self.door.counter_answered(now, call.key, CounterResult::Total(total));
            self.wait(now);
        }
    }

    /// All calls made so far fail.
    pub fn no_counter(&mut self, now: f64, how: CounterResult) {
        for call in std::mem::take(&mut self.calls) {
            self.door.counter_answered(now, call.key, how);
        }
        self.wait(now);
    }

    pub fn ends(&mut self, now: f64, inv: RequestIndex, delivery: usize, ending: AttemptResult, took: f64) {
        self.wait(now);
        let closed = ending == AttemptResult::Succeeded;
        let tgt = self.sent[&inv][delivery];
        let outcome = AttemptOutcome {
            attempt: delivery,
            backend: tgt,
            result: ending,
            duration: took,
            request_closed: closed,
            billed_units: None,
            load_report: None,
        };
        let answer = self.door.attempt_ended(now, inv, &outcome);
        self.note(now, inv, &format!(" {ending:?}"), answer);
    }

    pub fn ends_telling(&mut self, now: f64, inv: RequestIndex, took: f64, report: Option<LoadReport>) {
        let tgt = self.sent[&inv][0];
        let answer = self.door.attempt_ended(
            now,
            inv,
            &AttemptOutcome { backend: tgt, load_report: report, ..succeeded(took) },
        );
        self.note(now, inv, " Succeeded", answer);
    }

    /// The timer rings: whom the door wants to be asked about again is asked.
    pub fn wait(&mut self, now: f64) {
        loop {
            let wait = self.door.poll(now);
            self.errands(now, wait.effects);
            if wait.reconsider.is_empty() {
                return;
            }
            for inv in wait.reconsider {
                let answer = self.door.route(now, inv, &self.asks[inv]);
                if answer.decision == Decision::Pending {
                    self.errands(now, answer.effects); // it waits on
                } else {
                    self.note(now, inv, "", answer);
                }
            }
        }
    }

    fn note(&mut self, now: f64, inv: RequestIndex, what: &str, answer: PolicyOutput) {
        if let Decision::Forward { backend: tgt } = answer.decision {
            self.sent.entry(inv).or_default().push(tgt);
        }
        let verdict = match answer.decision {
            Decision::Forward { backend: tgt } => format!("to {tgt}"),
            Decision::Pending => "not yet".into(),
            Decision::Throttle { retry_after: Some(s) } => format!("throttled, {s:.2} s"),
            Decision::Throttle { retry_after: None } => "throttled".into(),
            Decision::Error => "error".into(),
        };
        writeln!(self.text, "{now:.3} {inv}{what}: {verdict}").expect("writes to a string");
        self.errands(now, answer.effects);
    }

    fn errands(&mut self, now: f64, errands: Effects) {
        self.calls.extend(&errands.counter_calls);
        for c in errands.counter_calls {
            writeln!(self.text, "{now:.3} count {}: {:+.2}", c.key.series, c.delta).expect("writes");
        }
        for (inv, delivery) in errands.cancellations {
            writeln!(self.text, "{now:.3} cancel {inv}.{delivery}").expect("writes");
        }
        if errands.fetch_endpoints {
            writeln!(self.text, "{now:.3} asks for the list").expect("writes");
        }
        for word in errands.gossip {
            writeln!(self.text, "{now:.3} tells {word:?}").expect("writes to a string");
        }
        for line in errands.log {
            writeln!(self.text, "{now:.3} log: {line}").expect("writes");
        }
    }

    /// A peer tells what a customer's count stands at.
    pub fn heard(&mut self, now: f64, customer: CustomerIndex, series: u32, total: f64) {
        let (name, of) = (CounterKey { customer, series }, InstanceRange { first: 0, count: 2 });
        self.door
            .gossip_received(now, GossipMessage::CounterTotal { key: name, plan: 0, instances: of, total });
    }

    /// The invocations sent on since the last look.
    pub fn take_sent(&mut self) -> Vec<RequestIndex> {
        let seen = std::mem::replace(&mut self.seen, self.asks.len());
        self.sent.keys().copied().filter(|i| *i >= seen).collect()
    }

    /// What was decided since the last look, a line for each time.
    pub fn told(&mut self) -> String {
        let (mut told, mut last) = (String::new(), "");
        for line in self.text.lines() {
            let (at, what) = line.split_once(' ').expect("a time and what was decided");
            told += &if at == last { format!("; {what}") } else { format!("\n{line}") };
            last = at;
        }
        told = told.trim_start().to_string();
        self.text.clear();
        told
    }

    pub fn check(&mut self, trace: expect_test::Expect) {
        trace.assert_eq(&self.told());
    }
}
