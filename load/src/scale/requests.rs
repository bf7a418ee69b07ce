//! Generates the requests of one instance's clients. Seeded random numbers determine the tenants and the
//! inter-arrival times, so that runs are repeatable.
use super::error::ScaleError;
use super::operating_point::{plan_name, OperatingPoint, Tenant};
use rand::distributions::{Distribution, WeightedIndex};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp;
use std::sync::Arc;

/// Client timeout in milliseconds that each request states.
const CLIENT_TIMEOUT_MS: u64 = 1_400;
/// Multiplier of the operating point's seed, which separates the seeds of the requests from other seeds of the point.
const REQUEST_SEED_FACTOR: u64 = 1_000_003;
/// Number of low bits of a request id that count requests; the bits above hold the instance's index.
const INSTANCE_ID_SHIFT: u32 = 40;

/// The tenants of an operating point and the distribution of requests over them.
pub struct Population {
    tenants: Vec<Tenant>,
    distribution: WeightedIndex<f64>,
}

impl Population {
    /// Creates the tenants of an operating point; fails if there are none.
    pub fn new(point: &OperatingPoint) -> Result<Arc<Population>, ScaleError> {
        Ok(Arc::new(Population { tenants: point.tenants(), distribution: point.distribution()? }))
    }
}

/// Generates the requests of one instance at random intervals.
pub struct RequestSource {
    rng: ChaCha8Rng,
    population: Arc<Population>,
    interarrival_times: Exp<f64>,
    instances: usize,
    last_id: u64,
}

impl RequestSource {
    /// Creates the source of the instance with this index in the fleet. Every instance serves all tenants. Fails if
    /// the request rate is out of range.
    pub fn new(
        point: &OperatingPoint,
        population: &Arc<Population>,
        index: usize,
    ) -> Result<RequestSource, ScaleError> {
        let seed = point.seed.wrapping_mul(REQUEST_SEED_FACTOR).wrapping_add(index as u64);
        Ok(RequestSource {
            rng: ChaCha8Rng::seed_from_u64(seed),
            population: population.clone(),
            interarrival_times: Exp::new(point.requests).map_err(ScaleError::Requests)?,
            instances: point.instances,
            last_id: (index as u64) << INSTANCE_ID_SHIFT,
        })
    }

    /// Returns the seconds until the next request.
    pub fn next_interarrival_seconds(&mut self) -> f64 {
        self.interarrival_times.sample(&mut self.rng)
    }

    /// Returns the next request as encoded by a client: idempotent, one unit, without a body.
    pub fn next_request(&mut self) -> Vec<u8> {
        let tenant = self.population.distribution.sample(&mut self.rng);
        self.last_id += 1;
        let plan = plan_name(self.population.tenants[tenant].plan);
        let spread = self.instances; // number of instances that share the tenant
        let attributes = format!("c=look,t={plan},d={CLIENT_TIMEOUT_MS},units=1,spread={spread},first=0");
        let id = self.last_id;
        format!(
            "*4\r\n$8\r\nCALL.GET\r\n$16\r\n{tenant:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{attributes}\r\n",
            attributes.len()
        )
        .into_bytes()
    }
}
