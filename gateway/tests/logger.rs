//! Formats of a log line.
use quillramp_gateway::process::logger::{LogLine, FORMATS};

/// Guards against a format that changes the text of a line, or does not escape a character that ends a field.
#[test]
fn a_line_is_written_in_each_format() {
    let fields = vec![("connection", "backend".into()), ("id", 3u64.into()), ("why", "closed".into())];
    let line = LogLine {
        unix_seconds: 1764.12345,
        level: "INFO",
        dropped_lines: 2,
        text: "connection backend 3 s-\"a ended: closed".into(),
        fields,
    };
    let lines = FORMATS.map(|format| {
        let mut text = String::new();
        line.write(&mut text, format).expect("a string can be written to");
        text
    });
    expect_test::expect![[r#"
        1764.123 INFO (2 lines lost) connection backend 3 s-"a ended: closed
        at=1764.123 level=info text="connection backend 3 s-\"a ended: closed" connection="backend" id=3 why="closed" lost=2
        {"at":1764.123,"connection":"backend","id":3,"level":"info","lost":2,"text":"connection backend 3 s-\"a ended: closed","why":"closed"}
    "#]]
    .assert_eq(&lines.concat());
}
