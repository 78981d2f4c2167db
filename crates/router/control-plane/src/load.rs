//! The load of endpoints over all sidecars: each tells the primary what it has out and what became of its requests, and
//! gets the sums back.
//!
//! Sums are a help for placing requests, nothing rests on them: they may be late, or missing while no primary leads.
//! Failures of an endpoint count only where two sidecars have told of some: one alone may be cut off itself.

use passrelay_dissemination::{EndpointLoad, OutcomeCounts, Outcomes};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// What a sidecar told is forgotten after this.
const FORGET_AFTER: Duration = Duration::from_millis(1_500);
/// Sums are made anew after this, so that many sidecars cost little.
const SUMS_LAST: Duration = Duration::from_millis(15);

/// A sidecar that told of a failure of an endpoint counts as a witness for this long.
const WITNESS_LASTS: Duration = Duration::from_secs(4);
/// Witnesses without whom failures don't count.
const WITNESSES: usize = 2;

/// Messages between sidecars and the primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// What a sidecar has out.
    #[serde(rename = "Tell")]
    Report {
        /// Names the message.
        #[serde(rename = "nonce")]
        request_id: u64,
        /// Endpoints at which it has something out.
        loads: Vec<EndpointLoad>,
    },
    /// What all sidecars have out.
    #[serde(rename = "Sums")]
    Totals {
        /// The message that is answered.
        #[serde(rename = "nonce")]
        request_id: u64,
        /// Sidecars that told lately.
        sidecars: u32,
        /// Endpoints at which anyone has something out.
        loads: Vec<EndpointLoad>,
    },
}

/// What sidecars told of the outcomes at one endpoint.
#[derive(Debug, Default)]
struct ToldOutcomes {
    outcomes: Outcomes,
    /// Who told of a failure, and when last.
    witnesses: BTreeMap<SocketAddrV4, Duration>,
}

impl ToldOutcomes {
    fn add(&mut self, now: Duration, from: SocketAddrV4, load: &EndpointLoad) {
        self.outcomes.add(now, load.answered, load.failed);
        if load.failed > 0 {
            self.witnesses.insert(from, now);
        }
    }

    /// Answered and failed requests, as far as they count now.
    fn counted(&mut self, now: Duration) -> (u32, u32) {
        self.witnesses.retain(|_, at| now.saturating_sub(*at) < WITNESS_LASTS);
        let OutcomeCounts { answered, failed } = self.outcomes.decayed(now);
        let failed = if self.witnesses.len() >= WITNESSES { failed } else { 0.0 };
        (answered.round() as u32, failed.round() as u32)
    }
}

/// Adds up what sidecars tell.
#[derive(Debug, Default)]
pub struct LoadTotals {
    told: BTreeMap<SocketAddrV4, (Duration, Vec<EndpointLoad>)>,
    outcomes: BTreeMap<u64, ToldOutcomes>,
    sums: Vec<EndpointLoad>,
    summed_at: Option<Duration>,
}

impl LoadTotals {
    /// Takes in what a sidecar has out, and answers with the sums.
    pub fn tell(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        request_id: u64,
        loads: Vec<EndpointLoad>,
    ) -> LoadMessage {
        for load in loads.iter().filter(|l| l.answered + l.failed > 0) {
            self.outcomes.entry(load.endpoint).or_default().add(now, from, load);
        }
        self.told.insert(from, (now, loads));
        if self.summed_at.is_none_or(|at| now.saturating_sub(at) >= SUMS_LAST) {
            self.sum(now);
        }
        let sidecars = u32::try_from(self.sidecars()).unwrap_or(u32::MAX);
        LoadMessage::Totals { request_id, sidecars, loads: self.sums.clone() }
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
            let zero = EndpointLoad { endpoint: load.endpoint, ..EndpointLoad::default() };
            let sum = sums.entry(load.endpoint).or_insert(zero);
            sum.pending_prompt_tokens = sum.pending_prompt_tokens.saturating_add(load.pending_prompt_tokens);
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
        }
        self.outcomes.retain(|endpoint, told| {
            let (answered, failed) = told.counted(now);
            if answered + failed > 0 {
                let zero = EndpointLoad { endpoint: *endpoint, ..EndpointLoad::default() };
                let sum = sums.entry(*endpoint).or_insert(zero);
                (sum.answered, sum.failed) = (answered, failed);
            }
            answered + failed > 0 || !told.witnesses.is_empty()
        });
        self.sums = sums.into_values().collect();
    }
}
