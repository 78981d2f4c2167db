//! A journal of records that are durable once they are appended, and read back in order at the next start.
//!
//! A file `NAME.N` consists of a header and records; N grows with each rewrite. A record consists of its
//! length, a checksum over the length and the content, and the content. Each start rewrites the intact
//! records of the last file to a new one. A torn last record is dropped. A corrupt record with intact ones
//! after it is damage, and the journal fails to open.

use crate::Disk;
use std::fmt;
use std::io;

/// The first bytes of each file: format identifier and version.
const FILE_HEADER: &[u8; 8] = b"prjrnl\x00\x01";
/// Length of the header of a record: length and checksum.
const RECORD_HEADER_BYTES: usize = 8;
/// Maximum length of a record, in bytes.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// Why a journal cannot be used.
#[derive(Debug)]
pub enum JournalError {
    /// An operation on the disk failed.
    Io(io::Error),
    /// The file is not a journal, or one of another version.
    UnknownFormat {
        /// Name of the file.
        file: String,
    },
    /// A record before the end of the file is corrupt.
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset of the corrupt record, in bytes.
        offset: usize,
    },
    /// After an earlier error it is unknown what is durable.
    Poisoned,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Io(e) => write!(f, "{e}"),
            JournalError::UnknownFormat { file } => write!(f, "{file} is not a journal of this version"),
            JournalError::Damaged { file, offset } => {
                write!(f, "{file} has a corrupt record at byte {offset}")
            }
            JournalError::Poisoned => {
                write!(f, "the journal is unusable after an earlier error and has to be opened again")
            }
        }
    }
}

impl std::error::Error for JournalError {}

impl From<io::Error> for JournalError {
    fn from(e: io::Error) -> Self {
        JournalError::Io(e)
    }
}

/// An append-only sequence of records on a disk.
pub struct Journal<D> {
    disk: D,
    name: String,
    number: u64,
    length: u64,
    poisoned: bool,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal `name` and returns its records. It is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or the content is damaged. Damaged content is left unchanged.
    pub fn open(mut disk: D, name: &str) -> Result<(Journal<D>, Vec<Vec<u8>>), JournalError> {
        let prefix = format!("{name}.");
        let mut numbers: Vec<u64> =
            disk.list()?.iter().filter_map(|n| n.strip_prefix(&prefix)?.parse().ok()).collect();
        numbers.sort_unstable();
        let Some(number) = numbers.pop() else {
            let mut journal = Journal { disk, name: name.to_owned(), number: 0, length: 0, poisoned: false };
            journal.rewrite(&[])?;
            return Ok((journal, Vec::new()));
        };
        let file = format!("{name}.{number}");
        let bytes = disk.read(&file)?;
        let records = parse(&file, &bytes)?;
        for old in numbers {
            disk.remove(&format!("{name}.{old}"))?;
        }
        let mut journal = Journal { disk, name: name.to_owned(), number, length: 0, poisoned: false };
        // After a failed `sync` the file may contain bytes that can be read but aren't durable, and another
        // `sync` of the same file could succeed without writing them. A new file makes them durable.
        journal.rewrite(&records)?;
        Ok((journal, records))
    }

    /// Returns the length of the current file, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records with a single write and makes them durable.
    ///
    /// # Errors
    ///
    /// After an error the journal is poisoned: which of the records are durable is known only after it is
    /// opened again. This avoids a second `sync` that succeeds without writing what the first one lost.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), JournalError> {
        if self.poisoned {
            return Err(JournalError::Poisoned);
        }
        let mut bytes = Vec::new();
        records.iter().for_each(|r| frame(r, &mut bytes));
        let file = format!("{}.{}", self.name, self.number);
        let written = self.disk.append(&file, &bytes).and_then(|()| self.disk.sync(&file));
        self.poisoned = written.is_err();
        written?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the content of the journal with these records.
    ///
    /// # Errors
    ///
    /// After an error the journal is poisoned, as with `append`; the old file still exists.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), JournalError> {
        if self.poisoned {
            return Err(JournalError::Poisoned);
        }
        self.poisoned = true;
        let (temporary, next) = (format!("{}.tmp", self.name), format!("{}.{}", self.name, self.number + 1));
        let mut bytes = FILE_HEADER.to_vec();
        records.iter().for_each(|r| frame(r, &mut bytes));
        if self.disk.list()?.contains(&temporary) {
            self.disk.remove(&temporary)?;
        }
        self.disk.append(&temporary, &bytes)?;
        self.disk.sync(&temporary)?;
        self.disk.rename(&temporary, &next)?;
        self.disk.sync_directory()?;
        if self.number > 0 {
            self.disk.remove(&format!("{}.{}", self.name, self.number))?;
        }
        (self.number, self.length, self.poisoned) = (self.number + 1, bytes.len() as u64, false);
        Ok(())
    }
}

fn checksum(length: [u8; 4], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(record);
    hasher.finalize()
}

fn frame(record: &[u8], into: &mut Vec<u8>) {
    let length = (record.len() as u32).to_le_bytes();
    into.extend_from_slice(&length);
    into.extend_from_slice(&checksum(length, record).to_le_bytes());
    into.extend_from_slice(record);
}

/// Returns the record at an offset and the offset of its end, or `None` if it is incomplete or corrupt.
fn record_at(bytes: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let head = bytes.get(at..at + RECORD_HEADER_BYTES)?;
    let (length, sum) = (head[..4].try_into().ok()?, u32::from_le_bytes(head[4..].try_into().ok()?));
    let size = u32::from_le_bytes(length) as usize;
    let end = at + RECORD_HEADER_BYTES + size;
    let record = bytes.get(at + RECORD_HEADER_BYTES..end).filter(|_| size <= MAX_RECORD_BYTES)?;
    (checksum(length, record) == sum).then_some((record, end))
}

/// Returns the intact records of a file, up to its torn end if there is one.
fn parse(file: &str, bytes: &[u8]) -> Result<Vec<Vec<u8>>, JournalError> {
    if bytes.get(..FILE_HEADER.len()) != Some(FILE_HEADER) {
        return Err(JournalError::UnknownFormat { file: file.to_owned() });
    }
    let (mut records, mut at) = (Vec::new(), FILE_HEADER.len());
    while let Some((record, end)) = record_at(bytes, at) {
        records.push(record.to_vec());
        at = end;
    }
    // Damage must not pass for a torn end, since acknowledged records after it would be lost unnoticed. Empty
    // records are ignored here. A hole of zero bytes can't pass for one, since the checksum covers the length.
    let intact_record_at = |from: usize| record_at(bytes, from).is_some_and(|(r, _)| !r.is_empty());
    if (at + 1..bytes.len().saturating_sub(RECORD_HEADER_BYTES)).any(intact_record_at) {
        return Err(JournalError::Damaged { file: file.to_owned(), offset: at });
    }
    Ok(records)
}

#[cfg(test)]
mod tests;
