//! Outlier detection for one endpoint, by two signals.
//!
//! * Consecutive failures eject it for a time that doubles with each one; a response ends the ejection.
//! * A high failure rate, over recent own requests or those of several routers, makes it an outlier as long as the rate
//!   lasts. Whether outliers are passed over is decided by the caller, who sees all endpoints of the service
//!   ([`may_eject`]).

use passrelay_dissemination::{DecayingOutcomes, EndpointLoad, OutcomeCounts};
use std::time::Duration;

/// Fewest recent failures of an outlier, after decay ...
const MIN_OUTLIER_FAILURES: f64 = 2.0;
/// ... and lowest ratio of failures to outcomes, 0 to 1.
const MIN_OUTLIER_FAILURE_RATIO: f64 = 0.25;
/// Highest fraction of a service's endpoints that is passed over for failure rates. Where more are outliers the fault is
/// likely not the endpoints', and none is passed over.
const MAX_EJECTED_FRACTION: f64 = 0.4;
/// Time of ejection after a first failure; doubles with each consecutive one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);
/// Longest time of ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);
/// Doublings after which the time of ejection grows no more: far beyond [`MAX_EJECTION_TIME`], and without overflow.
const MAX_EJECTION_DOUBLINGS: u32 = 8;

/// Outcomes of requests that no load report to the fleet has held yet.
#[derive(Debug, Default)]
pub(super) struct UnreportedOutcomes {
    pub(super) answered: u32,
    pub(super) failed: u32,
}

/// Failures of one endpoint and what follows from them.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    /// Outcomes of own requests, decaying.
    outcomes: DecayingOutcomes,
    /// Outcomes of own requests since the last load report to the fleet.
    unreported: UnreportedOutcomes,
    /// Failures since the last response.
    consecutive_failures: u32,
    /// The endpoint is ejected before this time.
    ejected_until: Duration,
}

impl OutlierDetector {
    /// Counts a response; `is_error` where it shows an error of the endpoint. Either way the endpoint responds, so that
    /// an ejection ends.
    pub(super) fn observe_response(&mut self, now: Duration, is_error: bool) {
        self.count(now, is_error);
        self.consecutive_failures = 0;
        self.ejected_until = Duration::ZERO;
    }

    /// Counts a request that failed without a complete response, and ejects the endpoint for a while.
    pub(super) fn observe_failure(&mut self, now: Duration) {
        self.count(now, true);
        let doublings = self.consecutive_failures.min(MAX_EJECTION_DOUBLINGS);
        let ejection_time = BASE_EJECTION_TIME * 2_u32.saturating_pow(doublings);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.ejected_until = now + ejection_time.min(MAX_EJECTION_TIME);
    }

    /// Whether consecutive failures have ejected the endpoint for now.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether the failure rate is high, by own requests or by those that several routers reported.
    pub(super) fn is_outlier(&self, now: Duration, peers: Option<&EndpointLoad>) -> bool {
        let OutcomeCounts { succeeded, failed } = self.outcomes.decayed(now);
        has_high_failure_rate(succeeded, failed)
            || peers
                .is_some_and(|load| has_high_failure_rate(f64::from(load.succeeded), f64::from(load.failed)))
    }

    /// Whether there are outcomes that no load report has held.
    pub(super) fn has_unreported(&self) -> bool {
        self.unreported.answered + self.unreported.failed > 0
    }

    /// The outcomes since the last call, for a load report.
    pub(super) fn take_unreported(&mut self) -> UnreportedOutcomes {
        std::mem::take(&mut self.unreported)
    }

    fn count(&mut self, now: Duration, is_failure: bool) {
        let answered = u32::from(!is_failure);
        let failed = u32::from(is_failure);
        self.outcomes.add(now, answered, failed);
        self.unreported.answered += answered;
        self.unreported.failed += failed;
    }
}

fn has_high_failure_rate(answered: f64, failed: f64) -> bool {
    failed >= MIN_OUTLIER_FAILURES && failed >= MIN_OUTLIER_FAILURE_RATIO * (answered + failed)
}

/// Whether so few of a service's endpoints are outliers that these may be passed over.
pub(super) fn may_eject(outliers: usize, endpoints: usize) -> bool {
    outliers as f64 <= MAX_EJECTED_FRACTION * endpoints as f64
}
