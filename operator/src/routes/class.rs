//! Classes of limits.
use crate::document::{Choice, Located, Section};
use quillramp::types::{KeyScope, RequestLimits};
use std::collections::BTreeMap;

/// The most attempts that a file may declare.
const MAX_ATTEMPTS: usize = 32;
/// The shortest time that a file may declare, seconds.
const MIN_SECONDS: f64 = 0.001;
/// The longest time that a file may declare, seconds.
const MAX_SECONDS: f64 = 600.0;

/// Limits for the requests that are routed to it. What is left out is as without the file. Times are seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Its name, which routes refer to.
    pub name: String,
    /// The line on which it begins.
    pub line: usize,
    /// Attempts of a request, the first one included.
    pub attempts: Option<Located<usize>>,
    /// A second attempt may be out beside the first.
    pub second_copies: Option<Located<bool>>,
    /// An attempt that is out for longer is given up.
    pub per_try: Option<Located<f64>>,
    /// The latency objective.
    pub objective: Option<Located<f64>>,
    /// The longest that a request is worked on.
    pub timeout: Option<Located<f64>>,
    /// A request is repeated within this time of its first attempt.
    pub repeat_within: Option<Located<f64>>,
    /// The group of backends in which a repeat is known.
    pub repeat_group: Option<Located<KeyScope>>,
}

impl Class {
    /// The class as `quillramp::decide` takes it.
    pub fn declared(&self) -> RequestLimits {
        let default = RequestLimits::default();
        RequestLimits {
            max_attempts: value_or(&self.attempts, default.max_attempts),
            hedging: value_or(&self.second_copies, default.hedging),
            attempt_timeout: value_or(&self.per_try, default.attempt_timeout),
            latency_objective: value_or(&self.objective, default.latency_objective),
            retry_window: value_or(&self.repeat_within, default.retry_window),
        }
    }
}

pub(crate) fn value_or<T: Copy>(located: &Option<Located<T>>, default: T) -> T {
    located.as_ref().map_or(default, |located| located.value)
}

/// Reads all classes.
pub(super) fn read_all(file: &Section) -> Vec<Class> {
    let mut classes: Vec<Class> = vec![];
    let mut lines: BTreeMap<String, usize> = BTreeMap::new();
    for section in file.sections("class") {
        let class = read(&section);
        check_name(&section, &class, &mut lines);
        section.finish();
        classes.push(class);
    }
    classes
}

fn read(section: &Section) -> Class {
    let seconds = |key: &'static str| section.number(key, MIN_SECONDS..=MAX_SECONDS);
    let groups = [
        Choice { word: "all", value: KeyScope::All },
        Choice { word: "zone", value: KeyScope::Zone },
        Choice { word: "cell", value: KeyScope::Cell },
    ];
    let class = Class {
        name: section.string("name").map(|name| name.value).unwrap_or_default(),
        line: section.line,
        attempts: section.integer("attempts", 1..=MAX_ATTEMPTS),
        second_copies: section.boolean("second_copies"),
        per_try: seconds("per_try"),
        objective: seconds("objective"),
        timeout: seconds("timeout"),
        repeat_within: seconds("repeat_within"),
        repeat_group: section.choice("repeat_group", &groups),
    };
    check(section, &class);
    class
}

/// Checks what a class says by itself.
fn check(section: &Section, class: &Class) {
    if let (Some(objective), Some(timeout)) = (&class.objective, &class.timeout) {
        if objective.value > timeout.value {
            let message = format!("{} s lies past the time-out of {} s", objective.value, timeout.value);
            section.report("objective", message);
        }
    }
    let is_single_attempt = class.attempts.as_ref().is_some_and(|attempts| attempts.value == 1);
    if !is_single_attempt {
        return;
    }
    if value_or(&class.second_copies, false) {
        section.report("second_copies", "a second copy is a second attempt, and attempts = 1");
    }
    for key in ["per_try", "repeat_within", "repeat_group"] {
        if section.contains(key) {
            section.report(key, "attempts = 1 leaves nothing that this could be about");
        }
    }
}

fn check_name(section: &Section, class: &Class, lines: &mut BTreeMap<String, usize>) {
    if !section.contains("name") {
        section.report("name", "is missing");
    } else if class.name.is_empty() {
        section.report("name", "expected a name");
    } else if let Some(line) = lines.insert(class.name.clone(), class.line) {
        section.report("name", format!("'{}' stands on line {line} already", class.name));
    }
}

/// The place of the class that a route names.
pub(super) fn find(section: &Section, classes: &[Class]) -> Option<usize> {
    let Some(name) = section.string("class") else {
        if !section.contains("class") {
            section.report("class", "is missing");
        }
        return None;
    };
    let place = classes.iter().position(|class| class.name == name.value);
    if place.is_none() {
        section.report("class", format!("no class is called '{}'", name.value));
    }
    place
}
