//! Per-upstream state: endpoint entry, load, outcomes and ejection, as this instance observes them.

use crate::api::{ClassId, EndpointEntry, LoadReport, RequestId};
use crate::estimate::{OutcomeCounts, OutcomeHistory};

/// Smoothing factor of [`Upstream::service_time_ratio`], for each completed attempt.
const SERVICE_TIME_RATIO_SMOOTHING: f64 = 0.1;
/// Bounds of a single sample of the service time ratio, so that one outlier does not dominate.
const MIN_SERVICE_TIME_RATIO: f64 = 0.2;
const MAX_SERVICE_TIME_RATIO: f64 = 5.0;

/// Identifies one attempt that has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// When it was sent, in seconds on the caller's clock.
    pub sent_at: f64,
}

/// A load report with what is needed to correct it later.
#[derive(Clone, Copy, Debug)]
pub struct ObservedReport {
    pub report: LoadReport,
    /// When it arrived.
    pub received_at: f64,
    /// Own attempts in flight at that moment; the report already counts them.
    pub in_flight: usize,
}

/// One server as this instance observes it.
pub struct Upstream {
    pub entry: EndpointEntry,
    /// Weight in the smooth weighted round robin, at least 0.
    pub load_factor: f64,
    /// Round robin state by class: one weight for all classes would let a class spend the turns that another
    /// has accumulated. As long as the settings have classes.
    pub current_weights: Vec<f64>,
    pub load_factor_refreshed_at: f64,
    pub attempts_since_refresh: u32,
    pub last_report: Option<ObservedReport>,
    /// Own attempts without an outcome, in the order in which they were sent.
    pub in_flight: Vec<InFlightAttempt>,
    /// Sum of the costs of `in_flight`; 0 when that is empty.
    pub outstanding_cost: f64,
    /// Mean of observed by predicted service time: above 1, this upstream is slower than the average.
    pub service_time_ratio: f64,
    /// When it last answered anything, an error included.
    pub last_contact: f64,
    /// Failures that eject, in a row since the last served answer; at most 3.
    pub consecutive_failures: u32,
    /// Connections that broke under a request since the last served answer.
    pub broken_connections: u32,
    pub ejected_until: f64,
    /// Until then it may have restarted unnoticed and is treated as in slow start.
    pub suspect_until: f64,
    /// Mean load factor by its reports, for the time after a report has aged.
    pub baseline_load_factor: f64,
    /// In slow start, no further attempt before this.
    pub next_slow_start_send: f64,
    /// Multiplier of the load factor, lowered by time-outs and broken connections; 0.1 to 1.
    pub health: f64,
    /// By class; grows with the first outcome of a class.
    pub outcomes: Vec<OutcomeHistory>,
    /// When a health check was sent that has no result yet.
    pub health_check_sent_at: Option<f64>,
    /// Excluded from selection: stalled, failing, or in a failed zone.
    pub ejected: bool,
    /// In the subset of upstreams that this instance prefers.
    pub in_subset: bool,
}

impl Upstream {
    /// An upstream of which nothing but its endpoint entry is known.
    pub fn new(entry: EndpointEntry, load_factor: f64) -> Self {
        Upstream {
            entry,
            load_factor,
            current_weights: Vec::new(),
            load_factor_refreshed_at: f64::NEG_INFINITY,
            attempts_since_refresh: 0,
            last_report: None,
            in_flight: Vec::new(),
            outstanding_cost: 0.0,
            service_time_ratio: 1.0,
            last_contact: f64::NEG_INFINITY,
            consecutive_failures: 0,
            broken_connections: 0,
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

    /// Estimated requests at the server: the last report, corrected by own attempts sent and completed since.
    /// `None` without a report of active or queued requests.
    pub fn concurrency(&self) -> Option<f64> {
        let observed = self.last_report?;
        let reported = observed.report.in_flight.or(observed.report.queued).filter(|v| v.is_finite())?;
        let own = self.in_flight.len() as f64;
        Some((reported + own - observed.in_flight as f64).max(own))
    }

    /// Decayed outcomes of a class.
    pub fn outcome_counts(&self, class: ClassId, now: f64) -> OutcomeCounts {
        self.outcomes.get(class.0).map_or(OutcomeCounts::default(), |history| history.counts(now))
    }

    /// Records whether a completed attempt of a class was served.
    pub fn record_outcome(&mut self, class: ClassId, now: f64, served: bool) {
        if self.outcomes.len() <= class.0 {
            self.outcomes.resize(class.0 + 1, OutcomeHistory::new(now));
        }
        self.outcomes[class.0].record(now, served);
    }

    /// Records an attempt that was sent.
    pub fn attempt_sent(&mut self, attempt: InFlightAttempt, cost: f64) {
        self.in_flight.push(attempt);
        self.outstanding_cost += cost;
        self.attempts_since_refresh += 1;
    }

    /// Records that an attempt ended; `cost` as when it was sent.
    pub fn attempt_ended(&mut self, request: RequestId, attempt: u32, cost: f64) {
        self.in_flight.retain(|other| (other.request, other.attempt) != (request, attempt));
        // Without attempts in flight the load is 0, whatever rounding errors have accumulated.
        self.outstanding_cost = if self.in_flight.is_empty() { 0.0 } else { self.outstanding_cost - cost };
    }

    /// Records the ratio of observed to predicted service time of a completed attempt.
    pub fn observe_service_time_ratio(&mut self, ratio: f64) {
        let sample = ratio.clamp(MIN_SERVICE_TIME_RATIO, MAX_SERVICE_TIME_RATIO);
        self.service_time_ratio += SERVICE_TIME_RATIO_SMOOTHING * (sample - self.service_time_ratio);
    }
}
