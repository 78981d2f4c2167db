//! The disk of a member of the core: a redb database on a thread of its own, so that a stalled disk holds up nothing
//! but itself.

use passrelay_control_plane::replication::{
    DurableState, DurableWrite, MemberId, ReplicatedState, WitnessState, WriteId,
};
use passrelay_dissemination::EndpointRecord;
use redb::{Database, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use thiserror::Error;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("replica");
const IDENTITY: &str = "identity";
/// Version of the form in which all values are written; stores from before it was kept are of version 1.
const FORMAT: &str = "format";
const OWN_FORMAT: u32 = 2;
const FIRST_FORMAT: u32 = 1;
/// Whether the machine was started with the whole system; written with the identity.
const FOUNDING: &str = "founding";
const WITNESS: &str = "witness";
const STATE: &str = "state";
const ENDPOINTS: &str = "endpoints";
const FILE: &str = "replica.redb";
/// Memory that the database may use for caching.
const CACHE_BYTES: usize = 1 << 20;
/// Pause before a disk that refused to open is tried again.
const REOPEN_AFTER: Duration = Duration::from_millis(250);

/// What goes wrong with the store.
#[derive(Debug, Error)]
enum StoreError {
    /// The database refuses.
    #[error("{0}")]
    Database(String),
    /// The file system refuses.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// A value can't be read.
    #[error("the value of '{0}' is damaged")]
    Damaged(&'static str),
    /// A later version of the program has written it.
    #[error("its format is {found}, this program knows {OWN_FORMAT} and earlier")]
    Newer {
        /// The version found.
        found: u32,
    },
}

fn database<E: std::fmt::Display>(error: E) -> StoreError {
    StoreError::Database(error.to_string())
}

/// What the disk's thread tells.
pub enum DiskEvent {
    /// The disk is open.
    Opened(Box<Opened>),
    /// A write has ended.
    Written(WriteId, bool),
}

/// What an opened disk holds.
pub struct Opened {
    /// This machine's identity.
    pub identity: MemberId,
    /// Whether this disk was first used when the whole system was started.
    pub founding: bool,
    /// The replica's part.
    pub durable: DurableState,
    /// The endpoints that were known last; nothing rests on them.
    pub endpoints: Vec<EndpointRecord>,
}

enum Request {
    Replica(WriteId, DurableWrite),
    Endpoints(Vec<EndpointRecord>),
}

/// The way to the disk's thread.
pub struct Storage {
    writes: mpsc::Sender<Request>,
}

impl Storage {
    /// Starts the thread. Events come through the channel, first of all [`DiskEvent::Opened`]. `bootstrap` tells that
    /// the whole system starts for the first time; an empty disk keeps that.
    ///
    /// # Errors
    ///
    /// Returns what the system says where no thread can be started.
    pub fn start(
        folder: PathBuf,
        bootstrap: bool,
        events: smol::channel::Sender<DiskEvent>,
    ) -> std::io::Result<Self> {
        let (writes, queue) = mpsc::channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || serve(&folder, bootstrap, &queue, &events))?;
        Ok(Storage { writes })
    }

    /// Puts a write into the queue.
    pub fn write(&self, write_id: WriteId, write: DurableWrite) {
        // The thread ends only with the process.
        let _ = self.writes.send(Request::Replica(write_id, write));
    }

    /// Keeps the endpoints that are known, for the next start. Nobody waits for it.
    pub fn keep_endpoints(&self, records: Vec<EndpointRecord>) {
        let _ = self.writes.send(Request::Endpoints(records));
    }
}

fn serve(
    folder: &Path,
    bootstrap: bool,
    queue: &mpsc::Receiver<Request>,
    events: &smol::channel::Sender<DiskEvent>,
) {
    let Some((mut database, opened)) = open_with_patience(folder, bootstrap) else { return };
    let identity = opened.identity;
    if events.send_blocking(DiskEvent::Opened(Box::new(opened))).is_err() {
        return;
    }
    while let Ok(request) = queue.recv() {
        let (write_id, done) = match &request {
            Request::Replica(write_id, write) => (Some(*write_id), write_replica(&database, write)),
            Request::Endpoints(records) => (None, write_endpoints(&database, records)),
        };
        // A failure is told at once; the disk may take long to come back.
        let told = write_id.is_none_or(|t| events.send_blocking(DiskEvent::Written(t, done.is_ok())).is_ok());
        if !told {
            return;
        }
        if let Err(e) = done {
            log::error!("event=write_failed problem=\"{e}\"");
            // A database that has seen a failed write takes no further one before it is opened anew.
            drop(database);
            let Some((reopened, found)) = open_with_patience(folder, false) else { return };
            if found.identity != identity {
                // What this process has promised is gone with the old store. It answers for no further write, so it
                // leads nothing and promises nothing; the next start joins as a new member.
                log::error!("event=store_lost advice=\"restart this process\"");
                return;
            }
            database = reopened;
        }
    }
}

/// Opens the database, and waits where the disk refuses (full, in trouble). `None` where this program must leave it alone.
fn open_with_patience(folder: &Path, bootstrap: bool) -> Option<(Database, Opened)> {
    // A machine whose store was put aside has lost its disk, at whatever start: it doesn't found.
    let mut bootstrap = bootstrap;
    loop {
        match open(folder, bootstrap) {
            Ok(opened) => return Some(opened),
            Err(e @ StoreError::Newer { .. }) => {
                log::error!(
                    "event=store_newer path={} problem=\"{e}\" advice=\"start the version that wrote it, or an empty folder\"",
                    folder.join(FILE).display()
                );
                return None;
            }
            Err(StoreError::Damaged(part)) => {
                log::error!("event=store_damaged part={part}");
                put_aside(folder);
                bootstrap = false;
            }
            Err(StoreError::Database(problem)) if is_damage(&problem) => {
                log::error!("event=store_damaged problem=\"{problem}\"");
                put_aside(folder);
                bootstrap = false;
            }
            Err(e) => {
                log::warn!("event=store_refused problem=\"{e}\"");
                thread::sleep(REOPEN_AFTER);
            }
        }
    }
}

fn is_damage(problem: &str) -> bool {
    let lower = problem.to_ascii_lowercase();
    lower.contains("corrupt") || lower.contains("invalid") || lower.contains("manual upgrade")
}

/// A store that doesn't open is kept for inspection; the machine joins again as one that lost its disk.
fn put_aside(folder: &Path) {
    let names = (1..).map(|number| folder.join(format!("{FILE}.damaged.{number}")));
    let kept = names.into_iter().find(|name| !name.exists());
    let renamed = kept.map(|kept| (std::fs::rename(folder.join(FILE), &kept), kept));
    match renamed {
        Some((Ok(()), kept)) => {
            log::error!("event=store_put_aside path={} advice=\"keep it for inspection\"", kept.display());
        }
        _ => thread::sleep(REOPEN_AFTER),
    }
}

fn open(folder: &Path, bootstrap: bool) -> Result<(Database, Opened), StoreError> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(FILE);
    let database = redb::Builder::new().set_cache_size(CACHE_BYTES).create(&path).map_err(self::database)?;
    std::fs::File::open(folder)?.sync_all()?;
    let format = read::<u32>(&database, FORMAT)?.unwrap_or(FIRST_FORMAT);
    if format > OWN_FORMAT {
        return Err(StoreError::Newer { found: format });
    }
    let identity = read_identity(&database, bootstrap)?;
    let founding = read(&database, FOUNDING)?.unwrap_or(false);
    let durable = DurableState {
        witness: read::<WitnessState>(&database, WITNESS)?.unwrap_or_default(),
        state: read::<ReplicatedState>(&database, STATE)?.unwrap_or_default(),
    };
    // Endpoints announce themselves again: what can't be read of them is no loss.
    let endpoints = read(&database, ENDPOINTS).ok().flatten().unwrap_or_default();
    Ok((database, Opened { identity, founding, durable, endpoints }))
}

fn read_identity(database: &Database, bootstrap: bool) -> Result<MemberId, StoreError> {
    if let Some(identity) = read(database, IDENTITY)? {
        return Ok(identity);
    }
    // 0 stands for nobody.
    let identity = MemberId(rand::random::<u64>().max(1));
    let values =
        [(IDENTITY, encode(&identity)?), (FOUNDING, encode(&bootstrap)?), (FORMAT, encode(&OWN_FORMAT)?)];
    write_values(database, &values)?;
    Ok(identity)
}

fn read<T: DeserializeOwned>(database: &Database, key: &'static str) -> Result<Option<T>, StoreError> {
    let transaction = database.begin_read().map_err(self::database)?;
    let table = match transaction.open_table(TABLE) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(e) => return Err(self::database(e)),
    };
    let Some(value) = table.get(key).map_err(self::database)? else { return Ok(None) };
    ciborium::from_reader(value.value()).map(Some).map_err(|_| StoreError::Damaged(key))
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(database)?;
    Ok(bytes)
}

fn write_replica(database: &Database, write: &DurableWrite) -> Result<(), StoreError> {
    let mut values = Vec::new();
    if let Some(witness) = &write.witness {
        values.push((WITNESS, encode(witness)?));
    }
    if let Some(state) = &write.state {
        values.push((STATE, encode(state.as_ref())?));
    }
    write_values(database, &values)
}

fn write_endpoints(database: &Database, records: &Vec<EndpointRecord>) -> Result<(), StoreError> {
    write_values(database, &[(ENDPOINTS, encode(records)?)])
}

/// One transaction, synced before it returns.
fn write_values(database: &Database, values: &[(&str, Vec<u8>)]) -> Result<(), StoreError> {
    let transaction = database.begin_write().map_err(self::database)?;
    {
        let mut table = transaction.open_table(TABLE).map_err(self::database)?;
        for (key, value) in values {
            table.insert(*key, value.as_slice()).map_err(self::database)?;
        }
    }
    transaction.commit().map_err(self::database)
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
