//! The network: connections as bytes on their way, in order, in pieces, late, held back or cut off between any two.
use crate::agenda::Agenda;
use crate::rules::Rules;
use crate::script::World;
use crate::trace::Trace;
use quillramp_gateway::state::event::ConnectionId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub type WireId = usize;

/// Who is at the other end of a front door's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Party {
    Client,
    /// A backend, and which of its processes was met.
    Backend(usize),
    /// The counter, or the second one while it is split.
    Counter,
    List,
    Operator,
    /// Nobody listens there.
    Nobody,
}

/// One connection between a front door's process and another party.
pub struct Wire {
    pub process: usize,
    pub conn: ConnectionId,
    pub party: Party,
    /// Each side has it open, as far as that side knows.
    pub door_open: bool,
    pub party_open: bool,
    /// When the last byte on its way arrives: at the party, at the door.
    last: [f64; 2],
    /// The network takes little of what the door writes until then.
    pub choked: f64,
    /// A client that can't be understood; one whose address is known to the front doors; and where a client is.
    pub rude: bool,
    pub known: bool,
    pub from: IpAddr,
}

/// What is to happen.
pub enum Item {
    Bytes {
        wire: WireId,
        to_door: bool,
        bytes: Vec<u8>,
    },
    /// The other side ended it, after all that it wrote; or it broke.
    End {
        wire: WireId,
        to_door: bool,
        reset: bool,
    },
    /// A connection that a door asks for has come to the other side.
    Dial(WireId),
    /// It is up: told to the door; or it was refused.
    Up {
        wire: WireId,
        taken: bool,
    },
    /// A front door's process looks at what has come, or at its timers.
    Step(usize),
    /// A word to a front door.
    Word {
        door: usize,
        from: SocketAddr,
        body: Vec<u8>,
    },
    /// A backend's work has come to its end.
    Done {
        backend: usize,
        job: u64,
    },
    Fault {
        index: usize,
        over: bool,
    },
    /// The next invocation of the clients; the next rude one.
    Comes,
    RudeComes,
    /// A client asks again, with what it asked before.
    Again(usize),
    /// A client leaves.
    Leaves(WireId),
    /// A connection is reset, by chance.
    Breaks,
    /// The counter's answer to the oldest call on a connection.
    Counts(WireId),
    /// A watch's time is up; news has come to an agent.
    Watched {
        wire: WireId,
        no: u64,
    },
    News(usize),
    /// A process is killed; a front door starts.
    Kill(usize),
    Start(usize),
    /// A replaced or dead backend's process begins.
    Back {
        backend: usize,
        boot: u64,
    },
}

/// Bytes of one door towards one zone's backends are held back until then.
#[derive(Clone, Copy)]
pub struct Cut {
    pub zone: usize,
    pub until: f64,
}

/// What everything in a run shares.
pub struct Ctx {
    pub now: f64,
    pub agenda: Agenda<Item>,
    pub rng: ChaCha8Rng,
    pub rules: Rules,
    pub trace: Trace,
    pub world: World,
    pub wires: BTreeMap<WireId, Wire>,
    wired: WireId,
    /// Connections to backends that front doors asked for.
    pub connections: u64,
    pub cuts: Vec<Cut>,
    /// Times the usual delay.
    pub slowness: f64,
    pub peers_lost: f64,
    /// Each backend's zone, by index.
    pub zones: Vec<usize>,
}

impl Ctx {
    pub fn new(rng: ChaCha8Rng, rules: Rules, world: World, now: f64) -> Ctx {
        let zones = (0..world.backends).map(|b| b % world.zones).collect();
        Ctx {
            now,
            agenda: Agenda::default(),
            rng,
            rules,
            trace: Trace::default(),
            world,
            wires: BTreeMap::new(),
            wired: 0,
            connections: 0,
            cuts: vec![],
            slowness: 1.0,
            peers_lost: 0.0,
            zones,
        }
    }

    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.gen_bool(share.min(1.0))
    }

    pub fn later(&mut self, seconds: f64, item: Item) {
        self.agenda.put(self.now + seconds, item);
    }

    /// How long something takes to another machine.
    pub fn delay(&mut self) -> f64 {
        let [least, most] = self.world.delay;
        self.slowness * if most > least { self.rng.gen_range(least..most) } else { least }
    }

    /// When what is sent now between these two arrives at the earliest.
    fn held(&self, party: Party) -> f64 {
        let Party::Backend(b) = party else { return 0.0 };
        let cuts = self.cuts.iter().filter(|c| c.zone == self.zones[b]);
        cuts.map(|c| c.until).fold(0.0, f64::max)
    }

    pub fn open(&mut self, process: usize, conn: ConnectionId, party: Party) -> WireId {
        self.wired += 1;
        self.connections += u64::from(matches!(party, Party::Backend(_)));
        let wire = Wire {
            process,
            conn,
            party,
            door_open: true,
            party_open: false,
            last: [0.0; 2],
            choked: 0.0,
            rude: false,
            known: false,
            from: IpAddr::V4(Ipv4Addr::LOCALHOST),
        };
        self.wires.insert(self.wired, wire);
        self.wired
    }

    /// When the next thing on it arrives, after all before it.
    fn arrival(&mut self, wire: WireId, to_door: bool) -> Option<f64> {
        let party = self.wires.get(&wire)?.party;
        let at = (self.now + self.delay()).max(self.held(party));
        let last = &mut self.wires.get_mut(&wire)?.last[usize::from(to_door)];
        *last = last.max(at);
        Some(*last)
    }

    /// A connection towards a front door is on its way; what is sent on it comes after it.
    pub fn dial_in(&mut self, wire: WireId) {
        if let Some(at) = self.arrival(wire, true) {
            self.agenda.put(at, Item::Dial(wire));
        }
    }

    /// These bytes leave, now and then in pieces that arrive one after the other.
    pub fn send(&mut self, wire: WireId, to_door: bool, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let whole = rest.len() < 2 || !self.chance(self.world.pieces);
            let n = if whole { rest.len() } else { self.rng.gen_range(1..rest.len()) };
            let Some(at) = self.arrival(wire, to_door) else { return };
            self.agenda.put(at, Item::Bytes { wire, to_door, bytes: rest[..n].to_vec() });
            rest = &rest[n..];
        }
    }

    /// All of it at once.
    pub fn send_whole(&mut self, wire: WireId, to_door: bool, bytes: &[u8]) {
        if let Some(at) = self.arrival(wire, to_door) {
            self.agenda.put(at, Item::Bytes { wire, to_door, bytes: bytes.to_vec() });
        }
    }

    /// One side ends it; the other side hears of it after all that was written. Reset: at once, and what is on its way
    /// is lost in both directions.
    pub fn end(&mut self, wire: WireId, by_door: bool, reset: bool) {
        let Some(w) = self.wires.get_mut(&wire) else { return };
        let (was, other) =
            if by_door { (&mut w.door_open, w.party_open) } else { (&mut w.party_open, w.door_open) };
        if !std::mem::replace(was, false) {
            return;
        }
        if !other {
            self.wires.remove(&wire);
        } else if let Some(at) = self.arrival(wire, !by_door) {
            let at = if reset { self.now } else { at };
            self.agenda.put(at, Item::End { wire, to_door: !by_door, reset });
        }
    }

    /// It breaks between two bytes: neither side hears more than that.
    pub fn reset(&mut self, wire: WireId) {
        let Some(w) = self.wires.get(&wire) else { return };
        for to_door in [true, false] {
            if if to_door { w.door_open } else { w.party_open } {
                self.agenda.put(self.now, Item::End { wire, to_door, reset: true });
            }
        }
    }

    /// A side has heard that it ended: nothing more comes or goes there.
    pub fn ended(&mut self, wire: WireId, at_door: bool) {
        let Some(w) = self.wires.get_mut(&wire) else { return };
        if at_door {
            w.door_open = false;
        } else {
            w.party_open = false;
        }
        if !w.door_open && !w.party_open {
            self.wires.remove(&wire);
        }
    }

    /// The open connections of that kind, as a side sees them.
    pub fn wires_of(&self, is: impl Fn(&Wire) -> bool) -> Vec<WireId> {
        self.wires.iter().filter(|(_, w)| is(w)).map(|(id, _)| *id).collect()
    }
}
