//! Routes, retry budget and quota shares.

use passrelay_configuration::Configuration;
use passrelay_data_plane::quota::{Grant, QuotaShares, TenantTokens};
use passrelay_data_plane::retry_budget::RetryBudget;
use passrelay_data_plane::routing::{RoutingError, RoutingTable};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn table() -> RoutingTable {
    let route = |name: &str, prefix: &str, public: bool| {
        json!({ "name": name, "hostname": "Lot.example", "path-prefix": prefix, "timeout-ms": 9, "backend": "s",
            "public": public, "priority": 1 })
    };
    let document = json!({
        "generation": 1,
        "routes": [route("all", "/", false), route("deep", "/a/b/", false), route("open", "/open/", true)],
        "services": [{ "name": "s" }],
        "tenants": [{ "name": "t", "api-keys": ["k"], "priority": 1 }],
    });
    RoutingTable::new(Configuration::read(&document).unwrap())
}

#[rstest]
#[case("lot.example", "/a/b/c", Some("k"), Ok("deep"))]
#[case("LOT.example:8080", "/a/x", Some("k"), Ok("all"))]
#[case("lot.example", "/open/1", None, Ok("open"))]
#[case("lot.example", "/a", None, Err(RoutingError::UnknownKey))]
#[case("lot.example", "/a", Some("other"), Err(RoutingError::UnknownKey))]
#[case("other.example", "/a", Some("k"), Err(RoutingError::NoRoute))]
fn the_longest_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<&str, RoutingError>,
) {
    let table = table();
    let found = table.find(host, path, key).map(|m| m.route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn the_tenants_rank_goes_before_the_routes() {
    let table = table();
    assert_eq!(table.find("lot.example", "/x", Some("k")).unwrap().priority(), 4);
    assert_eq!(table.find("lot.example", "/open/", None).unwrap().priority(), 1);
}

#[test]
fn repeats_of_many_sidecars_stay_within_the_fleets_budget() {
    for sidecars in [12_u32, 90, 330] {
        let (requests_each, mut repeats) = (50, 0);
        for _ in 0..sidecars {
            let mut budget = RetryBudget::new(0.2);
            for _ in 0..requests_each {
                budget.deposit("s");
                repeats += u32::from(budget.withdraw("s"));
            }
        }
        let slack = 64.0 * f64::from(sidecars) / 12.0;
        assert!(f64::from(repeats) <= 0.2 * f64::from(sidecars * requests_each) + slack);
    }
}

fn shares() -> QuotaShares {
    QuotaShares::new(ms(1_500))
}

fn grant(tokens: u64, reserve: u64) -> [Grant; 1] {
    [Grant { tenant: 1, tokens, reserve }]
}

#[test]
fn tokens_are_asked_for_by_requests_that_wait_and_end_in_time() {
    let mut shares = shares();
    shares.add_demand(1, 100);
    assert!(!shares.spend(ms(0), 1, 100));
    let question = shares.next_request(ms(0)).unwrap();
    assert_eq!(question.wanted, [TenantTokens { tenant: 1, tokens: 100 }]);
    assert_eq!(shares.next_request(ms(10)), None, "it is asked for already");
    shares.apply_grants(ms(20), question.request_id, &grant(100, 0));
    assert!(shares.spend(ms(30), 1, 100) && !shares.spend(ms(30), 1, 1));
    shares.add_demand(1, 50);
    let question = shares.next_request(ms(40)).unwrap();
    // The answer was under way for so long that nothing of it may be spent.
    shares.apply_grants(ms(2_000), question.request_id, &grant(150, 0));
    assert!(!shares.spend(ms(2_000), 1, 50));
}

#[test]
fn the_reserve_serves_only_while_the_grantor_is_silent_and_is_reported() {
    let mut shares = shares();
    shares.add_demand(1, 10);
    let question = shares.next_request(ms(0)).unwrap();
    shares.apply_grants(ms(5), question.request_id, &grant(10, 30));
    assert!(shares.spend(ms(6), 1, 10));
    assert!(!shares.spend(ms(7), 1, 10), "the grantor answers");
    shares.next_request(ms(8)).unwrap();
    assert!(shares.spend(ms(100), 1, 10));
    let told = shares.next_request(ms(101)).unwrap();
    assert_eq!(told.overdrawn, [TenantTokens { tenant: 1, tokens: 10 }]);
    assert!(shares.spend(ms(102), 1, 20) && !shares.spend(ms(103), 1, 1));
    shares.apply_grants(ms(104), told.request_id, &grant(0, 0));
    // What was spent after the question was sent is still to be told.
    assert_eq!(shares.next_request(ms(110)).unwrap().overdrawn, [TenantTokens { tenant: 1, tokens: 20 }]);
}
