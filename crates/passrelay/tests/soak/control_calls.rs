//! A call that operators and endpoints were promised had no place to go: it was answered with 404, which ends it, and nobody noticed as long as
//! nothing compared the calls that are promised with the answers.
//!
//! Every call of the control interface is made here once as promised and once with each way of being improper, and has its answer.

use crate::endpoints::Endpoint;
use crate::http::call;
use crate::operator::SERVICES;
use crate::scenario::SoakFleet;
use passrelay_test_support::wait_until;
use serde_json::json;
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");

#[test]
fn every_call_has_the_answer_that_is_promised() {
    let soak = SoakFleet::start(17, 4);
    let control = soak.processes[3].control_address();
    let json = "Content-Type: application/json\r\n";
    let beat = json!({ "backend": SERVICES[1], "address": "127.0.0.1:9", "zone": "here", "generation": "v1",
        "capacity": 1, "state": "ready", "cold-remaining-ms": 0, "sequence": 1 })
    .to_string();
    let order = |service: &str, version: &str, deadline: f64| {
        json!({ "backend": service, "target-version": version, "deadline-s": deadline }).to_string()
    };
    let patch = |generation: u64| json!({ "generation": generation, "upsert": {} }).to_string();
    let of_alpha = format!("/rollouts/{}", SERVICES[0]);
    let of_beta = format!("/rollouts/{}", SERVICES[1]);
    let based = format!("If-Match: 1\r\n{json}");
    let long = format!("{{\"backend\":\"{}\"}}", "x".repeat(70_000));
    let calls: Vec<(&str, &str, &str, String, u16)> = vec![
        ("GET", "/ready", "", String::new(), 200),
        ("GET", "/status", "", String::new(), 200),
        ("PUT", "/instances/i-promised", json, beat, 200),
        ("PUT", "/instances/i-promised", json, "{}".into(), 400),
        ("DELETE", "/instances/i-promised", "", String::new(), 200),
        ("GET", "/instances/i-promised", "", String::new(), 405),
        ("GET", "/config", "", String::new(), 200),
        ("PATCH", "/config", &based, patch(4), 200),
        ("PATCH", "/config", &based, patch(4), 200),
        ("PATCH", "/config", &based, patch(5), 412),
        ("PATCH", "/config", json, patch(6), 400),
        ("PUT", "/config", &based, "{".into(), 400),
        ("GET", &of_alpha, "", String::new(), 404),
        ("POST", "/rollouts", json, order(SERVICES[0], "v2", 30.0), 200),
        ("POST", "/rollouts", json, order(SERVICES[0], "v2", 30.0), 200),
        ("GET", &of_alpha, "", String::new(), 200),
        ("GET", &of_beta, "", String::new(), 404),
        ("POST", "/rollouts", json, order("nowhere", "v2", 30.0), 422),
        ("POST", "/rollouts", json, order(SERVICES[0], "v2", 0.0), 400),
        ("POST", "/rollouts", json, order(SERVICES[0], "", 30.0), 400),
        ("POST", "/rollouts", json, "{\"backend\":".into(), 400),
        ("POST", "/rollouts", json, long, 413),
        ("DELETE", "/rollouts", "", String::new(), 405),
        ("PUT", &of_alpha, "", String::new(), 405),
        ("GET", "/nothing", "", String::new(), 404),
    ];
    for (method, path, headers, body, promised) in calls {
        let answer = call(control, method, path, headers, &body);
        let status = answer.as_ref().map(|(status, _)| *status);
        assert_eq!(status, Some(promised), "{method} {path} {body:.80}: {answer:?}");
    }
    soak.in_service.iter().for_each(Endpoint::end);
}

#[test]
fn the_command_line_orders_a_roll_out_and_tells_how_it_went() {
    let soak = SoakFleet::start(19, 4);
    let control = soak.processes[2].control_address().to_string();
    let run = |words: &[&str]| {
        let output = Command::new(PROGRAM).args(words).args(["--at", &control]).output().expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let service = SERVICES[0];
    assert_eq!(run(&["rollout", "status", service]).0, Some(3), "there was none");
    assert_eq!(run(&["rollout", "start", service, "v2", "--deadline", "2"]).0, Some(0));
    assert_eq!(run(&["rollout", "start", "nowhere", "v2", "--deadline", "2"]).0, Some(3));
    wait_until("it is rolled back, for no endpoint came", || {
        run(&["rollout", "status", service]).1.contains("\"rolled_back\"")
    });
    soak.in_service.iter().for_each(Endpoint::end);
}
