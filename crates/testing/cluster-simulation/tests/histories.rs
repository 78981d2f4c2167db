//! Random histories violate no property, and the checker detects mutated protocols and disks.

use passrelay_cluster_simulation::cluster::{Builds, ClusterSettings};
use passrelay_cluster_simulation::disk::DiskMutation;
use passrelay_cluster_simulation::history::{simulate, HistorySettings, Scenario};
use passrelay_cluster_simulation::seeds::seeds_from_env;
use passrelay_control_plane::replication::ProtocolMutation;
use rstest::rstest;
use std::time::Duration;

/// Returns the settings of a history. Every second history has documents that are long enough for changes to be sent as
/// deltas, and half of these have machines without support for deltas.
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

/// Number of items in a document that no change modifies.
const ITEMS: usize = 15;
/// Padding of a document in histories with slow links, in bytes.
const LARGE_PADDING: usize = 60_000;
/// Number of items that make a document about as long as `LARGE_PADDING` does.
const MANY_ITEMS: usize = 550;
/// Bandwidths of slow links: 10 and 100 Mbit/s, in bytes per second.
const SLOW_LINKS: [u64; 2] = [1_250_000, 12_500_000];

/// Number of histories within which a mutation has to be detected.
const MAX_HISTORIES_TO_DETECT: u64 = 500;

/// Returns the first `histories` seeds, or those that `FLEET_HISTORIES=FROM..TO` selects instead.
fn seeds(histories: u64) -> std::ops::Range<u64> {
    seeds_from_env("FLEET_HISTORIES", histories)
}

/// Checks that no history of a scenario violates a property. The message of a violation contains the variable that repeats
/// its seed.
fn violates_nothing(scenario: Scenario, voters: usize, machines: usize, histories: u64) {
    let mut acknowledged = 0;
    for seed in seeds(histories) {
        let mut settings = settings(scenario, voters, machines, seed);
        if scenario == Scenario::ManyChanges {
            // A single string, so that each change sends the whole document.
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
fn mixed_faults_violate_no_property(#[case] voters: usize, #[case] machines: usize, #[case] histories: u64) {
    violates_nothing(Scenario::Mixed, voters, machines, histories);
}

#[rstest]
#[case::three_voters_of_six(3, 6, 200)]
#[case::five_voters_of_eight(5, 8, 150)]
#[case::eight_voters_of_twelve(8, 12, 100)]
fn a_voter_in_a_long_partition_returns_no_stale_reads(
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
fn an_isolated_primary_confirms_nothing(
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
fn two_changes_with_the_same_generation_are_never_both_acknowledged(
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
fn a_second_loss_after_a_repair_loses_no_acknowledged_change(
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
fn a_member_catches_up_on_a_slow_full_or_stalled_disk(
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
fn the_cluster_bootstraps_once_despite_faults_in_the_first_seconds(
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
fn the_cluster_bootstraps_once_if_machines_restart_with_other_seeds(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    violates_nothing(Scenario::BootstrapWithOtherSeeds, voters, machines, histories);
}

#[test]
fn returning_machines_catch_up_within_1500_ms() {
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
fn a_protocol_mutation_is_detected(#[case] mutation: ProtocolMutation, #[case] scenario: Scenario) {
    is_detected(&format!("{mutation:?}"), scenario, |cluster| cluster.protocol_mutation = Some(mutation));
}

/// Checks that the mutated cluster violates a property in some history in which the unmodified one violates none.
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
fn a_disk_mutation_is_detected(#[case] mutation: DiskMutation, #[case] scenario: Scenario) {
    is_detected(&format!("{mutation:?}"), scenario, |cluster| cluster.disk_mutation = Some(mutation));
}
