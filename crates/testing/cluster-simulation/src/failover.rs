//! How long operators wait when the primary is lost.

use crate::cluster::{CallKey, Cluster, ClusterSettings, Observation};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use rand::Rng;
use serde_json::json;
use std::time::Duration;

/// Time until a new cluster is calm.
const LEAD: Duration = Duration::from_secs(4);
/// An operator without an answer asks another machine after this.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// No order is waited for longer.
const GIVE_UP: Duration = Duration::from_secs(20);

/// How a primary is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryLoss {
    /// Its process ends without warning.
    Crash,
    /// Its disk is lost too.
    Wipe,
    /// Nothing passes between it and any other machine.
    Cut,
    /// It stands still.
    Freeze,
    /// Its disk ends no write.
    DiskStall,
    /// All processes end without warning, and start again within half a second.
    CrashOfAll,
}

/// Time from the loss of the primary to the acknowledgement of an order that was first sent at that moment; `None` if
/// none comes or there was no primary.
pub fn time_to_acknowledge(settings: &ClusterSettings, loss: PrimaryLoss) -> Option<Duration> {
    let mut cluster = Cluster::new(settings.clone());
    cluster.run_until(LEAD);
    until_acknowledged(&mut cluster, 1, 0)?;
    let pause = Duration::from_millis(cluster.rng.random_range(0..500));
    cluster.run_until(cluster.now() + pause);
    let primary = cluster.primary()?;
    lose(&mut cluster, primary, loss);
    let lost_at = cluster.now();
    let acknowledged_at = until_acknowledged(&mut cluster, 2, 1)?;
    Some(acknowledged_at - lost_at)
}

fn lose(cluster: &mut Cluster, primary: usize, loss: PrimaryLoss) {
    match loss {
        PrimaryLoss::Crash => cluster.crash(primary),
        PrimaryLoss::Wipe => {
            cluster.crash(primary);
            cluster.wipe(primary);
            cluster.start_after(primary, Duration::from_millis(300));
        }
        PrimaryLoss::Cut => cluster.isolate(primary),
        PrimaryLoss::Freeze => cluster.pause(primary, GIVE_UP),
        PrimaryLoss::DiskStall => cluster.stall_disk(primary, GIVE_UP),
        PrimaryLoss::CrashOfAll => {
            for machine in 0..cluster.len() {
                cluster.crash(machine);
                let pause = Duration::from_millis(cluster.rng.random_range(450..500));
                cluster.start_after(machine, pause);
            }
        }
    }
}

/// Sends an order to one machine after the other until it is acknowledged. Returns when that was.
fn until_acknowledged(cluster: &mut Cluster, generation: u64, base: u64) -> Option<Duration> {
    let document = json!({ "generation": generation, "routes": [], "services": [{ "name": "s" }] });
    let order = ConfigurationChange { kind: ChangeKind::Replace, base, body: document.to_string().into() };
    let until = cluster.now() + GIVE_UP;
    while cluster.now() < until {
        let machine = cluster.rng.random_range(0..cluster.len());
        let called = cluster.call(machine, OperatorRequest::Change(order.clone()));
        let ask_again = cluster.now() + ASK_AGAIN;
        let Some((call, seen)) = called else {
            cluster.run_until(ask_again);
            continue;
        };
        let mut answer = answer_to(call, &seen);
        while answer.is_none() {
            let Some(seen) = cluster.step(ask_again) else { break };
            answer = answer_to(call, &seen);
        }
        if answer == Some(200) {
            return Some(cluster.now());
        }
    }
    None
}

fn answer_to(call: CallKey, seen: &[Observation]) -> Option<u16> {
    seen.iter().find_map(|one| match one {
        Observation::Answered { call: answered, answer } if *answered == call => Some(answer.status),
        _ => None,
    })
}
