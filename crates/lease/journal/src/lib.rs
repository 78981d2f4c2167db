//! What must live through a crash: file work behind the trait [`Disk`], and a [`Journal`] of checked
//! records on it. The format of the journal's files is written down in `docs/formats/journal.md`.

mod disk;
mod journal;
mod memory;

pub use disk::{DirectoryDisk, Disk};
pub use journal::{Journal, JournalError};
pub use memory::{Fault, MemoryDisk};
