//! Opens the store, creates it on an empty disk, and quarantines a damaged one.

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

/// Name of the database's file.
pub const FILE: &str = "replica.redb";
/// Memory that the database may use for caching.
const CACHE_BYTES: usize = 1 << 20;
/// Interval between attempts to open a store that a full or failing disk refuses.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How this machine is started. Recorded by a store that is created now, and of no effect on one that is there already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// The whole fleet starts for the first time.
    Bootstrap {
        /// The seeds that all machines are told at this start.
        seeds: Vec<SocketAddrV4>,
    },
    /// The fleet runs, or has run.
    Join,
}

/// What the store holds when it is opened.
pub struct StoreContents {
    /// This machine's identity, drawn when the store was created.
    pub identity: MemberId,
    /// Whether the store was created while the whole fleet was bootstrapped.
    pub bootstrapping: bool,
    /// The seeds of that first start. `None` where the store was not created then, or by a build that did not record them.
    pub bootstrap_seeds: Option<Vec<SocketAddrV4>>,
    /// The replica's durable state.
    pub durable: DurableState,
    /// The endpoints that were known last; no decision rests on them.
    pub endpoints: Vec<EndpointRecord>,
    /// The addresses of processes that were known last; no decision rests on them.
    pub peers: Vec<SocketAddrV4>,
}

/// An open store.
pub struct OpenStore {
    /// The database, for writes.
    pub database: Database,
    /// What it held when it was opened.
    pub contents: StoreContents,
}

/// Opens the store, and retries while the disk refuses. A damaged store is quarantined and an empty one takes
/// its place. `None` where a later version or another program has written the store: this program must leave
/// it alone.
pub fn open_with_retry(data_dir: &Path, start: &StartKind) -> Option<OpenStore> {
    // A machine whose store was quarantined has lost its state, whatever the start was: it doesn't bootstrap
    // a fleet.
    let mut start = start.clone();
    loop {
        match open(data_dir, &start) {
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
            Err(error @ StoreError::Foreign { .. }) => {
                log_event!(
                    error,
                    "store_foreign",
                    path = data_dir.join(FILE).display(),
                    problem = Quoted(&error),
                    advice = Quoted("give this process a folder of its own"),
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
pub fn open(data_dir: &Path, start: &StartKind) -> Result<OpenStore, StoreError> {
    std::fs::create_dir_all(data_dir)?;
    let path = data_dir.join(FILE);
    let database =
        redb::Builder::new().set_cache_size(CACHE_BYTES).create(&path).map_err(StoreError::database)?;
    // The directory entry of a new file has to survive a power loss, too.
    std::fs::File::open(data_dir)?.sync_all()?;
    check_owner(&database)?;
    let format = read::<u32>(&database, FORMAT)?.unwrap_or(UNVERSIONED_FORMAT);
    if format > FORMAT_VERSION {
        return Err(StoreError::Newer { found: format, known: FORMAT_VERSION });
    }
    let identity = read_or_create_identity(&database, start)?;
    let bootstrapping = read(&database, BOOTSTRAPPING)?.unwrap_or(false);
    let bootstrap_seeds = read(&database, BOOTSTRAP_SEEDS)?;
    let durable = DurableState {
        witness: read::<WitnessState>(&database, WITNESS)?.unwrap_or_default(),
        state: read::<ReplicatedState>(&database, STATE)?.unwrap_or_default(),
    };
    // Endpoints register again by their heartbeats: one that can't be decoded is no loss.
    let endpoints = read(&database, ENDPOINTS).ok().flatten().unwrap_or_default();
    let peers = read(&database, PEERS).ok().flatten().unwrap_or_default();
    let contents = StoreContents { identity, bootstrapping, bootstrap_seeds, durable, endpoints, peers };
    Ok(OpenStore { database, contents })
}

fn read_or_create_identity(database: &Database, start: &StartKind) -> Result<MemberId, StoreError> {
    if let Some(identity) = read(database, IDENTITY)? {
        return Ok(identity);
    }
    // 0 stands for no member.
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
