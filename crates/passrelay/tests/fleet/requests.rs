//! Requests and streams: what reaches an endpoint, what comes back, and when a request is sent again.

use super::{configuration, events, in_service, ok, request, single_sidecar, status, PROGRAM};
use passrelay_test_support::fleet::{read_all, Fleet};
use passrelay_test_support::{response, Message, Reply, Server};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

#[test]
fn a_request_reaches_the_endpoint_under_its_tenant_and_comes_back_unchanged() {
    let endpoint = Server::start(|_| ok("bay 7"));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
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
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
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
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
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

// Guards against a body that is held for as long as a byte of it comes now and then.
#[test]
fn a_body_that_is_incomplete_at_the_deadline_is_refused() {
    let endpoint = Server::start(|_| ok("x"));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let text = String::from_utf8(request("/open/1", "", &"b".repeat(200))).unwrap();
    let bytes = text.replace("Deadline-Ms: 3000", "Deadline-Ms: 1000").into_bytes();
    let (whole, slow) = bytes.split_at(bytes.len() - 200);
    let mut client = sidecar.client();
    client.write_all(whole).unwrap();
    let mut writer = client.try_clone().unwrap();
    let bytes = slow.to_vec();
    let sending = std::thread::spawn(move || {
        // A byte comes well before the time for a part of the body is over.
        bytes
            .iter()
            .take_while(|byte| {
                std::thread::sleep(Duration::from_millis(100));
                writer.write_all(&[**byte]).is_ok()
            })
            .count()
    });
    let answer = read_all(&mut client);
    assert_eq!(status(&answer), 408, "{answer}");
    assert!(sending.join().unwrap() < 200);
    assert!(endpoint.requests().is_empty());
}

#[test]
fn a_body_in_chunks_arrives_whole() {
    let endpoint = Server::start(|_| ok("x"));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let head = String::from_utf8(request("/open/1", "Transfer-Encoding: chunked\r\n", "")).unwrap();
    let chunked = head.replace("Content-Length: 0\r\n", "") + "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    assert_eq!(status(&sidecar.exchange(chunked.as_bytes())), 200);
    assert_eq!(endpoint.requests()[0].body, b"abcdefg");
}

#[test]
fn a_request_that_may_have_run_is_never_sent_again_unless_it_may_be() {
    let broken = Server::start(|_| Reply::BytesThenClose(Vec::new()));
    let (_fleet, sidecar) = single_sidecar(&[&broken]);
    assert_eq!(status(&sidecar.exchange(&request("/open/1", "", ""))), 502);
    assert_eq!(broken.requests().len(), 1);
}

#[test]
fn an_answer_to_another_request_is_not_passed_on() {
    let endpoint = Server::start(|_| response(200, "X-Passrelay-Request-Id: other\r\n", b"not yours"));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
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
        let (_fleet, sidecar) = single_sidecar(&[&one, &other]);
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
    let (_fleet, sidecar) = single_sidecar(&[&full]);
    let answer = sidecar.exchange(&request("/open/1", "", ""));
    assert_eq!(status(&answer), 503);
    assert!(answer.to_lowercase().contains("retry-after: "));
}

#[test]
fn a_draining_endpoint_gets_nothing_new() {
    let (leaves, stays) = (Server::start(|_| ok("leaves")), Server::start(|_| ok("stays")));
    let (_fleet, sidecar) = single_sidecar(&[&leaves, &stays]);
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
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
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
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let leave =
        |id: &str| sidecar.call_control("DELETE", &format!("/instances/{id}"), "", "").map(|a| a.status());
    assert_eq!(leave("i-77"), Some(503));
    assert_eq!(leave("i-0"), Some(200));
    assert_eq!(leave("i-0"), Some(200), "it is known that it has gone");
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
    let (_fleet, sidecar) = single_sidecar(&[&one, &other]);
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
    let (_fleet, sidecar) = single_sidecar(&[&endpoint, &other]);
    let answer = sidecar.exchange(&request("/sum/1", "", ""));
    assert!(answer.contains("data: 2") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(endpoint.requests().len() + other.requests().len(), 1);
}
