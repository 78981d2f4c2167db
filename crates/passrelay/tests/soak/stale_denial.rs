//! Users got 404 for a route, and 401 for a key, that had been confirmed to the operator seconds before; clients don't retry these.
//!
//! Order of events: a process stands still (paused, or starved of the processor) while a change is acknowledged; it goes on and finds requests
//! waiting on connections that stayed open; it denies them by the configuration of before, and only then learns of the change.
//!
//! Cause: that the configuration is known to be current was checked for requests that are accepted, never for those that are denied.
//! Evidence: `unproven_denials` of its status grows by these requests; the last proof is older than the bound for changes to be in force.

use crate::http::Connection;
use crate::operator::{added_key, added_route, Caller, STABLE_KEY};
use crate::records::Records;
use crate::scenario::SoakFleet;
use passrelay_test_support::fleet::Sidecar;
use passrelay_test_support::wait_until;
use rstest::rstest;
use serde_json::Value;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The process stands still for longer than a change may take to be in force.
const STANDSTILL: Duration = Duration::from_millis(3_200);

fn request(path: &str, key: &str) -> String {
    format!(
        "GET {path}x HTTP/1.1\r\nHost: soak.example\r\nX-Passrelay-Request-Id: r\r\nX-Passrelay-Deadline-Ms: 8000\r\n\
         Authorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n"
    )
}

#[rstest]
#[case::a_route(added_route("late"), "/late/", STABLE_KEY, 404)]
#[case::a_key(added_key("key-late"), "/stable-0/", "key-late", 401)]
fn a_process_that_stood_still_denies_nothing_that_was_added_meanwhile(
    #[case] upsert: Value,
    #[case] path: &str,
    #[case] key: &str,
    #[case] denial: u16,
) {
    let soak = SoakFleet::start(8, 4);
    let (core, sidecar) = (&soak.processes[..3], &soak.processes[3]);
    let mut connection = Connection::open(sidecar.front_address(), READ_TIMEOUT).expect("a connection");
    let before = connection.exchange(&request(path, key)).expect("an answer");
    assert_eq!(before.status(), denial, "it is not there yet");
    sidecar.pause();
    let controls = core.iter().map(Sidecar::control_address).collect();
    Caller { records: Arc::new(Records::new()), controls }.patch_once(1, 5, &upsert);
    thread::sleep(STANDSTILL);
    // Whatever the process asks the core when it goes on, the answer comes after the request.
    core.iter().for_each(Sidecar::pause);
    connection.send(&request(path, key));
    sidecar.resume();
    let after = connection.receive().expect("an answer");
    core.iter().for_each(Sidecar::resume);
    assert_ne!(after.status(), denial, "denied by the configuration of before");
    wait_until("it is served", || {
        let answer = Connection::open(sidecar.front_address(), READ_TIMEOUT)
            .and_then(|mut connection| connection.exchange(&request(path, key)));
        answer.is_some_and(|answer| answer.status() == 200)
    });
    soak.in_service.iter().for_each(crate::endpoints::Endpoint::end);
}
