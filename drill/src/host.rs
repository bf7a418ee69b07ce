//! Hosts instances: events into calls, answers into actions. It holds ids, timers and invocations; it decides nothing.
use crate::frame::{Batch, Malformed, Record, Reply};
use quillramp::decide::Door;
use quillramp::facts;
use quillramp::ids::{Ids, Slots};
use quillramp::types::*;
use quillramp::word::{self, Said};
use std::collections::{BTreeMap, HashMap};

const KEY_BITS: u32 = 33;
const ENTRY: usize = 23;

struct Held {
    id: u32,
    ask: Ask,
    out: usize,
    sent: usize,
    closed: bool,
}

struct Instance {
    door: Door,
    doors: usize,
    slot: usize,
    operations: usize,
    plans: usize,
    report: Vec<String>,
    held: Slots<Held>,
    by_id: HashMap<u32, usize>,
    backends: Ids<[u8; 6]>,
    customers: Ids<u64>,
    timer: Option<u64>,
    timers: u64,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
}

impl Host {
    pub fn answer(&mut self, batch: &Batch) -> Vec<u8> {
        let mut reply = Reply::default();
        if let Err(e) = self.run(batch, &mut reply) {
            reply.with_tail(130, 1, e.0.as_bytes());
        }
        reply.frame()
    }

    fn run(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), Malformed> {
        let now = batch.clock as f64 / 1e6;
        let mut named = false;
        for i in 0..batch.records {
            let r = batch.record(i);
            if r.code() == 10 {
                if named {
                    self.settle(now, reply);
                }
                reply.door = r.u32(1);
                named = true;
                continue;
            }
            if !named {
                return Err(r.wrong("no instance was named before it"));
            }
            match r.code() {
                60 => {
                    let start = facts::start(r.u64(1), r.tail(9, 1)?).map_err(|e| r.wrong(e))?;
                    self.instances.insert(reply.door, Instance::new(start));
                }
                50 => {
                    self.instances.remove(&reply.door);
                }
                code => {
                    let Some(x) = self.instances.get_mut(&reply.door) else {
                        return Err(r.wrong(format!("instance {} has not started", reply.door)));
                    };
                    match code {
                        90 => x.listed(now, &r)?,
                        120 => x.submitted(now, &r, reply)?,
                        110 => x.streaming(now, &r)?,
                        80 => x.completed(now, &r, reply)?,
                        30 => x.aborted(now, &r),
                        20 => x.due(&r),
                        100 => x.counted(now, &r)?,
                        40 => x.peer_said(now, &r)?,
                        70 => x.probed(&r)?,
                        _ => return Err(r.wrong("unknown code")),
                    }
                }
            }
        }
        if named {
            self.settle(now, reply);
        }
        Ok(())
    }

    /// After an instance's events: whom to ask about again, and the next timer.
    fn settle(&mut self, now: f64, reply: &mut Reply) {
        if let Some(x) = self.instances.get_mut(&reply.door) {
            x.settle(now, reply);
        }
    }
}

fn ending(r: &Record, at: usize) -> Result<Ending, Malformed> {
    Ok(match r.u16(at) {
        1 => Ending::Succeeded,
        2 => Ending::Errored,
        3 => Ending::TurnedAway,
        4 => Ending::TimedOut,
        5 => Ending::NotConnected,
        6 => Ending::Broken,
        7 => Ending::Cancelled,
        8 => Ending::NotSent,
        n => return Err(r.wrong(format!("unknown outcome {n}"))),
    })
}

impl Instance {
    fn new(start: facts::Start) -> Instance {
        Instance {
            door: start.door,
            doors: start.about.doors,
            slot: start.about.slot,
            operations: start.about.operations.len(),
            plans: start.about.plans.len(),
            report: start.about.report,
            held: Slots::default(),
            by_id: HashMap::new(),
            backends: Ids::default(),
            customers: Ids::default(),
            timer: None,
            timers: 0,
        }
    }

    fn listed(&mut self, now: f64, r: &Record) -> Result<(), Malformed> {
        let whole = match r.u8(5) {
            0 => {
                self.door.unlisted(now);
                return Ok(());
            }
            1 => false,
            2 | 3 => true,
            n => return Err(r.wrong(format!("unknown kind of list {n}"))),
        };
        let mut entries = Vec::new();
        for (i, e) in r.tail(6, ENTRY)?.chunks_exact(ENTRY).enumerate() {
            let address: [u8; 6] = e[3..9].try_into().expect("six bytes");
            let standing = match e[9] {
                0 => Standing::Gone,
                1 => Standing::Ready,
                2 => Standing::Draining,
                n => return Err(r.wrong(format!("entry {i}: unknown state {n}"))),
            };
            let tgt = self.backends.index(&address);
            let started = u64::from_le_bytes(e[10..18].try_into().expect("eight bytes"));
            entries.push(Listed {
                tgt,
                standing,
                zone: usize::from(e[2]),
                cell: usize::from(u16::from_le_bytes([e[0], e[1]])),
                size: f64::from(f32::from_le_bytes(e[19..23].try_into().expect("four bytes"))),
                started: (started > 0).then_some(started as f64 / 1e6),
            });
        }
        self.door.listed(now, whole, &entries);
        Ok(())
    }

    fn submitted(&mut self, now: f64, r: &Record, reply: &mut Reply) -> Result<(), Malformed> {
        let (operation, plan) = (usize::from(r.u8(28)), usize::from(r.u16(25)));
        if operation >= self.operations {
            return Err(r.wrong(format!("operation {operation} of {}", self.operations)));
        }
        if plan >= self.plans {
            return Err(r.wrong(format!("plan {plan} of {}", self.plans)));
        }
        let units = r.f32(13);
        if !(units.is_finite() && units >= 0.0) {
            return Err(r.wrong(format!("{units} units")));
        }
        let customer = self.customers.index(&r.u64(17));
        let until = now + r.seconds(9);
        let of = Doors { first: r.f32(5) as usize, number: r.f32(29) as usize };
        let ask = Ask { operation, plan, customer, units, of, until, ..Ask::default() };
        let id = r.u32(1);
        let inv = self.held.put(Held { id, ask, out: 0, sent: 0, closed: false });
        self.by_id.insert(id, inv);
        let answer = self.door.place(now, inv, &ask);
        self.carry_out(inv, answer, reply);
        Ok(())
    }

    fn streaming(&mut self, now: f64, r: &Record) -> Result<(), Malformed> {
        match self.by_id.get(&r.u32(1)) {
            Some(&inv) => self.door.streaming(now, inv),
            None => return Err(r.wrong(format!("invocation {} is not held", r.u32(1)))),
        }
        Ok(())
    }

    fn completed(&mut self, now: f64, r: &Record, reply: &mut Reply) -> Result<(), Malformed> {
        let id = r.u32(1);
        let Some(&inv) = self.by_id.get(&id) else {
            return Err(r.wrong(format!("invocation {id} is not held")));
        };
        let address = r.address(7);
        let Some(tgt) = self.backends.find(&address) else {
            return Err(r.wrong(format!("backend {address:?} was never listed")));
        };
        let ending = ending(r, 13)?;
        let delivery = usize::from(r.u16(5));
        let held = self.held[inv].as_mut().expect("an id leads to a held invocation");
        if delivery >= held.sent {
            return Err(r.wrong(format!("delivery {delivery} of {}", held.sent)));
        }
        held.out = held.out.saturating_sub(1);
        let closed = r.u8(19) != 0;
        held.closed |= closed;
        let true_units = (r.u16(22) > 0).then(|| f64::from(r.u16(22)));
        let told = usize::from(r.u8(24));
        let report =
            facts::report(&self.report[..self.report.len().min(told)], |i, _| Some(r.f32(25 + 4 * i)));
        let outcome = Outcome { delivery, tgt, ending, took: r.seconds(15), closed, true_units, report };
        let answer = self.door.after(now, inv, &outcome);
        self.carry_out(inv, answer, reply);
        Ok(())
    }

    fn aborted(&mut self, now: f64, r: &Record) {
        if let Some(&inv) = self.by_id.get(&r.u32(1)) {
            self.door.gone(now, inv);
            if let Some(held) = self.held[inv].as_mut() {
                held.closed = true;
            }
            self.release(inv);
        }
    }

    fn due(&mut self, r: &Record) {
        if r.u64(1) == self.timers {
            self.timer = None;
        }
    }

    fn counted(&mut self, now: f64, r: &Record) -> Result<(), Malformed> {
        let name = r.u64(5);
        let result = match r.u16(13) {
            1 => Counted::Total(r.f32(15)),
            3 | 5 => Counted::Unreached,
            4 => Counted::Unanswered,
            n => return Err(r.wrong(format!("unknown outcome {n}"))),
        };
        if let Some(customer) = self.customers.find(&(name & ((1 << KEY_BITS) - 1))) {
            let series = (name >> KEY_BITS) as u32;
            self.door.counted(now, CountName { customer, series }, result);
        }
        Ok(())
    }

    fn peer_said(&mut self, now: f64, r: &Record) -> Result<(), Malformed> {
        match word::decode(r.tail(5, 1)?) {
            Some(Said::Backend(address)) => {
                if let Some(tgt) = self.backends.find(&address[..]) {
                    self.door.peer_word(now, Word::Backend { tgt });
                }
            }
            Some(Said::Count { customer, plan, of, series, total }) if plan < self.plans => {
                let name = CountName { customer: self.customers.index(&customer), series };
                self.door.peer_word(now, Word::Count { name, plan, of, total });
            }
            Some(_) => {}
            None => return Err(r.wrong("no word of ours")),
        }
        Ok(())
    }

    fn probed(&mut self, r: &Record) -> Result<(), Malformed> {
        ending(r, 7).map(|_| ())
    }

    fn release(&mut self, inv: Inv) {
        if self.held[inv].as_ref().is_some_and(|h| h.closed && h.out == 0) {
            let held = self.held.release(inv).expect("checked");
            self.by_id.remove(&held.id);
        }
    }

    fn carry_out(&mut self, inv: Inv, answer: Answer, reply: &mut Reply) {
        let held = self.held[inv].as_mut().expect("asked about a held invocation");
        let id = held.id.to_le_bytes();
        match answer.verdict {
            Verdict::Deliver { tgt } => {
                held.out += 1;
                held.sent += 1;
                let address = self.backends.name(tgt).expect("the decisions name listed backends");
                reply.put(140).bytes(1, &id).bytes(5, address);
            }
            Verdict::NotYet => {}
            Verdict::Throttle { retry_after } => {
                held.closed = true;
                reply.put(80).bytes(1, &id).micros(5, retry_after.unwrap_or(0.0));
            }
            Verdict::Error => {
                held.closed = true;
                reply.put(30).bytes(1, &id);
            }
        }
        self.run_errands(answer.errands, reply);
        self.release(inv);
    }

    fn key(&self, customer: Customer) -> u64 {
        *self.customers.name(customer).expect("the decisions name customers in hand")
    }

    fn run_errands(&mut self, errands: Errands, reply: &mut Reply) {
        for c in errands.counter {
            let name = self.key(c.name.customer) | u64::from(c.name.series) << KEY_BITS;
            let add = (c.add as f32).to_le_bytes();
            reply.put(70).bytes(1, &name.to_le_bytes()).bytes(9, &add).micros(13, c.lives);
        }
        for word in errands.words {
            match word {
                Word::Backend { tgt } => {
                    let address = self.backends.name(tgt).expect("the decisions name listed backends");
                    let body = word::encode(&Said::Backend(address.to_vec()));
                    reply.with_tail(90, 3, &body).bytes(1, &[0xff, 0xff]);
                }
                Word::Count { name, plan, of, total } => {
                    let (customer, series) = (self.key(name.customer), name.series);
                    let body = word::encode(&Said::Count { customer, plan, of, series, total });
                    for peer in (of.first..of.first + of.number).map(|i| i % self.doors) {
                        if peer != self.slot {
                            reply.with_tail(90, 3, &body).bytes(1, &(peer as u16).to_le_bytes());
                        }
                    }
                }
            }
        }
        for (inv, delivery) in errands.cancels {
            if let Some(held) = self.held[inv].as_ref() {
                reply.put(110).bytes(1, &held.id.to_le_bytes()).bytes(5, &(delivery as u16).to_le_bytes());
            }
        }
        if errands.ask_for_list {
            reply.put(60).bytes(1, &[1]);
        }
        for line in errands.log {
            reply.with_tail(120, 1, line.as_bytes());
        }
    }

    fn settle(&mut self, now: f64, reply: &mut Reply) {
        loop {
            let wait = self.door.wait(now);
            self.run_errands(wait.errands, reply);
            for customer in wait.idle {
                self.customers.release(customer);
            }
            if wait.again.is_empty() {
                return self.set_timer(now, wait.seconds, reply);
            }
            for inv in wait.again {
                if let Some(ask) = self.held[inv].as_ref().filter(|h| !h.closed).map(|h| h.ask) {
                    let answer = self.door.place(now, inv, &ask);
                    self.carry_out(inv, answer, reply);
                }
            }
        }
    }

    /// Timers can't be taken back: a new one is set only where it rings before the one that stands.
    fn set_timer(&mut self, now: f64, seconds: Option<f64>, reply: &mut Reply) {
        let Some(seconds) = seconds else { return };
        let at = ((now + seconds.clamp(0.0, 3600.0)) * 1e6).ceil() as u64;
        if self.timer.is_none_or(|t| at < t) {
            self.timers += 1;
            self.timer = Some(at);
            reply.put(10).bytes(1, &self.timers.to_le_bytes()).micros(9, seconds.clamp(0.0, 3600.0));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frame;
    use expect_test::expect;

    /// What the host says of a frame of these event records and this tail.
    fn said(records: &[Vec<u8>], tail: &[u8]) -> String {
        let mut bytes = (records.len() as u32).to_le_bytes().to_vec();
        bytes.extend(((16 + records.len() * frame::EVENT + tail.len()) as u32).to_le_bytes());
        bytes.extend(7_000_000u64.to_le_bytes());
        for r in records {
            bytes.extend(r);
            bytes.resize(bytes.len() + frame::EVENT - r.len(), 0);
        }
        bytes.extend(tail);
        match frame::read(&mut &bytes[..]) {
            Err(e) => format!("stop: {e}\n"),
            Ok(None) => "end\n".into(),
            Ok(Some(Err(e))) => format!("broken: {e}\n"),
            Ok(Some(Ok(batch))) => {
                let reply = Host::default().answer(&batch);
                let n = u32::from_le_bytes(reply[..4].try_into().expect("four bytes")) as usize;
                format!("broken: {}\n", String::from_utf8_lossy(&reply[8 + n * frame::ACTION..]))
            }
        }
    }

    #[test]
    fn malformed_input_is_named_and_never_a_panic() {
        let door = vec![10, 3, 0, 0, 0];
        let start = |n: u8| [vec![60], vec![0; 8], vec![0, 0, 0, 0, n, 0, 0, 0]].concat();
        let mut all = said(&[vec![120]], &[]);
        all += &said(&[door.clone(), vec![120]], &[]);
        all += &said(&[door.clone(), start(9)], b"short");
        all += &said(&[door.clone(), start(5)], b"short");
        all += &said(&[door, start(13)], b"{\"tiers\": []}");
        let cut = frame::read(&mut &[1u8, 0, 0][..]).map(|_| ()).expect_err("cut short");
        all += &format!("stop: {cut}\n");
        expect![[r#"
            broken: record 0 (code 120): no instance was named before it
            broken: record 1 (code 120): instance 3 has not started
            broken: record 1 (code 60): offset 0 with 9 x 1 bytes lies outside the tail of 5
            broken: record 1 (code 60): settings: expected value at line 1 column 1
            broken: record 1 (code 60): settings: missing field `balancers` at line 1 column 13
            stop: frame header cut short: 3 of 16 bytes
        "#]]
        .assert_eq(&all);
    }
}
