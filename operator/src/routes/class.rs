//! The sections `[[class]]`: named sets of request limits.
use crate::document::{Choice, Located, Section};
use quillramp::types::{KeyScope, RequestLimits};
use std::collections::BTreeMap;

/// Maximum number of attempts that a class may declare.
const MAX_ATTEMPTS: usize = 32;
/// The shortest time that a class may declare, seconds.
const MIN_SECONDS: f64 = 0.001;
/// The longest time that a class may declare, seconds.
const MAX_SECONDS: f64 = 600.0;

/// Limits of the requests that are routed to a class. A limit that is `None` is that of the platform's configuration. Times are
/// seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The name by which routes refer to the class.
    pub name: String,
    /// The line on which the class begins, counted from 1.
    pub line: usize,
    /// Maximum number of attempts of a request, including the first one.
    pub max_attempts: Option<Located<usize>>,
    /// Whether a hedged request may be sent while the first attempt is in flight.
    pub hedging: Option<Located<bool>>,
    /// Time after which an attempt in flight is abandoned.
    pub attempt_timeout: Option<Located<f64>>,
    /// The latency objective.
    pub latency_objective: Option<Located<f64>>,
    /// Time after which a request gets its final answer.
    pub timeout: Option<Located<f64>>,
    /// Time after the first attempt within which a request may be retried.
    pub retry_window: Option<Located<f64>>,
    /// The group of backends that shares idempotency keys.
    pub key_scope: Option<Located<KeyScope>>,
}

impl Class {
    /// Returns the limits in the form that the policy engine takes.
    pub fn limits(&self) -> RequestLimits {
        let default = RequestLimits::default();
        RequestLimits {
            max_attempts: value_or(&self.max_attempts, default.max_attempts),
            hedging: value_or(&self.hedging, default.hedging),
            attempt_timeout: value_or(&self.attempt_timeout, default.attempt_timeout),
            latency_objective: value_or(&self.latency_objective, default.latency_objective),
            retry_window: value_or(&self.retry_window, default.retry_window),
        }
    }
}

/// Returns the value of a limit, or a default if the limit is not declared.
pub(crate) fn value_or<T: Copy>(located: &Option<Located<T>>, default: T) -> T {
    located.as_ref().map_or(default, |located| located.value)
}

/// Reads all classes and reports errors to the document.
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
    let scopes = [
        Choice { name: "all", value: KeyScope::All },
        Choice { name: "zone", value: KeyScope::Zone },
        Choice { name: "cell", value: KeyScope::Cell },
    ];
    let class = Class {
        name: section.string("name").map(|name| name.value).unwrap_or_default(),
        line: section.line,
        max_attempts: section.integer("attempts", 1..=MAX_ATTEMPTS),
        hedging: section.boolean("second_copies"),
        attempt_timeout: seconds("per_try"),
        latency_objective: seconds("objective"),
        timeout: seconds("timeout"),
        retry_window: seconds("repeat_within"),
        key_scope: section.choice("repeat_group", &scopes),
    };
    check(section, &class);
    class
}

/// Checks a class for limits that contradict each other.
fn check(section: &Section, class: &Class) {
    if let (Some(objective), Some(timeout)) = (&class.latency_objective, &class.timeout) {
        if objective.value > timeout.value {
            let message = format!(
                "expected at most {1} s, the value of 'timeout', found {0} s",
                objective.value, timeout.value
            );
            section.report("objective", message);
        }
    }
    let is_single_attempt = class.max_attempts.as_ref().is_some_and(|attempts| attempts.value == 1);
    if !is_single_attempt {
        return;
    }
    if value_or(&class.hedging, false) {
        section.report(
            "second_copies",
            "expected false with attempts = 1, as a second copy is a second attempt; found true",
        );
    }
    for key in ["per_try", "repeat_within", "repeat_group"] {
        if section.contains(key) {
            section.report(key, "expected no such key with attempts = 1, which excludes retries");
        }
    }
}

fn check_name(section: &Section, class: &Class, lines: &mut BTreeMap<String, usize>) {
    if !section.contains("name") {
        section.report("name", "is missing");
    } else if class.name.is_empty() {
        section.report("name", "expected a non-empty name, found an empty string");
    } else if let Some(line) = lines.insert(class.name.clone(), class.line) {
        section.report(
            "name",
            format!("expected a unique name, found '{}' again (first on line {line})", class.name),
        );
    }
}

/// Returns the index of the class that a route names; `None` if the key is missing or the class does not exist, which is reported.
pub(super) fn find(section: &Section, classes: &[Class]) -> Option<usize> {
    let Some(name) = section.string("class") else {
        if !section.contains("class") {
            section.report("class", "is missing");
        }
        return None;
    };
    let index = classes.iter().position(|class| class.name == name.value);
    if index.is_none() {
        section.report("class", format!("expected the name of a [[class]], found '{}'", name.value));
    }
    index
}
