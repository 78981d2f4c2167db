//! Peer sampling: a partial view of the fleet, a bounded random subset of the sidecars that changes with every exchange.
//!
//! No sidecar knows the whole membership. Each digest carries a random sample of the sender's view, so views mix and a new
//! sidecar becomes known everywhere. A descriptor carries the age of the last direct contact, summed along its way, so that a
//! dead sidecar ages out although others still pass it on. This is no failure detector: nothing may rest on a peer being in the
//! view or missing from it.

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Bound of the peers in a view.
const MAX_PEERS: usize = 32;
/// A peer that nobody has had contact with for this long leaves the view.
const PEER_TIMEOUT: Duration = Duration::from_secs(25);
/// A peer in contact within this time is expected to respond and selected before others.
const RESPONSIVE_AGE: Duration = Duration::from_secs(3);

/// A sidecar in a sample of a partial view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDescriptor {
    /// Its address for internal messages.
    #[serde(rename = "a")]
    pub address: SocketAddrV4,
    /// Age of the last direct contact with it by any sidecar on the descriptor's way here, in ms.
    #[serde(rename = "t")]
    pub age_ms: u32,
}

/// The sidecars known to this one, each with the time of the last contact.
#[derive(Debug)]
pub struct PartialView {
    own: SocketAddrV4,
    /// At most [`MAX_PEERS`], never this sidecar itself. In the order of addresses, as random selections depend on it.
    last_contact: BTreeMap<SocketAddrV4, Duration>,
}

impl PartialView {
    /// An empty view of the sidecar at `own`.
    pub fn new(own: SocketAddrV4) -> Self {
        PartialView { own, last_contact: BTreeMap::new() }
    }

    /// Records that a message came from a peer directly.
    pub fn record_contact(&mut self, now: Duration, peer: SocketAddrV4, rng: &mut impl Rng) {
        if peer != self.own {
            self.last_contact.insert(peer, now);
            self.evict(rng);
        }
    }

    /// Merges a sample of another sidecar's view; of two contacts with a peer the later counts.
    pub fn merge(&mut self, now: Duration, sample: &[PeerDescriptor], rng: &mut impl Rng) {
        for descriptor in sample.iter().filter(|descriptor| descriptor.address != self.own) {
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

    /// A random sample of at most `count` descriptors, to be sent to a peer.
    pub fn sample(&self, now: Duration, count: usize, rng: &mut impl Rng) -> Vec<PeerDescriptor> {
        let descriptor = |(address, contact): (&SocketAddrV4, &Duration)| {
            let age_ms = u32::try_from(now.saturating_sub(*contact).as_millis()).unwrap_or(u32::MAX);
            PeerDescriptor { address: *address, age_ms }
        };
        self.last_contact.iter().map(descriptor).choose_multiple(rng, count)
    }

    /// At most `count` random peers to send to: responsive ones first, then others.
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

    /// The addresses of all peers in the view.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.last_contact.keys().copied()
    }

    /// Number of peers in the view.
    pub fn len(&self) -> usize {
        self.last_contact.len()
    }

    /// Whether the view is empty.
    pub fn is_empty(&self) -> bool {
        self.last_contact.is_empty()
    }

    /// Removes random peers beyond [`MAX_PEERS`], which keeps the view a random subset of the fleet.
    fn evict(&mut self, rng: &mut impl Rng) {
        while self.last_contact.len() > MAX_PEERS {
            let Some(evicted) = self.last_contact.keys().copied().choose(rng) else { return };
            self.last_contact.remove(&evicted);
        }
    }
}
