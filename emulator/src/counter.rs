//! The counter: named totals that live for a while, over pipelined HTTP/1.1.
use crate::net::{Ctx, Item, WireId};
use rand::Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};

type Counts = HashMap<String, (f64, f64)>;

pub struct Counter {
    /// What it holds; and the second one's, while it is split.
    counts: Counts,
    other: Option<Counts>,
    links: BTreeMap<WireId, Link>,
    pub down: bool,
    pub silent: bool,
    pub slow: f64,
    pub spoilt: f64,
    pub deaf: f64,
    pub turns_away: f64,
    pub calls: u64,
}

struct Link {
    door: usize,
    got: Vec<u8>,
    calls: VecDeque<Call>,
    busy: bool,
}

struct Call {
    name: String,
    add: f64,
    lives: f64,
}

impl Default for Counter {
    fn default() -> Counter {
        Counter {
            counts: Counts::new(),
            other: None,
            links: BTreeMap::new(),
            down: false,
            silent: false,
            slow: 1.0,
            spoilt: 0.0,
            deaf: 0.0,
            turns_away: 0.0,
            calls: 0,
        }
    }
}

/// A request's target, and how many bytes it took, with its body.
pub fn request(bytes: &[u8]) -> Option<(String, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut head = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(n)) = head.parse(bytes) else { return None };
    let length = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|h| std::str::from_utf8(h.value).ok()?.parse::<usize>().ok()).unwrap_or(0);
    (bytes.len() >= n + length).then(|| (head.path.unwrap_or("").to_owned(), n + length))
}

/// A number by its name in the query of a target.
pub fn asked(target: &str, name: &str) -> Option<f64> {
    let query = target.split_once('?')?.1;
    query.split('&').find_map(|p| p.split_once('=').filter(|(n, _)| *n == name))?.1.parse().ok()
}

impl Counter {
    pub fn dialled(&mut self, ctx: &mut Ctx, wire: WireId, door: usize) {
        let taken = !self.down;
        if self.silent {
            return;
        }
        let Some(w) = ctx.wires.get_mut(&wire).filter(|w| w.door_open) else { return };
        w.party_open = taken;
        if taken {
            self.links.insert(wire, Link { door, got: vec![], calls: VecDeque::new(), busy: false });
        }
        let delay = ctx.delay();
        ctx.later(delay, Item::Up { wire, taken });
    }

    pub fn bytes(&mut self, ctx: &mut Ctx, wire: WireId, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&wire) else { return };
        link.got.extend_from_slice(bytes);
        while let Some((target, n)) = request(&link.got) {
            link.got.drain(..n);
            let name = target.strip_prefix("/counters/").and_then(|t| t.split('?').next()).unwrap_or("");
            let add = asked(&target, "by").unwrap_or(0.0);
            let lives = asked(&target, "expire_ms").unwrap_or(1.0) / 1e3;
            link.calls.push_back(Call { name: name.to_owned(), add, lives });
        }
        self.goes_on(ctx, wire);
    }

    fn goes_on(&mut self, ctx: &mut Ctx, wire: WireId) {
        let silent = self.silent;
        let Some(link) = self.links.get_mut(&wire).filter(|l| !l.busy && !l.calls.is_empty() && !silent)
        else {
            return;
        };
        link.busy = true;
        let seconds = ctx.rng.gen_range(0.0003..0.0015) * self.slow;
        ctx.later(seconds, Item::Counts(wire));
    }

    /// The oldest call on a connection has had its turn.
    pub fn counts(&mut self, ctx: &mut Ctx, wire: WireId) {
        let Some(link) = self.links.get_mut(&wire) else { return };
        link.busy = false;
        if self.silent {
            return;
        }
        let Some(call) = link.calls.pop_front() else { return };
        self.calls += 1;
        if ctx.chance(self.turns_away) {
            ctx.send(wire, true, b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return self.goes_on(ctx, wire);
        }
        let counts = match &mut self.other {
            Some(other) if link.door % 2 == 1 => other,
            _ => &mut self.counts,
        };
        let (total, until) = counts.entry(call.name).or_insert((0.0, 0.0));
        if ctx.now > *until {
            (*total, *until) = (0.0, ctx.now + call.lives);
        }
        *total += call.add;
        let body = if ctx.chance(self.spoilt) { "many".to_owned() } else { format!("{total}") };
        if ctx.chance(self.deaf) {
            return self.hang_up(ctx, wire);
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        ctx.send(wire, true, answer.as_bytes());
        self.goes_on(ctx, wire);
    }

    fn hang_up(&mut self, ctx: &mut Ctx, wire: WireId) {
        self.links.remove(&wire);
        ctx.end(wire, false, false);
    }

    pub fn ended(&mut self, ctx: &mut Ctx, wire: WireId) {
        self.hang_up(ctx, wire);
        ctx.ended(wire, false);
    }

    /// It dies: whatever is open is reset.
    pub fn goes_down(&mut self, ctx: &mut Ctx) {
        self.down = true;
        for wire in std::mem::take(&mut self.links).into_keys() {
            ctx.reset(wire);
        }
    }

    pub fn speaks_again(&mut self, ctx: &mut Ctx) {
        self.silent = false;
        for wire in self.links.keys().copied().collect::<Vec<_>>() {
            self.goes_on(ctx, wire);
        }
    }

    pub fn forgets(&mut self) {
        self.counts.clear();
    }

    pub fn splits(&mut self) {
        self.other = Some(self.counts.clone());
    }

    pub fn joins(&mut self) {
        self.other = None;
    }
}
