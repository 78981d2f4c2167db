//! Tests of what a store persists and of the handling of stores that cannot be read.

use super::error::StoreError;
use super::format::{encode, write, FORMAT, FORMAT_VERSION, UNVERSIONED_FORMAT};
use super::open::{open, open_with_retry, OpenStore, StartKind, DATABASE_FILE};
use passrelay_control_plane::replication::MemberId;
use redb::{Database, TableDefinition};
use rstest::rstest;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// A temporary directory that is removed on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("passrelay-storage-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory is created");
        TempDirectory(path)
    }

    fn file_names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.0).expect("the directory is read");
        let mut names: Vec<String> =
            entries.filter_map(|e| Some(e.ok()?.file_name().to_string_lossy().into_owned())).collect();
        names.sort();
        names
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn seeds(hosts: [u8; 3]) -> Vec<SocketAddrV4> {
    hosts.map(|host| SocketAddrV4::new([10, 0, 0, host].into(), 7_680)).to_vec()
}

/// Returns the kind of the first start of the whole fleet.
fn bootstrap() -> StartKind {
    StartKind::Bootstrap { seeds: seeds([1, 2, 3]) }
}

// Guards against a machine that elects the first epoch record among other seeds than those of its first start.
#[test]
fn the_seeds_of_the_first_start_are_kept_at_later_starts() {
    let directory = TempDirectory::new();
    drop(open(&directory.0, &bootstrap()).expect("it opens").database);
    let other = StartKind::Bootstrap { seeds: seeds([4, 5, 6]) };
    for start in [&StartKind::Join, &other] {
        let contents = open(&directory.0, start).expect("it opens again").contents;
        assert_eq!(contents.bootstrap_seeds, Some(seeds([1, 2, 3])));
    }
    let later = TempDirectory::new();
    assert_eq!(open(&later.0, &StartKind::Join).expect("it opens").contents.bootstrap_seeds, None);
}

const FOREIGN_TABLE: TableDefinition<&str, u64> = TableDefinition::new("orders");
/// A table with the name of this program's table, but other types.
const FOREIGN_TYPES: TableDefinition<u64, u64> = TableDefinition::new("replica");
/// A table with the name and types of this program's table, but without an identity.
const FOREIGN_KEYS: TableDefinition<&str, &[u8]> = TableDefinition::new("replica");

fn write_foreign_table(database: &Database, kind: &str) {
    let transaction = database.begin_write().expect("a transaction");
    match kind {
        "another table" => drop(transaction.open_table(FOREIGN_TABLE).expect("a table").insert("a", 1)),
        "other types" => drop(transaction.open_table(FOREIGN_TYPES).expect("a table").insert(1, 1)),
        _ => drop(transaction.open_table(FOREIGN_KEYS).expect("a table").insert("a", [1].as_slice())),
    }
    transaction.commit().expect("it is written");
}

// Guards against writing to another program's database, or mistaking it for a damaged store and renaming it.
#[rstest]
#[case::another_table("another table")]
#[case::other_types("other types")]
#[case::other_keys("other keys")]
fn a_foreign_database_is_refused_and_left_unchanged(#[case] kind: &str) {
    let directory = TempDirectory::new();
    write_foreign_table(&Database::create(directory.0.join(DATABASE_FILE)).expect("a database"), kind);
    let before = std::fs::read(directory.0.join(DATABASE_FILE)).expect("it is read");
    let error = open(&directory.0, &bootstrap()).err().expect("it is refused");
    assert!(matches!(error, StoreError::ForeignDatabase { .. }) && !error.is_damage(), "{error}");
    assert!(open_with_retry(&directory.0, &bootstrap()).is_none());
    assert_eq!(directory.file_names(), [DATABASE_FILE]);
    assert!(
        std::fs::read(directory.0.join(DATABASE_FILE)).expect("it is read") == before,
        "the database was changed"
    );
}

#[test]
fn only_a_machine_of_the_first_start_is_recorded_as_bootstrapping() {
    let first = TempDirectory::new();
    let OpenStore { database, contents } = open(&first.0, &bootstrap()).expect("it opens");
    assert!(contents.bootstrapping);
    drop(database);
    let again = open(&first.0, &StartKind::Join).expect("it opens again").contents;
    assert!(again.bootstrapping && again.identity == contents.identity);
    let later = TempDirectory::new();
    assert!(!open(&later.0, &StartKind::Join).expect("it opens").contents.bootstrapping);
}

#[test]
fn damaged_stores_are_quarantined_side_by_side_and_the_machine_does_not_bootstrap() {
    let directory = TempDirectory::new();
    for round in 1..=2 {
        std::fs::write(directory.0.join(DATABASE_FILE), format!("no database, round {round}"))
            .expect("it is written");
        let opened = open_with_retry(&directory.0, &bootstrap()).expect("an empty store takes its place");
        assert!(!opened.contents.bootstrapping, "a machine that lost its store does not bootstrap");
        drop(opened.database);
        let quarantined = directory.0.join(format!("{DATABASE_FILE}.damaged.{round}"));
        let text = std::fs::read_to_string(quarantined).expect("the quarantined store is read");
        assert_eq!(text, format!("no database, round {round}"));
    }
    assert_eq!(directory.file_names().len(), 3);
}

#[test]
fn a_store_of_a_later_format_version_is_left_unchanged() {
    let directory = TempDirectory::new();
    let database = open(&directory.0, &bootstrap()).expect("it opens").database;
    let later = encode(FORMAT, &(FORMAT_VERSION + 1)).expect("a number");
    write(&database, &[later]).expect("it is written");
    drop(database);
    assert!(
        matches!(open(&directory.0, &StartKind::Join), Err(StoreError::NewerFormat { found, .. }) if found == FORMAT_VERSION + 1)
    );
    assert!(open_with_retry(&directory.0, &StartKind::Join).is_none());
    assert_eq!(directory.file_names(), [DATABASE_FILE]);
}

#[test]
fn a_store_without_a_stored_format_version_opens() {
    let directory = TempDirectory::new();
    let database = open(&directory.0, &StartKind::Join).expect("it opens").database;
    let unversioned = encode(FORMAT, &UNVERSIONED_FORMAT).expect("a number");
    write(&database, &[unversioned]).expect("it is written");
    drop(database);
    assert!(open(&directory.0, &StartKind::Join).is_ok());
}

/// Stores written by version 0.2.0 before identifiers in the code were renamed, compressed by LZ4: `replica.redb`
/// of format 2, and one written before format versions were stored.
const SAMPLE: &[u8] = include_bytes!("../../tests/data/replica.redb.lz4");
const SAMPLE_WITHOUT_FORMAT: &[u8] = include_bytes!("../../tests/data/replica-without-format.redb.lz4");

#[test]
fn stores_of_earlier_builds_open_with_their_complete_contents() {
    for (sample, bootstrapping) in [(SAMPLE, true), (SAMPLE_WITHOUT_FORMAT, false)] {
        let directory = TempDirectory::new();
        let unpacked = lz4_flex::decompress_size_prepended(sample).expect("the sample is decompressed");
        std::fs::write(directory.0.join(DATABASE_FILE), unpacked).expect("it is written");
        let opened = open(&directory.0, &StartKind::Join).expect("it opens").contents;
        assert_eq!(directory.file_names(), [DATABASE_FILE], "the store was quarantined");
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
