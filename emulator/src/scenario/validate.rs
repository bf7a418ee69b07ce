//! Checks that a scenario can be run. Each problem is a line that says where it stands.
use super::fault_kind::SeverityRange;
use super::{Fault, FaultKind, Scenario, World, MAX_DURATION};

/// Descriptors of a gateway instance, at least.
const MIN_DESCRIPTORS: usize = 64;
/// Seconds between two heartbeats.
const MEMBERSHIP_INTERVALS: std::ops::RangeInclusive<f64> = 0.5..=10.0;
/// The longest time from one machine to another, in seconds.
const MAX_NETWORK_DELAY: f64 = 1.0;

/// Collects what does not hold.
#[derive(Default)]
struct Problems {
    lines: Vec<String>,
}

impl Problems {
    fn require(&mut self, holds: bool, problem: String) {
        if !holds {
            self.lines.push(problem);
        }
    }
}

impl Scenario {
    /// What can't be run, each with where it stands.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Problems::default();
        problems.require(
            self.seconds > 0.0 && self.seconds <= MAX_DURATION,
            format!("seconds: expected more than 0, {MAX_DURATION} at the most"),
        );
        self.world.check_counts(&mut problems);
        self.world.check_values(&mut problems);
        for (index, fault) in self.faults.iter().enumerate() {
            let place = format!("fault {} ({})", index + 1, fault.kind.name());
            problems.lines.extend(fault.problems(&place, self.seconds, &self.world));
        }
        problems.lines
    }
}

impl World {
    fn check_counts(&self, problems: &mut Problems) {
        let counts = [
            ("doors", self.instances, 4096),
            ("backends", self.backends, 64),
            ("zones", self.zones, self.backends),
            ("cells", self.cells, self.backends),
            ("customers", self.customers, 10_000),
            ("slots", self.slots, 1000),
            ("connections", self.max_connections, 10_000),
            ("per_connection", self.max_pipelined, 64),
        ];
        for (name, count, max) in counts {
            let problem = format!("world.{name}: expected 1 to {max}, found {count}");
            problems.require((1..=max).contains(&count), problem);
        }
        problems.require(
            self.max_descriptors >= MIN_DESCRIPTORS,
            format!("world.sockets: expected {MIN_DESCRIPTORS} or more, found {}", self.max_descriptors),
        );
    }

    fn check_values(&self, problems: &mut Problems) {
        let positive = [
            ("rate", self.request_rate),
            ("service", self.service_time),
            ("warm_after", self.slow_start_duration),
            ("cold_for", self.overload_window),
        ];
        for (name, value) in positive {
            let problem = format!("world.{name}: expected more than 0");
            problems.require(value > 0.0 && value.is_finite(), problem);
        }
        problems.require(
            self.membership_interval == 0.0 || MEMBERSHIP_INTERVALS.contains(&self.membership_interval),
            "world.presence: expected 0, or 0.5 to 10 seconds".into(),
        );
        let fractions = [
            ("pieces", self.split_writes),
            ("long", self.long_values),
            ("cold_from", self.slow_start_fraction),
        ];
        for (name, value) in fractions {
            let problem = format!("world.{name}: expected a share, 0 to 1");
            problems.require((0.0..=1.0).contains(&value), problem);
        }
        let [min, max] = self.network_delay;
        problems.require(
            min >= 0.0 && min <= max && max < MAX_NETWORK_DELAY,
            "world.delay: expected two times under a second, the smaller first".into(),
        );
    }
}

impl Fault {
    /// What can't be run, each behind the place where the fault stands; `seconds` is the length of the run.
    pub fn problems(&self, place: &str, seconds: f64, world: &World) -> Vec<String> {
        let mut problems = Problems::default();
        problems.require(
            self.at >= 0.0 && self.at < seconds,
            format!("{place}: at: expected a time within the run"),
        );
        let target = self.kind.target();
        let indexes = [
            index_problem("backend", self.backend, target.has_backend(), world.backends),
            index_problem("door", self.instance, target.has_instance(), world.instances),
            index_problem("zone", self.zone, target.has_zone(), world.zones),
        ];
        problems.lines.extend(indexes.into_iter().flatten().map(|problem| format!("{place}: {problem}")));
        let others = [self.duration_problem(), self.severity_problem()];
        problems.lines.extend(others.into_iter().flatten().map(|problem| format!("{place}: {problem}")));
        if self.kind == FaultKind::Upgrade {
            problems.require(world.inherits_listener, format!("{place}: needs world.passed = true"));
        }
        problems.lines
    }

    fn duration_problem(&self) -> Option<String> {
        match (self.duration, self.kind.is_instant()) {
            (Some(_), true) => Some("lasts: this kind is over at once".into()),
            (None, false) => Some("lasts is missing".into()),
            (Some(seconds), false) if seconds > 0.0 && seconds <= MAX_DURATION => None,
            (Some(_), false) => Some("lasts: expected more than 0".into()),
            (None, true) => None,
        }
    }

    fn severity_problem(&self) -> Option<String> {
        match (self.severity, self.kind.severity_range()) {
            (Some(_), None) => Some("by: this kind has no use for it".into()),
            (None, Some(SeverityRange { min, max })) => Some(format!("by is missing: {min} to {max}")),
            (Some(severity), Some(SeverityRange { min, max })) if !(min..=max).contains(&severity) => {
                Some(format!("by: expected {min} to {max}, found {severity}"))
            }
            _ => None,
        }
    }
}

/// What is wrong with an index that a fault names or should name.
fn index_problem(field: &str, index: Option<usize>, needed: bool, count: usize) -> Option<String> {
    match index {
        Some(index) if !needed => Some(format!("{field} = {index}: this kind has no use for it")),
        Some(index) if index >= count => Some(format!("{field} {index} of {count}: they are counted from 0")),
        None if needed => Some(format!("{field} is missing")),
        _ => None,
    }
}
