//! The router fleet: what its clients get of malformed responses, and of the well-formed ones that resemble them.

use super::bytes::{
    malformed_chunks, malformed_heads, well_formed_response, well_formed_with, well_formed_with_other_status,
    Case, BODY,
};
use super::client::{exchange, Received};
use super::{assert_all, expect, Connection, PROGRAM};
use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::{wait_until, Message, Reply, Server};
use rstest::rstest;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Bad gateway: the endpoint may have executed the request.
const BAD_GATEWAY: u16 = 502;
/// The event before that of [`BODY`].
const FIRST_EVENT: &str = "id: 0\ndata: a\n\n";

/// A kind of route, with the number of attempts that it allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Unsafe,
    Safe,
    Streaming,
    Resumable,
}

impl Route {
    fn attempts(self) -> usize {
        match self {
            Route::Unsafe | Route::Streaming => 1,
            Route::Safe | Route::Resumable => 2,
        }
    }

    fn configuration(self) -> serde_json::Value {
        let kind = match self {
            Route::Unsafe => "unsafe",
            Route::Safe => "safe",
            Route::Streaming | Route::Resumable => "streaming",
        };
        json!({ "generation": 3,
            "routes": [{ "name": "bay", "hostname": "lot.example", "path-prefix": "/bay/", "route-type": kind,
                "timeout-ms": 1500, "target-latency-ms": 500, "priority": 1, "backend": "bays",
                "max-attempts": self.attempts(), "resumable": self == Route::Resumable }],
            "services": [{ "name": "bays", "max-connections": 100 }],
            "limits": { "max-header-bytes": 8192, "max-body-bytes": 2000, "header-timeout-ms": 400,
                "idle-timeout-ms": 5000 } })
    }
}

/// One process, whose endpoints are replaced for each response.
struct Router {
    _fleet: Fleet,
    sidecar: Sidecar,
    /// Number of endpoints so far.
    endpoints: Cell<usize>,
}

impl Router {
    fn start(route: Route) -> Router {
        let mut fleet = Fleet::new(PROGRAM, 1);
        fleet.more_settings.push("bounds.retry-budget-ratio=100".to_owned());
        let sidecar = fleet.start_all().remove(0);
        assert_eq!(sidecar.put_configuration(0, &route.configuration()), 200);
        Router { _fleet: fleet, sidecar, endpoints: Cell::new(0) }
    }

    /// Runs `check` with these endpoints in service, and no others.
    fn with_endpoints<T>(&self, endpoints: &[Server], check: impl FnOnce() -> T) -> T {
        let first = self.endpoints.get();
        self.endpoints.set(first + endpoints.len());
        for (index, endpoint) in endpoints.iter().enumerate() {
            let id = format!("i-{}", first + index);
            assert_eq!(self.sidecar.heartbeat(&id, "bays", endpoint.address, "ready", 1), 200);
        }
        let result = check();
        for index in first..self.endpoints.get() {
            let deleted = self.sidecar.call_control("DELETE", &format!("/instances/i-{index}"), "", "");
            assert_eq!(deleted.map(|answer| answer.status()), Some(200));
        }
        result
    }

    /// Sends a request once an endpoint is in service, and returns what a client gets.
    fn ask(&self, endpoints: &[Server]) -> Result<Received, String> {
        self.ask_with("POST", endpoints)
    }

    fn ask_with(&self, method: &str, endpoints: &[Server]) -> Result<Received, String> {
        let before = runs(endpoints).len();
        let received = RefCell::new(Err("no request was sent".to_owned()));
        wait_until("an endpoint is in service", || {
            let request = format!(
                "{method} /bay/7 HTTP/1.1\r\nHost: lot.example\r\nX-Passrelay-Request-Id: r1\r\n\
                 X-Passrelay-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            );
            let result = exchange(self.sidecar.client(), request.as_bytes());
            let is_unserved = result.as_ref().is_ok_and(|received| received.status == 503);
            *received.borrow_mut() = result;
            !is_unserved || runs(endpoints).len() > before
        });
        received.into_inner()
    }
}

fn runs(endpoints: &[Server]) -> Vec<Message> {
    endpoints.iter().flat_map(|endpoint| endpoint.requests()).collect()
}

fn whole(status: u16, body: &str) -> Result<Received, String> {
    Ok(Received { status, seal: Some("s1".to_owned()), body: body.to_owned(), is_complete: true })
}

/// The failure that makes no promise, apart from its text.
fn bad_gateway() -> Received {
    Received { status: BAD_GATEWAY, seal: None, body: String::new(), is_complete: true }
}

/// As many endpoints as the route allows attempts. The first request that any of them gets is answered with these bytes, all
/// others with well-formed responses.
fn endpoints(route: Route, response: &[u8], connection: Connection) -> Vec<Server> {
    let is_first = Arc::new(AtomicBool::new(true));
    let endpoint = || {
        let (is_first, response) = (is_first.clone(), response.to_vec());
        Server::start(move |request| match request.header("last-event-id") {
            // The stream ended with the event that it is to go on after.
            Some(_) => Reply::Bytes(super::bytes::chunks(b"0\r\n\r\n")),
            None if is_first.swap(false, Ordering::SeqCst) => connection.reply(&response),
            None => Reply::Bytes(well_formed_response()),
        })
    };
    (0..route.attempts()).map(|_| endpoint()).collect()
}

/// Two endpoints. The first stream breaks off after its first event, and goes on with these bytes.
fn endpoints_of_a_resumed_stream(response: &[u8], connection: Connection) -> [Server; 2] {
    let requests = Arc::new(AtomicUsize::new(0));
    [(); 2].map(|()| {
        let (requests, response) = (requests.clone(), response.to_vec());
        Server::start(move |_| match requests.fetch_add(1, Ordering::SeqCst) {
            0 => {
                let size = FIRST_EVENT.len();
                let chunk = format!("{size:x}\r\n{FIRST_EVENT}\r\n");
                Reply::BytesThenClose(super::bytes::chunks(chunk.as_bytes()))
            }
            _ => connection.reply(&response),
        })
    })
}

/// Checks that the next request to the only endpoint is served, over another connection than the one before.
fn check_next_request(router: &Router, name: &str, servers: &[Server]) -> Result<(), String> {
    expect(name, &router.ask(servers), &whole(200, BODY))?;
    let connections: Vec<usize> = runs(servers).iter().map(|run| run.connection).collect();
    expect(name, &connections, &vec![0, 1])
}

/// Checks what becomes of a response whose head is malformed.
fn check_malformed_head(
    router: &Router,
    route: Route,
    connection: Connection,
    case: &Case,
) -> Result<(), String> {
    let (name, response) = case;
    let servers = endpoints(route, response, connection);
    router.with_endpoints(&servers, || {
        let received = router.ask(&servers);
        if route.attempts() > 1 {
            expect(name, &received, &whole(200, BODY))?;
            return expect(name, &runs(&servers).len(), &2);
        }
        expect(
            name,
            &received.clone().map(|received| Received { body: String::new(), ..received }),
            &Ok(bad_gateway()),
        )?;
        expect(name, &runs(&servers).len(), &1)?;
        check_next_request(router, name, &servers)
    })
}

#[rstest]
fn a_response_with_a_malformed_head_reaches_no_client(
    #[values(Route::Unsafe, Route::Safe, Route::Streaming, Route::Resumable)] route: Route,
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let router = Router::start(route);
    let cases = malformed_heads();
    assert_all(cases.iter().map(|case| check_malformed_head(&router, route, connection, case)).collect());
}

#[rstest]
fn a_stream_does_not_go_on_with_a_response_whose_head_is_malformed(
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let router = Router::start(Route::Resumable);
    let check = |(name, response): &Case| {
        let servers = endpoints_of_a_resumed_stream(response, connection);
        router.with_endpoints(&servers, || {
            let expected = Received { is_complete: false, ..whole(200, FIRST_EVENT).unwrap() };
            expect(name, &router.ask(&servers), &Ok(expected))?;
            expect(name, &runs(&servers).len(), &2)
        })
    };
    assert_all(malformed_heads().iter().map(check).collect());
}

/// Checks that malformed chunks do not look like a complete body.
fn check_malformed_chunks(
    router: &Router,
    route: Route,
    connection: Connection,
    case: &Case,
) -> Result<(), String> {
    let (name, response) = case;
    let servers = endpoints(route, response, connection);
    router.with_endpoints(&servers, || {
        let received = router.ask(&servers);
        if route == Route::Resumable {
            // A carriage return in a chunk that is too large belongs to the chunk.
            let received =
                received.map(|received| Received { body: received.body.replace('\r', ""), ..received });
            return expect(name, &received, &whole(200, BODY));
        }
        let is_seen = received.as_ref().is_ok_and(|received| {
            received.status == BAD_GATEWAY
                || (!received.is_complete && BODY.starts_with(received.body.trim_end_matches('\r')))
        });
        expect(name, &is_seen, &true).map_err(|problem| format!("{problem} ({received:?})"))?;
        expect(name, &runs(&servers).len(), &1)?;
        if route.attempts() > 1 {
            Ok(())
        } else {
            check_next_request(router, name, &servers)
        }
    })
}

#[rstest]
fn a_response_with_malformed_chunks_does_not_look_complete(
    #[values(Route::Unsafe, Route::Safe, Route::Streaming, Route::Resumable)] route: Route,
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let router = Router::start(route);
    let cases = malformed_chunks();
    assert_all(cases.iter().map(|case| check_malformed_chunks(&router, route, connection, case)).collect());
}

#[rstest]
fn a_well_formed_response_arrives_as_it_is(
    #[values(Route::Unsafe, Route::Safe, Route::Streaming, Route::Resumable)] route: Route,
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let router = Router::start(route);
    let check = |(name, response): &Case| {
        let servers = endpoints(Route::Unsafe, response, connection);
        router.with_endpoints(&servers, || {
            expect(name, &router.ask(&servers), &whole(200, BODY))?;
            expect(name, &runs(&servers).len(), &1)
        })
    };
    assert_all(well_formed_with(connection).iter().map(check).collect());
}

#[rstest]
fn a_well_formed_response_with_another_status_arrives_as_it_is(
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let router = Router::start(Route::Unsafe);
    let check = |((name, response), status, body): &(Case, u16, &str)| {
        let servers = endpoints(Route::Unsafe, response, connection);
        router.with_endpoints(&servers, || {
            expect(name, &router.ask(&servers), &whole(*status, body))?;
            expect(name, &runs(&servers).len(), &1)
        })
    };
    assert_all(well_formed_with_other_status().iter().map(check).collect());
}

#[rstest]
fn a_stream_goes_on_with_a_well_formed_response(
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let router = Router::start(Route::Resumable);
    let check = |(name, response): &Case| {
        let servers = endpoints_of_a_resumed_stream(response, connection);
        router.with_endpoints(&servers, || {
            expect(name, &router.ask(&servers), &whole(200, &format!("{FIRST_EVENT}{BODY}")))?;
            expect(name, &runs(&servers).len(), &2)
        })
    };
    assert_all(well_formed_with(connection).iter().map(check).collect());
}

/// The heads of the well-formed responses with a length or chunks, which all have the same meaning without a body.
fn bodiless(cases: Vec<Case>) -> Vec<Case> {
    let head = |bytes: Vec<u8>| {
        let text_end = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").unwrap();
        bytes[..text_end + 4].to_vec()
    };
    cases.into_iter().map(|(name, bytes)| (name, head(bytes))).collect()
}

#[rstest]
fn a_response_to_head_has_no_body_whatever_its_head_declares(
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let router = Router::start(Route::Unsafe);
    let declared = ["length", "the same length twice", "neither length nor chunks"];
    let cases = well_formed_with(Connection::Closed)
        .into_iter()
        .filter(|(name, _)| declared.contains(name))
        .collect();
    let check = |(name, response): &Case| {
        let servers = endpoints(Route::Unsafe, response, connection);
        router.with_endpoints(&servers, || {
            expect(name, &router.ask_with("HEAD", &servers), &whole(200, ""))?;
            expect(name, &router.ask(&servers), &whole(200, BODY))
        })
    };
    assert_all(bodiless(cases).iter().map(check).collect());
}

#[test]
fn malformed_responses_are_counted_logged_and_charged_to_their_endpoint() {
    const REQUESTS: usize = 40;
    let (_, malformed) = malformed_heads().into_iter().find(|(name, _)| *name == "misspelt coding").unwrap();
    let bad = Server::start(move |_| Reply::Bytes(malformed.clone()));
    let good = Server::start(|_| Reply::Bytes(well_formed_response()));
    let router = Router::start(Route::Safe);
    let servers = [bad, good];
    router.with_endpoints(&servers, || {
        for _ in 0..REQUESTS {
            assert_eq!(router.ask(&servers), whole(200, BODY));
        }
    });
    let count = servers[0].requests().len();
    assert!((1..=REQUESTS / 4).contains(&count), "{count} of {REQUESTS} requests went to the endpoint");
    assert_eq!(router.sidecar.status()["malformed_responses"], json!({ "transfer_encoding": count }));
    wait_until("the responses are logged", || {
        let log = router.sidecar.log();
        let lines = log.iter().filter(|line| line.contains("event=malformed_response"));
        lines.into_iter().any(|line| line.contains("endpoint=i-0") && line.contains("transfer coding"))
    });
}
