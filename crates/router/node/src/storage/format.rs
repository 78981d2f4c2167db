//! Format of the store: one redb table from key to CBOR value, with a format version.

use super::error::StoreError;
use passrelay_control_plane::replication::DurableWrite;
use passrelay_dissemination::EndpointRecord;
use redb::{Database, ReadableTableMetadata, TableDefinition, TableError, TableHandle};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddrV4;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("replica");
/// This machine's identity.
pub const IDENTITY: &str = "identity";
/// Version of the encoding of all values. Stores without it are of [`UNVERSIONED_FORMAT`].
pub const FORMAT: &str = "format";
/// Whether the store was created while the whole fleet was bootstrapped; written with the identity.
pub const BOOTSTRAPPING: &str = "founding";
/// The seeds of the fleet's first start; written with the identity of a machine that took part in it.
pub const BOOTSTRAP_SEEDS: &str = "founding-seeds";
/// The replica's state as a witness.
pub const WITNESS: &str = "witness";
/// The replicated state.
pub const STATE: &str = "state";
/// The endpoints that were known last.
pub const ENDPOINTS: &str = "endpoints";
/// The addresses of processes that were known last.
pub const PEERS: &str = "peers";

/// The format version that this program writes; it reads earlier ones.
pub const FORMAT_VERSION: u32 = 2;
/// Format version of stores from before the version was stored.
pub const UNVERSIONED_FORMAT: u32 = 1;

/// A key with its encoded value.
pub struct EncodedValue {
    key: &'static str,
    bytes: Vec<u8>,
}

/// Encodes a value for a key.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn encode<T: Serialize>(key: &'static str, value: &T) -> Result<EncodedValue, StoreError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(StoreError::Encoding)?;
    Ok(EncodedValue { key, bytes })
}

/// Checks that no other program has written the database. Reads only: what is foreign stays as it is.
///
/// # Errors
///
/// Returns [`StoreError::Foreign`] where the database holds tables, and none or another kind of this program's, or
/// this program's without an identity; or the database's error.
pub fn check_owner(database: &Database) -> Result<(), StoreError> {
    let transaction = database.begin_read().map_err(StoreError::database)?;
    let tables: Vec<String> = transaction
        .list_tables()
        .map_err(StoreError::database)?
        .map(|table| table.name().to_owned())
        .collect();
    if tables.is_empty() {
        return Ok(());
    }
    let table = match transaction.open_table(TABLE) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_) | TableError::TableTypeMismatch { .. }) => {
            return Err(StoreError::Foreign { tables });
        }
        Err(error) => return Err(StoreError::database(error)),
    };
    // The identity is written by the transaction that creates the table.
    let has_identity = table.get(IDENTITY).map_err(StoreError::database)?.is_some();
    if has_identity || table.is_empty().map_err(StoreError::database)? {
        Ok(())
    } else {
        Err(StoreError::Foreign { tables })
    }
}

/// Reads the value of a key, if there is one.
///
/// # Errors
///
/// Returns the database's error, or that the value can't be decoded.
pub fn read<T: DeserializeOwned>(database: &Database, key: &'static str) -> Result<Option<T>, StoreError> {
    let transaction = database.begin_read().map_err(StoreError::database)?;
    let table = match transaction.open_table(TABLE) {
        Ok(table) => table,
        // The store has just been created.
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(StoreError::database(error)),
    };
    let Some(value) = table.get(key).map_err(StoreError::database)? else { return Ok(None) };
    ciborium::from_reader(value.value()).map(Some).map_err(|source| StoreError::Undecodable { key, source })
}

/// Writes values in one transaction, synced before it returns.
///
/// # Errors
///
/// Returns the database's error; none of the values may then be relied on.
pub fn write(database: &Database, values: &[EncodedValue]) -> Result<(), StoreError> {
    let transaction = database.begin_write().map_err(StoreError::database)?;
    {
        let mut table = transaction.open_table(TABLE).map_err(StoreError::database)?;
        for value in values {
            table.insert(value.key, value.bytes.as_slice()).map_err(StoreError::database)?;
        }
    }
    transaction.commit().map_err(StoreError::database)
}

/// Writes the parts of the replica's state that have changed.
///
/// # Errors
///
/// As [`write`].
pub fn write_replica(database: &Database, write: &DurableWrite) -> Result<(), StoreError> {
    let mut values = Vec::new();
    if let Some(witness) = &write.witness {
        values.push(encode(WITNESS, witness)?);
    }
    if let Some(state) = &write.state {
        values.push(encode(STATE, state.as_ref())?);
    }
    self::write(database, &values)
}

/// Writes the endpoints that are known.
///
/// # Errors
///
/// As [`write`].
pub fn write_endpoints(database: &Database, records: &Vec<EndpointRecord>) -> Result<(), StoreError> {
    self::write(database, &[encode(ENDPOINTS, records)?])
}

/// Writes the addresses of processes that are known.
///
/// # Errors
///
/// As [`write`].
pub fn write_peers(database: &Database, peers: &Vec<SocketAddrV4>) -> Result<(), StoreError> {
    self::write(database, &[encode(PEERS, peers)?])
}
