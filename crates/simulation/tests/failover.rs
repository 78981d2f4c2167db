//! A lost primary is replaced in time.

use passrelay_simulation::cluster::ClusterSettings;
use passrelay_simulation::failover::{time_to_acknowledge, PrimaryLoss};
use rstest::rstest;
use std::time::Duration;

const HISTORIES: u64 = 100;

#[rstest]
#[case(PrimaryLoss::Crash)]
#[case(PrimaryLoss::Wipe)]
#[case(PrimaryLoss::Cut)]
#[case(PrimaryLoss::Freeze)]
fn the_next_order_is_acknowledged_within_a_second_and_a_half(#[case] loss: PrimaryLoss) {
    for seed in 0..HISTORIES {
        let settings = ClusterSettings {
            counted: 3,
            machines: 12,
            tolerated_losses: 1,
            delay: Duration::from_micros(500),
            loss: 0.0,
            mutant: None,
            fault: None,
            gossip_fault: None,
            seed,
        };
        let time = time_to_acknowledge(&settings, loss);
        assert!(time.is_some_and(|time| time < Duration::from_millis(1_500)), "seed {seed}: {time:?}");
    }
}
