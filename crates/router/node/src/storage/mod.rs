//! Storage of a voter: a redb database on a dedicated thread, so that a stalled disk delays only the storage
//! itself.
//!
//! Writes are queued here and acknowledged by events. `writer` runs the thread, `open` opens the database and
//! quarantines a damaged one, and `format` defines keys and encodings.

mod error;
mod format;
mod open;
mod writer;

use passrelay_control_plane::replication::{DurableWrite, WriteId};
use passrelay_dissemination::EndpointRecord;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use writer::StoreRequest;

pub use open::{StartKind, StoreContents};
pub use writer::StorageEvent;

/// Handle of the storage thread, which queues requests to it.
pub struct Storage {
    requests: mpsc::Sender<StoreRequest>,
}

impl Storage {
    /// Starts the storage thread, which reports its events to `events`. If the store does not exist yet, it is
    /// created and records `start`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start(
        data_dir: PathBuf,
        start: StartKind,
        events: smol::channel::Sender<StorageEvent>,
    ) -> std::io::Result<Self> {
        let (requests, queue) = mpsc::channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || writer::run(&data_dir, &start, &queue, &events))?;
        Ok(Storage { requests })
    }

    /// Queues a write of the replica's state, acknowledged by [`StorageEvent::Written`].
    pub fn write(&self, write_id: WriteId, write: DurableWrite) {
        // Fails only after the thread has given up the store. The write then remains unacknowledged.
        let _ = self.requests.send(StoreRequest::Replica { write_id, write });
    }

    /// Queues a write of the endpoints for the next start. It is not acknowledged.
    pub fn persist_endpoints(&self, records: Vec<EndpointRecord>) {
        let _ = self.requests.send(StoreRequest::Endpoints(records));
    }

    /// Queues a write of the peer addresses for the next start. It is not acknowledged.
    pub fn persist_peers(&self, peers: Vec<SocketAddrV4>) {
        let _ = self.requests.send(StoreRequest::Peers(peers));
    }
}

#[cfg(test)]
mod tests;
