//! A class against the rules, for an operation that is routed to it.
use super::class::value_or;
use super::platform::group_name;
use super::{Class, Operation, Platform};
use crate::document::Document;
use quillramp::types::{Idempotency, KeyScope};

/// A class that a route leads an operation to.
pub(super) struct ClassCheck<'a> {
    pub document: &'a Document,
    pub class: &'a Class,
    /// The line of the route.
    pub route_line: usize,
    pub operation: &'a Operation,
    pub platform: &'a Platform,
}

impl ClassCheck<'_> {
    /// Reports all that the rules or the platform's configuration do not allow.
    pub fn run(&self) {
        self.check_attempts();
        self.check_second_copies();
        self.check_per_try_effect();
        match self.operation.effect {
            Idempotency::Keyed { scope: group, window } => self.check_tokened_repeats(group, window),
            Idempotency::NonIdempotent => self.check_no_repeats(),
            Idempotency::Idempotent => self.check_idempotent_repeats(),
        }
        self.check_timeout();
        self.check_objective();
        self.check_per_try_time();
    }

    fn check_attempts(&self) {
        let Some(attempts) = self.class.attempts.as_ref().filter(|attempts| attempts.value > 1) else {
            return;
        };
        if self.operation.effect == Idempotency::NonIdempotent {
            let name = &self.operation.name;
            let message =
                format!("'{name}' is non-idempotent: a second delivery could have its effect twice");
            self.report(attempts.line, "attempts", &message);
        }
        let allowed = self.platform.attempts;
        if attempts.value > allowed {
            self.report(attempts.line, "attempts", &format!("the configuration allows {allowed}"));
        }
    }

    fn check_second_copies(&self) {
        let Some(copies) = self.class.second_copies.as_ref().filter(|copies| copies.value) else { return };
        let name = &self.operation.name;
        let message = match self.operation.effect {
            Idempotency::NonIdempotent => {
                format!("'{name}' is non-idempotent: a second copy could have its effect twice")
            }
            Idempotency::Keyed { .. } => format!("'{name}' is tokened: only what is idempotent is copied"),
            Idempotency::Idempotent if self.platform.second_copies => return,
            Idempotency::Idempotent => "the configuration allows none".into(),
        };
        self.report(copies.line, "second_copies", &message);
    }

    fn check_per_try_effect(&self) {
        let Some(per_try) = &self.class.per_try else { return };
        if self.operation.effect != Idempotency::Idempotent {
            let name = &self.operation.name;
            let message = format!(
                "'{name}' is not idempotent: a delivery of it that is out is not given up for another"
            );
            self.report(per_try.line, "per_try", &message);
        }
    }

    fn check_tokened_repeats(&self, group: KeyScope, window: f64) {
        let name = &self.operation.name;
        if let Some(within) = self.class.repeat_within.as_ref().filter(|within| within.value > window) {
            let message =
                format!("the token of '{name}' is remembered for {window} s, not for {} s", within.value);
            self.report(within.line, "repeat_within", &message);
        }
        if let Some(declared) = self.class.repeat_group.as_ref().filter(|declared| declared.value != group) {
            let (own, other) = (group_name(group), group_name(declared.value));
            let message = format!(
                "a repeat of '{name}' is known within its own group, which is '{own}', not '{other}'"
            );
            self.report(declared.line, "repeat_group", &message);
        }
    }

    fn check_no_repeats(&self) {
        let message = format!("'{}' is non-idempotent: it has no repeats", self.operation.name);
        if let Some(within) = &self.class.repeat_within {
            self.report(within.line, "repeat_within", &message);
        }
        if let Some(group) = &self.class.repeat_group {
            self.report(group.line, "repeat_group", &message);
        }
    }

    fn check_idempotent_repeats(&self) {
        if let Some(group) = &self.class.repeat_group {
            let message = format!("'{}' is idempotent: its repeats may go anywhere", self.operation.name);
            self.report(group.line, "repeat_group", &message);
        }
    }

    fn check_timeout(&self) {
        let longest = self.operation.timeout;
        let Some(timeout) = self.class.timeout.as_ref().filter(|timeout| timeout.value > longest) else {
            return;
        };
        let name = &self.operation.name;
        let message = format!("clients of '{name}' give up after {longest} s: {} s is later", timeout.value);
        self.report(timeout.line, "timeout", &message);
    }

    fn check_objective(&self) {
        let Some(objective) = &self.class.objective else { return };
        let Operation { name, objective: longest, .. } = self.operation;
        let timeout = self.timeout();
        if objective.value > *longest {
            let message =
                format!("the latency objective of '{name}' is {longest} s: a file can only narrow it");
            self.report(objective.line, "objective", &message);
        } else if objective.value > timeout {
            let message = format!("lies past the time-out of '{name}', {timeout} s");
            self.report(objective.line, "objective", &message);
        }
    }

    fn check_per_try_time(&self) {
        let Some(per_try) = &self.class.per_try else { return };
        if self.operation.effect != Idempotency::Idempotent {
            return;
        }
        let (name, timeout) = (&self.operation.name, self.timeout());
        let attempts = value_or(&self.class.attempts, usize::MAX).min(self.platform.attempts);
        let is_declared = self.class.attempts.is_some();
        if attempts > 1 && per_try.value >= timeout {
            let message = format!(
                "{} s leaves no time for another try before clients of '{name}' give up at {timeout} s",
                per_try.value
            );
            self.report(per_try.line, "per_try", &message);
        } else if is_declared && per_try.value * attempts as f64 > timeout {
            let message = format!(
                "{attempts} attempts of {} s cannot end before clients of '{name}' give up at {timeout} s",
                per_try.value
            );
            self.report(per_try.line, "per_try", &message);
        }
    }

    /// The longest that a request is worked on, seconds.
    fn timeout(&self) -> f64 {
        value_or(&self.class.timeout, f64::INFINITY).min(self.operation.timeout)
    }

    fn report(&self, line: usize, key: &str, message: &str) {
        let key = format!("class '{}'.{key}", self.class.name);
        let message = format!("{message} (by the route on line {})", self.route_line);
        self.document.report(line, key, message);
    }
}
