//! Random histories keep every promise, and broken protocols and disks are found out.

use passrelay_cluster_simulation::cluster::ClusterSettings;
use passrelay_cluster_simulation::disk::DiskMutation;
use passrelay_cluster_simulation::history::{play, HistorySettings, Scenario};
use passrelay_cluster_simulation::seeds::seeds_from;
use passrelay_control_plane::replication::ProtocolMutation;
use rstest::rstest;
use std::time::Duration;

fn settings(scenario: Scenario, counted: usize, machines: usize, seed: u64) -> HistorySettings {
    HistorySettings {
        cluster: ClusterSettings::new(counted, machines, seed),
        scenario,
        catch_up: Duration::from_secs(4),
        length: Duration::from_secs(20),
        padding: 0,
    }
}

/// Bytes of a big configuration.
const BIG_DOCUMENT: usize = 60_000;
/// Links of 10 and 100 Mbit/s, in bytes a second.
const LINKS: [u64; 2] = [1_250_000, 12_500_000];

/// Histories in which a broken part has to be found.
const MOST_HISTORIES_TO_FIND: u64 = 500;

/// `FLEET_HISTORIES=FROM..TO` plays these seeds instead.
fn seeds(least: u64) -> std::ops::Range<u64> {
    seeds_from("FLEET_HISTORIES", least)
}

/// Plays the seeds of a scenario; a seed that breaks a promise is named with the command that repeats it.
fn keeps_every_promise(scenario: Scenario, counted: usize, machines: usize, least: u64) {
    let mut acknowledged = 0;
    for seed in seeds(least) {
        let mut settings = settings(scenario, counted, machines, seed);
        if scenario == Scenario::ManyChanges {
            settings.padding = BIG_DOCUMENT;
            settings.cluster.link_bytes_per_s = LINKS[seed as usize % LINKS.len()];
        }
        let outcome = play(&settings);
        assert!(
            outcome.violations.is_empty(),
            "FLEET_HISTORIES={seed}..{} ({scenario:?}, {counted} counted of {machines}): {:?}\n{}",
            seed + 1,
            outcome.violations,
            outcome.machines.join("\n")
        );
        acknowledged += outcome.acknowledged;
    }
    assert!(acknowledged > 0, "no order was ever acknowledged");
}

#[rstest]
#[case::three_counted_of_twelve(3, 12, 300)]
#[case::five_counted_of_twelve(5, 12, 200)]
#[case::eight_counted_of_twenty(8, 20, 100)]
fn no_promise_is_broken(#[case] counted: usize, #[case] machines: usize, #[case] least: u64) {
    keeps_every_promise(Scenario::Mixed, counted, machines, least);
}

#[rstest]
#[case::three_counted_of_six(3, 6, 200)]
#[case::five_counted_of_eight(5, 8, 150)]
#[case::eight_counted_of_twelve(8, 12, 100)]
fn a_control_machine_cut_off_for_long_answers_nothing_old(
    #[case] counted: usize,
    #[case] machines: usize,
    #[case] least: u64,
) {
    keeps_every_promise(Scenario::LongCuts, counted, machines, least);
}

#[rstest]
#[case::three_counted_of_six(3, 6, 200)]
#[case::five_counted_of_eight(5, 8, 150)]
#[case::eight_counted_of_twelve(8, 12, 100)]
fn two_orders_under_one_number_are_never_both_confirmed(
    #[case] counted: usize,
    #[case] machines: usize,
    #[case] least: u64,
) {
    keeps_every_promise(Scenario::Races, counted, machines, least);
}

#[rstest]
#[case::three_counted_of_six(3, 6, 200)]
#[case::five_counted_of_eight(5, 8, 150)]
#[case::eight_counted_of_twelve(8, 12, 100)]
fn a_second_loss_after_a_repair_loses_nothing(
    #[case] counted: usize,
    #[case] machines: usize,
    #[case] least: u64,
) {
    keeps_every_promise(Scenario::Repairs, counted, machines, least);
}

#[rstest]
#[case::three_counted_of_four(3, 4, 24)]
#[case::five_counted_of_six(5, 6, 12)]
#[case::eight_counted_of_nine(8, 9, 8)]
fn a_member_catches_up_after_hundreds_of_changes(
    #[case] counted: usize,
    #[case] machines: usize,
    #[case] least: u64,
) {
    keeps_every_promise(Scenario::ManyChanges, counted, machines, least);
}

#[rstest]
#[case::three_counted_of_six(3, 6, 200)]
#[case::five_counted_of_eight(5, 8, 150)]
#[case::eight_counted_of_twelve(8, 12, 100)]
fn the_system_is_founded_once_whatever_happens_in_the_first_seconds(
    #[case] counted: usize,
    #[case] machines: usize,
    #[case] least: u64,
) {
    keeps_every_promise(Scenario::Bootstrap, counted, machines, least);
}

#[test]
fn machines_that_return_catch_up_well_before_they_have_to() {
    for seed in seeds(100) {
        let catch_up = Duration::from_millis(1_500);
        let outcome = play(&HistorySettings { catch_up, ..settings(Scenario::Mixed, 3, 6, seed) });
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
    }
}

#[rstest]
#[case(ProtocolMutation::AcceptsBeforeSync, Scenario::Mixed)]
#[case(ProtocolMutation::ShrinksInSyncSetWithoutQuorum, Scenario::Mixed)]
#[case(ProtocolMutation::CountsReplacedMember, Scenario::Mixed)]
#[case(ProtocolMutation::OmitsAppliedChanges, Scenario::Mixed)]
#[case(ProtocolMutation::ReadsUnconfirmed, Scenario::Mixed)]
#[case(ProtocolMutation::RejectsUnconfirmed, Scenario::Mixed)]
#[case(ProtocolMutation::PublishesUncommitted, Scenario::Mixed)]
#[case(ProtocolMutation::BootstrapsAgain, Scenario::Mixed)]
#[case(ProtocolMutation::BootstrapsWithoutSeeds, Scenario::Bootstrap)]
#[case(ProtocolMutation::ReusesRequestIds, Scenario::Races)]
#[case(ProtocolMutation::ConfirmsAtArrival, Scenario::LongCuts)]
#[case(ProtocolMutation::AcknowledgesByGeneration, Scenario::Races)]
#[case(ProtocolMutation::AdmitsUnsyncedMember, Scenario::Repairs)]
#[case(ProtocolMutation::CampaignsWithOldRecord, Scenario::LongCuts)]
#[case(ProtocolMutation::DropsAppliedChangesAtFailover, Scenario::Races)]
#[case(ProtocolMutation::PromisesOnFullDisk, Scenario::Races)]
fn a_broken_protocol_is_found_out(#[case] fault: ProtocolMutation, #[case] scenario: Scenario) {
    is_found_out(&format!("{fault:?}"), scenario, |cluster| cluster.fault = Some(fault));
}

/// A broken part has to break a promise in some history that the sound one passes.
fn is_found_out(name: &str, scenario: Scenario, break_it: impl Fn(&mut ClusterSettings)) {
    let found = (0..MOST_HISTORIES_TO_FIND).any(|seed| {
        let catch_up = Duration::from_millis(800);
        let sound = HistorySettings { catch_up, ..settings(scenario, 5, 8, seed) };
        let mut broken = sound.clone();
        break_it(&mut broken.cluster);
        let violations = play(&broken).violations;
        let found = !violations.is_empty() && play(&sound).violations.is_empty();
        if found {
            println!("{name}: seed {seed}, {:?}", violations[0]);
        }
        found
    });
    assert!(found, "{name} was not found in {MOST_HISTORIES_TO_FIND} histories");
}

#[rstest]
#[case(DiskMutation::AcknowledgesBeforeSync, Scenario::Mixed)]
#[case(DiskMutation::KeepsIdentityWhenWiped, Scenario::Repairs)]
#[case(DiskMutation::DropsAppliedChanges, Scenario::Mixed)]
#[case(DiskMutation::ForgetsBootstrap, Scenario::Bootstrap)]
fn a_broken_disk_is_found_out(#[case] mutant: DiskMutation, #[case] scenario: Scenario) {
    is_found_out(&format!("{mutant:?}"), scenario, |cluster| cluster.disk_mutation = Some(mutant));
}
