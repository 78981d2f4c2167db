//! What a disk keeps, and what becomes of a store that can't be read.

use super::*;
use std::sync::atomic::{AtomicU32, Ordering};

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A folder of its own, gone with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("passrelay-storage-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.0).expect("the folder");
        let mut names: Vec<String> =
            entries.filter_map(|e| Some(e.ok()?.file_name().to_string_lossy().into_owned())).collect();
        names.sort();
        names
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_machine_started_with_the_system_remembers_it_and_one_started_later_never_claims_it() {
    let first = Folder::new();
    let (database, opened) = open(&first.0, true).expect("it opens");
    assert!(opened.founding);
    drop(database);
    let (_database, again) = open(&first.0, false).expect("it opens again");
    assert!(again.founding && again.identity == opened.identity);
    let later = Folder::new();
    assert!(!open(&later.0, false).expect("it opens").1.founding);
}

#[test]
fn damaged_stores_are_put_aside_one_beside_the_other_and_the_machine_is_another() {
    let folder = Folder::new();
    for round in 1..=2 {
        std::fs::write(folder.0.join(FILE), format!("no database, round {round}")).expect("it is written");
        let (database, opened) = open_with_patience(&folder.0, true).expect("an empty one takes its place");
        assert!(!opened.founding, "whoever lost a store does not found");
        drop(database);
        let kept = folder.0.join(format!("{FILE}.damaged.{round}"));
        let text = std::fs::read_to_string(kept).expect("it is kept");
        assert_eq!(text, format!("no database, round {round}"));
    }
    assert_eq!(folder.names().len(), 3);
}

#[test]
fn a_store_of_a_later_version_is_left_as_it_is() {
    let folder = Folder::new();
    let (database, _) = open(&folder.0, true).expect("it opens");
    write_values(&database, &[(FORMAT, encode(&(OWN_FORMAT + 1)).expect("a number"))])
        .expect("it is written");
    drop(database);
    assert!(matches!(open(&folder.0, false), Err(StoreError::Newer { found }) if found == OWN_FORMAT + 1));
    assert!(open_with_patience(&folder.0, false).is_none());
    assert_eq!(folder.names(), [FILE]);
}

#[test]
fn a_store_from_before_versions_were_kept_opens() {
    let folder = Folder::new();
    let (database, _) = open(&folder.0, false).expect("it opens");
    write_values(&database, &[(FORMAT, encode(&FIRST_FORMAT).expect("a number"))]).expect("it is written");
    drop(database);
    assert!(open(&folder.0, false).is_ok());
}
