//! A partial view of the fleet: descriptors of some sidecars, shuffled with every exchange.

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Descriptors that a view holds at most.
const CAPACITY: usize = 32;
/// A sidecar that nobody has heard for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(25);
/// A sidecar heard within this time is expected to answer.
const LIVELY: Duration = Duration::from_secs(3);

/// What one sidecar tells another of a third.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDescriptor {
    /// Its address for internal messages.
    #[serde(rename = "a")]
    pub address: SocketAddrV4,
    /// How long ago it was heard directly by whoever told of it, in ms, summed along the way.
    #[serde(rename = "t")]
    pub age_ms: u32,
}

/// The sidecars known to this one, each with the time at which it was last known to live.
#[derive(Debug)]
pub struct PartialView {
    own: SocketAddrV4,
    heard: BTreeMap<SocketAddrV4, Duration>,
}

impl PartialView {
    /// An empty view of the sidecar at `own`.
    pub fn new(own: SocketAddrV4) -> Self {
        PartialView { own, heard: BTreeMap::new() }
    }

    /// Notes that a peer was heard directly.
    pub fn heard(&mut self, now: Duration, peer: SocketAddrV4, rng: &mut impl Rng) {
        if peer != self.own {
            self.heard.insert(peer, now);
            self.shrink(rng);
        }
    }

    /// Takes in what another sidecar tells.
    pub fn merge(&mut self, now: Duration, sample: &[PeerDescriptor], rng: &mut impl Rng) {
        for descriptor in sample.iter().filter(|d| d.address != self.own) {
            let age = Duration::from_millis(u64::from(descriptor.age_ms));
            if age >= FORGET_AFTER {
                continue;
            }
            let at = now.saturating_sub(age);
            let known = self.heard.entry(descriptor.address).or_insert(at);
            *known = (*known).max(at);
        }
        self.shrink(rng);
    }

    /// Forgets who has been silent for long.
    pub fn expire(&mut self, now: Duration) {
        self.heard.retain(|_, at| now.saturating_sub(*at) < FORGET_AFTER);
    }

    /// A random selection to tell a peer.
    pub fn sample(&self, now: Duration, count: usize, rng: &mut impl Rng) -> Vec<PeerDescriptor> {
        let descriptor = |(address, at): (&SocketAddrV4, &Duration)| {
            let age_ms = u32::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u32::MAX);
            PeerDescriptor { address: *address, age_ms }
        };
        self.heard.iter().map(descriptor).choose_multiple(rng, count)
    }

    /// Random peers, first of those heard lately, then of the others.
    pub fn choose(&self, now: Duration, count: usize, rng: &mut impl Rng) -> Vec<SocketAddrV4> {
        let (lively, silent): (Vec<_>, Vec<_>) =
            self.heard.iter().partition(|(_, at)| now.saturating_sub(**at) < LIVELY);
        let lively: Vec<SocketAddrV4> = lively.into_iter().map(|(address, _)| *address).collect();
        let silent: Vec<SocketAddrV4> = silent.into_iter().map(|(address, _)| *address).collect();
        let mut chosen: Vec<SocketAddrV4> = lively.choose_multiple(rng, count).copied().collect();
        let rest = count - chosen.len();
        chosen.extend(silent.choose_multiple(rng, rest).copied());
        chosen
    }

    /// Number of known peers.
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    fn shrink(&mut self, rng: &mut impl Rng) {
        while self.heard.len() > CAPACITY {
            let Some(victim) = self.heard.keys().copied().choose(rng) else { return };
            self.heard.remove(&victim);
        }
    }
}
