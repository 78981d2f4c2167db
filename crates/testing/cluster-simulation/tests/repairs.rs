//! Losses in an order that leaves one member with the only copy for a while.

use passrelay_cluster_simulation::cluster::{CallKey, Cluster, ClusterSettings, Observation};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::replication::ProtocolMutation;
use passrelay_control_plane::OperatorRequest;
use serde_json::json;
use std::time::Duration;

const SEEDS: u64 = 16;
/// Bytes of a document that takes a second or two on a link of 10 Mbit/s.
const BIG: usize = 8_000_000;
const LINK: u64 = 1_250_000;

fn order(generation: u64, base: u64) -> OperatorRequest {
    let document = json!({ "generation": generation, "routes": [], "services": [{ "name": "s" }],
        "note": "x".repeat(BIG) });
    OperatorRequest::Change(ConfigurationChange {
        kind: ChangeKind::Replace,
        base,
        body: document.to_string().into(),
    })
}

fn status(call: CallKey, seen: &[Observation]) -> Option<(u16, String)> {
    seen.iter().find_map(|one| match one {
        Observation::Answered { call: answered, answer } if *answered == call => {
            Some((answer.status, answer.body.to_string()))
        }
        _ => None,
    })
}

/// Calls at a machine and plays for a time; the answer, if one came.
fn ask(
    cluster: &mut Cluster,
    machine: usize,
    request: OperatorRequest,
    wait: Duration,
) -> Option<(u16, String)> {
    let (call, seen) = cluster.call(machine, request)?;
    let until = cluster.now() + wait;
    status(call, &seen).or_else(|| status(call, &cluster.run_until(until)))
}

/// Asks again and again until an order is acknowledged.
fn until_acknowledged(cluster: &mut Cluster, generation: u64, base: u64) {
    for _ in 0..40 {
        if let Some(primary) = cluster.primary() {
            let answer = ask(cluster, primary, order(generation, base), Duration::from_millis(900));
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
        }
        cluster.run_until(cluster.now() + Duration::from_millis(200));
    }
    panic!("order {generation} was never acknowledged");
}

/// One member is dark and comes back; while it still fetches the state another goes dark; what the third alone holds is
/// told to it, and its disk is lost. Returns the generations acknowledged and read in the end.
fn second_copy_lost(seed: u64, fault: Option<ProtocolMutation>) -> (u64, u64) {
    let mut cluster = Cluster::new(ClusterSettings {
        link_bytes_per_s: LINK,
        loss: 0.0,
        fault,
        ..ClusterSettings::new(3, 3, seed)
    });
    cluster.run_until(Duration::from_secs(5));
    until_acknowledged(&mut cluster, 1, 0);
    cluster.run_until(cluster.now() + Duration::from_secs(6));
    let primary = cluster.primary().expect("a primary");
    let others: Vec<usize> = (0..3).filter(|m| *m != primary).collect();
    cluster.crash(others[1]);
    cluster.run_until(cluster.now() + Duration::from_secs(2));
    until_acknowledged(&mut cluster, 2, 1);
    cluster.start_after(others[1], Duration::ZERO);
    cluster.run_until(cluster.now() + Duration::from_millis(300));
    cluster.crash(others[0]);
    cluster.run_until(cluster.now() + Duration::from_millis(700 + 10 * (seed % 40)));
    let answer = ask(&mut cluster, primary, order(3, 2), Duration::from_millis(300));
    let acknowledged = if answer.is_some_and(|(status, _)| status == 200) { 3 } else { 2 };
    cluster.crash(primary);
    cluster.wipe(primary);
    cluster.start_after(primary, Duration::from_millis(300));
    cluster.start_after(others[0], Duration::from_millis(300));
    cluster.run_until(cluster.now() + Duration::from_secs(25));
    let read = (0..3).find_map(|m| ask(&mut cluster, m, OperatorRequest::Read, Duration::from_secs(1)));
    let body: serde_json::Value = serde_json::from_str(&read.expect("an answer").1).expect("it is JSON");
    (acknowledged, body["generation"].as_u64().unwrap_or(0))
}

#[test]
fn nothing_is_acknowledged_that_one_member_alone_holds() {
    for seed in 0..SEEDS {
        let (acknowledged, read) = second_copy_lost(seed, None);
        assert!(read >= acknowledged, "seed {seed}: {acknowledged} was acknowledged, {read} was read");
    }
}

#[test]
fn a_member_removed_while_it_holds_the_only_second_copy_is_found_out() {
    let lost = |seed: &u64| {
        let (acknowledged, read) = second_copy_lost(*seed, Some(ProtocolMutation::RemovesLastReplicas));
        read < acknowledged
    };
    let found = (0..SEEDS).find(lost);
    println!("RemovesLastCopies: seed {found:?}");
    assert!(found.is_some());
}
