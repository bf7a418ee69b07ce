//! The disk interface of the log, with two implementations: a directory of the file system, and an in-memory disk with fault
//! injection.
mod directory;
mod memory;
pub use directory::Directory;
pub use memory::MemoryDisk;

use std::io;

/// The files of one directory, by name. Written bytes are durable once their file is synced, names once the directory is synced.
pub trait Disk {
    /// Returns the names of all files.
    fn names(&mut self) -> io::Result<Vec<String>>;
    /// Reads a complete file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file; creates it if it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes the bytes of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file atomically; replaces an existing file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}
