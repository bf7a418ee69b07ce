//! The requests of one instance's clients: tenants and gaps in time drawn by seed.
use super::error::ScaleError;
use super::operating_point::{plan_name, OperatingPoint, Tenant};
use rand::distributions::{Distribution, WeightedIndex};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp;
use std::sync::Arc;

/// Milliseconds that a client waits, as the request says.
const CLIENT_TIMEOUT_MS: u64 = 1_400;
/// Sets the seeds of instances' requests apart from other seeds of the point.
const REQUEST_SEED_FACTOR: u64 = 1_000_003;
/// Request ids hold the number of the instance above this many bits.
const INSTANCE_ID_SHIFT: u32 = 40;

/// The tenants of a point, and how often each is drawn.
pub struct Population {
    tenants: Vec<Tenant>,
    distribution: WeightedIndex<f64>,
}

impl Population {
    /// The tenants of a point; an error where there are none.
    pub fn new(point: &OperatingPoint) -> Result<Arc<Population>, ScaleError> {
        Ok(Arc::new(Population { tenants: point.tenants(), distribution: point.distribution()? }))
    }
}

/// Draws the requests of one instance.
pub struct RequestSource {
    rng: ChaCha8Rng,
    population: Arc<Population>,
    interarrival_times: Exp<f64>,
    instances: usize,
    last_id: u64,
}

impl RequestSource {
    /// The requests of the instance of that number. All instances serve every tenant.
    pub fn new(
        point: &OperatingPoint,
        population: &Arc<Population>,
        instance: usize,
    ) -> Result<RequestSource, ScaleError> {
        let seed = point.seed.wrapping_mul(REQUEST_SEED_FACTOR).wrapping_add(instance as u64);
        Ok(RequestSource {
            rng: ChaCha8Rng::seed_from_u64(seed),
            population: population.clone(),
            interarrival_times: Exp::new(point.requests).map_err(ScaleError::Requests)?,
            instances: point.instances,
            last_id: (instance as u64) << INSTANCE_ID_SHIFT,
        })
    }

    /// Seconds to the next request.
    pub fn next_interarrival_seconds(&mut self) -> f64 {
        self.interarrival_times.sample(&mut self.rng)
    }

    /// The next request, as a client writes it: no body, one unit, idempotent.
    pub fn next_request(&mut self) -> Vec<u8> {
        let tenant = self.population.distribution.sample(&mut self.rng);
        self.last_id += 1;
        let plan = plan_name(self.population.tenants[tenant].plan);
        let spread = self.instances;
        let attributes = format!("c=look,t={plan},d={CLIENT_TIMEOUT_MS},units=1,spread={spread},first=0");
        let id = self.last_id;
        format!(
            "*4\r\n$8\r\nCALL.GET\r\n$16\r\n{tenant:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{attributes}\r\n",
            attributes.len()
        )
        .into_bytes()
    }
}
