//! The calls of operators and the command line: changes of the configuration that are taken, refused and read back.

use super::{configuration, ok, run, single_sidecar, PROGRAM};
use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::{wait_until, Server};
use serde_json::{json, Value};

#[test]
fn faulty_orders_are_refused_with_their_place_and_stale_ones_with_the_version() {
    let endpoint = Server::start(|_| ok("x"));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let mut faulty = configuration(5);
    faulty["routes"][1]["backend"] = json!("nobody");
    let answer = sidecar.call_control("PUT", "/config", "If-Match: 3\r\n", &faulty.to_string()).unwrap();
    assert_eq!(answer.status(), 400);
    let text = String::from_utf8(answer.body).unwrap();
    assert!(text.contains("routes[1].backend") && text.contains("nobody"), "{text}");
    assert_eq!(sidecar.put_configuration(0, &configuration(5)), 412);
    assert_eq!(sidecar.put_configuration(3, &configuration(2)), 400);
    assert_eq!(
        sidecar.call_control("PUT", "/config", "If-Match: 3\r\n", "{\"generation\": 4").unwrap().status(),
        400
    );
    // The order that was taken is acknowledged again, also after another one.
    assert_eq!(sidecar.put_configuration(0, &configuration(3)), 200);
    assert_eq!(sidecar.put_configuration(3, &configuration(6)), 200);
    assert_eq!(sidecar.put_configuration(0, &configuration(3)), 200);
}

#[test]
fn three_sidecars_keep_the_configuration_through_the_death_of_the_primary() {
    let fleet = Fleet::new(PROGRAM, 3);
    let mut sidecars = fleet.start_all();
    let put_anywhere = |sidecars: &[Sidecar], base: u64, generation: u64| {
        wait_until("the order is taken", || {
            sidecars.iter().any(|s| s.put_configuration(base, &configuration(generation)) == 200)
        });
    };
    put_anywhere(&sidecars, 0, 3);
    wait_until("all have it", || sidecars.iter().all(|s| s.status()["generation"] == json!(3)));
    let leader = sidecars.iter().position(|s| s.status()["leads"] == json!(true)).unwrap();
    let dead = sidecars.remove(leader);
    dead.signal("KILL");
    drop(dead);
    put_anywhere(&sidecars, 3, 8);
    let machine = u8::try_from(leader + 1).unwrap();
    let back = fleet.start(machine, false);
    wait_until("the one that was dead has it", || back.status()["generation"] == json!(8));
}

#[test]
fn a_configuration_of_many_routes_is_taken_and_reaches_everyone() {
    let fleet = Fleet::new(PROGRAM, 3);
    let sidecars = fleet.start_all();
    wait_until("the first order is taken", || sidecars[0].put_configuration(0, &configuration(3)) == 200);
    let mut large = configuration(7);
    let routes = large["routes"].as_array_mut().unwrap();
    let template = routes[0].clone();
    for n in 0..2_000 {
        let mut route = template.clone();
        route["name"] = json!(format!("more-{n}"));
        route["path-prefix"] = json!(format!("/more-{n}/"));
        routes.push(route);
    }
    for sidecar in &sidecars {
        wait_until("the large order is taken", || sidecar.put_configuration(3, &large) == 200);
    }
    wait_until("all have it", || sidecars.iter().all(|s| s.status()["generation"] == json!(7)));
    let change = json!({ "generation": 9, "remove": { "routes": ["more-1", "more-1999"] } });
    let headers = "If-Match: 7\r\n";
    let patched = || {
        sidecars[2].call_control("PATCH", "/config", headers, &change.to_string()).map_or(0, |a| a.status())
    };
    wait_until("the change is taken", || patched() == 200);
    let read = sidecars[1].call_control("GET", "/config", "", "").unwrap();
    let read: Value = serde_json::from_slice(&read.body).unwrap();
    assert_eq!(read["routes"].as_array().unwrap().len(), 2_002);
}

#[test]
fn the_configuration_of_the_loopback_fleet_has_no_fault() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/loopback/routes.json");
    assert_eq!(run(&["config", "check", file]), (Some(0), "generation 1: 1 routes, 1 services\n".to_owned()));
}

#[test]
fn the_command_line_checks_puts_and_reads_configurations() {
    let fleet = Fleet::new(PROGRAM, 1);
    let sidecar = fleet.start_all().remove(0);
    let at = sidecar.control_address().to_string();
    let file = fleet.write_file("configuration.json", &configuration(3).to_string());
    assert_eq!(run(&["config", "check", &file]).0, Some(0));
    let mut faulty = configuration(4);
    faulty["routes"][0]["timeout-ms"] = json!(0);
    faulty["routes"][1]["backend"] = json!("nobody");
    let bad = fleet.write_file("faulty.json", &faulty.to_string());
    let (code, text) = run(&["config", "check", &bad]);
    assert_eq!(code, Some(3));
    assert!(text.contains("routes[0].timeout-ms") && text.contains("routes[1].backend"), "{text}");
    assert_eq!(run(&["config", "put", &file, "--base", "0", "--at", &at]).0, Some(0));
    assert_eq!(run(&["config", "put", &bad, "--base", "3", "--at", &at]).0, Some(3));
    let (code, text) = run(&["config", "get", "--at", &at]);
    assert_eq!(code, Some(0));
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap()["generation"], json!(3));
    assert_eq!(run(&["config", "diff", &file, "--at", &at]), (Some(0), String::new()));
    let mut later = configuration(5);
    later["routes"][0]["timeout-ms"] = json!(4_321);
    let later = fleet.write_file("later.json", &later.to_string());
    let (code, text) = run(&["config", "diff", &later, "--at", &at]);
    assert_eq!(code, Some(1));
    assert!(text.starts_with("~ routes ") && text.contains("timeout-ms"), "{text}");
    let (_, change) = run(&["config", "diff", &later, "--at", &at, "--output", "json"]);
    let change = fleet.write_file("change.json", &change);
    assert_eq!(run(&["config", "patch", &change, "--base", "3", "--at", &at]).0, Some(0));
    assert_eq!(run(&["config", "diff", &later, "--at", &at]), (Some(0), String::new()));
    assert_eq!(run(&["config", "diff", &bad, "--at", &at]).0, Some(3));
    let (code, text) = run(&["status", "--at", &at]);
    assert_eq!(code, Some(0));
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap()["leads"], json!(true));
    for words in [&["config", "--help"][..], &["status", "--help"], &["node", "--help"]] {
        assert_eq!(run(words).0, Some(0));
    }
}
