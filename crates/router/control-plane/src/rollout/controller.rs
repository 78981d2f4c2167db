//! The controller of all roll-outs, on the established primary of one term.
//!
//! It decides and holds no state that a successor couldn't rebuild: records are replicated, and evidence and ages come with the
//! sidecars' next reports. Each decision is a new record; it takes effect once that is committed, so that a controller that is
//! lost in between leaves either the record before or the one after. Shares are granted by the committed record only.

use super::evidence::{Comparisons, Evidence};
use super::judge::{judge, Judgement};
use super::schedule::{
    canary_share, has_spread, is_load_test_granted, is_load_tested, load_test_requests, promotion_share,
    ExposureBound, Schedule, Share, FIRST_REQUESTS,
};
use crate::replication::ReplicatedState;
use passrelay_configuration::{
    Configuration, Rollout, RolloutPhase, Rollouts, ServiceRollouts, ServiceVersions,
};
use passrelay_dissemination::{EndpointState, Peer, Registry, RolloutReport, ShareGrant, Tally};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The next order begins this long after the end of the one before, so that operators see how that ended.
const PAUSE_AFTER_END: Duration = Duration::from_millis(1_500);
/// Reports of this age still tell what a sidecar has in flight.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// A version is put in service with so many endpoints, as a fraction of those of the version before.
const MIN_ENDPOINT_RATIO: f64 = 0.7;
/// Interval of decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// What the controller knows of one roll-out beside its record.
#[derive(Debug)]
struct Tracked {
    evidence: Evidence,
    /// The committed phase, and since when this controller knows of it.
    phase: RolloutPhase,
    phase_since: Duration,
    /// Requests that had ended at the new version when it was judged last.
    requests_at_target: u32,
    /// The test under load, once it has begun.
    load_test: Option<LoadTest>,
}

/// A test of one endpoint under load.
#[derive(Debug)]
struct LoadTest {
    since: Duration,
    /// Routers that take part, and requests of each. All of them would be too many for a small endpoint, where both versions
    /// would be slow.
    routers: BTreeSet<SocketAddrV4>,
    requests_each: u16,
}

impl LoadTest {
    /// A test of so many requests, by as many routers.
    fn new(now: Duration, requests: f64, routers: &BTreeSet<SocketAddrV4>) -> Self {
        let taken = (requests.round().max(1.0) as usize).min(routers.len().max(1));
        let step = (routers.len() / taken).max(1);
        LoadTest {
            since: now,
            routers: routers.iter().step_by(step).take(taken).copied().collect(),
            requests_each: (requests / taken as f64).round().max(1.0) as u16,
        }
    }
}

/// The controller of one term.
#[derive(Debug, Default)]
pub struct Controller {
    /// By the id of the roll-out, ended ones included.
    tracked: BTreeMap<u64, Tracked>,
    /// Versions that the configuration sets, by service; `None` for services of which it sets none.
    configured: BTreeMap<String, Option<String>>,
    next_decision: Duration,
}

/// Records that replace those of the state, and the versions in service that they lead to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// All roll-outs.
    pub rollouts: Rollouts,
    /// All versions in service.
    pub service_versions: ServiceVersions,
}

impl Controller {
    /// Takes the committed configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        let services = configuration.services.iter();
        self.configured = services.map(|service| (service.name.clone(), service.version.clone())).collect();
    }

    /// Takes the committed records.
    pub fn observe_committed(&mut self, now: Duration, rollouts: &Rollouts) {
        self.tracked.retain(|id, _| rollouts.find(*id).is_some());
        for rollout in rollouts.iter().flat_map(|(_, of_service)| of_service.all()) {
            let tracked = self.tracked.entry(rollout.id).or_insert_with(|| Tracked {
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

    /// How old a roll-out is at least; no time for one that isn't known.
    pub fn age(&self, now: Duration, id: u64) -> Duration {
        self.tracked.get(&id).map_or(Duration::ZERO, |tracked| tracked.evidence.age(now))
    }

    /// Takes a sidecar's reports.
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

    /// The shares of a router that committed records allow now; `exposure` bounds what a version gets that isn't judged.
    pub fn shares(
        &self,
        now: Duration,
        router: SocketAddrV4,
        rollouts: &Rollouts,
        exposure: ExposureBound,
    ) -> Vec<ShareGrant> {
        let current = rollouts.iter().filter_map(|(_, of_service)| of_service.current.as_ref());
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
                    && is_load_test_granted(now.saturating_sub(test.since))
            });
            let load_test = load_test.map(|test| test.requests_each);
            Some(grant_of(rollout.id, share, load_test))
        };
        current.filter_map(grant).collect()
    }

    /// The next records, where any roll-out moves on. `state` is committed.
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
        self.begin_load_tests(now, &state.rollouts, registry, exposure);
        let mut decision =
            Decision { rollouts: state.rollouts.clone(), service_versions: state.service_versions.clone() };
        for (service, of_service) in state.rollouts.iter() {
            if let Some(next) = self.next_of_service(now, service, of_service, state, registry) {
                if let Some(version) = version_in_service(&next) {
                    decision.service_versions.set(service, &version);
                }
                *decision.rollouts.get_or_insert_default(service) = next;
                // One at a time: the others follow with the next decision.
                return Some(decision);
            }
        }
        None
    }

    /// Begins the load test of each canary that is due and wasn't found bad.
    fn begin_load_tests(
        &mut self,
        now: Duration,
        rollouts: &Rollouts,
        registry: &Registry,
        exposure: ExposureBound,
    ) {
        let current = rollouts.iter().filter_map(|(_, of_service)| of_service.current.as_ref());
        for rollout in current.filter(|rollout| rollout.phase == RolloutPhase::Canary) {
            let Some(tracked) = self.tracked.get_mut(&rollout.id) else { continue };
            let is_due = tracked.evidence.age(now) >= Schedule::of(rollout).load_test_at;
            if tracked.load_test.is_some() || !is_due || !has_endpoints(rollout, registry) {
                continue;
            }
            let comparisons = tracked.evidence.comparisons();
            let is_bad = matches!(judge(&comparisons), Judgement::Bad(_));
            if is_bad || requests_at_target(&comparisons) < FIRST_REQUESTS {
                continue;
            }
            let requests = load_test_requests(
                exposure,
                capacity_of_target(rollout, registry),
                comparisons.values().map(|both| both.base.ended + both.target.ended).sum(),
            );
            let routers = tracked.evidence.reporters(now.saturating_sub(REPORT_LIFETIME));
            tracked.load_test = Some(LoadTest::new(now, requests, &routers));
        }
    }

    fn next_of_service(
        &self,
        now: Duration,
        service: &str,
        of_service: &ServiceRollouts,
        state: &ReplicatedState,
        registry: &Registry,
    ) -> Option<ServiceRollouts> {
        let mut next = of_service.clone();
        match next.current.as_mut().filter(|current| !current.phase.is_final()) {
            Some(current) => self.advance(now, current, registry)?,
            None if next.waiting.is_empty() || !self.may_begin(now, of_service) => return None,
            None => {
                let mut begun = next.waiting.remove(0);
                begun.age_ms = as_millis(self.age(now, begun.id));
                begun.base_version = state.service_versions.get(service).map(str::to_owned);
                begun.phase = RolloutPhase::Canary;
                if begun.base_version.as_ref() == Some(&begun.order.target_version) {
                    begun.phase = RolloutPhase::Completed;
                    "it was in service already".clone_into(&mut begun.reason);
                }
                next.current = Some(begun);
            }
        }
        Some(next)
    }

    /// Whether the next order may begin, as far as the one before it tells.
    fn may_begin(&self, now: Duration, of_service: &ServiceRollouts) -> bool {
        let ended = of_service.current.as_ref().and_then(|current| self.tracked.get(&current.id));
        ended.is_none_or(|ended| now.saturating_sub(ended.phase_since) >= PAUSE_AFTER_END)
    }

    /// Moves a roll-out that runs on; `None` where it stays as it is.
    fn advance(&self, now: Duration, rollout: &mut Rollout, registry: &Registry) -> Option<()> {
        let tracked = self.tracked.get(&rollout.id)?;
        let (phase, reason) = self.next_phase(now, rollout, tracked, registry)?;
        rollout.phase = phase;
        rollout.age_ms = as_millis(tracked.evidence.age(now));
        rollout.reason = reason;
        Some(())
    }

    fn next_phase(
        &self,
        now: Duration,
        rollout: &Rollout,
        tracked: &Tracked,
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
                let is_tested = load_test.is_some_and(|test| is_load_tested(now.saturating_sub(test.since)));
                let is_due = age >= schedule.promote_at && judgement == Judgement::Good && is_tested;
                (is_due && has_endpoints(rollout, registry))
                    .then(|| (RolloutPhase::Promoting, format!("judged good by {requests} requests")))
            }
            RolloutPhase::Promoting => (promotion_share(phase_for).is_none() || age >= schedule.end_by)
                .then(|| (RolloutPhase::Switched, rollout.reason.clone())),
            RolloutPhase::Switched => {
                let has_left = tracked.evidence.has_left_base(now.saturating_sub(REPORT_LIFETIME));
                (has_spread(phase_for) && (has_left || age >= schedule.end_by))
                    .then(|| (RolloutPhase::Completed, rollout.reason.clone()))
            }
            RolloutPhase::Waiting | RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        }
    }
}

/// The version that a service's current roll-out puts in service; `None` where it changes nothing.
fn version_in_service(of_service: &ServiceRollouts) -> Option<String> {
    let current = of_service.current.as_ref()?;
    match current.phase {
        RolloutPhase::Switched | RolloutPhase::Completed => Some(current.order.target_version.clone()),
        RolloutPhase::RolledBack => current.base_version.clone(),
        RolloutPhase::Waiting | RolloutPhase::Canary | RolloutPhase::Promoting => None,
    }
}

/// Whether the new version has nearly as many ready endpoints as the one before.
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

/// Requests that an endpoint of the new version processes concurrently; the least of all.
fn capacity_of_target(rollout: &Rollout, registry: &Registry) -> u32 {
    let records = registry.records().filter(|record| record.state == EndpointState::Ready);
    let of_service = records.filter(|record| record.service == rollout.order.service);
    let target = of_service.filter(|record| record.version == rollout.order.target_version);
    target.map(|record| record.capacity).min().unwrap_or(0)
}

fn requests_at_target(comparisons: &Comparisons) -> u32 {
    let targets = comparisons.values().map(|comparison| &comparison.target);
    targets.map(|target: &Tally| target.ended).sum()
}

fn grant_of(id: u64, share: Share, load_test: Option<u16>) -> ShareGrant {
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
