//! Files that are right, and files that are wrong and say why.
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
                effect,
                objective,
                timeout,
            })
            .into(),
        plans: vec!["small".into(), "large".into()],
        attempts: 5,
        second_copies: true,
        sockets: 1024,
    }
}

/// All that is said of it, a line each.
fn said(text: &str) -> Result<OperatorSettings, String> {
    let lines = |all: Vec<Diagnostic>| all.iter().map(|d| format!("{d}\n")).collect();
    read(text, Some(&platform())).map_err(lines)
}

fn wrong(text: &str, expected: Expect) {
    expected.assert_eq(&said(text).expect_err("it is wrong"));
}

#[test]
fn nothing_is_switched_on_by_an_empty_file() {
    assert_eq!(said(""), Ok(OperatorSettings::default()));
    assert_eq!(said("# nothing yet\n"), Ok(OperatorSettings::default()));
    assert_eq!(Table::new(&OperatorSettings::default().routes, &platform()).lookup(0, 0, 7), None);
}

#[test]
fn what_is_left_out_has_a_plain_value() {
    let limits = said("[admission]\nconnections = 400\nknown = [\"10.2.0.0/16\"]\n");
    let limits = limits.expect("right").admission.expect("switched on");
    assert_eq!(
        (limits.reserve, limits.per_address, limits.strangers, limits.unfinished),
        (0, 400, 100, 1600)
    );
    assert_eq!((limits.rate, limits.burst, limits.first_word, limits.known_for), (50.0, 100.0, 2.0, 600.0));
    assert!(limits.known[0].holds("10.2.3.4".parse().expect("an address")));
}

#[test]
fn the_example_under_deploy_is_right() {
    let text = include_str!("../../deploy/operator.example.toml");
    let operator = read(text, None).expect("right");
    assert!(operator.admission.is_some() && operator.log.is_some() && !operator.routes.routes.is_empty());
}

#[test]
fn all_that_is_wrong_is_said_at_once() {
    wrong(
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

/// Guards: without a configuration the number of connections has no bound, and four times as many overflowed.
#[test]
fn an_admission_section_without_connections_says_so() {
    let all = read("[admission]\n", None).expect_err("it is wrong");
    let texts: Vec<String> = all.iter().map(Diagnostic::to_string).collect();
    assert_eq!(texts, ["line 1: admission.connections: is missing"]);
}

/// Each file of the folder has one thing wrong with it, or more, and says so; all of it at once.
#[test]
fn wrong_files_say_why() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/wrong");
    let files = std::fs::read_dir(&folder).expect("there").map(|f| f.expect("readable").path());
    let mut files: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "toml")).collect();
    files.sort();
    assert!(files.len() >= 40, "{}", files.len());
    let mut text = String::new();
    for path in files {
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let why = said(&std::fs::read_to_string(&path).expect("readable")).err();
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
fn the_first_route_that_fits_holds() {
    let operator = said(GOOD).expect("right");
    let log = operator.log.clone().expect("there");
    assert_eq!(log.format, Format::Json);
    let memory = LevelRule { prefix: "quillramp_gateway::memory".into(), level: Level::Debug };
    assert_eq!(log.levels[1], memory);
    let table = Table::new(&operator.routes, &platform());
    let attempts = |o, p, c| table.lookup(o, p, c).map(|h| h.declared.max_attempts);
    assert_eq!(attempts(0, 0, 0xb4d65521), Some(1), "named");
    assert_eq!(attempts(0, 1, 0xb4d65521), Some(1), "under any plan");
    assert_eq!(attempts(0, 0, 1), Some(3));
    assert_eq!(attempts(0, 1, 1), None, "another plan");
    assert_eq!(attempts(4, 1, 1), Some(1), "by a star");
    let held = table.lookup(2, 0, 1).expect("routed");
    assert_eq!(held.declared, RequestLimits { retry_window: 1.0, ..RequestLimits::default() });
    assert_eq!(held.timeout, f64::INFINITY);
    assert_eq!(table.lookup(1, 0, 1).expect("routed").timeout, 1.0);
}

#[test]
fn what_holds_is_shown_with_where_it_came_from() {
    let operator = said(GOOD).expect("right");
    expect![[r#"
        admission: off
        log: Json, levels warn, quillramp_gateway::memory debug
        roster on the counter: off
        callers: need not be known
        broker: off

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

        note, tokened, in group 'all' for 1.5 s
          all else: as configured
            attempts 5 (configuration)
            second copies no (configuration)
            latency objective 0.6 s (configuration)
            integration timeout 2 s (configuration)

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
    .assert_eq(&show(&operator, Some(&platform())));
    expect![[r#"
        admission: off
        log: Json, levels warn, quillramp_gateway::memory debug
        roster on the counter: off
        callers: need not be known
        broker: off
        limits: 3 classes, 4 routes; name a configuration to see what holds
    "#]]
    .assert_eq(&show(&operator, None));
}

/// Without a configuration what a file says by itself is checked, and no name is looked up.
#[test]
fn a_file_is_checked_alone_as_far_as_that_goes() {
    assert!(read(
        "[[class]]\nname = \"c\"\nattempts = 3\n[[route]]\noperations = [\"any\"]\nclass = \"c\"\n",
        None
    )
    .is_ok());
    let faults = read("[[class]]\nname = \"c\"\nattempts = 1\nper_try = 1.0\n", None).expect_err("wrong");
    assert_eq!((faults.len(), faults[0].line, faults[0].key.as_str()), (1, 4, "class[0].per_try"));
}

#[test]
fn a_file_may_be_large_and_not_larger() {
    let mut text = String::from("[[class]]\nname = \"c\"\nattempts = 1\n");
    for i in 0..1000 {
        let _ =
            write!(text, "[[route]]\noperations = [\"look\"]\ncustomers = [\"{i:016x}\"]\nclass = \"c\"\n");
    }
    let operator = said(&text).expect("right");
    let table = Table::new(&operator.routes, &platform());
    assert!((0..1000).all(|i| table.lookup(0, 1, i).is_some()) && table.lookup(0, 1, 1000).is_none());
    let filled = text.clone() + &"#".repeat(MAX_FILE_BYTES - text.len());
    assert!(said(&filled).is_ok());
    assert_eq!(
        said(&(filled + "#")),
        Err(format!("line 1: the file has {} bytes, {MAX_FILE_BYTES} at the most\n", MAX_FILE_BYTES + 1))
    );
}

fn a_class() -> impl Strategy<Value = String> {
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

    /// Whatever classes and routes there are: what is accepted declares no repeat of what is non-idempotent, nothing past a token's
    /// window or the client's time, and nothing wider than the configuration.
    #[test]
    fn what_is_accepted_widens_nothing(
        classes in proptest::collection::vec(a_class(), 1..4),
        routes in proptest::collection::vec((0usize..5, 0usize..4, any::<bool>()), 0..5),
    ) {
        let p = platform();
        let mut text = String::new();
        for (i, class) in classes.iter().enumerate() {
            let _ = write!(text, "[[class]]\nname = \"c{i}\"\n{class}\n");
        }
        for (o, c, all) in &routes {
            let wanted = if *all { String::new() } else { format!("operations = [\"{}\"]\n", p.operations[*o].name) };
            let _ = write!(text, "[[route]]\n{wanted}class = \"c{}\"\n", c % classes.len());
        }
        let Ok(operator) = read(&text, Some(&p)) else { return Ok(()) };
        let table = Table::new(&operator.routes, &p);
        for (i, o) in p.operations.iter().enumerate() {
            let Some(held) = table.lookup(i, 0, 1) else { continue };
            let d = held.declared;
            let timeout = held.timeout.min(o.timeout);
            prop_assert!(held.timeout.is_infinite() || held.timeout <= o.timeout);
            prop_assert!(d.latency_objective.is_infinite() || d.latency_objective <= o.objective && d.latency_objective <= timeout);
            prop_assert!(d.max_attempts == usize::MAX || d.max_attempts <= p.attempts);
            if d.attempt_timeout.is_finite() {
                prop_assert_eq!(o.effect, Idempotency::Idempotent);
                prop_assert!(d.attempt_timeout < timeout || d.max_attempts.min(p.attempts) == 1);
                prop_assert!(d.max_attempts == usize::MAX || d.attempt_timeout * d.max_attempts as f64 <= timeout);
            }
            match o.effect {
                Idempotency::NonIdempotent => {
                    prop_assert!(d.max_attempts == 1 || d.max_attempts == usize::MAX, "{} attempts declared", d.max_attempts);
                    prop_assert!(d.retry_window.is_infinite());
                }
                Idempotency::Keyed { window, .. } => {
                    prop_assert!(d.retry_window.is_infinite() || d.retry_window <= window);
                }
                Idempotency::Idempotent => {}
            }
        }
    }
}
