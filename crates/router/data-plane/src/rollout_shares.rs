//! The part of a router in roll-outs: which requests go to a new version, and what becomes of requests at both versions.
//!
//! A share is a lease: it ends by itself some time after the router asked for it, and it is asked for again long before. Without one, all
//! requests go to the version in service. A router that is cut off, stood still or was told late so sends nothing more to a
//! version that may have been rolled back. The share binds the requests of each router, so the sum over all routers stays within it
//! whoever grants.

use passrelay_configuration::{Rollout, RolloutPhase, Rollouts};
use passrelay_dissemination::{
    ClassOutcomes, Measure, RequestClass, RolloutReport, ShareGrant, Tally, LOAD_TEST_CLASS,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A share ends this long after the report that it responds to was sent. Reports are sent about three times as often.
pub const SHARE_LIFETIME: Duration = Duration::from_millis(1_200);
/// Classes of requests of one roll-out that a router tells apart; those beyond are not compared.
const MAX_CLASSES: usize = 48;
/// Of these, the ones that a report holds: a report has to fit into a datagram.
const MAX_REPORTED_CLASSES: usize = 12;
/// Upper ends of the size classes of prompts but the last, in tokens to be read.
const SIZE_CLASSES: [u64; 3] = [512, 2_048, 8_192];

/// A share of requests that this router may send to a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Lease {
    requests: f64,
    endpoints: f64,
    until: Duration,
}

/// A roll-out that runs, as this router knows it.
#[derive(Debug)]
struct RunningRollout {
    id: u64,
    target_version: String,
    phase: RolloutPhase,
    lease: Option<Lease>,
    /// Share of a request that is saved up for the new version; below 1 after each request.
    credit: f64,
    base_version: Option<String>,
    /// The load test; `None` before it.
    load_test: Option<LoadTest>,
    outcomes: BTreeMap<RequestClass, Comparison>,
}

/// Requests of a load test that are still to be sent, to one endpoint of each version: only so can their latencies be compared.
#[derive(Clone, Copy, Debug)]
struct LoadTest {
    to_target: u16,
    to_base: u16,
}

/// Requests of one class at both versions.
#[derive(Debug, Default)]
struct Comparison {
    base: Tally,
    target: Tally,
}

/// The version that a request goes to under a share.
#[derive(Clone, Debug, PartialEq)]
pub struct CanaryChoice {
    /// The new version.
    pub version: String,
    /// Share of its endpoints that get requests, 0 to 1; one at least.
    pub endpoint_share: f64,
    /// Whether it is part of a load test: its endpoint is busier than usual.
    pub is_load_test: bool,
}

impl RequestFeatures<'_> {
    /// The class of its size; requests of a load test are one class of their own.
    fn size_class(&self) -> u8 {
        if self.is_load_test {
            return LOAD_TEST_CLASS;
        }
        SIZE_CLASSES.iter().filter(|end| self.prefill_tokens >= **end).count() as u8
    }
}

/// A request whose outcome counts in a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRequest {
    rollout: u64,
    service: String,
    route: String,
    size: u8,
    is_target: bool,
}

/// What decides on the class of an observed request.
#[derive(Clone, Copy, Debug)]
pub struct RequestFeatures<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Prompt tokens that its endpoint has to read.
    pub prefill_tokens: u64,
    /// Whether it is part of a load test.
    pub is_load_test: bool,
}

/// All roll-outs that this router knows to run.
#[derive(Debug)]
pub struct RolloutShares {
    /// In what part of a request the credit of each roll-out begins, 0 to 1: differs between routers, so that all together keep the
    /// share also over few requests.
    initial_credit: f64,
    running: HashMap<String, RunningRollout>,
    /// When this router first knew of each roll-out that has not ended.
    known_since: BTreeMap<u64, Duration>,
    last_request_id: u64,
    /// When the last report was sent.
    report_sent_at: Duration,
}

impl RolloutShares {
    /// No roll-out; `initial_credit` is drawn from 0 to 1.
    pub fn new(initial_credit: f64) -> Self {
        RolloutShares {
            initial_credit,
            running: HashMap::new(),
            known_since: BTreeMap::new(),
            last_request_id: 0,
            report_sent_at: Duration::ZERO,
        }
    }

    /// Takes the committed roll-outs. What was counted of those that run on is kept, and so is a lease within one phase.
    pub fn configure(&mut self, now: Duration, rollouts: &Rollouts) {
        let active = rollouts.iter().flat_map(|(_, of_service)| of_service.all());
        let active: Vec<u64> =
            active.filter(|rollout| !rollout.phase.is_final()).map(|rollout| rollout.id).collect();
        self.known_since.retain(|id, _| active.contains(id));
        for id in active {
            self.known_since.entry(id).or_insert(now);
        }
        let mut previous = std::mem::take(&mut self.running);
        for (service, of_service) in rollouts.iter() {
            let Some(current) = of_service.current.as_ref().filter(|one| !one.phase.is_final()) else {
                continue;
            };
            let known = previous.remove(service).filter(|known| known.id == current.id);
            let mut running = known.unwrap_or_else(|| RunningRollout::new(current, self.initial_credit));
            if running.phase != current.phase {
                running.phase = current.phase;
                running.lease = None;
            }
            self.running.insert(service.clone(), running);
        }
    }

    /// Whether the next request of a service goes to a new version; counts it as sent.
    pub fn choose(&mut self, now: Duration, service: &str) -> Option<CanaryChoice> {
        let running = self.running.get_mut(service)?;
        let lease = running.lease.filter(|lease| now < lease.until)?;
        if let Some(version) = running.next_of_load_test() {
            return Some(CanaryChoice { version, endpoint_share: 0.0, is_load_test: true });
        }
        running.credit += lease.requests;
        if running.credit < 1.0 {
            return None;
        }
        running.credit -= 1.0;
        let version = running.target_version.clone();
        Some(CanaryChoice { version, endpoint_share: lease.endpoints, is_load_test: false })
    }

    /// Whether a request that was chosen for a new version may still be sent there.
    pub fn may_send(&self, now: Duration, service: &str) -> bool {
        let lease = self.running.get(service).and_then(|running| running.lease);
        lease.is_some_and(|lease| now < lease.until)
    }

    // ---- Outcomes ----

    /// The request, if its outcome counts: a roll-out of its service runs. `version` is that of its endpoint.
    pub fn observe(
        &self,
        service: &str,
        version: &str,
        features: RequestFeatures<'_>,
    ) -> Option<ObservedRequest> {
        let running = self.running.get(service)?;
        Some(ObservedRequest {
            rollout: running.id,
            service: service.to_owned(),
            route: features.route.to_owned(),
            size: features.size_class(),
            is_target: version == running.target_version,
        })
    }

    /// A request has a latency.
    pub fn record_latency(&mut self, request: &ObservedRequest, measure: Measure, latency: Duration) {
        if let Some(tally) = self.tally(request, measure) {
            tally.add_latency(latency);
        }
    }

    /// A request has ended.
    pub fn record_end(&mut self, request: &ObservedRequest, failed: bool) {
        if let Some(tally) = self.tally(request, Measure::FirstByte) {
            tally.add_end(failed);
        }
    }

    fn tally(&mut self, request: &ObservedRequest, measure: Measure) -> Option<&mut Tally> {
        let running = self.running.get_mut(&request.service)?;
        if running.id != request.rollout {
            return None;
        }
        let class = RequestClass { route: request.route.clone(), size: request.size, measure };
        if running.outcomes.len() >= MAX_CLASSES && !running.outcomes.contains_key(&class) {
            return None;
        }
        let comparison = running.outcomes.entry(class).or_default();
        Some(if request.is_target { &mut comparison.target } else { &mut comparison.base })
    }

    // ---- Reports and shares ----

    /// Whether any roll-out has not ended.
    pub fn is_active(&self) -> bool {
        !self.known_since.is_empty()
    }

    /// The next report, to be sent now, and its number. `in_flight` counts requests in flight at other versions of a service.
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
                outcomes: running.map(|(_, running)| running.class_outcomes()).unwrap_or_default(),
            }
        };
        (self.last_request_id, self.known_since.iter().map(report).collect())
    }

    /// Takes the shares that respond to a report. Those of an earlier report are ignored: the age of that is not known any more.
    pub fn apply_shares(&mut self, request_id: u64, shares: &[ShareGrant]) {
        if request_id != self.last_request_id {
            return;
        }
        let until = self.report_sent_at + SHARE_LIFETIME;
        for running in self.running.values_mut() {
            let share = shares.iter().find(|share| share.id == running.id);
            let requests = share.and_then(|share| share.load_test);
            let load_test = requests.map(|requests| LoadTest { to_target: requests, to_base: requests });
            running.load_test = running.load_test.or(load_test);
            running.lease = share.map(|share| Lease {
                requests: (f64::from(share.share_per_mille) / 1_000.0).min(1.0),
                endpoints: f64::from(share.spread_per_mille) / 1_000.0,
                until,
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

    /// The version of the next request of the load test, if any is left; counts it as sent.
    fn next_of_load_test(&mut self) -> Option<String> {
        let load_test = self.load_test.as_mut()?;
        if load_test.to_target > 0 && load_test.to_target >= load_test.to_base {
            load_test.to_target -= 1;
            return Some(self.target_version.clone());
        }
        load_test.to_base = load_test.to_base.checked_sub(1)?;
        self.base_version.clone()
    }

    /// The outcomes that tell most: those of classes with requests at the new version, and with many.
    fn class_outcomes(&self) -> Vec<ClassOutcomes> {
        let mut classes: Vec<(&RequestClass, &Comparison)> = self.outcomes.iter().collect();
        classes.sort_by_key(|(_, comparison)| {
            let at_target = comparison.target.requests();
            std::cmp::Reverse((at_target > 0, at_target + comparison.base.requests()))
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
