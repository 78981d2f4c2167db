//! A sequence of losses that temporarily leaves one voter with the only replica of a change.

use passrelay_cluster_simulation::cluster::{CallKey, Cluster, ClusterSettings, Observation};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::replication::ProtocolMutation;
use passrelay_control_plane::{OperatorAnswer, OperatorRequest};
use serde_json::json;
use std::time::Duration;

const SEEDS: u64 = 16;
/// Padding of a document, in bytes, large enough for it to take a second or two on a slow link.
const LARGE_PADDING: usize = 8_000_000;
/// Bandwidth of a slow link: 10 Mbit/s, in bytes per second.
const SLOW_LINK: u64 = 1_250_000;

/// The newest acknowledged generation of a scenario, and the one read at its end.
struct LastGenerations {
    acknowledged: u64,
    read: u64,
}

fn change_request(generation: u64, base: u64) -> OperatorRequest {
    let document = json!({ "generation": generation, "routes": [], "services": [{ "name": "s" }],
        "note": "x".repeat(LARGE_PADDING) });
    OperatorRequest::Change(ConfigurationChange {
        kind: ChangeKind::Replace,
        base,
        body: document.to_string().into(),
    })
}

fn answer_to(call: CallKey, observations: &[Observation]) -> Option<OperatorAnswer> {
    observations.iter().find_map(|observation| match observation {
        Observation::Answered { call: answered, answer } if *answered == call => Some(answer.clone()),
        _ => None,
    })
}

/// Calls a machine and runs the cluster for `wait` unless the answer is immediate. Returns the answer, if there was one.
fn call(
    cluster: &mut Cluster,
    machine: usize,
    request: OperatorRequest,
    wait: Duration,
) -> Option<OperatorAnswer> {
    let (call, observations) = cluster.call(machine, request)?;
    let until = cluster.now() + wait;
    answer_to(call, &observations).or_else(|| answer_to(call, &cluster.run_until(until)))
}

/// Sends a change to the primary until it is acknowledged.
fn change_until_acknowledged(cluster: &mut Cluster, generation: u64, base: u64) {
    for _ in 0..40 {
        if let Some(primary) = cluster.primary() {
            let answer = call(cluster, primary, change_request(generation, base), Duration::from_millis(900));
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
        }
        cluster.run_until(cluster.now() + Duration::from_millis(200));
    }
    panic!("generation {generation} was never acknowledged");
}

/// Crashes and restarts one voter, and crashes another while the first still fetches the state. The third, which alone holds
/// the newest state, then receives another change and loses its disk. Returns the generations acknowledged and read.
fn lose_second_replica(seed: u64, protocol_mutation: Option<ProtocolMutation>) -> LastGenerations {
    let mut cluster = Cluster::new(ClusterSettings {
        link_bytes_per_s: SLOW_LINK,
        loss: 0.0,
        protocol_mutation,
        ..ClusterSettings::new(3, 3, seed)
    });
    cluster.run_until(Duration::from_secs(5));
    change_until_acknowledged(&mut cluster, 1, 0);
    cluster.run_until(cluster.now() + Duration::from_secs(6));
    let primary = cluster.primary().expect("no primary is established");
    let others: Vec<usize> = (0..3).filter(|m| *m != primary).collect();
    cluster.crash(others[1]);
    cluster.run_until(cluster.now() + Duration::from_secs(2));
    change_until_acknowledged(&mut cluster, 2, 1);
    cluster.start_after(others[1], Duration::ZERO);
    cluster.run_until(cluster.now() + Duration::from_millis(300));
    cluster.crash(others[0]);
    cluster.run_until(cluster.now() + Duration::from_millis(700 + 10 * (seed % 40)));
    let answer = call(&mut cluster, primary, change_request(3, 2), Duration::from_millis(300));
    let acknowledged = if answer.is_some_and(|answer| answer.status == 200) { 3 } else { 2 };
    cluster.crash(primary);
    cluster.wipe_disk(primary);
    cluster.start_after(primary, Duration::from_millis(300));
    cluster.start_after(others[0], Duration::from_millis(300));
    cluster.run_until(cluster.now() + Duration::from_secs(25));
    let read = (0..3).find_map(|m| call(&mut cluster, m, OperatorRequest::Read, Duration::from_secs(1)));
    let body: serde_json::Value = serde_json::from_str(&read.expect("no machine answered the read").body)
        .expect("the body is not JSON");
    LastGenerations { acknowledged, read: body["generation"].as_u64().unwrap_or(0) }
}

#[test]
fn a_change_held_by_a_single_member_is_not_acknowledged() {
    for seed in 0..SEEDS {
        let LastGenerations { acknowledged, read } = lose_second_replica(seed, None);
        assert!(read >= acknowledged, "seed {seed}: {acknowledged} was acknowledged, {read} was read");
    }
}

#[test]
fn removing_the_member_with_the_last_second_replica_is_detected() {
    let loses_change = |seed: &u64| {
        let LastGenerations { acknowledged, read } =
            lose_second_replica(*seed, Some(ProtocolMutation::RemovesLastReplicas));
        read < acknowledged
    };
    let found = (0..SEEDS).find(loses_change);
    println!("RemovesLastReplicas: seed {found:?}");
    assert!(found.is_some());
}
