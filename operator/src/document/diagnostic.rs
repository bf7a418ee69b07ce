//! Diagnostics of an operator's file.

/// An error in an operator's file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {}{message}", key_prefix(.key))]
pub struct Diagnostic {
    /// The line, counted from 1.
    pub line: usize,
    /// Path of the key, such as `class[2].attempts`; empty if the file as a whole can't be read.
    pub key: String,
    /// What was expected and what was found.
    pub message: String,
}

fn key_prefix(key: &str) -> String {
    if key.is_empty() {
        String::new()
    } else {
        format!("{key}: ")
    }
}
