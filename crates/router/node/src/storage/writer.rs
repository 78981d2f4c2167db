//! The storage thread: opens the store, then writes what is queued, one transaction a request.

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
    /// The store is open; the first event.
    Opened(Box<StoreContents>),
    /// A write has ended. One that has succeeded is synced.
    Written {
        /// Which write.
        write_id: WriteId,
        /// Whether it has succeeded.
        succeeded: bool,
    },
}

/// A request to the storage thread.
pub enum StoreRequest {
    /// A write of the replica, acknowledged by [`StorageEvent::Written`].
    Replica {
        /// Named by the acknowledgement.
        write_id: WriteId,
        /// What is written.
        write: DurableWrite,
    },
    /// The endpoints that are known; not acknowledged.
    Endpoints(Vec<EndpointRecord>),
    /// The addresses of processes that are known; not acknowledged.
    Peers(Vec<SocketAddrV4>),
}

/// Runs until the process ends, or the store has to be given up.
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
        // A failure is reported at once; the disk may take long to come back.
        if !acknowledge(events, &request, written.is_ok()) {
            return;
        }
        if let Err(error) = written {
            log_event!(error, "write_failed", problem = Quoted(&error));
            // A database that has seen a failed write accepts no further one before it is opened anew.
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

/// Reports the end of a write, if anybody waits for it. Returns false once the process no longer takes
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

fn reopen(data_dir: &Path, identity: MemberId) -> Option<Database> {
    let OpenStore { database, contents } = open_with_retry(data_dir, &StartKind::Join)?;
    if contents.identity != identity {
        // What this process has promised as an acceptor is lost with the old store. It acknowledges no
        // further write, so it leads nothing and accepts nothing; the next start joins as a new member.
        log_event!(error, "store_lost", advice = Quoted("restart this process"));
        return None;
    }
    Some(database)
}
