//! The account of `passrelay status`: operators' scripts read it by these keys.

use super::{configuration, PROGRAM};
use passrelay_test_support::fleet::Fleet;
use passrelay_test_support::wait_until;
use serde_json::Value;

const KEYS: [&str; 22] = [
    "answers_dropped",
    "connections",
    "denials",
    "endpoints",
    "endpoints_by_version",
    "frames_dropped",
    "fresh_age_ms",
    "generation",
    "index",
    "interrupted_responses",
    "leads",
    "malformed_responses",
    "members",
    "memory",
    "peers",
    "primary",
    "repeats",
    "requests_sent",
    "service_versions",
    "term",
    "unproven_denials",
    "withheld_repeats",
];

#[test]
fn a_sidecars_account_has_these_keys_and_no_others() {
    let fleet = Fleet::new(PROGRAM, 1);
    let sidecar = fleet.start_all().remove(0);
    assert_eq!(sidecar.put_configuration(0, &configuration(3)), 200);
    wait_until("it has the configuration", || sidecar.status()["generation"] == 3);
    let account = sidecar.status();
    let mut keys: Vec<&str> = account.as_object().expect("an object").keys().map(String::as_str).collect();
    keys.sort_unstable();
    assert_eq!(keys, KEYS);
    assert!(account["generation"] == 3 && account["index"] == 1 && account["leads"] == true, "{account}");
    let is_address =
        |value: &Value| value.as_str().is_some_and(|a| a.parse::<std::net::SocketAddrV4>().is_ok());
    assert!(is_address(&account["primary"]), "{account}");
    assert!(account["members"].as_array().is_some_and(|m| m.iter().all(is_address)), "{account}");
}
