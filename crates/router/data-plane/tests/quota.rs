//! Shares of tenants' quotas: token requests, leases and the reserve.

use passrelay_data_plane::quota::{Grant, QuotaShares, TenantTokens};
use std::time::Duration;

const TENANT: u64 = 1;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn shares() -> QuotaShares {
    QuotaShares::new(ms(1_500))
}

fn grant(tokens: u64, reserve: u64) -> [Grant; 1] {
    [Grant { tenant: TENANT, tokens, reserve }]
}

fn of_tenant(tokens: u64) -> [TenantTokens; 1] {
    [TenantTokens { tenant: TENANT, tokens }]
}

#[test]
fn tokens_are_requested_for_waiting_requests_and_leases_expire() {
    let mut shares = shares();
    shares.add_demand(TENANT, 100);
    assert!(shares.spend(ms(0), TENANT, 100).is_none());
    let request = shares.next_request(ms(0)).unwrap();
    assert_eq!(request.wanted, of_tenant(100));
    assert_eq!(shares.next_request(ms(10)), None, "a request is already pending");
    shares.apply_grants(ms(20), request.request_id, &grant(100, 0));
    assert!(shares.spend(ms(30), TENANT, 100).is_some() && shares.spend(ms(30), TENANT, 1).is_none());
    shares.add_demand(TENANT, 50);
    let request = shares.next_request(ms(40)).unwrap();
    // The grant arrives so late that its lease has already expired.
    shares.apply_grants(ms(2_000), request.request_id, &grant(150, 0));
    assert!(shares.spend(ms(2_000), TENANT, 50).is_none());
}

#[test]
fn the_reserve_is_spent_only_while_the_grantor_does_not_answer_and_is_reported() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let request = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), request.request_id, &grant(10, 30));
    assert!(shares.spend(ms(6), TENANT, 10).is_some());
    assert!(shares.spend(ms(7), TENANT, 10).is_none(), "the grantor answers");
    shares.next_request(ms(8)).unwrap();
    assert!(shares.spend(ms(100), TENANT, 10).is_some());
    let reporting = shares.next_request(ms(101)).unwrap();
    assert_eq!(reporting.overdrawn, of_tenant(10));
    assert!(shares.spend(ms(102), TENANT, 20).is_some() && shares.spend(ms(103), TENANT, 1).is_none());
    shares.apply_grants(ms(104), reporting.request_id, &grant(0, 0));
    // Tokens spent after the request was sent still have to be reported.
    assert_eq!(shares.next_request(ms(110)).unwrap().overdrawn, of_tenant(20));
}

#[test]
fn a_grant_that_arrives_twice_is_applied_once() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let request = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), request.request_id, &grant(10, 0));
    shares.apply_grants(ms(6), request.request_id, &grant(10, 0));
    assert!(shares.spend(ms(7), TENANT, 10).is_some());
    assert!(shares.spend(ms(7), TENANT, 1).is_none());
}

#[test]
fn refunded_tokens_are_spent_again_unless_the_lease_has_expired() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let request = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), request.request_id, &grant(10, 0));
    let spent = shares.spend(ms(10), TENANT, 10).unwrap();
    shares.refund(ms(20), TENANT, spent);
    let spent = shares.spend(ms(30), TENANT, 10).unwrap();
    shares.refund(ms(1_500), TENANT, spent);
    assert!(shares.spend(ms(1_500), TENANT, 10).is_none());
}

// Guards against refunded tokens of an older lease that may be spent until a newer lease expires: by then,
// the grantor has counted them as expired.
#[test]
fn refunded_tokens_expire_with_the_lease_that_they_came_from() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let first = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), first.request_id, &grant(10, 0));
    let spent = shares.spend(ms(10), TENANT, 10).unwrap();
    let second = shares.next_request(ms(1_000)).unwrap();
    shares.apply_grants(ms(1_005), second.request_id, &grant(10, 0));
    shares.refund(ms(1_010), TENANT, spent);
    // At 1 400 ms both leases are live, at 1 460 ms only the second one.
    let spent_from_both = shares.spend(ms(1_400), TENANT, 20).unwrap();
    shares.refund(ms(1_400), TENANT, spent_from_both);
    let spent = shares.spend(ms(1_460), TENANT, 1);
    assert!(spent.is_none(), "a refund from both leases has to expire with the earlier one");
}

#[test]
fn refunded_tokens_of_the_reserve_are_spent_while_the_reserve_lasts() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let request = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), request.request_id, &grant(0, 10));
    shares.next_request(ms(10)).unwrap();
    let spent = shares.spend(ms(100), TENANT, 10).unwrap();
    shares.refund(ms(110), TENANT, spent);
    let spent = shares.spend(ms(6_004), TENANT, 10).unwrap();
    shares.refund(ms(6_004), TENANT, spent);
    assert!(shares.spend(ms(6_005), TENANT, 10).is_none());
}

// Guards against token requests that differ between runs of the same history.
#[test]
fn a_request_lists_tenants_in_the_order_of_their_keys() {
    let mut shares = shares();
    let keys = [9, 2, 7, 1, 8, 3];
    for key in keys {
        shares.add_demand(key, 10);
    }
    let request = shares.next_request(ms(0)).unwrap();
    let requested: Vec<u64> = request.wanted.iter().map(|wanted| wanted.tenant).collect();
    assert_eq!(requested, [1, 2, 3, 7, 8, 9]);
}

#[test]
fn exhaustion_and_an_unreachable_grantor_are_distinguished() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let request = shares.next_request(ms(100)).unwrap();
    assert!(!shares.is_grantor_unreachable(TENANT, ms(349)));
    assert!(shares.is_grantor_unreachable(TENANT, ms(350)));
    shares.apply_grants(ms(360), request.request_id, &grant(9, 0));
    assert!(!shares.is_grantor_unreachable(TENANT, ms(700)));
    assert!(shares.is_exhausted_since(TENANT, ms(360)));
    assert!(!shares.is_exhausted_since(TENANT, ms(361)));
}
