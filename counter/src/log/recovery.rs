//! Recovery at startup: reads the newest snapshot and replays the log files. A damaged end that was never acknowledged is dropped.
use super::files::{self, IndexedFile};
use super::record::{self, Record};
use super::{Entry, HardState, Snapshot};
use crate::disk::Disk;
use crate::{Damage, Error, Result};
use serde::de::DeserializeOwned;

/// Contents of a log when it was opened.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered<S, C> {
    /// The last term and vote.
    pub hard_state: HardState,
    /// The newest snapshot, or an empty state.
    pub snapshot: Snapshot<S>,
    /// The entries that follow the snapshot.
    pub entries: Vec<Entry<C>>,
    /// Bytes of an unfinished write that were dropped.
    pub dropped_bytes: u64,
}

/// The result of recovery, and the file to append to.
pub(super) struct Recovery<S, C> {
    /// The recovered state.
    pub recovered: Recovered<S, C>,
    /// The newest log file, if any.
    pub newest_log: Option<String>,
    /// Size of that file, bytes.
    pub newest_log_size: u64,
}

/// Reads all files. Drops an unfinished write at the end; any other damage is an error.
pub(super) fn recover<D, S, C>(disk: &mut D) -> Result<Recovery<S, C>>
where
    D: Disk,
    S: DeserializeOwned + Default,
    C: DeserializeOwned,
{
    let names = disk.names()?;
    remove_unfinished(disk, &names)?;
    let mut recovered = Recovered {
        hard_state: HardState::default(),
        snapshot: read_snapshot(disk, &names)?,
        entries: vec![],
        dropped_bytes: 0,
    };
    let logs = files::of_kind(&names, files::LOG);
    let mut newest_log_size = 0;
    for (position, file) in logs.iter().enumerate() {
        let is_newest = position + 1 == logs.len();
        newest_log_size = read_log(disk, file, is_newest, &mut recovered)?;
    }
    let newest_log = logs.into_iter().last().map(|file| file.name);
    drop_included_entries(&mut recovered, newest_log.as_deref())?;
    Ok(Recovery { recovered, newest_log, newest_log_size })
}

fn remove_unfinished<D: Disk>(disk: &mut D, names: &[String]) -> Result<()> {
    for name in names.iter().filter(|name| name.starts_with(files::UNFINISHED)) {
        disk.remove(name)?;
    }
    Ok(())
}

fn read_snapshot<D: Disk, S: DeserializeOwned + Default>(
    disk: &mut D,
    names: &[String],
) -> Result<Snapshot<S>> {
    let Some(IndexedFile { name, .. }) = files::of_kind(names, files::SNAPSHOT).pop() else {
        return Ok(Snapshot::default());
    };
    let bytes = disk.read(&name)?;
    let corrupt = |reason| Error::Corrupt { file: name.clone(), offset: 0, reason };
    let located = record::locate(&bytes, 0).ok_or_else(|| corrupt(Damage::ChecksumMismatch))?;
    if located.end != bytes.len() {
        return Err(corrupt(Damage::TrailingBytes));
    }
    record::decode(located.body, &name, 0)
}

/// Replays a log file; returns its size without a dropped end, bytes.
fn read_log<D: Disk, S, C: DeserializeOwned>(
    disk: &mut D,
    file: &IndexedFile,
    is_newest: bool,
    recovered: &mut Recovered<S, C>,
) -> Result<u64> {
    let bytes = disk.read(&file.name)?;
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(located) = record::locate(&bytes, offset) else {
            // The log appends only after the previous write was synced, so no complete record follows an unfinished one.
            let is_unfinished_write = is_newest && !has_record_after(&bytes, offset);
            if !is_unfinished_write {
                return Err(corrupt_at(&file.name, offset, Damage::ChecksumMismatch));
            }
            recovered.dropped_bytes += (bytes.len() - offset) as u64;
            disk.truncate(&file.name, offset as u64)?;
            disk.sync(&file.name)?;
            break;
        };
        let record = record::decode(located.body, &file.name, offset)?;
        replay(recovered, record).map_err(|reason| corrupt_at(&file.name, offset, reason))?;
        offset = located.end;
    }
    Ok(offset as u64)
}

fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|later| record::locate(bytes, later).is_some())
}

fn corrupt_at(file: &str, offset: usize, reason: Damage) -> Error {
    Error::Corrupt { file: file.to_owned(), offset: offset as u64, reason }
}

/// Applies a record to the contents recovered so far.
fn replay<S, C>(recovered: &mut Recovered<S, C>, record: Record<C>) -> std::result::Result<(), Damage> {
    match record {
        Record::HardState(hard_state) => recovered.hard_state = hard_state,
        Record::TruncateFrom(index) => recovered.entries.retain(|entry| entry.index < index),
        Record::Entry(entry) => {
            // A log file that was created for a snapshot repeats the last entries of the previous file.
            recovered.entries.retain(|earlier| earlier.index < entry.index);
            let last = recovered.entries.last();
            if last.is_some_and(|last| last.index + 1 != entry.index) {
                return Err(Damage::MissingEntry);
            }
            recovered.entries.push(entry);
        }
    }
    Ok(())
}

/// Drops the entries that the snapshot includes; the remaining ones have to follow it without a gap.
fn drop_included_entries<S, C>(recovered: &mut Recovered<S, C>, newest_log: Option<&str>) -> Result<()> {
    let included = recovered.snapshot.last_included.index;
    recovered.entries.retain(|entry| entry.index > included);
    match recovered.entries.first() {
        Some(first) if first.index != included + 1 => Err(Error::Corrupt {
            file: newest_log.unwrap_or_default().to_owned(),
            offset: first.index,
            reason: Damage::SnapshotGap,
        }),
        _ => Ok(()),
    }
}
