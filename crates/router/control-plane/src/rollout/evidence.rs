//! Outcomes of one rollout as reported by sidecars, and the rollout's age.
//!
//! A report contains the cumulative counts of its sender and replaces the preceding one, so lost, late or duplicate
//! reports do not distort the counts. Nothing here is durable: a new controller obtains it again from the next reports.

use passrelay_dissemination::{Peer, RequestClass, RequestTally, RolloutReport};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Outcomes of requests of one class, at both versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Outcomes at the version in service before the rollout.
    pub base: RequestTally,
    /// Outcomes at the new version.
    pub target: RequestTally,
}

/// Outcomes at both versions, by request class.
pub type Comparisons<'a> = BTreeMap<&'a RequestClass, Comparison>;

/// The last report of a sidecar, and when it arrived.
#[derive(Debug)]
struct ReceivedReport {
    at: Duration,
    request_id: u64,
    report: RolloutReport,
}

/// What the sidecars have reported of one rollout.
#[derive(Debug)]
pub struct Evidence {
    /// Lower bound of the rollout's age at the time `age_observed_at`.
    age: Duration,
    age_observed_at: Duration,
    /// Last report of each process, by address and incarnation. A restarted process counts from zero, so the counts of
    /// its predecessor are kept.
    reports: BTreeMap<(SocketAddrV4, u64), ReceivedReport>,
}

impl Evidence {
    /// Creates the evidence of a rollout of the given age, without any report.
    pub fn new(now: Duration, age: Duration) -> Self {
        Evidence { age, age_observed_at: now, reports: BTreeMap::new() }
    }

    /// Returns a lower bound of the rollout's age.
    pub fn age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.age_observed_at)
    }

    /// Records a sidecar's report, unless a later one has already arrived. Raises the age of the rollout if the
    /// sidecar has known it for longer.
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

    /// Returns the outcomes of all sidecars together, by request class.
    pub fn comparisons(&self) -> Comparisons<'_> {
        let mut comparisons = Comparisons::new();
        for outcomes in self.reports.values().flat_map(|received| &received.report.outcomes) {
            let comparison = comparisons.entry(&outcomes.class).or_default();
            comparison.base.merge(&outcomes.base);
            comparison.target.merge(&outcomes.target);
        }
        comparisons
    }

    /// Returns the addresses of the sidecars that have reported at or after `since`.
    pub fn reporters(&self, since: Duration) -> BTreeSet<SocketAddrV4> {
        let recent = self.reports.iter().filter(|(_, received)| received.at >= since);
        recent.map(|((address, _), _)| *address).collect()
    }

    /// Returns whether all sidecars that have reported at or after `since` send requests only to the new version and
    /// have no requests in flight at others. Returns false if there is no such report.
    pub fn is_base_drained(&self, since: Duration) -> bool {
        let mut recent = self.reports.values().filter(|received| received.at >= since).peekable();
        recent.peek().is_some()
            && recent.all(|received| received.report.switched && received.report.base_in_flight == 0)
    }
}
