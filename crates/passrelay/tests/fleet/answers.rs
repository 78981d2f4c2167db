//! An answer goes to its caller alone, in its time, and a call that may not be repeated runs once: single cases. Random
//! ones are in `exchanges.rs`.

use super::{in_service, ok, request, single_sidecar, status, with_timeout, PROGRAM};
use passrelay_test_support::fleet::{read_all, Fleet, Sidecar};
use passrelay_test_support::{
    full_listener, response, serve_connections, wait_until, Message, Reply, Server,
};
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// A sidecar with endpoints at these addresses; routes have this time.
fn before(addresses: &[SocketAddr], timeout_ms: u64) -> (Fleet, Sidecar) {
    let mut document = with_timeout(timeout_ms);
    document["limits"]["max-body-bytes"] = json!(4_000_000);
    in_service(Fleet::new(PROGRAM, 1), addresses, &document)
}

#[test]
fn each_request_has_a_final_answer_when_the_time_of_its_route_is_over() {
    let silent = Server::start(|_| Reply::NoResponse);
    let (_fleet, sidecar) = before(&[silent.address], 300);
    for path in ["/open/1", "/look/1", "/ask/1", "/sum/1"] {
        let asked = Instant::now();
        let answer = sidecar.exchange(&request(path, "", ""));
        let took = asked.elapsed();
        assert_eq!(status(&answer), 504, "{path}: {answer}");
        assert!((250..700).contains(&took.as_millis()), "{path}: {took:?}");
    }
}

#[test]
fn an_endpoint_is_handed_what_is_left_also_when_it_is_the_second() {
    let full = |_: &Message| {
        std::thread::sleep(Duration::from_millis(600));
        response(503, "X-Passrelay-Request-Id: r1\r\nX-Passrelay-Not-Executed: full\r\n", b"")
    };
    let (one, other) = (Server::start(full), Server::start(full));
    let (_fleet, sidecar) = before(&[one.address, other.address], 5_000);
    sidecar.exchange(&request("/open/1", "", ""));
    let mut told: Vec<u64> = one
        .requests()
        .iter()
        .chain(&other.requests())
        .map(|m| m.header("x-passrelay-deadline-ms").unwrap().parse().unwrap())
        .collect();
    told.sort_unstable_by(|a, b| b.cmp(a));
    assert!(told.len() >= 2, "{told:?}");
    assert!(told[0] <= 3_000 && told[0] > 2_500, "{told:?}");
    assert!(told[1] <= 2_400, "{told:?}");
}

#[test]
fn an_endpoint_that_refuses_connections_or_lets_none_come_up_costs_no_request() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (queue, _filling) = full_listener();
    let silent = queue.local_addr().unwrap();
    let good = Server::start(|_| ok("served"));
    let (_fleet, sidecar) = before(&[closed, silent, good.address], 5_000);
    for _ in 0..6 {
        assert!(sidecar.exchange(&request("/open/1", "", "")).ends_with("served"));
    }
    assert_eq!(good.requests().len(), 6);
}

#[test]
fn two_requests_at_once_on_one_connection_get_their_own_answers_in_order() {
    let endpoint = Server::start(|message| {
        let id = message.header("x-passrelay-request-id").unwrap().to_owned();
        let slow = message.start_line.contains("first");
        std::thread::sleep(Duration::from_millis(if slow { 200 } else { 1 }));
        response(200, &format!("X-Passrelay-Request-Id: {id}\r\n"), format!("for {id}").as_bytes())
    });
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let mut client = sidecar.client();
    let one = |path: &str, id: &str, more: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nHost: lot.example\r\nX-Passrelay-Request-Id: {id}\r\n\
             Authorization: Bearer key-1\r\n{more}\r\n"
        )
    };
    let both = one("/open/first", "r1", "") + &one("/open/second", "r2", "Connection: close\r\n");
    client.write_all(both.as_bytes()).unwrap();
    let answers = read_all(&mut client);
    let (first, second) = (answers.find("for r1"), answers.find("for r2"));
    assert!(first.is_some() && first < second, "{answers}");
}

#[test]
fn an_answer_before_a_long_body_was_read_leaves_nothing_but_the_rest_of_that_body_there() {
    // The endpoint answers at the head, reads the rest later, and keeps the connection.
    let (tell, told) = std::sync::mpsc::channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = serve_connections(listener, move |_, sock| {
        let mut writer = sock.try_clone().unwrap();
        let mut reader = BufReader::new(sock);
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                match reader.read(&mut byte) {
                    Ok(1) => head.push(byte[0]),
                    _ => return,
                }
            }
            let head = String::from_utf8(head).unwrap().to_lowercase();
            let field =
                |name: &str| head.lines().find_map(|l| l.strip_prefix(name)).map(|v| v.trim().to_owned());
            let (id, length) = (field("x-passrelay-request-id:"), field("content-length:"));
            let (id, length): (String, usize) =
                (id.unwrap(), length.and_then(|l| l.parse().ok()).unwrap_or(0));
            let text =
                format!("HTTP/1.1 200 X\r\nX-Passrelay-Request-Id: {id}\r\nContent-Length: 5\r\n\r\nearly");
            writer.write_all(text.as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(150));
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let _ = tell.send((id, body.iter().all(|b| *b == b'q'), head.starts_with("post /")));
        }
    });
    let (_fleet, sidecar) = before(&[address], 5_000);
    let long = "q".repeat(3_000_000);
    for number in 0..4 {
        let text = String::from_utf8(request("/open/1", "", &long)).unwrap();
        let text = text.replace("Request-Id: r1", &format!("Request-Id: r{number}"));
        let answer = sidecar.exchange(text.as_bytes());
        assert!(status(&answer) == 200 || status(&answer) == 502, "{:.200}", answer);
        std::thread::sleep(Duration::from_millis(30));
    }
    while let Ok((id, own_bytes, whole_head)) = told.recv_timeout(Duration::from_millis(500)) {
        assert!(own_bytes && whole_head, "{id} got other bytes in its body");
    }
}

#[test]
fn a_reload_between_sending_and_answer_changes_nothing_for_the_request() {
    let endpoint = Server::start(|_| {
        std::thread::sleep(Duration::from_millis(500));
        ok("whole")
    });
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let mut client = sidecar.client();
    client.write_all(&request("/open/1", "", "")).unwrap();
    wait_until("the endpoint has it", || !endpoint.requests().is_empty());
    sidecar.signal("HUP");
    assert!(read_all(&mut client).ends_with("whole"));
    assert_eq!(endpoint.requests().len(), 1);
}

#[test]
fn a_second_answer_half_a_second_late_reaches_nobody() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = serve_connections(listener, |_, sock| {
        let mut writer = sock.try_clone().unwrap();
        let mut reader = BufReader::new(sock);
        while let Some(message) = Message::read(&mut reader) {
            let id = message.header("x-passrelay-request-id").unwrap().to_owned();
            let body = format!("for {id}");
            let text = format!(
                "HTTP/1.1 200 X\r\nX-Passrelay-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            let mut late = writer.try_clone().unwrap();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(500));
                let _ = late.write_all(text.as_bytes());
            });
        }
    });
    let (_fleet, sidecar) = before(&[address], 5_000);
    for number in 0..30 {
        let text = String::from_utf8(request("/open/1", "", "")).unwrap();
        let text = text.replace("Request-Id: r1", &format!("Request-Id: r{number}"));
        let answer = sidecar.exchange(text.as_bytes());
        assert!(answer.ends_with(&format!("for r{number}")) || status(&answer) == 502, "{answer}");
        std::thread::sleep(Duration::from_millis(60));
    }
}
