//! Random histories violate no property, and the checker detects broken protocols and disks.

use passrelay_cluster_simulation::cluster::{Builds, ClusterSettings};
use passrelay_cluster_simulation::disk::DiskMutation;
use passrelay_cluster_simulation::history::{simulate, HistorySettings, Scenario};
use passrelay_cluster_simulation::seeds::seeds_from_env;
use passrelay_control_plane::replication::ProtocolMutation;
use rstest::rstest;
use std::time::Duration;

/// Every second history has documents that are long enough for changes to travel as deltas, and half of these have machines
/// that know none.
fn settings(scenario: Scenario, voters: usize, machines: usize, seed: u64) -> HistorySettings {
    let builds = if seed % 4 == 3 { Builds::Mixed } else { Builds::Current };
    HistorySettings {
        cluster: ClusterSettings { builds, ..ClusterSettings::new(voters, machines, seed) },
        scenario,
        catch_up_time: Duration::from_secs(4),
        duration: Duration::from_secs(20),
        padding: 0,
        items: if seed % 2 == 1 { ITEMS } else { 0 },
    }
}

/// Items of a document that no change touches.
const ITEMS: usize = 15;
/// Padding of a document where links are slow, in bytes.
const LARGE_PADDING: usize = 60_000;
/// As many items make a document of about that length.
const MANY_ITEMS: usize = 550;
/// Bandwidths of slow links: 10 and 100 Mbit/s, in bytes per second.
const SLOW_LINKS: [u64; 2] = [1_250_000, 12_500_000];

/// Number of histories within which a mutation has to be detected.
const MAX_HISTORIES_TO_DETECT: u64 = 500;

/// The first seeds, so many as histories; `FLEET_HISTORIES=FROM..TO` plays these instead.
fn seeds(histories: u64) -> std::ops::Range<u64> {
    seeds_from_env("FLEET_HISTORIES", histories)
}

/// Plays the seeds of a scenario; a seed with a violation is named with the variable that repeats it.
fn violates_nothing(scenario: Scenario, voters: usize, machines: usize, histories: u64) {
    let mut acknowledged = 0;
    for seed in seeds(histories) {
        let mut settings = settings(scenario, voters, machines, seed);
        if scenario == Scenario::ManyChanges {
            // In one piece, so that each change ships the whole document.
            (settings.padding, settings.items) = (LARGE_PADDING, 0);
            settings.cluster.link_bytes_per_s = SLOW_LINKS[seed as usize % SLOW_LINKS.len()];
        }
        if scenario == Scenario::ManyChangesOnBadDisk {
            settings.items = MANY_ITEMS;
            settings.cluster.link_bytes_per_s = SLOW_LINKS[seed as usize % SLOW_LINKS.len()];
        }
        let outcome = simulate(&settings);
        assert!(
            outcome.violations.is_empty(),
            "FLEET_HISTORIES={seed}..{} ({scenario:?}, {voters} voters of {machines}): {:?}\n{}",
            seed + 1,
            outcome.violations,
            outcome.machine_states.join("\n")
        );
        acknowledged += outcome.acknowledged;
    }
    assert!(acknowledged > 0, "no change was ever acknowledged");
}

#[rstest]
#[case::three_voters_of_twelve(3, 12, 300)]
#[case::five_voters_of_twelve(5, 12, 200)]
#[case::eight_voters_of_twenty(8, 20, 100)]
fn no_promise_is_broken(#[case] voters: usize, #[case] machines: usize, #[case] histories: u64) {
    violates_nothing(Scenario::Mixed, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_six(3, 6, 200)]
#[case::five_voters_of_eight(5, 8, 150)]
#[case::eight_voters_of_twelve(8, 12, 100)]
fn a_control_machine_cut_off_for_long_answers_nothing_old(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::LongPartitions, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_six(3, 6, 200)]
#[case::five_voters_of_eight(5, 8, 150)]
#[case::eight_voters_of_twelve(8, 12, 100)]
fn a_primary_without_the_others_confirms_nothing(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::IsolatedPrimaries, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_six(3, 6, 200)]
#[case::five_voters_of_eight(5, 8, 150)]
#[case::eight_voters_of_twelve(8, 12, 100)]
fn two_orders_under_one_number_are_never_both_confirmed(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::Races, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_six(3, 6, 200)]
#[case::five_voters_of_eight(5, 8, 150)]
#[case::eight_voters_of_twelve(8, 12, 100)]
fn a_second_loss_after_a_repair_loses_nothing(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::Repairs, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_four(3, 4, 24)]
#[case::five_voters_of_six(5, 6, 12)]
#[case::eight_voters_of_nine(8, 9, 8)]
fn a_member_catches_up_after_hundreds_of_changes(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::ManyChanges, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_four(3, 4, 24)]
#[case::five_voters_of_six(5, 6, 12)]
#[case::eight_voters_of_nine(8, 9, 8)]
fn a_member_catches_up_on_a_slow_a_full_and_a_stalled_disk(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::ManyChangesOnBadDisk, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_six(3, 6, 200)]
#[case::five_voters_of_eight(5, 8, 150)]
#[case::eight_voters_of_twelve(8, 12, 100)]
fn the_system_is_founded_once_whatever_happens_in_the_first_seconds(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::Bootstrap, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_six(3, 6, 200)]
#[case::five_voters_of_eight(5, 8, 150)]
#[case::eight_voters_of_twelve(8, 12, 100)]
fn the_system_is_founded_once_where_machines_restart_with_other_seeds(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::BootstrapWithOtherSeeds, voters, machines, histories);
}

#[test]
fn machines_that_return_catch_up_well_before_they_have_to() {
    for seed in seeds(100) {
        let catch_up_time = Duration::from_millis(1_500);
        let outcome = simulate(&HistorySettings { catch_up_time, ..settings(Scenario::Mixed, 3, 6, seed) });
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
    }
}

#[rstest]
#[case(ProtocolMutation::AcceptsBeforeSync, Scenario::Mixed)]
#[case(ProtocolMutation::ShrinksInSyncSetWithoutQuorum, Scenario::IsolatedPrimaries)]
#[case(ProtocolMutation::CountsReplacedMember, Scenario::Mixed)]
#[case(ProtocolMutation::OmitsAppliedChanges, Scenario::Mixed)]
#[case(ProtocolMutation::ReadsUnconfirmed, Scenario::Mixed)]
#[case(ProtocolMutation::RejectsUnconfirmed, Scenario::Mixed)]
#[case(ProtocolMutation::PublishesUncommitted, Scenario::Mixed)]
#[case(ProtocolMutation::BootstrapsAgain, Scenario::Mixed)]
#[case(ProtocolMutation::BootstrapsWithoutSeeds, Scenario::Bootstrap)]
#[case(ProtocolMutation::ReusesRequestIds, Scenario::Races)]
#[case(ProtocolMutation::ConfirmsAtArrival, Scenario::IsolatedPrimaries)]
#[case(ProtocolMutation::AcknowledgesByGeneration, Scenario::Races)]
#[case(ProtocolMutation::AdmitsUnsyncedMember, Scenario::Repairs)]
#[case(ProtocolMutation::CampaignsWithOldRecord, Scenario::LongPartitions)]
#[case(ProtocolMutation::DropsAppliedChangesAtFailover, Scenario::Races)]
#[case(ProtocolMutation::RepliesAfterFailedWrite, Scenario::Races)]
#[case(ProtocolMutation::SkipsDeltas, Scenario::Mixed)]
fn a_broken_protocol_is_found_out(#[case] mutation: ProtocolMutation, #[case] scenario: Scenario) {
    is_detected(&format!("{mutation:?}"), scenario, |cluster| cluster.protocol_mutation = Some(mutation));
}

/// The mutated cluster has to violate a property in some history in which the sound one violates none.
fn is_detected(name: &str, scenario: Scenario, mutate: impl Fn(&mut ClusterSettings)) {
    let found = (0..MAX_HISTORIES_TO_DETECT).any(|seed| {
        let catch_up_time = Duration::from_millis(800);
        let sound = HistorySettings { catch_up_time, ..settings(scenario, 5, 8, seed) };
        let mut mutated = sound.clone();
        mutate(&mut mutated.cluster);
        let violations = simulate(&mutated).violations;
        let found = !violations.is_empty() && simulate(&sound).violations.is_empty();
        if found {
            println!("{name}: seed {seed}, {:?}", violations[0]);
        }
        found
    });
    assert!(found, "{name} was not detected in {MAX_HISTORIES_TO_DETECT} histories");
}

#[rstest]
#[case(DiskMutation::AcknowledgesBeforeSync, Scenario::Mixed)]
#[case(DiskMutation::KeepsIdentityWhenWiped, Scenario::Repairs)]
#[case(DiskMutation::DropsAppliedChanges, Scenario::Mixed)]
#[case(DiskMutation::ForgetsBootstrap, Scenario::Bootstrap)]
#[case(DiskMutation::ForgetsSeeds, Scenario::BootstrapWithOtherSeeds)]
fn a_broken_disk_is_found_out(#[case] mutation: DiskMutation, #[case] scenario: Scenario) {
    is_detected(&format!("{mutation:?}"), scenario, |cluster| cluster.disk_mutation = Some(mutation));
}
