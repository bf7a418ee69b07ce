//! The platform and the operator's file of these tests.
use quillramp::types::{Idempotency, KeyScope};
use quillramp_operator::routes::{Operation, Platform};
use quillramp_operator::{read, Diagnostic, OperatorSettings};

/// A file with a log, three classes and four routes.
pub const VALID_FILE: &str = r#"
[log]
form = "json"
level = "warn"
[[log.of]]
from = "quillramp_gateway::memory"
level = "debug"

[[class]]
name = "look-ups"
attempts = 3
per_try = 0.3
objective = 0.3
timeout = 1.0

[[class]]
name = "one try"
attempts = 1

[[class]]
name = "held"
repeat_within = 1.0
repeat_group = "cell"

[[route]]
operations = ["look"]
customers = ["00000000b4d65521"]
class = "one try"

[[route]]
operations = ["look", "find"]
plans = ["small"]
class = "look-ups"

[[route]]
operations = ["hold"]
class = "held"

[[route]]
operations = ["ord*"]
class = "one try"
"#;

/// A platform with five operations, which cover the three forms of idempotency, and two plans.
pub fn platform() -> Platform {
    let keyed = |scope| Idempotency::Keyed { scope, window: 1.5 };
    let operation = |name: &str, idempotency, latency_objective, timeout| Operation {
        name: name.into(),
        idempotency,
        latency_objective,
        timeout,
    };
    Platform {
        operations: vec![
            operation("look", Idempotency::Idempotent, 0.4, 1.5),
            operation("find", Idempotency::Idempotent, 0.4, 1.5),
            operation("hold", keyed(KeyScope::Cell), 0.6, 2.0),
            operation("note", keyed(KeyScope::All), 0.6, 2.0),
            operation("order", Idempotency::NonIdempotent, 1.0, 3.0),
        ],
        plans: vec!["small".into(), "large".into()],
        max_attempts: 5,
        hedging: true,
        descriptors: 1024,
    }
}

/// The settings of a file on this platform, or its diagnostics, one per line.
pub fn read_file(text: &str) -> Result<OperatorSettings, String> {
    let lines = |diagnostics: Vec<Diagnostic>| {
        diagnostics.iter().map(|diagnostic| format!("{diagnostic}\n")).collect()
    };
    read(text, Some(&platform())).map_err(lines)
}
