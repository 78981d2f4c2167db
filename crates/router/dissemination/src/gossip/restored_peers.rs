//! Peers known before a restart, restored from the disk of a machine that has one.
//!
//! The partial view is held in memory only, and all machines may lose power at once. Only the seeds remain then, and the seeds
//! may partition the fleet into groups that do not know each other: non-voting machines that list only each other, and voters
//! that do the same. A voter that contacts the peers it knew before reconnects the groups.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of restored peers contacted with each exchange.
const PEERS_PER_EXCHANGE: usize = 4;
/// Restored peers are contacted for this long after the restart, because machines that lost power together do not start at the
/// same instant.
const CONTACT_PERIOD: Duration = Duration::from_secs(12);

/// Restored peers that have not sent a message since the restart, in the order in which they are contacted.
#[derive(Debug, Default)]
pub(super) struct RestoredPeers {
    pending: VecDeque<SocketAddrV4>,
    contact_until: Duration,
}

impl RestoredPeers {
    /// Schedules peers to be contacted from `now` on.
    pub(super) fn new(now: Duration, peers: Vec<SocketAddrV4>) -> Self {
        RestoredPeers { pending: peers.into(), contact_until: now + CONTACT_PERIOD }
    }

    /// Returns the peers to contact now, in round-robin order. Drops all peers once [`CONTACT_PERIOD`] is over.
    pub(super) fn next(&mut self, now: Duration) -> Vec<SocketAddrV4> {
        if now >= self.contact_until {
            self.pending.clear();
        }
        let count = PEERS_PER_EXCHANGE.min(self.pending.len());
        let next: Vec<SocketAddrV4> = self.pending.iter().take(count).copied().collect();
        self.pending.rotate_left(count);
        next
    }

    /// Records a message from a peer, which then need not be contacted any more.
    pub(super) fn record_contact(&mut self, peer: SocketAddrV4) {
        self.pending.retain(|pending| *pending != peer);
    }

    /// Returns the peers that have not sent a message since the restart and are still to be contacted.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.pending.iter().copied()
    }
}
