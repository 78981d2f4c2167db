//! Persistence of the addresses of known processes, so that a machine that lost power with all others finds them again, whatever
//! the seeds of each name.
//!
//! Best effort: nobody waits for the write, and no decision rests on what was stored.

use crate::storage::Storage;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Interval of the check whether the known peers differ from what is stored; bounds the write rate. Views change with every exchange.
pub const PEER_PERSISTENCE_INTERVAL: Duration = Duration::from_secs(3);

/// Which peers are stored.
#[derive(Default)]
pub struct PeerPersistence {
    /// The peers that were last handed to the storage.
    persisted: RefCell<BTreeSet<SocketAddrV4>>,
}

impl PeerPersistence {
    /// Hands the peers to the storage, if they have changed since the last time. None are never stored over some.
    pub fn persist_if_changed(&self, storage: &Storage, peers: BTreeSet<SocketAddrV4>) {
        let mut persisted = self.persisted.borrow_mut();
        if peers.is_empty() || *persisted == peers {
            return;
        }
        storage.persist_peers(peers.iter().copied().collect());
        *persisted = peers;
    }
}
