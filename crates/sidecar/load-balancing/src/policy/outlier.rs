//! Outlier ejection: which upstreams and zones are excluded from selection.
//!
//! An upstream is ejected after consecutive failures, for a time that doubles with each, and while it is
//! stalled. When most upstreams of a zone fail, the whole zone is ejected except for trial requests. When
//! nearly all upstreams look unhealthy, the fault is assumed to lie elsewhere, and none is ejected.

use crate::api::{EndpointState, UpstreamId, ZoneId};
use crate::state::{Balancer, Upstream};
use std::collections::BTreeMap;

/// Number of consecutive failures after which the ejection time no longer doubles.
const MAX_EJECTION_EXPONENT: u32 = 3;
/// Ejection time, in connect time-outs, before it doubles with each failure.
const EJECTION_TIME_CONNECT_TIMEOUTS: f64 = 2.0;
/// Upper bound of the stall timeout, in expected response times. If an attempt takes longer than this while
/// other upstreams answer, its upstream has stalled or its request is very expensive.
pub(super) const STALL_TIMEOUT_MEDIANS: f64 = 3.0;
/// The stall timeout is `1 + this / attempts in flight` expected response times, at most
/// [`STALL_TIMEOUT_MEDIANS`]. It is shorter with many attempts in flight, since a stall affects all of them.
const STALL_TIMEOUT_SPREAD: f64 = 4.0;
/// Minimum number of failing upstreams in a failed zone: one or two may fail independently of their zone.
const MIN_FAILING_PER_FAILED_ZONE: usize = 3;
/// Above this fraction of unhealthy upstreams, none is ejected. The loss of one of two zones stays below it.
const PANIC_THRESHOLD: f64 = 0.8;

/// Counts of upstreams and attempts, taken by [`Balancer::update_ejections`].
#[derive(Default)]
pub(super) struct UpstreamCounts {
    /// Upstreams that are running, ejected or not.
    pub running: usize,
    /// Upstreams that are running and not ejected.
    pub usable: usize,
    /// Health checks that have no result yet.
    pub health_checks: usize,
    /// Attempts of this instance in flight to upstreams that are not ejected.
    pub in_flight: usize,
}

/// Numbers of failing and responsive upstreams, in one zone or overall.
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

    /// Returns whether a zone with these counts has failed: most of its upstreams fail, and most of the
    /// others are responsive. Upstreams without recent contact count as neither.
    fn is_failed_zone(self, all: HealthCounts) -> bool {
        self.failing >= MIN_FAILING_PER_FAILED_ZONE
            && self.failing > self.responsive
            && all.failing - self.failing < all.responsive - self.responsive
    }
}

impl Balancer {
    /// Records a failure and ejects the upstream for a time that doubles with each consecutive failure. After
    /// that, one trial request decides whether it is used again.
    pub(super) fn record_failure(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        upstream.consecutive_failures = (upstream.consecutive_failures + 1).min(MAX_EJECTION_EXPONENT);
        let base = self.settings.connect_timeout * EJECTION_TIME_CONNECT_TIMEOUTS;
        upstream.ejected_until = self.now + base * f64::from(1 << upstream.consecutive_failures);
    }

    /// Returns whether an upstream has not answered for longer than its attempts in flight explain. The load
    /// factor of a paused server does not change, so without this check it would go on getting requests. An
    /// upstream that is busy with an expensive request is not stalled before that request could be finished.
    fn is_stalled(&self, upstream: &Upstream) -> bool {
        let Some(oldest) = upstream.in_flight.first() else { return false };
        let median = self.response_times.median;
        let hinted = self.requests.get(&oldest.request).filter(|request| request.cost.is_some());
        let expected = hinted.map_or(0.0, |request| request.expected_time).max(median);
        let spread = STALL_TIMEOUT_SPREAD / upstream.in_flight.len() as f64;
        let timeout = (1.0 + spread).min(STALL_TIMEOUT_MEDIANS) * expected;
        median > 0.0 && self.now - oldest.sent_at.max(upstream.last_contact) > timeout
    }

    /// Before each dispatch, refreshes load factors, decides which upstreams are ejected, and counts them.
    pub(super) fn update_ejections(&mut self) -> UpstreamCounts {
        self.prune_served_times();
        // Taken out of `self`, since the checks below borrow the rest of the state.
        let mut upstreams = std::mem::take(&mut self.upstreams);
        let mut counts = UpstreamCounts::default();
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
            counts.running += usize::from(running);
            counts.health_checks += usize::from(upstream.health_check_sent_at.is_some());
            warm += usize::from(running && !self.in_slow_start(upstream));
        }
        self.served_per_warm_upstream = self.served_at.len() as f64 / warm.max(1) as f64;
        let unhealthy_count = unhealthy.iter().filter(|unhealthy| **unhealthy).count();
        let panic = unhealthy_count as f64 > PANIC_THRESHOLD * unhealthy.len() as f64;
        for (upstream, unhealthy) in upstreams.values_mut().zip(unhealthy) {
            let failed_zone = zones[&upstream.entry.zone].is_failed_zone(all);
            // In a failed zone, trial requests go to the upstreams that have failed themselves.
            let ejected_with_zone = upstream.consecutive_failures == 0 && failed_zone;
            upstream.ejected = !panic && (unhealthy || ejected_with_zone);
            if !upstream.ejected {
                counts.usable += usize::from(upstream.entry.state == EndpointState::Running);
                counts.in_flight += upstream.in_flight.len();
            }
        }
        self.upstreams = upstreams;
        counts
    }
}
