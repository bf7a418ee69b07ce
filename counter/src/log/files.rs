//! Names of the files of a log: a prefix for the kind, and the index at which the file begins.

/// Entries and hard states from an index on.
pub(super) const LOG: &str = "log-";
/// The state after the entry with an index.
pub(super) const SNAPSHOT: &str = "snapshot-";
/// A file that is still being written.
pub(super) const UNFINISHED: &str = "new-";

/// A file whose name carries the index at which it begins.
pub(super) struct IndexedFile {
    /// The index in the name.
    pub index: u64,
    /// The complete file name.
    pub name: String,
}

/// The name of the file of a kind that begins at an index.
pub(super) fn name(kind: &str, index: u64) -> String {
    format!("{kind}{index:020}")
}

/// Files of a kind by ascending index.
pub(super) fn of_kind(names: &[String], kind: &str) -> Vec<IndexedFile> {
    let indexed = |name: &String| {
        let index = name.strip_prefix(kind)?.parse().ok()?;
        Some(IndexedFile { index, name: name.clone() })
    };
    let mut files: Vec<IndexedFile> = names.iter().filter_map(indexed).collect();
    files.sort_by(|a, b| (a.index, &a.name).cmp(&(b.index, &b.name)));
    files
}
