//! Files in memory that fail on demand, for tests of the log and for looking at files without changing them.
use super::Disk;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// The largest part of unsynced bytes that [`MemoryDisk::unsynced_kept`] can express: all of them.
const ALL_UNSYNCED: usize = 255;

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    /// Which file it is, under whatever name.
    id: u64,
    bytes: Vec<u8>,
    /// Bytes that were synced.
    synced: usize,
}

/// Files in memory. It counts its operations and can fail at one of them; then unsynced bytes are there in part or not at all.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, MemoryFile>,
    /// The names as they are after a crash.
    synced_names: BTreeMap<String, MemoryFile>,
    steps: u64,
    created: u64,
    /// The step from which on every operation fails.
    pub fails_at_step: Option<u64>,
    /// How much of the unsynced bytes is there after a crash, in 255ths.
    pub unsynced_kept: u8,
    /// Bytes that fit on the disk; without limit if none.
    pub capacity: Option<usize>,
}

impl MemoryDisk {
    /// A disk that fails from a step on, and then keeps so much of the unsynced bytes, in 255ths.
    pub fn failing_at(step: u64, unsynced_kept: u8) -> MemoryDisk {
        MemoryDisk { fails_at_step: Some(step), unsynced_kept, ..MemoryDisk::default() }
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

    /// Operations that changed something until now.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// The disk as it is found after a crash: each file up to where it was synced, and a part of what follows.
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
        // The same file as it was written last, under whatever name it is by now.
        let latest = self.files.values().find(|file| file.id == synced.id).unwrap_or(synced);
        let unsynced = latest.bytes.len() - latest.synced;
        let length = latest.synced + unsynced * usize::from(self.unsynced_kept) / ALL_UNSYNCED;
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
        // Also what is written at the step that fails is there, unsynced.
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
