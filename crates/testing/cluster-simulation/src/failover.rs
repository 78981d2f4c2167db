//! Measures how long operators wait for an acknowledgement after the loss of the primary.
//!
//! Each measurement injects a single loss into a cluster without other faults and checks no other property.

use crate::cluster::{CallKey, Cluster, ClusterSettings, Observation};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use rand::Rng;
use serde_json::json;
use std::time::Duration;

/// Time within which a new cluster becomes ready for the first change.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without an answer after which an operator calls another machine.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an unacknowledged change is given up.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(20);

/// The way in which a primary is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryLoss {
    /// Its process crashes.
    Crash,
    /// Its process crashes and restarts with an empty disk.
    Wipe,
    /// The primary is partitioned from all other machines in both directions.
    Partition,
    /// The machine is paused.
    Pause,
    /// No write to its disk completes.
    DiskStall,
    /// All processes crash, and restart within half a second.
    CrashOfAll,
}

/// Returns the time from the loss of the primary to the acknowledgement of a change that is first sent at that moment.
/// Returns `None` if there was no primary or a change is not acknowledged within 20 s.
pub fn time_to_acknowledge(settings: &ClusterSettings, loss: PrimaryLoss) -> Option<Duration> {
    let mut cluster = Cluster::new(settings.clone());
    cluster.run_until(BOOTSTRAP_TIMEOUT);
    acknowledged_at(&mut cluster, 1, 0)?;
    let delay = Duration::from_millis(cluster.rng.random_range(0..500));
    cluster.run_until(cluster.now() + delay);
    let primary = cluster.primary()?;
    inject_loss(&mut cluster, primary, loss);
    let lost_at = cluster.now();
    Some(acknowledged_at(&mut cluster, 2, 1)? - lost_at)
}

fn inject_loss(cluster: &mut Cluster, primary: usize, loss: PrimaryLoss) {
    match loss {
        PrimaryLoss::Crash => cluster.crash(primary),
        PrimaryLoss::Wipe => {
            cluster.crash(primary);
            cluster.wipe_disk(primary);
            cluster.start_after(primary, Duration::from_millis(300));
        }
        PrimaryLoss::Partition => cluster.isolate(primary),
        PrimaryLoss::Pause => cluster.pause(primary, ACKNOWLEDGE_TIMEOUT),
        PrimaryLoss::DiskStall => cluster.stall_disk(primary, ACKNOWLEDGE_TIMEOUT),
        PrimaryLoss::CrashOfAll => {
            for machine in 0..cluster.len() {
                cluster.crash(machine);
                let delay = Duration::from_millis(cluster.rng.random_range(450..500));
                cluster.start_after(machine, delay);
            }
        }
    }
}

/// Sends a change to one random machine after the other until it is acknowledged. Returns the time of the acknowledgement,
/// or `None` after `ACKNOWLEDGE_TIMEOUT`.
fn acknowledged_at(cluster: &mut Cluster, generation: u64, base: u64) -> Option<Duration> {
    let document = json!({ "generation": generation, "routes": [], "services": [{ "name": "s" }] });
    let change = ConfigurationChange { kind: ChangeKind::Replace, base, body: document.to_string().into() };
    let deadline = cluster.now() + ACKNOWLEDGE_TIMEOUT;
    while cluster.now() < deadline {
        let machine = cluster.rng.random_range(0..cluster.len());
        let called = cluster.call(machine, OperatorRequest::Change(change.clone()));
        let retry_at = cluster.now() + RETRY_INTERVAL;
        let Some((call, observations)) = called else {
            cluster.run_until(retry_at);
            continue;
        };
        let mut status = status_of(call, &observations);
        while status.is_none() {
            let Some(observations) = cluster.step(retry_at) else { break };
            status = status_of(call, &observations);
        }
        if status == Some(200) {
            return Some(cluster.now());
        }
    }
    None
}

fn status_of(call: CallKey, observations: &[Observation]) -> Option<u16> {
    observations.iter().find_map(|observation| match observation {
        Observation::Answered { call: answered, answer } if *answered == call => Some(answer.status),
        _ => None,
    })
}
