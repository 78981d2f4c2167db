//! Persists the addresses of known peers, so that a machine that lost power together with all others finds them again regardless
//! of the seeds configured on each.
//!
//! Persistence is best effort: no task waits for the write, and no decision depends on the stored addresses.

use crate::storage::Storage;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Interval at which the known peers are compared with the stored ones. Bounds the write rate, because partial views change with
/// every exchange.
pub const PEER_PERSISTENCE_INTERVAL: Duration = Duration::from_secs(3);

/// Tracks the peers that are stored.
#[derive(Default)]
pub struct PeerPersistence {
    /// The peers that were last passed to the storage.
    persisted: RefCell<BTreeSet<SocketAddrV4>>,
}

impl PeerPersistence {
    /// Passes the peers to the storage if they have changed since the last call. An empty set never overwrites stored peers.
    pub fn persist_if_changed(&self, storage: &Storage, peers: BTreeSet<SocketAddrV4>) {
        let mut persisted = self.persisted.borrow_mut();
        if peers.is_empty() || *persisted == peers {
            return;
        }
        storage.persist_peers(peers.iter().copied().collect());
        *persisted = peers;
    }
}
