//! The configuration reads back with the numbers that were sent, on every machine, after later changes and after a restart.
//!
//! The fault (review/8): a change was stored as its document parsed and written anew, and the parser took a number of 16 digits for
//! a neighbouring one; numbers beyond those of a double lost digits or were refused.

use super::{run, PROGRAM};
use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::wait_until;

const MACHINES: u8 = 4;
const VOTERS: u8 = 3;
/// Numbers in fields that no version knows.
const UNKNOWN: [&str; 6] = [
    "123456789012345678901234567890",
    "18446744073709551616",
    "0.1000000000000000055511151231257827",
    "-0.0",
    "4.9406564584124654e-324",
    "1e+400",
];

fn route(name: &str, weights: [&str; 2]) -> String {
    let [first, second] = weights;
    let unknown = UNKNOWN.join(",");
    format!(
        r#"{{"hostname":"lot.example","name":"{name}","path-prefix":"/{name}/","timeout-ms":3000,"traffic-split":[{{"backend":"bays","weight":{first}}},{{"backend":"gates","weight":{second}}}],"unknown":[{unknown}]}}"#
    )
}

/// Returns a configuration in the form in which it is written.
fn configuration(generation: u64, routes: &[String]) -> String {
    let (routes, number) = (routes.join(","), UNKNOWN[0]);
    format!(
        r#"{{"generation":{generation},"limits":{{"unknown":{number}}},"routes":[{routes}],"services":[{{"name":"bays"}},{{"name":"gates"}}],"unknown":{number}}}"#
    )
}

fn patch(generation: u64, route: &str) -> String {
    format!(r#"{{"generation":{generation},"upsert":{{"routes":[{route}]}}}}"#)
}

fn change(sidecar: &Sidecar, method: &str, base: u64, body: &str) {
    let answer = sidecar.call_control(method, "/config", &format!("If-Match: {base}\r\n"), body).unwrap();
    assert_eq!(answer.status(), 200, "{}", String::from_utf8_lossy(&answer.body));
}

fn document(sidecar: &Sidecar) -> String {
    let answer = sidecar.call_control("GET", "/config", "", "");
    answer.map_or_else(String::new, |answer| String::from_utf8_lossy(&answer.body).into_owned())
}

/// Waits until every machine has this generation in force, and checks what each of them reads back.
fn assert_everywhere(sidecars: &[Sidecar], generation: u64, expected: &str) {
    for sidecar in sidecars {
        wait_until("the generation is in force", || sidecar.status()["generation"] == generation);
        wait_until("the configuration can be read", || !document(sidecar).is_empty());
        assert_eq!(document(sidecar), expected);
    }
}

// Guards against review/8: a weight of 16 digits reads back as another number.
#[test]
fn numbers_read_back_as_they_were_sent() {
    let mut fleet = Fleet::new(PROGRAM, MACHINES);
    fleet.voters = VOTERS;
    let sidecars = fleet.start_all();
    let even = route("even", ["0.50", "0.5"]);
    let split = route("split", ["91.66666666666667", "8.333333333333334"]);
    let later = route("later", ["33.333333333333336", "66.66666666666667"]);

    let first = configuration(3, std::slice::from_ref(&even));
    change(&sidecars[0], "PUT", 0, &first);
    assert_everywhere(&sidecars, 3, &first);

    change(&sidecars[1], "PATCH", 3, &patch(5, &split));
    assert_everywhere(&sidecars, 5, &configuration(5, &[even.clone(), split.clone()]));

    // A change of another item writes all of them anew.
    change(&sidecars[3], "PATCH", 5, &patch(6, &later));
    let newest = configuration(6, &[even, split, later]);
    assert_everywhere(&sidecars, 6, &newest);

    let file = fleet.write_file("newest.json", &newest);
    let at = |sidecar: &Sidecar| sidecar.control_address().to_string();
    let read = run(&["config", "get", "--at", &at(&sidecars[2])]);
    assert_eq!(read.1.trim_end(), newest);
    let difference = run(&["config", "diff", &file, "--at", &at(&sidecars[3])]);
    assert_eq!(difference, (Some(0), String::new()));

    drop(sidecars);
    let sidecars: Vec<Sidecar> = (1..=MACHINES).map(|machine| fleet.start(machine, false)).collect();
    assert_everywhere(&sidecars, 6, &newest);
}
