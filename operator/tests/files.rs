//! Valid files, and invalid files with their diagnostics.
use expect_test::{expect, expect_file, Expect};
use proptest::prelude::*;
use quillramp::types::{Idempotency, KeyScope, RequestLimits};
use quillramp_operator::log::{Format, Level, LevelRule};
use quillramp_operator::routes::{Operation, Platform, Table};
use quillramp_operator::{read, show, Diagnostic, OperatorSettings, MAX_FILE_BYTES};
use std::fmt::Write;
use std::path::Path;

fn platform() -> Platform {
    let tokened = |group| Idempotency::Keyed { scope: group, window: 1.5 };
    let operations = [
        ("look", Idempotency::Idempotent, 0.4, 1.5),
        ("find", Idempotency::Idempotent, 0.4, 1.5),
        ("hold", tokened(KeyScope::Cell), 0.6, 2.0),
        ("note", tokened(KeyScope::All), 0.6, 2.0),
        ("order", Idempotency::NonIdempotent, 1.0, 3.0),
    ];
    Platform {
        operations: operations
            .map(|(name, effect, objective, timeout)| Operation {
                name: name.into(),
                idempotency: effect,
                latency_objective: objective,
                timeout,
            })
            .into(),
        plans: vec!["small".into(), "large".into()],
        max_attempts: 5,
        hedging: true,
        descriptors: 1024,
    }
}

/// The settings of a file, or its diagnostics, a line each.
fn read_file(text: &str) -> Result<OperatorSettings, String> {
    let lines = |diagnostics: Vec<Diagnostic>| {
        diagnostics.iter().map(|diagnostic| format!("{diagnostic}\n")).collect()
    };
    read(text, Some(&platform())).map_err(lines)
}

fn assert_diagnostics(text: &str, expected: Expect) {
    expected.assert_eq(&read_file(text).expect_err("it is wrong"));
}

#[test]
fn an_empty_file_has_default_settings() {
    assert_eq!(read_file(""), Ok(OperatorSettings::default()));
    assert_eq!(read_file("# nothing yet\n"), Ok(OperatorSettings::default()));
    assert_eq!(Table::new(&OperatorSettings::default().routes, &platform()).lookup(0, 0, 7), None);
}

#[test]
fn missing_admission_keys_have_defaults() {
    let limits = read_file("[admission]\nconnections = 400\nknown = [\"10.2.0.0/16\"]\n");
    let limits = limits.expect("right").admission.expect("switched on");
    assert_eq!(
        (limits.reserve, limits.per_address, limits.strangers, limits.unfinished),
        (0, 400, 100, 1600)
    );
    assert_eq!((limits.rate, limits.burst, limits.first_word, limits.known_for), (50.0, 100.0, 2.0, 600.0));
    assert!(limits.known[0].holds("10.2.3.4".parse().expect("an address")));
}

#[test]
fn the_example_under_deploy_is_valid() {
    let text = include_str!("../../deploy/operator.example.toml");
    let operator = read(text, None).expect("right");
    assert!(operator.admission.is_some() && operator.log.is_some() && !operator.routes.routes.is_empty());
}

#[test]
fn all_faults_are_reported_at_once() {
    assert_diagnostics(
        "[admission]\nconnections = 1000\nreserve = 1000\nper_address = 2000\nstrangers = 0\nnew_per_second = -1.0\n\
         burst = 0.5\nfirst_word = 0.0\nknown_for = 0.0\nknown = [\"10.2.0.1/16\", \"ten\"]\nspeed = 3\n",
        expect![[r#"
            line 2: admission.connections: expected 1 to 960, as 1024 descriptors are allowed and 64 serve else, found 1000
            line 3: admission.reserve: leaves no connection to others than the known
            line 3: admission.reserve: nobody can be known: name networks in known, or let known_for be more than 0
            line 4: admission.per_address: expected 1 to 1000, found 2000
            line 5: admission.strangers: expected 1 to 1000, found 0
            line 6: admission.new_per_second: expected 0.001 or more, found -1
            line 7: admission.burst: expected 1 or more, found 0.5
            line 8: admission.first_word: expected 0.05 or more, found 0
            line 10: admission.known: '10.2.0.1/16': bits are set behind the first 16
            line 10: admission.known: 'ten': expected an address, or one and its bits: 10.2.0.0/16
            line 11: admission.speed: nothing here has this name; known are 'burst', 'connections', 'first_word', 'known', 'known_for', 'new_per_second', 'per_address', 'reserve', 'strangers', 'unfinished'
        "#]],
    );
}

/// Regression test: without a configuration the number of connections has no bound, and four times as many overflowed.
#[test]
fn a_missing_connections_key_is_reported() {
    let diagnostics = read("[admission]\n", None).expect_err("it is wrong");
    let texts: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    assert_eq!(texts, ["line 1: admission.connections: is missing"]);
}

/// Each file of the directory has one or more faults, all of which are reported.
#[test]
fn invalid_files_are_reported_with_reasons() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/wrong");
    let files = std::fs::read_dir(&folder).expect("there").map(|f| f.expect("readable").path());
    let mut files: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "toml")).collect();
    files.sort();
    assert!(files.len() >= 40, "{}", files.len());
    let mut text = String::new();
    for path in files {
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let why = read_file(&std::fs::read_to_string(&path).expect("readable")).err();
        let _ = writeln!(text, "{name}\n{}", why.unwrap_or_else(|| panic!("{name} is taken for right")));
    }
    expect_file!["wrong/expected.txt"].assert_eq(&text);
}

const GOOD: &str = r#"
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

#[test]
fn the_first_matching_route_applies() {
    let operator = read_file(GOOD).expect("right");
    let log = operator.log.clone().expect("there");
    assert_eq!(log.format, Format::Json);
    let memory = LevelRule { prefix: "quillramp_gateway::memory".into(), level: Level::Debug };
    assert_eq!(log.levels[1], memory);
    let table = Table::new(&operator.routes, &platform());
    let attempts = |operation, plan, customer| {
        table.lookup(operation, plan, customer).map(|limits| limits.request_limits.max_attempts)
    };
    assert_eq!(attempts(0, 0, 0xb4d65521), Some(1), "named");
    assert_eq!(attempts(0, 1, 0xb4d65521), Some(1), "under any plan");
    assert_eq!(attempts(0, 0, 1), Some(3));
    assert_eq!(attempts(0, 1, 1), None, "another plan");
    assert_eq!(attempts(4, 1, 1), Some(1), "by a star");
    let limits = table.lookup(2, 0, 1).expect("routed");
    assert_eq!(limits.request_limits, RequestLimits { retry_window: 1.0, ..RequestLimits::default() });
    assert_eq!(limits.timeout, f64::INFINITY);
    assert_eq!(table.lookup(1, 0, 1).expect("routed").timeout, 1.0);
}

/// The part of the shown text that is about an operation.
fn shown_limits(operation: &str) -> String {
    let operator = read_file(GOOD).expect("right");
    let text = show(&operator, Some(&platform()));
    let parts: Vec<&str> =
        text.split("\n\n").filter(|part| part.starts_with(&format!("{operation},"))).collect();
    assert_eq!(parts.len(), 1, "{operation} is shown once in {text}");
    // The last part ends with the text, and the others where an empty line follows.
    format!("{}\n", parts[0].strip_suffix('\n').unwrap_or(parts[0]))
}

#[test]
fn the_shown_text_has_the_sections_and_then_each_operation() {
    let operator = read_file(GOOD).expect("right");
    let text = show(&operator, Some(&platform()));
    let (sections, operations) = text.split_once("\n\n").expect("operations follow");
    expect![[r#"
        admission: off
        log: Json, levels warn, quillramp_gateway::memory debug
        membership on the counter: off
        callers: need not be known
        broker: off"#]]
    .assert_eq(sections);
    assert!(operations.ends_with('\n') && !operations.ends_with("\n\n"), "{operations}");
    let names: Vec<&str> =
        operations.split("\n\n").map(|part| part.split(',').next().expect("a name")).collect();
    assert_eq!(names, ["look", "find", "hold", "note", "order"]);
}

#[test]
fn limits_by_customer_and_by_plan_are_shown_with_their_sources() {
    expect![[r#"
        look, idempotent
          all plans, customer 00000000b4d65521: class 'one try' (route on line 25)
            attempts 1 (line 18)
            second copies yes (configuration)
            latency objective 0.4 s (configuration)
            integration timeout 1.5 s (configuration)
          small, all customers: class 'look-ups' (route on line 30)
            attempts 3 (line 11)
            second copies yes (configuration)
            per try 0.3 s (line 12)
            latency objective 0.3 s (line 13)
            integration timeout 1 s (line 14)
          all else: as configured
            attempts 5 (configuration)
            second copies yes (configuration)
            latency objective 0.4 s (configuration)
            integration timeout 1.5 s (configuration)
    "#]]
    .assert_eq(&shown_limits("look"));
}

#[test]
fn limits_by_a_pattern_of_operations_are_shown_with_their_sources() {
    expect![[r#"
        find, idempotent
          small, all customers: class 'look-ups' (route on line 30)
            attempts 3 (line 11)
            second copies yes (configuration)
            per try 0.3 s (line 12)
            latency objective 0.3 s (line 13)
            integration timeout 1 s (line 14)
          all else: as configured
            attempts 5 (configuration)
            second copies yes (configuration)
            latency objective 0.4 s (configuration)
            integration timeout 1.5 s (configuration)
    "#]]
    .assert_eq(&shown_limits("find"));
}

#[test]
fn limits_of_a_keyed_operation_are_shown_with_their_group() {
    expect![[r#"
        hold, tokened, in group 'cell' for 1.5 s
          all plans, all customers: class 'held' (route on line 35)
            attempts 5 (configuration)
            second copies no (configuration)
            latency objective 0.6 s (configuration)
            integration timeout 2 s (configuration)
            repeats within 1 s (line 22)
          all else: as configured
            attempts 5 (configuration)
            second copies no (configuration)
            latency objective 0.6 s (configuration)
            integration timeout 2 s (configuration)
    "#]]
    .assert_eq(&shown_limits("hold"));
}

#[test]
fn an_operation_without_a_route_is_shown_as_configured() {
    expect![[r#"
        note, tokened, in group 'all' for 1.5 s
          all else: as configured
            attempts 5 (configuration)
            second copies no (configuration)
            latency objective 0.6 s (configuration)
            integration timeout 2 s (configuration)
    "#]]
    .assert_eq(&shown_limits("note"));
}

#[test]
fn a_non_idempotent_operation_is_shown_without_second_copies() {
    expect![[r#"
        order, non-idempotent
          all plans, all customers: class 'one try' (route on line 39)
            attempts 1 (line 18)
            second copies no (configuration)
            latency objective 1 s (configuration)
            integration timeout 3 s (configuration)
          all else: as configured
            attempts 5 (configuration)
            second copies no (configuration)
            latency objective 1 s (configuration)
            integration timeout 3 s (configuration)
    "#]]
    .assert_eq(&shown_limits("order"));
}

#[test]
fn without_a_platform_only_the_sections_are_shown() {
    let operator = read_file(GOOD).expect("right");
    expect![[r#"
        admission: off
        log: Json, levels warn, quillramp_gateway::memory debug
        membership on the counter: off
        callers: need not be known
        broker: off
        limits: 3 classes, 4 routes; name a configuration to see what holds
    "#]]
    .assert_eq(&show(&operator, None));
}

/// Names are not looked up without a platform; contradictions within the file are reported.
#[test]
fn without_a_platform_only_the_file_itself_is_checked() {
    assert!(read(
        "[[class]]\nname = \"c\"\nattempts = 3\n[[route]]\noperations = [\"any\"]\nclass = \"c\"\n",
        None
    )
    .is_ok());
    let diagnostics =
        read("[[class]]\nname = \"c\"\nattempts = 1\nper_try = 1.0\n", None).expect_err("wrong");
    assert_eq!(
        (diagnostics.len(), diagnostics[0].line, diagnostics[0].key.as_str()),
        (1, 4, "class[0].per_try")
    );
}

#[test]
fn files_up_to_the_size_limit_are_accepted() {
    let mut text = String::from("[[class]]\nname = \"c\"\nattempts = 1\n");
    for i in 0..1000 {
        let _ =
            write!(text, "[[route]]\noperations = [\"look\"]\ncustomers = [\"{i:016x}\"]\nclass = \"c\"\n");
    }
    let operator = read_file(&text).expect("right");
    let table = Table::new(&operator.routes, &platform());
    assert!((0..1000).all(|i| table.lookup(0, 1, i).is_some()) && table.lookup(0, 1, 1000).is_none());
    let filled = text.clone() + &"#".repeat(MAX_FILE_BYTES - text.len());
    assert!(read_file(&filled).is_ok());
    assert_eq!(
        read_file(&(filled + "#")),
        Err(format!("line 1: the file has {} bytes, {MAX_FILE_BYTES} at the most\n", MAX_FILE_BYTES + 1))
    );
}

fn class_section() -> impl Strategy<Value = String> {
    let time = || proptest::option::of(prop_oneof![0.01f64..0.6, 0.01f64..4.0]);
    let group = proptest::option::of(prop_oneof![Just("all"), Just("zone"), Just("cell")]);
    (
        proptest::option::of(1usize..8),
        proptest::option::of(any::<bool>()),
        time(),
        time(),
        time(),
        time(),
        group,
    )
        .prop_map(|(attempts, copies, per_try, objective, timeout, within, group)| {
            let mut text = String::new();
            let mut line = |name: &str, value: Option<String>| {
                if let Some(value) = value {
                    let _ = writeln!(text, "{name} = {value}");
                }
            };
            line("attempts", attempts.map(|a| a.to_string()));
            line("second_copies", copies.map(|c| c.to_string()));
            line("per_try", per_try.map(|t| format!("{t:.3}")));
            line("objective", objective.map(|t| format!("{t:.3}")));
            line("timeout", timeout.map(|t| format!("{t:.3}")));
            line("repeat_within", within.map(|t| format!("{t:.3}")));
            line("repeat_group", group.map(|g| format!("\"{g}\"")));
            text
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary classes and routes: accepted files declare no retry of a non-idempotent operation, none past a key's window or
    /// the client's timeout, and no limit wider than the configuration.
    #[test]
    fn accepted_files_never_widen_a_limit(
        classes in proptest::collection::vec(class_section(), 1..4),
        routes in proptest::collection::vec((0usize..5, 0usize..4, any::<bool>()), 0..5),
    ) {
        let platform = platform();
        let mut text = String::new();
        for (i, class) in classes.iter().enumerate() {
            let _ = write!(text, "[[class]]\nname = \"c{i}\"\n{class}\n");
        }
        for (operation, class, matches_all) in &routes {
            let wanted = if *matches_all { String::new() } else { format!("operations = [\"{}\"]\n", platform.operations[*operation].name) };
            let _ = write!(text, "[[route]]\n{wanted}class = \"c{}\"\n", class % classes.len());
        }
        let Ok(operator) = read(&text, Some(&platform)) else { return Ok(()) };
        let table = Table::new(&operator.routes, &platform);
        for (index, operation) in platform.operations.iter().enumerate() {
            let Some(limits) = table.lookup(index, 0, 1) else { continue };
            let declared = limits.request_limits;
            let timeout = limits.timeout.min(operation.timeout);
            prop_assert!(limits.timeout.is_infinite() || limits.timeout <= operation.timeout);
            prop_assert!(declared.latency_objective.is_infinite() || declared.latency_objective <= operation.latency_objective && declared.latency_objective <= timeout);
            prop_assert!(declared.max_attempts == usize::MAX || declared.max_attempts <= platform.max_attempts);
            if declared.attempt_timeout.is_finite() {
                prop_assert_eq!(operation.idempotency, Idempotency::Idempotent);
                prop_assert!(declared.attempt_timeout < timeout || declared.max_attempts.min(platform.max_attempts) == 1);
                prop_assert!(declared.max_attempts == usize::MAX || declared.attempt_timeout * declared.max_attempts as f64 <= timeout);
            }
            match operation.idempotency {
                Idempotency::NonIdempotent => {
                    prop_assert!(declared.max_attempts == 1 || declared.max_attempts == usize::MAX, "{} attempts declared", declared.max_attempts);
                    prop_assert!(declared.retry_window.is_infinite());
                }
                Idempotency::Keyed { window, .. } => {
                    prop_assert!(declared.retry_window.is_infinite() || declared.retry_window <= window);
                }
                Idempotency::Idempotent => {}
            }
        }
    }
}
