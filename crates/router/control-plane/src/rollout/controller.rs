//! The controller of all rollouts, on the established primary of one term.
//!
//! It holds no state that a successor could not rebuild: records are replicated, and evidence and ages arrive with the
//! sidecars' next reports. Each decision is a new record that takes effect once it is committed, so that a controller
//! that fails in between leaves either the old record or the new one. Shares are granted only according to committed
//! records.

use super::evidence::{Comparisons, Evidence};
use super::judge::{judge, Judgement};
use super::schedule::{
    canary_share, has_propagated, is_load_test_complete, load_test_requests, may_routers_start_load_test,
    promotion_share, ExposureBound, Schedule, Share, MIN_REQUESTS_FOR_FULL_SHARE,
};
use crate::replication::ReplicatedState;
use passrelay_configuration::{
    Configuration, Rollout, RolloutPhase, Rollouts, ServiceRollouts, ServiceVersions,
};
use passrelay_dissemination::{EndpointState, Peer, Registry, RequestTally, RolloutReport, ShareGrant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The next order of a service starts this long after the end of the preceding one, so that operators can read how that
/// one ended.
const PAUSE_AFTER_END: Duration = Duration::from_millis(1_500);
/// Reports up to this age are used for which sidecars exist and what they have in flight.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// A version is load-tested and promoted only if its number of ready endpoints is at least this fraction of that of the
/// version in service.
const MIN_ENDPOINT_RATIO: f64 = 0.7;
/// Minimum interval between decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// The controller's knowledge of one rollout in addition to its record.
#[derive(Debug)]
struct TrackedRollout {
    evidence: Evidence,
    /// The committed phase.
    phase: RolloutPhase,
    /// Time since which this controller has known the phase.
    phase_since: Duration,
    /// Number of requests that had ended at the new version as of the last decision.
    requests_at_target: u32,
    /// The load test, once it has started.
    load_test: Option<LoadTest>,
}

/// A load test of one endpoint of the new version.
#[derive(Debug)]
struct LoadTest {
    started_at: Duration,
    /// Routers that take part, at most as many as there are requests. Requests of all routers could be too many for a
    /// small endpoint, at which both versions would be slow.
    routers: BTreeSet<SocketAddrV4>,
    /// Number of requests that each of these routers sends.
    requests_per_router: u16,
}

impl LoadTest {
    /// Creates a test of about `requests` requests in total, by at most as many routers, evenly selected.
    fn new(now: Duration, requests: f64, routers: &BTreeSet<SocketAddrV4>) -> Self {
        let router_count = (requests.round().max(1.0) as usize).min(routers.len().max(1));
        let step = (routers.len() / router_count).max(1);
        LoadTest {
            started_at: now,
            routers: routers.iter().step_by(step).take(router_count).copied().collect(),
            requests_per_router: (requests / router_count as f64).round().max(1.0) as u16,
        }
    }
}

/// The controller of one term.
#[derive(Debug, Default)]
pub struct Controller {
    /// All rollouts of the committed state, including ended ones, by id.
    tracked: BTreeMap<u64, TrackedRollout>,
    /// The services of the configuration, each with the version that the configuration sets, if any.
    configured: BTreeMap<String, Option<String>>,
    next_decision: Duration,
}

/// Records that replace those of the state, and the resulting versions in service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Records of all rollouts, including those that do not change.
    pub rollouts: Rollouts,
    /// Versions in service of all services, including those that do not change.
    pub service_versions: ServiceVersions,
}

impl Controller {
    /// Applies the committed configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        let services = configuration.services.iter();
        self.configured = services.map(|service| (service.name.clone(), service.version.clone())).collect();
    }

    /// Tracks the rollouts of the committed records, and forgets all others.
    pub fn observe_committed(&mut self, now: Duration, rollouts: &Rollouts) {
        self.tracked.retain(|id, _| rollouts.find(*id).is_some());
        for rollout in rollouts.iter().flat_map(|(_, service_rollouts)| service_rollouts.all()) {
            let tracked = self.tracked.entry(rollout.id).or_insert_with(|| TrackedRollout {
                evidence: Evidence::new(now, Duration::from_millis(rollout.age_ms)),
                phase: rollout.phase,
                phase_since: now,
                requests_at_target: 0,
                load_test: None,
            });
            if tracked.phase != rollout.phase {
                tracked.phase = rollout.phase;
                tracked.phase_since = now;
            }
        }
    }

    /// Returns a lower bound of the age of a rollout; zero for an unknown one.
    pub fn age(&self, now: Duration, id: u64) -> Duration {
        self.tracked.get(&id).map_or(Duration::ZERO, |tracked| tracked.evidence.age(now))
    }

    /// Records a sidecar's reports. Ignores reports of unknown rollouts.
    pub fn observe_reports(
        &mut self,
        now: Duration,
        from: Peer,
        request_id: u64,
        reports: Vec<RolloutReport>,
    ) {
        for report in reports {
            if let Some(tracked) = self.tracked.get_mut(&report.id) {
                tracked.evidence.observe(now, from, request_id, report);
            }
        }
    }

    /// Returns the shares that the committed records allow for a router at `now`. `exposure` bounds the requests that a
    /// version receives before it is judged.
    pub fn shares(
        &self,
        now: Duration,
        router: SocketAddrV4,
        rollouts: &Rollouts,
        exposure: ExposureBound,
    ) -> Vec<ShareGrant> {
        let current = rollouts.iter().filter_map(|(_, service_rollouts)| service_rollouts.current.as_ref());
        let grant = |rollout: &Rollout| {
            let tracked = self.tracked.get(&rollout.id)?;
            let share = match rollout.phase {
                RolloutPhase::Canary if tracked.evidence.age(now) < Schedule::of(rollout).end_by => {
                    canary_share(exposure.ratio, tracked.requests_at_target)
                }
                RolloutPhase::Promoting => promotion_share(now.saturating_sub(tracked.phase_since))?,
                _ => return None,
            };
            let load_test = tracked.load_test.as_ref().filter(|test| {
                rollout.phase == RolloutPhase::Canary
                    && test.routers.contains(&router)
                    && may_routers_start_load_test(now.saturating_sub(test.started_at))
            });
            let load_test = load_test.map(|test| test.requests_per_router);
            Some(share_grant(rollout.id, share, load_test))
        };
        current.filter_map(grant).collect()
    }

    /// Returns the next records if any rollout changes, at most one per call. `state` must be committed.
    pub fn decide(
        &mut self,
        now: Duration,
        state: &ReplicatedState,
        registry: &Registry,
        exposure: ExposureBound,
    ) -> Option<Decision> {
        if now < self.next_decision {
            return None;
        }
        self.next_decision = now + DECISION_INTERVAL;
        self.observe_committed(now, &state.rollouts);
        for tracked in self.tracked.values_mut().filter(|tracked| !tracked.phase.is_final()) {
            tracked.requests_at_target = requests_at_target(&tracked.evidence.comparisons());
        }
        self.start_load_tests(now, &state.rollouts, registry, exposure);
        let mut decision =
            Decision { rollouts: state.rollouts.clone(), service_versions: state.service_versions.clone() };
        for (service, service_rollouts) in state.rollouts.iter() {
            if let Some(next) = self.next_service_rollouts(now, service, service_rollouts, state, registry) {
                if let Some(version) = version_in_service(&next) {
                    decision.service_versions.set(service, &version);
                }
                *decision.rollouts.get_or_insert_default(service) = next;
                // Other rollouts follow with the next decisions.
                return Some(decision);
            }
        }
        None
    }

    /// Starts the load test of each canary that is due for it, has enough endpoints and requests, and was not judged
    /// bad.
    fn start_load_tests(
        &mut self,
        now: Duration,
        rollouts: &Rollouts,
        registry: &Registry,
        exposure: ExposureBound,
    ) {
        let current = rollouts.iter().filter_map(|(_, service_rollouts)| service_rollouts.current.as_ref());
        for rollout in current.filter(|rollout| rollout.phase == RolloutPhase::Canary) {
            let Some(tracked) = self.tracked.get_mut(&rollout.id) else { continue };
            let is_due = tracked.evidence.age(now) >= Schedule::of(rollout).load_test_at;
            if tracked.load_test.is_some() || !is_due || !has_endpoints(rollout, registry) {
                continue;
            }
            let comparisons = tracked.evidence.comparisons();
            let is_bad = matches!(judge(&comparisons), Judgement::Bad(_));
            if is_bad || requests_at_target(&comparisons) < MIN_REQUESTS_FOR_FULL_SHARE {
                continue;
            }
            let requests = load_test_requests(
                exposure,
                capacity_of_target(rollout, registry),
                comparisons.values().map(|comparison| comparison.base.ended + comparison.target.ended).sum(),
            );
            let routers = tracked.evidence.reporters(now.saturating_sub(REPORT_LIFETIME));
            tracked.load_test = Some(LoadTest::new(now, requests, &routers));
        }
    }

    /// Returns the next records of a service: its running rollout in the next phase, or the next waiting order started.
    /// Returns `None` if nothing changes.
    fn next_service_rollouts(
        &self,
        now: Duration,
        service: &str,
        service_rollouts: &ServiceRollouts,
        state: &ReplicatedState,
        registry: &Registry,
    ) -> Option<ServiceRollouts> {
        let mut next = service_rollouts.clone();
        match next.current.as_mut().filter(|current| !current.phase.is_final()) {
            Some(current) => self.advance(now, current, registry)?,
            None if next.waiting.is_empty() || !self.may_start_next(now, service_rollouts) => return None,
            None => {
                let mut started = next.waiting.remove(0);
                started.age_ms = as_millis(self.age(now, started.id));
                started.base_version = state.service_versions.get(service).map(str::to_owned);
                started.phase = RolloutPhase::Canary;
                if started.base_version.as_ref() == Some(&started.order.target_version) {
                    started.phase = RolloutPhase::Completed;
                    "it was in service already".clone_into(&mut started.reason);
                }
                next.current = Some(started);
            }
        }
        Some(next)
    }

    /// Returns whether the next order of a service may start, [`PAUSE_AFTER_END`] after the end of the preceding one.
    fn may_start_next(&self, now: Duration, service_rollouts: &ServiceRollouts) -> bool {
        let ended = service_rollouts.current.as_ref().and_then(|current| self.tracked.get(&current.id));
        ended.is_none_or(|ended| now.saturating_sub(ended.phase_since) >= PAUSE_AFTER_END)
    }

    /// Updates the record of a running rollout to its next phase. Returns `None` if the phase stays the same.
    fn advance(&self, now: Duration, rollout: &mut Rollout, registry: &Registry) -> Option<()> {
        let tracked = self.tracked.get(&rollout.id)?;
        let (phase, reason) = self.next_phase(now, rollout, tracked, registry)?;
        rollout.phase = phase;
        rollout.age_ms = as_millis(tracked.evidence.age(now));
        rollout.reason = reason;
        Some(())
    }

    /// Returns the next phase of a running rollout with the reason for operators, or `None` if the phase stays the
    /// same.
    fn next_phase(
        &self,
        now: Duration,
        rollout: &Rollout,
        tracked: &TrackedRollout,
        registry: &Registry,
    ) -> Option<(RolloutPhase, String)> {
        let age = tracked.evidence.age(now);
        let schedule = Schedule::of(rollout);
        let comparisons = tracked.evidence.comparisons();
        let judgement = judge(&comparisons);
        if let Judgement::Bad(reason) = judgement {
            return Some((RolloutPhase::RolledBack, reason));
        }
        if !matches!(self.configured.get(&rollout.order.service), Some(None)) {
            let reason = "the configuration dropped the service, or sets its version".to_owned();
            return Some((RolloutPhase::RolledBack, reason));
        }
        let phase_for = now.saturating_sub(tracked.phase_since);
        let requests = tracked.requests_at_target;
        match rollout.phase {
            RolloutPhase::Canary if age >= schedule.promote_by => {
                let reason = format!("not known well enough in time, by {requests} requests");
                Some((RolloutPhase::RolledBack, reason))
            }
            RolloutPhase::Canary => {
                let load_test = tracked.load_test.as_ref();
                let is_tested =
                    load_test.is_some_and(|test| is_load_test_complete(now.saturating_sub(test.started_at)));
                let is_due = age >= schedule.promote_at && judgement == Judgement::Good && is_tested;
                (is_due && has_endpoints(rollout, registry))
                    .then(|| (RolloutPhase::Promoting, format!("judged good by {requests} requests")))
            }
            RolloutPhase::Promoting => (promotion_share(phase_for).is_none() || age >= schedule.end_by)
                .then(|| (RolloutPhase::Switched, rollout.reason.clone())),
            RolloutPhase::Switched => {
                let is_base_drained = tracked.evidence.is_base_drained(now.saturating_sub(REPORT_LIFETIME));
                (has_propagated(phase_for) && (is_base_drained || age >= schedule.end_by))
                    .then(|| (RolloutPhase::Completed, rollout.reason.clone()))
            }
            RolloutPhase::Waiting | RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        }
    }
}

/// Returns the version that a service's current rollout puts in service, or `None` if it does not determine one.
fn version_in_service(service_rollouts: &ServiceRollouts) -> Option<String> {
    let current = service_rollouts.current.as_ref()?;
    match current.phase {
        RolloutPhase::Switched | RolloutPhase::Completed => Some(current.order.target_version.clone()),
        RolloutPhase::RolledBack => current.base_version.clone(),
        RolloutPhase::Waiting | RolloutPhase::Canary | RolloutPhase::Promoting => None,
    }
}

/// Returns whether the new version has enough ready endpoints compared to the version in service, but at least one.
fn has_endpoints(rollout: &Rollout, registry: &Registry) -> bool {
    let count = |version: &str| {
        let records = registry.records().filter(|record| record.state == EndpointState::Ready);
        let of_service = records.filter(|record| record.service == rollout.order.service);
        of_service.filter(|record| record.version == version).count()
    };
    let base = rollout.base_version.as_deref().map_or(0, count);
    let target = count(&rollout.order.target_version);
    target > 0 && target as f64 >= base as f64 * MIN_ENDPOINT_RATIO
}

/// Returns the lowest capacity, in concurrent requests, of the ready endpoints of the new version; 0 if there is none.
fn capacity_of_target(rollout: &Rollout, registry: &Registry) -> u32 {
    let records = registry.records().filter(|record| record.state == EndpointState::Ready);
    let of_service = records.filter(|record| record.service == rollout.order.service);
    let target = of_service.filter(|record| record.version == rollout.order.target_version);
    target.map(|record| record.capacity).min().unwrap_or(0)
}

/// Returns the number of requests that have ended at the new version, over all classes.
fn requests_at_target(comparisons: &Comparisons) -> u32 {
    let targets = comparisons.values().map(|comparison| &comparison.target);
    targets.map(|target: &RequestTally| target.ended).sum()
}

fn share_grant(id: u64, share: Share, load_test: Option<u16>) -> ShareGrant {
    let per_mille = |share: f64| (share * 1_000.0) as u16;
    ShareGrant {
        id,
        share_per_mille: per_mille(share.requests),
        spread_per_mille: per_mille(share.endpoints),
        load_test,
    }
}

fn as_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
