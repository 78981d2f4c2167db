//! Shares of requests for a version that is being rolled out.

use passrelay_configuration::{Rollout, RolloutOrder, RolloutPhase, Rollouts};
use passrelay_data_plane::rollout_shares::{RequestFeatures, RolloutShares, SHARE_LIFETIME};
use passrelay_dissemination::{LatencyMeasure, ShareGrant, LOAD_TEST_SIZE_CLASS};
use std::time::Duration;

const ID: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rollouts(phase: RolloutPhase) -> Rollouts {
    let order =
        RolloutOrder { service: "s".to_owned(), target_version: "v2".to_owned(), deadline_ms: 12_000 };
    let mut rollouts = Rollouts::default();
    rollouts.get_or_insert_default("s").current = Some(Rollout {
        id: ID,
        order,
        base_version: Some("v1".to_owned()),
        phase,
        age_ms: 0,
        reason: String::new(),
    });
    rollouts
}

/// Creates the shares of a router that sent its first report at 100 ms and was granted this share of
/// requests.
fn shares_with_grant(share_per_mille: u16) -> RolloutShares {
    let mut shares = RolloutShares::new(0.0);
    shares.configure(ms(0), &rollouts(RolloutPhase::Canary));
    let (request_id, reports) = shares.next_report(ms(100), |_, _| 3);
    assert_eq!((reports[0].id, reports[0].known_for_ms, reports[0].base_in_flight), (ID, 100, 3));
    shares.apply_shares(
        request_id,
        &[ShareGrant { id: ID, share_per_mille, spread_per_mille: 60, load_test: None }],
    );
    shares
}

fn features(prefill_tokens: u64) -> RequestFeatures<'static> {
    RequestFeatures { route: "r", prefill_tokens, is_load_test: false }
}

/// Returns how many of a number of requests go to the new version.
fn canary_requests(shares: &mut RolloutShares, now: Duration, requests: usize) -> usize {
    (0..requests).filter(|_| shares.choose(now, "s").is_some()).count()
}

#[test]
fn a_share_of_the_requests_goes_to_the_new_version() {
    let mut shares = shares_with_grant(250);
    assert_eq!(canary_requests(&mut shares, ms(200), 1_000), 250);
    assert_eq!(canary_requests(&mut shares, ms(200), 0), 0);
    assert!(shares.choose(ms(200), "other").is_none());
}

#[test]
fn without_a_share_no_request_goes_to_the_new_version() {
    let mut shares = RolloutShares::new(0.99);
    shares.configure(ms(0), &rollouts(RolloutPhase::Canary));
    assert_eq!(canary_requests(&mut shares, ms(1), 100), 0);
    assert!(!shares.may_send(ms(1), "s"));
}

// Guards against a partitioned or suspended router that keeps using an old share: the lease starts when the
// report is sent, regardless of when the answer arrives.
#[test]
fn a_share_expires_a_fixed_time_after_its_report_was_sent() {
    let mut shares = shares_with_grant(1_000);
    let expiry = ms(100) + SHARE_LIFETIME;
    assert!(shares.choose(expiry - ms(1), "s").is_some() && shares.may_send(expiry - ms(1), "s"));
    assert!(shares.choose(expiry, "s").is_none() && !shares.may_send(expiry, "s"));
}

#[test]
fn a_share_that_answers_an_earlier_report_is_ignored() {
    let mut shares = shares_with_grant(0);
    let (earlier, _) = shares.next_report(ms(200), |_, _| 0);
    shares.next_report(ms(600), |_, _| 0);
    shares.apply_shares(
        earlier,
        &[ShareGrant { id: ID, share_per_mille: 1_000, spread_per_mille: 60, load_test: None }],
    );
    assert!(shares.choose(ms(700), "s").is_none());
}

#[test]
fn a_share_ends_with_its_phase_and_with_the_rollout() {
    let mut shares = shares_with_grant(1_000);
    shares.configure(ms(200), &rollouts(RolloutPhase::Canary));
    assert!(shares.choose(ms(200), "s").is_some(), "the share is kept while the phase does not change");
    shares.configure(ms(200), &rollouts(RolloutPhase::Promoting));
    assert!(shares.choose(ms(200), "s").is_none());
    assert!(shares.is_active());
    shares.configure(ms(300), &rollouts(RolloutPhase::RolledBack));
    assert!(!shares.is_active() && shares.observe("s", "v2", features(0)).is_none());
}

#[test]
fn outcomes_are_counted_by_version_route_and_size() {
    let mut shares = shares_with_grant(100);
    let base = shares.observe("s", "v1", features(100)).unwrap();
    let target = shares.observe("s", "v2", features(100)).unwrap();
    let larger = shares.observe("s", "v2", features(5_000)).unwrap();
    shares.record_latency(&base, LatencyMeasure::FirstByte, ms(40));
    for (request, failed) in [(&base, false), (&target, true), (&larger, false)] {
        shares.record_end(request, failed);
    }
    let outcomes = shares.next_report(ms(500), |_, _| 0).1.remove(0).outcomes;
    assert_eq!(outcomes.len(), 2);
    assert_eq!((outcomes[0].base.ended, outcomes[0].base.failed), (1, 0));
    assert_eq!((outcomes[0].target.ended, outcomes[0].target.failed), (1, 1));
    assert_eq!((outcomes[1].class.size_class, outcomes[1].target.ended), (2, 1));
}

#[test]
fn a_load_test_runs_once_and_its_requests_alternate_between_both_versions() {
    let mut shares = shares_with_grant(0);
    for at in [200, 600] {
        let (request_id, _) = shares.next_report(ms(at), |_, _| 0);
        let grant = ShareGrant { id: ID, share_per_mille: 0, spread_per_mille: 60, load_test: Some(2) };
        shares.apply_shares(request_id, &[grant]);
        let chosen = (0..10).filter_map(|_| shares.choose(ms(at + 1), "s"));
        let versions: Vec<String> =
            chosen.filter(|choice| choice.is_load_test).map(|choice| choice.version).collect();
        assert_eq!(versions, if at == 200 { vec!["v2", "v1", "v2", "v1"] } else { Vec::new() });
    }
    let load_test_features = RequestFeatures { is_load_test: true, ..features(5_000) };
    let request = shares.observe("s", "v2", load_test_features).unwrap();
    shares.record_end(&request, true);
    let outcomes = shares.next_report(ms(900), |_, _| 0).1.remove(0).outcomes;
    assert_eq!((outcomes[0].target.failed, outcomes[0].class.size_class), (1, LOAD_TEST_SIZE_CLASS));
}
