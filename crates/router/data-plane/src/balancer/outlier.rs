//! Outlier detection for one endpoint, based on two signals:
//!
//! * Consecutive failures eject the endpoint for a period that doubles with each failure. A response ends the
//!   ejection.
//! * A high failure rate, over recent requests of this router or of several routers, makes it an outlier for
//!   as long as the rate stays high. The caller decides whether outliers are skipped, since it knows all
//!   endpoints of the service ([`may_eject`]).

use passrelay_dissemination::{DecayingOutcomes, EndpointLoad, OutcomeCounts};
use std::time::Duration;

/// Minimum number of recent failures, after decay, for an endpoint to be an outlier.
const MIN_OUTLIER_FAILURES: f64 = 2.0;
/// Minimum ratio of failures to all outcomes, 0 to 1, for an endpoint to be an outlier.
const MIN_OUTLIER_FAILURE_RATIO: f64 = 0.25;
/// Maximum fraction of a service's endpoints that may be skipped as outliers. If more are outliers, the cause
/// is probably not the endpoints, and none is skipped.
const MAX_EJECTED_FRACTION: f64 = 0.4;
/// Ejection time after the first failure; doubles with each consecutive failure.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);
/// Upper bound on the ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);
/// Number of doublings after which the ejection time stops growing. The result is far above
/// [`MAX_EJECTION_TIME`] and does not overflow.
const MAX_EJECTION_DOUBLINGS: u32 = 8;

/// Outcomes of requests that are not in any load report to the fleet yet.
#[derive(Debug, Default)]
pub(super) struct UnreportedOutcomes {
    pub(super) answered: u32,
    pub(super) failed: u32,
}

/// Failure tracking and ejection state of one endpoint.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    /// Outcomes of this router's requests; older ones decay.
    outcomes: DecayingOutcomes,
    /// Outcomes of this router's requests since the last load report to the fleet.
    unreported: UnreportedOutcomes,
    /// Number of failures since the last response.
    consecutive_failures: u32,
    /// The endpoint is ejected until this time.
    ejected_until: Duration,
}

impl OutlierDetector {
    /// Counts a response; `is_error` is true if it indicates an error of the endpoint. In both cases the
    /// endpoint responds, so an ejection ends.
    pub(super) fn observe_response(&mut self, now: Duration, is_error: bool) {
        self.count(now, is_error);
        self.consecutive_failures = 0;
        self.ejected_until = Duration::ZERO;
    }

    /// Counts a request that failed without a complete response, and ejects the endpoint for the current
    /// ejection time.
    pub(super) fn observe_failure(&mut self, now: Duration) {
        self.count(now, true);
        let doublings = self.consecutive_failures.min(MAX_EJECTION_DOUBLINGS);
        let ejection_time = BASE_EJECTION_TIME * 2_u32.saturating_pow(doublings);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.ejected_until = now + ejection_time.min(MAX_EJECTION_TIME);
    }

    /// Returns whether the endpoint is currently ejected because of consecutive failures.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the failure rate is high, either over this router's requests or over those that
    /// several routers reported.
    pub(super) fn is_outlier(&self, now: Duration, peers: Option<&EndpointLoad>) -> bool {
        let OutcomeCounts { succeeded, failed } = self.outcomes.decayed(now);
        has_high_failure_rate(succeeded, failed)
            || peers
                .is_some_and(|load| has_high_failure_rate(f64::from(load.succeeded), f64::from(load.failed)))
    }

    /// Returns whether there are outcomes that are not in any load report yet.
    pub(super) fn has_unreported(&self) -> bool {
        self.unreported.answered + self.unreported.failed > 0
    }

    /// Returns the outcomes since the previous call, for a load report.
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

/// Returns whether the outliers of a service are few enough to be skipped.
pub(super) fn may_eject(outliers: usize, endpoints: usize) -> bool {
    outliers as f64 <= MAX_EJECTED_FRACTION * endpoints as f64
}
