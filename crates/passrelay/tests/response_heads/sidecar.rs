//! The sidecar in service (`run`): what its callers get of malformed responses, and of the well-formed ones that resemble them.

use super::bytes::{
    chunks, malformed_chunks, malformed_heads, well_formed_response, well_formed_with, Case, BODY,
};
use super::client::{exchange, Received};
use super::{assert_all, expect, Connection, PROGRAM};
use passrelay_test_support::{config, node_entry, request, Discovery, Relay, Reply, Server};
use rstest::rstest;
use serde_json::json;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Class of requests that must not run twice.
const UNSAFE: &str = "pay";
/// Class of requests that may be repeated.
const SAFE: &str = "look";
/// Larger than a buffer of the sidecar, which streams such a body to its caller while it arrives.
const LONG_BODY_BYTES: usize = 1 << 20;

fn whole(body: &str) -> Result<Received, String> {
    Ok(Received { status: 200, seal: None, body: body.to_owned(), is_complete: true })
}

/// Nodes of which one answers the first request with these bytes, and all others with well-formed responses.
fn nodes(count: usize, response: &[u8], connection: Connection) -> Vec<Server> {
    let is_first = Arc::new(AtomicBool::new(true));
    let node = || {
        let (is_first, response) = (is_first.clone(), response.to_vec());
        Server::start(move |request| match request.start_line.contains("/status/load") {
            true => Reply::Bytes(well_formed_response()),
            false if is_first.swap(false, Ordering::SeqCst) => connection.reply(&response),
            false => Reply::Bytes(well_formed_response()),
        })
    };
    (0..count).map(|_| node()).collect()
}

/// A sidecar in front of nodes of which one answers the first request with given bytes.
struct Service {
    nodes: Vec<Server>,
    _discovery: Discovery,
    relay: Relay,
}

impl Service {
    fn start(node_count: usize, response: &[u8], connection: Connection) -> Service {
        let nodes = nodes(node_count, response, connection);
        let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
        let (relay, discovery) = Relay::start_configured(PROGRAM, &addresses, |config| {
            config["operator"] = json!(passrelay_test_support::free_address().unwrap().to_string());
        });
        Service { nodes, _discovery: discovery, relay }
    }

    fn ask(&self, class: &str) -> Result<Received, String> {
        let text = request(class, 4.0, b"").replace("Host:", "Connection: close\r\nHost:");
        exchange(TcpStream::connect(self.relay.address).unwrap(), text.as_bytes())
    }

    /// The connections over which each node got requests, in their order.
    fn connections(&self) -> Vec<Vec<usize>> {
        let connections = |node: &Server| {
            let requests = node.requests().into_iter();
            let requests = requests.filter(|request| !request.start_line.contains("/status/load"));
            requests.map(|request| request.connection).collect()
        };
        self.nodes.iter().map(connections).collect()
    }
}

/// Checks what becomes of a malformed response.
fn check_malformed((name, response): &Case, class: &str, connection: Connection) -> Result<(), String> {
    let is_repeated = class == SAFE;
    let service = Service::start(if is_repeated { 2 } else { 1 }, response, connection);
    let received = service.ask(class);
    if is_repeated {
        expect(name, &received, &whole(BODY))?;
        expect(name, &service.connections().iter().map(Vec::len).collect(), &vec![1, 1])?;
    } else {
        expect(name, &received.map(|received| (received.status, received.is_complete)), &Ok((502, true)))?;
        expect(name, &service.connections().concat().len(), &1)?;
        expect(name, &service.ask(class), &whole(BODY))?;
        expect(name, &service.connections(), &vec![vec![0, 1]])?;
    }
    expect(name, &service.relay.status()["invalid_responses"], &json!(1))?;
    // The line reaches the test through a pipe, some time after it was written.
    let line = service.relay.wait_for_log("event=invalid_response");
    expect(name, &line.contains("problem="), &true)
}

#[rstest]
fn a_malformed_response_reaches_no_caller(
    #[values(UNSAFE, SAFE)] class: &str,
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let cases = [malformed_heads(), malformed_chunks()].concat();
    assert_all(cases.iter().map(|case| check_malformed(case, class, connection)).collect());
}

#[rstest]
fn a_well_formed_response_arrives_as_it_is(
    #[values(UNSAFE, SAFE)] class: &str,
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let check = |(name, response): &Case| {
        let service = Service::start(1, response, connection);
        expect(name, &service.ask(class), &whole(BODY))?;
        expect(name, &service.connections().concat().len(), &1)
    };
    assert_all(well_formed_with(connection).iter().map(check).collect());
}

/// A chunk of a body that is streamed, and this line after it.
fn long_chunk_and(line: &str) -> Vec<u8> {
    let body = "b".repeat(LONG_BODY_BYTES);
    chunks(format!("{LONG_BODY_BYTES:x}\r\n{body}\r\n{line}").as_bytes())
}

#[rstest]
fn a_body_that_is_streamed_does_not_look_complete_after_malformed_chunks(
    #[values("\r\n\r\n", ";e=1\r\n\r\n", "0\r\nno field\r\n\r\n", "g\r\n\r\n")] line: &str,
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let service = Service::start(1, &long_chunk_and(line), connection);
    let received = service.ask(SAFE).unwrap();
    assert!(!received.is_complete && received.status == 200, "{} bytes", received.body.len());
    assert!(received.body.bytes().all(|byte| byte == b'b'));
}

#[rstest]
fn a_body_that_is_streamed_arrives_as_it_is(
    #[values("0\r\n\r\n", "0;e=1\r\nX-Bay: 7\r\n\r\n")] line: &str,
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let service = Service::start(1, &long_chunk_and(line), connection);
    assert_eq!(service.ask(SAFE), whole(&"b".repeat(LONG_BODY_BYTES)));
}

/// Answers of discovery with this body that are malformed, by their status line and fields.
fn malformed_lists(list: &str) -> Vec<Vec<u8>> {
    let length = list.len();
    let heads = [
        format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n"),
        format!("HTTP/1.1 200 OK\r\nX Bay: 7\r\nContent-Length: {length}\r\n"),
        format!("HTTP/1.1 200 OK\r\nno field\r\nContent-Length: {length}\r\n"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}x\r\n"),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n".to_owned(),
    ];
    heads.iter().map(|head| format!("{head}\r\n{list}").into_bytes()).collect()
}

#[test]
fn a_malformed_answer_of_discovery_is_no_list() {
    let node = Server::start(|_| Reply::Bytes(well_formed_response()));
    let entry = node_entry("s-0", node.address, "in_service");
    let list = json!({"seq": 1, "whole": true, "hosts": [entry]}).to_string();
    for bytes in malformed_lists(&list) {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let discovery = Server::start(move |_| Reply::BytesThenClose(bytes.clone()));
        let relay = Relay::start(PROGRAM, &config(discovery.address));
        relay.wait_for_log("event=discovery_failed");
        assert_eq!(relay.caller().exchange("GET /ready HTTP/1.1\r\n\r\n").status(), 503, "{text}");
    }
}
