//! The router fleet as processes on loopback: requests, streams, the operators' calls, the planned end.

mod account;
mod answers;
mod changes_in_flight;
mod exact_numbers;
mod interruptions;
mod last_tenant;
mod stream_endings;

use passrelay_test_support::fleet::{read_all, Fleet, Sidecar};
use passrelay_test_support::{response, wait_until, Message, Reply, Server};
use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");

fn configuration(generation: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u64, resumable: bool| {
        json!({ "name": name, "hostname": "lot.example", "path-prefix": format!("/{name}/"), "route-type": kind,
            "timeout-ms": 5000, "target-latency-ms": 1000, "priority": 1, "backend": "bays",
            "max-attempts": attempts, "resumable": resumable })
    };
    json!({
        "generation": generation,
        "routes": [route("open", "unsafe", 1, false), route("look", "safe", 2, false),
            route("ask", "streaming", 2, true), route("sum", "streaming", 1, false)],
        "services": [{ "name": "bays", "max-connections": 100 }],
        "limits": { "max-header-bytes": 8192, "max-body-bytes": 2000, "header-timeout-ms": 400,
            "idle-timeout-ms": 5000 },
        "tenants": [{ "name": "family", "api-keys": ["key-1"], "priority": 2, "unit": "token_usage",
            "uncached-tokens": 10, "rate-per-s": 100000, "burst": 100000 }],
    })
}

fn request(path: &str, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: lot.example\r\nX-Passrelay-Request-Id: r1\r\nX-Passrelay-Deadline-Ms: 3000\r\n\
         Authorization: Bearer key-1\r\nConnection: close\r\nContent-Length: {length}\r\n{more}\r\n{body}"
    )
    .into_bytes()
}

/// One sidecar with a configuration, and endpoints in service.
fn lone(endpoints: &[&Server]) -> (Fleet, Sidecar) {
    let addresses: Vec<_> = endpoints.iter().map(|endpoint| endpoint.address).collect();
    in_service(Fleet::new(PROGRAM, 1), &addresses, &configuration(3))
}

/// The one sidecar of a fleet with this configuration, and endpoints at these addresses in service.
fn in_service(fleet: Fleet, addresses: &[SocketAddr], configuration: &Value) -> (Fleet, Sidecar) {
    let sidecar = fleet.start_serving(addresses, configuration);
    (fleet, sidecar)
}

/// The configuration with this time for all routes.
fn with_timeout(timeout_ms: u64) -> Value {
    let mut document = configuration(3);
    for route in document["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(timeout_ms);
    }
    document
}

fn ok(body: &str) -> Reply {
    response(200, "X-Passrelay-Request-Id: r1\r\nX-Passrelay-Response-Seal: s1\r\n", body.as_bytes())
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

#[test]
fn a_request_reaches_the_endpoint_under_its_tenant_and_comes_back_unchanged() {
    let endpoint = Server::start(|_| ok("bay 7"));
    let (_fleet, sidecar) = lone(&[&endpoint]);
    let answer = sidecar.exchange(&request(
        "/open/gate?lane=2",
        "X-Passrelay-Tenant: other\r\nX-More: 1\r\n",
        "hello",
    ));
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.ends_with("bay 7") && answer.to_lowercase().contains("x-passrelay-response-seal: s1"));
    let seen: Message = endpoint.requests().remove(0);
    assert_eq!(seen.start_line, "POST /open/gate?lane=2 HTTP/1.1");
    assert_eq!(seen.body, b"hello");
    assert_eq!(seen.header("x-passrelay-tenant"), Some("family"));
    assert_eq!(seen.header("x-passrelay-target-instance"), Some("i-0"));
    assert_eq!(seen.header("priority"), Some("7"));
    assert_eq!(seen.header("x-more"), Some("1"));
    assert_eq!(seen.header("authorization"), None);
    let left: u64 = seen.header("x-passrelay-deadline-ms").unwrap().parse().unwrap();
    assert!((2_000..=3_000).contains(&left), "{left}");
}

#[test]
fn the_connection_of_an_answer_of_known_length_is_used_again() {
    let endpoint = Server::start(|_| ok("bay 7"));
    let (_fleet, sidecar) = lone(&[&endpoint]);
    for _ in 0..3 {
        assert_eq!(status(&sidecar.exchange(&request("/open/gate", "", "hello"))), 200);
        // A connection rests a little before it is used again.
        std::thread::sleep(Duration::from_millis(50));
    }
    let connections: Vec<usize> = endpoint.requests().iter().map(|m| m.connection).collect();
    assert_eq!(connections, [0, 0, 0]);
}

#[test]
fn what_no_configuration_allows_is_denied_and_what_is_too_long_or_slow_is_told_so() {
    let endpoint = Server::start(|_| ok("x"));
    let (_fleet, sidecar) = lone(&[&endpoint]);
    assert_eq!(status(&sidecar.exchange(&request("/none/1", "", ""))), 404);
    let unknown = String::from_utf8(request("/open/1", "", "")).unwrap().replace("key-1", "key-2");
    assert_eq!(status(&sidecar.exchange(unknown.as_bytes())), 401);
    let keyless = String::from_utf8(request("/open/1", "", "")).unwrap().replace("Authorization", "X-Other");
    assert_eq!(status(&sidecar.exchange(keyless.as_bytes())), 401);
    assert_eq!(status(&sidecar.exchange(&request("/open/1", "", &"b".repeat(2_001)))), 413);
    assert_eq!(
        status(&sidecar.exchange(&request("/open/1", &format!("X-Long: {}\r\n", "h".repeat(20_000)), ""))),
        431
    );
    // A body whose second half doesn't come.
    let mut slow = request("/open/1", "", "0123456789");
    slow.truncate(slow.len() - 5);
    assert_eq!(status(&sidecar.exchange(&slow)), 408);
    assert!(endpoint.requests().is_empty());
}

#[test]
fn a_body_in_chunks_arrives_whole() {
    let endpoint = Server::start(|_| ok("x"));
    let (_fleet, sidecar) = lone(&[&endpoint]);
    let head = String::from_utf8(request("/open/1", "Transfer-Encoding: chunked\r\n", "")).unwrap();
    let chunked = head.replace("Content-Length: 0\r\n", "") + "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    assert_eq!(status(&sidecar.exchange(chunked.as_bytes())), 200);
    assert_eq!(endpoint.requests()[0].body, b"abcdefg");
}

#[test]
fn a_request_that_may_have_run_is_never_sent_again_unless_it_may_be() {
    let broken = Server::start(|_| Reply::BytesThenClose(Vec::new()));
    let (_fleet, sidecar) = lone(&[&broken]);
    assert_eq!(status(&sidecar.exchange(&request("/open/1", "", ""))), 502);
    assert_eq!(broken.requests().len(), 1);
}

#[test]
fn an_answer_to_another_request_is_not_passed_on() {
    let endpoint = Server::start(|_| response(200, "X-Passrelay-Request-Id: other\r\n", b"not yours"));
    let (_fleet, sidecar) = lone(&[&endpoint]);
    let answer = sidecar.exchange(&request("/open/1", "", ""));
    assert_eq!(status(&answer), 502);
    assert!(!answer.contains("not yours"));
}

#[test]
fn a_request_turned_away_unseen_goes_to_another_endpoint() {
    let full = || {
        Server::start(|_| response(503, "X-Passrelay-Request-Id: r1\r\nX-Passrelay-Not-Executed: 1\r\n", b""))
    };
    let moved = || {
        Server::start(|_| {
            response(421, "X-Passrelay-Request-Id: r1\r\nX-Passrelay-Instance-Id: i-9\r\n", b"")
        })
    };
    for one in [full(), moved()] {
        let other = Server::start(|_| ok("served"));
        let (_fleet, sidecar) = lone(&[&one, &other]);
        // Whichever comes first, both requests are served.
        for _ in 0..2 {
            assert!(sidecar.exchange(&request("/open/1", "", "")).ends_with("served"));
        }
    }
}

#[test]
fn a_refusal_promises_that_nothing_ran_and_says_when_to_come_back() {
    let full = Server::start(|_| {
        response(503, "X-Passrelay-Request-Id: r1\r\nX-Passrelay-Not-Executed: 1\r\n", b"")
    });
    let (_fleet, sidecar) = lone(&[&full]);
    let answer = sidecar.exchange(&request("/open/1", "", ""));
    assert_eq!(status(&answer), 503);
    assert!(answer.to_lowercase().contains("retry-after: "));
}

fn events(ids: std::ops::Range<u32>, whole: bool) -> Reply {
    let mut text = String::from(
        "HTTP/1.1 200 OK\r\nX-Passrelay-Request-Id: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    for id in ids {
        let event = format!("id: {id}\ndata: {id}\n\n");
        text += &format!("{:x}\r\n{event}\r\n", event.len());
    }
    text += if whole { "0\r\n\r\n" } else { "9\r\nid: 99\nda\r\n" };
    Reply::BytesThenClose(text.into_bytes())
}

#[test]
fn a_resumable_stream_goes_on_at_another_endpoint_after_the_last_whole_event() {
    let endpoint = || {
        Server::start(|message| match message.header("last-event-id") {
            Some("2") => events(3..5, true),
            Some(_) => response(500, "X-Passrelay-Request-Id: r1\r\n", b"wrong place"),
            None => events(0..3, false),
        })
    };
    let (one, other) = (endpoint(), endpoint());
    let (_fleet, sidecar) = lone(&[&one, &other]);
    let answer = sidecar.exchange(&request("/ask/1", "", ""));
    let data: Vec<&str> = answer.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(data, ["0", "1", "2", "3", "4"], "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"));
    assert_eq!(one.requests().len() + other.requests().len(), 2);
}

#[test]
fn a_stream_that_may_not_be_resumed_is_broken_off_and_never_looks_whole() {
    let endpoint = Server::start(|_| events(0..3, false));
    let other = Server::start(|_| events(0..3, false));
    let (_fleet, sidecar) = lone(&[&endpoint, &other]);
    let answer = sidecar.exchange(&request("/sum/1", "", ""));
    assert!(answer.contains("data: 2") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(endpoint.requests().len() + other.requests().len(), 1);
}

#[test]
fn a_draining_endpoint_gets_nothing_new() {
    let (leaves, stays) = (Server::start(|_| ok("leaves")), Server::start(|_| ok("stays")));
    let (_fleet, sidecar) = lone(&[&leaves, &stays]);
    assert_eq!(sidecar.heartbeat("i-0", "bays", leaves.address, "draining", 2), 200);
    // A late heartbeat from before changes nothing.
    assert_eq!(sidecar.heartbeat("i-0", "bays", leaves.address, "ready", 1), 200);
    for _ in 0..6 {
        assert!(sidecar.exchange(&request("/look/1", "", "")).ends_with("stays"));
    }
    assert!(leaves.requests().is_empty());
}

#[test]
fn without_a_configuration_requests_are_refused_and_never_denied() {
    let fleet = Fleet::new(PROGRAM, 1);
    let sidecar = fleet.start_all().remove(0);
    assert!(!sidecar.is_ready());
    let answer = sidecar.exchange(&request("/open/1", "", ""));
    assert_eq!(status(&answer), 503, "{answer}");
    assert_eq!(sidecar.call_control("GET", "/config", "", "").map(|a| a.status()), Some(404));
}

#[test]
fn faulty_orders_are_refused_with_their_place_and_stale_ones_with_the_version() {
    let endpoint = Server::start(|_| ok("x"));
    let (_fleet, sidecar) = lone(&[&endpoint]);
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
fn a_planned_end_lets_a_stream_finish_and_says_at_once_that_it_is_not_ready() {
    let endpoint = Server::start(|_| {
        std::thread::sleep(Duration::from_millis(700));
        ok("late but whole")
    });
    let (_fleet, mut sidecar) = lone(&[&endpoint]);
    let mut client = sidecar.client();
    client.write_all(&request("/look/1", "", "")).unwrap();
    wait_until("the endpoint has it", || !endpoint.requests().is_empty());
    sidecar.signal("TERM");
    wait_until("it isn't ready", || !sidecar.is_ready());
    assert!(read_all(&mut client).ends_with("late but whole"));
    assert!(sidecar.wait_for_success());
}

/// An endpoint that never answers, and tells when the connection of a request ends.
fn listening_for_the_end() -> (SocketAddr, std::sync::mpsc::Receiver<Duration>) {
    let (tell, told) = std::sync::mpsc::channel();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = passrelay_test_support::serve_connections(listener, move |_, sock| {
        let mut reader = std::io::BufReader::new(sock);
        if Message::read(&mut reader).is_some() {
            let began = std::time::Instant::now();
            let _ = std::io::Read::read(&mut reader, &mut [0]);
            let _ = tell.send(began.elapsed());
        }
    });
    (address, told)
}

#[test]
fn when_a_client_leaves_its_endpoint_is_let_go_and_nothing_more_is_sent_for_it() {
    let (one, one_ended) = listening_for_the_end();
    let (other, other_ended) = listening_for_the_end();
    let (_fleet, sidecar) = in_service(Fleet::new(PROGRAM, 1), &[one, other], &configuration(3));
    for path in ["/look/1", "/ask/1", "/sum/1"] {
        let mut client = sidecar.client();
        client.write_all(&request(path, "", "")).unwrap();
        std::thread::sleep(Duration::from_millis(150));
        drop(client);
        let ended = one_ended.recv_timeout(Duration::from_secs(2)).or_else(|_| other_ended.try_recv());
        let ended = ended.or_else(|_| other_ended.recv_timeout(Duration::from_secs(1))).expect(path);
        assert!(ended < Duration::from_millis(650), "{path}: let go after {ended:?}");
    }
    // Nothing was sent a second time for a client that has gone.
    std::thread::sleep(Duration::from_millis(300));
    assert!(one_ended.try_recv().is_err() && other_ended.try_recv().is_err());
}

#[test]
fn fields_that_an_endpoint_relies_on_arrive_though_a_client_names_them_in_connection() {
    let endpoint = Server::start(|_| ok("x"));
    let (_fleet, sidecar) = lone(&[&endpoint]);
    let fields = "X-Passrelay-Model: m\r\nX-Passrelay-Token-Usage: 10,20\r\nX-Passrelay-Prefix-Hash: 5c:10\r\n\
                  X-Hop: 1\r\nConnection: X-Passrelay-Model, X-Passrelay-Token-Usage, X-Passrelay-Prefix-Hash, X-Hop\r\n";
    assert_eq!(status(&sidecar.exchange(&request("/open/1", fields, ""))), 200);
    let seen = endpoint.requests().remove(0);
    assert_eq!(seen.header("x-passrelay-model"), Some("m"));
    assert_eq!(seen.header("x-passrelay-token-usage"), Some("10,20"));
    assert_eq!(seen.header("x-passrelay-prefix-hash"), Some("5c:10"));
    assert_eq!(seen.header("x-hop"), None);
}

#[test]
fn an_endpoint_that_is_not_known_is_not_told_that_its_end_is() {
    let endpoint = Server::start(|_| ok("x"));
    let (_fleet, sidecar) = lone(&[&endpoint]);
    let leave =
        |id: &str| sidecar.call_control("DELETE", &format!("/instances/{id}"), "", "").map(|a| a.status());
    assert_eq!(leave("i-77"), Some(503));
    assert_eq!(leave("i-0"), Some(200));
    assert_eq!(leave("i-0"), Some(200), "it is known that it has gone");
}

/// A client's try some time after SIGTERM: the path, and whether on a connection that was open before.
struct LateTry {
    after_ms: u64,
    path: &'static str,
    deadline_ms: u64,
    kept: bool,
    expected: u16,
}

#[test]
fn after_sigterm_each_request_taken_is_answered_and_those_that_would_be_cut_off_are_refused_at_once() {
    // Slow requests get their answer 5 s after they came.
    let endpoint = Server::start(|message| {
        let slow = message.start_line.contains("slow");
        std::thread::sleep(Duration::from_millis(if slow { 5_000 } else { 50 }));
        ok("whole")
    });
    let mut fleet = Fleet::new(PROGRAM, 1);
    fleet.grace_s = 8;
    let (_fleet, mut sidecar) = in_service(fleet, &[endpoint.address], &with_timeout(15_000));
    let late =
        |after_ms, path, deadline_ms, kept, expected| LateTry { after_ms, path, deadline_ms, kept, expected };
    let tries = [
        late(0, "/open/slow", 15_000, false, 200),
        late(0, "/open/quick", 3_000, true, 200),
        late(1_000, "/open/slow", 15_000, true, 200),
        late(1_000, "/open/quick", 3_000, false, 200),
        late(2_900, "/open/slow", 15_000, false, 503),
        late(2_900, "/open/quick", 3_000, false, 200),
        late(3_100, "/open/slow", 15_000, false, 503),
        late(3_100, "/open/quick", 3_000, false, 200),
        late(6_000, "/open/slow", 15_000, false, 503),
        late(6_000, "/open/quick", 600, false, 200),
    ];
    // A kept connection has had an answer before.
    let clients: Vec<_> = tries
        .iter()
        .map(|t| t.kept.then(|| sidecar.keep_alive_client(&request("/open/first", "", ""))))
        .collect();
    sidecar.signal("TERM");
    let signalled = std::time::Instant::now();
    std::thread::scope(|scope| {
        let sidecar = &sidecar;
        for (one, kept) in tries.iter().zip(clients) {
            scope.spawn(move || {
                let after = Duration::from_millis(one.after_ms);
                std::thread::sleep(after.saturating_sub(signalled.elapsed()));
                let mut client = kept.unwrap_or_else(|| sidecar.client());
                let text = String::from_utf8(request(one.path, "", "")).unwrap();
                let text = text.replace("Deadline-Ms: 3000", &format!("Deadline-Ms: {}", one.deadline_ms));
                let asked = std::time::Instant::now();
                client.write_all(text.as_bytes()).unwrap();
                let answer = read_all(&mut client);
                let what =
                    format!("{} ms after SIGTERM, {}, kept {}: {answer}", one.after_ms, one.path, one.kept);
                assert_eq!(status(&answer), one.expected, "{what}");
                if one.expected == 503 {
                    let lower = answer.to_lowercase();
                    assert!(
                        lower.contains("retry-after: 0") && lower.contains("connection: close"),
                        "{what}"
                    );
                    assert!(asked.elapsed() < Duration::from_millis(500), "{what}");
                } else {
                    assert!(answer.ends_with("whole"), "{what}");
                }
            });
        }
    });
    assert!(sidecar.wait_for_success());
    let late_ones = endpoint.requests().iter().filter(|m| m.start_line.contains("slow")).count();
    assert_eq!(late_ones, 2, "what was refused has not run");
}

#[test]
fn what_is_still_unanswered_when_the_process_ends_gets_a_final_answer() {
    let endpoint = Server::start(|_| Reply::NoResponse);
    let (_fleet, mut sidecar) = lone(&[&endpoint]);
    let mut client = sidecar.client();
    let text = String::from_utf8(request("/open/1", "", "")).unwrap().replace("Ms: 3000", "Ms: 60000");
    client.write_all(text.as_bytes()).unwrap();
    wait_until("the endpoint has it", || !endpoint.requests().is_empty());
    sidecar.signal("TERM");
    assert_eq!(status(&read_all(&mut client)), 504);
    assert!(sidecar.wait_for_success());
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

fn run(words: &[&str]) -> (Option<i32>, String) {
    let done = std::process::Command::new(PROGRAM).args(words).output().unwrap();
    (done.status.code(), String::from_utf8_lossy(&done.stdout).into_owned())
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
