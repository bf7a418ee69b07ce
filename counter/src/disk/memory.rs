//! An in-memory disk with fault injection, for tests of the log and for inspecting files without changing them.
use super::Disk;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// The value of [`MemoryDisk::surviving_unsynced`] with which all unsynced bytes survive.
const ALL_UNSYNCED: usize = 255;

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    /// Identifies the file across renames.
    id: u64,
    bytes: Vec<u8>,
    /// Length of the synced prefix, bytes.
    synced: usize,
}

/// An in-memory disk that counts its operations and can be configured to fail from one of them on. After such a crash all, some or
/// none of the unsynced bytes survive.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, MemoryFile>,
    /// The directory at its last sync, which survives a crash.
    synced_names: BTreeMap<String, MemoryFile>,
    /// Number of operations so far, without reads.
    steps: u64,
    /// Number of files created so far, from which ids are assigned.
    created: u64,
    /// The operation, counted from 1, from which every operation but reads fails; `None` to never fail.
    pub fails_at_step: Option<u64>,
    /// Fraction of the unsynced bytes that survive a crash, in 255ths.
    pub surviving_unsynced: u8,
    /// Capacity of the disk, bytes; `None` if unlimited.
    pub capacity: Option<usize>,
}

impl MemoryDisk {
    /// Creates a disk that fails from an operation on; `surviving_unsynced` 255ths of the unsynced bytes survive the crash.
    pub fn failing_at(step: u64, surviving_unsynced: u8) -> MemoryDisk {
        MemoryDisk { fails_at_step: Some(step), surviving_unsynced, ..MemoryDisk::default() }
    }

    /// Copies all files of another disk.
    pub fn copy_from(&mut self, source: &mut dyn Disk) -> io::Result<()> {
        for name in source.names()? {
            let bytes = source.read(&name)?;
            self.append(&name, &bytes)?;
            self.sync(&name)?;
        }
        self.sync_directory()
    }

    /// Returns the number of operations so far; reads are not counted.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the disk after a crash: the synced prefix of each file, and a fraction of its unsynced bytes.
    pub fn after_crash(&self) -> MemoryDisk {
        let survives = |(name, synced): (&String, &MemoryFile)| (name.clone(), self.survivor(synced));
        let files: BTreeMap<String, MemoryFile> = self.synced_names.iter().map(survives).collect();
        MemoryDisk {
            files: files.clone(),
            synced_names: files,
            created: self.created,
            ..MemoryDisk::default()
        }
    }

    /// Flips a bit of a file.
    pub fn flip_bit(&mut self, name: &str, bit: usize) {
        let Some(file) = self.files.get_mut(name) else { return };
        let offset = bit / 8 % file.bytes.len().max(1);
        if let Some(byte) = file.bytes.get_mut(offset) {
            *byte ^= 1 << (bit % 8);
        }
    }

    /// Returns the size of a file, bytes; 0 if it does not exist.
    pub fn size(&self, name: &str) -> usize {
        self.files.get(name).map_or(0, |file| file.bytes.len())
    }

    fn survivor(&self, synced: &MemoryFile) -> MemoryFile {
        // Looked up by id, because the file may have been renamed since the directory was synced.
        let latest = self.files.values().find(|file| file.id == synced.id).unwrap_or(synced);
        let unsynced = latest.bytes.len() - latest.synced;
        let length = latest.synced + unsynced * usize::from(self.surviving_unsynced) / ALL_UNSYNCED;
        MemoryFile { id: synced.id, bytes: latest.bytes[..length].to_vec(), synced: length }
    }

    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.fails_at_step.is_some_and(|step| self.steps >= step) {
            return Err(io::Error::other("injected disk failure"));
        }
        Ok(())
    }

    fn file(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        self.files.get_mut(name).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn file_or_new(&mut self, name: &str) -> &mut MemoryFile {
        if !self.files.contains_key(name) {
            self.created += 1;
        }
        let id = self.created;
        self.files.entry(name.to_owned()).or_insert(MemoryFile { id, ..MemoryFile::default() })
    }

    fn fitting(&self, length: usize) -> usize {
        let used: usize = self.files.values().map(|file| file.bytes.len()).sum();
        self.capacity.map_or(length, |capacity| capacity.saturating_sub(used).min(length))
    }
}

impl Disk for MemoryDisk {
    fn names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.file(name)?.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let fitting = self.fitting(bytes.len());
        let step = self.step();
        // The bytes of the failing operation are written too, unsynced: some of them may survive the crash.
        self.file_or_new(name).bytes.extend_from_slice(&bytes[..fitting]);
        step?;
        if fitting < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let file = self.file(name)?;
        file.bytes.truncate(length as usize);
        file.synced = file.synced.min(file.bytes.len());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let file = self.file(name)?;
        file.synced = file.bytes.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let file = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.files.remove(name).map(drop).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.step()?;
        self.synced_names = self.files.clone();
        Ok(())
    }
}
