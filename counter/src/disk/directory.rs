//! A directory of the file system as a disk.
use super::Disk;
use std::fs::{DirEntry, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A directory of the file system; no other process may write there.
pub struct Directory {
    path: PathBuf,
    /// The file that was used last; it stays open.
    open_file: Option<OpenFile>,
}

struct OpenFile {
    name: String,
    file: File,
}

impl Directory {
    /// Opens a directory; creates it if it does not exist.
    pub fn new(path: &Path) -> io::Result<Directory> {
        std::fs::create_dir_all(path)?;
        Ok(Directory { path: path.to_owned(), open_file: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let open = match self.open_file.take() {
            Some(open) if open.name == name => open,
            _ => OpenFile { name: name.to_owned(), file: self.open(name)? },
        };
        Ok(&mut self.open_file.insert(open).file)
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).read(true).open(self.path.join(name))
    }
}

impl Disk for Directory {
    fn names(&mut self) -> io::Result<Vec<String>> {
        let name =
            |entry: io::Result<DirEntry>| entry.map(|entry| entry.file_name().to_string_lossy().into_owned());
        std::fs::read_dir(&self.path)?.map(name).collect()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
