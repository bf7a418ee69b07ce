//! Checks that docs/on-call.md has a row for each line that the gateway can log and for each close code of a
//! connection, and no other rows.
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../docs/on-call.md");

/// Calls whose first literal is the template of a log line: macros that log, and those that write the text of
/// a typed message.
const LOG_CALLS: [&str; 7] = [
    "tracing::trace!(",
    "tracing::debug!(",
    "tracing::info!(",
    "tracing::warn!(",
    "tracing::error!(",
    "eprintln!(",
    "write!(",
];

/// Files whose `write!` calls are the text of typed log messages.
const MESSAGE_FILES: [&str; 3] =
    ["src/types/log_message.rs", "gateway/src/state/log_message.rs", "gateway/src/state/connection.rs"];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn source_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("the source directory is read") {
        let path = entry.expect("the directory entry is read").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the first string literal in a text.
fn first_literal(text: &str) -> &str {
    let (_, rest) = text.split_once('"').expect("a call with a literal");
    rest.split_once('"').expect("the end of the literal").0
}

/// Returns a template without the formats of its placeholders: `{gap:.2}` becomes `{gap}`.
fn without_formats(template: &str) -> String {
    let mut plain = String::new();
    let mut in_format = false;
    for character in template.chars() {
        in_format =
            (in_format || character == ':' && plain.rfind('{') > plain.rfind('}')) && character != '}';
        if !in_format {
            plain.push(character);
        }
    }
    plain
}

/// Returns whether a template is only a placeholder. It stands for a typed message, whose templates are found
/// in the file of that message.
fn is_only_a_placeholder(template: &str) -> bool {
    template.starts_with('{') && template.ends_with('}') && template.matches('{').count() == 1
}

/// Returns the templates of all lines that the gateway and the policy engine can log.
fn log_templates() -> BTreeSet<String> {
    let mut files = vec![];
    source_files(&repository().join("src"), &mut files);
    source_files(&repository().join("gateway/src"), &mut files);
    let mut templates = BTreeSet::new();
    for file in files {
        let source = fs::read_to_string(&file).expect("the source file is read");
        let is_message_file = MESSAGE_FILES.iter().any(|name| file.ends_with(name));
        for call in LOG_CALLS {
            if call == "write!(" && !is_message_file {
                continue;
            }
            let found = source.split(call).skip(1).map(first_literal).map(without_formats);
            templates.extend(found.filter(|template| !is_only_a_placeholder(template)));
        }
    }
    templates
}

/// Returns the codes that `CloseReason::code` can return.
fn close_codes() -> BTreeSet<String> {
    let source = fs::read_to_string(repository().join("gateway/src/state/connection.rs"))
        .expect("the source file is read");
    let (_, function) = source.split_once("fn code(").expect("the file has a function `code`");
    let (body, _) = function.split_once("\n    }\n").expect("the function ends");
    let arms = body.lines().filter(|line| line.contains("=>"));
    arms.map(|line| first_literal(line).to_owned()).collect()
}

/// Returns the rows of a section's table, each as its cells.
fn table(section: &str) -> Vec<Vec<&'static str>> {
    let (_, rest) = PAGE.split_once(&format!("\n## {section}\n")).expect("a section of this name");
    let text = rest.split("\n## ").next().expect("the section has text");
    let rows = text.lines().filter(|line| line.starts_with('|')).skip(2); // the heading and the line under it
    rows.map(|row| row.trim_matches('|').split(" | ").map(str::trim).collect()).collect()
}

#[test]
fn each_log_line_has_a_row_that_says_what_it_means_and_what_to_do() {
    let rows = table("Log lines");
    let documented: BTreeSet<String> = rows.iter().map(|row| row[0].trim_matches('`').to_owned()).collect();
    assert_eq!(documented.len(), rows.len(), "each log line has one row");
    let templates = log_templates();
    assert!(templates.len() > 40, "{templates:#?}");
    let missing: Vec<_> = templates.difference(&documented).collect();
    let stale: Vec<_> = documented.difference(&templates).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "log lines without a row: {missing:#?}\nrows without a log line: {stale:#?}"
    );
    for row in rows {
        assert!(row.len() == 3 && row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
}

#[test]
fn each_close_code_has_a_row_that_says_what_it_means_and_what_to_do() {
    let rows = table("Close codes of connections");
    let documented: BTreeSet<String> =
        rows.iter().flat_map(|row| row[0].split(", ").map(str::to_owned)).collect();
    let codes = close_codes();
    assert!(codes.len() >= 18, "{codes:?}");
    let missing: Vec<_> = codes.difference(&documented).collect();
    let stale: Vec<_> = documented.difference(&codes).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "codes without a row: {missing:?}; rows without a code: {stale:?}"
    );
    for row in rows {
        assert!(row.len() == 3 && row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
}
