//! Peer sampling: a partial view of the fleet, which is a bounded random subset of the sidecars that changes with every exchange.
//!
//! No sidecar knows the complete membership. Each digest carries a random sample of the sender's view, so that views mix and a
//! new sidecar becomes known everywhere. A descriptor carries the age of the last direct contact, accumulated over all hops, so
//! that a dead sidecar ages out even while others still forward its descriptor. This is not a failure detector: nothing may
//! depend on a peer's presence in the view or absence from it.

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum number of peers in a view.
const MAX_PEERS: usize = 32;
/// A peer is removed from the view once no sidecar is known to have had contact with it for this long.
const PEER_TIMEOUT: Duration = Duration::from_secs(25);
/// A peer whose last contact is more recent than this is expected to respond and is selected before others.
const RESPONSIVE_AGE: Duration = Duration::from_secs(3);

/// A peer in a sample of a partial view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDescriptor {
    /// Internal address of the peer.
    #[serde(rename = "a")]
    pub address: SocketAddrV4,
    /// Age of the last direct contact with the peer by any sidecar that forwarded the descriptor, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u32,
}

/// The sidecars that this sidecar knows, each with the time of the last contact.
#[derive(Debug)]
pub struct PartialView {
    own_address: SocketAddrV4,
    /// At most [`MAX_PEERS`] entries, never this sidecar itself. Ordered by address, because seeded random selections depend on
    /// the iteration order.
    last_contact: BTreeMap<SocketAddrV4, Duration>,
}

impl PartialView {
    /// Creates an empty view for the sidecar at `own_address`.
    pub fn new(own_address: SocketAddrV4) -> Self {
        PartialView { own_address, last_contact: BTreeMap::new() }
    }

    /// Records the receipt of a message directly from a peer.
    pub fn record_contact(&mut self, now: Duration, peer: SocketAddrV4, rng: &mut impl Rng) {
        if peer != self.own_address {
            self.last_contact.insert(peer, now);
            self.evict(rng);
        }
    }

    /// Merges a sample of another sidecar's view, keeping the most recent contact with each peer.
    pub fn merge(&mut self, now: Duration, sample: &[PeerDescriptor], rng: &mut impl Rng) {
        for descriptor in sample.iter().filter(|descriptor| descriptor.address != self.own_address) {
            let age = Duration::from_millis(u64::from(descriptor.age_ms));
            if age >= PEER_TIMEOUT {
                continue;
            }
            let contact = now.saturating_sub(age);
            let known = self.last_contact.entry(descriptor.address).or_insert(contact);
            *known = (*known).max(contact);
        }
        self.evict(rng);
    }

    /// Removes peers without contact for `PEER_TIMEOUT`.
    pub fn expire(&mut self, now: Duration) {
        self.last_contact.retain(|_, contact| now.saturating_sub(*contact) < PEER_TIMEOUT);
    }

    /// Returns a random sample of at most `count` descriptors to send to a peer.
    pub fn sample(&self, now: Duration, count: usize, rng: &mut impl Rng) -> Vec<PeerDescriptor> {
        let descriptor = |(address, contact): (&SocketAddrV4, &Duration)| {
            let age_ms = u32::try_from(now.saturating_sub(*contact).as_millis()).unwrap_or(u32::MAX);
            PeerDescriptor { address: *address, age_ms }
        };
        self.last_contact.iter().map(descriptor).choose_multiple(rng, count)
    }

    /// Returns at most `count` random peers to send to, preferring responsive ones.
    pub fn select(&self, now: Duration, count: usize, rng: &mut impl Rng) -> Vec<SocketAddrV4> {
        let mut responsive = Vec::new();
        let mut unresponsive = Vec::new();
        for (address, contact) in &self.last_contact {
            let is_responsive = now.saturating_sub(*contact) < RESPONSIVE_AGE;
            let group = if is_responsive { &mut responsive } else { &mut unresponsive };
            group.push(*address);
        }
        let mut selected: Vec<SocketAddrV4> = responsive.choose_multiple(rng, count).copied().collect();
        let remaining = count - selected.len();
        selected.extend(unresponsive.choose_multiple(rng, remaining).copied());
        selected
    }

    /// Returns the internal addresses of all peers in the view, in ascending order.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.last_contact.keys().copied()
    }

    /// Returns the number of peers in the view.
    pub fn len(&self) -> usize {
        self.last_contact.len()
    }

    /// Returns whether the view holds no peer.
    pub fn is_empty(&self) -> bool {
        self.last_contact.is_empty()
    }

    /// Removes random peers beyond [`MAX_PEERS`], so that the view remains a random subset of the fleet.
    fn evict(&mut self, rng: &mut impl Rng) {
        while self.last_contact.len() > MAX_PEERS {
            let Some(evicted) = self.last_contact.keys().copied().choose(rng) else { return };
            self.last_contact.remove(&evicted);
        }
    }
}
