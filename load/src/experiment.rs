//! An experiment: a world, its traffic, what strikes it, variants that are played against each other, and how often. Read from TOML and
//! checked.
use crate::faults;
use quillramp_emulator::scenario::{Fault, World};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub seed: u64,
    /// How often each variant is played; the variants take turns.
    #[serde(default = "repetitions")]
    pub repetitions: usize,
    /// The deployment, as the emulator has it: front doors, backends, their work, the customers. What it says of the network is
    /// the emulator's alone.
    #[serde(default)]
    pub world: World,
    pub traffic: Traffic,
    /// What strikes, as in the emulator's scripts; `faults::played` has the kinds.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    #[serde(default, rename = "variant")]
    pub variants: Vec<Variant>,
}

fn repetitions() -> usize {
    3
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub seconds: f64,
    /// Open loop: invocations a second, at times that do not wait for answers; closed loop: 0.
    #[serde(default)]
    pub rate: f64,
    /// Connections to each front door. Closed loop: each asks anew as soon as it is answered.
    pub connections: usize,
    /// Connections to each front door beside these, that have said one word and then nothing.
    #[serde(default)]
    pub idle: usize,
    /// The share of invocations that are not idempotent.
    #[serde(default)]
    pub orders: f64,
    /// Front doors that a customer's invocations come in through; 0: all.
    #[serde(default)]
    pub spread: usize,
    /// One customer asks for more beside all this; open loop only.
    pub flood: Option<Flood>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    pub customer: u64,
    /// Invocations a second, beside what it asks for as all others do.
    pub rate: f64,
    #[serde(default)]
    pub from: f64,
}

/// What is played: a build, with another world where that is what differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    /// The front door's program; else `target/release/quillramp`.
    pub program: Option<String>,
    /// An operator's file for it.
    pub operator: Option<String>,
    /// More of its environment.
    #[serde(default)]
    pub environment: BTreeMap<String, String>,
    /// Times the backends' work, for a variant that is slower by a known amount.
    #[serde(default = "once")]
    pub slowed: f64,
    /// Other than the experiment's own: how large the fleet is, how many connections there are.
    pub doors: Option<usize>,
    pub connections: Option<usize>,
    pub idle: Option<usize>,
    /// Nothing strikes this one.
    #[serde(default)]
    pub spared: bool,
}

fn once() -> f64 {
    1.0
}

/// One invocation to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds from the start.
    pub at: f64,
    pub door: usize,
    pub customer: u64,
    pub units: u32,
    pub order: bool,
}

const LONGEST: f64 = 300.0;
/// The largest fleet, and the most threads of the generator: what one machine can carry.
const DOORS: usize = 300;
const THREADS: usize = 12_000;

impl Experiment {
    pub fn read(text: &str) -> Result<Experiment, String> {
        let read: Experiment = toml::from_str(text).map_err(|e| e.to_string().trim_end().to_owned())?;
        let wrong = read.check();
        if wrong.is_empty() {
            Ok(read)
        } else {
            Err(wrong.join("\n"))
        }
    }

    /// What a variant plays: the experiment with what it has otherwise.
    pub fn of(&self, variant: &Variant) -> Experiment {
        let mut of = self.clone();
        of.world.instances = variant.doors.unwrap_or(of.world.instances);
        of.world.service_time *= variant.slowed;
        of.traffic.connections = variant.connections.unwrap_or(of.traffic.connections);
        of.traffic.idle = variant.idle.unwrap_or(of.traffic.idle);
        if variant.spared {
            of.faults.clear();
            of.traffic.flood = None;
        }
        of
    }

    pub fn check(&self) -> Vec<String> {
        let mut wrong = vec![];
        let mut must = |holds: bool, says: &str| {
            if !holds {
                wrong.push(says.to_owned());
            }
        };
        let t = &self.traffic;
        must(
            t.seconds > 0.0 && t.seconds <= LONGEST,
            "traffic.seconds: expected more than 0, 300 at the most",
        );
        must((0.0..=20_000.0).contains(&t.rate), "traffic.rate: expected 0 (closed loop) to 20000");
        must((0.0..=1.0).contains(&t.orders), "traffic.orders: expected a share, 0 to 1");
        if let Some(f) = &t.flood {
            must(t.rate > 0.0, "traffic.flood: a closed loop has no room for one");
            must((0.1..=20_000.0).contains(&f.rate), "traffic.flood.rate: expected 0.1 to 20000");
            must((0.0..t.seconds).contains(&f.from), "traffic.flood.from: expected a time within the run");
            must(f.customer < self.world.customers as u64, "traffic.flood.customer: they are counted from 0");
        }
        must((1..=100).contains(&self.repetitions), "repetitions: expected 1 to 100");
        must(!self.variants.is_empty(), "variant: expected one at least");
        must(self.world.backends <= 64 && self.world.backends > 0, "world.backends: expected 1 to 64");
        must(self.world.zones > 0, "world.zones: expected 1 or more");
        must(self.world.customers > 0, "world.customers: expected 1 or more");
        let sizes = |of: &Experiment, at: &str, must: &mut dyn FnMut(bool, &str)| {
            let Experiment { world, traffic, .. } = of;
            let (doors, held) = (world.instances, traffic.connections + traffic.idle);
            must(
                (1..=DOORS).contains(&doors),
                &format!("{at}world.doors: expected 1 to {DOORS}, found {doors}"),
            );
            must(
                traffic.connections > 0 && traffic.connections * doors <= THREADS,
                &format!(
                    "{at}traffic.connections: expected 1 or more, {THREADS} at all front doors at the most"
                ),
            );
            must(
                held < world.max_descriptors.max(1024),
                &format!(
                    "{at}traffic: {held} connections to a front door of {} descriptors",
                    world.max_descriptors.max(1024)
                ),
            );
        };
        sizes(self, "", &mut must);
        for (i, v) in self.variants.iter().enumerate() {
            let again = self.variants[..i].iter().any(|o| o.name == v.name);
            must(!v.name.is_empty() && !again, &format!("variant {}: expected a name of its own", i + 1));
            must(
                v.slowed >= 1.0 && v.slowed.is_finite(),
                &format!("variant {}: slowed: expected 1 or more", i + 1),
            );
            if v.doors.or(v.connections).or(v.idle).is_some() {
                sizes(&self.of(v), &format!("variant {}: ", i + 1), &mut must);
            }
        }
        for (i, f) in self.faults.iter().enumerate() {
            let at = format!("fault {} ({})", i + 1, f.kind.name());
            if !faults::played(f.kind) {
                must(false, &format!("{at}: only the emulator has this kind"));
            }
            must(
                f.kind.name() != "burst" || t.rate > 0.0,
                &format!("{at}: a closed loop has no rate that could grow"),
            );
            for says in f.problems(&at, t.seconds, &self.world) {
                must(false, &says);
            }
        }
        wrong
    }

    /// When what comes, of one repetition: the same for all variants of one size.
    pub fn arrivals(&self, repetition: usize) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(7919 * repetition as u64));
        let Ok(gaps) = Exp::new(self.traffic.rate.max(1e-9)) else { return vec![] };
        let (mut at, mut all) = (0.0, vec![]);
        loop {
            at += gaps.sample(&mut rng) / faults::burst(&self.faults, at);
            if at >= self.traffic.seconds {
                break;
            }
            all.push(self.arrival(&mut rng, at));
        }
        // The flood has a source of its own: what all others do is the same with and without it.
        let Some(flood) = &self.traffic.flood else { return all };
        let Ok(gaps) = Exp::new(flood.rate) else { return all };
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(31 * repetition as u64 + 17));
        let mut at = flood.from + gaps.sample(&mut rng);
        while at < self.traffic.seconds {
            all.push(self.arrival_of(&mut rng, at, flood.customer));
            at += gaps.sample(&mut rng);
        }
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        all
    }

    /// Front doors of each customer.
    pub fn spread(&self) -> usize {
        let all = self.world.instances;
        if self.traffic.spread == 0 {
            all
        } else {
            self.traffic.spread.min(all)
        }
    }

    pub fn arrival(&self, rng: &mut ChaCha8Rng, at: f64) -> Arrival {
        let customer = rng.gen_range(0..self.world.customers as u64);
        self.arrival_of(rng, at, customer)
    }

    fn arrival_of(&self, rng: &mut ChaCha8Rng, at: f64, customer: u64) -> Arrival {
        let door = (customer as usize + rng.gen_range(0..self.spread())) % self.world.instances;
        let (units, order) = (rng.gen_range(1..=2), rng.gen_bool(self.traffic.orders));
        Arrival { at, door, customer, units, order }
    }
}
