use super::*;
use crate::{Fault, MemoryDisk};

fn three() -> Vec<Vec<u8>> {
    vec![b"one".to_vec(), b"two, longer".to_vec(), b"three".to_vec()]
}

// A power loss at any byte must neither lose an acknowledged record nor return part of a record.
#[test]
fn a_cut_at_every_byte_leaves_all_that_was_acknowledged() {
    let mut bytes = Vec::new();
    three().iter().for_each(|r| frame(r, &mut bytes));
    for keep in 0..=bytes.len() {
        let disk = MemoryDisk::default();
        let (mut journal, _) = Journal::open(disk.clone(), "j").unwrap();
        journal.append(&[b"before".to_vec()]).unwrap();
        disk.set_fault(Fault::SyncFails);
        assert!(journal.append(&three()).is_err());
        disk.set_fault(Fault::None);
        assert!(matches!(journal.append(&three()), Err(JournalError::Poisoned)), "used on after an error");
        disk.lose_power(keep);
        let (mut journal, records) = Journal::open(disk.clone(), "j").unwrap();
        assert_eq!(records[0], b"before");
        assert_eq!(records[1..], three()[..records.len() - 1], "cut at {keep}");
        journal.append(&[b"after".to_vec()]).unwrap();
        disk.lose_power(0);
        let (_, again) = Journal::open(disk, "j").unwrap();
        assert_eq!(again.last().unwrap(), b"after", "what follows a cut tail can be read");
        assert_eq!(again.len(), records.len() + 1);
    }
}

// A rewrite must not lose the old records before the new ones are durable.
#[test]
fn a_rewrite_is_all_or_nothing_and_a_full_disk_spoils_nothing() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), "j").unwrap();
    journal.append(&three()).unwrap();
    for fault in [Fault::Full, Fault::Full, Fault::SyncFails] {
        disk.set_fault(fault);
        assert!(journal.rewrite(&[b"small".to_vec()]).is_err());
        disk.set_fault(Fault::None);
        disk.lose_power(3);
        let (again, records) = Journal::open(disk.clone(), "j").unwrap();
        assert_eq!(records, three());
        journal = again;
    }
    journal.rewrite(&[b"small".to_vec()]).unwrap();
    disk.lose_power(0);
    assert_eq!(Journal::open(disk, "j").unwrap().1, [b"small".to_vec()]);
}

// A flipped bit in the middle must not be taken for the end of the journal.
#[test]
fn damage_in_the_middle_is_named_and_changes_nothing() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), "j").unwrap();
    journal.append(&three()).unwrap();
    disk.flip_bit("j.1", FILE_HEADER.len() + RECORD_HEADER_BYTES);
    match Journal::open(disk.clone(), "j").map(|_| ()) {
        Err(JournalError::Damaged { file, offset }) => assert_eq!((file.as_str(), offset), ("j.1", 8)),
        other => panic!("{other:?}"),
    }
    disk.flip_bit("j.1", FILE_HEADER.len() + RECORD_HEADER_BYTES);
    assert_eq!(Journal::open(disk.clone(), "j").unwrap().1, three());
    disk.flip_bit("j.2", 0);
    assert!(matches!(Journal::open(disk, "j"), Err(JournalError::UnknownFormat { .. })));
}
