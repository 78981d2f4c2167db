//! The router fleet as processes on loopback.

mod account;
mod answers;
mod changes_in_flight;
mod exact_numbers;
mod interruptions;
mod last_tenant;
mod operator_calls;
mod planned_end;
mod requests;
mod stream_endings;

use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::{response, Reply, Server};
use serde_json::{json, Value};
use std::net::SocketAddr;

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");
/// Retries per request that the budget allows; high enough that the budget never ends a test's request.
const RETRY_BUDGET_SETTING: &str = "bounds.retry-budget-ratio=100";

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
fn single_sidecar(endpoints: &[&Server]) -> (Fleet, Sidecar) {
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

/// Runs a command of the program. Returns its exit code and what it prints.
fn run(words: &[&str]) -> (Option<i32>, String) {
    let done = std::process::Command::new(PROGRAM).args(words).output().unwrap();
    (done.status.code(), String::from_utf8_lossy(&done.stdout).into_owned())
}
