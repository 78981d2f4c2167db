//! What a store persists, and what becomes of one that can't be read.

use super::error::StoreError;
use super::format::{encode, write, FORMAT, FORMAT_VERSION, UNVERSIONED_FORMAT};
use super::open::{open, open_with_retry, OpenStore, StartKind, FILE};
use passrelay_control_plane::replication::MemberId;
use redb::{Database, TableDefinition};
use rstest::rstest;
use std::net::SocketAddrV4;
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

fn seeds(hosts: [u8; 3]) -> Vec<SocketAddrV4> {
    hosts.map(|host| SocketAddrV4::new([10, 0, 0, host].into(), 7_680)).to_vec()
}

/// The first start of the whole fleet.
fn bootstrap() -> StartKind {
    StartKind::Bootstrap { seeds: seeds([1, 2, 3]) }
}

// Guards against a machine that elects the first record among other seeds than at its first start.
#[test]
fn the_seeds_of_the_first_start_outlast_later_ones() {
    let folder = Folder::new();
    drop(open(&folder.0, &bootstrap()).expect("it opens").database);
    let other = StartKind::Bootstrap { seeds: seeds([4, 5, 6]) };
    for start in [&StartKind::Join, &other] {
        let contents = open(&folder.0, start).expect("it opens again").contents;
        assert_eq!(contents.bootstrap_seeds, Some(seeds([1, 2, 3])));
    }
    let later = Folder::new();
    assert_eq!(open(&later.0, &StartKind::Join).expect("it opens").contents.bootstrap_seeds, None);
}

const FOREIGN_TABLE: TableDefinition<&str, u64> = TableDefinition::new("orders");
/// This program's table by its name, of another program by its types.
const FOREIGN_TYPES: TableDefinition<u64, u64> = TableDefinition::new("replica");
const FOREIGN_KEYS: TableDefinition<&str, &[u8]> = TableDefinition::new("replica");

fn create_foreign(database: &Database, kind: &str) {
    let transaction = database.begin_write().expect("a transaction");
    match kind {
        "another table" => drop(transaction.open_table(FOREIGN_TABLE).expect("a table").insert("a", 1)),
        "other types" => drop(transaction.open_table(FOREIGN_TYPES).expect("a table").insert(1, 1)),
        _ => drop(transaction.open_table(FOREIGN_KEYS).expect("a table").insert("a", [1].as_slice())),
    }
    transaction.commit().expect("it is written");
}

// Guards against another program's database that is taken for a damaged one and renamed, or written to.
#[rstest]
#[case::another_table("another table")]
#[case::other_types("other types")]
#[case::other_keys("other keys")]
fn a_foreign_store_is_refused_and_left_as_it_is(#[case] kind: &str) {
    let folder = Folder::new();
    create_foreign(&Database::create(folder.0.join(FILE)).expect("a database"), kind);
    let before = std::fs::read(folder.0.join(FILE)).expect("it is read");
    let error = open(&folder.0, &bootstrap()).err().expect("it is refused");
    assert!(matches!(error, StoreError::Foreign { .. }) && !error.is_damage(), "{error}");
    assert!(open_with_retry(&folder.0, &bootstrap()).is_none());
    assert_eq!(folder.names(), [FILE]);
    assert!(std::fs::read(folder.0.join(FILE)).expect("it is read") == before, "not a byte was changed");
}

#[test]
fn a_machine_that_bootstrapped_the_fleet_remembers_it_and_one_started_later_never_claims_it() {
    let first = Folder::new();
    let OpenStore { database, contents } = open(&first.0, &bootstrap()).expect("it opens");
    assert!(contents.bootstrapping);
    drop(database);
    let again = open(&first.0, &StartKind::Join).expect("it opens again").contents;
    assert!(again.bootstrapping && again.identity == contents.identity);
    let later = Folder::new();
    assert!(!open(&later.0, &StartKind::Join).expect("it opens").contents.bootstrapping);
}

#[test]
fn damaged_stores_are_quarantined_side_by_side_and_the_machine_does_not_bootstrap() {
    let folder = Folder::new();
    for round in 1..=2 {
        std::fs::write(folder.0.join(FILE), format!("no database, round {round}")).expect("it is written");
        let opened = open_with_retry(&folder.0, &bootstrap()).expect("an empty one takes its place");
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
    let database = open(&folder.0, &bootstrap()).expect("it opens").database;
    let later = encode(FORMAT, &(FORMAT_VERSION + 1)).expect("a number");
    write(&database, &[later]).expect("it is written");
    drop(database);
    assert!(
        matches!(open(&folder.0, &StartKind::Join), Err(StoreError::Newer { found, .. }) if found == FORMAT_VERSION + 1)
    );
    assert!(open_with_retry(&folder.0, &StartKind::Join).is_none());
    assert_eq!(folder.names(), [FILE]);
}

#[test]
fn a_store_from_before_versions_were_stored_opens() {
    let folder = Folder::new();
    let database = open(&folder.0, &StartKind::Join).expect("it opens").database;
    let unversioned = encode(FORMAT, &UNVERSIONED_FORMAT).expect("a number");
    write(&database, &[unversioned]).expect("it is written");
    drop(database);
    assert!(open(&folder.0, &StartKind::Join).is_ok());
}

/// What a machine of version 0.2.0 had on its disk before the renaming, packed: `replica.redb` of format 2,
/// and one from before formats were kept.
const SAMPLE: &[u8] = include_bytes!("../../tests/data/replica.redb.lz4");
const SAMPLE_WITHOUT_FORMAT: &[u8] = include_bytes!("../../tests/data/replica-without-format.redb.lz4");

#[test]
fn stores_written_before_open_with_all_that_they_held() {
    for (sample, bootstrapping) in [(SAMPLE, true), (SAMPLE_WITHOUT_FORMAT, false)] {
        let folder = Folder::new();
        let unpacked = lz4_flex::decompress_size_prepended(sample).expect("the sample is whole");
        std::fs::write(folder.0.join(FILE), unpacked).expect("it is written");
        let opened = open(&folder.0, &StartKind::Join).expect("it opens").contents;
        assert_eq!(folder.names(), [FILE], "nothing was put aside");
        assert_eq!((opened.identity, opened.bootstrapping), (MemberId(0x1122_3344_5566_7701), bootstrapping));

        let witness = &opened.durable.witness;
        assert_eq!(witness.promised, 8);
        assert_eq!(witness.promised_to, Some(MemberId(0x1122_3344_5566_7703)));
        let record = witness.record.as_ref().expect("a record");
        assert_eq!((record.term, record.sequence, record.primary), (7, 3, MemberId(0x1122_3344_5566_7702)));
        assert_eq!((record.members.len(), record.previous_members.len(), record.in_sync.len()), (3, 2, 2));
        assert_eq!(record.members[0].address, "10.1.2.1:7400".parse().expect("an address"));

        let state = &opened.durable.state;
        assert_eq!((state.version.term, state.version.index, state.generation), (7, 5, 50));
        let document = state.document.as_deref().expect("a document");
        assert_eq!(document, r#"{"generation":50,"routes":[],"services":[{"name":"s"}]}"#);
        let applied: Vec<(u64, u8)> =
            state.applied_changes.iter().map(|change| (change.generation, change.digest[31])).collect();
        assert_eq!(applied, [(10, 41), (20, 51), (30, 61), (40, 71), (50, 81)]);

        let endpoints: Vec<(&str, &str, u32, u64)> = opened
            .endpoints
            .iter()
            .map(|e| (e.id.as_str(), e.zone.as_str(), e.capacity, e.sequence))
            .collect();
        assert_eq!(endpoints, [("e-0", "z0", 8, 300), ("e-1", "z1", 9, 301)]);
    }
}
