//! Which errors of the database mean that the store is damaged.

use super::StoreError;
use redb::{DatabaseError, StorageError};
use rstest::rstest;
use std::io::ErrorKind;

#[rstest]
#[case(StoreError::database(StorageError::Corrupted("a page".to_owned())), true)]
#[case(StoreError::database(DatabaseError::UpgradeRequired(1)), true)]
// A file that is no database.
#[case(StoreError::database(StorageError::Io(ErrorKind::InvalidData.into())), true)]
// A disk that is full or failing may come back.
#[case(StoreError::database(StorageError::Io(ErrorKind::StorageFull.into())), false)]
#[case(StoreError::database(StorageError::PreviousIo), false)]
#[case(StoreError::database(DatabaseError::DatabaseAlreadyOpen), false)]
#[case(StoreError::File(ErrorKind::InvalidData.into()), false)]
#[case(StoreError::Newer { found: 3, known: 2 }, false)]
fn only_damage_that_no_retry_can_help_counts(#[case] error: StoreError, #[case] damage: bool) {
    assert_eq!(error.is_damage(), damage, "{error}");
}

#[test]
fn an_error_reads_as_its_source_and_names_it() {
    let error = StoreError::database(StorageError::Corrupted("a page".to_owned()));
    assert_eq!(error.to_string(), "DB corrupted: a page");
    let source = std::error::Error::source(&error).expect("a source");
    assert_eq!(source.to_string(), error.to_string());
}
