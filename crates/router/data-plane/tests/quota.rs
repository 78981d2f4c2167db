//! Shares of tenants' quotas: requests for tokens, leases, and the reserve.

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
    assert!(!shares.spend(ms(0), TENANT, 100));
    let request = shares.next_request(ms(0)).unwrap();
    assert_eq!(request.wanted, of_tenant(100));
    assert_eq!(shares.next_request(ms(10)), None, "a request is pending already");
    shares.apply_grants(ms(20), request.request_id, &grant(100, 0));
    assert!(shares.spend(ms(30), TENANT, 100) && !shares.spend(ms(30), TENANT, 1));
    shares.add_demand(TENANT, 50);
    let request = shares.next_request(ms(40)).unwrap();
    // The grant was delayed for so long that its lease has expired.
    shares.apply_grants(ms(2_000), request.request_id, &grant(150, 0));
    assert!(!shares.spend(ms(2_000), TENANT, 50));
}

#[test]
fn the_reserve_is_spent_only_while_the_grantor_does_not_answer_and_is_reported() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let request = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), request.request_id, &grant(10, 30));
    assert!(shares.spend(ms(6), TENANT, 10));
    assert!(!shares.spend(ms(7), TENANT, 10), "the grantor answers");
    shares.next_request(ms(8)).unwrap();
    assert!(shares.spend(ms(100), TENANT, 10));
    let reporting = shares.next_request(ms(101)).unwrap();
    assert_eq!(reporting.overdrawn, of_tenant(10));
    assert!(shares.spend(ms(102), TENANT, 20) && !shares.spend(ms(103), TENANT, 1));
    shares.apply_grants(ms(104), reporting.request_id, &grant(0, 0));
    // What was spent after the request was sent is still to be reported.
    assert_eq!(shares.next_request(ms(110)).unwrap().overdrawn, of_tenant(20));
}

#[test]
fn a_grant_that_arrives_twice_is_applied_once() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let request = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), request.request_id, &grant(10, 0));
    shares.apply_grants(ms(6), request.request_id, &grant(10, 0));
    assert!(shares.spend(ms(7), TENANT, 10));
    assert!(!shares.spend(ms(7), TENANT, 1));
}

#[test]
fn refunded_tokens_are_spent_again_unless_the_lease_has_expired() {
    let mut shares = shares();
    shares.add_demand(TENANT, 10);
    let request = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), request.request_id, &grant(10, 0));
    assert!(shares.spend(ms(10), TENANT, 10));
    shares.refund(ms(20), TENANT, 10);
    assert!(shares.spend(ms(30), TENANT, 10));
    shares.refund(ms(1_500), TENANT, 10);
    assert!(!shares.spend(ms(1_500), TENANT, 10));
}

#[test]
fn exhaustion_and_an_unreachable_grantor_are_told_apart() {
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
