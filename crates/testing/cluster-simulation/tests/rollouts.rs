//! Roll-outs through the losses of a cluster: an acknowledged order is never lost, all processes agree on its end, a bad version never comes
//! into service and gets no more than its bound, and a good one is completed by its deadline on a calm cluster.

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
/// Time between two reports of a sidecar.
const REPORT: Duration = Duration::from_millis(300);
/// Time between two requests of a sidecar.
const REQUEST: Duration = Duration::from_millis(50);
/// A cluster is whole again after this time.
const RECOVERY: Duration = Duration::from_secs(15);

/// How requests at the new version end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Quality {
    Good,
    /// A third of them fails.
    Failing,
    /// Half of them takes eight times as long.
    Slow,
    /// Half of them fails at an endpoint that is busy.
    FailingUnderLoad,
    /// A third fails from some time after the order on.
    FailingLate,
}

/// A sidecar's part, of one incarnation of a process.
struct SidecarState {
    incarnation: u64,
    shares: RolloutShares,
    target_in_service: bool,
    seen_target: bool,
}

/// A cluster with sidecars that send requests, and endpoints of two versions.
struct Story {
    cluster: Cluster,
    sidecars: BTreeMap<usize, SidecarState>,
    answers: BTreeMap<CallKey, (u16, String)>,
    quality: Quality,
    has_target_endpoints: bool,
    beats: u64,
    ordered_at: Option<Duration>,
    requests: f64,
    exposed: f64,
    next_beat: Duration,
    next_report: Duration,
}

impl Story {
    fn begin(voters: usize, machines: usize, seed: u64, quality: Quality) -> Self {
        let settings =
            ClusterSettings { records_versions: true, ..ClusterSettings::new(voters, machines, seed) };
        let mut story = Story {
            cluster: Cluster::new(settings),
            sidecars: BTreeMap::new(),
            answers: BTreeMap::new(),
            quality,
            has_target_endpoints: false,
            beats: 0,
            ordered_at: None,
            requests: 0.0,
            exposed: 0.0,
            next_beat: Duration::ZERO,
            next_report: Duration::ZERO,
        };
        story.run(Duration::from_secs(4));
        let document = json!({ "generation": 1, "routes": [], "services": [{ "name": SERVICE }] });
        let change =
            ConfigurationChange { kind: ChangeKind::Replace, base: 0, body: document.to_string().into() };
        assert_eq!(story.call_until_answered(&OperatorRequest::Change(change)).0, 200);
        story.run(Duration::from_secs(3));
        story
    }

    fn run(&mut self, time: Duration) {
        let until = self.cluster.now() + time;
        while self.cluster.now() < until {
            let now = self.cluster.now();
            if now >= self.next_beat {
                self.next_beat = now + HEARTBEAT_INTERVAL / 2;
                self.beat();
            }
            if now >= self.next_report {
                self.next_report = now + REPORT;
                self.report();
            }
            self.send_requests();
            let seen = self.cluster.run_until((now + REQUEST).min(until));
            self.observe(seen);
        }
    }

    fn beat(&mut self) {
        self.beats += 1;
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
                    address: format!("10.9.{group}.1:{}", 1_000 + index).parse().expect("an address"),
                    zone: "z".to_owned(),
                    capacity: 64,
                    state: EndpointState::Ready,
                    sequence: self.beats,
                    version: version.to_owned(),
                };
                let seen = self.cluster.heartbeat(machine, &Heartbeat { record }).unwrap_or_default();
                self.observe(seen);
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
            let seen = self.cluster.report_rollouts(machine, request_id, reports).unwrap_or_default();
            self.observe(seen);
        }
    }

    /// Every sidecar sends one request.
    fn send_requests(&mut self) {
        let since_order = self.ordered_at.map(|at| self.cluster.now().saturating_sub(at));
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
            sidecar.seen_target |= is_target;
            if since_order.is_some_and(|time| time < DEADLINE) {
                self.requests += 1.0;
                self.exposed += f64::from(u8::from(is_target));
            }
            let chance: f64 = self.cluster.rng.random();
            let late = since_order.is_some_and(|time| time > Duration::from_millis(3_400));
            let fails = match self.quality {
                Quality::Failing => chance < 0.33,
                Quality::FailingLate => late && chance < 0.33,
                Quality::FailingUnderLoad => is_load_test && chance < 0.5,
                Quality::Good | Quality::Slow => false,
            };
            let slow = if self.quality == Quality::Slow && chance < 0.5 { 8.0 } else { 1.0 };
            let usual = 0.05 * (1.0 + self.cluster.rng.random::<f64>());
            let version = if is_target { "v2" } else { "v1" };
            let latency = Duration::from_secs_f64(if is_target { usual * slow } else { usual });
            if let Some(request) = sidecar.shares.observe(SERVICE, version, features) {
                sidecar.shares.record_latency(&request, LatencyMeasure::FirstByte, latency);
                sidecar.shares.record_end(&request, is_target && fails);
            }
        }
    }

    fn observe(&mut self, seen: Vec<Observation>) {
        for observation in seen {
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

    /// Calls machines drawn at random until one has a clear answer.
    fn call_until_answered(&mut self, request: &OperatorRequest) -> (u16, String) {
        for _ in 0..80 {
            let machine = self.cluster.rng.random_range(0..self.cluster.len());
            if self.cluster.is_responsive(machine) {
                if let Some((key, seen)) = self.cluster.call(machine, request.clone()) {
                    self.observe(seen);
                    self.run(Duration::from_millis(400));
                    if let Some(answer) = self.answers.remove(&key).filter(|(status, _)| *status < 500) {
                        return answer;
                    }
                }
            }
            self.run(Duration::from_millis(200));
        }
        panic!("no clear answer to {request:?}");
    }

    fn order(&mut self) {
        self.ordered_at = Some(self.cluster.now());
        let (status, body) = self.call_until_answered(&OperatorRequest::OrderRollout(order_of("v2")));
        assert_eq!(status, 200, "{body}");
        self.has_target_endpoints = true;
    }

    /// State and version that operators are told.
    fn read(&mut self) -> (String, String) {
        let request = OperatorRequest::ReadRollout { service: SERVICE.to_owned() };
        let (status, body) = self.call_until_answered(&request);
        assert_eq!(status, 200, "{body}");
        let body: Value = serde_json::from_str(&body).expect("JSON");
        let text = |key: &str| body[key].as_str().expect("a text").to_owned();
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

    fn assert_exposure(&self, what: &str) {
        let bound = EXPOSURE_RATIO * self.requests + EXPOSURE_SLACK;
        assert!(self.exposed <= bound, "{what}: {} of {} requests", self.exposed, self.requests);
    }

    /// All processes have the same end, and the version that belongs to it.
    fn assert_agreed(&self, phase: RolloutPhase, version: &str, what: &str) {
        for machine in (0..self.cluster.len()).filter(|machine| self.cluster.is_running(*machine)) {
            let status = self.cluster.process(machine).expect("a process").status(Duration::ZERO);
            let current = status.rollouts.get(SERVICE).and_then(|rollouts| rollouts.current.clone());
            let found = current.as_ref().map(|one| one.phase);
            assert_eq!(found, Some(phase), "{what}, machine {machine}: {current:?}");
            assert_eq!(status.service_versions.get(SERVICE), Some(version), "{what}, machine {machine}");
        }
    }
}

impl SidecarState {
    fn new(incarnation: u64) -> Self {
        let shares = RolloutShares::new(0.5);
        SidecarState { incarnation, shares, target_in_service: false, seen_target: false }
    }
}

fn order_of(version: &str) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        target_version: version.to_owned(),
        deadline_ms: u64::try_from(DEADLINE.as_millis()).expect("small"),
    }
}

#[rstest]
#[case::three_voters(3, 6)]
#[case::six_voters(6, 9)]
fn a_good_version_is_completed_by_its_deadline(#[case] voters: usize, #[case] machines: usize) {
    for seed in 0..SEEDS {
        let mut story = Story::begin(voters, machines, seed, Quality::Good);
        story.order();
        let ordered_at = story.ordered_at.expect("ordered");
        while story.read().0 == "running" {
            story.run(Duration::from_millis(200));
        }
        let after = story.cluster.now() - ordered_at;
        assert!(after < DEADLINE, "seed {seed}: {after:?}");
        story.run(Duration::from_secs(2));
        story.assert_agreed(RolloutPhase::Completed, "v2", &format!("seed {seed}"));
    }
}

#[rstest]
#[case::failing(Quality::Failing)]
#[case::failing_late(Quality::FailingLate)]
#[case::slow(Quality::Slow)]
#[case::failing_under_load(Quality::FailingUnderLoad)]
fn a_bad_version_is_rolled_back_and_gets_little_until_then(#[case] quality: Quality) {
    for seed in 0..SEEDS {
        let mut story = Story::begin(3, 12, seed, quality);
        story.order();
        story.run(DEADLINE);
        story.assert_exposure(&format!("seed {seed}"));
        assert!(story.exposed > 0.0, "seed {seed}: it was tried");
        story.assert_agreed(RolloutPhase::RolledBack, "v1", &format!("seed {seed}"));
    }
}

// Guards against a controller without a term, evidence that counts twice after a failover, an order that is acknowledged before it is
// durable, and a share that outlives its controller.
#[rstest]
#[case::good(Quality::Good)]
#[case::failing(Quality::Failing)]
#[case::failing_late(Quality::FailingLate)]
fn a_roll_out_survives_the_loss_of_its_controller_at_any_moment(#[case] quality: Quality) {
    for seed in 0..SEEDS {
        let what = format!("seed {seed}");
        let mut story = Story::begin(6, 9, seed, quality);
        story.order();
        for _ in 0..3 {
            let wait = story.cluster.rng.random_range(0..4_000);
            story.run(Duration::from_millis(wait));
            let primary = story.cluster.primary();
            let machine = primary.unwrap_or_else(|| story.cluster.rng.random_range(0..6));
            if story.cluster.rng.random_bool(0.3) {
                story.cluster.pause(machine, Duration::from_millis(2_500));
            } else {
                let down = Duration::from_millis(story.cluster.rng.random_range(100..2_000));
                story.crash_and_start(&[machine], &[], down);
            }
        }
        story.run(DEADLINE + RECOVERY);
        let (state, version) = story.read();
        assert!(version == "v2" && state != "running", "{what}: {state} {version}");
        if quality == Quality::Good {
            let phase = if state == "completed" { RolloutPhase::Completed } else { RolloutPhase::RolledBack };
            story.assert_agreed(phase, if state == "completed" { "v2" } else { "v1" }, &what);
        } else {
            story.assert_exposure(&what);
            story.assert_agreed(RolloutPhase::RolledBack, "v1", &what);
        }
    }
}

#[test]
fn an_acknowledged_order_outlives_all_machines_and_tolerated_disks() {
    for seed in 0..SEEDS {
        let mut story = Story::begin(6, 9, seed, Quality::Good);
        story.order();
        story.has_target_endpoints = false;
        let mut wiped: Vec<usize> = (0..6).collect();
        wiped.shuffle(&mut story.cluster.rng);
        wiped.truncate(2);
        let all: Vec<usize> = (0..9).collect();
        story.crash_and_start(&all, &wiped, Duration::from_millis(700));
        story.run(Duration::from_secs(3));
        let (_, version) = story.read();
        assert_eq!(version, "v2", "seed {seed}");
        story.run(DEADLINE + RECOVERY);
        story.assert_agreed(RolloutPhase::RolledBack, "v1", &format!("seed {seed}"));
        assert!(story.sidecars.values().all(|sidecar| !sidecar.seen_target), "seed {seed}: it got nothing");
    }
}

#[test]
fn the_same_order_again_is_acknowledged_and_another_one_waits_for_it() {
    for seed in 0..SEEDS {
        let mut story = Story::begin(3, 6, seed, Quality::Failing);
        story.order();
        let again = story.call_until_answered(&OperatorRequest::OrderRollout(order_of("v2")));
        assert_eq!(again.0, 200, "seed {seed}: {}", again.1);
        let next = story.call_until_answered(&OperatorRequest::OrderRollout(order_of("v3")));
        assert_eq!(next.0, 200, "seed {seed}: {}", next.1);
        assert_eq!(story.read().1, "v2", "seed {seed}: the first is judged first");
        story.run(DEADLINE + Duration::from_secs(4));
        assert_eq!(story.read(), ("rolled_back".to_owned(), "v3".to_owned()), "seed {seed}");
        let again = story.call_until_answered(&OperatorRequest::OrderRollout(order_of("v3")));
        assert_eq!(again.0, 200, "seed {seed}: {}", again.1);
        story.run(Duration::from_secs(1));
        assert!(story.cluster.primary().is_some());
    }
}
