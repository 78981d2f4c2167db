//! A lost primary is replaced in time, so that operators' changes are acknowledged again.

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
fn ninety_nine_of_a_hundred_next_orders_are_acknowledged_within_a_second_and_a_half(
    #[case] loss: PrimaryLoss,
) {
    let mut times = Vec::new();
    for seed in 0..HISTORIES {
        let settings = ClusterSettings { loss: 0.0, ..ClusterSettings::new(3, 12, seed) };
        times.push(time_to_acknowledge(&settings, loss).unwrap_or(Duration::MAX));
    }
    times.sort_unstable();
    let ninety_ninth = times[times.len() * 99 / 100];
    assert!(ninety_ninth < Duration::from_millis(1_500), "{ninety_ninth:?}");
    assert!(times.last().is_some_and(|worst| *worst < Duration::from_millis(2_500)), "{times:?}");
}
