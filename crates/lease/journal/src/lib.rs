//! Crash-safe storage: file operations behind the trait [`Disk`], and a [`Journal`] of checksummed records on
//! top. The file format is specified in `docs/formats/journal.md`.

mod disk;
mod journal;
mod memory;

pub use disk::{DirectoryDisk, Disk};
pub use journal::{Journal, JournalError};
pub use memory::{Fault, MemoryDisk};
