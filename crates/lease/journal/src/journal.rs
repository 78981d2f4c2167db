//! A journal: records that are lasting once `sync` returned, read back in order at the next start.
//!
//! A file `NAME.N` holds a head and then records; N grows with each rewrite. Each record is a length, a
//! checksum over the length and the bytes, and the bytes. Each start writes
//! the whole records of the last file to the next one. A torn last record is left out; a
//! broken record with whole ones behind it is damage, and the journal doesn't open.

use crate::Disk;
use std::fmt;
use std::io;

/// The first bytes of each file: what it is, and the version of the format.
const FILE_HEADER: &[u8; 8] = b"prjrnl\x00\x01";
/// Length and checksum before each record.
const RECORD_HEADER_BYTES: usize = 8;
/// No record is longer.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// Why a journal cannot be used.
#[derive(Debug)]
pub enum JournalError {
    /// The system said no.
    Io(io::Error),
    /// The file is no journal of this version.
    UnknownFormat {
        /// The file.
        file: String,
    },
    /// A record in the middle is broken.
    Damaged {
        /// The file.
        file: String,
        /// Where the broken record begins.
        offset: usize,
    },
    /// An earlier error left the medium in a state that nobody knows.
    Poisoned,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Io(e) => write!(f, "{e}"),
            JournalError::UnknownFormat { file } => write!(f, "{file} is no journal of this version"),
            JournalError::Damaged { file, offset } => write!(f, "{file} is damaged at byte {offset}"),
            JournalError::Poisoned => write!(f, "not used on after an earlier error; open it anew"),
        }
    }
}

impl std::error::Error for JournalError {}

impl From<io::Error> for JournalError {
    fn from(e: io::Error) -> Self {
        JournalError::Io(e)
    }
}

/// Records on a disk.
pub struct Journal<D> {
    disk: D,
    name: String,
    number: u64,
    length: u64,
    poisoned: bool,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal `name` and gives its records; one that isn't there is begun.
    ///
    /// # Errors
    ///
    /// Fails where the disk does, or where what is there is damaged: then nothing is changed.
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
        // Guards against bytes that can be read but never reached the medium, as after a failed `sync`: a new
        // `sync` of the same file would answer well for them. Written anew, they are what they look like.
        journal.rewrite(&records)?;
        Ok((journal, records))
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Writes records and makes them lasting, all as one write.
    ///
    /// # Errors
    ///
    /// After an error the journal is spoilt: what of the records is there is known only when it is opened
    /// anew. Guards against a second `sync` that answers well for bytes that the first one lost.
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

    /// Puts these records in the place of all that the journal holds.
    ///
    /// # Errors
    ///
    /// After an error the journal is spoilt, as with `append`; the old file is still there.
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

/// The record at an offset and where it ends; `None` if it isn't whole.
fn record_at(bytes: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let head = bytes.get(at..at + RECORD_HEADER_BYTES)?;
    let (length, sum) = (head[..4].try_into().ok()?, u32::from_le_bytes(head[4..].try_into().ok()?));
    let size = u32::from_le_bytes(length) as usize;
    let end = at + RECORD_HEADER_BYTES + size;
    let record = bytes.get(at + RECORD_HEADER_BYTES..end).filter(|_| size <= MAX_RECORD_BYTES)?;
    (checksum(length, record) == sum).then_some((record, end))
}

/// The records of a file up to the last whole one.
fn parse(file: &str, bytes: &[u8]) -> Result<Vec<Vec<u8>>, JournalError> {
    if bytes.get(..FILE_HEADER.len()) != Some(FILE_HEADER) {
        return Err(JournalError::UnknownFormat { file: file.to_owned() });
    }
    let (mut records, mut at) = (Vec::new(), FILE_HEADER.len());
    while let Some((record, end)) = record_at(bytes, at) {
        records.push(record.to_vec());
        at = end;
    }
    // Guards against damage taken for a torn tail: what was acknowledged after it would be lost in silence.
    // An empty record would be eight zero bytes with the checksum of nothing, which a hole can't be.
    let intact_record_at = |from: usize| record_at(bytes, from).is_some_and(|(r, _)| !r.is_empty());
    if (at + 1..bytes.len().saturating_sub(RECORD_HEADER_BYTES)).any(intact_record_at) {
        return Err(JournalError::Damaged { file: file.to_owned(), offset: at });
    }
    Ok(records)
}

#[cfg(test)]
mod tests;
