//! Admission: who may connect, who may ask, and who goes first when room runs short. Free of I/O: the caller tells facts by
//! methods that return nothing and asks three questions: may this one connect (`comes`), may it ask (`asks`), who can be spared
//! (`spare`). The caller keeps connections and timers. Times are seconds, on any clock that goes forward.
//!
//! An address is known if it lies in a network that the operator named, or if callers on it were answered well of late. Behind one
//! address there may be many callers (hospitals behind a gateway): they share what the address has by max-min, each by what it
//! says of itself with its commands. Before it says anything a connection is nobody's, and of those an address may hold few.
mod network;

pub use network::Network;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

pub type Conn = u64;
/// What a caller calls itself: its customer's number.
pub type Caller = u64;

/// The limits. Each is a count unless it says seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Clients' connections in all.
    pub connections: usize,
    /// Of these, kept for known addresses.
    pub reserve: usize,
    /// Connections of one address.
    pub per_address: usize,
    /// Of these, on so many nothing may have been asked yet.
    pub strangers: usize,
    /// New connections of one address a second, and so many at once.
    pub rate: f64,
    pub burst: f64,
    /// Commands of one address that have no answer yet.
    pub unfinished: usize,
    /// Seconds that a connection may take for its first word.
    pub first_word: f64,
    /// Seconds that an address stays known after a good answer; 0: only the named ones are known.
    pub known_for: f64,
    /// The networks that are known.
    pub known: Vec<Network>,
}

/// So many addresses are remembered that hold no connection.
const REMEMBERED: usize = 4096;
/// What is turned away for its rate may come again after this, seconds, at the least.
const SOON: f64 = 0.05;

/// What to do with a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Entry {
    Take,
    /// Take it, and end that one, which is owed nothing.
    InPlaceOf(Conn),
    TurnAway(Why),
}

/// Why a connection or a command is turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// All places but those kept for known addresses are taken.
    Full,
    /// Its address holds as many as one may.
    Address,
    /// Its address has too many on which nothing was asked.
    Strangers,
    /// Its address opens them too fast.
    Rate,
    /// Too many commands of its address are unfinished, and this caller has its part of them.
    Unfinished,
}

impl Why {
    pub fn code(self) -> &'static str {
        match self {
            Why::Full => "full",
            Why::Address => "too many connections of this address",
            Why::Strangers => "too many connections of this address on which nothing was asked",
            Why::Rate => "too many new connections of this address",
            Why::Unfinished => "too many unfinished commands of this address",
        }
    }
}

/// May a command be taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum May {
    Ask,
    /// Not now: seconds after which it may come again.
    Later(f64),
}

// ======== for one connection
#[derive(Clone, Debug)]
struct Held {
    from: IpAddr,
    /// Who it last spoke for.
    caller: Option<Caller>,
    /// It has said something whole, if only a greeting.
    said: bool,
    /// Who is owed an answer on it, once for each command.
    owed: Vec<Caller>,
    /// Commands of it that were read and that nobody has asked about yet.
    read: usize,
    /// It is at a command that is not whole, since then.
    half: Option<f64>,
    /// When it came, was answered or last said something whole.
    used: f64,
}

// ======== for one address, while it holds connections and for a while after
#[derive(Debug, Default)]
struct Address {
    conns: BTreeSet<Conn>,
    strangers: usize,
    unfinished: usize,
    /// Of these, by caller; and connections by caller.
    asking: BTreeMap<Caller, usize>,
    holding: BTreeMap<Caller, usize>,
    tokens: f64,
    filled: f64,
    named: bool,
    known_until: f64,
}

/// Figures, counted from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub taken: u64,
    pub replaced: u64,
    pub full: u64,
    pub address: u64,
    pub strangers: u64,
    pub rate: u64,
    pub unfinished: u64,
}

// ======== for the instance
pub struct Gate {
    limits: Limits,
    held: BTreeMap<Conn, Held>,
    addresses: BTreeMap<IpAddr, Address>,
    /// Connections of addresses that are not known.
    unknown: usize,
    /// What was last told of the time.
    now: f64,
    pub figures: Figures,
}

impl Held {
    /// It is owed nothing, as far as anybody knows.
    fn free(&self) -> bool {
        self.owed.is_empty() && self.read == 0
    }
}

impl Gate {
    pub fn new(limits: Limits) -> Gate {
        let (held, addresses, figures) = (BTreeMap::new(), BTreeMap::new(), Figures::default());
        Gate { limits, held, addresses, unknown: 0, now: 0.0, figures }
    }

    // ======== facts

    /// A connection that was open before there was a gate, what it has said, and who is owed an answer on it. It is held, whatever the
    /// limits say.
    pub fn already(&mut self, now: f64, conn: Conn, from: IpAddr, (said, owed): (bool, Vec<Caller>)) {
        self.now = now;
        let named = self.limits.known.iter().any(|n| n.holds(from));
        let burst = self.limits.burst;
        let new = || Address { tokens: burst, filled: now, named, ..Address::default() };
        let address = self.addresses.entry(from).or_insert_with(new);
        address.conns.insert(conn);
        address.unfinished += owed.len();
        owed.iter().for_each(|caller| *address.asking.entry(*caller).or_default() += 1);
        let caller = owed.last().copied();
        match caller {
            None => address.strangers += 1,
            Some(caller) => *address.holding.entry(caller).or_default() += 1,
        }
        self.unknown += usize::from(!address.known(now));
        self.held.insert(conn, Held { from, caller, said, owed, read: 0, half: None, used: now });
    }

    /// Other limits from now on. What is open above them stays; it is not added to, and goes first when room runs short.
    pub fn limits(&mut self, now: f64, limits: Limits) {
        for (from, address) in &mut self.addresses {
            address.named = limits.known.iter().any(|n| n.holds(*from));
        }
        self.limits = limits;
        self.count_unknown(now);
    }

    /// So many whole commands have been read, and their turn is yet to come; then that one's has.
    pub fn reads(&mut self, conn: Conn, commands: usize) {
        if let Some(held) = self.held.get_mut(&conn) {
            held.read += commands;
        }
    }
    pub fn whole(&mut self, now: f64, conn: Conn) {
        if let Some(held) = self.held.get_mut(&conn) {
            (held.read, held.half, held.used) = (held.read.saturating_sub(1), None, now);
            held.said = true;
        }
    }

    /// The beginning of a command has come, and not yet the rest.
    pub fn begins(&mut self, now: f64, conn: Conn) {
        if let Some(held) = self.held.get_mut(&conn) {
            held.half = held.half.or(Some(now));
        }
    }

    /// A command has its final answer; `well`: it was served.
    pub fn answered(&mut self, now: f64, conn: Conn, caller: Caller, well: bool) {
        let Some(held) = self.held.get_mut(&conn) else { return };
        held.used = now;
        let Some(i) = held.owed.iter().position(|c| *c == caller) else { return };
        held.owed.swap_remove(i);
        let from = held.from;
        self.no_more_asked(from, caller);
        let Some(address) = self.addresses.get_mut(&from).filter(|_| well && self.limits.known_for > 0.0)
        else {
            return;
        };
        let known = address.known(now);
        address.known_until = address.known_until.max(now + self.limits.known_for);
        if !known {
            self.unknown = self.unknown.saturating_sub(address.conns.len());
        }
    }

    /// A connection is over, whoever ended it. What was unfinished on it goes on elsewhere and is no longer its address's.
    pub fn ended(&mut self, conn: Conn) {
        let now = self.now;
        let Some(held) = self.held.remove(&conn) else { return };
        let Some(address) = self.addresses.get_mut(&held.from) else { return };
        address.conns.remove(&conn);
        let caller = held.caller;
        match caller {
            None => address.strangers -= 1,
            Some(caller) => less(&mut address.holding, caller, 1),
        }
        address.unfinished = address.unfinished.saturating_sub(held.owed.len());
        held.owed.into_iter().for_each(|caller| less(&mut address.asking, caller, 1));
        let (known, empty) = (address.known(now), address.conns.is_empty());
        self.unknown = if known { self.unknown } else { self.unknown.saturating_sub(1) };
        if empty && !known && address.full(now, &self.limits) {
            self.addresses.remove(&held.from);
        } else if empty && self.addresses.len() > REMEMBERED {
            self.forget(now);
        }
    }

    /// Known addresses come and go by time alone, so what is counted beside them is counted anew. To be called now and then.
    pub fn count_unknown(&mut self, now: f64) {
        self.now = now;
        let unknown = self.addresses.values().filter(|a| !a.known(now));
        self.unknown = unknown.map(|a| a.conns.len()).sum();
    }

    // ======== the three questions

    /// Whether a new connection may be held. One that may is held from now on.
    pub fn comes(&mut self, now: f64, conn: Conn, from: IpAddr) -> Entry {
        self.now = now;
        let named = self.limits.known.iter().any(|n| n.holds(from));
        let (rate, burst) = (self.limits.rate, self.limits.burst);
        let new = || Address { tokens: burst, filled: now, named, ..Address::default() };
        let address = self.addresses.entry(from).or_insert_with(new);
        address.tokens = (address.tokens + rate * (now - address.filled).max(0.0)).min(burst);
        address.filled = now;
        let known = address.known(now);
        if address.tokens < 1.0 {
            return self.turn_away(Why::Rate);
        }
        address.tokens -= 1.0;
        let own = if address.conns.len() >= self.limits.per_address {
            Some(Why::Address)
        } else if address.strangers >= self.limits.strangers {
            Some(Why::Strangers)
        } else {
            None
        };
        let free = if known {
            self.held.len() < self.limits.connections
        } else {
            self.unknown < self.limits.connections.saturating_sub(self.limits.reserve)
                && self.held.len() < self.limits.connections
        };
        let spared = match own {
            // Its own address makes room: a silent one, or one of the caller that holds more than its part.
            Some(Why::Address) => self.spare_of(now, from, true),
            Some(_) => self.spare_of(now, from, false),
            None if free => None,
            // For a known one somebody who is not goes; else nobody.
            None if known => self.spare_unknown(now),
            None => None,
        };
        match (own, spared) {
            (None, None) if free => {}
            (None, None) => return self.turn_away(Why::Full),
            (Some(why), None) => return self.turn_away(why),
            (_, Some(spared)) => {
                self.ended(spared);
                self.figures.replaced += 1;
            }
        }
        self.figures.taken += 1;
        self.held.insert(
            conn,
            Held { from, caller: None, said: false, owed: vec![], read: 0, half: None, used: now },
        );
        let address = self.addresses.entry(from).or_insert_with(new);
        address.conns.insert(conn);
        address.strangers += 1;
        self.unknown += usize::from(!known);
        spared.map_or(Entry::Take, Entry::InPlaceOf)
    }

    /// Whether a command that this caller has sent may be taken; what may is unfinished until it is answered.
    pub fn asks(&mut self, now: f64, conn: Conn, caller: Caller) -> May {
        let Some(held) = self.held.get_mut(&conn) else { return May::Ask };
        (held.half, held.used, held.said) = (None, now, true);
        let (from, before) = (held.from, held.caller.replace(caller));
        let Some(address) = self.addresses.get_mut(&from) else { return May::Ask };
        if before != Some(caller) {
            match before {
                None => address.strangers -= 1,
                Some(before) => less(&mut address.holding, before, 1),
            }
            *address.holding.entry(caller).or_default() += 1;
        }
        // Max-min: with all of it taken, those are served on that have less than their part; together they can't pass twice
        // the limit.
        let own = address.asking.get(&caller).copied().unwrap_or(0);
        let callers = address.asking.len() + usize::from(own == 0);
        let part = (self.limits.unfinished / callers.max(1)).max(1);
        if address.unfinished >= self.limits.unfinished && own >= part {
            self.figures.unfinished += 1;
            return May::Later(SOON);
        }
        address.unfinished += 1;
        *address.asking.entry(caller).or_default() += 1;
        if let Some(held) = self.held.get_mut(&conn) {
            held.owed.push(caller);
        }
        May::Ask
    }

    /// Who goes first where descriptors run short: one that is owed nothing, in the order that is declared in
    /// `docs/admission.md`. It is held no more. None where all are owed something.
    pub fn spare(&mut self, now: f64) -> Option<Conn> {
        let spared = self.first_of(now, |_| true)?;
        self.ended(spared);
        Some(spared)
    }

    /// Connections that took too long for their first word, the oldest first. They are held until they have ended.
    pub fn overdue(&self, now: f64) -> Vec<Conn> {
        let silent = |h: &Held| !h.said && h.half.is_none() && h.free();
        let late = |h: &Held| silent(h) && h.used <= now - self.limits.first_word;
        self.held.iter().filter(|(_, h)| late(h)).map(|(conn, _)| *conn).collect()
    }

    // ======== within

    fn turn_away(&mut self, why: Why) -> Entry {
        let figure = match why {
            Why::Full => &mut self.figures.full,
            Why::Address => &mut self.figures.address,
            Why::Strangers => &mut self.figures.strangers,
            Why::Rate => &mut self.figures.rate,
            Why::Unfinished => &mut self.figures.unfinished,
        };
        *figure += 1;
        Entry::TurnAway(why)
    }

    /// One whose word nobody has heard yet, of this address; else, where callers share it, the idlest of the caller that
    /// holds most, if that is more than its part.
    fn spare_of(&self, now: f64, from: IpAddr, callers: bool) -> Option<Conn> {
        let address = self.addresses.get(&from)?;
        let own = || address.conns.iter().filter_map(|c| self.held.get(c).map(|h| (*c, h)));
        // A silent one goes once it had time for a word, or where it is one of many.
        let silent = own().filter(|(_, h)| !h.said && h.half.is_none() && h.free());
        let silent = silent.filter(|(_, h)| h.used <= now - self.limits.first_word);
        if let Some((conn, _)) = silent.min_by(|a, b| a.1.used.total_cmp(&b.1.used).then(a.0.cmp(&b.0))) {
            return Some(conn);
        }
        let part = address.conns.len() / (address.holding.len() + 1).max(2);
        let (caller, most) =
            address.holding.iter().max_by_key(|(caller, n)| (**n, std::cmp::Reverse(**caller)))?;
        if !callers || *most <= part {
            return None;
        }
        let theirs = own().filter(|(_, h)| h.caller == Some(*caller) && h.free() && h.half.is_none());
        theirs.min_by(|a, b| a.1.used.total_cmp(&b.1.used).then(a.0.cmp(&b.0))).map(|(conn, _)| conn)
    }

    fn spare_unknown(&self, now: f64) -> Option<Conn> {
        self.first_of(now, |from| !self.addresses.get(&from).is_some_and(|a| a.known(now)))
    }

    /// In this order: never said a word; at half a command; said something once; each first of unknown addresses, then of
    /// those that hold most, then the one that has waited longest.
    fn first_of(&self, now: f64, which: impl Fn(IpAddr) -> bool) -> Option<Conn> {
        let free = self.held.iter().filter(|(_, h)| h.free() && which(h.from));
        let rank = |h: &Held| {
            let (known, many) =
                self.addresses.get(&h.from).map_or((false, 0), |a| (a.known(now), a.conns.len()));
            let kind = match (h.said, h.half) {
                (false, None) => 0,
                (_, Some(_)) => 1,
                _ => 2,
            };
            (known, kind, std::cmp::Reverse(many))
        };
        let first = free
            .min_by(|a, b| rank(a.1).cmp(&rank(b.1)).then(a.1.used.total_cmp(&b.1.used)).then(a.0.cmp(b.0)));
        first.map(|(conn, _)| *conn)
    }

    fn no_more_asked(&mut self, from: IpAddr, caller: Caller) {
        if let Some(address) = self.addresses.get_mut(&from) {
            address.unfinished = address.unfinished.saturating_sub(1);
            less(&mut address.asking, caller, 1);
        }
    }

    /// Addresses that hold nothing: those not known go, then the one that would be known for the shortest time.
    fn forget(&mut self, now: f64) {
        let limits = &self.limits;
        self.addresses.retain(|_, a| !a.conns.is_empty() || a.known(now) || !a.full(now, limits));
        if self.addresses.len() > REMEMBERED {
            let empty = self.addresses.iter().filter(|(_, a)| a.conns.is_empty());
            let least =
                empty.min_by(|a, b| a.1.known_until.total_cmp(&b.1.known_until)).map(|(from, _)| *from);
            least.map(|from| self.addresses.remove(&from));
        }
    }

    /// How many connections are held, and how many addresses are remembered.
    pub fn sizes(&self) -> (usize, usize) {
        (self.held.len(), self.addresses.len())
    }

    /// What the parts say of each other; for tests.
    pub fn audit(&self, now: f64) -> Result<(), String> {
        for (from, a) in &self.addresses {
            let own: Vec<&Held> = self.held.values().filter(|h| h.from == *from).collect();
            let strangers = own.iter().filter(|h| h.caller.is_none()).count();
            let holding: usize = a.holding.values().sum();
            if own.len() != a.conns.len() || strangers != a.strangers || holding + strangers != own.len() {
                return Err(format!(
                    "{from}: {} connections, {} known of, {strangers} strangers",
                    own.len(),
                    a.conns.len()
                ));
            }
            if a.asking.values().sum::<usize>() > a.unfinished
                || a.unfinished > 2 * self.limits.unfinished.max(1)
            {
                return Err(format!(
                    "{from}: {} unfinished, by caller {:?}",
                    a.unfinished,
                    a.asking.values()
                ));
            }
        }
        let unknown: usize = self.addresses.values().filter(|a| !a.known(now)).map(|a| a.conns.len()).sum();
        if unknown > self.held.len() {
            return Err(format!("{unknown} unknown of {}", self.held.len()));
        }
        Ok(())
    }
}

impl Address {
    fn known(&self, now: f64) -> bool {
        self.named || now < self.known_until
    }
    /// Its allowance of new connections has come back: nothing is lost if it is forgotten.
    fn full(&self, now: f64, limits: &Limits) -> bool {
        self.tokens + limits.rate * (now - self.filled) >= limits.burst
    }
}

fn less(counts: &mut BTreeMap<Caller, usize>, caller: Caller, by: usize) {
    if let Some(n) = counts.get_mut(&caller) {
        *n = n.saturating_sub(by);
        if *n == 0 {
            counts.remove(&caller);
        }
    }
}
