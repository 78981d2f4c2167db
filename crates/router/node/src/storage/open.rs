//! Opens the store, creates it on an empty disk, and quarantines a damaged one.

use super::error::StoreError;
use super::format::{
    encode, read, write, BOOTSTRAPPING, ENDPOINTS, FORMAT, FORMAT_VERSION, IDENTITY, STATE,
    UNVERSIONED_FORMAT, WITNESS,
};
use crate::logging::{log_event, Quoted};
use passrelay_control_plane::replication::{DurableState, MemberId, ReplicatedState, WitnessState};
use passrelay_dissemination::EndpointRecord;
use redb::Database;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Name of the database's file.
pub const FILE: &str = "replica.redb";
/// Memory that the database may use for caching.
const CACHE_BYTES: usize = 1 << 20;
/// Interval between attempts to open a store that a full or failing disk refuses.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What the store holds when it is opened.
pub struct StoreContents {
    /// This machine's identity, drawn when the store was created.
    pub identity: MemberId,
    /// Whether the store was created while the whole fleet was bootstrapped.
    pub bootstrapping: bool,
    /// The replica's durable state.
    pub durable: DurableState,
    /// The endpoints that were known last; no decision rests on them.
    pub endpoints: Vec<EndpointRecord>,
}

/// An open store.
pub struct OpenStore {
    /// The database, for writes.
    pub database: Database,
    /// What it held when it was opened.
    pub contents: StoreContents,
}

/// Opens the store, and retries while the disk refuses. A damaged store is quarantined and an empty one takes
/// its place. `None` where a later version has written the store: this program must leave it alone.
pub fn open_with_retry(data_dir: &Path, bootstrap: bool) -> Option<OpenStore> {
    // A machine whose store was quarantined has lost its state, whatever the start was: it doesn't bootstrap
    // a fleet.
    let mut bootstrap = bootstrap;
    loop {
        match open(data_dir, bootstrap) {
            Ok(opened) => return Some(opened),
            Err(error @ StoreError::Newer { .. }) => {
                log_event!(
                    error,
                    "store_newer",
                    path = data_dir.join(FILE).display(),
                    problem = Quoted(&error),
                    advice = Quoted("start the version that wrote it, or an empty folder"),
                );
                return None;
            }
            Err(StoreError::Undecodable { key, .. }) => {
                log_event!(error, "store_damaged", part = key);
                quarantine(data_dir);
                bootstrap = false;
            }
            Err(error) if error.is_damage() => {
                log_event!(error, "store_damaged", problem = Quoted(&error));
                quarantine(data_dir);
                bootstrap = false;
            }
            Err(error) => {
                log_event!(warn, "store_refused", problem = Quoted(&error));
                thread::sleep(OPEN_RETRY_INTERVAL);
            }
        }
    }
}

/// Renames a damaged store, for inspection; the machine joins again as one that has lost its disk.
fn quarantine(data_dir: &Path) {
    let paths = (1..).map(|number| data_dir.join(format!("{FILE}.damaged.{number}")));
    let free = paths.into_iter().find(|path| !path.exists());
    let renamed = free.map(|path| (std::fs::rename(data_dir.join(FILE), &path), path));
    match renamed {
        Some((Ok(()), path)) => {
            let advice = Quoted("keep it for inspection");
            log_event!(error, "store_put_aside", path = path.display(), advice = advice);
        }
        _ => thread::sleep(OPEN_RETRY_INTERVAL),
    }
}

/// Opens the store once.
///
/// # Errors
///
/// Returns why it can't be opened or read.
pub fn open(data_dir: &Path, bootstrap: bool) -> Result<OpenStore, StoreError> {
    std::fs::create_dir_all(data_dir)?;
    let path = data_dir.join(FILE);
    let database =
        redb::Builder::new().set_cache_size(CACHE_BYTES).create(&path).map_err(StoreError::database)?;
    // The directory entry of a new file has to survive a power loss, too.
    std::fs::File::open(data_dir)?.sync_all()?;
    let format = read::<u32>(&database, FORMAT)?.unwrap_or(UNVERSIONED_FORMAT);
    if format > FORMAT_VERSION {
        return Err(StoreError::Newer { found: format, known: FORMAT_VERSION });
    }
    let identity = read_or_create_identity(&database, bootstrap)?;
    let bootstrapping = read(&database, BOOTSTRAPPING)?.unwrap_or(false);
    let durable = DurableState {
        witness: read::<WitnessState>(&database, WITNESS)?.unwrap_or_default(),
        state: read::<ReplicatedState>(&database, STATE)?.unwrap_or_default(),
    };
    // Endpoints register again by their heartbeats: one that can't be decoded is no loss.
    let endpoints = read(&database, ENDPOINTS).ok().flatten().unwrap_or_default();
    let contents = StoreContents { identity, bootstrapping, durable, endpoints };
    Ok(OpenStore { database, contents })
}

fn read_or_create_identity(database: &Database, bootstrap: bool) -> Result<MemberId, StoreError> {
    if let Some(identity) = read(database, IDENTITY)? {
        return Ok(identity);
    }
    // 0 stands for no member.
    let identity = MemberId(rand::random::<u64>().max(1));
    let values =
        [encode(IDENTITY, &identity)?, encode(BOOTSTRAPPING, &bootstrap)?, encode(FORMAT, &FORMAT_VERSION)?];
    write(database, &values)?;
    Ok(identity)
}
