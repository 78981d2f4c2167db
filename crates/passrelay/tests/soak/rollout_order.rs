//! Operators order a good version of a service; it is acknowledged and has all of the service's requests by its deadline.
//!
//! Not built yet: the order is answered with 404, and only the configuration moves a service. The controller of roll-outs brings it.

use crate::endpoints::{Endpoint, Quality};
use crate::http::call;
use crate::operator::SERVICES;
use crate::scenario::SoakFleet;
use passrelay_test_support::until;
use serde_json::{json, Value};
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(12);

#[test]
fn an_ordered_good_version_is_completed_by_its_deadline() {
    let soak = SoakFleet::start(11, 4);
    let second: Vec<_> = (0..4).map(|_| soak.endpoints.start(SERVICES[0], "v2", Quality::Good)).collect();
    let control = soak.processes[3].control_address();
    let order = json!({ "backend": SERVICES[0], "target-version": "v2", "deadline-s": DEADLINE.as_secs() })
        .to_string();
    let acknowledged = call(control, "POST", "/rollouts", "Content-Type: application/json\r\n", &order);
    assert_eq!(acknowledged.map(|(status, _)| status), Some(200));
    until("it is completed", || {
        let answer = call(control, "GET", &format!("/rollouts/{}", SERVICES[0]), "", "");
        let state = answer.and_then(|(_, body)| serde_json::from_str::<Value>(&body).ok());
        state.is_some_and(|state| state["state"] == "completed" && state["target-version"] == "v2")
    });
    second.iter().chain(&soak.in_service).for_each(Endpoint::end);
}
