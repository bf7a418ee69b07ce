//! Checks of a class against the retry rules and the platform's configuration, for an operation that is routed to it.
use super::class::value_or;
use super::platform::group_name;
use super::{Class, Operation, Platform};
use crate::document::Document;
use quillramp::types::{Idempotency, KeyScope};

/// The check of one class for one operation.
pub(super) struct ClassCheck<'a> {
    /// Receives the diagnostics.
    pub document: &'a Document,
    /// The class to check.
    pub class: &'a Class,
    /// The line of the first route that assigns the operation to the class.
    pub route_line: usize,
    /// The operation that is routed to the class.
    pub operation: &'a Operation,
    /// The configuration that the class may only narrow.
    pub platform: &'a Platform,
}

impl ClassCheck<'_> {
    /// Reports every limit that the retry rules or the platform's configuration forbid.
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
            let message = format!(
                "expected 1, as a retry of the non-idempotent '{name}' could take effect twice, found {}",
                attempts.value
            );
            self.report(attempts.line, "attempts", &message);
        }
        let allowed = self.platform.max_attempts;
        if attempts.value > allowed {
            self.report(
                attempts.line,
                "attempts",
                &format!("expected at most {allowed} as in the configuration, found {}", attempts.value),
            );
        }
    }

    fn check_hedging(&self) {
        let Some(hedging) = self.class.hedging.as_ref().filter(|hedging| hedging.value) else { return };
        let name = &self.operation.name;
        let message = match self.operation.idempotency {
            Idempotency::NonIdempotent => {
                format!("expected false, as a copy of the non-idempotent '{name}' could take effect twice, found true")
            }
            Idempotency::Keyed { .. } => {
                format!("expected false, as '{name}' is keyed and only idempotent operations are hedged, found true")
            }
            Idempotency::Idempotent if self.platform.hedging => return,
            Idempotency::Idempotent => "expected false as in the configuration, found true".into(),
        };
        self.report(hedging.line, "second_copies", &message);
    }

    fn check_attempt_timeout_allowed(&self) {
        let Some(attempt_timeout) = &self.class.attempt_timeout else { return };
        if self.operation.idempotency != Idempotency::Idempotent {
            let name = &self.operation.name;
            let message = format!(
                "expected no such key, as attempts of '{name}', which is not idempotent, are not abandoned"
            );
            self.report(attempt_timeout.line, "per_try", &message);
        }
    }

    fn check_keyed_retries(&self, scope: KeyScope, window: f64) {
        let name = &self.operation.name;
        if let Some(within) = self.class.retry_window.as_ref().filter(|within| within.value > window) {
            let message = format!(
                "expected at most {window} s, the lifetime of an idempotency key of '{name}', found {} s",
                within.value
            );
            self.report(within.line, "repeat_within", &message);
        }
        if let Some(declared) = self.class.key_scope.as_ref().filter(|declared| declared.value != scope) {
            let actual = group_name(scope);
            let other = group_name(declared.value);
            let message = format!(
                "expected '{actual}', the group that shares the idempotency keys of '{name}', found '{other}'"
            );
            self.report(declared.line, "repeat_group", &message);
        }
    }

    fn check_no_retries(&self) {
        let message =
            format!("expected no such key, as the non-idempotent '{}' is not retried", self.operation.name);
        if let Some(within) = &self.class.retry_window {
            self.report(within.line, "repeat_within", &message);
        }
        if let Some(scope) = &self.class.key_scope {
            self.report(scope.line, "repeat_group", &message);
        }
    }

    fn check_idempotent_retries(&self) {
        if let Some(scope) = &self.class.key_scope {
            let message = format!(
                "expected no such key, as the idempotent '{}' is retried on any backend",
                self.operation.name
            );
            self.report(scope.line, "repeat_group", &message);
        }
    }

    fn check_timeout(&self) {
        let longest = self.operation.timeout;
        let Some(timeout) = self.class.timeout.as_ref().filter(|timeout| timeout.value > longest) else {
            return;
        };
        let name = &self.operation.name;
        let message = format!(
            "expected at most {longest} s, when clients of '{name}' give up, found {} s",
            timeout.value
        );
        self.report(timeout.line, "timeout", &message);
    }

    fn check_objective(&self) {
        let Some(objective) = &self.class.latency_objective else { return };
        let Operation { name, latency_objective: longest, .. } = self.operation;
        let timeout = self.timeout();
        if objective.value > *longest {
            let message = format!(
                "expected at most {longest} s, the configured objective of '{name}', found {} s",
                objective.value
            );
            self.report(objective.line, "objective", &message);
        } else if objective.value > timeout {
            let message =
                format!("expected at most {timeout} s, the timeout of '{name}', found {} s", objective.value);
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
                "expected less than {timeout} s, the timeout of '{name}', to leave time for a retry, found {} s",
                attempt_timeout.value
            );
            self.report(attempt_timeout.line, "per_try", &message);
        } else if is_declared && attempt_timeout.value * attempts as f64 > timeout {
            let message = format!(
                "expected all attempts to fit in {timeout} s, the timeout of '{name}', found {attempts} of {} s",
                attempt_timeout.value
            );
            self.report(attempt_timeout.line, "per_try", &message);
        }
    }

    /// Returns the time after which a request gets its final answer, seconds.
    fn timeout(&self) -> f64 {
        value_or(&self.class.timeout, f64::INFINITY).min(self.operation.timeout)
    }

    /// Reports a limit of the class and the line of its route.
    fn report(&self, line: usize, key: &str, message: &str) {
        let key = format!("class '{}'.{key}", self.class.name);
        let message = format!("{message} (route on line {})", self.route_line);
        self.document.report(line, key, message);
    }
}
