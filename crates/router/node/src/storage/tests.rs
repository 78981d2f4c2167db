//! What a store persists, and what becomes of one that can't be read.

use super::error::StoreError;
use super::format::{encode, write, FORMAT, FORMAT_VERSION, UNVERSIONED_FORMAT};
use super::open::{open, open_with_retry, OpenStore, FILE};
use std::path::PathBuf;
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
fn a_machine_that_bootstrapped_the_fleet_remembers_it_and_one_started_later_never_claims_it() {
    let first = Folder::new();
    let OpenStore { database, contents } = open(&first.0, true).expect("it opens");
    assert!(contents.bootstrapping);
    drop(database);
    let again = open(&first.0, false).expect("it opens again").contents;
    assert!(again.bootstrapping && again.identity == contents.identity);
    let later = Folder::new();
    assert!(!open(&later.0, false).expect("it opens").contents.bootstrapping);
}

#[test]
fn damaged_stores_are_quarantined_side_by_side_and_the_machine_does_not_bootstrap() {
    let folder = Folder::new();
    for round in 1..=2 {
        std::fs::write(folder.0.join(FILE), format!("no database, round {round}")).expect("it is written");
        let opened = open_with_retry(&folder.0, true).expect("an empty one takes its place");
        assert!(!opened.contents.bootstrapping, "a machine that lost its store does not bootstrap");
        drop(opened.database);
        let quarantined = folder.0.join(format!("{FILE}.damaged.{round}"));
        let text = std::fs::read_to_string(quarantined).expect("it is kept");
        assert_eq!(text, format!("no database, round {round}"));
    }
    assert_eq!(folder.names().len(), 3);
}

#[test]
fn a_store_of_a_later_version_is_left_as_it_is() {
    let folder = Folder::new();
    let database = open(&folder.0, true).expect("it opens").database;
    let later = encode(FORMAT, &(FORMAT_VERSION + 1)).expect("a number");
    write(&database, &[later]).expect("it is written");
    drop(database);
    assert!(
        matches!(open(&folder.0, false), Err(StoreError::Newer { found, .. }) if found == FORMAT_VERSION + 1)
    );
    assert!(open_with_retry(&folder.0, false).is_none());
    assert_eq!(folder.names(), [FILE]);
}

#[test]
fn a_store_from_before_versions_were_stored_opens() {
    let folder = Folder::new();
    let database = open(&folder.0, false).expect("it opens").database;
    let unversioned = encode(FORMAT, &UNVERSIONED_FORMAT).expect("a number");
    write(&database, &[unversioned]).expect("it is written");
    drop(database);
    assert!(open(&folder.0, false).is_ok());
}
