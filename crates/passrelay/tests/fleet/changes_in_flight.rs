//! Configuration changes while requests are in flight: what was decided when a request was sent stays decided.
//!
//! The fault (review/2): payments on an `unsafe` route ran twice when their route was removed while they ran and their answers
//! were lost, because whether a request may be repeated was taken from the newest configuration, not from the one it was sent under.

use super::{configuration, events, in_service, ok, request, status, PROGRAM, RETRY_BUDGET_SETTING};
use passrelay_test_support::fleet::{read_all, Fleet, Sidecar};
use passrelay_test_support::{response, wait_until, Message, Reply, Server};
use rstest::rstest;
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Generation of the configuration that requests are sent under, and of the one that replaces it meanwhile.
const BEFORE: u64 = 3;
const AFTER: u64 = 4;

/// Part of the paths of requests that are answered at once. They fill the retry budget of their service.
const WARM_UP: &str = "warm-up";

/// How an operator changes the configuration.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// `PUT` of a complete configuration.
    Replace,
    /// `PATCH` with the item in `upsert`.
    Upsert,
    /// `PATCH` with the route's name in `remove`, so that another route matches.
    Remove,
}

/// One sidecar, and endpoints of service `bays` that hold every request but those of the warm-up until [`BlockedFleet::release`].
struct BlockedFleet {
    _fleet: Fleet,
    sidecar: Sidecar,
    endpoints: Vec<Server>,
    released: Arc<AtomicBool>,
}

impl BlockedFleet {
    /// Starts endpoints that react with `reply` once they are released.
    fn start(
        configuration: &Value,
        endpoints: usize,
        reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static,
    ) -> Self {
        let released = Arc::new(AtomicBool::new(false));
        let endpoint = || {
            let (gate, reply) = (released.clone(), reply.clone());
            Server::start(move |message| {
                if message.start_line.contains(WARM_UP) {
                    return ok("");
                }
                wait_until("the change is in force", || gate.load(Ordering::SeqCst));
                reply(message)
            })
        };
        let endpoints: Vec<Server> = (0..endpoints).map(|_| endpoint()).collect();
        let addresses: Vec<_> = endpoints.iter().map(|endpoint| endpoint.address).collect();
        let mut fleet = Fleet::new(PROGRAM, 1);
        fleet.more_settings.push(RETRY_BUDGET_SETTING.to_owned());
        let (fleet, sidecar) = in_service(fleet, &addresses, configuration);
        let blocked = BlockedFleet { _fleet: fleet, sidecar, endpoints, released };
        blocked.warm_up("/look/");
        blocked
    }

    /// Has requests answered on a route, so that its service has its full retry budget.
    fn warm_up(&self, path: &str) {
        for _ in 0..2 {
            let answer = self.sidecar.exchange(&request(&format!("{path}{WARM_UP}"), "", ""));
            assert_eq!(status(&answer), 200, "{answer}");
        }
    }

    /// Sends a request and waits until an endpoint runs it.
    fn send(&self, path: &str) -> TcpStream {
        let mut client = self.sidecar.client();
        client.write_all(&request(path, "", "")).unwrap();
        wait_until("an endpoint runs it", || self.runs().len() == 1);
        client
    }

    /// Applies the change to the configuration in force and waits until it is in force.
    fn change(&self, method: &str, body: &Value) {
        let headers = format!("If-Match: {BEFORE}\r\n");
        let answer = self.sidecar.call_control(method, "/config", &headers, &body.to_string());
        assert_eq!(answer.map(|answer| answer.status()), Some(200));
        wait_until("the change is in force", || self.sidecar.status()["generation"] == json!(AFTER));
    }

    fn release(&self) {
        self.released.store(true, Ordering::SeqCst);
    }

    /// Returns the requests that endpoints have run, except those of the warm-up.
    fn runs(&self) -> Vec<Message> {
        let all = self.endpoints.iter().flat_map(Server::requests);
        all.filter(|message| !message.start_line.contains(WARM_UP)).collect()
    }
}

/// Replaces, modifies or removes the route of this name. A removed route's path falls to `/`, which is `safe` with two attempts.
fn change_route(blocked: &BlockedFleet, change: Change, name: &str, fields: &[(&str, Value)]) {
    let mut document = with_fallback();
    document["generation"] = json!(AFTER);
    let routes = document["routes"].as_array_mut().unwrap();
    let route = routes.iter_mut().find(|route| route["name"] == name).unwrap();
    for (field, value) in fields {
        route[field] = value.clone();
    }
    let upsert = json!({ "generation": AFTER, "upsert": { "routes": [route] } });
    match change {
        Change::Replace => blocked.change("PUT", &document),
        Change::Upsert => blocked.change("PATCH", &upsert),
        Change::Remove => {
            blocked.change("PATCH", &json!({ "generation": AFTER, "remove": { "routes": [name] } }))
        }
    }
}

/// The usual configuration with a `safe` route for all other paths.
fn with_fallback() -> Value {
    let mut document = configuration(BEFORE);
    let routes = document["routes"].as_array_mut().unwrap();
    let mut fallback = routes.iter().find(|route| route["name"] == "look").unwrap().clone();
    fallback["name"] = json!("rest");
    fallback["path-prefix"] = json!("/");
    routes.push(fallback);
    document
}

fn lost(_: &Message) -> Reply {
    Reply::BytesThenClose(Vec::new())
}

// Guards against the fault of review/2, also for a route that is changed in place or within a new configuration.
#[rstest]
fn an_unsafe_request_whose_answer_is_lost_runs_once_whatever_its_route_becomes_meanwhile(
    #[values(Change::Replace, Change::Upsert, Change::Remove)] change: Change,
) {
    let blocked = BlockedFleet::start(&with_fallback(), 2, lost);
    let mut client = blocked.send("/open/gate");
    change_route(&blocked, change, "open", &[("route-type", json!("safe")), ("max-attempts", json!(2))]);
    blocked.release();
    assert_eq!(status(&read_all(&mut client)), 502);
    assert_eq!(blocked.runs().len(), 1, "{change:?}: {}", blocked.sidecar.status());
    assert_eq!(blocked.sidecar.status()["withheld_repeats"], 1);
}

// Guards against more executions than the route allowed when the request was sent.
#[rstest]
fn a_request_in_flight_is_not_sent_more_often_because_its_route_allows_more_attempts_meanwhile(
    #[values(Change::Replace, Change::Upsert)] change: Change,
) {
    let blocked = BlockedFleet::start(&with_fallback(), 4, lost);
    let mut client = blocked.send("/look/gate");
    change_route(&blocked, change, "look", &[("max-attempts", json!(4))]);
    blocked.release();
    assert_eq!(status(&read_all(&mut client)), 502);
    assert_eq!(blocked.runs().len(), 2, "{change:?}: {}", blocked.sidecar.status());
}

// Guards against the opposite error: a change that takes permission to repeat away holds for requests in flight too.
#[rstest]
fn a_safe_request_is_not_repeated_once_its_route_is_unsafe(
    #[values(Change::Replace, Change::Upsert)] change: Change,
) {
    let blocked = BlockedFleet::start(&with_fallback(), 2, lost);
    let mut client = blocked.send("/look/gate");
    change_route(&blocked, change, "look", &[("route-type", json!("unsafe"))]);
    blocked.release();
    assert_eq!(status(&read_all(&mut client)), 502);
    assert_eq!(blocked.runs().len(), 1);
}

/// A stream that breaks off after its third event; whoever is asked to go on sends events that belong to another answer.
fn broken_stream(message: &Message) -> Reply {
    match message.header("last-event-id") {
        None => events(0..3, false),
        Some(_) => events(70..72, true),
    }
}

// Guards against one answer joined of two: a stream that goes on at a route that isn't the one it began on.
#[test]
fn a_stream_whose_route_is_removed_is_broken_off_and_not_continued_by_a_route_that_is_no_stream() {
    let blocked = BlockedFleet::start(&with_fallback(), 2, broken_stream);
    let mut client = blocked.send("/ask/gate");
    change_route(&blocked, Change::Remove, "ask", &[]);
    blocked.release();
    let answer = read_all(&mut client);
    assert!(answer.contains("data: 2") && !answer.contains("data: 70"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(blocked.runs().len(), 1);
}

// Guards against a stream whose first half is of one service and whose second half is of another.
#[test]
fn a_stream_whose_route_moves_to_another_service_is_not_continued_there() {
    let mut document = with_fallback();
    document["services"].as_array_mut().unwrap().push(json!({ "name": "decks", "max-connections": 100 }));
    document["routes"][0]["backend"] = json!("decks");
    let blocked = BlockedFleet::start(&document, 1, broken_stream);
    let other = Server::start(|message| match message.header("last-event-id") {
        None => ok(""),
        Some(_) => events(70..72, true),
    });
    assert_eq!(blocked.sidecar.heartbeat("i-other", "decks", other.address, "ready", 1), 200);
    blocked.warm_up("/open/");
    let mut client = blocked.send("/ask/gate");
    document["generation"] = json!(AFTER);
    document["routes"][2]["backend"] = json!("decks");
    blocked.change("PUT", &document);
    blocked.release();
    let answer = read_all(&mut client);
    assert!(answer.contains("data: 2") && !answer.contains("data: 70"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

// Guards against the opposite error: a stream goes on though its configuration has changed, if its route has not.
#[test]
fn a_stream_is_continued_after_a_change_of_another_route() {
    let blocked = BlockedFleet::start(&with_fallback(), 2, |message| match message.header("last-event-id") {
        None => events(0..3, false),
        Some(_) => events(3..5, true),
    });
    let mut client = blocked.send("/ask/gate");
    change_route(&blocked, Change::Upsert, "open", &[("timeout-ms", json!(2_000))]);
    blocked.release();
    let answer = read_all(&mut client);
    assert!(answer.contains("data: 4") && answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(blocked.runs().len(), 2);
}

// Guards against requests that run for a limited tenant and are charged to another: the key changes hands while they wait.
#[test]
fn a_request_whose_key_moves_to_a_limited_tenant_is_charged_to_that_tenant_before_it_runs() {
    let mut document = with_fallback();
    document["tenants"] = json!([{ "name": "family", "api-keys": ["key-1"] }]);
    let full =
        |_: &Message| response(503, "X-Passrelay-Request-Id: r1\r\nX-Passrelay-Not-Executed: full\r\n", b"");
    let blocked = BlockedFleet::start(&document, 1, full);
    let mut client = blocked.send("/open/gate");
    let second = Server::start(|_| ok("ran"));
    assert_eq!(blocked.sidecar.heartbeat("i-second", "bays", second.address, "ready", 1), 200);
    let limited = json!({ "name": "staff", "api-keys": ["key-1"], "unit": "token_usage",
        "uncached-tokens": 1_000_000_000, "rate-per-s": 1, "burst": 1 });
    let moved = json!({ "generation": AFTER, "upsert": { "tenants": [limited] }, "remove": { "tenants": ["family"] } });
    blocked.change("PATCH", &moved);
    blocked.release();
    let answer = read_all(&mut client);
    assert!([429, 503].contains(&status(&answer)), "{answer}");
    assert!(second.requests().is_empty(), "{:?}", second.requests()[0].header("x-passrelay-tenant"));
}
