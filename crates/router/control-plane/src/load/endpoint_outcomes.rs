//! Fleet-wide outcomes of requests to one endpoint, and the quorum of sidecars required for its failures to count.

use passrelay_dissemination::{DecayingOutcomes, EndpointLoad};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A sidecar counts towards the quorum of failure reporters until it has reported no failure for this long.
const FAILURE_REPORTER_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of sidecars that must have reported failures of an endpoint before any of its failures count.
const FAILURE_REPORTER_QUORUM: usize = 2;

/// Outcomes at one endpoint that currently count, rounded to whole requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RoundedOutcomes {
    pub(super) answered: u32,
    pub(super) failed: u32,
}

impl RoundedOutcomes {
    pub(super) fn is_empty(self) -> bool {
        self.answered + self.failed == 0
    }
}

/// Outcomes of one endpoint as reported by sidecars, decaying over time.
#[derive(Debug, Default)]
pub(super) struct EndpointOutcomes {
    outcomes: DecayingOutcomes,
    /// Sidecars that have reported failures, with the time of their last such report.
    failure_reporters: BTreeMap<SocketAddrV4, Duration>,
}

impl EndpointOutcomes {
    /// Adds the outcomes of a sidecar's report.
    pub(super) fn add(&mut self, now: Duration, reporter: SocketAddrV4, load: &EndpointLoad) {
        self.outcomes.add(now, load.succeeded, load.failed);
        if load.failed > 0 {
            self.failure_reporters.insert(reporter, now);
        }
    }

    /// Returns the outcomes that count at `now`; failures are included only with a quorum of reporters.
    pub(super) fn rounded_outcomes(&mut self, now: Duration) -> RoundedOutcomes {
        self.failure_reporters.retain(|_, at| now.saturating_sub(*at) < FAILURE_REPORTER_TIMEOUT);
        let decayed = self.outcomes.decayed(now);
        let failed = if self.has_failure_quorum() { decayed.failed } else { 0.0 };
        RoundedOutcomes { answered: decayed.succeeded.round() as u32, failed: failed.round() as u32 }
    }

    /// Returns whether any sidecar has reported failures recently. Such a report counts towards a quorum, reached or
    /// not.
    pub(super) fn has_failure_reporters(&self) -> bool {
        !self.failure_reporters.is_empty()
    }

    fn has_failure_quorum(&self) -> bool {
        self.failure_reporters.len() >= FAILURE_REPORTER_QUORUM
    }
}
