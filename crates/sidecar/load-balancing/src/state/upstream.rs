//! Per-upstream state as observed by this instance: endpoint entry, load, outcomes and ejection.

use crate::api::{ClassId, EndpointEntry, LoadReport, RequestId};
use crate::estimate::{OutcomeCounts, OutcomeHistory};

/// Smoothing factor of [`Upstream::service_time_ratio`], applied with each completed attempt.
const SERVICE_TIME_RATIO_SMOOTHING: f64 = 0.1;
/// Lower bound of a single sample of the service time ratio, so that one outlier does not dominate.
const MIN_SERVICE_TIME_RATIO: f64 = 0.2;
/// Upper bound of such a sample.
const MAX_SERVICE_TIME_RATIO: f64 = 5.0;

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// When it was sent, in seconds on the caller's clock.
    pub sent_at: f64,
}

/// A load report, with the state needed to correct it by later attempts.
#[derive(Clone, Copy, Debug)]
pub struct ObservedReport {
    pub report: LoadReport,
    /// When the report arrived.
    pub received_at: f64,
    /// This instance's attempts in flight at that time, which the report already counts.
    pub in_flight: usize,
}

/// The state of one upstream as observed by this instance.
pub struct Upstream {
    pub entry: EndpointEntry,
    /// Weight in the smooth weighted round robin, at least 0.
    pub load_factor: f64,
    /// Current weights in the smooth weighted round robin, one for each class in the settings. With one weight for all
    /// classes, a class would use up the turns that another class has accumulated.
    pub current_weights: Vec<f64>,
    /// When `load_factor` was last refreshed; minus infinity before the first time.
    pub load_factor_refreshed_at: f64,
    /// Attempts sent since `load_factor` was last refreshed.
    pub attempts_since_refresh: u32,
    pub last_report: Option<ObservedReport>,
    /// This instance's attempts without an outcome, in the order in which they were sent.
    pub in_flight: Vec<InFlightAttempt>,
    /// Sum of the loads of the requests in `in_flight`; exactly 0 if that is empty.
    pub outstanding_load: f64,
    /// Smoothed ratio of observed to predicted service time; above 1 for an upstream slower than the average.
    pub service_time_ratio: f64,
    /// When the upstream last gave any answer, including errors and rejections.
    pub last_contact: f64,
    /// Consecutive failures that lead to ejection, since the last served request; at most 3.
    pub consecutive_failures: u32,
    /// Connections lost while a request was in flight, since the last served request.
    pub lost_connections: u32,
    /// End of the ejection after the latest failure; minus infinity before the first one.
    pub ejected_until: f64,
    /// Until this time the upstream is treated as in slow start, since it may have restarted unnoticed.
    pub suspect_until: f64,
    /// Smoothed load factor by its reports, used instead of the latest report as that becomes older.
    pub baseline_load_factor: f64,
    /// Time before which no further attempt is sent in slow start.
    pub next_slow_start_send: f64,
    /// Multiplier of the load factor, reduced by time-outs and lost connections; 0.1 to 1.
    pub health: f64,
    /// Outcomes of attempts, by class; extended with the first outcome of a class.
    pub outcomes: Vec<OutcomeHistory>,
    /// When the health check in progress was sent; `None` if there is none.
    pub health_check_sent_at: Option<f64>,
    /// Whether the upstream is excluded from selection: stalled, failing, or in a failed zone.
    pub ejected: bool,
    /// Whether the upstream is in the subset that this instance prefers.
    pub in_subset: bool,
}

impl Upstream {
    /// Creates an upstream of which only the endpoint entry is known.
    pub fn new(entry: EndpointEntry, load_factor: f64) -> Self {
        Upstream {
            entry,
            load_factor,
            current_weights: Vec::new(),
            load_factor_refreshed_at: f64::NEG_INFINITY,
            attempts_since_refresh: 0,
            last_report: None,
            in_flight: Vec::new(),
            outstanding_load: 0.0,
            service_time_ratio: 1.0,
            last_contact: f64::NEG_INFINITY,
            consecutive_failures: 0,
            lost_connections: 0,
            ejected_until: f64::NEG_INFINITY,
            suspect_until: f64::NEG_INFINITY,
            baseline_load_factor: load_factor,
            next_slow_start_send: f64::NEG_INFINITY,
            health: 1.0,
            outcomes: Vec::new(),
            health_check_sent_at: None,
            ejected: false,
            in_subset: false,
        }
    }

    /// Returns the estimated number of requests at the upstream: the last report, corrected by this instance's
    /// attempts that were sent or completed since. `None` if the last report has no number of requests.
    pub fn concurrency(&self) -> Option<f64> {
        let observed = self.last_report?;
        let reported = observed.report.in_flight.or(observed.report.queued).filter(|v| v.is_finite())?;
        let own = self.in_flight.len() as f64;
        Some((reported + own - observed.in_flight as f64).max(own))
    }

    /// Returns the outcomes of a class, decayed to `now`.
    pub fn outcome_counts(&self, class: ClassId, now: f64) -> OutcomeCounts {
        self.outcomes.get(class.0).map_or(OutcomeCounts::default(), |history| history.counts(now))
    }

    /// Records the outcome of a completed attempt of a class.
    pub fn record_outcome(&mut self, class: ClassId, now: f64, served: bool) {
        if self.outcomes.len() <= class.0 {
            self.outcomes.resize(class.0 + 1, OutcomeHistory::new(now));
        }
        self.outcomes[class.0].record(now, served);
    }

    /// Records that an attempt was sent; `load` is that of its request.
    pub fn attempt_sent(&mut self, attempt: InFlightAttempt, load: f64) {
        self.in_flight.push(attempt);
        self.outstanding_load += load;
        self.attempts_since_refresh += 1;
    }

    /// Records that an attempt ended; `load` is the same as when it was sent.
    pub fn attempt_ended(&mut self, request: RequestId, attempt: u32, load: f64) {
        self.in_flight.retain(|other| (other.request, other.attempt) != (request, attempt));
        // Reset to 0 without attempts in flight, so that rounding errors do not accumulate.
        self.outstanding_load = if self.in_flight.is_empty() { 0.0 } else { self.outstanding_load - load };
    }

    /// Records the ratio of observed to predicted service time of a completed attempt.
    pub fn observe_service_time_ratio(&mut self, ratio: f64) {
        let sample = ratio.clamp(MIN_SERVICE_TIME_RATIO, MAX_SERVICE_TIME_RATIO);
        self.service_time_ratio += SERVICE_TIME_RATIO_SMOOTHING * (sample - self.service_time_ratio);
    }
}
