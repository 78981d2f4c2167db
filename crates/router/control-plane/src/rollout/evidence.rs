//! Outcomes that sidecars have reported of one roll-out, and its age.
//!
//! A report holds everything that its sender has counted, and replaces the one before it: a report that is lost, late or comes twice
//! counts nothing twice. Nothing here is durable: a new controller has it again from the next reports.

use passrelay_dissemination::{Peer, RequestClass, RolloutReport, Tally};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Requests of one class, at both versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// At the version in service before the roll-out.
    pub base: Tally,
    /// At the new version.
    pub target: Tally,
}

/// Requests at both versions, by class.
pub type Comparisons<'a> = BTreeMap<&'a RequestClass, Comparison>;

/// The last report of a sidecar.
#[derive(Debug)]
struct ReceivedReport {
    at: Duration,
    request_id: u64,
    report: RolloutReport,
}

/// Everything that is known of one roll-out beside its record.
#[derive(Debug)]
pub struct Evidence {
    /// Age when `age_observed_at` was now; a lower bound.
    age: Duration,
    age_observed_at: Duration,
    /// By the process that reported: after a restart it counts from zero, and what it had counted before stays.
    reports: BTreeMap<(SocketAddrV4, u64), ReceivedReport>,
}

impl Evidence {
    /// No report yet, of a roll-out of this age.
    pub fn new(now: Duration, age: Duration) -> Self {
        Evidence { age, age_observed_at: now, reports: BTreeMap::new() }
    }

    /// How old the roll-out is at least.
    pub fn age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.age_observed_at)
    }

    /// Takes a sidecar's report unless a later one has come already.
    pub fn observe(&mut self, now: Duration, from: Peer, request_id: u64, report: RolloutReport) {
        let key = (from.address, from.incarnation.0);
        if self.reports.get(&key).is_some_and(|known| known.request_id > request_id) {
            return;
        }
        let known_for = Duration::from_millis(report.known_for_ms);
        if known_for > self.age(now) {
            (self.age, self.age_observed_at) = (known_for, now);
        }
        self.reports.insert(key, ReceivedReport { at: now, request_id, report });
    }

    /// Outcomes of all sidecars, by class.
    pub fn comparisons(&self) -> Comparisons<'_> {
        let mut comparisons = Comparisons::new();
        for outcomes in self.reports.values().flat_map(|received| &received.report.outcomes) {
            let comparison = comparisons.entry(&outcomes.class).or_default();
            comparison.base.add(&outcomes.base);
            comparison.target.add(&outcomes.target);
        }
        comparisons
    }

    /// The sidecars with a report since `since`.
    pub fn reporters(&self, since: Duration) -> BTreeSet<SocketAddrV4> {
        let recent = self.reports.iter().filter(|(_, received)| received.at >= since);
        recent.map(|((address, _), _)| *address).collect()
    }

    /// Whether all sidecars with a report since `since` send to the new version alone and have nothing left at others. False
    /// without any report.
    pub fn is_base_drained(&self, since: Duration) -> bool {
        let mut recent = self.reports.values().filter(|received| received.at >= since).peekable();
        recent.peek().is_some()
            && recent.all(|received| received.report.switched && received.report.base_in_flight == 0)
    }
}
