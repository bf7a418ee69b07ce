//! Checks of a class against the retry rules and the platform's configuration, for an operation that is routed to it.
use super::class::value_or;
use super::platform::group_name;
use super::{Class, Operation, Platform};
use crate::document::Document;
use quillramp::types::{Idempotency, KeyScope};

/// The check of one class for one operation.
pub(super) struct ClassCheck<'a> {
    /// Takes the diagnostics.
    pub document: &'a Document,
    /// The class to check.
    pub class: &'a Class,
    /// The line of the first route that leads to it.
    pub route_line: usize,
    /// The operation that is routed to it.
    pub operation: &'a Operation,
    /// The configuration that it may only narrow.
    pub platform: &'a Platform,
}

impl ClassCheck<'_> {
    /// Reports every limit that the retry rules or the platform's configuration do not allow.
    pub fn run(&self) {
        self.check_attempts();
        self.check_hedging();
        self.check_attempt_timeout_allowed();
        match self.operation.idempotency {
            Idempotency::Keyed { scope, window } => self.check_keyed_retries(scope, window),
            Idempotency::NonIdempotent => self.check_no_retries(),
            Idempotency::Idempotent => self.check_idempotent_retries(),
        }
        self.check_timeout();
        self.check_objective();
        self.check_attempt_timeout_length();
    }

    fn check_attempts(&self) {
        let Some(attempts) = self.class.max_attempts.as_ref().filter(|attempts| attempts.value > 1) else {
            return;
        };
        if self.operation.idempotency == Idempotency::NonIdempotent {
            let name = &self.operation.name;
            let message =
                format!("'{name}' is non-idempotent: a second delivery could have its effect twice");
            self.report(attempts.line, "attempts", &message);
        }
        let allowed = self.platform.max_attempts;
        if attempts.value > allowed {
            self.report(attempts.line, "attempts", &format!("the configuration allows {allowed}"));
        }
    }

    fn check_hedging(&self) {
        let Some(hedging) = self.class.hedging.as_ref().filter(|hedging| hedging.value) else { return };
        let name = &self.operation.name;
        let message = match self.operation.idempotency {
            Idempotency::NonIdempotent => {
                format!("'{name}' is non-idempotent: a second copy could have its effect twice")
            }
            Idempotency::Keyed { .. } => format!("'{name}' is tokened: only what is idempotent is copied"),
            Idempotency::Idempotent if self.platform.hedging => return,
            Idempotency::Idempotent => "the configuration allows none".into(),
        };
        self.report(hedging.line, "second_copies", &message);
    }

    fn check_attempt_timeout_allowed(&self) {
        let Some(attempt_timeout) = &self.class.attempt_timeout else { return };
        if self.operation.idempotency != Idempotency::Idempotent {
            let name = &self.operation.name;
            let message = format!(
                "'{name}' is not idempotent: a delivery of it that is out is not given up for another"
            );
            self.report(attempt_timeout.line, "per_try", &message);
        }
    }

    fn check_keyed_retries(&self, scope: KeyScope, window: f64) {
        let name = &self.operation.name;
        if let Some(within) = self.class.retry_window.as_ref().filter(|within| within.value > window) {
            let message =
                format!("the token of '{name}' is remembered for {window} s, not for {} s", within.value);
            self.report(within.line, "repeat_within", &message);
        }
        if let Some(declared) = self.class.key_scope.as_ref().filter(|declared| declared.value != scope) {
            let actual = group_name(scope);
            let other = group_name(declared.value);
            let message = format!(
                "a repeat of '{name}' is known within its own group, which is '{actual}', not '{other}'"
            );
            self.report(declared.line, "repeat_group", &message);
        }
    }

    fn check_no_retries(&self) {
        let message = format!("'{}' is non-idempotent: it has no repeats", self.operation.name);
        if let Some(within) = &self.class.retry_window {
            self.report(within.line, "repeat_within", &message);
        }
        if let Some(scope) = &self.class.key_scope {
            self.report(scope.line, "repeat_group", &message);
        }
    }

    fn check_idempotent_retries(&self) {
        if let Some(scope) = &self.class.key_scope {
            let message = format!("'{}' is idempotent: its repeats may go anywhere", self.operation.name);
            self.report(scope.line, "repeat_group", &message);
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
        let Some(objective) = &self.class.latency_objective else { return };
        let Operation { name, latency_objective: longest, .. } = self.operation;
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

    fn check_attempt_timeout_length(&self) {
        let Some(attempt_timeout) = &self.class.attempt_timeout else { return };
        if self.operation.idempotency != Idempotency::Idempotent {
            return;
        }
        let name = &self.operation.name;
        let timeout = self.timeout();
        let attempts = value_or(&self.class.max_attempts, usize::MAX).min(self.platform.max_attempts);
        let is_declared = self.class.max_attempts.is_some();
        if attempts > 1 && attempt_timeout.value >= timeout {
            let message = format!(
                "{} s leaves no time for another try before clients of '{name}' give up at {timeout} s",
                attempt_timeout.value
            );
            self.report(attempt_timeout.line, "per_try", &message);
        } else if is_declared && attempt_timeout.value * attempts as f64 > timeout {
            let message = format!(
                "{attempts} attempts of {} s cannot end before clients of '{name}' give up at {timeout} s",
                attempt_timeout.value
            );
            self.report(attempt_timeout.line, "per_try", &message);
        }
    }

    /// Time after which a request gets its final answer, seconds.
    fn timeout(&self) -> f64 {
        value_or(&self.class.timeout, f64::INFINITY).min(self.operation.timeout)
    }

    /// Reports a limit of the class.
    fn report(&self, line: usize, key: &str, message: &str) {
        let key = format!("class '{}'.{key}", self.class.name);
        let message = format!("{message} (by the route on line {})", self.route_line);
        self.document.report(line, key, message);
    }
}
