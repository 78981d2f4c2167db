//! The version in service survives the losses of a cluster: endpoints of another version must not be put in service by a
//! failover, a lost disk or a restart of all machines.

use passrelay_cluster_simulation::cluster::{Cluster, ClusterSettings, HEARTBEAT_INTERVAL};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use passrelay_dissemination::{EndpointRecord, EndpointState, Heartbeat};
use rand::seq::SliceRandom;
use rstest::rstest;
use serde_json::{json, Value};
use std::time::Duration;

const SERVICE: &str = "s";
const SEEDS: u64 = 40;
/// Time after which a change is in force on all machines of a cluster without faults.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
/// Time after which a cluster has recovered from its losses.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Endpoints of one version, which send heartbeats to random machines.
struct Endpoints {
    version: &'static str,
    count: u16,
}

/// A cluster, its endpoints and the generation of its configuration.
struct TestCluster {
    cluster: Cluster,
    endpoints: Vec<Endpoints>,
    heartbeat_sequence: u64,
    generation: u64,
}

impl TestCluster {
    /// Starts a cluster with a configuration and with endpoints of `v1`.
    fn start(voters: usize, machines: usize, seed: u64) -> Self {
        let settings =
            ClusterSettings { records_versions: true, ..ClusterSettings::new(voters, machines, seed) };
        let endpoints = vec![Endpoints { version: "v1", count: 3 }];
        let mut test =
            TestCluster { cluster: Cluster::new(settings), endpoints, heartbeat_sequence: 0, generation: 0 };
        test.run(Duration::from_secs(4));
        test.change(None);
        test.run(APPLY_TIME);
        test
    }

    /// Runs the cluster for a time while the endpoints send heartbeats.
    fn run(&mut self, time: Duration) {
        let until = self.cluster.now() + time;
        while self.cluster.now() < until {
            self.send_heartbeats();
            let next = self.cluster.now() + HEARTBEAT_INTERVAL / 2;
            self.cluster.run_until(next.min(until));
        }
    }

    fn send_heartbeats(&mut self) {
        self.heartbeat_sequence += 1;
        let running: Vec<usize> =
            (0..self.cluster.len()).filter(|m| self.cluster.is_responsive(*m)).collect();
        for (group, endpoints) in self.endpoints.iter().enumerate() {
            for index in 0..endpoints.count {
                let mut order = running.clone();
                order.shuffle(&mut self.cluster.rng);
                let Some(machine) = order.first() else { return };
                let record = EndpointRecord {
                    id: format!("{}-{index}", endpoints.version),
                    service: SERVICE.to_owned(),
                    address: format!("10.9.{group}.1:{}", 1_000 + index)
                        .parse()
                        .expect("invalid endpoint address"),
                    zone: "z".to_owned(),
                    capacity: 4,
                    state: EndpointState::Ready,
                    sequence: self.heartbeat_sequence,
                    version: endpoints.version.to_owned(),
                };
                self.cluster.heartbeat(*machine, &Heartbeat { record });
            }
        }
    }

    /// Sends a configuration with `version` for the service, if given, until it is in force at the primary.
    fn change(&mut self, version: Option<&str>) {
        let (base, generation) = (self.generation, self.generation + 1);
        let document: Value = json!({ "generation": generation, "routes": [],
            "services": [{ "name": SERVICE, "version": version }] });
        let change =
            ConfigurationChange { kind: ChangeKind::Replace, base, body: document.to_string().into() };
        for _ in 0..60 {
            if let Some(primary) = self.cluster.primary() {
                self.cluster.call(primary, OperatorRequest::Change(change.clone()));
                self.run(Duration::from_millis(500));
                let status = self.cluster.process(primary).map(|process| process.status(Duration::ZERO));
                if status.is_some_and(|status| status.generation == generation) {
                    self.generation = generation;
                    return;
                }
            }
            self.run(Duration::from_millis(300));
        }
        panic!("generation {generation} was never in force");
    }

    /// Returns the version in service according to each running machine.
    fn versions(&self) -> Vec<Option<String>> {
        let processes = (0..self.cluster.len()).filter_map(|machine| self.cluster.process(machine));
        let version = |process: &passrelay_control_plane::Coordinator| {
            process.status(Duration::ZERO).service_versions.get(SERVICE).map(str::to_owned)
        };
        processes.map(version).collect()
    }

    fn assert_in_service(&self, version: &str, when: &str) {
        let versions = self.versions();
        assert!(
            !versions.is_empty() && versions.iter().all(|known| known.as_deref() == Some(version)),
            "{when}: {versions:?}"
        );
    }

    fn crash_and_start(&mut self, machines: &[usize], wiped: &[usize]) {
        for machine in machines {
            self.cluster.crash(*machine);
        }
        for machine in wiped {
            self.cluster.wipe_disk(*machine);
        }
        for machine in machines {
            self.cluster.start_after(*machine, Duration::from_millis(600));
        }
    }
}

// Guards against a primary that derives the version in service from the endpoints registered at the moment. This may happen
// after a failover, or after a crash of all machines that loses as many disks as tolerated, while the endpoints of the second
// version are in the majority.
#[rstest]
#[case::three_voters(3, 6)]
#[case::six_voters(6, 9)]
fn a_second_version_stays_out_of_service_through_losses(#[case] voters: usize, #[case] machines: usize) {
    for seed in 0..SEEDS {
        let mut test = TestCluster::start(voters, machines, seed);
        test.assert_in_service("v1", &format!("seed {seed}, after the start"));
        test.endpoints.push(Endpoints { version: "v2", count: 5 });
        test.run(Duration::from_secs(2));
        let primary = test.cluster.primary().expect("no primary is established");
        test.crash_and_start(&[primary], &[]);
        test.run(RECOVERY_TIME);
        test.change(None);
        test.run(APPLY_TIME);
        test.assert_in_service("v1", &format!("seed {seed}, after the loss of the primary"));
        let all: Vec<usize> = (0..machines).collect();
        let mut wiped: Vec<usize> = (0..voters).collect();
        wiped.shuffle(&mut test.cluster.rng);
        wiped.truncate(if voters >= 5 { 2 } else { 1 });
        test.crash_and_start(&all, &wiped);
        // The endpoints of the first version send heartbeats only 3 s after the crash.
        let first = test.endpoints.remove(0);
        test.run(Duration::from_secs(3));
        test.endpoints.push(first);
        test.run(RECOVERY_TIME);
        test.assert_in_service("v1", &format!("seed {seed}, after the loss of all"));
    }
}

#[test]
fn a_version_set_by_the_configuration_stays_when_the_next_one_names_none() {
    for seed in 0..SEEDS {
        let mut test = TestCluster::start(3, 5, seed);
        test.endpoints.push(Endpoints { version: "v2", count: 2 });
        test.run(Duration::from_secs(2));
        test.change(Some("v2"));
        test.run(APPLY_TIME);
        test.assert_in_service("v2", &format!("seed {seed}, after the change"));
        test.change(None);
        test.run(APPLY_TIME);
        test.assert_in_service("v2", &format!("seed {seed}, after the next change"));
    }
}
