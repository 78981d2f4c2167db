//! Random histories exceed no fleet-wide limit, and the checker detects mutated sidecars, gossip and grantors.

use passrelay_cluster_simulation::cluster::ClusterSettings;
use passrelay_cluster_simulation::limits::{
    simulate, ConfigurationChanges, LimitMutation, LimitOutcome, LimitSettings,
};
use passrelay_cluster_simulation::seeds::seeds_from_env;
use passrelay_control_plane::replication::ProtocolMutation;
use passrelay_dissemination::GossipMutation;
use rstest::rstest;

fn settings(voters: usize, machines: usize, seed: u64) -> LimitSettings {
    LimitSettings {
        cluster: ClusterSettings::new(voters, machines, seed),
        changes: ConfigurationChanges::ReplaceKeys,
        fault_free: false,
        mutation: None,
    }
}

/// Returns the first `histories` seeds, or those that `LIMIT_HISTORIES=FROM..TO` selects instead.
fn seeds(histories: u64) -> std::ops::Range<u64> {
    seeds_from_env("LIMIT_HISTORIES", histories)
}

/// Checks that a history exceeded no limit. The message contains the variable that repeats its seed.
fn assert_no_violation(outcome: &LimitOutcome, seed: u64, voters: usize, machines: usize) {
    assert!(
        outcome.violations.is_empty(),
        "LIMIT_HISTORIES={seed}..{} ({voters} voters of {machines}): {:?}",
        seed + 1,
        outcome.violations
    );
}

#[rstest]
#[case::three_voters_of_twelve(3, 12, 600)]
#[case::five_voters_of_twelve(5, 12, 300)]
#[case::eight_voters_of_thirty(8, 30, 100)]
fn no_limit_is_exceeded(#[case] voters: usize, #[case] machines: usize, #[case] histories: u64) {
    let mut revoked = 0;
    let mut drained = 0;
    let mut sent = 0;
    for seed in seeds(histories) {
        let outcome = simulate(&settings(voters, machines, seed));
        assert_no_violation(&outcome, seed, voters, machines);
        revoked += outcome.revoked;
        drained += outcome.drained;
        sent += outcome.sent.values().sum::<usize>();
    }
    assert!(revoked > 0 && drained > 0 && sent > 0);
}

// Guards against the faults of review/1 and review/2: keys that work again once no tenant is left, and requests that are repeated
// as a route allows that they were not sent under.
#[rstest]
#[case::three_voters_of_six(3, 6, 200)]
#[case::three_voters_of_twelve(3, 12, 100)]
fn no_limit_is_exceeded_while_all_tenants_come_and_go(
    #[case] voters: usize,
    #[case] machines: usize,
    #[case] histories: u64,
) {
    let mut revoked = 0;
    let mut repeated = 0;
    for seed in seeds(histories) {
        let settings = LimitSettings {
            changes: ConfigurationChanges::RemoveTenants,
            ..settings(voters, machines, seed)
        };
        let outcome = simulate(&settings);
        assert_no_violation(&outcome, seed, voters, machines);
        revoked += outcome.revoked;
        repeated += outcome.repeated;
    }
    assert!(revoked > 0 && repeated > 0);
}

#[test]
fn without_faults_no_request_within_a_quota_is_rejected() {
    for seed in seeds(40) {
        let mut settings = LimitSettings { fault_free: true, ..settings(3, 12, seed) };
        settings.cluster.loss = 0.0;
        let outcome = simulate(&settings);
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
        assert_eq!(outcome.rejected.get("fair"), None, "seed {seed}");
        // The tenant far over its quota gets its full quota.
        assert!(outcome.sent["hot"] as f64 * 10_000.0 > 220_000.0 * 18.0, "seed {seed}: {:?}", outcome.sent);
    }
}

#[rstest]
#[case(LimitMutation::ChecksBeforeWaitOnly, ConfigurationChanges::ReplaceKeys)]
#[case(LimitMutation::RetrySlackPerSidecar, ConfigurationChanges::ReplaceKeys)]
#[case(LimitMutation::SendsToDraining, ConfigurationChanges::ReplaceKeys)]
#[case(LimitMutation::AcknowledgesDrainingWithoutQuorum, ConfigurationChanges::ReplaceKeys)]
#[case(LimitMutation::RepeatsByNewestRoute, ConfigurationChanges::RemoveTenants)]
#[case(LimitMutation::AcceptsAnyKeyWithoutTenants, ConfigurationChanges::RemoveTenants)]
fn a_sidecar_mutation_is_detected(#[case] mutation: LimitMutation, #[case] changes: ConfigurationChanges) {
    let found = (0..500).find(|seed| {
        let settings = LimitSettings { changes, mutation: Some(mutation), ..settings(3, 12, *seed) };
        !simulate(&settings).violations.is_empty()
    });
    println!("{mutation:?}: seed {found:?}");
    assert!(found.is_some(), "{mutation:?} was not detected in 500 histories");
}

#[test]
fn an_age_counted_from_arrival_is_detected() {
    let found = (0..500).find(|seed| {
        let mut mutated = settings(3, 12, *seed);
        mutated.cluster.gossip_mutation = Some(GossipMutation::IgnoreReportedAge);
        !simulate(&mutated).violations.is_empty()
    });
    println!("seed {found:?}");
    assert!(found.is_some(), "an age counted from arrival was not detected in 500 histories");
}

#[test]
fn a_grantor_without_quorum_confirmation_is_detected() {
    let found = (0..500).find(|seed| {
        let mut mutated = settings(3, 12, *seed);
        mutated.cluster.protocol_mutation = Some(ProtocolMutation::GrantsUnconfirmed);
        !simulate(&mutated).violations.is_empty()
    });
    println!("seed {found:?}");
    assert!(found.is_some(), "a grantor without quorum confirmation was not detected in 500 histories");
}
