//! Storage of a voter: a redb database on a thread of its own, so that a stalled disk delays nothing but
//! itself.
//!
//! Writes are queued here and acknowledged by events; `writer` is the thread, `open` opens the database and
//! quarantines a damaged one, `format` knows keys and encodings.

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

/// The queue to the storage thread.
pub struct Storage {
    requests: mpsc::Sender<StoreRequest>,
}

impl Storage {
    /// Starts the thread. Events come through the channel. A store that is created now records how the machine
    /// was started.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error where no thread can be started.
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

    /// Queues a write of the replica.
    pub fn write(&self, write_id: WriteId, write: DurableWrite) {
        // Fails only after the thread has given the store up; the write then stays unacknowledged.
        let _ = self.requests.send(StoreRequest::Replica { write_id, write });
    }

    /// Queues a write of the endpoints for the next start. Nobody waits for it.
    pub fn persist_endpoints(&self, records: Vec<EndpointRecord>) {
        let _ = self.requests.send(StoreRequest::Endpoints(records));
    }

    /// Queues a write of the addresses of processes for the next start. Nobody waits for it.
    pub fn persist_peers(&self, peers: Vec<SocketAddrV4>) {
        let _ = self.requests.send(StoreRequest::Peers(peers));
    }
}

#[cfg(test)]
mod tests;
