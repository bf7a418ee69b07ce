//! Clients: a front that deals each customer's invocations out among its front doors, over connections that are kept;
//! rude ones, and those that leave early or come in herds.
use crate::net::{Ctx, Item, Party, WireId};
use crate::rules::{self, Said};
use quillramp_gateway::state::event::ConnectionId;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// Connections of the front to one front door.
const CONNECTIONS: usize = 24;
/// Where the front's addresses are.
pub const KNOWN: &str = "127.0.9.0/24";
/// Commands on one of them at once.
const PIPELINED: usize = 3;

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Asked {
    pub customer: u64,
    pub operation: usize,
    pub units: f64,
    pub tries: u32,
}

/// An operation as clients know it: name, whether it goes by GET, seconds that they wait.
#[derive(Clone, Debug)]
pub struct Offer {
    pub name: String,
    pub get: bool,
    pub timeout: f64,
    pub weight: f64,
}

struct Link {
    door: usize,
    got: Vec<u8>,
    owed: VecDeque<usize>,
    silent: bool,
}

#[derive(Default)]
pub struct Clients {
    pub offers: Vec<Offer>,
    pub plans: Vec<String>,
    links: BTreeMap<WireId, Link>,
    asked: Vec<Asked>,
    ids: u64,
    pub burst: f64,
    pub leave: f64,
    pub rude: f64,
}

const RUDE: [&[u8]; 9] = [
    b"hello\r\n",
    b"*5\r\n$9\r\nCALL.POST\r\n$-7\r\n",
    b"*3\r\n$4\r\nWHAT\r\n$1\r\na\r\n$1\r\nb\r\n",
    b"*999999999\r\n",
    b"*4\r\n$8\r\nCALL.GET\r\n$60000000\r\n",
    b"*4\r\n$8\r\nCALL.GET\r\n$3\r\nNaN\r\n$16\r\n0000000000000001\r\n$7\r\nc=look1\r\n",
    b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000000000000001\r\n$16\r\nffffffffffffffff\r\n$52\r\nc=nothing,t=small,d=800,units=1,spread=1,first=0,r=01\r\n",
    b"*2\r\n$4\r\nPING",
    b"$$$$$$$$$$$$$$$$\n",
];

impl Clients {
    pub fn new(offers: Vec<Offer>, plans: Vec<String>) -> Clients {
        Clients { offers, plans, burst: 1.0, ..Clients::default() }
    }

    /// The next invocation has come; and when the one after it does.
    pub fn comes(&mut self, ctx: &mut Ctx, serving: &[Option<usize>], until: f64) {
        let gap = -(1.0 - ctx.rng.gen_range(0.0..1.0f64)).ln() / (ctx.world.rate * self.burst);
        if ctx.now + gap < until {
            ctx.later(gap, Item::Comes);
        }
        // Few customers ask for much.
        let skewed = ctx.rng.gen_range(0.0..1.0f64).powi(2) * ctx.world.customers as f64;
        let mut draw = ctx.rng.gen_range(0.0..self.offers.iter().map(|o| o.weight).sum::<f64>());
        let operation = self.offers.iter().position(|o| {
            draw -= o.weight;
            draw < 0.0
        });
        let units = f64::from(ctx.rng.gen_range(1..=3u32));
        let operation = operation.unwrap_or(0);
        self.asked.push(Asked { customer: skewed as u64, operation, units, tries: 0 });
        self.ask(ctx, serving, self.asked.len() - 1);
    }

    /// A customer's front doors: how many, from the first.
    fn doors_of(customer: u64, doors: usize) -> (usize, usize) {
        let first = customer as usize % doors;
        (first, 1 + customer as usize % doors.min(3))
    }

    /// Sends what was asked for to one of its customer's front doors.
    pub fn ask(&mut self, ctx: &mut Ctx, serving: &[Option<usize>], which: usize) {
        let asked = self.asked[which].clone();
        let (first, spread) = Self::doors_of(asked.customer, serving.len());
        let door = (first + ctx.rng.gen_range(0..spread)) % serving.len();
        let Some(wire) = self.connection(ctx, serving, door) else { return };
        self.ids += 1;
        let offer = &self.offers[asked.operation];
        // Ids are all different and look it.
        let id = (self.ids ^ 0x5bd1_e995).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let wait = (offer.timeout * 1e3 * ctx.rng.gen_range(0.5..1.0)).floor();
        let plan = &self.plans[asked.customer as usize % self.plans.len()];
        let list =
            format!("c={},t={plan},d={wait},units={},spread={spread},first={first}", offer.name, asked.units);
        let (verb, n) = if offer.get { ("CALL.GET", 4) } else { ("CALL.POST", 5) };
        let mut out = format!(
            "*{n}\r\n${}\r\n{verb}\r\n$16\r\n{:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
            verb.len(),
            asked.customer,
            list.len()
        )
        .into_bytes();
        if !offer.get {
            let body = if ctx.chance(ctx.world.long) { ctx.rng.gen_range(66_000..90_000) } else { 12 };
            out.extend_from_slice(format!("${body}\r\n").as_bytes());
            out.resize(out.len() + body, b'b');
            out.extend_from_slice(b"\r\n");
        }
        ctx.send(wire, true, &out);
        self.links.get_mut(&wire).expect("just found").owed.push_back(which);
        if ctx.chance(self.leave) {
            let after = ctx.rng.gen_range(0.0..0.1);
            ctx.later(after, Item::Leaves(wire));
        }
    }

    /// One that is idle, or not too busy, or a new one; none where nobody listens.
    fn connection(&mut self, ctx: &mut Ctx, serving: &[Option<usize>], door: usize) -> Option<WireId> {
        let own = || self.links.iter().filter(|(_, l)| l.door == door && !l.silent);
        let pipelines = ctx.rng.gen_bool(0.15);
        let idle = own().find(|(_, l)| l.owed.is_empty()).map(|(w, _)| *w);
        let busy = own().filter(|(_, l)| l.owed.len() < PIPELINED).min_by_key(|(w, l)| (l.owed.len(), **w));
        let busy = busy.map(|(w, _)| *w);
        if let Some(wire) = if pipelines { busy } else { idle } {
            return Some(wire);
        }
        if own().count() >= CONNECTIONS {
            return busy;
        }
        let process = serving[door]?;
        Some(self.connect(ctx, (process, door), false, false))
    }

    fn connect(
        &mut self,
        ctx: &mut Ctx,
        (process, door): (usize, usize),
        rude: bool,
        silent: bool,
    ) -> WireId {
        let wire = ctx.open(process, ConnectionId::Client(0), Party::Client);
        let opened = ctx.wires.get_mut(&wire).expect("just opened");
        (opened.party_open, opened.rude, opened.known) = (true, rude, !silent);
        opened.from = if silent { Ipv4Addr::new(127, 0, 10, 1) } else { Ipv4Addr::new(127, 0, 9, 1) }.into();
        self.links.insert(wire, Link { door, got: vec![], owed: VecDeque::new(), silent: silent || rude });
        ctx.dial_in(wire);
        wire
    }

    /// A rude client comes; and when the next one does.
    pub fn rude_comes(&mut self, ctx: &mut Ctx, serving: &[Option<usize>]) {
        if self.rude <= 0.0 {
            return;
        }
        ctx.later(1.0 / self.rude, Item::RudeComes);
        let door = ctx.rng.gen_range(0..serving.len());
        let Some(process) = serving[door] else { return };
        let wire = self.connect(ctx, (process, door), true, true);
        let says = RUDE[ctx.rng.gen_range(0..RUDE.len())];
        ctx.send(wire, true, says);
    }

    /// So many connect and say nothing.
    pub fn herd(&mut self, ctx: &mut Ctx, serving: &[Option<usize>], number: usize) {
        for _ in 0..number {
            let door = ctx.rng.gen_range(0..serving.len());
            if let Some(process) = serving[door] {
                self.connect(ctx, (process, door), false, true);
            }
        }
    }

    pub fn bytes(&mut self, ctx: &mut Ctx, wire: WireId, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&wire) else { return };
        link.got.extend_from_slice(bytes);
        loop {
            let Some(link) = self.links.get_mut(&wire) else { return };
            let Some((said, n)) = rules::answer(&link.got) else { return };
            let text: Vec<u8> = link.got.drain(..n).take(64).collect();
            let Some(which) = link.owed.pop_front() else { continue };
            let asked = &mut self.asked[which];
            if said == Said::Busy && asked.tries < 2 && ctx.rng.gen_bool(0.5) {
                asked.tries += 1;
                let ms = std::str::from_utf8(&text[5..]).ok().and_then(|t| t.trim().parse::<f64>().ok());
                ctx.later(ms.unwrap_or(200.0) / 1e3, Item::Again(which));
            }
        }
    }

    pub fn leaves(&mut self, ctx: &mut Ctx, wire: WireId) {
        if self.links.remove(&wire).is_some() {
            ctx.end(wire, false, false);
        }
    }

    /// The front door ended it, or is gone: what had no answer is asked once more, on a new connection.
    pub fn ended(&mut self, ctx: &mut Ctx, wire: WireId) {
        let Some(link) = self.links.remove(&wire) else { return ctx.ended(wire, false) };
        for which in link.owed {
            let asked = &mut self.asked[which];
            if asked.tries == 0 {
                asked.tries += 1;
                let after = ctx.rng.gen_range(0.001..0.05);
                ctx.later(after, Item::Again(which));
            }
        }
        ctx.end(wire, false, false);
        ctx.ended(wire, false);
    }
}
