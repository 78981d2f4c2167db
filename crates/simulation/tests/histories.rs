//! Random histories keep every promise, and broken disks are found out.

use passrelay_control_plane::replication::ProtocolFault;
use passrelay_simulation::disk::DiskMutant;
use passrelay_simulation::history::{play, HistorySettings};
use rstest::rstest;
use std::time::Duration;

fn settings(counted: usize, machines: usize, seed: u64) -> HistorySettings {
    HistorySettings {
        counted,
        machines,
        tolerated_losses: if counted >= 5 { 2 } else { 1 },
        catch_up: Duration::from_secs(4),
        length: Duration::from_secs(20),
        loss: if seed % 3 == 0 { 0.05 } else { 0.0 },
        mutant: None,
        fault: None,
        seed,
    }
}

/// `FLEET_HISTORIES=FROM..TO` plays these seeds instead.
fn seeds(least: u64) -> std::ops::Range<u64> {
    let told = std::env::var("FLEET_HISTORIES").ok();
    let range = told.as_deref().and_then(|text| text.split_once(".."));
    range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?)).unwrap_or(0..least)
}

#[rstest]
#[case::three_counted_of_twelve(3, 12, 500)]
#[case::five_counted_of_twelve(5, 12, 250)]
#[case::eight_counted_of_twenty(8, 20, 150)]
fn no_promise_is_broken(#[case] counted: usize, #[case] machines: usize, #[case] least: u64) {
    let mut acknowledged = 0;
    for seed in seeds(least) {
        let outcome = play(&settings(counted, machines, seed));
        assert!(
            outcome.violations.is_empty(),
            "FLEET_HISTORIES={seed}..{} ({counted} counted of {machines}): {:?}",
            seed + 1,
            outcome.violations
        );
        acknowledged += outcome.acknowledged;
    }
    assert!(acknowledged > 0, "no order was ever acknowledged");
}

#[test]
fn machines_that_return_catch_up_well_before_they_have_to() {
    for seed in seeds(100) {
        let catch_up = Duration::from_millis(1_500);
        let outcome = play(&HistorySettings { catch_up, ..settings(3, 6, seed) });
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
    }
}

#[rstest]
#[case(ProtocolFault::RecordsUnsynced)]
#[case(ProtocolFault::ShrinksAlone)]
#[case(ProtocolFault::KeepsReplaced)]
#[case(ProtocolFault::ReplicatesNoOrders)]
#[case(ProtocolFault::ReadsUnconfirmed)]
#[case(ProtocolFault::RefusesUnconfirmed)]
#[case(ProtocolFault::PublishesUncommitted)]
#[case(ProtocolFault::FoundsAgain)]
fn a_broken_protocol_is_found_out(#[case] fault: ProtocolFault) {
    let found = (0..500).find(|seed| {
        let catch_up = Duration::from_millis(800);
        let settings = HistorySettings { fault: Some(fault), catch_up, ..settings(5, 8, *seed) };
        !play(&settings).violations.is_empty()
    });
    println!("{fault:?}: seed {found:?}");
    assert!(found.is_some(), "{fault:?} was not found in 500 histories");
}

#[rstest]
#[case(DiskMutant::AcknowledgesBeforeSync)]
#[case(DiskMutant::KeepsIdentityWhenWiped)]
#[case(DiskMutant::ForgetsOrders)]
fn a_broken_disk_is_found_out(#[case] mutant: DiskMutant) {
    let found = (0..500).any(|seed| {
        let catch_up = Duration::from_millis(800);
        let settings = HistorySettings { mutant: Some(mutant), catch_up, ..settings(5, 8, seed) };
        !play(&settings).violations.is_empty()
    });
    assert!(found, "{mutant:?} was not found in 500 histories");
}
