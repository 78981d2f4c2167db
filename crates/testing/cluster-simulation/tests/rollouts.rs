//! Roll-outs despite the losses of a cluster: an acknowledged order is never lost, all processes agree on its outcome, a bad
//! version never comes into service and gets no more requests than its bound, and the roll-out of a good version is completed
//! by its deadline on a cluster without faults.

use passrelay_cluster_simulation::cluster::{
    CallKey, Cluster, ClusterSettings, Observation, HEARTBEAT_INTERVAL,
};
use passrelay_configuration::{RolloutOrder, RolloutPhase};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::rollout::RolloutMessage;
use passrelay_control_plane::OperatorRequest;
use passrelay_data_plane::rollout_shares::{RequestFeatures, RolloutShares};
use passrelay_dissemination::{EndpointRecord, EndpointState, Heartbeat, LatencyMeasure};
use rand::seq::SliceRandom;
use rand::Rng;
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

const SERVICE: &str = "s";
const SEEDS: u64 = 30;
const DEADLINE: Duration = Duration::from_secs(14);
const EXPOSURE_RATIO: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
/// Interval between two reports of a sidecar.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two requests of a sidecar.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a cluster has recovered from its losses.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// The behavior of requests at the target version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Quality {
    Good,
    /// A third of the requests fail.
    Failing,
    /// Half of the requests take eight times as long.
    Slow,
    /// Half of the requests fail at an endpoint under a load test.
    FailingUnderLoad,
    /// A third of the requests fail from 3.4 s after the order on.
    FailingLate,
}

/// The roll-out state of a sidecar, for one incarnation of its process.
struct SidecarState {
    incarnation: u64,
    shares: RolloutShares,
    target_in_service: bool,
    target_was_used: bool,
}

/// A cluster with sidecars that send requests, and endpoints of two versions.
struct TestCluster {
    cluster: Cluster,
    sidecars: BTreeMap<usize, SidecarState>,
    answers: BTreeMap<CallKey, (u16, String)>,
    quality: Quality,
    has_target_endpoints: bool,
    heartbeat_sequence: u64,
    order_sent_at: Option<Duration>,
    requests: f64,
    target_requests: f64,
    next_heartbeat: Duration,
    next_report: Duration,
}

impl TestCluster {
    fn start(voters: usize, machines: usize, seed: u64, quality: Quality) -> Self {
        let settings =
            ClusterSettings { records_versions: true, ..ClusterSettings::new(voters, machines, seed) };
        let mut test = TestCluster {
            cluster: Cluster::new(settings),
            sidecars: BTreeMap::new(),
            answers: BTreeMap::new(),
            quality,
            has_target_endpoints: false,
            heartbeat_sequence: 0,
            order_sent_at: None,
            requests: 0.0,
            target_requests: 0.0,
            next_heartbeat: Duration::ZERO,
            next_report: Duration::ZERO,
        };
        test.run(Duration::from_secs(4));
        let document = json!({ "generation": 1, "routes": [], "services": [{ "name": SERVICE }] });
        let change =
            ConfigurationChange { kind: ChangeKind::Replace, base: 0, body: document.to_string().into() };
        assert_eq!(test.call_until_answered(&OperatorRequest::Change(change)).0, 200);
        test.run(Duration::from_secs(3));
        test
    }

    fn run(&mut self, time: Duration) {
        let until = self.cluster.now() + time;
        while self.cluster.now() < until {
            let now = self.cluster.now();
            if now >= self.next_heartbeat {
                self.next_heartbeat = now + HEARTBEAT_INTERVAL / 2;
                self.send_heartbeats();
            }
            if now >= self.next_report {
                self.next_report = now + REPORT_INTERVAL;
                self.report();
            }
            self.send_requests();
            let observations = self.cluster.run_until((now + REQUEST_INTERVAL).min(until));
            self.observe(observations);
        }
    }

    fn send_heartbeats(&mut self) {
        self.heartbeat_sequence += 1;
        let versions = if self.has_target_endpoints { vec!["v1", "v2"] } else { vec!["v1"] };
        for (group, version) in versions.into_iter().enumerate() {
            for index in 0..4 {
                let running: Vec<usize> =
                    (0..self.cluster.len()).filter(|machine| self.cluster.is_responsive(*machine)).collect();
                if running.is_empty() {
                    return;
                }
                let machine = running[self.cluster.rng.random_range(0..running.len())];
                let record = EndpointRecord {
                    id: format!("{version}-{index}"),
                    service: SERVICE.to_owned(),
                    address: format!("10.9.{group}.1:{}", 1_000 + index)
                        .parse()
                        .expect("invalid endpoint address"),
                    zone: "z".to_owned(),
                    capacity: 64,
                    state: EndpointState::Ready,
                    sequence: self.heartbeat_sequence,
                    version: version.to_owned(),
                };
                let observations = self.cluster.heartbeat(machine, &Heartbeat { record }).unwrap_or_default();
                self.observe(observations);
            }
        }
    }

    fn report(&mut self) {
        for machine in 0..self.cluster.len() {
            let incarnation = self.cluster.incarnation(machine);
            if !self.cluster.is_responsive(machine) {
                continue;
            }
            let now = self.cluster.local_now(machine);
            let Some(sidecar) = self.sidecars.get_mut(&machine) else { continue };
            if sidecar.incarnation != incarnation || !sidecar.shares.is_active() {
                continue;
            }
            let (request_id, reports) = sidecar.shares.next_report(now, |_, _| 0);
            let observations = self.cluster.report_rollouts(machine, request_id, reports).unwrap_or_default();
            self.observe(observations);
        }
    }

    /// Sends one request at each responsive sidecar and records its outcome.
    fn send_requests(&mut self) {
        let since_order = self.order_sent_at.map(|at| self.cluster.now().saturating_sub(at));
        for machine in 0..self.cluster.len() {
            let now = self.cluster.local_now(machine);
            let incarnation = self.cluster.incarnation(machine);
            if !self.cluster.is_responsive(machine) {
                continue;
            }
            let Some(sidecar) = self.sidecars.get_mut(&machine) else { continue };
            if sidecar.incarnation != incarnation {
                continue;
            }
            let choice = sidecar.shares.choose(now, SERVICE).filter(|_| self.has_target_endpoints);
            let is_load_test = choice.as_ref().is_some_and(|choice| choice.is_load_test);
            let features = RequestFeatures { route: "r", prefill_tokens: 100, is_load_test };
            let is_canary = choice.is_some_and(|choice| choice.version == "v2");
            let is_target = is_canary || sidecar.target_in_service;
            sidecar.target_was_used |= is_target;
            if since_order.is_some_and(|time| time < DEADLINE) {
                self.requests += 1.0;
                self.target_requests += f64::from(u8::from(is_target));
            }
            let chance: f64 = self.cluster.rng.random();
            let is_late = since_order.is_some_and(|time| time > Duration::from_millis(3_400));
            let fails = match self.quality {
                Quality::Failing => chance < 0.33,
                Quality::FailingLate => is_late && chance < 0.33,
                Quality::FailingUnderLoad => is_load_test && chance < 0.5,
                Quality::Good | Quality::Slow => false,
            };
            let latency_factor = if self.quality == Quality::Slow && chance < 0.5 { 8.0 } else { 1.0 };
            let base_latency_s = 0.05 * (1.0 + self.cluster.rng.random::<f64>());
            let version = if is_target { "v2" } else { "v1" };
            let latency = Duration::from_secs_f64(if is_target {
                base_latency_s * latency_factor
            } else {
                base_latency_s
            });
            if let Some(request) = sidecar.shares.observe(SERVICE, version, features) {
                sidecar.shares.record_latency(&request, LatencyMeasure::FirstByte, latency);
                sidecar.shares.record_end(&request, is_target && fails);
            }
        }
    }

    fn observe(&mut self, observations: Vec<Observation>) {
        for observation in observations {
            match observation {
                Observation::Configured { machine, incarnation, configuration } => {
                    let now = self.cluster.local_now(machine);
                    let known =
                        self.sidecars.entry(machine).or_insert_with(|| SidecarState::new(incarnation));
                    if known.incarnation != incarnation {
                        *known = SidecarState::new(incarnation);
                    }
                    known.shares.configure(now, &configuration.rollouts);
                    known.target_in_service = configuration.service_versions.get(SERVICE) == Some("v2");
                }
                Observation::RolloutSharesGranted { machine, incarnation, grant } => {
                    let RolloutMessage::Grant { request_id, shares } = grant else { continue };
                    let sidecar = self.sidecars.get_mut(&machine);
                    if let Some(sidecar) = sidecar.filter(|sidecar| sidecar.incarnation == incarnation) {
                        sidecar.shares.apply_shares(request_id, &shares);
                    }
                }
                Observation::Answered { call, answer } => {
                    self.answers.insert(call, (answer.status, answer.body.to_string()));
                }
                _ => {}
            }
        }
    }

    /// Calls random machines until one answers with a status below 500.
    fn call_until_answered(&mut self, request: &OperatorRequest) -> (u16, String) {
        for _ in 0..80 {
            let machine = self.cluster.rng.random_range(0..self.cluster.len());
            if self.cluster.is_responsive(machine) {
                if let Some((key, observations)) = self.cluster.call(machine, request.clone()) {
                    self.observe(observations);
                    self.run(Duration::from_millis(400));
                    if let Some(answer) = self.answers.remove(&key).filter(|(status, _)| *status < 500) {
                        return answer;
                    }
                }
            }
            self.run(Duration::from_millis(200));
        }
        panic!("no answer with a status below 500 to {request:?}");
    }

    fn order_rollout(&mut self) {
        self.order_sent_at = Some(self.cluster.now());
        let (status, body) = self.call_until_answered(&OperatorRequest::OrderRollout(rollout_order("v2")));
        assert_eq!(status, 200, "{body}");
        self.has_target_endpoints = true;
    }

    /// Reads the state and target version of the current roll-out, as operators see them.
    fn read_rollout(&mut self) -> (String, String) {
        let request = OperatorRequest::ReadRollout { service: SERVICE.to_owned() };
        let (status, body) = self.call_until_answered(&request);
        assert_eq!(status, 200, "{body}");
        let body: Value = serde_json::from_str(&body).expect("the body is not JSON");
        let text = |key: &str| body[key].as_str().expect("the field is not a string").to_owned();
        (text("state"), text("target-version"))
    }

    fn crash_and_start(&mut self, machines: &[usize], wiped: &[usize], down: Duration) {
        for machine in machines {
            self.cluster.crash(*machine);
        }
        for machine in wiped {
            self.cluster.wipe_disk(*machine);
        }
        for machine in machines {
            self.cluster.start_after(*machine, down);
        }
    }

    fn assert_exposure(&self, context: &str) {
        let bound = EXPOSURE_RATIO * self.requests + EXPOSURE_SLACK;
        assert!(
            self.target_requests <= bound,
            "{context}: {} of {} requests",
            self.target_requests,
            self.requests
        );
    }

    /// Checks that all running processes agree on the phase of the roll-out and on the version in service.
    fn assert_outcome(&self, phase: RolloutPhase, version: &str, context: &str) {
        for machine in (0..self.cluster.len()).filter(|machine| self.cluster.is_running(*machine)) {
            let status =
                self.cluster.process(machine).expect("no process runs on the machine").status(Duration::ZERO);
            let current = status.rollouts.get(SERVICE).and_then(|rollouts| rollouts.current.clone());
            let found = current.as_ref().map(|rollout| rollout.phase);
            assert_eq!(found, Some(phase), "{context}, machine {machine}: {current:?}");
            assert_eq!(status.service_versions.get(SERVICE), Some(version), "{context}, machine {machine}");
        }
    }
}

impl SidecarState {
    fn new(incarnation: u64) -> Self {
        let shares = RolloutShares::new(0.5);
        SidecarState { incarnation, shares, target_in_service: false, target_was_used: false }
    }
}

fn rollout_order(version: &str) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        target_version: version.to_owned(),
        deadline_ms: u64::try_from(DEADLINE.as_millis()).expect("the deadline does not fit into 64 bits"),
    }
}

#[rstest]
#[case::three_voters(3, 6)]
#[case::six_voters(6, 9)]
fn a_good_version_is_completed_by_its_deadline(#[case] voters: usize, #[case] machines: usize) {
    for seed in 0..SEEDS {
        let mut test = TestCluster::start(voters, machines, seed, Quality::Good);
        test.order_rollout();
        let order_sent_at = test.order_sent_at.expect("no order was sent");
        while test.read_rollout().0 == "running" {
            test.run(Duration::from_millis(200));
        }
        let after = test.cluster.now() - order_sent_at;
        assert!(after < DEADLINE, "seed {seed}: {after:?}");
        test.run(Duration::from_secs(2));
        test.assert_outcome(RolloutPhase::Completed, "v2", &format!("seed {seed}"));
    }
}

#[rstest]
#[case::failing(Quality::Failing)]
#[case::failing_late(Quality::FailingLate)]
#[case::slow(Quality::Slow)]
#[case::failing_under_load(Quality::FailingUnderLoad)]
fn a_bad_version_is_rolled_back_within_its_exposure_bound(#[case] quality: Quality) {
    for seed in 0..SEEDS {
        let mut test = TestCluster::start(3, 12, seed, quality);
        test.order_rollout();
        test.run(DEADLINE);
        test.assert_exposure(&format!("seed {seed}"));
        assert!(test.target_requests > 0.0, "seed {seed}: the target version got no request");
        test.assert_outcome(RolloutPhase::RolledBack, "v1", &format!("seed {seed}"));
    }
}

// Guards against a controller without a term, evidence that is counted twice after a failover, an order that is acknowledged
// before it is durable, and a share that outlives its controller.
#[rstest]
#[case::good(Quality::Good)]
#[case::failing(Quality::Failing)]
#[case::failing_late(Quality::FailingLate)]
fn a_roll_out_survives_the_loss_of_its_controller_at_any_moment(#[case] quality: Quality) {
    for seed in 0..SEEDS {
        let context = format!("seed {seed}");
        let mut test = TestCluster::start(6, 9, seed, quality);
        test.order_rollout();
        for _ in 0..3 {
            let wait = test.cluster.rng.random_range(0..4_000);
            test.run(Duration::from_millis(wait));
            let primary = test.cluster.primary();
            let machine = primary.unwrap_or_else(|| test.cluster.rng.random_range(0..6));
            if test.cluster.rng.random_bool(0.3) {
                test.cluster.pause(machine, Duration::from_millis(2_500));
            } else {
                let down = Duration::from_millis(test.cluster.rng.random_range(100..2_000));
                test.crash_and_start(&[machine], &[], down);
            }
        }
        test.run(DEADLINE + RECOVERY_TIME);
        let (state, version) = test.read_rollout();
        assert!(version == "v2" && state != "running", "{context}: {state} {version}");
        if quality == Quality::Good {
            let phase = if state == "completed" { RolloutPhase::Completed } else { RolloutPhase::RolledBack };
            test.assert_outcome(phase, if state == "completed" { "v2" } else { "v1" }, &context);
        } else {
            test.assert_exposure(&context);
            test.assert_outcome(RolloutPhase::RolledBack, "v1", &context);
        }
    }
}

#[test]
fn an_acknowledged_order_survives_a_crash_of_all_machines_and_tolerated_disk_losses() {
    for seed in 0..SEEDS {
        let mut test = TestCluster::start(6, 9, seed, Quality::Good);
        test.order_rollout();
        test.has_target_endpoints = false;
        let mut wiped: Vec<usize> = (0..6).collect();
        wiped.shuffle(&mut test.cluster.rng);
        wiped.truncate(2);
        let all: Vec<usize> = (0..9).collect();
        test.crash_and_start(&all, &wiped, Duration::from_millis(700));
        test.run(Duration::from_secs(3));
        let (_, version) = test.read_rollout();
        assert_eq!(version, "v2", "seed {seed}");
        test.run(DEADLINE + RECOVERY_TIME);
        test.assert_outcome(RolloutPhase::RolledBack, "v1", &format!("seed {seed}"));
        assert!(
            test.sidecars.values().all(|sidecar| !sidecar.target_was_used),
            "seed {seed}: the target version got a request"
        );
    }
}

#[test]
fn a_repeated_order_is_acknowledged_and_another_one_waits_for_it() {
    for seed in 0..SEEDS {
        let mut test = TestCluster::start(3, 6, seed, Quality::Failing);
        test.order_rollout();
        let repeated = test.call_until_answered(&OperatorRequest::OrderRollout(rollout_order("v2")));
        assert_eq!(repeated.0, 200, "seed {seed}: {}", repeated.1);
        let next = test.call_until_answered(&OperatorRequest::OrderRollout(rollout_order("v3")));
        assert_eq!(next.0, 200, "seed {seed}: {}", next.1);
        assert_eq!(test.read_rollout().1, "v2", "seed {seed}: the second order did not wait for the first");
        test.run(DEADLINE + Duration::from_secs(4));
        assert_eq!(test.read_rollout(), ("rolled_back".to_owned(), "v3".to_owned()), "seed {seed}");
        let repeated = test.call_until_answered(&OperatorRequest::OrderRollout(rollout_order("v3")));
        assert_eq!(repeated.0, 200, "seed {seed}: {}", repeated.1);
        test.run(Duration::from_secs(1));
        assert!(test.cluster.primary().is_some());
    }
}
