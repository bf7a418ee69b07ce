//! The `verify` and `show` commands: inspect the files of a replica without changing them.
use quillramp_counter::disk::{Directory, MemoryDisk};
use quillramp_counter::log::{HardState, Log};
use quillramp_counter::totals::{Add, Totals};
use quillramp_counter::Error;
use std::fmt;
use std::path::Path;

/// The reason why a directory can't be inspected.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// The directory does not exist.
    #[error("{0}: no such directory")]
    NoDirectory(String),
    /// A file of the directory can't be read or is damaged.
    #[error("{directory}: {source}")]
    Unreadable { directory: String, source: Error },
}

/// The contents of a replica's files.
pub struct Contents {
    directory: String,
    hard_state: HardState,
    /// Index of the last entry that the snapshot includes.
    snapshot_index: u64,
    /// Number of entries after the snapshot.
    entries: usize,
    /// Length of an unfinished write at the end, bytes.
    unfinished_bytes: u64,
    totals: Totals,
}

impl Contents {
    /// Returns a line for each name, with its total.
    pub fn names(&self) -> String {
        let line = |(name, total): (&[u8], f64)| format!("\n{} {total}", String::from_utf8_lossy(name));
        self.totals.iter().map(line).collect()
    }
}

impl fmt::Display for Contents {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Contents { directory, hard_state, snapshot_index, entries, unfinished_bytes, totals } = self;
        write!(f, "{directory}: {hard_state}; snapshot up to entry {snapshot_index}, ")?;
        write!(f, "{entries} entries after it, {} names", totals.len())?;
        if *unfinished_bytes > 0 {
            write!(f, "; {unfinished_bytes} bytes of an unfinished write at the end")?;
        }
        Ok(())
    }
}

/// Reads a directory through an in-memory copy, so that an unfinished write is reported and not truncated.
pub fn read(directory: &Path) -> Result<Contents, InspectError> {
    let name = directory.display().to_string();
    if !directory.is_dir() {
        return Err(InspectError::NoDirectory(name));
    }
    let unreadable = |source| InspectError::Unreadable { directory: name.clone(), source };
    let copy = copy(directory).map_err(unreadable)?;
    let (_, recovered) = Log::open::<Totals, Add>(copy).map_err(unreadable)?;
    let mut totals = recovered.snapshot.state;
    for add in recovered.entries.iter().filter_map(|entry| entry.command.as_ref()) {
        totals.add(add);
    }
    Ok(Contents {
        directory: name,
        hard_state: recovered.hard_state,
        snapshot_index: recovered.snapshot.last_included.index,
        entries: recovered.entries.len(),
        unfinished_bytes: recovered.dropped_bytes,
        totals,
    })
}

fn copy(directory: &Path) -> Result<MemoryDisk, Error> {
    let mut copy = MemoryDisk::default();
    copy.copy_from(&mut Directory::new(directory)?)?;
    Ok(copy)
}
