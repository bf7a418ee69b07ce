//! What is wrong with a file.

/// One thing that is wrong with an operator's file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {}{message}", key_prefix(.key))]
pub struct Diagnostic {
    /// The line, counted from 1.
    pub line: usize,
    /// Where it stands in the file, as `class[2].attempts`; empty where the file as a whole can't be read.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

fn key_prefix(key: &str) -> String {
    if key.is_empty() {
        String::new()
    } else {
        format!("{key}: ")
    }
}
