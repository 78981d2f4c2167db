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
const HEAD: &[u8; 8] = b"prjrnl\x00\x01";
/// Length and checksum before each record.
const RECORD_HEAD: usize = 8;
/// No record is longer.
const MOST_BYTES: usize = 64 << 20;

/// Why a journal cannot be used.
#[derive(Debug)]
pub enum JournalError {
    /// The system said no.
    Io(io::Error),
    /// The file is no journal of this version.
    Foreign {
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
    Spoilt,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Io(e) => write!(f, "{e}"),
            JournalError::Foreign { file } => write!(f, "{file} is no journal of this version"),
            JournalError::Damaged { file, offset } => write!(f, "{file} is damaged at byte {offset}"),
            JournalError::Spoilt => write!(f, "not used on after an earlier error; open it anew"),
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
    spoilt: bool,
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
            disk.names()?.iter().filter_map(|n| n.strip_prefix(&prefix)?.parse().ok()).collect();
        numbers.sort_unstable();
        let Some(number) = numbers.pop() else {
            let mut journal = Journal { disk, name: name.to_owned(), number: 0, length: 0, spoilt: false };
            journal.rewrite(&[])?;
            return Ok((journal, Vec::new()));
        };
        let file = format!("{name}.{number}");
        let bytes = disk.read(&file)?;
        let records = parse(&file, &bytes)?;
        for old in numbers {
            disk.remove(&format!("{name}.{old}"))?;
        }
        let mut journal = Journal { disk, name: name.to_owned(), number, length: 0, spoilt: false };
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
        if self.spoilt {
            return Err(JournalError::Spoilt);
        }
        let mut bytes = Vec::new();
        records.iter().for_each(|r| frame(r, &mut bytes));
        let file = format!("{}.{}", self.name, self.number);
        let written = self.disk.append(&file, &bytes).and_then(|()| self.disk.sync(&file));
        self.spoilt = written.is_err();
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
        if self.spoilt {
            return Err(JournalError::Spoilt);
        }
        self.spoilt = true;
        let (fresh, next) = (format!("{}.tmp", self.name), format!("{}.{}", self.name, self.number + 1));
        let mut bytes = HEAD.to_vec();
        records.iter().for_each(|r| frame(r, &mut bytes));
        if self.disk.names()?.contains(&fresh) {
            self.disk.remove(&fresh)?;
        }
        self.disk.append(&fresh, &bytes)?;
        self.disk.sync(&fresh)?;
        self.disk.rename(&fresh, &next)?;
        self.disk.sync_names()?;
        if self.number > 0 {
            self.disk.remove(&format!("{}.{}", self.name, self.number))?;
        }
        (self.number, self.length, self.spoilt) = (self.number + 1, bytes.len() as u64, false);
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
    let head = bytes.get(at..at + RECORD_HEAD)?;
    let (length, sum) = (head[..4].try_into().ok()?, u32::from_le_bytes(head[4..].try_into().ok()?));
    let size = u32::from_le_bytes(length) as usize;
    let end = at + RECORD_HEAD + size;
    let record = bytes.get(at + RECORD_HEAD..end).filter(|_| size <= MOST_BYTES)?;
    (checksum(length, record) == sum).then_some((record, end))
}

/// The records of a file up to the last whole one.
fn parse(file: &str, bytes: &[u8]) -> Result<Vec<Vec<u8>>, JournalError> {
    if bytes.get(..HEAD.len()) != Some(HEAD) {
        return Err(JournalError::Foreign { file: file.to_owned() });
    }
    let (mut records, mut at) = (Vec::new(), HEAD.len());
    while let Some((record, end)) = record_at(bytes, at) {
        records.push(record.to_vec());
        at = end;
    }
    // Guards against damage taken for a torn tail: what was acknowledged after it would be lost in silence.
    // An empty record would be eight zero bytes with the checksum of nothing, which a hole can't be.
    let whole_behind = |from: usize| record_at(bytes, from).is_some_and(|(r, _)| !r.is_empty());
    if (at + 1..bytes.len().saturating_sub(RECORD_HEAD)).any(whole_behind) {
        return Err(JournalError::Damaged { file: file.to_owned(), offset: at });
    }
    Ok(records)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Fault, MemoryDisk};

    fn three() -> Vec<Vec<u8>> {
        vec![b"one".to_vec(), b"two, longer".to_vec(), b"three".to_vec()]
    }

    // Guards against an acknowledged record lost, or a half one served, wherever the power goes.
    #[test]
    fn a_cut_at_every_byte_leaves_all_that_was_acknowledged() {
        let mut bytes = Vec::new();
        three().iter().for_each(|r| frame(r, &mut bytes));
        for keep in 0..=bytes.len() {
            let disk = MemoryDisk::default();
            let (mut journal, _) = Journal::open(disk.clone(), "j").unwrap();
            journal.append(&[b"before".to_vec()]).unwrap();
            disk.fail(Fault::SyncFails);
            assert!(journal.append(&three()).is_err());
            disk.fail(Fault::None);
            assert!(matches!(journal.append(&three()), Err(JournalError::Spoilt)), "used on after an error");
            disk.power_lost(keep);
            let (mut journal, records) = Journal::open(disk.clone(), "j").unwrap();
            assert_eq!(records[0], b"before");
            assert_eq!(records[1..], three()[..records.len() - 1], "cut at {keep}");
            journal.append(&[b"after".to_vec()]).unwrap();
            disk.power_lost(0);
            let (_, again) = Journal::open(disk, "j").unwrap();
            assert_eq!(again.last().unwrap(), b"after", "what follows a cut tail can be read");
            assert_eq!(again.len(), records.len() + 1);
        }
    }

    // Guards against a rewrite that loses the old records before the new ones are lasting.
    #[test]
    fn a_rewrite_is_all_or_nothing_and_a_full_disk_spoils_nothing() {
        let disk = MemoryDisk::default();
        let (mut journal, _) = Journal::open(disk.clone(), "j").unwrap();
        journal.append(&three()).unwrap();
        for fault in [Fault::Full, Fault::Full, Fault::SyncFails] {
            disk.fail(fault);
            assert!(journal.rewrite(&[b"small".to_vec()]).is_err());
            disk.fail(Fault::None);
            disk.power_lost(3);
            let (again, records) = Journal::open(disk.clone(), "j").unwrap();
            assert_eq!(records, three());
            journal = again;
        }
        journal.rewrite(&[b"small".to_vec()]).unwrap();
        disk.power_lost(0);
        assert_eq!(Journal::open(disk, "j").unwrap().1, [b"small".to_vec()]);
    }

    // Guards against a bit that turned in the middle being taken for the end of the journal.
    #[test]
    fn damage_in_the_middle_is_named_and_changes_nothing() {
        let disk = MemoryDisk::default();
        let (mut journal, _) = Journal::open(disk.clone(), "j").unwrap();
        journal.append(&three()).unwrap();
        disk.flip("j.1", HEAD.len() + RECORD_HEAD);
        match Journal::open(disk.clone(), "j").map(|_| ()) {
            Err(JournalError::Damaged { file, offset }) => assert_eq!((file.as_str(), offset), ("j.1", 8)),
            other => panic!("{other:?}"),
        }
        disk.flip("j.1", HEAD.len() + RECORD_HEAD);
        assert_eq!(Journal::open(disk.clone(), "j").unwrap().1, three());
        disk.flip("j.2", 0);
        assert!(matches!(Journal::open(disk, "j"), Err(JournalError::Foreign { .. })));
    }
}
