//! The storage thread: opens the store, then executes the queued requests, one transaction per request.

use super::error::StoreError;
use super::format::{write_endpoints, write_peers, write_replica};
use super::open::{open_with_retry, OpenStore, StartKind, StoreContents};
use crate::logging::{log_event, Quoted};
use passrelay_control_plane::replication::{DurableWrite, MemberId, WriteId};
use passrelay_dissemination::EndpointRecord;
use redb::Database;
use smol::channel::Sender;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::mpsc::Receiver;

/// An event of the storage thread.
pub enum StorageEvent {
    /// The store has been opened. Always the first event.
    Opened(Box<StoreContents>),
    /// A write has ended. If it succeeded, it is synced to disk.
    Written {
        /// Identifier of the write.
        write_id: WriteId,
        /// Whether the write succeeded.
        succeeded: bool,
    },
}

/// A request to the storage thread.
pub enum StoreRequest {
    /// Writes the replica's state; acknowledged by [`StorageEvent::Written`].
    Replica {
        /// Identifier of the write, echoed by the acknowledgement.
        write_id: WriteId,
        /// The state to write.
        write: DurableWrite,
    },
    /// Writes the known endpoints; not acknowledged.
    Endpoints(Vec<EndpointRecord>),
    /// Writes the known peer addresses; not acknowledged.
    Peers(Vec<SocketAddrV4>),
}

/// Executes requests until the process ends or the store has to be given up.
pub fn run(
    data_dir: &Path,
    start: &StartKind,
    queue: &Receiver<StoreRequest>,
    events: &Sender<StorageEvent>,
) {
    let Some(OpenStore { mut database, contents }) = open_with_retry(data_dir, start) else { return };
    let identity = contents.identity;
    if events.send_blocking(StorageEvent::Opened(Box::new(contents))).is_err() {
        return;
    }
    while let Ok(request) = queue.recv() {
        let written = write(&database, &request);
        // Report a failure before reopening, because the disk may take long to recover.
        if !acknowledge(events, &request, written.is_ok()) {
            return;
        }
        if let Err(error) = written {
            log_event!(error, "write_failed", problem = Quoted(&error));
            // After a failed write, the database accepts no further write until it is reopened.
            drop(database);
            let Some(reopened) = reopen(data_dir, identity) else { return };
            database = reopened;
        }
    }
}

fn write(database: &Database, request: &StoreRequest) -> Result<(), StoreError> {
    match request {
        StoreRequest::Replica { write, .. } => write_replica(database, write),
        StoreRequest::Endpoints(records) => write_endpoints(database, records),
        StoreRequest::Peers(peers) => write_peers(database, peers),
    }
}

/// Reports the end of a write if it is to be acknowledged. Returns false once the process no longer receives
/// events.
fn acknowledge(events: &Sender<StorageEvent>, request: &StoreRequest, succeeded: bool) -> bool {
    match request {
        StoreRequest::Replica { write_id, .. } => {
            let event = StorageEvent::Written { write_id: *write_id, succeeded };
            events.send_blocking(event).is_ok()
        }
        StoreRequest::Endpoints(_) | StoreRequest::Peers(_) => true,
    }
}

/// Reopens the store after a failed write. Returns `None` if the store cannot be used any more.
fn reopen(data_dir: &Path, identity: MemberId) -> Option<Database> {
    let OpenStore { database, contents } = open_with_retry(data_dir, &StartKind::Join)?;
    if contents.identity != identity {
        // The promises that this process made as an acceptor are lost with the old store. It therefore
        // acknowledges no further write, so it can neither lead nor accept. It joins as a new member at its next
        // start.
        log_event!(error, "store_lost", advice = Quoted("restart this process"));
        return None;
    }
    Some(database)
}
