//! What the log asks of a disk, and two of them: the machine's, and one in memory that fails as it is told to.
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Files of one folder, by name. What was written counts once it was synced, and a name once the folder was.
pub trait Disk {
    fn names(&mut self) -> io::Result<Vec<String>>;
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Writes behind what is there; a file that is not there begins.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the machine's.
pub struct Folder {
    at: PathBuf,
    /// The file that was appended to last stays open.
    open: Option<(String, File)>,
}

impl Folder {
    pub fn new(at: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(at)?;
        Ok(Folder { at: at.to_owned(), open: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|o| o.0 != name) {
            let file = OpenOptions::new().create(true).append(true).read(true).open(self.at.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        Ok(&mut self.open.as_mut().expect("just opened").1)
    }
}

impl Disk for Folder {
    fn names(&mut self) -> io::Result<Vec<String>> {
        let name = |e: io::Result<std::fs::DirEntry>| e.map(|e| e.file_name().to_string_lossy().into_owned());
        std::fs::read_dir(&self.at)?.map(name).collect()
    }
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = vec![];
        let mut file = File::open(self.at.join(name))?;
        file.seek(SeekFrom::Start(0))?;
        file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.at.join(from), self.at.join(to))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.at.join(name))
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.at)?.sync_all()
    }
}

#[derive(Clone, Debug, Default)]
struct Held {
    /// Which file it is, under whatever name.
    file: u64,
    bytes: Vec<u8>,
    synced: usize,
}

/// Files in memory. It counts what it is asked to do, and dies at one of those moments: what was not synced is then there in part, or not.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    now: BTreeMap<String, Held>,
    /// Names as the folder would have them after a crash.
    kept: BTreeMap<String, Held>,
    steps: u64,
    files: u64,
    /// The step at which it dies; and how much of what was not synced is found afterwards, in 256ths.
    pub dies_at: Option<u64>,
    pub keeps: u8,
    /// Bytes that it has room for, where it is small.
    pub room: Option<usize>,
}

impl Memory {
    /// One that dies at that step, and keeps so much of what was not synced, in 255ths.
    pub fn dying(at: u64, keeps: u8) -> Memory {
        Memory { dies_at: Some(at), keeps, ..Memory::default() }
    }

    /// Takes in all files of another one.
    pub fn fill(&mut self, from: &mut dyn Disk) -> io::Result<()> {
        for name in from.names()? {
            let bytes = from.read(&name)?;
            self.append(&name, &bytes)?;
            self.sync(&name)?;
        }
        self.sync_folder()
    }

    pub fn steps(&self) -> u64 {
        self.steps
    }

    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.dies_at.is_some_and(|at| self.steps >= at) {
            return Err(io::Error::other("the machine is gone"));
        }
        Ok(())
    }

    /// As it is found after its crash: each file whole up to where it was synced, and some of what came behind.
    pub fn after_crash(&self) -> Memory {
        let found = |kept: &Held| {
            // The same file as it was written last, under whatever name it is by now.
            let latest = self.now.values().find(|n| n.file == kept.file).unwrap_or(kept);
            let loose = latest.bytes.len() - latest.synced;
            let keep = latest.synced + loose * usize::from(self.keeps) / 255;
            Held { file: kept.file, bytes: latest.bytes[..keep].to_vec(), synced: keep }
        };
        let kept: BTreeMap<String, Held> = self.kept.iter().map(|(n, h)| (n.clone(), found(h))).collect();
        Memory { now: kept.clone(), kept, files: self.files, ..Memory::default() }
    }

    /// Flips a bit of a file, for tests of what notices.
    pub fn flip(&mut self, name: &str, bit: usize) {
        if let Some(held) = self.now.get_mut(name) {
            let at = bit / 8 % held.bytes.len().max(1);
            if let Some(byte) = held.bytes.get_mut(at) {
                *byte ^= 1 << (bit % 8);
            }
        }
    }

    pub fn size(&self, name: &str) -> usize {
        self.now.get(name).map_or(0, |h| h.bytes.len())
    }

    fn held(&mut self, name: &str) -> io::Result<&mut Held> {
        self.now.get_mut(name).ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for Memory {
    fn names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.now.keys().cloned().collect())
    }
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.held(name)?.bytes.clone())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let taken: usize = self.now.values().map(|h| h.bytes.len()).sum();
        let fits = self.room.map_or(bytes.len(), |room| room.saturating_sub(taken).min(bytes.len()));
        let died = self.step();
        if !self.now.contains_key(name) {
            self.files += 1;
            self.now.insert(name.to_owned(), Held { file: self.files, ..Held::default() });
        }
        let held = self.held(name)?;
        held.bytes.extend_from_slice(&bytes[..fits]);
        died?;
        if fits < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let held = self.held(name)?;
        held.bytes.truncate(length as usize);
        held.synced = held.synced.min(held.bytes.len());
        Ok(())
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let held = self.held(name)?;
        held.synced = held.bytes.len();
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let held = self.now.remove(from).ok_or(ErrorKind::NotFound)?;
        self.now.insert(to.to_owned(), held);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.now.remove(name).map(drop).ok_or_else(|| ErrorKind::NotFound.into())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.kept = self.now.clone();
        Ok(())
    }
}
