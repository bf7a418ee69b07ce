//! Runs of about a hundred gateway instances and up to sixty backends, with scenarios generated from a seed. They exercise actions that
//! are harmless in one instance, but harmful when all instances take them at once. Every invariant is checked after each event.
use crate::scenario::{Fault, FaultKind, Scenario, World};
use crate::simulation::{simulate, Report};
use crate::sweep;
use clap::ValueEnum;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use std::ops::Range;

/// Seconds for which clients send requests.
const TRAFFIC_SECONDS: f64 = 11.0;
/// Number of zones of the backends.
const ZONES: usize = 3;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, ValueEnum)]
pub enum FleetScenario {
    /// During a rollout of the backends, while the list service is down, most gateway instances are killed at once, some of them twice.
    #[value(name = "herd")]
    MassRestart,
    /// All backends of a zone crash and warm up after their restart; some other backends are degraded.
    #[value(name = "zone")]
    ZoneLoss,
    /// Six in ten backends are replaced or drained within seconds; some other backends are degraded.
    #[value(name = "join")]
    MassReplacement,
}

impl FleetScenario {
    /// Returns the name on the command line and in tables.
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |value| value.get_name().to_owned())
    }
}

/// The result of one run of a fleet.
pub struct FleetResult {
    /// What happened to the fleet.
    pub fleet_scenario: FleetScenario,
    /// Report of the run.
    pub report: Report,
}

/// Generates the faults of a scenario.
struct FaultGenerator {
    rng: ChaCha8Rng,
    instances: usize,
    /// Indexes of all backends, in random order.
    shuffled_backends: Vec<usize>,
    faults: Vec<Fault>,
}

/// Generates the scenario of a seed.
pub fn scenario(fleet_scenario: FleetScenario, seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let world = generate_world(&mut rng);
    let mut shuffled_backends: Vec<usize> = (0..world.backends).collect();
    shuffled_backends.shuffle(&mut rng);
    let mut generator = FaultGenerator { rng, instances: world.instances, shuffled_backends, faults: vec![] };
    match fleet_scenario {
        FleetScenario::MassRestart => generator.mass_restart(),
        FleetScenario::ZoneLoss => generator.zone_loss(),
        FleetScenario::MassReplacement => generator.mass_replacement(),
    }
    let mut faults = generator.faults;
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    Scenario { seed, seconds: TRAFFIC_SECONDS, world, faults }
}

fn generate_world(rng: &mut ChaCha8Rng) -> World {
    let instances = rng.gen_range(90..=110);
    let backends: usize = rng.gen_range(40..=60);
    World {
        instances,
        backends,
        zones: ZONES,
        cells: backends / 4,
        customers: rng.gen_range(600..=1000),
        request_rate: rng.gen_range(10.0..16.0) * backends as f64,
        service_time: 0.08,
        slots: 2,
        max_connections: rng.gen_range(60..=400),
        slow_start_duration: rng.gen_range(6.0..17.0),
        slow_start_fraction: rng.gen_range(0.15..0.45),
        gossip: rng.gen_bool(0.8),
        polls_discovery: rng.gen_bool(0.2),
        ..World::default()
    }
}

impl FaultGenerator {
    /// Drains three in four backends over five seconds. Meanwhile, the list service goes down and instances are killed.
    fn mass_restart(&mut self) {
        let drained = self.shuffled_backends[..self.shuffled_backends.len() * 3 / 4].to_vec();
        let count = drained.len() as f64;
        for (index, backend) in drained.into_iter().enumerate() {
            let at = 2.0 + 5.0 * index as f64 / count;
            let duration = Some(self.rng.gen_range(0.5..1.5));
            let drain = Fault { backend: Some(backend), duration, ..Fault::new(at, FaultKind::Drain) };
            self.faults.push(drain);
        }
        let duration = Some(self.rng.gen_range(0.5..3.0));
        self.faults.push(Fault { duration, ..Fault::new(3.0, FaultKind::DiscoveryDown) });
        self.kill_instances();
    }

    /// Kills seven in ten instances at once, and one in ten of these a second time.
    fn kill_instances(&mut self) {
        let mut killed: Vec<usize> = (0..self.instances).collect();
        killed.shuffle(&mut self.rng);
        killed.truncate(self.instances * 7 / 10);
        for (index, instance) in killed.into_iter().enumerate() {
            let duration = Some(self.rng.gen_range(0.2..1.0));
            let instance = Some(instance);
            self.faults.push(Fault { instance, duration, ..Fault::new(3.5, FaultKind::Kill) });
            if index % 10 == 0 {
                let duration = Some(0.3);
                self.faults.push(Fault { instance, duration, ..Fault::new(5.5, FaultKind::Kill) });
            }
        }
    }

    fn zone_loss(&mut self) {
        let zone = self.rng.gen_range(0..ZONES);
        let duration = Some(self.rng.gen_range(1.5..4.0));
        self.faults.push(Fault { zone: Some(zone), duration, ..Fault::new(2.0, FaultKind::ZoneLoss) });
        let backends = self.shuffled_backends.iter().copied();
        let other_backends: Vec<usize> = backends.filter(|backend| backend % ZONES != zone).collect();
        self.degrade_backends(2.5, &other_backends);
    }

    fn mass_replacement(&mut self) {
        let count = self.shuffled_backends.len();
        for &backend in &self.shuffled_backends[..count * 6 / 10] {
            let at = self.rng.gen_range(2.0..8.0);
            let kind = if self.rng.gen_bool(0.5) { FaultKind::Replace } else { FaultKind::Drain };
            let duration = (kind == FaultKind::Drain).then_some(0.8);
            self.faults.push(Fault { backend: Some(backend), duration, ..Fault::new(at, kind) });
        }
        let other_backends = self.shuffled_backends[count * 2 / 3..].to_vec();
        self.degrade_backends(3.0, &other_backends);
    }

    /// Makes backends slow, failing or unresponsive for some seconds, within a second after `earliest`. The number of degraded backends is
    /// an eighth of all backends.
    fn degrade_backends(&mut self, earliest: f64, candidates: &[usize]) {
        let degradations =
            [(FaultKind::Slow, 6.0), (FaultKind::Errors, 0.7), (FaultKind::LostResponses, 0.7)];
        let count = self.shuffled_backends.len() / 8;
        let chosen: Vec<usize> = candidates.choose_multiple(&mut self.rng, count).copied().collect();
        for backend in chosen {
            let (kind, severity) = *degradations.choose(&mut self.rng).expect("three");
            let at = earliest + self.rng.gen_range(0.0..1.0);
            self.faults.push(Fault {
                backend: Some(backend),
                duration: Some(self.rng.gen_range(2.0..5.0)),
                severity: Some(severity),
                ..Fault::new(at, kind)
            });
        }
    }
}

/// Runs each scenario with each seed, `threads` runs at a time. Returns the results in the order of scenarios and seeds.
pub fn sweep(fleet_scenarios: &[FleetScenario], seeds: Range<u64>, threads: usize) -> Vec<FleetResult> {
    let runs_of_scenario = |fleet_scenario: &FleetScenario| {
        let fleet_scenario = *fleet_scenario;
        seeds.clone().map(move |seed| (fleet_scenario, seed))
    };
    let tasks = fleet_scenarios.iter().flat_map(runs_of_scenario).collect();
    sweep::run_parallel(tasks, threads, |(fleet_scenario, seed)| FleetResult {
        fleet_scenario,
        report: simulate(&scenario(fleet_scenario, seed), None),
    })
}

/// Returns the results as a Markdown table, one row per scenario.
pub fn table(results: &[FleetResult]) -> String {
    let mut text = String::from(
        "| scenario | runs | requests | succeeded | throttled | errored | attempts per request | attempts to warming backends | violations |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for &fleet_scenario in FleetScenario::value_variants() {
        let scenario_results = results.iter().filter(|result| result.fleet_scenario == fleet_scenario);
        let reports: Vec<&Report> = scenario_results.map(|result| &result.report).collect();
        if !reports.is_empty() {
            let _ = writeln!(text, "{}", table_row(fleet_scenario, &reports));
        }
    }
    text
}

fn table_row(fleet_scenario: FleetScenario, reports: &[&Report]) -> String {
    let totals = sweep::Totals::of(reports.iter().copied());
    let coverage = totals.coverage;
    let fraction = |count: u64| count as f64 / coverage.requests.max(1) as f64;
    format!(
        "| {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} |",
        fleet_scenario.name(),
        reports.len(),
        coverage.requests,
        fraction(coverage.succeeded),
        fraction(coverage.throttled),
        fraction(coverage.errored),
        fraction(coverage.attempts),
        coverage.slow_start_checks,
        reports.iter().filter(|report| report.violation.is_some()).count()
    )
}
