//! The arrival times of requests, drawn at random from the experiment's seed.
use super::{Arrival, Experiment, Flood};
use crate::fault_schedule;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// Factor on the repetition in the seed of its arrivals, so that repetitions differ.
const REPETITION_SEED_FACTOR: u64 = 7919;
/// Factor on the repetition in the seed of the flood, so that its repetitions differ.
const FLOOD_REPETITION_SEED_FACTOR: u64 = 31;
/// Added to the seed of the flood, so that it differs from the seed of the other arrivals.
const FLOOD_SEED_OFFSET: u64 = 17;
/// Minimum rate for drawing arrivals, requests per second; a rate of 0 has no finite interarrival time.
const MIN_REQUESTS_PER_SECOND: f64 = 1e-9;

impl Experiment {
    /// Returns the arrivals of one repetition of an open loop; variants with the same number of instances get the same arrivals.
    pub fn arrivals(&self, repetition: usize) -> Vec<Arrival> {
        let seed = self.seed.wrapping_add(REPETITION_SEED_FACTOR * repetition as u64);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let Ok(interarrival_time) = Exp::new(self.traffic.rate.max(MIN_REQUESTS_PER_SECOND)) else {
            return vec![];
        };
        let mut at = 0.0;
        let mut arrivals = vec![];
        loop {
            at += interarrival_time.sample(&mut rng) / fault_schedule::burst_factor(&self.faults, at);
            if at >= self.traffic.seconds {
                break;
            }
            arrivals.push(self.draw_arrival(&mut rng, at));
        }
        if let Some(flood) = &self.traffic.flood {
            self.add_flood(&mut arrivals, flood, repetition);
        }
        arrivals
    }

    /// Adds the arrivals of the flood. They come from a separate random number generator, so that the other arrivals are the same with
    /// and without the flood.
    fn add_flood(&self, arrivals: &mut Vec<Arrival>, flood: &Flood, repetition: usize) {
        let Ok(interarrival_time) = Exp::new(flood.rate) else { return };
        let seed =
            self.seed.wrapping_add(FLOOD_REPETITION_SEED_FACTOR * repetition as u64 + FLOOD_SEED_OFFSET);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut at = flood.start + interarrival_time.sample(&mut rng);
        while at < self.traffic.seconds {
            arrivals.push(self.draw_customer_arrival(&mut rng, at, flood.customer));
            at += interarrival_time.sample(&mut rng);
        }
        arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    }

    /// Draws an arrival of a random customer; `at` is in seconds since the start of the traffic.
    pub fn draw_arrival(&self, rng: &mut ChaCha8Rng, at: f64) -> Arrival {
        let customer = rng.gen_range(0..self.world.customers as u64);
        self.draw_customer_arrival(rng, at, customer)
    }

    fn draw_customer_arrival(&self, rng: &mut ChaCha8Rng, at: f64, customer: u64) -> Arrival {
        let instance = (customer as usize + rng.gen_range(0..self.spread())) % self.world.instances;
        let units = rng.gen_range(1..=2);
        let non_idempotent = rng.gen_bool(self.traffic.non_idempotent_fraction);
        Arrival { at, instance, customer, units, non_idempotent }
    }
}
