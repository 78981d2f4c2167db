//! Tests of the classification of database errors as damage.

use super::StoreError;
use redb::{DatabaseError, StorageError};
use rstest::rstest;
use std::io::ErrorKind;

#[rstest]
#[case(StoreError::database(StorageError::Corrupted("a page".to_owned())), true)]
#[case(StoreError::database(DatabaseError::UpgradeRequired(1)), true)]
// A file that is not a database.
#[case(StoreError::database(StorageError::Io(ErrorKind::InvalidData.into())), true)]
// A full or failing disk may recover.
#[case(StoreError::database(StorageError::Io(ErrorKind::StorageFull.into())), false)]
#[case(StoreError::database(StorageError::PreviousIo), false)]
#[case(StoreError::database(DatabaseError::DatabaseAlreadyOpen), false)]
#[case(StoreError::File(ErrorKind::InvalidData.into()), false)]
#[case(StoreError::NewerFormat { found: 3, supported: 2 }, false)]
fn only_errors_that_a_retry_can_not_resolve_count_as_damage(
    #[case] error: StoreError,
    #[case] is_damage: bool,
) {
    assert_eq!(error.is_damage(), is_damage, "{error}");
}

#[test]
fn a_database_error_has_the_text_of_its_source_and_returns_the_source() {
    let error = StoreError::database(StorageError::Corrupted("a page".to_owned()));
    assert_eq!(error.to_string(), "DB corrupted: a page");
    let source = std::error::Error::source(&error).expect("a source");
    assert_eq!(source.to_string(), error.to_string());
}
