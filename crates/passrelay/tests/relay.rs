//! The sidecar as a process: requests through it, and what its callers and nodes may do to it.

use passrelay_test_support::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");

fn served(_: &Message) -> Reply {
    response(200, "X-Load-Report: rps=3,cpu=0.5\r\n", b"done")
}

/// An address at which nobody listens.
fn nobody() -> SocketAddr {
    passrelay_test_support::free_address().unwrap()
}

#[test]
fn a_request_passes_unchanged_and_connections_are_used_again() {
    let node = Server::start(served);
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    let mut caller = relay.caller();
    for _ in 0..3 {
        let text = request("pay", 4.0, b"lot=7").replace("X-Caller", "X-Hop: 1\r\nX-Caller");
        let reply = caller.exchange(&text.replace("Host:", "Connection: x-hop, x-call-id\r\nHost:"));
        assert_eq!((reply.status(), &reply.body[..]), (200, &b"done"[..]));
    }
    let seen = node.requests();
    assert_eq!(seen.len(), 3);
    for message in &seen {
        assert_eq!(message.start_line, "POST /pay/x?k=7&v=a%20b HTTP/1.1");
        assert_eq!((&message.body[..], message.connection), (&b"lot=7"[..], 0));
        assert_eq!((message.header("x-call-class"), message.header("x-caller")), (Some("pay"), Some("acme")));
        // What is about the connection alone does not go on; the id does, whatever the caller says of it.
        assert!(message.header("x-hop").is_none() && message.header("connection").is_none());
        let left: f64 = message.header("x-budget").unwrap().parse().unwrap();
        assert!(left > 2.0 && left <= 4.0, "{left}");
    }
    assert!(seen[0].header("x-call-id").unwrap() != seen[1].header("x-call-id").unwrap());
}

#[test]
fn answers_in_every_framing_come_through_whole() {
    let framed = |bytes: &str| bytes.as_bytes().to_vec();
    let big = "x".repeat(64 * 1024);
    let big_body = big.clone();
    let node = Server::start(move |m| {
        match m.header("x-framing").unwrap() {
        "chunks" => Reply::Bytes(framed(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;e=1\r\ndefg\r\n0\r\nT: 1\r\n\r\n",
        )),
        "close" => Reply::BytesThenClose(framed("HTTP/1.1 200 OK\r\n\r\nabcdefg")),
        "early" => Reply::Bytes(framed(
            "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nabcdefg",
        )),
        "big" => Reply::Bytes(framed(&format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n{}\r\n8000\r\n{}\r\n0\r\n\r\n",
            &big[..0x8000],
            &big[0x8000..]
        ))),
        _ => response(200, "Content-Type: text/x\r\n", b"abcdefg"),
    }
    });
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    for framing in ["chunks", "close", "length", "early", "chunks", "big"] {
        let text =
            request("look", 4.0, b"").replace("X-Caller", &format!("X-Framing: {framing}\r\nX-Caller"));
        let reply = relay.caller().exchange(&text);
        let body = if framing == "big" { big_body.as_bytes() } else { b"abcdefg" };
        assert!(reply.status() == 200 && reply.body == body, "{framing}: {}", reply.start_line);
        assert!(framing != "length" || reply.header("content-type") == Some("text/x"));
    }
}

#[test]
fn requests_that_cannot_be_read_are_turned_back_and_harm_nobody() {
    let node = Server::start(served);
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    let good = request("pay", 4.0, b"ab");
    let look = request("look", 4.0, b"");
    let cases = [
        ("\u{1}\u{2} nonsense\r\n\r\n".to_owned(), 400),
        (good.replace("X-Call-Id", "X-Other"), 400),
        (good.replace("X-Call-Id: c", "X-Call-Id: c d"), 400),
        (good.replace("X-Call-Class: pay", "X-Call-Class: look"), 400),
        (good.replace("acme", "nobody"), 400),
        (good.replace("X-Caller", "X-Other"), 400),
        (good.replace("X-Budget", "X-Other"), 400),
        (good.replace("X-Budget: 4", "X-Budget: soon"), 400),
        (good.replace("X-Budget: 4", "X-Budget: -1"), 400),
        (good.replace("X-Budget: 4", "X-Budget: NaN"), 400),
        (good.replace("X-Budget: 4", "X-Budget: 1e0"), 400),
        (good.replace("X-Budget: 4", "X-Budget: 86400"), 400),
        (good.replace("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 3"), 400),
        (good.replace("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked"), 400),
        (
            good.replace("Content-Length: 2", "Transfer-Encoding: chunked")
                .replace("\r\n\r\nab", "\r\n\r\nzz\r\n"),
            400,
        ),
        (
            good.replace("Content-Length: 2", "Transfer-Encoding: chunked")
                .replace("\r\n\r\nab", "\r\n\r\n0\r\n")
                + &"T: trailers without end\r\n".repeat(30_000),
            400,
        ),
        (good.replace("/pay/", "/other/"), 404),
        (good.replace("POST /pay", "GET /pay"), 405),
        (look.replace("GET /look", "POST /look"), 405),
        (good.replace("Content-Length: 2", "Content-Length: 65537"), 413),
        (good.replace("Content-Length: 2", "Content-Length: 99999999999999999999999"), 413),
        (good.replace("X-Caller", &format!("X-Long: {}\r\nX-Caller", "y".repeat(17 * 1024))), 431),
        (good.replace("X-Caller", &format!("{}X-Caller", "X-Many: 1\r\n".repeat(80))), 431),
    ];
    for (text, status) in cases {
        let reply = relay.caller().exchange(&text);
        assert_eq!(reply.status(), status, "{text:.200}");
        assert!(status != 405 || reply.header("allow").is_some());
    }
    assert!(node.requests().is_empty());
    // In pieces, in chunks, and two at once: all of this is good HTTP.
    let mut caller = relay.caller();
    good.as_bytes().chunks(9).for_each(|piece| caller.send(std::str::from_utf8(piece).unwrap()));
    assert_eq!(caller.receive().unwrap().status(), 200);
    let chunked = good.replace("Content-Length: 2", "Transfer-Encoding: chunked");
    assert_eq!(
        caller.exchange(&chunked.replace("\r\n\r\nab", "\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n")).status(),
        200
    );
    caller.send(&format!("{good}{look}"));
    assert_eq!((caller.receive().unwrap().status(), caller.receive().unwrap().status()), (200, 200));
    assert!(node.requests().iter().filter(|m| m.start_line.starts_with("POST")).all(|m| m.body == b"ab"));
    let whole = "z".repeat(64 * 1024);
    assert_eq!(caller.exchange(&request("pay", 4.0, whole.as_bytes())).status(), 200);
    assert_eq!(node.requests().last().unwrap().body, whole.as_bytes());
}

#[test]
fn an_unsafe_request_that_may_have_run_is_never_sent_again() {
    let garbage = |_: &Message| Reply::Bytes(b"\x00\x01 no answer at all\r\n\r\n".to_vec());
    let cut =
        |_: &Message| Reply::BytesThenClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_vec());
    let rude: [Server; 4] = [
        Server::start(|_| Reply::BytesThenClose(Vec::new())),
        Server::start(garbage),
        Server::start(cut),
        Server::start(|_| response(500, "", b"")),
    ];
    for node in rude {
        let other = Server::start(served);
        let (relay, discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
        // The second node is there to be sent to, were it allowed.
        discovery.set_nodes(vec![
            node_entry("s-0", node.address, "in_service"),
            node_entry("s-9", other.address, "in_service"),
        ]);
        relay.wait_for_log("nodes=2");
        while node.requests().is_empty() {
            let before = other.requests().len();
            let reply = relay.call("pay", 4.0);
            if node.requests().is_empty() {
                assert_eq!(reply.status(), 200);
            } else {
                assert_eq!((reply.status(), other.requests().len()), (502, before));
            }
        }
        assert_eq!(node.requests().len(), 1);
    }
}

#[test]
fn an_answer_that_cannot_be_read_costs_its_request_and_its_connection_but_not_the_node() {
    let spoilt = [
        "\u{1}\u{2} no answer\r\n\r\n".to_owned(),
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok".to_owned(),
        format!("HTTP/1.1 200 OK\r\n{}", "X-Pad: pppp\r\n".repeat(2000)),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "y".repeat(9000)),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n".to_owned(),
    ];
    for bytes in spoilt {
        let rude = Arc::new(AtomicBool::new(true));
        let (first, bytes) = (rude.clone(), bytes.into_bytes());
        let node = Server::start(move |m| match first.swap(false, Ordering::SeqCst) {
            true => Reply::Bytes(bytes.clone()),
            false => served(m),
        });
        let other = Server::start(served);
        let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node, &other]);
        let refused = (0..60).filter(|_| relay.call("pay", 4.0).status() != 200).count();
        assert!(!rude.load(Ordering::SeqCst) && refused == 1, "{refused}");
        // It goes on getting its part, over a new connection.
        let seen = node.requests();
        assert!(seen.len() >= 2 && seen[0].connection == 0 && seen[1].connection == 1, "{}", seen.len());
    }
}

#[test]
fn a_report_that_cannot_be_true_changes_nothing_and_costs_no_answer() {
    for report in ["rps=1,cpu=99", "rps=1,cpu=NaN", "rps=-1,cpu=1", "cpu", "rps=1e9,cpu=0.99"] {
        let node = Server::start(move |_| response(200, &format!("X-Load-Report: {report}\r\n"), b"ok"));
        let other = Server::start(|_| response(200, "", b"ok"));
        let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node, &other]);
        assert!((0..20).all(|_| relay.call("pay", 4.0).status() == 200));
        assert!((8..=12).contains(&node.requests().len()), "{report}: {}", node.requests().len());
    }
}

#[test]
fn a_request_that_has_not_run_is_sent_to_another_node() {
    let shed = Server::start(|_| response(503, "X-Rejected: 1\r\n", b""));
    let other = Server::start(served);
    let discovery = Discovery::start(vec![
        node_entry("s-0", shed.address, "in_service"),
        node_entry("s-1", nobody(), "in_service"),
        node_entry("s-2", other.address, "in_service"),
    ]);
    let relay = Relay::start(PROGRAM, &config(discovery.server.address));
    relay.wait_until_ready();
    for _ in 0..8 {
        assert_eq!(relay.call("pay", 4.0).status(), 200);
    }
    assert!(!shed.requests().is_empty() && other.requests().len() == 8);
}

#[test]
fn a_connection_that_the_node_ended_is_not_used_again() {
    // Guards against a send on a stale connection, which would have to count as one that may have run.
    let node =
        Server::start(|_| Reply::BytesThenClose(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_vec()));
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    for n in 1..=5 {
        assert_eq!(relay.call("pay", 4.0).status(), 200);
        wait_until("the node has closed", || node.closed_connections() == n);
    }
    assert_eq!(node.requests().len(), 5);
}

#[test]
fn a_kept_connection_that_is_dead_unseen_costs_no_request_that_must_not_run_twice() {
    // Drops a kept connection at the first byte of the next request on it, which then cannot have run.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for sock in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut reader = std::io::BufReader::new(sock);
                if Message::read(&mut reader).is_some() {
                    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    let _ = reader.get_mut().read(&mut [0]);
                }
            });
        }
    });
    let discovery = Discovery::start(vec![node_entry("s-0", address, "in_service")]);
    let relay = Relay::start(PROGRAM, &config(discovery.server.address));
    relay.wait_until_ready();
    for _ in 0..3 {
        assert_eq!(relay.call("pay", 4.0).status(), 200);
        // Long enough idle to be tried first.
        std::thread::sleep(Duration::from_millis(80));
        // Not sent, and there is no other node: refused, not failed.
        assert_eq!(relay.call("pay", 0.5).status(), 503);
    }
}

#[test]
fn idle_connections_are_closed_before_the_node_would() {
    let node = Server::start(served);
    let discovery = Discovery::start(vec![node_entry("s-0", node.address, "in_service")]);
    let mut told = config(discovery.server.address);
    told["settings"]["Limits"]["ConnIdle"] = 2.0.into();
    let relay = Relay::start(PROGRAM, &told);
    relay.wait_until_ready();
    let began = Instant::now();
    assert_eq!(relay.call("pay", 4.0).status(), 200);
    wait_until("the connection is closed", || node.closed_connections() == 1);
    assert!(began.elapsed() > Duration::from_millis(1500));
}

#[test]
fn a_silent_node_costs_the_budget_and_no_more() {
    let node = Server::start(|_| Reply::NoResponse);
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    let began = Instant::now();
    assert_eq!(relay.call("pay", 0.6).status(), 504);
    let took = began.elapsed().as_secs_f64();
    assert!((0.55..3.0).contains(&took), "{took}");
    assert_eq!(node.requests().len(), 1);
    wait_until("the attempt is given up", || node.closed_connections() == 1);
}

#[test]
fn a_refusal_says_when_to_come_again() {
    let node = Server::start(|_| response(503, "X-Rejected: 1\r\n", b""));
    let (mut relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    let began = Instant::now();
    let reply = relay.call("pay", 0.8);
    assert_eq!((reply.status(), reply.header("retry-after")), (503, Some("2")));
    assert!(began.elapsed() < Duration::from_secs(3));
    // The module's own answer: at the last tick it has its say before the dispatcher gives one for it.
    relay.terminate();
    assert!(relay.wait_for_success());
    assert!(relay.wait_for_log("event=ended").contains(" refused=1 failed=0 disconnected=0 forced=0 "));
}

#[test]
fn a_caller_that_leaves_is_counted_and_its_attempt_still_ends() {
    let node = Server::start(|m| {
        if m.start_line.contains("look") {
            std::thread::sleep(Duration::from_millis(400));
        }
        response(200, "", b"ok")
    });
    let discovery = Discovery::start(vec![node_entry("s-0", node.address, "in_service")]);
    let mut told = config(discovery.server.address);
    told["settings"]["Limits"]["ConnIdle"] = 1.0.into();
    let mut relay = Relay::start(PROGRAM, &told);
    relay.wait_until_ready();
    let (mut caller, began) = (relay.caller(), Instant::now());
    caller.send(&request("look", 12.0, b""));
    wait_until("the node has it", || node.requests().len() == 1);
    drop(caller);
    // The answer sets the connection free, and idle it is closed long before the budget is spent.
    wait_until("the connection is closed", || node.closed_connections() == 1);
    assert!(began.elapsed() < Duration::from_secs(9));
    relay.terminate();
    assert!(relay.wait_for_success());
    let line = relay.wait_for_log("event=ended");
    assert!(line.contains(" disconnected=1 ") && line.contains(" pending=0 "), "{line}");
}

#[test]
fn at_a_planned_end_all_that_was_taken_is_answered() {
    let node = Server::start(|m| {
        if m.start_line.contains("look") {
            std::thread::sleep(Duration::from_millis(2500));
        }
        response(200, "", b"ok")
    });
    let (mut relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    let (mut early, mut idle) = (relay.caller(), relay.caller());
    early.send(&request("look", 5.0, b""));
    assert_eq!(idle.exchange(&request("pay", 5.0, b"")).status(), 200);
    wait_until("the node has both", || node.requests().len() == 2);
    relay.terminate();
    relay.wait_for_log("event=ending");
    // For 0.4 s new connections go on arriving.
    assert_eq!(relay.call("pay", 5.0).status(), 200);
    // Who is connected is served for a while longer: there may be nobody else to go to.
    wait_until("the gate is closed", || std::net::TcpStream::connect(relay.address).is_err());
    assert_eq!(idle.exchange(&request("pay", 5.0, b"")).status(), 200);
    let reply = early.receive().unwrap();
    assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
    assert!(idle.is_closed_by_peer());
    assert!(relay.wait_for_success());
}

#[test]
fn a_crowd_of_idle_callers_does_not_lock_others_out() {
    let node = Server::start(served);
    let discovery = Discovery::start(vec![node_entry("s-0", node.address, "in_service")]);
    // Once by the limit in the configuration, once by that of the system (EMFILE).
    for (sockets, descriptors) in [(44, 1024), (1024, 24)] {
        let mut told = config(discovery.server.address);
        told["limits"]["sockets"] = sockets.into();
        let mut relay = Relay::start_with_fd_limit(PROGRAM, &told, descriptors);
        relay.wait_until_ready();
        let crowd: Vec<_> = (0..60).map(|_| relay.caller()).collect();
        for _ in 0..3 {
            assert_eq!(relay.call("pay", 4.0).status(), 200);
        }
        assert!(relay.is_running());
        drop(crowd);
    }
}

#[test]
fn who_brings_no_whole_request_is_turned_away_soon_and_locks_nobody_out() {
    let node = Server::start(served);
    let (relay, _discovery) =
        Relay::start_configured(PROGRAM, &[node.address], |told| told["limits"]["sockets"] = 44.into());
    let began = Instant::now();
    let halves = [
        String::new(),
        "POST /pay/x HTTP/1.1\r\nHost: b".to_owned(),
        request("pay", 4.0, b"four").replace("Content-Length: 4", "Content-Length: 400"),
        request("pay", 4.0, b"").replace("Content-Length: 0", "Transfer-Encoding: chunked") + "5\r\nab",
    ];
    let mut crowd: Vec<_> = (0..40).map(|_| relay.caller()).collect();
    crowd.iter_mut().zip(halves.iter().cycle()).for_each(|(c, half)| c.send(half));
    assert_eq!(relay.call("pay", 4.0).status(), 200);
    for mut caller in crowd {
        assert!(caller.is_closed_by_peer());
    }
    // Turned away after 2.5 s at the most; before that some had to make room.
    assert!(began.elapsed() < Duration::from_secs(9), "{:?}", began.elapsed());
    // A body without end does not keep the loop to itself, nor does its sender keep its connection.
    let sender = std::thread::spawn({
        let mut caller = relay.caller();
        let text = request("pay", 4.0, b"").replace("Content-Length: 0", "Content-Length: 600000000");
        move || {
            caller.send(&text);
            let piece = "z".repeat(1 << 20);
            (0..600).for_each(|_| caller.send(&piece));
        }
    });
    while !sender.is_finished() {
        assert_eq!(relay.call("pay", 4.0).status(), 200);
    }
    assert_eq!(node.requests().iter().filter(|m| m.body.len() > 4).count(), 0);
}

#[test]
fn the_id_of_a_request_that_waits_is_refused_to_another() {
    let node = Server::start(|m| {
        std::thread::sleep(Duration::from_millis(600));
        response(200, "", m.header("x-call-id").unwrap().as_bytes())
    });
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&node]);
    let (mut caller, text) = (relay.caller(), request("pay", 4.0, b""));
    caller.send(&text);
    wait_until("the node has it", || node.requests().len() == 1);
    assert_eq!(relay.caller().exchange(&text).status(), 409);
    assert_eq!(caller.receive().unwrap().status(), 200);
    assert_eq!(node.requests().len(), 1);
}

#[test]
fn a_request_that_a_node_finds_at_fault_goes_to_no_other_and_is_not_held_against_the_node() {
    let strict = |m: &Message| match m.header("x-caller") {
        Some("acme") if m.start_line.contains("/x?") => served(m),
        _ => response(400, "", b""),
    };
    let (one, two) = (Server::start(strict), Server::start(strict));
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&one, &two]);
    for n in 1..=8 {
        let reply = relay.caller().exchange(&request("look", 4.0, b"").replace("/x?", "/y?"));
        assert_eq!(reply.status(), 400);
        assert_eq!(one.requests().len() + two.requests().len(), n);
    }
    assert_eq!(relay.call("look", 4.0).status(), 200);
}

#[test]
fn where_reports_tell_of_held_requests_a_node_is_probed_before_it_is_used() {
    let node =
        Server::start(|m| response(200, "X-Load-Report: inflight=0,queue=0\r\n", m.start_line.as_bytes()));
    let discovery = Discovery::start(vec![node_entry("s-0", node.address, "in_service")]);
    let mut told = config(discovery.server.address);
    told["settings"]["Report"]["Fields"] = serde_json::json!(["active", "waiting"]);
    let relay = Relay::start(PROGRAM, &told);
    relay.wait_until_ready();
    assert_eq!(relay.call("pay", 4.0).body, b"POST /pay/x?k=7&v=a%20b HTTP/1.1");
    let lines: Vec<_> = node.requests().into_iter().map(|m| (m.start_line, m.connection)).collect();
    assert_eq!(lines[0], ("GET /status/load HTTP/1.1".to_owned(), 0));
    assert!(lines.iter().all(|(_, connection)| *connection == 0), "probe and request share a connection");
}

// Guards against light calls that queue behind a heavy one: calls are spread by the work that their callers
// expect (X-Call-Cost), not by their number. An expectation that cannot be read costs no call its answer.
// The first answers are slow: a node silent for a few typical times counts as paused, and these calls must not.
#[test]
fn light_calls_go_where_no_heavy_one_is_under_way() {
    let silent = |m: &Message| {
        if m.start_line.contains("/x?") {
            return Reply::NoResponse;
        }
        std::thread::sleep(Duration::from_millis(300));
        served(m)
    };
    let nodes = [Server::start(silent), Server::start(silent)];
    let (relay, _discovery) = Relay::start_with_nodes(PROGRAM, &[&nodes[0], &nodes[1]]);
    let call = |cost: &str| {
        request("look", 4.0, b"").replace("X-Caller", &format!("X-Call-Cost: {cost}\r\nX-Caller"))
    };
    for cost in ["soon", "-5", "1e400", "0", "99999999999999999999"] {
        assert_eq!(relay.caller().exchange(&call(cost).replace("/x?", "/y?")).status(), 200, "{cost}");
    }
    let seen =
        || [0, 1].map(|n: usize| nodes[n].requests().iter().filter(|m| m.start_line.contains("/x?")).count());
    let mut callers = Vec::new();
    for n in 0..7 {
        let mut caller = relay.caller();
        caller.send(&call(if n == 0 { "2000000" } else { "20000" }));
        callers.push(caller);
        wait_until("the call is at a node", || seen().iter().sum::<usize>() == n + 1);
    }
    let mut seen = seen();
    seen.sort_unstable();
    assert_eq!(seen, [1, 6]);
}
