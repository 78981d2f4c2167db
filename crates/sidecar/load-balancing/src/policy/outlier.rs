//! Outlier ejection: which upstreams and zones are excluded from selection.
//!
//! An upstream is ejected after failures in a row, for a time that doubles, and while it is stalled. When
//! most of a zone fails, all of it is ejected but for trial requests. When nearly all upstreams look
//! unhealthy, the fault is elsewhere and none is ejected.

use crate::api::{EndpointState, UpstreamId, ZoneId};
use crate::state::{Balancer, Upstream};
use std::collections::BTreeMap;

/// Failures in a row after which the ejection time no longer doubles.
const MAX_EJECTION_EXPONENT: u32 = 3;
/// Ejection time, in connect time-outs, before it doubles for each failure.
const EJECTION_TIME_CONNECT_TIMEOUTS: f64 = 2.0;
/// An attempt without an outcome for this many times its expected time, while peers answer, means a stall or
/// a very heavy request.
pub(super) const STALL_TIMEOUT_MEDIANS: f64 = 3.0;
/// The stall timeout is `1 + this / attempts in flight` expected times, at most [`STALL_TIMEOUT_MEDIANS`]: an
/// upstream with many attempts in flight stalls all of them.
const STALL_TIMEOUT_SPREAD: f64 = 4.0;
/// Failing upstreams from which a zone may count as failed: one or two may fail on their own.
const MIN_FAILING_PER_FAILED_ZONE: usize = 3;
/// With more than this part of all upstreams unhealthy, none is ejected; the loss of one zone of two stays
/// below it.
const PANIC_THRESHOLD: f64 = 0.8;

/// Counts of one pass over the upstreams.
#[derive(Default)]
pub(super) struct Survey {
    /// Upstreams that run, ejected or not.
    pub running: usize,
    /// Upstreams that run and are not ejected.
    pub usable: usize,
    /// Health checks without a result.
    pub health_checks: usize,
    /// Own attempts in flight at upstreams that are not ejected.
    pub in_flight: usize,
}

/// Failing and responsive upstreams, of a zone or of all.
#[derive(Clone, Copy, Default)]
struct HealthCounts {
    failing: usize,
    responsive: usize,
}

impl HealthCounts {
    fn add(&mut self, failing: bool, responsive: bool) {
        self.failing += usize::from(failing);
        self.responsive += usize::from(responsive);
    }

    /// Whether a zone with these counts is failed: most of it fails, and elsewhere most is responsive.
    /// Upstreams without recent contact count for neither.
    fn is_failed_zone(self, all: HealthCounts) -> bool {
        self.failing >= MIN_FAILING_PER_FAILED_ZONE
            && self.failing > self.responsive
            && all.failing - self.failing < all.responsive - self.responsive
    }
}

impl Balancer {
    /// Records a failure: ejects an upstream for a time that doubles; one trial request brings it back.
    pub(super) fn record_failure(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        upstream.consecutive_failures = (upstream.consecutive_failures + 1).min(MAX_EJECTION_EXPONENT);
        let base = self.settings.connect_timeout * EJECTION_TIME_CONNECT_TIMEOUTS;
        upstream.ejected_until = self.now + base * f64::from(1 << upstream.consecutive_failures);
    }

    /// Whether an upstream has not answered for longer than its attempts in flight explain. A paused server
    /// keeps its load factor, so it would go on getting requests. One that is busy with a heavy request is
    /// not stalled before that could be over.
    fn is_stalled(&self, upstream: &Upstream) -> bool {
        let Some(oldest) = upstream.in_flight.first() else { return false };
        let median = self.response_times.median;
        let hinted = self.requests.get(&oldest.request).filter(|request| request.cost.is_some());
        let expected = hinted.map_or(0.0, |request| request.expected_time).max(median);
        let spread = STALL_TIMEOUT_SPREAD / upstream.in_flight.len() as f64;
        let timeout = (1.0 + spread).min(STALL_TIMEOUT_MEDIANS) * expected;
        median > 0.0 && self.now - oldest.sent_at.max(upstream.last_contact) > timeout
    }

    /// One pass over the upstreams before anything is selected: refreshes load factors, ejects, and counts.
    pub(super) fn survey_upstreams(&mut self) -> Survey {
        self.expire_served();
        // Taken out, since the checks below read the rest of the state.
        let mut upstreams = std::mem::take(&mut self.upstreams);
        let mut survey = Survey::default();
        let mut zones: BTreeMap<ZoneId, HealthCounts> = BTreeMap::new();
        let mut all = HealthCounts::default();
        let mut unhealthy = Vec::with_capacity(upstreams.len());
        let mut warm = 0;
        for upstream in upstreams.values_mut() {
            self.refresh_load_factor(upstream);
            let is_unhealthy = self.now < upstream.ejected_until || self.is_stalled(upstream);
            let failing = is_unhealthy || upstream.consecutive_failures > 0;
            let recent_contact =
                self.now - upstream.last_contact < STALL_TIMEOUT_MEDIANS * self.response_times.median;
            let responsive = !failing && recent_contact;
            zones.entry(upstream.entry.zone).or_default().add(failing, responsive);
            all.add(failing, responsive);
            unhealthy.push(is_unhealthy);
            let running = upstream.entry.state == EndpointState::Running;
            survey.running += usize::from(running);
            survey.health_checks += usize::from(upstream.health_check_sent_at.is_some());
            warm += usize::from(running && !self.in_slow_start(upstream));
        }
        self.served_per_warm_upstream = self.served_at.len() as f64 / warm.max(1) as f64;
        let unhealthy_count = unhealthy.iter().filter(|unhealthy| **unhealthy).count();
        let panic = unhealthy_count as f64 > PANIC_THRESHOLD * unhealthy.len() as f64;
        for (upstream, unhealthy) in upstreams.values_mut().zip(unhealthy) {
            let failed_zone = zones[&upstream.entry.zone].is_failed_zone(all);
            // In a failed zone, those that failed themselves get the trial requests.
            let by_zone = upstream.consecutive_failures == 0 && failed_zone;
            upstream.ejected = !panic && (unhealthy || by_zone);
            if !upstream.ejected {
                survey.usable += usize::from(upstream.entry.state == EndpointState::Running);
                survey.in_flight += upstream.in_flight.len();
            }
        }
        self.upstreams = upstreams;
        survey
    }
}
