//! The formats of the log.
use quillramp_gateway::process::logger::{LogLine, FORMATS};

/// Guards: the text of a line is the same in every form, and nothing in it breaks one.
#[test]
fn a_line_in_each_form() {
    let fields = vec![("connection", "backend".into()), ("id", 3u64.into()), ("why", "closed".into())];
    let line = LogLine {
        at: 1764.12345,
        level: "INFO",
        lost: 2,
        text: "connection backend 3 s-\"a ended: closed".into(),
        fields,
    };
    let all = FORMATS.map(|format| {
        let mut text = String::new();
        line.write(&mut text, format).expect("a text takes it");
        text
    });
    expect_test::expect![[r#"
        1764.123 INFO (2 lines lost) connection backend 3 s-"a ended: closed
        at=1764.123 level=info text="connection backend 3 s-\"a ended: closed" connection="backend" id=3 why="closed" lost=2
        {"at":1764.123,"connection":"backend","id":3,"level":"info","lost":2,"text":"connection backend 3 s-\"a ended: closed","why":"closed"}
    "#]]
    .assert_eq(&all.concat());
}
