//! What the log needs of a disk, and two of them: a directory of the machine's, and one in memory that fails on demand.
mod directory;
mod memory;
pub use directory::Directory;
pub use memory::MemoryDisk;

use std::io;

/// The files of one directory, by name. Written bytes last once their file was synced, names once the directory was.
pub trait Disk {
    /// Names of all files.
    fn names(&mut self) -> io::Result<Vec<String>>;
    /// The whole of a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Writes at the end of a file; creates it if it is not there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes the bytes of a file last.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file; one of the new name is replaced.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names last.
    fn sync_directory(&mut self) -> io::Result<()>;
}
