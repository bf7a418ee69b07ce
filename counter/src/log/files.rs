//! Names of the files of a log: a kind, and the index that the file begins at.

/// Entries and hard states from an index on.
pub(super) const LOG: &str = "log-";
/// The state after an index.
pub(super) const SNAPSHOT: &str = "snapshot-";
/// A file that is still being written.
pub(super) const UNFINISHED: &str = "new-";

/// A file with the index in its name.
pub(super) struct IndexedFile {
    pub index: u64,
    pub name: String,
}

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
