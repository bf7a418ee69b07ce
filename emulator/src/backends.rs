//! Backends: queues, cold starts, silence, spoilt answers, connection limits. Deliberately plain.
use crate::net::{Ctx, Item, Party, WireId};
use quillramp_gateway::wire::resp;
use rand::Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Life {
    Up,
    /// Its process is dead: connections are refused.
    Dead,
    /// The machine says nothing.
    Silent,
}

/// What is wrong with one, as shares of its answers; and how many times slower it is.
#[derive(Clone, Copy, Debug)]
pub struct Ills {
    pub slow: f64,
    pub swallow: f64,
    pub spoil: f64,
    pub surplus: f64,
    pub err: f64,
    pub turn_away: f64,
    pub close_behind: f64,
    pub break_off: f64,
}

impl Default for Ills {
    fn default() -> Ills {
        let none = 0.0;
        Ills {
            slow: 1.0,
            swallow: none,
            spoil: none,
            surplus: none,
            err: none,
            turn_away: none,
            close_behind: none,
            break_off: none,
        }
    }
}

struct Job {
    wire: WireId,
    id: u64,
    customer: u64,
    units: f64,
    until: f64,
    long: bool,
}

#[derive(Default)]
struct Link {
    got: Vec<u8>,
    /// Its jobs in their order, and the answers that wait for earlier ones.
    order: VecDeque<u64>,
    ready: HashMap<u64, Option<Vec<u8>>>,
}

pub struct Backend {
    pub index: usize,
    /// Counts its processes.
    pub boot: u64,
    pub life: Life,
    /// It finishes what it has and wants nothing new.
    pub drains: bool,
    pub started: Option<f64>,
    pub ills: Ills,
    links: BTreeMap<WireId, Link>,
    jobs: BTreeMap<u64, Job>,
    waits: VecDeque<u64>,
    runs: usize,
    given: u64,
}

/// More than so many waiting are turned away.
const QUEUE: usize = 120;
const SURPLUS: &[u8] = b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n";
const LONG: std::ops::Range<usize> = 66_000..120_000;

impl Backend {
    pub fn new(index: usize) -> Backend {
        Backend {
            index,
            boot: 0,
            life: Life::Up,
            drains: false,
            started: None,
            ills: Ills::default(),
            links: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waits: VecDeque::new(),
            runs: 0,
            given: 0,
        }
    }

    /// A connection that a front door asks for has come here.
    pub fn dialled(&mut self, ctx: &mut Ctx, wire: WireId) {
        let taken = match self.life {
            Life::Silent => return,
            Life::Dead => false,
            Life::Up => self.links.len() < ctx.world.connections,
        };
        let Some(w) = ctx.wires.get_mut(&wire).filter(|w| w.door_open) else { return };
        w.party_open = taken;
        if taken {
            self.links.insert(wire, Link::default());
        }
        let delay = ctx.delay();
        ctx.later(delay, Item::Up { wire, taken });
    }

    pub fn bytes(&mut self, ctx: &mut Ctx, wire: WireId, bytes: &[u8]) {
        if self.life != Life::Up {
            return;
        }
        let Some(link) = self.links.get_mut(&wire) else { return };
        link.got.extend_from_slice(bytes);
        loop {
            let Some(link) = self.links.get_mut(&wire) else { return };
            match resp::decode_command(&link.got) {
                Ok(Some((resp::ClientCommand::Request(call), n))) => {
                    link.got.drain(..n);
                    self.take(ctx, wire, &call);
                }
                Ok(None) => return,
                _ => return self.hang_up(ctx, wire),
            }
        }
    }

    fn take(&mut self, ctx: &mut Ctx, wire: WireId, call: &resp::RequestCommand) {
        ctx.rules.arrived(ctx.now, self.index, call.units);
        self.given += 1;
        let no = self.given;
        let Some(link) = self.links.get_mut(&wire) else { return };
        link.order.push_back(no);
        if self.drains || self.waits.len() >= QUEUE || ctx.chance(self.ills.turn_away) {
            return self.ready(ctx, wire, no, Some(b"-BUSY\r\n".to_vec()));
        }
        let long = call.idempotent && ctx.chance(ctx.world.long);
        let (id, customer, units) = (call.id, call.customer, call.units);
        let job = Job { wire, id, customer, units, until: ctx.now + call.timeout_ms / 1e3, long };
        self.jobs.insert(no, job);
        self.waits.push_back(no);
        self.begin(ctx);
    }

    fn share(&self, ctx: &Ctx) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let (from, age) = (ctx.world.cold_from, (ctx.now - started) / ctx.world.warm_after);
        (from + (1.0 - from) * age).min(1.0)
    }

    fn begin(&mut self, ctx: &mut Ctx) {
        while self.runs < ctx.world.slots {
            let Some(no) = self.waits.pop_front() else { return };
            let Some(job) = self.jobs.get(&no) else { continue };
            let (wire, id, units) = (job.wire, job.id, job.units);
            // One whose time is up is not begun; one whose connection has gone now and then is.
            if ctx.now > job.until {
                self.jobs.remove(&no);
                self.ready(ctx, wire, no, Some(b"-BUSY\r\n".to_vec()));
                continue;
            }
            if !self.links.contains_key(&wire) && ctx.chance(0.5) {
                self.jobs.remove(&no);
                continue;
            }
            ctx.rules.ran(ctx.now, self.index, id);
            self.runs += 1;
            let jitter = ctx.rng.gen_range(0.6..1.6);
            let seconds = units * ctx.world.service * self.ills.slow * jitter / self.share(ctx);
            ctx.later(seconds, Item::Done { backend: self.index, job: no });
        }
    }

    pub fn done(&mut self, ctx: &mut Ctx, no: u64) {
        let Some(job) = self.jobs.remove(&no) else { return };
        self.runs -= 1;
        let ills = self.ills;
        if self.life == Life::Up && !ctx.chance(ills.swallow) {
            let answer = self.made(ctx, &job);
            self.ready(ctx, job.wire, no, Some(answer));
        }
        if self.life == Life::Up {
            self.begin(ctx);
        }
    }

    fn made(&self, ctx: &mut Ctx, job: &Job) -> Vec<u8> {
        let ills = self.ills;
        if ctx.chance(ills.err) {
            return b"-ERR failed\r\n".to_vec();
        }
        if ctx.chance(ills.spoil) {
            let spoilt: [&[u8]; 5] = [
                b"*3\r\n$5\r\nab",
                b"noise\r\n",
                b"*3\r\n$3000000000\r\nxxxx",
                b"$5\r\nvalue\r\n",
                b"-what is this\r\n",
            ];
            return spoilt[ctx.rng.gen_range(0..spoilt.len())].to_vec();
        }
        let mut value =
            format!("{:016x}:{:x}:{}.{}", job.id, job.customer, self.index, self.boot).into_bytes();
        if job.long {
            value.resize(ctx.rng.gen_range(LONG), b'v');
        }
        let cost = format!("cost={}", job.units);
        let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
        out.extend_from_slice(&value);
        out.extend_from_slice(format!("\r\n${}\r\n{cost}\r\n$-1\r\n", cost.len()).as_bytes());
        if job.long && ctx.chance(ills.break_off) {
            out.truncate(ctx.rng.gen_range(100..out.len()));
            out.shrink_to_fit();
        }
        if !job.long && ctx.chance(ills.surplus) {
            out.extend_from_slice(SURPLUS);
        }
        out
    }

    /// An answer is there; it leaves once all before it on its connection have. None: it never leaves.
    fn ready(&mut self, ctx: &mut Ctx, wire: WireId, no: u64, answer: Option<Vec<u8>>) {
        let Some(link) = self.links.get_mut(&wire) else { return };
        link.ready.insert(no, answer);
        let mut leaves = vec![];
        while let Some(Some(answer)) = link.order.front().and_then(|no| link.ready.remove(no)) {
            link.order.pop_front();
            leaves.extend(answer);
        }
        if leaves.is_empty() {
            return;
        }
        if leaves.ends_with(SURPLUS) && !link.order.is_empty() {
            leaves.truncate(leaves.len() - SURPLUS.len()); // only where nothing else waits there
        }
        // A value that breaks off ends the connection; so does, now and then, an answer like any other.
        let broke = leaves.len() > 64_000 && !leaves.ends_with(b"\r\n");
        // What is too much comes right behind: later, nobody could tell it from the next answer.
        if leaves.ends_with(SURPLUS) {
            ctx.send_whole(wire, true, &leaves);
        } else {
            ctx.send(wire, true, &leaves);
        }
        if broke || ctx.chance(self.ills.close_behind) {
            self.hang_up(ctx, wire);
        }
    }

    fn hang_up(&mut self, ctx: &mut Ctx, wire: WireId) {
        self.links.remove(&wire);
        ctx.end(wire, false, false);
    }

    /// The front door ended it.
    pub fn ended(&mut self, ctx: &mut Ctx, wire: WireId) {
        self.links.remove(&wire);
        ctx.end(wire, false, false);
        ctx.ended(wire, false);
    }

    /// Its process, or its machine, is gone; `says`: connections are reset at once.
    pub fn dies(&mut self, ctx: &mut Ctx, says: bool) {
        self.life = if says { Life::Dead } else { Life::Silent };
        self.jobs.clear();
        self.waits.clear();
        self.runs = 0;
        if says {
            self.reset(ctx);
        }
    }

    fn reset(&mut self, ctx: &mut Ctx) {
        self.links.clear();
        let index = self.index;
        for wire in ctx.wires_of(|w| w.party == Party::Backend(index)) {
            ctx.reset(wire);
        }
    }

    /// A new process there, cold.
    pub fn starts(&mut self, ctx: &mut Ctx) {
        if self.life == Life::Silent {
            self.reset(ctx);
        }
        self.boot += 1;
        (self.life, self.drains, self.started) = (Life::Up, false, Some(ctx.now));
        ctx.rules.started(ctx.now, self.index);
    }
}
