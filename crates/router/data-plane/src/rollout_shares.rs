//! A router's part in rollouts: selects the requests that go to a new version, and counts the outcomes of
//! requests at both versions.
//!
//! The share of requests for a new version is a lease: it expires a fixed time after the router requested it,
//! and is requested again well before that. Without a lease, all requests go to the version in service. A
//! router that is partitioned, was suspended or receives an update late therefore stops sending requests to a
//! version that may have been rolled back. The share limits the requests of each router separately, so the
//! total over all routers stays within it whichever process grants it.

use passrelay_configuration::{Rollout, RolloutPhase, Rollouts};
use passrelay_dissemination::{
    ClassOutcomes, LatencyMeasure, RequestClass, RequestTally, RolloutReport, ShareGrant,
    LOAD_TEST_SIZE_CLASS,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A share expires this long after the report that it answers was sent. About three reports are sent in this
/// time.
pub const SHARE_LIFETIME: Duration = Duration::from_millis(1_200);
/// Maximum number of request classes that a router distinguishes per rollout. Requests of further classes
/// are not compared.
const MAX_CLASSES: usize = 48;
/// Maximum number of request classes per rollout in a report, since a report has to fit into a datagram.
const MAX_REPORTED_CLASSES: usize = 12;
/// Exclusive upper limits of all prompt size classes except the last one, in tokens to prefill.
const SIZE_CLASS_LIMITS: [u64; 3] = [512, 2_048, 8_192];

/// Permission to send a share of this router's requests to a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ShareLease {
    /// Share of the requests of the service, 0 to 1.
    request_share: f64,
    /// Share of the endpoints of the new version that receive them, 0 to 1.
    endpoint_share: f64,
    /// The lease is valid before this time.
    expires_at: Duration,
}

/// A rollout that is running according to the committed state known to this router.
#[derive(Debug)]
struct RunningRollout {
    id: u64,
    target_version: String,
    phase: RolloutPhase,
    /// `None` if no share was granted in the current phase.
    lease: Option<ShareLease>,
    /// Accumulated fraction of a request for the new version; below 1 after each request.
    credit: f64,
    base_version: Option<String>,
    /// `None` until a load test is granted.
    load_test: Option<LoadTest>,
    outcomes: BTreeMap<RequestClass, Comparison>,
}

/// Numbers of load test requests still to be sent. They go to one endpoint of each version, as otherwise
/// their latencies could not be compared.
#[derive(Clone, Copy, Debug)]
struct LoadTest {
    remaining_to_target: u16,
    remaining_to_base: u16,
}

/// Outcomes of the requests of one class at both versions.
#[derive(Debug, Default)]
struct Comparison {
    base: RequestTally,
    target: RequestTally,
}

/// Version of the endpoint for a request that takes part in a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct CanaryChoice {
    /// The new version, or in a load test either of the two.
    pub version: String,
    /// Share of the endpoints of `version` that are eligible, 0 to 1; at least one endpoint is.
    pub endpoint_share: f64,
    /// Whether the request is part of a load test, in which its endpoint is busier than usual.
    pub is_load_test: bool,
}

impl RequestFeatures<'_> {
    /// Returns the size class. Requests of a load test form a class of their own.
    fn size_class(&self) -> u8 {
        if self.is_load_test {
            return LOAD_TEST_SIZE_CLASS;
        }
        SIZE_CLASS_LIMITS.iter().filter(|limit| self.prefill_tokens >= **limit).count() as u8
    }
}

/// A request whose outcome is counted for a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRequest {
    rollout_id: u64,
    service: String,
    route: String,
    size_class: u8,
    is_target: bool,
}

/// Features that determine the class of an observed request.
#[derive(Clone, Copy, Debug)]
pub struct RequestFeatures<'a> {
    /// Name of the route, as in the configuration.
    pub route: &'a str,
    /// Number of prompt tokens that the endpoint has to prefill.
    pub prefill_tokens: u64,
    /// Whether the request is part of a load test.
    pub is_load_test: bool,
}

/// All running rollouts known to this router, with its shares and outcome counts.
#[derive(Debug)]
pub struct RolloutShares {
    /// Credit with which each rollout starts, 0 to 1. It differs between routers, so that all routers
    /// together adhere to the share over few requests as well.
    initial_credit: f64,
    /// Running rollouts by service.
    running: HashMap<String, RunningRollout>,
    /// When this router first learned of each rollout that has not ended, by rollout id.
    known_since: BTreeMap<u64, Duration>,
    /// Number of the last report, 0 before the first.
    last_request_id: u64,
    /// When the last report was sent.
    report_sent_at: Duration,
}

impl RolloutShares {
    /// Creates an instance without rollouts. `initial_credit` is a random number from 0 to 1.
    pub fn new(initial_credit: f64) -> Self {
        RolloutShares {
            initial_credit,
            running: HashMap::new(),
            known_since: BTreeMap::new(),
            last_request_id: 0,
            report_sent_at: Duration::ZERO,
        }
    }

    /// Applies the committed rollouts. Outcome counts of rollouts that continue are kept, and so is a lease
    /// while the phase does not change.
    pub fn configure(&mut self, now: Duration, rollouts: &Rollouts) {
        let active = rollouts.iter().flat_map(|(_, service_rollouts)| service_rollouts.all());
        let active_ids: Vec<u64> =
            active.filter(|rollout| !rollout.phase.is_final()).map(|rollout| rollout.id).collect();
        self.known_since.retain(|id, _| active_ids.contains(id));
        for id in active_ids {
            self.known_since.entry(id).or_insert(now);
        }
        let mut previous = std::mem::take(&mut self.running);
        for (service, service_rollouts) in rollouts.iter() {
            let current = service_rollouts.current.as_ref();
            let Some(current) = current.filter(|rollout| !rollout.phase.is_final()) else {
                continue;
            };
            let continued = previous.remove(service).filter(|running| running.id == current.id);
            let mut running = continued.unwrap_or_else(|| RunningRollout::new(current, self.initial_credit));
            if running.phase != current.phase {
                running.phase = current.phase;
                running.lease = None;
            }
            self.running.insert(service.clone(), running);
        }
    }

    /// Decides whether the next request of a service takes part in a rollout, and counts it as sent. Returns
    /// `None` if the request goes to the version in service.
    pub fn choose(&mut self, now: Duration, service: &str) -> Option<CanaryChoice> {
        let running = self.running.get_mut(service)?;
        let lease = running.lease.filter(|lease| now < lease.expires_at)?;
        if let Some(version) = running.next_load_test_version() {
            return Some(CanaryChoice { version, endpoint_share: 0.0, is_load_test: true });
        }
        running.credit += lease.request_share;
        if running.credit < 1.0 {
            return None;
        }
        running.credit -= 1.0;
        let version = running.target_version.clone();
        Some(CanaryChoice { version, endpoint_share: lease.endpoint_share, is_load_test: false })
    }

    /// Returns whether a request that was chosen for a new version may still be sent to it.
    pub fn may_send(&self, now: Duration, service: &str) -> bool {
        let lease = self.running.get(service).and_then(|running| running.lease);
        lease.is_some_and(|lease| now < lease.expires_at)
    }

    // ---- Outcomes ----

    /// Begins to observe a request to an endpoint of `version`. Returns `None` if no rollout of its service
    /// is running, so that its outcome does not count.
    pub fn observe(
        &self,
        service: &str,
        version: &str,
        features: RequestFeatures<'_>,
    ) -> Option<ObservedRequest> {
        let running = self.running.get(service)?;
        Some(ObservedRequest {
            rollout_id: running.id,
            service: service.to_owned(),
            route: features.route.to_owned(),
            size_class: features.size_class(),
            is_target: version == running.target_version,
        })
    }

    /// Records a latency of a request.
    pub fn record_latency(&mut self, request: &ObservedRequest, measure: LatencyMeasure, latency: Duration) {
        if let Some(tally) = self.tally(request, measure) {
            tally.record_latency(latency);
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, request: &ObservedRequest, failed: bool) {
        if let Some(tally) = self.tally(request, LatencyMeasure::FirstByte) {
            tally.record_end(failed);
        }
    }

    /// Returns the tally to which a request counts, or `None` if its rollout has ended or [`MAX_CLASSES`] is
    /// reached.
    fn tally(&mut self, request: &ObservedRequest, measure: LatencyMeasure) -> Option<&mut RequestTally> {
        let running = self.running.get_mut(&request.service)?;
        if running.id != request.rollout_id {
            return None;
        }
        let class = RequestClass { route: request.route.clone(), size_class: request.size_class, measure };
        if running.outcomes.len() >= MAX_CLASSES && !running.outcomes.contains_key(&class) {
            return None;
        }
        let comparison = running.outcomes.entry(class).or_default();
        Some(if request.is_target { &mut comparison.target } else { &mut comparison.base })
    }

    // ---- Reports and shares ----

    /// Returns whether any rollout has not ended.
    pub fn is_active(&self) -> bool {
        !self.known_since.is_empty()
    }

    /// Returns the number and the contents of the next report, to be sent now. `in_flight` takes a service
    /// and its target version, and returns the number of requests in flight at other versions of the service.
    pub fn next_report(
        &mut self,
        now: Duration,
        in_flight: impl Fn(&str, &str) -> u32,
    ) -> (u64, Vec<RolloutReport>) {
        self.last_request_id += 1;
        self.report_sent_at = now;
        let report = |(id, since): (&u64, &Duration)| {
            let running = self.running.iter().find(|(_, running)| running.id == *id);
            let known_for = now.saturating_sub(*since).as_millis();
            RolloutReport {
                id: *id,
                known_for_ms: u64::try_from(known_for).unwrap_or(u64::MAX),
                switched: running.is_some_and(|(_, running)| running.phase == RolloutPhase::Switched),
                base_in_flight: running
                    .map_or(0, |(service, running)| in_flight(service, &running.target_version)),
                outcomes: running.map(|(_, running)| running.reported_outcomes()).unwrap_or_default(),
            }
        };
        (self.last_request_id, self.known_since.iter().map(report).collect())
    }

    /// Applies the shares that answer a report. Shares that answer an earlier report are ignored, because the
    /// time at which that report was sent is no longer known.
    pub fn apply_shares(&mut self, request_id: u64, shares: &[ShareGrant]) {
        if request_id != self.last_request_id {
            return;
        }
        let expires_at = self.report_sent_at + SHARE_LIFETIME;
        for running in self.running.values_mut() {
            let share = shares.iter().find(|share| share.id == running.id);
            let requests = share.and_then(|share| share.load_test);
            let load_test = requests
                .map(|requests| LoadTest { remaining_to_target: requests, remaining_to_base: requests });
            running.load_test = running.load_test.or(load_test);
            running.lease = share.map(|share| ShareLease {
                request_share: (f64::from(share.share_per_mille) / 1_000.0).min(1.0),
                endpoint_share: f64::from(share.spread_per_mille) / 1_000.0,
                expires_at,
            });
        }
    }
}

impl RunningRollout {
    fn new(rollout: &Rollout, credit: f64) -> Self {
        RunningRollout {
            id: rollout.id,
            target_version: rollout.order.target_version.clone(),
            phase: rollout.phase,
            lease: None,
            credit,
            base_version: rollout.base_version.clone(),
            load_test: None,
            outcomes: BTreeMap::new(),
        }
    }

    /// Returns the version for the next request of the load test and counts the request as sent. The versions
    /// alternate. Returns `None` if no load test requests are left.
    fn next_load_test_version(&mut self) -> Option<String> {
        let load_test = self.load_test.as_mut()?;
        if load_test.remaining_to_target > 0 && load_test.remaining_to_target >= load_test.remaining_to_base {
            load_test.remaining_to_target -= 1;
            return Some(self.target_version.clone());
        }
        load_test.remaining_to_base = load_test.remaining_to_base.checked_sub(1)?;
        self.base_version.clone()
    }

    /// Returns the outcomes of the most significant classes, at most [`MAX_REPORTED_CLASSES`]: classes with
    /// requests at the new version first, then those with more requests.
    fn reported_outcomes(&self) -> Vec<ClassOutcomes> {
        let mut classes: Vec<(&RequestClass, &Comparison)> = self.outcomes.iter().collect();
        classes.sort_by_key(|(_, comparison)| {
            let target_requests = comparison.target.requests();
            std::cmp::Reverse((target_requests > 0, target_requests + comparison.base.requests()))
        });
        let outcomes =
            classes.into_iter().take(MAX_REPORTED_CLASSES).map(|(class, comparison)| ClassOutcomes {
                class: class.clone(),
                base: comparison.base.clone(),
                target: comparison.target.clone(),
            });
        outcomes.collect()
    }
}
