//! A desk that asks a door and writes its decisions down, one short line each.
use quillramp::decide::Door;
use quillramp::types::*;
use std::collections::BTreeMap;
use std::fmt::Write;

pub struct Desk {
    pub door: Door,
    asks: Vec<Ask>,
    calls: Vec<CounterCall>,
    /// The counts as they stand on the counter, by series.
    pub counts: BTreeMap<u32, f64>,
    text: String,
}

pub fn operation(effect: Effect) -> Operation {
    Operation { latency_objective: 1.0, effect }
}

pub fn plan() -> Plan {
    Plan { rate: 2.0, burst: 8.0, open: 0, ceiling_rate: 0.0, ceiling_burst: 0.0, ceiling_slack: 0.0 }
}

pub fn may() -> Deliveries {
    Deliveries { most: 5, second_copies: true, cancels: true, retry_after: Some(2.0) }
}

pub fn desk(operations: Vec<Operation>, plans: Vec<Plan>, may: Deliveries, backends: usize) -> Desk {
    let cold = ColdStart { cold_from: 0.2, warm_after: 10.0, fall_after: 1.0 };
    let counter = Some(CounterLimits { timeout: 0.05 });
    let door = Door::new((7, 2.0, false, false), (operations, plans), (cold, may), counter);
    let mut desk = Desk { door, asks: vec![], calls: vec![], counts: BTreeMap::new(), text: String::new() };
    let list: Vec<Listed> = (0..backends).map(listed).collect();
    desk.door.listed(30.0, true, &list);
    desk
}

pub fn listed(tgt: Tgt) -> Listed {
    Listed { tgt, standing: Standing::Ready, zone: tgt % 2, cell: tgt / 2, size: 1.0, started: None }
}

impl Desk {
    /// An invocation of customer 0 comes, with 4 s before its client gives up.
    pub fn comes(&mut self, now: f64, operation: usize, units: f64) -> Inv {
        self.wait(now);
        self.asks.push(Ask { operation, plan: 0, customer: 0, units, doors: 2, until: now + 4.0 });
        let inv = self.asks.len() - 1;

        let answer = self.door.place(now, inv, &self.asks[inv]);
        self.note(now, &format!("{inv} comes"), answer);
        inv
    }

    /// The counter takes up all calls made so far and those that its answers bring.
    pub fn counter(&mut self, now: f64) {
        while !self.calls.is_empty() {
            let call = self.calls.remove(0);
            let count = self.counts.entry(call.name.series).or_default();
            *count += call.add;
            let total = *count;
            self.door.counted(now, call.name, Counted::Total(total));
            self.wait(now);
        }
    }

    /// All calls made so far fail.
    pub fn no_counter(&mut self, now: f64, how: Counted) {
        for call in std::mem::take(&mut self.calls) {
            self.door.counted(now, call.name, how);
        }
        self.wait(now);
    }

    pub fn ends(&mut self, now: f64, inv: Inv, delivery: usize, tgt: Tgt, ending: Ending, took: f64) {
        self.wait(now);
        let closed = ending == Ending::Succeeded;
        let outcome = Outcome { delivery, tgt, ending, took, closed, true_units: None };
        let answer = self.door.after(now, inv, &outcome);
        self.note(now, &format!("{inv} {ending:?}"), answer);
    }

    /// The timer rings: whom the door wants to be asked about again is asked.
    pub fn wait(&mut self, now: f64) {
        loop {
            let wait = self.door.wait(now);
            self.errands(now, wait.errands);
            if wait.again.is_empty() {
                return;
            }
            for inv in wait.again {
                let answer = self.door.place(now, inv, &self.asks[inv]);
                if answer.verdict == Verdict::NotYet {
                    self.errands(now, answer.errands); // it waits on
                } else {
                    self.note(now, &inv.to_string(), answer);
                }
            }
        }
    }

    fn note(&mut self, now: f64, what: &str, answer: Answer) {
        let verdict = match answer.verdict {
            Verdict::Deliver { tgt } => format!("to {tgt}"),
            Verdict::NotYet => "not yet".into(),
            Verdict::Throttle { retry_after: Some(s) } => format!("throttled, {s:.2} s"),
            Verdict::Throttle { retry_after: None } => "throttled".into(),
            Verdict::Error => "error".into(),
        };
        writeln!(self.text, "{now:.3} {what}: {verdict}").expect("writes to a string");
        self.errands(now, answer.errands);
    }

    fn errands(&mut self, now: f64, errands: Errands) {
        self.calls.extend(&errands.counter);
        for c in errands.counter {
            writeln!(self.text, "{now:.3} count {}: {:+.2}", c.name.series, c.add).expect("writes");
        }
        for (inv, delivery) in errands.cancels {
            writeln!(self.text, "{now:.3} cancel {inv}.{delivery}").expect("writes");
        }
        if errands.ask_for_list {
            writeln!(self.text, "{now:.3} asks for the list").expect("writes");
        }
        for line in errands.log {
            writeln!(self.text, "{now:.3} log: {line}").expect("writes");
        }
    }

    /// What was decided since the last look.
    pub fn told(&mut self) -> String {
        std::mem::take(&mut self.text)
    }
}
