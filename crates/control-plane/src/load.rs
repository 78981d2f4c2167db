//! The load of endpoints over all sidecars: each tells the primary what it has out, and gets the sums back.
//!
//! Sums are a help for placing requests, nothing rests on them: they may be late, or missing while no primary leads.

use passrelay_dissemination::EndpointLoad;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// What a sidecar told is forgotten after this.
const FORGET_AFTER: Duration = Duration::from_millis(1_500);
/// Sums are made anew after this, so that many sidecars cost little.
const SUMS_LAST: Duration = Duration::from_millis(15);

/// Messages between sidecars and the primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// What a sidecar has out.
    Tell {
        /// Names the message.
        nonce: u64,
        /// Endpoints at which it has something out.
        loads: Vec<EndpointLoad>,
    },
    /// What all sidecars have out.
    Sums {
        /// The message that is answered.
        nonce: u64,
        /// Sidecars that told lately.
        sidecars: u32,
        /// Endpoints at which anyone has something out.
        loads: Vec<EndpointLoad>,
    },
}

/// Adds up what sidecars tell.
#[derive(Debug, Default)]
pub struct LoadSums {
    told: BTreeMap<SocketAddrV4, (Duration, Vec<EndpointLoad>)>,
    sums: Vec<EndpointLoad>,
    summed_at: Option<Duration>,
}

impl LoadSums {
    /// Takes in what a sidecar has out, and answers with the sums.
    pub fn tell(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        nonce: u64,
        loads: Vec<EndpointLoad>,
    ) -> LoadMessage {
        self.told.insert(from, (now, loads));
        if self.summed_at.is_none_or(|at| now.saturating_sub(at) >= SUMS_LAST) {
            self.sum(now);
        }
        let sidecars = u32::try_from(self.sidecars()).unwrap_or(u32::MAX);
        LoadMessage::Sums { nonce, sidecars, loads: self.sums.clone() }
    }

    /// Sidecars that told lately.
    pub fn sidecars(&self) -> usize {
        self.told.len()
    }

    fn sum(&mut self, now: Duration) {
        self.summed_at = Some(now);
        self.told.retain(|_, (at, _)| now.saturating_sub(*at) < FORGET_AFTER);
        let mut sums: BTreeMap<u64, EndpointLoad> = BTreeMap::new();
        for load in self.told.values().flat_map(|(_, loads)| loads) {
            let zero = EndpointLoad { endpoint: load.endpoint, unread_tokens: 0, in_flight: 0 };
            let sum = sums.entry(load.endpoint).or_insert(zero);
            sum.unread_tokens = sum.unread_tokens.saturating_add(load.unread_tokens);
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
        }
        self.sums = sums.into_values().collect();
    }
}
