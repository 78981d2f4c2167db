//! Routing of requests: routes, tenants and priorities.

use passrelay_configuration::Configuration;
use passrelay_data_plane::routing::{KeyPolicy, RoutingError, RoutingTable};
use rstest::rstest;
use serde_json::{json, Value};

fn table() -> RoutingTable {
    table_with(Some(json!([{ "name": "t", "api-keys": ["k"], "priority": 1 }])), false)
}

fn table_with(tenants: Option<Value>, keys_revoked: bool) -> RoutingTable {
    let route = |name: &str, prefix: &str, public: bool| {
        json!({ "name": name, "hostname": "Lot.example", "path-prefix": prefix, "timeout-ms": 9, "backend": "s",
            "public": public, "priority": 1 })
    };
    let mut document = json!({
        "generation": 1,
        "routes": [route("all", "/", false), route("deep", "/a/b/", false), route("open", "/open/", true)],
        "services": [{ "name": "s" }],
    });
    if let Some(tenants) = tenants {
        document["tenants"] = tenants;
    }
    RoutingTable::new(Configuration::read(&document).unwrap(), keys_revoked)
}

#[rstest]
#[case::longest_prefix("lot.example", "/a/b/c", Some("k"), Ok("deep"))]
#[case::case_and_port_of_the_host("LOT.example:8080", "/a/x", Some("k"), Ok("all"))]
#[case::public("lot.example", "/open/1", None, Ok("open"))]
#[case::no_key("lot.example", "/a", None, Err(RoutingError::UnknownKey))]
#[case::unknown_key("lot.example", "/a", Some("other"), Err(RoutingError::UnknownKey))]
#[case::unknown_host("other.example", "/a", Some("k"), Err(RoutingError::NoRoute))]
fn a_request_is_routed_by_host_longest_path_prefix_and_key(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<&str, RoutingError>,
) {
    let table = table();
    let found = table.find(host, path, key).map(|found| found.route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn the_priority_of_the_tenant_precedes_that_of_the_route() {
    let table = table();
    assert_eq!(table.find("lot.example", "/x", Some("k")).unwrap().priority(), 4);
    assert_eq!(table.find("lot.example", "/open/", None).unwrap().priority(), 1);
}

// Guards against review/1: a configuration whose last tenant was removed is taken for one that needs no keys.
#[rstest]
#[case::empty_list(Some(json!([])), true, KeyPolicy::Required, Some("k"), false)]
#[case::empty_list_without_a_key(Some(json!([])), true, KeyPolicy::Required, None, false)]
#[case::first_list_is_empty(Some(json!([])), false, KeyPolicy::Required, Some("k"), false)]
#[case::no_keys_left(Some(json!([{ "name": "t", "api-keys": [] }])), true, KeyPolicy::Required, Some("k"), false)]
#[case::list_taken_away(None, true, KeyPolicy::Revoked, Some("k"), false)]
#[case::list_is_null(Some(Value::Null), true, KeyPolicy::Revoked, Some("k"), false)]
#[case::list_taken_away_without_a_key(None, true, KeyPolicy::Revoked, None, true)]
#[case::never_a_list(None, false, KeyPolicy::Unused, Some("k"), true)]
#[case::never_a_list_without_a_key(None, false, KeyPolicy::Unused, None, true)]
fn a_key_that_no_tenant_holds_is_refused_once_there_were_tenants(
    #[case] tenants: Option<Value>,
    #[case] keys_revoked: bool,
    #[case] policy: KeyPolicy,
    #[case] key: Option<&str>,
    #[case] accepted: bool,
) {
    let table = table_with(tenants, keys_revoked);
    assert_eq!(table.key_policy(), policy);
    let found = table.find("lot.example", "/a", key).map(|found| found.tenant.is_none());
    assert_eq!(found, if accepted { Ok(true) } else { Err(RoutingError::UnknownKey) });
    assert!(table.find("lot.example", "/open/1", key).is_ok(), "a public route needs no key");
}
