//! Day-to-day service: the operators' address, standby and a second process on the clients' address.

use passrelay_test_support::*;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");

fn served(_: &Message) -> Reply {
    response(200, "X-Load-Report: rps=3,cpu=0.5\r\n", b"done")
}

fn free() -> SocketAddr {
    passrelay_test_support::free_address().unwrap()
}

/// A sidecar with an operators' address, before one node.
fn with_admin(node: &Server) -> (Relay, Discovery, Value) {
    let discovery = Discovery::start(vec![node_entry("s-0", node.address, "in_service")]);
    let mut config = config(discovery.server.address);
    config["operator"] = Value::String(free().to_string());
    let relay = Relay::start(PROGRAM, &config);
    relay.wait_until_ready();
    (relay, discovery, config)
}

fn ready(relay: &Relay) -> u16 {
    relay.caller().exchange("GET /ready HTTP/1.1\r\n\r\n").status()
}

// Guards against an operator who waits behind silent callers, and against calls by a wrong method or path.
#[test]
fn the_admin_listener_answers_its_calls_also_beside_silent_callers() {
    let node = Server::start(served);
    let (relay, _discovery, config) = with_admin(&node);
    let admin = config["operator"].as_str().unwrap();
    let silent: Vec<_> = (0..40).map(|_| TcpStream::connect(admin).unwrap()).collect();
    let began = Instant::now();
    let status = relay.call_operator("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(status.status(), 200);
    let body: Value = serde_json::from_slice(&status.body).unwrap();
    assert_eq!((body["serving"].as_bool(), body["standby"].as_bool()), (Some(true), Some(false)));
    let wrong = relay.call_operator("GET /standby HTTP/1.1\r\n\r\n");
    assert_eq!((wrong.status(), wrong.header("allow")), (405, Some("POST")));
    assert_eq!(relay.call_operator("GET /nothing HTTP/1.1\r\n\r\n").status(), 404);
    assert_eq!(relay.call_operator("\x01 broken\r\n\r\n").status(), 400);
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    drop(silent);
}

// Guards against a standby that leaves idle client connections open or hands out keep-alive answers, and an
// active that does not bring the yes back.
#[test]
fn standby_sends_clients_away_and_active_takes_them_again() {
    let node = Server::start(served);
    let (relay, _discovery, _) = with_admin(&node);
    let mut idle = relay.caller();
    assert_eq!(idle.exchange(&request("look", 4.0, b"")).status(), 200);
    for _ in 0..2 {
        assert_eq!(relay.call_operator("POST /standby HTTP/1.1\r\nContent-Length: 0\r\n\r\n").status(), 200);
    }
    assert_eq!(ready(&relay), 503);
    assert!(idle.is_closed_by_peer(), "an idle client connection stays open in standby");
    let mut late = relay.caller();
    let reply = late.exchange(&request("look", 4.0, b""));
    assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
    assert!(late.is_closed_by_peer());
    let status = relay.status();
    assert_eq!(status["standby"].as_bool(), Some(true));
    assert_eq!(relay.call_operator("POST /active HTTP/1.1\r\n\r\n").status(), 200);
    assert_eq!(ready(&relay), 200);
    let mut kept = relay.caller();
    for _ in 0..2 {
        let reply = kept.exchange(&request("look", 4.0, b""));
        assert_eq!((reply.status(), reply.header("connection")), (200, None));
    }
}

// Guards against a new process that cannot listen beside the old one on the clients' address.
#[test]
fn a_second_process_listens_beside_the_first() {
    let node = Server::start(served);
    let (first, _discovery, mut config) = with_admin(&node);
    config["operator"] = Value::String(free().to_string());
    let second = Relay::start(PROGRAM, &config);
    second.wait_until_ready();
    first.terminate();
    for _ in 0..5 {
        assert_eq!(second.call("look", 4.0).status(), 200);
    }
}

// Guards against an operators' address that is no address being taken for none.
#[test]
fn a_bad_operator_address_ends_the_start_with_its_key() {
    let discovery = Discovery::start(vec![]);
    let mut config = config(discovery.server.address);
    config["operator"] = Value::String("not-an-address".into());
    let path = config_file(&config);
    let out = std::process::Command::new(PROGRAM).env("RELAY_CONFIG", &path).output().unwrap();
    let _ = std::fs::remove_file(path);
    assert!(!out.status.success());
    assert!(
        String::from_utf8_lossy(&out.stderr).contains("operator"),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
}

// Guards against a reload that leaves new classes unknown, keeps dropped ones, takes part of a broken file,
// or moves a request already taken to the rules of the new generation.
#[test]
fn a_reload_brings_new_classes_for_new_requests_and_keeps_open_ones() {
    let node = Server::start(|m| {
        if m.start_line.contains("/look/") {
            std::thread::sleep(Duration::from_millis(700));
        }
        response(200, "", b"ok")
    });
    let (relay, discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    let mut open = relay.caller();
    open.send(&request("look", 6.0, b""));
    wait_until("the node has it", || node.requests().len() == 1);
    let mut told = config(discovery.server.address);
    let class =
        |name: &str, kind: &str| serde_json::json!({"Name": name, "GiveUp": 6.0, "Idempotency": kind});
    told["listen"] = relay.address.to_string().into();
    told["settings"]["Classes"] =
        serde_json::json!([class("look", "non_idempotent"), class("book", "read_like")]);
    relay.reload(&told.to_string());
    relay.wait_for_log("event=reloaded generation=1");
    assert_eq!(open.receive().unwrap().status(), 200, "the open request keeps its class");
    assert_eq!(relay.call("book", 4.0).status(), 200);
    assert_eq!(relay.call("pay", 4.0).status(), 404, "a dropped class is no longer taken");
    let look = request("pay", 4.0, b"")
        .replace("/pay/", "/look/")
        .replace("X-Call-Class: pay", "X-Call-Class: look");
    assert_eq!(relay.caller().exchange(&look).status(), 200, "look is taken as unsafe, by POST");
    for (n, text) in ["", "{\"name\": "].into_iter().enumerate() {
        relay.reload(text);
        let failed =
            || relay.log().into_iter().filter(|l| l.contains("event=reload_failed")).collect::<Vec<_>>();
        wait_until("the broken file is logged", || failed().len() > n);
        assert!(failed()[n].contains("key=RELAY_CONFIG") && failed()[n].contains("file="), "{:?}", failed());
    }
    told["settings"]["Limits"]["AttemptsCap"] = 0.into();
    relay.reload(&told.to_string());
    relay.wait_for_log("key=\"settings.setting max_attempts\"");
    assert_eq!(relay.call("book", 4.0).status(), 200, "nothing was taken from the broken files");
}

// Guards against a timeout on the whole of a request: a body that keeps coming is taken however long it
// takes, one that stops is turned away soon after its last byte.
#[test]
fn a_slow_body_is_taken_while_it_comes_and_a_stalled_one_is_turned_away() {
    let node = Server::start(served);
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    let body = "b".repeat(3600);
    let text = request("pay", 8.0, body.as_bytes());
    let (head, rest) = text.split_at(text.len() - body.len());
    let mut slow = relay.caller();
    slow.send(head);
    for piece in rest.as_bytes().chunks(300) {
        std::thread::sleep(Duration::from_millis(300));
        slow.send(std::str::from_utf8(piece).unwrap());
    }
    assert_eq!(slow.receive().unwrap().status(), 200, "a body that took 3.6 s was cut off");
    let mut stalled = relay.caller();
    let began = std::time::Instant::now();
    stalled.send(&text[..text.len() - 10]);
    assert_eq!(stalled.receive().unwrap().status(), 408);
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

// Guards against an answer larger than a buffer taken for a spoilt one: it is passed on whole while it comes,
// to a caller that reads slowly, and the connection serves the next request after it.
#[test]
fn an_answer_of_megabytes_passes_whole_to_a_slow_reader() {
    let big: Vec<u8> = (0..6_000_000u32).map(|n| (n % 251) as u8).collect();
    let body = big.clone();
    let node = Server::start(move |m| {
        if m.start_line.contains("/look/") {
            response(200, "Content-Type: application/octet-stream\r\n", &body)
        } else {
            response(200, "", b"small")
        }
    });
    let (relay, _discovery, _) = with_admin(&node);
    let mut caller = relay.caller();
    caller.send(&request("look", 10.0, b""));
    std::thread::sleep(Duration::from_millis(300));
    let reply = caller.receive().expect("the large answer");
    assert_eq!((reply.status(), reply.body.len()), (200, big.len()));
    assert!(reply.body == big, "the body came changed");
    assert_eq!(reply.header("content-type"), Some("application/octet-stream"));
    assert_eq!(caller.exchange(&request("pay", 4.0, b"")).body, b"small");
    // Guards against a connection that keeps its buffer once the body relay is over.
    let status = relay.status();
    assert_eq!(status["buffers"].as_u64(), Some(0), "{status}");
}
