//! The operator's file: the settings of valid files, the diagnostics of invalid ones, and the limits that its routes declare.
use expect_test::{expect, expect_file, Expect};
use proptest::prelude::*;
use quillramp::types::{Idempotency, RequestLimits};
use quillramp_operator::log::{Format, Level, LevelRule};
use quillramp_operator::routes::{EffectiveLimits, Operation, Platform, Table};
use quillramp_operator::{read, Diagnostic, OperatorSettings, MAX_FILE_BYTES};
use std::fmt::Write;
use std::path::{Path, PathBuf};

mod common;
use common::{platform, read_file, VALID_FILE};

/// Indexes of the platform's operations.
const LOOK: usize = 0;
const FIND: usize = 1;
const HOLD: usize = 2;
const ORDER: usize = 4;
/// Indexes of the platform's plans.
const SMALL: usize = 0;
const LARGE: usize = 1;
/// The customer that a route of the valid file names.
const NAMED_CUSTOMER: u64 = 0xb4d65521;
/// A customer that no route names.
const OTHER_CUSTOMER: u64 = 1;

fn assert_diagnostics(text: &str, expected: Expect) {
    expected.assert_eq(&read_file(text).expect_err("an invalid file"));
}

#[test]
fn an_empty_file_has_default_settings() {
    assert_eq!(read_file(""), Ok(OperatorSettings::default()));
    assert_eq!(read_file("# nothing yet\n"), Ok(OperatorSettings::default()));
    let table = Table::new(&OperatorSettings::default().routes, &platform());
    assert_eq!(table.lookup(LOOK, SMALL, OTHER_CUSTOMER), None);
}

#[test]
fn missing_admission_keys_have_defaults() {
    let operator = read_file("[admission]\nconnections = 400\nknown = [\"10.2.0.0/16\"]\n");
    let limits = operator.expect("a valid file").admission.expect("admission is on");
    assert_eq!(limits.reserve, 0);
    assert_eq!(limits.per_address, 400);
    assert_eq!(limits.unidentified, 100);
    assert_eq!(limits.pending_commands, 1600);
    assert_eq!(limits.rate, 50.0);
    assert_eq!(limits.burst, 100.0);
    assert_eq!(limits.first_command_timeout, 2.0);
    assert_eq!(limits.known_for, 600.0);
    assert!(limits.known_networks[0].contains("10.2.3.4".parse().expect("an address")));
}

#[test]
fn the_example_under_deploy_is_valid() {
    let text = include_str!("../../deploy/operator.example.toml");
    let operator = read(text, None).expect("a valid file");
    assert!(operator.admission.is_some());
    assert!(operator.log.is_some());
    assert!(!operator.routes.routes.is_empty());
}

#[test]
fn all_errors_of_a_file_are_reported_together() {
    assert_diagnostics(
        "[admission]\nconnections = 1000\nreserve = 1000\nper_address = 2000\nstrangers = 0\nnew_per_second = -1.0\n\
         burst = 0.5\nfirst_word = 0.0\nknown_for = 0.0\nknown = [\"10.2.0.1/16\", \"ten\"]\nspeed = 3\n",
        expect![[r#"
            line 2: admission.connections: expected 1 to 960 (1024 file descriptors minus 64 for other uses), found 1000
            line 3: admission.reserve: expected less than 1000, the value of 'connections', found 1000
            line 3: admission.reserve: expected networks in 'known' or 'known_for' above 0 for a reserve, found neither
            line 4: admission.per_address: expected 1 to 1000, found 2000
            line 5: admission.strangers: expected 1 to 1000, found 0
            line 6: admission.new_per_second: expected 0.001 or more, found -1
            line 7: admission.burst: expected 1 or more, found 0.5
            line 8: admission.first_word: expected 0.05 or more, found 0
            line 10: admission.known: expected zeros after the first 16 bits, found '10.2.0.1/16'
            line 10: admission.known: expected an IP address or a network such as 10.2.0.0/16, found 'ten'
            line 11: admission.speed: unknown key; expected one of 'burst', 'connections', 'first_word', 'known', 'known_for', 'new_per_second', 'per_address', 'reserve', 'strangers', 'unfinished'
        "#]],
    );
}

/// Guards against an overflow: without a configuration the number of connections is unbounded, and the default of `unfinished` is
/// four times as many.
#[test]
fn a_missing_connections_key_is_reported() {
    let diagnostics = read("[admission]\n", None).expect_err("an invalid file");
    let texts: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    assert_eq!(texts, ["line 1: admission.connections: is missing"]);
}

/// The files in `tests/wrong`, in the order of their names.
fn invalid_files() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/wrong");
    let entries = std::fs::read_dir(&directory).expect("the directory of invalid files");
    let paths = entries.map(|entry| entry.expect("a readable directory").path());
    let is_toml = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "toml");
    let mut files: Vec<PathBuf> = paths.filter(is_toml).collect();
    files.sort();
    files
}

/// Each file has one or more errors, all of which are reported.
#[test]
fn invalid_files_are_reported_with_reasons() {
    let files = invalid_files();
    assert!(files.len() >= 40, "{}", files.len());
    let mut report = String::new();
    for file in files {
        let name = file.file_stem().expect("a name").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&file).expect("a readable file");
        let Err(diagnostics) = read_file(&text) else { panic!("{name} is accepted") };
        let _ = writeln!(report, "{name}\n{diagnostics}"); // writing to a string can't fail
    }
    expect_file!["wrong/expected.txt"].assert_eq(&report);
}

#[test]
fn the_log_section_sets_the_format_and_the_levels_by_prefix() {
    let operator = read_file(VALID_FILE).expect("a valid file");
    let log = operator.log.expect("a log section");
    assert_eq!(log.format, Format::Json);
    let memory = LevelRule { prefix: "quillramp_gateway::memory".into(), level: Level::Debug };
    assert_eq!(log.levels[1], memory);
}

#[test]
fn the_first_matching_route_applies() {
    let operator = read_file(VALID_FILE).expect("a valid file");
    let table = Table::new(&operator.routes, &platform());
    let max_attempts = |operation, plan, customer| {
        table.lookup(operation, plan, customer).map(|limits| limits.request_limits.max_attempts)
    };
    assert_eq!(max_attempts(LOOK, SMALL, NAMED_CUSTOMER), Some(1));
    assert_eq!(max_attempts(LOOK, LARGE, NAMED_CUSTOMER), Some(1), "under any plan");
    assert_eq!(max_attempts(LOOK, SMALL, OTHER_CUSTOMER), Some(3));
    assert_eq!(max_attempts(LOOK, LARGE, OTHER_CUSTOMER), None, "no route has this plan");
    assert_eq!(max_attempts(ORDER, LARGE, OTHER_CUSTOMER), Some(1), "by the pattern 'ord*'");
}

#[test]
fn a_route_applies_the_limits_of_its_class() {
    let operator = read_file(VALID_FILE).expect("a valid file");
    let table = Table::new(&operator.routes, &platform());
    let limits = table.lookup(HOLD, SMALL, OTHER_CUSTOMER).expect("a route");
    assert_eq!(limits.request_limits, RequestLimits { retry_window: 1.0, ..RequestLimits::default() });
    assert_eq!(limits.timeout, f64::INFINITY);
    assert_eq!(table.lookup(FIND, SMALL, OTHER_CUSTOMER).expect("a route").timeout, 1.0);
}

/// Names are not looked up without a platform; contradictions within the file are reported.
#[test]
fn without_a_platform_only_the_file_itself_is_checked() {
    let unknown_operation =
        "[[class]]\nname = \"c\"\nattempts = 3\n[[route]]\noperations = [\"any\"]\nclass = \"c\"\n";
    assert!(read(unknown_operation, None).is_ok());
    let contradiction = "[[class]]\nname = \"c\"\nattempts = 1\nper_try = 1.0\n";
    let diagnostics = read(contradiction, None).expect_err("an invalid file");
    assert_eq!(diagnostics.len(), 1);
    assert_eq!(diagnostics[0].line, 4);
    assert_eq!(diagnostics[0].key, "class[0].per_try");
}

#[test]
fn routes_for_a_thousand_customers_are_accepted() {
    const CUSTOMERS: u64 = 1000;
    let operator = read_file(&file_with_customers(CUSTOMERS)).expect("a valid file");
    let table = Table::new(&operator.routes, &platform());
    for customer in 0..CUSTOMERS {
        assert!(table.lookup(LOOK, LARGE, customer).is_some(), "customer {customer}");
    }
    assert!(table.lookup(LOOK, LARGE, CUSTOMERS).is_none());
}

/// A file with this number of customers, each with a route.
fn file_with_customers(customers: u64) -> String {
    let mut text = String::from("[[class]]\nname = \"c\"\nattempts = 1\n");
    for customer in 0..customers {
        text += "[[route]]\noperations = [\"look\"]\n";
        text += &format!("customers = [\"{customer:016x}\"]\nclass = \"c\"\n");
    }
    text
}

#[test]
fn files_up_to_the_size_limit_are_accepted() {
    let mut text = file_with_customers(1000);
    text += &"#".repeat(MAX_FILE_BYTES - text.len());
    assert!(read_file(&text).is_ok());
    text += "#";
    let error = format!("line 1: expected at most {MAX_FILE_BYTES} bytes, found {}\n", MAX_FILE_BYTES + 1);
    assert_eq!(read_file(&text), Err(error));
}

/// The line of a class with this key, if it has one.
fn optional_line(key: &'static str, value: impl Strategy<Value = String> + 'static) -> BoxedStrategy<String> {
    let line = move |value: Option<String>| value.map_or(String::new(), |value| format!("{key} = {value}\n"));
    proptest::option::of(value).prop_map(line).boxed()
}

fn seconds() -> impl Strategy<Value = String> {
    prop_oneof![0.01f64..0.6, 0.01f64..4.0].prop_map(|seconds| format!("{seconds:.3}"))
}

fn backend_group() -> impl Strategy<Value = String> {
    prop_oneof![Just("all"), Just("zone"), Just("cell")].prop_map(|group| format!("\"{group}\""))
}

/// The lines of a class below its name.
fn class_lines() -> impl Strategy<Value = String> {
    let lines = vec![
        optional_line("attempts", (1usize..8).prop_map(|attempts| attempts.to_string())),
        optional_line("second_copies", any::<bool>().prop_map(|allowed| allowed.to_string())),
        optional_line("per_try", seconds()),
        optional_line("objective", seconds()),
        optional_line("timeout", seconds()),
        optional_line("repeat_within", seconds()),
        optional_line("repeat_group", backend_group()),
    ];
    lines.prop_map(|lines| lines.concat())
}

/// A route of a generated file.
#[derive(Clone, Debug)]
struct RouteChoice {
    /// The index of its operation; `None` if it is for all operations.
    operation: Option<usize>,
    /// The index of its class, modulo the number of classes.
    class: usize,
}

fn route_choice() -> impl Strategy<Value = RouteChoice> {
    let operation = prop_oneof![Just(None), (0usize..5).prop_map(Some)];
    (operation, 0usize..4).prop_map(|(operation, class)| RouteChoice { operation, class })
}

/// The file with these classes and routes.
fn generated_file(classes: &[String], routes: &[RouteChoice], platform: &Platform) -> String {
    let mut text = String::new();
    for (index, lines) in classes.iter().enumerate() {
        text += &format!("[[class]]\nname = \"c{index}\"\n{lines}\n");
    }
    for RouteChoice { operation, class } in routes {
        text += "[[route]]\n";
        if let Some(operation) = operation {
            text += &format!("operations = [\"{}\"]\n", platform.operations[*operation].name);
        }
        text += &format!("class = \"c{}\"\n", class % classes.len());
    }
    text
}

/// Returns whether a declared limit is open (infinite) or does not exceed this limit.
fn is_open_or_at_most(declared: f64, limit: f64) -> bool {
    declared.is_infinite() || declared <= limit
}

/// Checks that declared limits are no wider than the configuration's for this operation.
fn check_limits(
    limits: &EffectiveLimits,
    operation: &Operation,
    platform: &Platform,
) -> Result<(), TestCaseError> {
    let declared = limits.request_limits;
    let has_open_attempts = declared.max_attempts == usize::MAX;
    let timeout = limits.timeout.min(operation.timeout);
    prop_assert!(is_open_or_at_most(limits.timeout, operation.timeout));
    prop_assert!(is_open_or_at_most(declared.latency_objective, operation.latency_objective));
    prop_assert!(is_open_or_at_most(declared.latency_objective, timeout));
    prop_assert!(has_open_attempts || declared.max_attempts <= platform.max_attempts);
    if declared.attempt_timeout.is_finite() {
        let max_attempts = declared.max_attempts.min(platform.max_attempts);
        prop_assert_eq!(operation.idempotency, Idempotency::Idempotent);
        prop_assert!(declared.attempt_timeout < timeout || max_attempts == 1);
        let longest = declared.attempt_timeout * declared.max_attempts as f64;
        prop_assert!(has_open_attempts || longest <= timeout);
    }
    match operation.idempotency {
        Idempotency::NonIdempotent => {
            prop_assert!(
                has_open_attempts || declared.max_attempts == 1,
                "{} attempts declared",
                declared.max_attempts
            );
            prop_assert!(declared.retry_window.is_infinite());
        }
        Idempotency::Keyed { window, .. } => {
            prop_assert!(is_open_or_at_most(declared.retry_window, window));
        }
        Idempotency::Idempotent => {}
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary classes and routes: accepted files declare no retry of a non-idempotent operation, none past a key's window or
    /// the client's timeout, and no limit wider than the configuration.
    #[test]
    fn accepted_files_never_widen_a_limit(
        classes in proptest::collection::vec(class_lines(), 1..4),
        routes in proptest::collection::vec(route_choice(), 0..5),
    ) {
        let platform = platform();
        let text = generated_file(&classes, &routes, &platform);
        let Ok(operator) = read(&text, Some(&platform)) else { return Ok(()) };
        let table = Table::new(&operator.routes, &platform);
        for (index, operation) in platform.operations.iter().enumerate() {
            if let Some(limits) = table.lookup(index, SMALL, OTHER_CUSTOMER) {
                check_limits(&limits, operation, &platform)?;
            }
        }
    }
}
