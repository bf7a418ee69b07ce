//! An in-memory disk with fault injection, for tests of the log and for inspecting files without changing them.
use super::Disk;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// The value of [`MemoryDisk::surviving_unsynced`] that stands for all unsynced bytes.
const ALL_UNSYNCED: usize = 255;

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    /// Identifies the file across renames.
    id: u64,
    bytes: Vec<u8>,
    /// Length of the synced prefix, bytes.
    synced: usize,
}

/// An in-memory disk that counts its operations and can be made to fail at one of them. After such a crash unsynced bytes survive
/// in part or not at all.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, MemoryFile>,
    /// The directory as it was last synced, which is what survives a crash.
    synced_names: BTreeMap<String, MemoryFile>,
    /// Operations until now that change something.
    steps: u64,
    /// Files created until now; the source of their ids.
    created: u64,
    /// The step from which on every operation fails.
    pub fails_at_step: Option<u64>,
    /// Share of the unsynced bytes that survive a crash, in 255ths.
    pub surviving_unsynced: u8,
    /// Capacity of the disk, bytes; unlimited if none.
    pub capacity: Option<usize>,
}

impl MemoryDisk {
    /// A disk that fails from a step on; `surviving_unsynced` of the unsynced bytes, in 255ths, survive the crash.
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

    /// Number of operations until now that change something; reads are not counted.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// The disk as it is found after a crash: the synced prefix of each file, and a share of the unsynced bytes.
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

    /// Size of a file, bytes.
    pub fn size(&self, name: &str) -> usize {
        self.files.get(name).map_or(0, |file| file.bytes.len())
    }

    fn survivor(&self, synced: &MemoryFile) -> MemoryFile {
        // The file may have been renamed since the directory was synced: its id finds it.
        let latest = self.files.values().find(|file| file.id == synced.id).unwrap_or(synced);
        let unsynced = latest.bytes.len() - latest.synced;
        let length = latest.synced + unsynced * usize::from(self.surviving_unsynced) / ALL_UNSYNCED;
        MemoryFile { id: synced.id, bytes: latest.bytes[..length].to_vec(), synced: length }
    }

    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.fails_at_step.is_some_and(|step| self.steps >= step) {
            return Err(io::Error::other("the machine is gone"));
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
        // The bytes of the failing step are written too, unsynced: a crash may keep a part of them.
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
