//! Regression tests against digests of random histories, recorded with version 0.2.0: a program with the same behavior has
//! to reproduce them.
//!
//! The digests cover numbers and encoded messages, never names from the source. Each case has two digests, over the first 20
//! seeds and over 100; only the former are checked unless `TRACE_SEEDS=100` is set.

use passrelay_cluster_simulation::cluster::{
    Builds, Cluster, ClusterSettings, Observation, HEARTBEAT_INTERVAL,
};
use passrelay_cluster_simulation::disk::DiskMutation;
use passrelay_cluster_simulation::failover::{time_to_acknowledge, PrimaryLoss};
use passrelay_cluster_simulation::faults::FaultInjector;
use passrelay_cluster_simulation::history::{self, HistorySettings, Scenario};
use passrelay_cluster_simulation::limits::{self, ConfigurationChanges, LimitSettings};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::quota::{QuotaMessage, TenantKey};
use passrelay_control_plane::{OperatorRequest, Status};
use passrelay_dissemination::{EndpointRecord, EndpointState, Heartbeat};
use rand::Rng;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of seeds of the first digest.
const FIRST_SEEDS: u64 = 20;
/// Number of seeds of the second digest.
const ALL_SEEDS: u64 = 100;

/// A 64-bit FNV-1a hash.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    fn duration(&mut self, time: Duration) {
        self.number(time.as_nanos() as u64);
    }

    /// Adds the CBOR encoding of a value, as it is sent on the wire.
    fn encoded<T: serde::Serialize>(&mut self, value: &T) {
        let mut bytes = Vec::new();
        ciborium::into_writer(value, &mut bytes).expect("cannot encode the value as CBOR");
        self.bytes(&bytes);
    }
}

/// Runs the seeds one after the other and compares the digest after the first 20 and, if requested, after 100.
fn assert_digests(expected: [u64; 2], mut run: impl FnMut(u64, &mut Digest)) {
    let runs_all = std::env::var("TRACE_SEEDS").is_ok_and(|seeds| seeds == ALL_SEEDS.to_string());
    let mut digest = Digest::new();
    let mut found = Vec::new();
    for seed in 0..if runs_all { ALL_SEEDS } else { FIRST_SEEDS } {
        run(seed, &mut digest);
        if [FIRST_SEEDS, ALL_SEEDS].contains(&(seed + 1)) {
            found.push(digest.0);
        }
    }
    assert_eq!(found, expected[..found.len()], "found {found:#x?}");
}

/// Digests of random histories as in `histories`: the number of violations, the number of acknowledged changes, and the
/// longest time to an acknowledgement in nanoseconds.
#[rstest]
#[case::mixed_3_of_12(Scenario::Mixed, 3, 12, [0x3e68_658c_b1e0_c2f0, 0x7a15_65b1_ede4_d07f])]
#[case::mixed_5_of_12(Scenario::Mixed, 5, 12, [0x59d0_8358_3f97_a853, 0x3469_c811_1121_c6ea])]
#[case::mixed_8_of_20(Scenario::Mixed, 8, 20, [0xa897_7b20_899d_b69f, 0x9b30_ff35_e063_9faa])]
#[case::long_partitions_3_of_6(Scenario::LongPartitions, 3, 6, [0x4e1b_1e37_a555_2e1c, 0x1b9b_59eb_e7aa_f64e])]
#[case::long_partitions_5_of_8(Scenario::LongPartitions, 5, 8, [0xa8e3_8ffa_9f0b_0d9f, 0x9731_8890_a3af_9715])]
#[case::long_partitions_8_of_12(Scenario::LongPartitions, 8, 12, [0xca13_075e_fece_5b04, 0x4ad8_086b_3693_d5a2])]
#[case::races_3_of_6(Scenario::Races, 3, 6, [0x1777_f14a_a682_a682, 0xa2a0_c2c2_f645_8203])]
#[case::races_5_of_8(Scenario::Races, 5, 8, [0x02ee_e393_036e_83dd, 0xb122_61b4_f16f_065b])]
#[case::races_8_of_12(Scenario::Races, 8, 12, [0x6cad_4bae_ea79_1745, 0xf259_54e7_81d6_3962])]
#[case::repairs_3_of_6(Scenario::Repairs, 3, 6, [0x3fe3_0300_596e_30d0, 0x2e0a_5a24_9f34_561b])]
#[case::repairs_5_of_8(Scenario::Repairs, 5, 8, [0xfbb4_1259_4a45_929b, 0x8033_45ab_aa12_5e78])]
#[case::repairs_8_of_12(Scenario::Repairs, 8, 12, [0xbd89_4165_634c_76c1, 0xeadc_0a58_42b2_7573])]
#[case::bootstrap_3_of_6(Scenario::Bootstrap, 3, 6, [0x0867_4282_da1b_0763, 0x8848_60e2_dcdf_9407])]
#[case::bootstrap_5_of_8(Scenario::Bootstrap, 5, 8, [0x9fe2_6268_bb71_fe69, 0xb7be_a20d_126a_c4b1])]
#[case::bootstrap_8_of_12(Scenario::Bootstrap, 8, 12, [0x52ca_7b8d_0779_c3e3, 0xd700_fe07_ba3d_5a2f])]
fn histories_match_recorded_digests(
    #[case] scenario: Scenario,
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] expected: [u64; 2],
) {
    assert_history_digests(scenario, voters, machines, None, expected);
}

/// With disks that take the seeds of each start for those of the first one, the bootstrap has to proceed as it did before
/// the seeds of the first start were stored.
#[rstest]
#[case::bootstrap_3_of_6(3, 6, [0x0867_4282_da1b_0763, 0xdbf5_17d5_ad5e_6001])]
#[case::bootstrap_5_of_8(5, 8, [0x8dda_7b24_671c_782a, 0x1919_61d8_7183_01b3])]
#[case::bootstrap_8_of_12(8, 12, [0x52ca_7b8d_0779_c3e3, 0xd700_fe07_ba3d_5a2f])]
fn bootstrap_from_the_seeds_of_each_start_matches_recorded_digests(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] expected: [u64; 2],
) {
    let disk_mutation = Some(DiskMutation::ForgetsSeeds);
    assert_history_digests(Scenario::Bootstrap, voters, machines, disk_mutation, expected);
}

fn assert_history_digests(
    scenario: Scenario,
    voters: usize,
    machines: usize,
    disk_mutation: Option<DiskMutation>,
    expected: [u64; 2],
) {
    assert_digests(expected, |seed, digest| {
        let settings = HistorySettings {
            cluster: ClusterSettings { disk_mutation, ..ClusterSettings::new(voters, machines, seed) },
            scenario,
            catch_up_time: Duration::from_secs(4),
            duration: Duration::from_secs(20),
            padding: 0,
            items: 0,
        };
        add_history(&settings, digest);
    });
}

fn add_history(settings: &HistorySettings, digest: &mut Digest) {
    let outcome = history::simulate(settings);
    digest.number(outcome.violations.len() as u64);
    digest.number(outcome.acknowledged as u64);
    digest.duration(outcome.max_acknowledge_time);
}

/// Histories of hundreds of changes over slow links; only three seeds, because they take long.
#[rstest]
#[case(3, 4, 0xdb69_5085_aa7d_2e68)]
#[case(5, 6, 0x6bbf_f707_1cce_fc1a)]
fn histories_of_many_changes_match_recorded_digests(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] expected: u64,
) {
    let mut digest = Digest::new();
    for seed in 1..4 {
        let mut settings = HistorySettings {
            cluster: ClusterSettings::new(voters, machines, seed),
            scenario: Scenario::ManyChanges,
            catch_up_time: Duration::from_secs(4),
            duration: Duration::from_secs(5),
            padding: 20_000,
            items: 0,
        };
        settings.cluster.link_bytes_per_s = 1_250_000;
        add_history(&settings, &mut digest);
    }
    assert_eq!(digest.0, expected, "found {:#x}", digest.0);
}

/// Histories of the fleet-wide limits: requests sent and rejected by tenant, keys revoked, endpoints drained.
#[rstest]
#[case::three_of_twelve(3, 12, [0x96fd_492f_1b19_43dd, 0x299e_ba15_edb5_ed45])]
#[case::five_of_twelve(5, 12, [0xe696_26c0_8bd1_1f0a, 0x847d_e3e3_7060_a93d])]
fn limit_histories_match_recorded_digests(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] expected: [u64; 2],
) {
    assert_digests(expected, |seed, digest| {
        let cluster = ClusterSettings::new(voters, machines, seed);
        let outcome = limits::simulate(&LimitSettings {
            cluster,
            changes: ConfigurationChanges::ReplaceKeys,
            fault_free: false,
            mutation: None,
        });
        digest.number(outcome.violations.len() as u64);
        for by_tenant in [&outcome.sent, &outcome.rejected] {
            for (tenant, requests) in by_tenant {
                digest.bytes(tenant.as_bytes());
                digest.number(*requests as u64);
            }
        }
        digest.number(outcome.revoked as u64);
        digest.number(outcome.drained as u64);
    });
}

/// The time that operators wait for an acknowledgement after the loss of the primary.
#[rstest]
#[case::crash(PrimaryLoss::Crash, [0x7905_e993_e163_5851, 0xfafd_208b_3482_3513])]
#[case::wipe(PrimaryLoss::Wipe, [0x8f82_6e72_8da9_8a44, 0xfa5c_a282_0f8c_4bb8])]
#[case::partition(PrimaryLoss::Partition, [0x9d56_c354_f8cc_4c29, 0x14bb_a852_5eb1_5b60])]
#[case::pause(PrimaryLoss::Pause, [0x715e_0eb7_e426_6127, 0xc2da_12ae_993a_1819])]
#[case::disk_stall(PrimaryLoss::DiskStall, [0x0c10_b324_8b95_ec40, 0x105d_c010_52a6_a779])]
#[case::crash_of_all(PrimaryLoss::CrashOfAll, [0xfa87_b40a_2fa7_fad3, 0x180c_6742_1e6e_000f])]
fn failover_times_match_recorded_digests(#[case] loss: PrimaryLoss, #[case] expected: [u64; 2]) {
    assert_digests(expected, |seed, digest| {
        let settings = ClusterSettings { loss: 0.0, ..ClusterSettings::new(3, 12, seed) };
        let time = time_to_acknowledge(&settings, loss);
        digest.number(u64::from(time.is_some()));
        digest.duration(time.unwrap_or_default());
    });
}

/// A cluster with changes, reads, endpoints, quota requests and faults. The digest covers each observation and its time, the
/// messages and bytes sent by each machine, and the final state of each process.
struct ObservedCluster<'a> {
    cluster: Cluster,
    faults: FaultInjector,
    digest: &'a mut Digest,
    /// Number of observations of each kind, to check that all kinds are covered.
    counts: &'a mut [usize; 4],
    generation: u64,
    last_request_id: u64,
}

/// The part of a status that the recorded digests cover; the order of the fields is that of the encoding.
#[derive(serde::Serialize)]
struct RecordedStatus {
    generation: u64,
    index: u64,
    fresh_age_ms: Option<u64>,
    term: u64,
    primary: Option<SocketAddrV4>,
    members: Vec<SocketAddrV4>,
    leads: bool,
    peers: usize,
    endpoints: usize,
    answers_dropped: u64,
}

impl From<Status> for RecordedStatus {
    fn from(status: Status) -> Self {
        assert!(
            status.service_versions.is_empty(),
            "service versions recorded by a cluster that records none"
        );
        RecordedStatus {
            generation: status.generation,
            index: status.index,
            fresh_age_ms: status.fresh_age_ms,
            term: status.term,
            primary: status.primary,
            members: status.members,
            leads: status.leads,
            peers: status.peers,
            endpoints: status.endpoints,
            answers_dropped: status.answers_dropped,
        }
    }
}

/// Simulated time for which an observed cluster runs.
const DURATION: Duration = Duration::from_secs(15);
/// Interval between inputs to the cluster.
const INPUT_INTERVAL: Duration = Duration::from_millis(50);
const ENDPOINTS: u64 = 5;

impl ObservedCluster<'_> {
    fn run(&mut self) {
        self.cluster.counts_bytes = true;
        let mut at = Duration::ZERO;
        while at < DURATION {
            at += INPUT_INTERVAL;
            while let Some(observations) = self.cluster.step(at) {
                self.record(observations);
            }
            self.faults.apply_due(&mut self.cluster);
            if at > DURATION / 5 {
                self.inject_input();
            }
        }
        for machine in 0..self.cluster.len() {
            self.digest.number(self.cluster.messages_sent[machine]);
            self.digest.number(self.cluster.bytes_sent[machine]);
            self.digest.duration(self.cluster.fresh_at(machine).unwrap_or_default());
            let now = self.cluster.local_now(machine);
            let Some(process) = self.cluster.process(machine) else { continue };
            self.digest.encoded(&RecordedStatus::from(process.status(now)));
            if let Some(replica) = process.replica() {
                self.digest.encoded(replica.state());
            }
        }
    }

    /// Passes a random input to a random machine, or injects a fault.
    fn inject_input(&mut self) {
        let machine = self.cluster.rng.random_range(0..self.cluster.len());
        let observations = match self.cluster.rng.random_range(0..10) {
            0 => self.cluster.call(machine, OperatorRequest::Read).map(|(_, observations)| observations),
            1 | 2 => self.propose_change(machine),
            3..=5 => self.send_heartbeat(machine),
            6..=8 => self.request_tokens(machine),
            _ => {
                if self.cluster.rng.random_bool(0.5) {
                    self.faults.inject(&mut self.cluster);
                }
                None
            }
        };
        self.digest.number(u64::from(observations.is_some()));
        self.record(observations.unwrap_or_default());
    }

    fn propose_change(&mut self, machine: usize) -> Option<Vec<Observation>> {
        let base = self.generation;
        let document = json!({
            "generation": base + 1,
            "routes": [],
            "services": [{ "name": "s" }],
            "tenants": [{ "name": "t", "api-keys": ["k"], "unit": "requests", "rate-per-s": 100.0, "burst": 50.0 }],
        });
        let change =
            ConfigurationChange { kind: ChangeKind::Replace, base, body: document.to_string().into() };
        Some(self.cluster.call(machine, OperatorRequest::Change(change))?.1)
    }

    fn send_heartbeat(&mut self, machine: usize) -> Option<Vec<Observation>> {
        let number = self.cluster.rng.random_range(0..ENDPOINTS);
        let draining = self.cluster.rng.random_bool(0.1);
        let sequence = (self.cluster.now().as_millis() / HEARTBEAT_INTERVAL.as_millis()) as u64;
        let id = format!("e{number}");
        let record = EndpointRecord {
            id: id.clone(),
            service: "s".to_owned(),
            address: format!("10.9.0.{}:80", number + 1).parse().expect("invalid endpoint address"),
            zone: format!("z{}", number % 2),
            capacity: 4,
            state: if draining { EndpointState::Draining } else { EndpointState::Ready },
            sequence,
            version: String::new(),
        };
        let mut observations = self.cluster.heartbeat(machine, &Heartbeat { record })?;
        if draining {
            let (announcement, more) = self.cluster.announce(machine, &id)?;
            self.digest.number(announcement.0);
            observations.extend(more);
        }
        Some(observations)
    }

    fn request_tokens(&mut self, machine: usize) -> Option<Vec<Observation>> {
        self.last_request_id += 1;
        let wanted = vec![(TenantKey::of("t"), self.cluster.rng.random_range(1..40))];
        let request = QuotaMessage::Request {
            request_id: self.last_request_id,
            wanted: wanted.into_iter().map(Into::into).collect(),
            overdrawn: Vec::new(),
        };
        self.cluster.request_tokens(machine, request)
    }

    fn count_observation(&mut self, kind: usize) {
        self.digest.number(kind as u64);
        self.counts[kind - 1] += 1;
    }

    fn record(&mut self, observations: Vec<Observation>) {
        for observation in observations {
            self.digest.duration(self.cluster.now());
            match observation {
                Observation::Configured { machine, incarnation, configuration } => {
                    self.count_observation(1);
                    self.digest.number(machine as u64);
                    self.digest.number(incarnation);
                    self.digest.encoded(&configuration);
                    self.generation = self.generation.max(configuration.generation);
                }
                Observation::Answered { call, answer } => {
                    self.count_observation(2);
                    self.digest.number(call.machine as u64);
                    self.digest.number(call.incarnation);
                    self.digest.number(call.call.0);
                    self.digest.encoded(&answer);
                }
                Observation::AnnouncementConfirmed { machine, incarnation, announcement } => {
                    self.count_observation(3);
                    self.digest.number(machine as u64);
                    self.digest.number(incarnation);
                    self.digest.number(announcement.0);
                }
                Observation::QuotaGranted { machine, incarnation, grant } => {
                    self.count_observation(4);
                    self.digest.number(machine as u64);
                    self.digest.number(incarnation);
                    self.digest.encoded(&grant);
                }
                Observation::RolloutSharesGranted { .. } => {
                    panic!("a roll-out in a cluster without roll-outs")
                }
            }
        }
    }
}

#[rstest]
#[case::three_of_six(Builds::Earlier, 3, 6, [0x7ef6_56bf_c261_962e, 0x5129_090e_ba51_fc07])]
#[case::five_of_twelve(Builds::Earlier, 5, 12, [0x5a90_898e_bee0_e451, 0x93f7_ad35_054c_9893])]
#[case::three_of_six_with_deltas(Builds::Current, 3, 6, [0xb364_eb04_a2aa_cc05, 0x01d6_6f4e_d50f_9188])]
#[case::five_of_twelve_with_deltas(Builds::Current, 5, 12, [0xdd5f_56ca_49bf_19be, 0x55d4_6ca3_6b79_6b1d])]
fn cluster_observations_match_recorded_digests(
    #[case] builds: Builds,
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] expected: [u64; 2],
) {
    let mut counts = [0; 4];
    assert_digests(expected, |seed, digest| {
        let settings = ClusterSettings { builds, ..ClusterSettings::new(voters, machines, seed) };
        let faults = FaultInjector::new(settings.tolerated_losses, Duration::from_secs(4));
        let cluster = Cluster::new(settings);
        ObservedCluster { cluster, faults, digest, counts: &mut counts, generation: 0, last_request_id: 0 }
            .run();
    });
    assert!(counts.iter().all(|count| *count >= 100), "observations by kind: {counts:?}");
}
