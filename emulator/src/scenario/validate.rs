//! Validates scenarios. Each problem is one line, starting with the location of the invalid value.
use super::fault_kind::SeverityRange;
use super::{Fault, FaultKind, Scenario, World, MAX_DURATION};

/// Minimum number of descriptors of a gateway instance.
const MIN_DESCRIPTORS: usize = 64;
/// Allowed heartbeat intervals, in seconds.
const MEMBERSHIP_INTERVALS: std::ops::RangeInclusive<f64> = 0.5..=10.0;
/// Network delays must be below this number of seconds.
const MAX_NETWORK_DELAY: f64 = 1.0;

/// The problems found so far, one line each.
#[derive(Default)]
struct Problems {
    lines: Vec<String>,
}

impl Problems {
    fn require(&mut self, valid: bool, problem: String) {
        if !valid {
            self.lines.push(problem);
        }
    }
}

impl Scenario {
    /// Returns one line per invalid value, starting with its location.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Problems::default();
        problems.require(
            self.seconds > 0.0 && self.seconds <= MAX_DURATION,
            format!("seconds: expected more than 0 and at most {MAX_DURATION}, found {}", self.seconds),
        );
        self.world.check_counts(&mut problems);
        self.world.check_values(&mut problems);
        for (index, fault) in self.faults.iter().enumerate() {
            let location = format!("fault {} ({})", index + 1, fault.kind.name());
            problems.lines.extend(fault.problems(&location, self.seconds, &self.world));
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
            format!("world.sockets: expected at least {MIN_DESCRIPTORS}, found {}", self.max_descriptors),
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
            let problem = format!("world.{name}: expected a finite number above 0, found {value}");
            problems.require(value > 0.0 && value.is_finite(), problem);
        }
        problems.require(
            self.membership_interval == 0.0 || MEMBERSHIP_INTERVALS.contains(&self.membership_interval),
            format!("world.presence: expected 0, or 0.5 to 10 seconds, found {}", self.membership_interval),
        );
        let fractions = [
            ("pieces", self.split_writes),
            ("long", self.long_values),
            ("cold_from", self.slow_start_fraction),
        ];
        for (name, value) in fractions {
            let problem = format!("world.{name}: expected a fraction from 0 to 1, found {value}");
            problems.require((0.0..=1.0).contains(&value), problem);
        }
        let [min, max] = self.network_delay;
        problems.require(
            min >= 0.0 && min <= max && max < MAX_NETWORK_DELAY,
            format!("world.delay: expected a minimum and a maximum below 1 second, found [{min}, {max}]"),
        );
    }
}

impl Fault {
    /// Returns one line per invalid value, starting with `location`. `seconds` is the duration of the run.
    pub fn problems(&self, location: &str, seconds: f64, world: &World) -> Vec<String> {
        let mut problems = Problems::default();
        problems.require(
            self.at >= 0.0 && self.at < seconds,
            format!("{location}: at: expected at least 0 and less than {seconds}, found {}", self.at),
        );
        let target = self.kind.target();
        let targets = [
            index_problem("backend", self.backend, target.has_backend(), world.backends),
            index_problem("door", self.instance, target.has_instance(), world.instances),
            index_problem("zone", self.zone, target.has_zone(), world.zones),
        ];
        problems.lines.extend(targets.into_iter().flatten().map(|problem| format!("{location}: {problem}")));
        let values = [self.duration_problem(), self.severity_problem()];
        problems.lines.extend(values.into_iter().flatten().map(|problem| format!("{location}: {problem}")));
        if self.kind == FaultKind::Upgrade {
            problems.require(
                world.inherits_listener,
                format!("{location}: this kind requires world.passed = true"),
            );
        }
        problems.lines
    }

    fn duration_problem(&self) -> Option<String> {
        match (self.duration, self.kind.is_instant()) {
            (Some(_), true) => Some("lasts: not allowed, faults of this kind are instantaneous".into()),
            (None, false) => Some("lasts is missing".into()),
            (Some(seconds), false) if seconds > 0.0 && seconds <= MAX_DURATION => None,
            (Some(seconds), false) => {
                Some(format!("lasts: expected more than 0 and at most {MAX_DURATION}, found {seconds}"))
            }
            (None, true) => None,
        }
    }

    fn severity_problem(&self) -> Option<String> {
        match (self.severity, self.kind.severity_range()) {
            (Some(_), None) => Some("by: not allowed, faults of this kind have no severity".into()),
            (None, Some(SeverityRange { min, max })) => {
                Some(format!("by is missing: expected {min} to {max}"))
            }
            (Some(severity), Some(SeverityRange { min, max })) if !(min..=max).contains(&severity) => {
                Some(format!("by: expected {min} to {max}, found {severity}"))
            }
            _ => None,
        }
    }
}

/// Returns the problem with a fault's target index: not allowed, missing, or not below `count`.
fn index_problem(field: &str, index: Option<usize>, needed: bool, count: usize) -> Option<String> {
    match index {
        Some(index) if !needed => Some(format!("{field} = {index}: not allowed for faults of this kind")),
        Some(index) if index >= count => {
            Some(format!("{field}: expected an index below {count}, found {index}"))
        }
        None if needed => Some(format!("{field} is missing")),
        _ => None,
    }
}
