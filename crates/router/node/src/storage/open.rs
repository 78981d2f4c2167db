//! Opens the store, creating it if there is none, and quarantines a damaged one.

use super::error::StoreError;
use super::format::{
    check_owner, encode, read, write, BOOTSTRAPPING, BOOTSTRAP_SEEDS, ENDPOINTS, FORMAT, FORMAT_VERSION,
    IDENTITY, PEERS, STATE, UNVERSIONED_FORMAT, WITNESS,
};
use crate::logging::{log_event, Quoted};
use passrelay_control_plane::replication::{DurableState, MemberId, ReplicatedState, WitnessState};
use passrelay_dissemination::EndpointRecord;
use redb::Database;
use std::net::SocketAddrV4;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Name of the database file.
pub const DATABASE_FILE: &str = "replica.redb";
/// Size of the database's cache, in bytes.
const CACHE_BYTES: usize = 1 << 20;
/// Delay between attempts to open a store on a full or failing disk.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How this machine is started. A newly created store records it; an existing store is not affected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// The whole fleet starts for the first time.
    Bootstrap {
        /// Seeds that all machines are configured with at this start.
        seeds: Vec<SocketAddrV4>,
    },
    /// The fleet is running or has run before.
    Join,
}

/// Contents of the store when it is opened.
pub struct StoreContents {
    /// Identity of this machine, drawn at random when the store was created.
    pub identity: MemberId,
    /// Whether the store was created while the fleet was bootstrapped.
    pub bootstrapping: bool,
    /// Seeds at the first start of the fleet. `None` if the store was created later or by a build that did not record them.
    pub bootstrap_seeds: Option<Vec<SocketAddrV4>>,
    /// Durable state of the replica.
    pub durable: DurableState,
    /// Last known endpoints. No decision depends on them.
    pub endpoints: Vec<EndpointRecord>,
    /// Last known peer addresses. No decision depends on them.
    pub peers: Vec<SocketAddrV4>,
}

/// An open store.
pub struct OpenStore {
    /// The database, for writes.
    pub database: Database,
    /// Contents when the store was opened.
    pub contents: StoreContents,
}

/// Opens the store, retrying on errors of the disk. A damaged store is quarantined and replaced with an empty one.
/// Returns `None` if a later version of this program or another program has written the store, because this
/// program must not modify it.
pub fn open_with_retry(data_dir: &Path, start: &StartKind) -> Option<OpenStore> {
    // A machine whose store was quarantined has lost its state and must not bootstrap a fleet, however it was
    // started.
    let mut start = start.clone();
    loop {
        match open(data_dir, &start) {
            Ok(opened) => return Some(opened),
            Err(error @ StoreError::NewerFormat { .. }) => {
                log_event!(
                    error,
                    "store_newer",
                    path = data_dir.join(DATABASE_FILE).display(),
                    problem = Quoted(&error),
                    advice = Quoted("start the program version that wrote the store, or configure an empty data directory"),
                );
                return None;
            }
            Err(error @ StoreError::ForeignDatabase { .. }) => {
                log_event!(
                    error,
                    "store_foreign",
                    path = data_dir.join(DATABASE_FILE).display(),
                    problem = Quoted(&error),
                    advice = Quoted("configure a data directory that no other program uses"),
                );
                return None;
            }
            Err(StoreError::Undecodable { key, .. }) => {
                log_event!(error, "store_damaged", part = key);
                quarantine(data_dir);
                start = StartKind::Join;
            }
            Err(error) if error.is_damage() => {
                log_event!(error, "store_damaged", problem = Quoted(&error));
                quarantine(data_dir);
                start = StartKind::Join;
            }
            Err(error) => {
                log_event!(warn, "store_refused", problem = Quoted(&error));
                thread::sleep(OPEN_RETRY_INTERVAL);
            }
        }
    }
}

/// Renames a damaged store, keeping it for inspection. The machine then joins again like one that has lost its disk.
fn quarantine(data_dir: &Path) {
    let paths = (1..).map(|number| data_dir.join(format!("{DATABASE_FILE}.damaged.{number}")));
    let unused_path = paths.into_iter().find(|path| !path.exists());
    let renamed = unused_path.map(|path| (std::fs::rename(data_dir.join(DATABASE_FILE), &path), path));
    match renamed {
        Some((Ok(()), path)) => {
            let advice = Quoted("keep the damaged store for inspection");
            log_event!(error, "store_put_aside", path = path.display(), advice = advice);
        }
        _ => thread::sleep(OPEN_RETRY_INTERVAL),
    }
}

/// Opens the store, without retrying on errors.
///
/// # Errors
///
/// Returns a [`StoreError`] if the store cannot be opened, read or created, or must not be opened by this program.
pub fn open(data_dir: &Path, start: &StartKind) -> Result<OpenStore, StoreError> {
    std::fs::create_dir_all(data_dir)?;
    let path = data_dir.join(DATABASE_FILE);
    let database =
        redb::Builder::new().set_cache_size(CACHE_BYTES).create(&path).map_err(StoreError::database)?;
    // Sync the directory, because the entry of a new file has to survive a power loss, too.
    std::fs::File::open(data_dir)?.sync_all()?;
    check_owner(&database)?;
    let format = read::<u32>(&database, FORMAT)?.unwrap_or(UNVERSIONED_FORMAT);
    if format > FORMAT_VERSION {
        return Err(StoreError::NewerFormat { found: format, supported: FORMAT_VERSION });
    }
    let identity = read_or_create_identity(&database, start)?;
    let bootstrapping = read(&database, BOOTSTRAPPING)?.unwrap_or(false);
    let bootstrap_seeds = read(&database, BOOTSTRAP_SEEDS)?;
    let durable = DurableState {
        witness: read::<WitnessState>(&database, WITNESS)?.unwrap_or_default(),
        state: read::<ReplicatedState>(&database, STATE)?.unwrap_or_default(),
    };
    // Endpoints register again with their next heartbeat, so undecodable records may be dropped.
    let endpoints = read(&database, ENDPOINTS).ok().flatten().unwrap_or_default();
    let peers = read(&database, PEERS).ok().flatten().unwrap_or_default();
    let contents = StoreContents { identity, bootstrapping, bootstrap_seeds, durable, endpoints, peers };
    Ok(OpenStore { database, contents })
}

fn read_or_create_identity(database: &Database, start: &StartKind) -> Result<MemberId, StoreError> {
    if let Some(identity) = read(database, IDENTITY)? {
        return Ok(identity);
    }
    // 0 is reserved for no member.
    let identity = MemberId(rand::random::<u64>().max(1));
    let mut values = vec![encode(IDENTITY, &identity)?, encode(FORMAT, &FORMAT_VERSION)?];
    match start {
        StartKind::Bootstrap { seeds } => {
            values.push(encode(BOOTSTRAPPING, &true)?);
            values.push(encode(BOOTSTRAP_SEEDS, seeds)?);
        }
        StartKind::Join => values.push(encode(BOOTSTRAPPING, &false)?),
    }
    write(database, &values)?;
    Ok(identity)
}
