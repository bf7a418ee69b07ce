//! An experiment: a world, its traffic, variants that are played against each other, and how often. Read from TOML and checked.
use quillramp_emulator::script::World;
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
    /// The deployment, as the emulator has it: front doors, backends, their work, the customers. Faults of the network are the
    /// emulator's alone.
    #[serde(default)]
    pub world: World,
    pub traffic: Traffic,
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
    /// The share of invocations that are not idempotent.
    #[serde(default)]
    pub orders: f64,
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
        must((1..=2000).contains(&t.connections), "traffic.connections: expected 1 to 2000");
        must((0.0..=1.0).contains(&t.orders), "traffic.orders: expected a share, 0 to 1");
        must((1..=100).contains(&self.repetitions), "repetitions: expected 1 to 100");
        must(!self.variants.is_empty(), "variant: expected one at least");
        must(self.world.doors <= 64 && self.world.doors > 0, "world.doors: expected 1 to 64");
        must(self.world.backends <= 64 && self.world.backends > 0, "world.backends: expected 1 to 64");
        for (i, v) in self.variants.iter().enumerate() {
            let again = self.variants[..i].iter().any(|o| o.name == v.name);
            must(!v.name.is_empty() && !again, &format!("variant {}: expected a name of its own", i + 1));
            must(
                v.slowed >= 1.0 && v.slowed.is_finite(),
                &format!("variant {}: slowed: expected 1 or more", i + 1),
            );
        }
        wrong
    }

    /// When what comes, of one repetition: the same for all variants.
    pub fn arrivals(&self, repetition: usize) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(7919 * repetition as u64));
        let Ok(gaps) = Exp::new(self.traffic.rate.max(1e-9)) else { return vec![] };
        let (mut at, mut all) = (0.0, vec![]);
        loop {
            at += gaps.sample(&mut rng);
            if at >= self.traffic.seconds {
                return all;
            }
            all.push(self.arrival(&mut rng, at));
        }
    }

    pub fn arrival(&self, rng: &mut ChaCha8Rng, at: f64) -> Arrival {
        Arrival {
            at,
            door: rng.gen_range(0..self.world.doors),
            customer: rng.gen_range(0..self.world.customers as u64),
            units: rng.gen_range(1..=2),
            order: rng.gen_bool(self.traffic.orders),
        }
    }
}
