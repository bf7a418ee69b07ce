//! When which request arrives, drawn from the experiment's seed.
use super::{Arrival, Experiment, Flood};
use crate::fault_schedule;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// Sets the seeds of repetitions apart.
const REPETITION_SEED: u64 = 7919;
/// Sets the seeds of the flood apart, from repetition to repetition and from all others' arrivals.
const FLOOD_REPETITION_SEED: u64 = 31;
const FLOOD_SEED: u64 = 17;
/// The least rate that arrivals are drawn by, requests a second.
const LEAST_RATE: f64 = 1e-9;

impl Experiment {
    /// The arrivals of an open loop, of one repetition: the same for all variants of one size.
    pub fn arrivals(&self, repetition: usize) -> Vec<Arrival> {
        let seed = self.seed.wrapping_add(REPETITION_SEED * repetition as u64);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let Ok(gaps) = Exp::new(self.traffic.rate.max(LEAST_RATE)) else { return vec![] };
        let mut at = 0.0;
        let mut all = vec![];
        loop {
            at += gaps.sample(&mut rng) / fault_schedule::burst_factor(&self.faults, at);
            if at >= self.traffic.seconds {
                break;
            }
            all.push(self.draw_arrival(&mut rng, at));
        }
        if let Some(flood) = &self.traffic.flood {
            self.add_flood(&mut all, flood, repetition);
        }
        all
    }

    /// The flood has random numbers of its own: what all others send is the same with and without it.
    fn add_flood(&self, all: &mut Vec<Arrival>, flood: &Flood, repetition: usize) {
        let Ok(gaps) = Exp::new(flood.rate) else { return };
        let seed = self.seed.wrapping_add(FLOOD_REPETITION_SEED * repetition as u64 + FLOOD_SEED);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut at = flood.from + gaps.sample(&mut rng);
        while at < self.traffic.seconds {
            all.push(self.draw_arrival_of(&mut rng, at, flood.customer));
            at += gaps.sample(&mut rng);
        }
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
    }

    /// An arrival of any customer at a time, seconds from the start.
    pub fn draw_arrival(&self, rng: &mut ChaCha8Rng, at: f64) -> Arrival {
        let customer = rng.gen_range(0..self.world.customers as u64);
        self.draw_arrival_of(rng, at, customer)
    }

    fn draw_arrival_of(&self, rng: &mut ChaCha8Rng, at: f64, customer: u64) -> Arrival {
        let instance = (customer as usize + rng.gen_range(0..self.spread())) % self.world.instances;
        let units = rng.gen_range(1..=2);
        let non_idempotent = rng.gen_bool(self.traffic.non_idempotent);
        Arrival { at, instance, customer, units, non_idempotent }
    }
}
