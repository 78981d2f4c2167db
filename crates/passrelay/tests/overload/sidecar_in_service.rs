//! Overload of the load-balancing sidecar that is in service.

use super::client::{connect_clients, send_bodies, Framing, Sending};
use super::{check_usage, run_alone};
use passrelay_test_support::resource_usage::UsageRecorder;
use passrelay_test_support::{response, Message, Relay, Reply, Server};
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Memory of the machine in the test, in MB.
const MEMORY_MB: u64 = 32;
/// Sockets of the machine in the test.
const MAX_SOCKETS: usize = 256;
/// More clients than it takes, so that the bytes of those that wait count too.
const CLIENTS: usize = 1_000;
/// Longest body that the sidecar takes, in bytes.
const BODY_BYTES: usize = 64 << 10;

/// Clients that do not read their answers.
const UNREADING_CLIENTS: usize = 60;
/// Length of an answer that nobody reads.
const UNREAD_ANSWER_BYTES: usize = 8 << 20;

/// Starts the sidecar on a machine with little memory, beside a node that answers with `reply`, lets `run_clients` act, and checks
/// life, the resources that were used, and an ordinary request while its connections are open.
fn check_overload<C>(
    name: &str,
    reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    run_clients: impl FnOnce(SocketAddr) -> C,
) {
    let _alone = run_alone();
    let node = Server::start(reply);
    let (mut relay, _discovery) = Relay::start_configured(super::PROGRAM, &[node.address], |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_SOCKETS});
    });
    let recorder = UsageRecorder::start(relay.pid(), relay.address.ip());
    let clients = run_clients(relay.address);
    // Connections whose request has been arriving for over half a second make room.
    thread::sleep(Duration::from_secs(1));
    let answer = relay.call("look", 5.0);
    let usage = recorder.stop();
    eprintln!("{name}: {usage:?}, ordinary request: {}", answer.start_line);
    assert!(relay.is_running(), "the process has ended");
    check_usage(name, usage, MEMORY_MB, MAX_SOCKETS);
    assert_eq!(answer.status(), 200);
    drop(clients);
}

#[test]
fn bodies_that_stop_short_at_the_sidecar_in_service() {
    let sending = Sending {
        framing: Framing::Declared(BODY_BYTES),
        body_bytes: BODY_BYTES,
        write_bytes: BODY_BYTES,
        pause: Duration::ZERO,
        stops_short: true,
    };
    let head = |number: usize| {
        format!(
            "POST /pay/x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: overload-{number}\r\nX-Call-Class: pay\r\n\
             X-Caller: acme\r\nX-Budget: 30\r\n{}",
            sending.header_lines()
        )
    };
    check_overload(
        "bodies at the sidecar in service",
        |_| response(200, "", b"served"),
        |address| send_bodies(address, CLIENTS, head, sending),
    );
}

#[test]
fn answers_that_nobody_reads_at_the_sidecar_in_service() {
    let long_answer = |message: &Message| match message.header("x-call-id") {
        Some(id) if id.starts_with("overload") => response(200, "", &vec![b'a'; UNREAD_ANSWER_BYTES]),
        _ => response(200, "", b"served"),
    };
    check_overload("answers that nobody reads at the sidecar in service", long_answer, |address| {
        let connect = |number| {
            let request = format!(
                "GET /look/x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: overload-{number}\r\nX-Call-Class: look\r\n\
                 X-Caller: acme\r\nX-Budget: 5\r\n\r\n"
            );
            connect_clients(address, 1, request.as_bytes())
        };
        (0..UNREADING_CLIENTS).flat_map(connect).collect::<Vec<_>>()
    });
}
