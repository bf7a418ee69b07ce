//! What a run is made of: a world and the faults that strike it. Read from TOML and checked, or drawn from a seed.
use clap::ValueEnum;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// One run. Times are seconds from its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub seed: u64,
    /// How long clients come; after that all that is held has time to end.
    pub seconds: f64,
    #[serde(default)]
    pub world: World,
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// The deployment, deliberately plain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    pub doors: usize,
    pub backends: usize,
    pub zones: usize,
    /// Backends that drop each other's repeats share a cell.
    pub cells: usize,
    pub customers: usize,
    /// Invocations a second, from all clients.
    pub rate: f64,
    /// Seconds of a backend's work for one unit, and how many it does at once.
    pub service: f64,
    pub slots: usize,
    /// Connections that a backend holds at the most.
    pub connections: usize,
    /// Deliveries on one connection at once.
    pub per_connection: usize,
    /// Seconds from one machine to another, at least and at most.
    pub delay: [f64; 2],
    /// The share of writes that arrive in pieces.
    pub pieces: f64,
    /// The share of answers and of commands that are too long to be held whole.
    pub long: f64,
    pub second_copies: bool,
    pub cancels: bool,
    /// Front doors may talk to each other.
    pub peers: bool,
    /// The list comes only when it is asked for.
    pub asks: bool,
    /// Each front door shares its listening socket with the next version.
    pub passed: bool,
    /// Admission is limited, and the usual clients' addresses are known.
    pub admission: bool,
    /// Each front door has an operator's file that declares limits.
    pub declared: bool,
    /// Front doors look once in so many seconds who of them reaches the counter; 0: they don't.
    pub presence: f64,
    /// Descriptors of one front door.
    pub sockets: usize,
    /// The grace after the word that a backend drains, and the rule on cold backends: the share of its capacity that it
    /// begins with, when it is warm, how many times what it can do breaks it, and if so for how long.
    pub drain_grace: f64,
    pub cold_from: f64,
    pub warm_after: f64,
    pub cold_times: f64,
    pub cold_for: f64,
}

impl Default for World {
    fn default() -> World {
        World {
            doors: 3,
            backends: 8,
            zones: 2,
            cells: 3,
            customers: 24,
            rate: 80.0,
            service: 0.025,
            slots: 4,
            connections: 64,
            per_connection: 2,
            delay: [0.0003, 0.003],
            pieces: 0.1,
            long: 0.01,
            second_copies: true,
            cancels: true,
            peers: true,
            asks: false,
            passed: false,
            admission: false,
            declared: false,
            presence: 0.0,
            sockets: 256,
            drain_grace: 0.25,
            cold_from: 0.2,
            warm_after: 10.0,
            cold_times: 4.0,
            cold_for: 3.0,
        }
    }
}

/// What strikes, when, whom, for how long and how hard. Fields that a kind has no use for are to be left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: f64,
    pub kind: Kind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub door: Option<usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<usize>,
    /// Seconds until it is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lasts: Option<f64>,
    /// How hard: a share, or a number of times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub by: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    // ---- backends
    /// Its process dies, and comes back cold.
    Crash,
    /// The machine says nothing, and comes back cold; what was open is reset then.
    Vanish,
    /// So many times slower.
    Slow,
    /// It takes work in, does it, and never answers: that share of it.
    Swallow,
    /// That share of its answers can't be read.
    Spoil,
    /// That share of its answers brings more than belongs to it.
    Surplus,
    /// That share fails.
    Err,
    /// That share is turned away.
    TurnAway,
    /// It closes the connection behind an answer: that share.
    CloseBehind,
    /// A long value breaks off on its way: that share of them.
    BreakOff,
    /// It is drained, then gone.
    Drain,
    /// It is gone from the list at once and its process ends; a new one under a new name takes its address.
    Replace,
    // ---- zones
    /// All backends of a zone die, and come back cold.
    ZoneLoss,
    /// Front doors don't reach that zone's backends: what is sent arrives afterwards.
    ZoneCut,
    // ---- front doors
    /// Killed, and started again after the time.
    Kill,
    /// Told to stop, killed when its time is over, and started again.
    Term,
    /// The next version takes over by the listening socket.
    Upgrade,
    /// It stands still.
    Stall,
    /// An operator leaves a backend out, and uses it again when the time is over.
    Ban,
    /// An operator drains the front door, and ends that.
    DrainDoor,
    /// The configuration names other addresses of the list and the counter.
    Reload,
    /// The operator's file is read again, and declares other limits.
    Redeclare,
    /// The network takes little of what it writes.
    Choke,
    // ---- the counter
    CounterDown,
    CounterSilent,
    /// So many times slower.
    CounterSlow,
    /// All counts are forgotten.
    CounterLost,
    /// Every other front door meets another counter, which starts as a copy; afterwards the first one's counts hold.
    CounterSplit,
    /// That share of the answers can't be read.
    CounterSpoilt,
    /// That share is added and the connection ends before the answer.
    CounterDeaf,
    /// That share is turned away.
    CounterTurnsAway,
    // ---- the list service
    ListLate,
    ListDown,
    /// Its answers can't be read.
    ListGarbled,
    /// It tells what it knew when this began, as if it were new.
    ListStale,
    /// It leaves out that share of the backends, as if they had gone.
    ListShrunk,
    // ---- the network
    /// So many connections a second are reset, whatever is on them.
    Resets,
    /// That share of the words between front doors is lost.
    PeersLost,
    /// Everything takes so many times longer.
    Delay,
    // ---- clients
    /// So many times the usual rate.
    Burst,
    /// That share of clients leaves before the answer.
    Leave,
    /// Clients that send what can't be understood, so many a second.
    Rude,
    /// So many new connections at once that say nothing.
    Herd,
}

/// What a kind is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whom {
    Backend,
    Door,
    Zone,
    /// A front door and a backend.
    Both,
    Nobody,
}

impl Kind {
    pub fn all() -> impl Iterator<Item = Kind> {
        Kind::value_variants().iter().copied()
    }

    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |v| v.get_name().to_owned())
    }

    pub fn whom(self) -> Whom {
        use Kind::*;
        match self {
            Crash | Vanish | Slow | Swallow | Spoil | Surplus | Err | TurnAway | CloseBehind | BreakOff
            | Drain | Replace => Whom::Backend,
            ZoneLoss | ZoneCut => Whom::Zone,
            Kill | Term | Upgrade | Stall | DrainDoor | Reload | Redeclare | Choke => Whom::Door,
            Ban => Whom::Both,
            _ => Whom::Nobody,
        }
    }

    /// What `by` may be: at least, and at most. None: the kind has no use for it.
    pub fn by(self) -> Option<(f64, f64)> {
        use Kind::*;
        match self {
            Swallow | Spoil | Surplus | Err | TurnAway | CloseBehind | BreakOff | CounterSpoilt
            | CounterDeaf | CounterTurnsAway | ListShrunk | PeersLost | Leave => Some((0.0, 1.0)),
            Slow | CounterSlow | Delay => Some((1.0, 100.0)),
            Burst => Some((1.0, 10.0)),
            Resets | Rude => Some((0.1, 200.0)),
            Herd => Some((1.0, 500.0)),
            _ => None,
        }
    }

    /// It is over at once.
    pub fn at_once(self) -> bool {
        matches!(
            self,
            Kind::Replace | Kind::Upgrade | Kind::Reload | Kind::Redeclare | Kind::CounterLost | Kind::Herd
        )
    }
}

impl Fault {
    /// What can't be played, each with where the fault stands.
    pub fn check(&self, at: &str, seconds: f64, world: &World) -> Vec<String> {
        let mut wrong = vec![];
        let mut must = |holds: bool, says: String| {
            if !holds {
                wrong.push(says);
            }
        };
        must(self.at >= 0.0 && self.at < seconds, format!("{at}: at: expected a time within the run"));
        let whom = self.kind.whom();
        let name = |what: &str, is: Option<usize>, wanted: bool, of: usize| match is {
            Some(n) if !wanted => Some(format!("{at}: {what} = {n}: this kind has no use for it")),
            Some(n) if n >= of => Some(format!("{at}: {what} {n} of {of}: they are counted from 0")),
            None if wanted => Some(format!("{at}: {what} is missing")),
            _ => None,
        };
        let backend = matches!(whom, Whom::Backend | Whom::Both);
        let door = matches!(whom, Whom::Door | Whom::Both);
        let names = [
            name("backend", self.backend, backend, world.backends),
            name("door", self.door, door, world.doors),
            name("zone", self.zone, whom == Whom::Zone, world.zones),
        ];
        for says in names.into_iter().flatten() {
            must(false, says);
        }
        match (self.lasts, self.kind.at_once()) {
            (Some(_), true) => must(false, format!("{at}: lasts: this kind is over at once")),
            (None, false) => must(false, format!("{at}: lasts is missing")),
            (Some(s), false) => must(s > 0.0 && s <= LONGEST, format!("{at}: lasts: expected more than 0")),
            (None, true) => {}
        }
        match (self.by, self.kind.by()) {
            (Some(_), None) => must(false, format!("{at}: by: this kind has no use for it")),
            (None, Some((least, most))) => must(false, format!("{at}: by is missing: {least} to {most}")),
            (Some(by), Some((least, most))) => {
                must(by >= least && by <= most, format!("{at}: by: expected {least} to {most}, found {by}"));
            }
            (None, None) => {}
        }
        if self.kind == Kind::Upgrade {
            must(world.passed, format!("{at}: needs world.passed = true"));
        }
        wrong
    }
}

const LONGEST: f64 = 600.0;

impl Script {
    /// From TOML. What is wrong is said plainly, all of it at once.
    pub fn read(text: &str) -> Result<Script, String> {
        let script: Script = toml::from_str(text).map_err(|e| e.to_string().trim_end().to_owned())?;
        let wrong = script.check();
        if wrong.is_empty() {
            Ok(script)
        } else {
            Err(wrong.join("\n"))
        }
    }

    pub fn write(&self) -> String {
        toml::to_string(self).expect("a script is plain values")
    }

    /// What can't be played, each with where it stands.
    pub fn check(&self) -> Vec<String> {
        let w = &self.world;
        let mut wrong = vec![];
        let mut must = |holds: bool, says: String| {
            if !holds {
                wrong.push(says);
            }
        };
        must(
            self.seconds > 0.0 && self.seconds <= LONGEST,
            format!("seconds: expected more than 0, {LONGEST} at the most"),
        );
        let counts = [
            ("doors", w.doors, 4096),
            ("backends", w.backends, 64),
            ("zones", w.zones, w.backends),
            ("cells", w.cells, w.backends),
            ("customers", w.customers, 10_000),
            ("slots", w.slots, 1000),
            ("connections", w.connections, 10_000),
            ("per_connection", w.per_connection, 64),
        ];
        for (name, n, most) in counts {
            must((1..=most).contains(&n), format!("world.{name}: expected 1 to {most}, found {n}"));
        }
        must(w.sockets >= 64, format!("world.sockets: expected 64 or more, found {}", w.sockets));
        let positive = [
            ("rate", w.rate),
            ("service", w.service),
            ("warm_after", w.warm_after),
            ("cold_for", w.cold_for),
        ];
        for (name, n) in positive {
            must(n > 0.0 && n.is_finite(), format!("world.{name}: expected more than 0"));
        }
        must(
            w.presence == 0.0 || (0.5..=10.0).contains(&w.presence),
            "world.presence: expected 0, or 0.5 to 10 seconds".into(),
        );
        for (name, n) in [("pieces", w.pieces), ("long", w.long), ("cold_from", w.cold_from)] {
            must((0.0..=1.0).contains(&n), format!("world.{name}: expected a share, 0 to 1"));
        }
        must(
            w.delay[0] >= 0.0 && w.delay[0] <= w.delay[1] && w.delay[1] < 1.0,
            "world.delay: expected two times under a second, the smaller first".into(),
        );
        for (i, f) in self.faults.iter().enumerate() {
            wrong.extend(f.check(&format!("fault {} ({})", i + 1, f.kind.name()), self.seconds, w));
        }
        wrong
    }

    /// A run from a seed: a world within what the rules leave room for, and faults that may strike together.
    pub fn draw(seed: u64) -> Script {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let r = &mut rng;
        let backends = r.gen_range(4..=10);
        let doors = r.gen_range(2..=4);
        let slots = r.gen_range(2..=4);
        let service = r.gen_range(0.02..0.06);
        // Busy to a fifth on some days, more than full on others; an invocation has two units, more or less.
        let rate = (backends as f64 * slots as f64 / service / 2.2 * r.gen_range(0.2..1.1)).min(220.0);
        let world = World {
            doors,
            backends,
            zones: r.gen_range(1..=3),
            cells: r.gen_range(2..=4),
            customers: r.gen_range(6..=60),
            rate,
            service,
            slots,
            connections: r.gen_range(24..=96),
            per_connection: r.gen_range(1..=4),
            delay: [0.0003, r.gen_range(0.0005..0.006)],
            pieces: r.gen_range(0.0..0.3),
            long: [0.0, 0.0, 0.02].choose(r).copied().unwrap_or(0.0),
            second_copies: r.gen_bool(0.6),
            cancels: r.gen_bool(0.8),
            peers: r.gen_bool(0.7),
            asks: r.gen_bool(0.2),
            passed: r.gen_bool(0.4),
            sockets: r.gen_range(96..=512),
            admission: r.gen_bool(0.5),
            declared: r.gen_bool(0.4),
            presence: [0.0, 0.0, 0.5, 1.0].choose(r).copied().unwrap_or(0.0),
            drain_grace: r.gen_range(0.1..1.0),
            cold_from: r.gen_range(0.15..0.3),
            warm_after: r.gen_range(5.0..18.0),
            cold_times: r.gen_range(2.0..4.0),
            cold_for: r.gen_range(2.0..3.0),
        };
        let seconds = r.gen_range(6.0..10.0);
        let number = r.gen_range(1..=6);
        let mut faults: Vec<Fault> = (0..number).map(|_| draw_fault(r, &world, seconds)).collect();
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        Script { seed, seconds, world, faults }
    }
}

fn draw_fault(r: &mut ChaCha8Rng, world: &World, seconds: f64) -> Fault {
    let kinds: Vec<Kind> = Kind::all().filter(|k| *k != Kind::Upgrade || world.passed).collect();
    let kind = *kinds.choose(r).expect("there are kinds");
    let whom = kind.whom();
    let backend = matches!(whom, Whom::Backend | Whom::Both).then(|| r.gen_range(0..world.backends));
    let door = matches!(whom, Whom::Door | Whom::Both).then(|| r.gen_range(0..world.doors));
    let zone = (whom == Whom::Zone).then(|| r.gen_range(0..world.zones));
    let lasts = (!kind.at_once()).then(|| round(r.gen_range(0.2..4.0)));
    let by = kind.by().map(|(least, most)| match kind {
        Kind::Rude | Kind::Herd | Kind::Resets => round(r.gen_range(least..most / 4.0)),
        Kind::Delay => round(r.gen_range(1.0..20.0)),
        Kind::Burst => round(r.gen_range(1.0..3.0)),
        _ if least > 0.0 => round(r.gen_range(least..most / 2.0)),
        _ => round(r.gen_range(0.1..1.0)),
    });
    Fault { at: round(r.gen_range(0.3..seconds * 0.8)), kind, backend, door, zone, lasts, by }
}

/// To a thousandth: scripts are read by people.
fn round(n: f64) -> f64 {
    (n * 1e3).round() / 1e3
}
