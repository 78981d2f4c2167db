//! Format of the store: a single redb table that maps keys to CBOR values, one of which is the format version.

use super::error::StoreError;
use passrelay_control_plane::replication::DurableWrite;
use passrelay_dissemination::EndpointRecord;
use redb::{Database, ReadableTableMetadata, TableDefinition, TableError, TableHandle};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddrV4;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("replica");
/// Key of this machine's identity.
pub const IDENTITY: &str = "identity";
/// Key of the version of the encoding of all values. Stores without it have [`UNVERSIONED_FORMAT`].
pub const FORMAT: &str = "format";
/// Key of the flag whether the store was created while the fleet was bootstrapped; written with the identity.
pub const BOOTSTRAPPING: &str = "founding";
/// Key of the seeds at the first start of the fleet; written with the identity of a machine that took part in it.
pub const BOOTSTRAP_SEEDS: &str = "founding-seeds";
/// Key of the replica's state as a witness.
pub const WITNESS: &str = "witness";
/// Key of the replicated state.
pub const STATE: &str = "state";
/// Key of the last known endpoints.
pub const ENDPOINTS: &str = "endpoints";
/// Key of the last known peer addresses.
pub const PEERS: &str = "peers";

/// Format version that this program writes. It reads earlier versions as well.
pub const FORMAT_VERSION: u32 = 2;
/// Format version of stores that were written before the version was stored.
pub const UNVERSIONED_FORMAT: u32 = 1;

/// A key and its encoded value.
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

/// Checks that no other program has written the database. Performs only reads, so a foreign database is left
/// unchanged.
///
/// # Errors
///
/// Returns [`StoreError::ForeignDatabase`] if the database holds tables, but this program's table is missing, has
/// other types or lacks an identity. Otherwise returns the database's error, if any.
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
            return Err(StoreError::ForeignDatabase { tables });
        }
        Err(error) => return Err(StoreError::database(error)),
    };
    // The transaction that creates the table also writes the identity.
    let has_identity = table.get(IDENTITY).map_err(StoreError::database)?.is_some();
    if has_identity || table.is_empty().map_err(StoreError::database)? {
        Ok(())
    } else {
        Err(StoreError::ForeignDatabase { tables })
    }
}

/// Reads the value of a key. Returns `None` if there is none.
///
/// # Errors
///
/// Returns the database's error, or [`StoreError::Undecodable`] if the value cannot be decoded.
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

/// Writes values in one transaction and syncs it to disk before returning.
///
/// # Errors
///
/// Returns the database's error. The values must then not be relied on.
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

/// Writes the changed parts of the replica's state.
///
/// # Errors
///
/// Same as [`write`].
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

/// Writes the known endpoints.
///
/// # Errors
///
/// Same as [`write`].
pub fn write_endpoints(database: &Database, records: &Vec<EndpointRecord>) -> Result<(), StoreError> {
    self::write(database, &[encode(ENDPOINTS, records)?])
}

/// Writes the known peer addresses.
///
/// # Errors
///
/// Same as [`write`].
pub fn write_peers(database: &Database, peers: &Vec<SocketAddrV4>) -> Result<(), StoreError> {
    self::write(database, &[encode(PEERS, peers)?])
}
