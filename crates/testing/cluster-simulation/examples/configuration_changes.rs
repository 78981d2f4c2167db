//! Measures the cost of changing a large configuration, with and without deltas: bytes sent, processor time, time until the
//! operator is answered, and time for a member that was down to catch up.
//!
//! `cargo run --release -p passrelay-cluster-simulation --example configuration_changes`

use passrelay_cluster_simulation::cluster::{Builds, Cluster, ClusterSettings, Observation};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Number of routes in the document.
const ROUTES: usize = 1_600;
/// Number of tenants in the document.
const TENANTS: usize = 250;
/// Bandwidth of each uplink: 10 Mbit/s, in bytes per second.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// Time without an answer after which a change is sent again.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a condition is polled in simulated time.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time recorded for a member that has not caught up by then.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(60);

fn route(number: usize, timeout_ms: u64) -> Value {
    json!({ "name": format!("r-{number}"), "hostname": "relay.example", "path-prefix": format!("/p{number}/"),
        "route-type": "streaming", "timeout-ms": timeout_ms, "target-latency-ms": 500, "priority": 0,
        "backend": "model", "max-attempts": 2, "session-affinity": true, "resumable": true })
}

fn first_document() -> String {
    let routes: Vec<Value> = (0..ROUTES).map(|number| route(number, 3_000)).collect();
    let tenant = |number: usize| {
        json!({ "name": format!("t-{number}"), "api-keys": [format!("key-{number}-a"), format!("key-{number}-b")],
            "priority": 1, "unit": "token_usage", "rate-per-s": 100_000, "burst": 100_000 })
    };
    let tenants: Vec<Value> = (0..TENANTS).map(tenant).collect();
    json!({ "generation": 1, "routes": routes, "services": [{ "name": "model" }], "tenants": tenants })
        .to_string()
}

/// Returns a patch that changes one route.
fn patch(generation: u64) -> String {
    let changed = route(generation as usize % ROUTES, 2_000 + generation);
    json!({ "generation": generation, "upsert": { "routes": [changed] } }).to_string()
}

/// Sends a change until it is acknowledged. Returns the simulated time that this took.
fn apply(cluster: &mut Cluster, change: &ConfigurationChange) -> Duration {
    let started_at = cluster.now();
    loop {
        let primary = cluster.primary().unwrap_or(0);
        let sent_at = cluster.now();
        let call = cluster.call(primary, OperatorRequest::Change(change.clone()));
        let mut observations = call.map(|(_, observations)| observations).unwrap_or_default();
        while cluster.now() < sent_at + RETRY_TIMEOUT {
            let acknowledged = |observation: &Observation| matches!(observation, Observation::Answered { answer, .. } if answer.status == 200);
            if observations.iter().any(acknowledged) {
                return cluster.now() - started_at;
            }
            let next = cluster.now() + POLL_INTERVAL;
            observations = cluster.run_until(next);
        }
    }
}

fn index_at(cluster: &Cluster, machine: usize) -> u64 {
    let replica = cluster.process(machine).and_then(|process| process.replica());
    replica.map_or(0, |replica| replica.state().version.index)
}

/// Restarts a member and waits until its state has reached `index`. Returns the simulated time that this took.
fn catch_up(cluster: &mut Cluster, machine: usize, index: u64) -> Duration {
    let started_at = cluster.now();
    cluster.start_after(machine, Duration::ZERO);
    while index_at(cluster, machine) < index && cluster.now() < started_at + CATCH_UP_TIMEOUT {
        let next = cluster.now() + POLL_INTERVAL;
        cluster.run_until(next);
    }
    cluster.now() - started_at
}

/// Returns the quantile `part`, from 0 to 1, in milliseconds.
fn quantile(times: &mut [Duration], part: f64) -> u128 {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * part) as usize].as_millis()
}

/// Measures one configuration and prints its row of the table.
fn measure(builds: Builds, voters: usize, machines: usize, changes: u64) {
    let settings = ClusterSettings {
        builds,
        loss: 0.0,
        link_bytes_per_s: LINK_BYTES_PER_S,
        ..ClusterSettings::new(voters, machines, 1)
    };
    let mut cluster = Cluster::new(settings);
    cluster.run_until(Duration::from_secs(5));
    let document = first_document();
    apply(
        &mut cluster,
        &ConfigurationChange { kind: ChangeKind::Replace, base: 0, body: document.as_str().into() },
    );
    let next = cluster.now() + Duration::from_secs(5);
    cluster.run_until(next);
    let primary = cluster.primary().unwrap_or(0);
    let down = (0..voters).find(|voter| *voter != primary).unwrap_or(0);
    cluster.crash(down);
    let next = cluster.now() + Duration::from_secs(2);
    cluster.run_until(next);

    cluster.counts_bytes = true;
    let before = cluster.bytes_sent.clone();
    let started_at = Instant::now();
    let simulated_start = cluster.now();
    let mut waits = Vec::new();
    for generation in 2..2 + changes {
        let body = patch(generation).into();
        waits.push(apply(
            &mut cluster,
            &ConfigurationChange { kind: ChangeKind::Patch, base: generation - 1, body },
        ));
    }
    let processor = started_at.elapsed();
    let simulated = cluster.now() - simulated_start;
    let sent: Vec<u64> =
        cluster.bytes_sent.iter().zip(&before).map(|(after, before)| after - before).collect();
    let sidecars = &sent[voters..];
    let newest = index_at(&cluster, primary);
    let caught_up = catch_up(&mut cluster, down, newest);
    println!(
        "| {builds:?} | {voters} of {machines} | {changes} | {} | {:.1} | {:.1} | {:.2} | {} / {} | {:.0} | {} |",
        document.len() / 1_000,
        sent[primary] as f64 / changes as f64 / 1_000.0,
        sidecars.iter().sum::<u64>() as f64 / sidecars.len() as f64 / changes as f64 / 1_000.0,
        processor.as_secs_f64() * 1_000.0 / changes as f64 / machines as f64,
        quantile(&mut waits, 0.5),
        quantile(&mut waits, 0.99),
        simulated.as_secs_f64(),
        caught_up.as_millis(),
    );
}

fn main() {
    println!("| builds | members of machines | changes | document, KB | KB a change, primary | KB a change, sidecar | processor, ms a change and machine | answered, ms p50 / p99 | all, s | caught up, ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    measure(Builds::Earlier, 3, 12, 300);
    measure(Builds::Current, 3, 12, 300);
    measure(Builds::Current, 3, 12, 1_500);
    measure(Builds::Current, 8, 90, 300);
}
