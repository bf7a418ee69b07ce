//! Files that are right, and files that are wrong and say why.
use expect_test::{expect, Expect};
use quillramp_operator::{read, Operator};

fn wrong(text: &str, expected: Expect) {
    expected.assert_eq(&read(text, 1024).expect_err("it is wrong").join("\n"));
}

#[test]
fn nothing_is_switched_on_by_an_empty_file() {
    assert_eq!(read("", 1024), Ok(Operator::default()));
    assert_eq!(read("# nothing yet\n", 1024), Ok(Operator::default()));
}

#[test]
fn what_is_left_out_has_a_plain_value() {
    let limits = read("[admission]\nconnections = 400\nknown = [\"10.2.0.0/16\"]\n", 1024);
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
    assert!(read(text, 1024).expect("right").admission.is_some());
}

#[test]
fn all_that_is_wrong_is_said_at_once() {
    wrong(
        "[admission]\nconnections = 1000\nreserve = 1000\nper_address = 2000\nstrangers = 0\nnew_per_second = -1.0\n\
         burst = 0.5\nfirst_word = 0.0\nknown_for = 0.0\nknown = [\"10.2.0.1/16\", \"ten\"]\n",
        expect![[r#"
            admission.connections: expected 1 to 960, as 1024 descriptors are allowed and 64 serve else
            admission.reserve: leaves no connection to others than the known
            admission.per_address: expected 1 to 1000, found 2000
            admission.strangers: expected 1 to 2000, found 0
            admission.new_per_second: expected 0.001 or more, found -1
            admission.burst: expected 1 or more, found 0.5
            admission.first_word: expected 0.05 or more, found 0
            admission.known[0]: '10.2.0.1/16': bits are set behind the first 16
            admission.known[1]: 'ten': expected an address, or one and its bits: 10.2.0.0/16
            admission.reserve: nobody can be known: name networks in known, or let known_for be more than 0"#]],
    );
}

#[test]
fn what_cannot_be_read_says_where() {
    wrong("[admission]\nconnections = 4\nspeed = 3\n", expect!["line 3: unknown field `speed`, expected one of `connections`, `reserve`, `per_address`, `strangers`, `new_per_second`, `burst`, `unfinished`, `first_word`, `known_for`, `known`"]);
    wrong(
        "[admission]\nconnections = \"many\"\n",
        expect![[r#"line 2: invalid type: string "many", expected usize"#]],
    );
    wrong("[admission]\n", expect!["line 1: missing field `connections`"]);
    wrong("[admision]\nconnections = 4\n", expect!["line 1: unknown field `admision`, expected `admission`"]);
    wrong("[admission\n", expect!["line 1: invalid table header expected `.`, `]`"]);
}
