//! Routing of requests: routes, tenants and priorities.

use passrelay_configuration::Configuration;
use passrelay_data_plane::routing::{RoutingError, RoutingTable};
use rstest::rstest;
use serde_json::json;

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
