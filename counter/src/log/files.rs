//! Names of the files of a log: a prefix for the kind, and the index of the file.

/// Prefix of a file with the entries and hard states from an index on.
pub(super) const LOG: &str = "log-";
/// Prefix of a file with the state after the entry with an index.
pub(super) const SNAPSHOT: &str = "snapshot-";
/// Prefix, before the name, of a file that is still being written.
pub(super) const UNFINISHED: &str = "new-";

/// A file with an index in its name.
pub(super) struct IndexedFile {
    /// The index in the name.
    pub index: u64,
    /// The complete file name.
    pub name: String,
}

/// Returns the name of the file of a kind with an index.
pub(super) fn name(kind: &str, index: u64) -> String {
    format!("{kind}{index:020}")
}

/// Returns the files of a kind by ascending index.
pub(super) fn of_kind(names: &[String], kind: &str) -> Vec<IndexedFile> {
    let indexed = |name: &String| {
        let index = name.strip_prefix(kind)?.parse().ok()?;
        Some(IndexedFile { index, name: name.clone() })
    };
    let mut files: Vec<IndexedFile> = names.iter().filter_map(indexed).collect();
    files.sort_by(|a, b| (a.index, &a.name).cmp(&(b.index, &b.name)));
    files
}
