//! The ranges of an experiment's values.
use super::{Experiment, Flood, Variant};
use crate::fault_schedule;
use quillramp_emulator::scenario::{Fault, FaultKind};

/// The longest traffic, seconds.
const MAX_TRAFFIC_SECONDS: f64 = 300.0;
/// The highest rate, requests a second.
const MAX_REQUESTS_PER_SECOND: f64 = 20_000.0;
/// The largest fleet that one machine can carry.
const MAX_INSTANCES: usize = 300;
/// The most threads of the generator that one machine can carry.
const MAX_GENERATOR_THREADS: usize = 12_000;
/// The most backends.
const MAX_BACKENDS: usize = 64;
/// The least number of descriptors of an instance.
const MIN_DESCRIPTORS: usize = 1024;

/// Collects what is wrong, a line each.
#[derive(Default)]
struct Violations(Vec<String>);

impl Violations {
    fn require(&mut self, holds: bool, message: impl Into<String>) {
        if !holds {
            self.0.push(message.into());
        }
    }
}

impl Experiment {
    /// What is wrong with the values, a line each.
    pub fn check(&self) -> Vec<String> {
        let mut violations = Violations::default();
        self.check_traffic(&mut violations);
        self.check_world(&mut violations);
        self.check_sizes("", &mut violations);
        for (index, variant) in self.variants.iter().enumerate() {
            self.check_variant(index, variant, &mut violations);
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(index, fault, &mut violations);
        }
        violations.0
    }

    fn check_traffic(&self, violations: &mut Violations) {
        let traffic = &self.traffic;
        violations.require(
            traffic.seconds > 0.0 && traffic.seconds <= MAX_TRAFFIC_SECONDS,
            "traffic.seconds: expected more than 0, 300 at the most",
        );
        violations.require(
            (0.0..=MAX_REQUESTS_PER_SECOND).contains(&traffic.rate),
            "traffic.rate: expected 0 (closed loop) to 20000",
        );
        violations.require(
            (0.0..=1.0).contains(&traffic.non_idempotent),
            "traffic.orders: expected a share, 0 to 1",
        );
        if let Some(flood) = &traffic.flood {
            self.check_flood(flood, violations);
        }
    }

    fn check_flood(&self, flood: &Flood, violations: &mut Violations) {
        let within = 0.0..self.traffic.seconds;
        violations.require(self.is_open_loop(), "traffic.flood: a closed loop has no room for one");
        violations.require(
            (0.1..=MAX_REQUESTS_PER_SECOND).contains(&flood.rate),
            "traffic.flood.rate: expected 0.1 to 20000",
        );
        violations
            .require(within.contains(&flood.start), "traffic.flood.from: expected a time within the run");
        violations.require(
            flood.customer < self.world.customers as u64,
            "traffic.flood.customer: they are counted from 0",
        );
    }

    fn check_world(&self, violations: &mut Violations) {
        let world = &self.world;
        violations.require((1..=100).contains(&self.repetitions), "repetitions: expected 1 to 100");
        violations.require(!self.variants.is_empty(), "variant: expected one at least");
        violations.require((1..=MAX_BACKENDS).contains(&world.backends), "world.backends: expected 1 to 64");
        violations.require(world.zones > 0, "world.zones: expected 1 or more");
        violations.require(world.customers > 0, "world.customers: expected 1 or more");
    }

    /// The sizes that variants may change; `prefix` names the variant.
    fn check_sizes(&self, prefix: &str, violations: &mut Violations) {
        let traffic = &self.traffic;
        let instances = self.world.instances;
        let descriptors = self.world.max_descriptors.max(MIN_DESCRIPTORS);
        let connections = traffic.connections + traffic.idle_connections;
        violations.require(
            (1..=MAX_INSTANCES).contains(&instances),
            format!("{prefix}world.doors: expected 1 to {MAX_INSTANCES}, found {instances}"),
        );
        violations.require(
            traffic.connections > 0 && traffic.connections * instances <= MAX_GENERATOR_THREADS,
            format!(
                "{prefix}traffic.connections: expected 1 or more, {MAX_GENERATOR_THREADS} at all instances at the most"
            ),
        );
        violations.require(
            connections < descriptors,
            format!("{prefix}traffic: {connections} connections to an instance of {descriptors} descriptors"),
        );
    }

    fn check_variant(&self, index: usize, variant: &Variant, violations: &mut Violations) {
        let number = index + 1;
        let duplicate = self.variants[..index].iter().any(|other| other.name == variant.name);
        violations.require(
            !variant.name.is_empty() && !duplicate,
            format!("variant {number}: expected a name of its own"),
        );
        violations.require(
            variant.service_time_factor >= 1.0 && variant.service_time_factor.is_finite(),
            format!("variant {number}: slowed: expected 1 or more"),
        );
        if variant.instances.or(variant.connections).or(variant.idle_connections).is_some() {
            self.for_variant(variant).check_sizes(&format!("variant {number}: "), violations);
        }
    }

    fn check_fault(&self, index: usize, fault: &Fault, violations: &mut Violations) {
        let at = format!("fault {} ({})", index + 1, fault.kind.name());
        violations.require(
            fault_schedule::is_supported(fault.kind),
            format!("{at}: only the emulator has this kind"),
        );
        violations.require(
            fault.kind != FaultKind::TrafficBurst || self.is_open_loop(),
            format!("{at}: a closed loop has no rate that could grow"),
        );
        violations.0.extend(fault.problems(&at, self.traffic.seconds, &self.world));
    }
}
