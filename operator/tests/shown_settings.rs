//! The text of the `show` command: the sections of a file, then the limits of each operation with their sources.
use expect_test::expect;
use quillramp_operator::show;

mod common;
use common::{platform, read_file, VALID_FILE};

/// The shown text of the valid file on the platform.
fn shown_settings() -> String {
    let operator = read_file(VALID_FILE).expect("a valid file");
    show(&operator, Some(&platform()))
}

/// The part of the shown text for an operation.
fn shown_limits(operation: &str) -> String {
    let text = shown_settings();
    let heading = format!("{operation},");
    let parts: Vec<&str> = text.split("\n\n").filter(|part| part.starts_with(&heading)).collect();
    assert_eq!(parts.len(), 1, "{operation} is shown once in {text}");
    // Only the last part still has its line end, because an empty line separates the others.
    format!("{}\n", parts[0].strip_suffix('\n').unwrap_or(parts[0]))
}

#[test]
fn the_shown_text_has_the_sections_and_then_each_operation() {
    let text = shown_settings();
    let (sections, operations) = text.split_once("\n\n").expect("operations follow");
    expect![[r#"
        admission: off
        log: Json; levels: warn, quillramp_gateway::memory debug
        membership on the counter: off
        callers: no authentication
        broker: off"#]]
    .assert_eq(sections);
    assert!(operations.ends_with('\n'), "{operations}");
    assert!(!operations.ends_with("\n\n"), "{operations}");
    let parts = operations.split("\n\n");
    let names: Vec<&str> = parts.map(|part| part.split(',').next().expect("a name")).collect();
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
          all other requests: as in the configuration
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
          all other requests: as in the configuration
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
        hold, keyed, in group 'cell' for 1.5 s
          all plans, all customers: class 'held' (route on line 35)
            attempts 5 (configuration)
            second copies no (configuration)
            latency objective 0.6 s (configuration)
            integration timeout 2 s (configuration)
            repeats within 1 s (line 22)
          all other requests: as in the configuration
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
        note, keyed, in group 'all' for 1.5 s
          all other requests: as in the configuration
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
          all other requests: as in the configuration
            attempts 5 (configuration)
            second copies no (configuration)
            latency objective 1 s (configuration)
            integration timeout 3 s (configuration)
    "#]]
    .assert_eq(&shown_limits("order"));
}

#[test]
fn without_a_platform_only_the_sections_are_shown() {
    let operator = read_file(VALID_FILE).expect("a valid file");
    expect![[r#"
        admission: off
        log: Json; levels: warn, quillramp_gateway::memory debug
        membership on the counter: off
        callers: no authentication
        broker: off
        limits: 3 classes, 4 routes; add --configuration to show the limits of each operation
    "#]]
    .assert_eq(&show(&operator, None));
}
