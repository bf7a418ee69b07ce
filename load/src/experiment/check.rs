//! Checks that the values of an experiment are in their ranges.
use super::{Experiment, Flood, Variant};
use crate::fault_schedule;
use quillramp_emulator::scenario::{Fault, FaultKind};

/// Maximum duration of the traffic, seconds.
const MAX_TRAFFIC_SECONDS: f64 = 300.0;
/// Maximum rate, requests per second.
const MAX_REQUESTS_PER_SECOND: f64 = 20_000.0;
/// Maximum number of instances that one machine can run.
const MAX_INSTANCES: usize = 300;
/// Maximum number of generator threads that one machine can run.
const MAX_GENERATOR_THREADS: usize = 12_000;
/// Maximum number of backends.
const MAX_BACKENDS: usize = 64;
/// Minimum descriptor limit of an instance, whatever the experiment sets.
const MIN_DESCRIPTORS: usize = 1024;

/// The violations found so far, one line of text each.
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
    /// Returns the violations of the ranges, one line of text each; empty if the experiment is valid.
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
            "traffic.seconds: expected more than 0 and at most 300",
        );
        violations.require(
            (0.0..=MAX_REQUESTS_PER_SECOND).contains(&traffic.rate),
            "traffic.rate: expected 0 (closed loop) to 20000",
        );
        violations.require(
            (0.0..=1.0).contains(&traffic.non_idempotent_fraction),
            "traffic.orders: expected a fraction from 0 to 1",
        );
        if let Some(flood) = &traffic.flood {
            self.check_flood(flood, violations);
        }
    }

    fn check_flood(&self, flood: &Flood, violations: &mut Violations) {
        let within = 0.0..self.traffic.seconds;
        violations
            .require(self.is_open_loop(), "traffic.flood: requires an open loop (traffic.rate above 0)");
        violations.require(
            (0.1..=MAX_REQUESTS_PER_SECOND).contains(&flood.rate),
            "traffic.flood.rate: expected 0.1 to 20000",
        );
        violations.require(
            within.contains(&flood.start),
            "traffic.flood.from: expected a time before the end of the traffic",
        );
        violations.require(
            flood.customer < self.world.customers as u64,
            "traffic.flood.customer: expected a number from 0 to world.customers - 1",
        );
    }

    fn check_world(&self, violations: &mut Violations) {
        let world = &self.world;
        violations.require((1..=100).contains(&self.repetitions), "repetitions: expected 1 to 100");
        violations.require(!self.variants.is_empty(), "variant: expected at least one");
        violations.require((1..=MAX_BACKENDS).contains(&world.backends), "world.backends: expected 1 to 64");
        violations.require(world.zones > 0, "world.zones: expected 1 or more");
        violations.require(world.customers > 0, "world.customers: expected 1 or more");
    }

    /// Checks the sizes that a variant can override; `prefix` names the variant in the messages.
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
                "{prefix}traffic.connections: expected at least 1, and at most {MAX_GENERATOR_THREADS} over all instances"
            ),
        );
        violations.require(
            connections < descriptors,
            format!("{prefix}traffic: expected fewer connections per instance than its {descriptors} descriptors, found {connections}"),
        );
    }

    fn check_variant(&self, index: usize, variant: &Variant, violations: &mut Violations) {
        let number = index + 1;
        let duplicate = self.variants[..index].iter().any(|other| other.name == variant.name);
        violations.require(
            !variant.name.is_empty() && !duplicate,
            format!("variant {number}: expected a name that no earlier variant has"),
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
            format!("{at}: only the emulator supports this kind"),
        );
        violations.require(
            fault.kind != FaultKind::TrafficBurst || self.is_open_loop(),
            format!("{at}: requires an open loop (traffic.rate above 0)"),
        );
        violations.0.extend(fault.problems(&at, self.traffic.seconds, &self.world));
    }
}
