//! Peers that were known before a restart, from the disk of a machine that has one.
//!
//! A view is in memory only, and all machines may lose that at once. What is left then are seeds, and seeds may divide a fleet into groups
//! that know nothing of each other: machines without a vote that name one another, and voters that do. A voter that contacts whom it knew
//! before brings the groups together.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Peers contacted with each exchange.
const PEERS_PER_EXCHANGE: usize = 4;
/// Peers are contacted for this long after the restart: machines that lost power together don't start at the same instant.
const CONTACT_PERIOD: Duration = Duration::from_secs(12);

/// Peers that have not responded since the restart, in the order in which they are contacted.
#[derive(Debug, Default)]
pub(super) struct RestoredPeers {
    waiting: VecDeque<SocketAddrV4>,
    contact_until: Duration,
}

impl RestoredPeers {
    /// Peers that are to be contacted from now on.
    pub(super) fn new(now: Duration, peers: Vec<SocketAddrV4>) -> Self {
        RestoredPeers { waiting: peers.into(), contact_until: now + CONTACT_PERIOD }
    }

    /// The peers to contact now, each in its turn. None is left once the period is over.
    pub(super) fn next(&mut self, now: Duration) -> Vec<SocketAddrV4> {
        if now >= self.contact_until {
            self.waiting.clear();
        }
        let count = PEERS_PER_EXCHANGE.min(self.waiting.len());
        let next: Vec<SocketAddrV4> = self.waiting.iter().take(count).copied().collect();
        self.waiting.rotate_left(count);
        next
    }

    /// A message has come from a peer.
    pub(super) fn record_contact(&mut self, peer: SocketAddrV4) {
        self.waiting.retain(|waiting| *waiting != peer);
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.waiting.iter().copied()
    }
}
