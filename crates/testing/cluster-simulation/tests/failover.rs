//! A lost primary is replaced within a bounded time, after which operators' changes are acknowledged again.

use passrelay_cluster_simulation::cluster::ClusterSettings;
use passrelay_cluster_simulation::failover::{time_to_acknowledge, PrimaryLoss};
use rstest::rstest;
use std::time::Duration;

const HISTORIES: u64 = 300;

#[rstest]
#[case(PrimaryLoss::Crash)]
#[case(PrimaryLoss::Wipe)]
#[case(PrimaryLoss::Partition)]
#[case(PrimaryLoss::Pause)]
#[case(PrimaryLoss::CrashOfAll)]
fn p99_of_the_time_to_the_next_acknowledgement_is_below_1500_ms(#[case] loss: PrimaryLoss) {
    let mut times = Vec::new();
    for seed in 0..HISTORIES {
        let settings = ClusterSettings { loss: 0.0, ..ClusterSettings::new(3, 12, seed) };
        times.push(time_to_acknowledge(&settings, loss).unwrap_or(Duration::MAX));
    }
    times.sort_unstable();
    let p99 = times[times.len() * 99 / 100];
    assert!(p99 < Duration::from_millis(1_500), "p99 after {loss:?}: {p99:?}");
    assert!(
        times.last().is_some_and(|worst| *worst < Duration::from_millis(2_500)),
        "sorted times after {loss:?}: {times:?}"
    );
}
