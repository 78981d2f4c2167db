//! Random histories keep the limits that bind the whole fleet, and broken sidecars are found out.

use passrelay_cluster_simulation::cluster::ClusterSettings;
use passrelay_cluster_simulation::limits::{play, LimitMutation, LimitSettings};
use passrelay_cluster_simulation::seeds::seeds_from;
use passrelay_control_plane::replication::ProtocolMutation;
use passrelay_dissemination::GossipMutation;
use rstest::rstest;

fn settings(counted: usize, machines: usize, seed: u64) -> LimitSettings {
    LimitSettings { cluster: ClusterSettings::new(counted, machines, seed), calm: false, mutant: None }
}

/// `LIMIT_HISTORIES=FROM..TO` plays these seeds instead.
fn seeds(least: u64) -> std::ops::Range<u64> {
    seeds_from("LIMIT_HISTORIES", least)
}

#[rstest]
#[case::three_counted_of_twelve(3, 12, 600)]
#[case::five_counted_of_twelve(5, 12, 300)]
#[case::eight_counted_of_thirty(8, 30, 100)]
fn no_limit_is_passed(#[case] counted: usize, #[case] machines: usize, #[case] least: u64) {
    let (mut revoked, mut drained, mut sent) = (0, 0, 0);
    for seed in seeds(least) {
        let outcome = play(&settings(counted, machines, seed));
        assert!(
            outcome.violations.is_empty(),
            "LIMIT_HISTORIES={seed}..{} ({counted} counted of {machines}): {:?}",
            seed + 1,
            outcome.violations
        );
        revoked += outcome.revoked;
        drained += outcome.drained;
        sent += outcome.sent.values().sum::<usize>();
    }
    assert!(revoked > 0 && drained > 0 && sent > 0);
}

#[test]
fn without_faults_nothing_within_a_quota_is_refused() {
    for seed in seeds(40) {
        let mut calm = LimitSettings { calm: true, ..settings(3, 12, seed) };
        calm.cluster.loss = 0.0;
        let outcome = play(&calm);
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
        assert_eq!(outcome.refused.get("fair"), None, "seed {seed}");
        // The one far over its quota gets that and no less.
        assert!(outcome.sent["hot"] as f64 * 10_000.0 > 220_000.0 * 18.0, "seed {seed}: {:?}", outcome.sent);
    }
}

#[rstest]
#[case(LimitMutation::ChecksBeforeWaitOnly)]
#[case(LimitMutation::SlackForEach)]
#[case(LimitMutation::SendsToDraining)]
#[case(LimitMutation::AcknowledgesDrainingAlone)]
fn a_broken_sidecar_is_found_out(#[case] mutant: LimitMutation) {
    let found = (0..500).find(|seed| {
        let settings = LimitSettings { mutant: Some(mutant), ..settings(3, 12, *seed) };
        !play(&settings).violations.is_empty()
    });
    println!("{mutant:?}: seed {found:?}");
    assert!(found.is_some(), "{mutant:?} was not found in 500 histories");
}

#[test]
fn an_age_counted_from_the_arrival_of_news_is_found_out() {
    let found = (0..500).find(|seed| {
        let mut broken = settings(3, 12, *seed);
        broken.cluster.gossip_mutation = Some(GossipMutation::AgeFromArrival);
        !play(&broken).violations.is_empty()
    });
    println!("seed {found:?}");
    assert!(found.is_some(), "an age counted from arrival was not found in 500 histories");
}

#[test]
fn a_grantor_without_a_fence_is_found_out() {
    let found = (0..500).find(|seed| {
        let mut broken = settings(3, 12, *seed);
        broken.cluster.fault = Some(ProtocolMutation::GrantsUnconfirmed);
        !play(&broken).violations.is_empty()
    });
    println!("seed {found:?}");
    assert!(found.is_some(), "a grantor without a fence was not found in 500 histories");
}
