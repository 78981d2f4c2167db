//! Clients that do not keep to the limits. The process must live, stay within the memory and the descriptors of its
//! machine, and answer an ordinary request.
//!
//! The tests run one at a time, because each measures the resources of a process. They check no times and no share of served
//! requests, so that they do not depend on the speed of the machine.

mod bodies;
mod client;
mod connections;
mod other_ports;
mod sidecar_in_service;

use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::resource_usage::{ResourceUsage, UsageRecorder};
use passrelay_test_support::{response, Message, Reply, Server};
use serde_json::{json, Value};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");
/// Memory of the machine in the tests, in MB; lower than on any machine in service, so that few clients are enough.
const MEMORY_MB: u64 = 80;
/// Memory of the smallest machine that the deployments have, in MB.
const SMALLEST_MACHINE_MEMORY_MB: u64 = 160;
/// Descriptors of the machine in the tests.
const MAX_DESCRIPTORS: usize = 600;
const BYTES_PER_MB: u64 = 1_000_000;
/// Longest body that the configuration allows, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time for which the connections stay open without traffic before the ordinary request.
const STANDSTILL: Duration = Duration::from_millis(500);

/// Answers, with status 503, of a process that had too little processor time to stay in contact with the core.
const OUT_OF_CONTACT: [&str; 2] =
    ["the configuration is not known to be current", "nobody grants quota just now"];
/// Number of attempts of the ordinary request on a machine that is busy with other work.
const OUT_OF_CONTACT_ATTEMPTS: usize = 40;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits for the tests that run now, and holds back others until the guard is dropped.
fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A sidecar of the fleet with little memory, an endpoint in service, and a recorder of what the sidecar uses.
struct Machine {
    sidecar: Sidecar,
    _endpoint: Server,
    _fleet: Fleet,
    recorder: Option<UsageRecorder>,
    memory_mb: u64,
    _alone: MutexGuard<'static, ()>,
}

impl Machine {
    /// Starts a sidecar whose endpoint answers with `reply`.
    fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Machine {
        Machine::start_with_memory(MEMORY_MB, reply)
    }

    fn start_with_memory(
        memory_mb: u64,
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Machine {
        let alone = run_alone();
        let endpoint = Server::start(reply);
        let mut fleet = Fleet::new(PROGRAM, 1);
        fleet.more_settings.push(format!("limits.memory-mb={memory_mb}"));
        fleet.more_settings.push(format!("limits.max-fds={MAX_DESCRIPTORS}"));
        let sidecar = fleet.start_serving(&[endpoint.address], &configuration());
        let recorder = UsageRecorder::start(sidecar.pid(), sidecar.front_address().ip());
        Machine {
            sidecar,
            _endpoint: endpoint,
            _fleet: fleet,
            recorder: Some(recorder),
            memory_mb,
            _alone: alone,
        }
    }

    /// Checks life and an ordinary request while the overloading clients stay connected, and then the resources that were used.
    fn check(&mut self, name: &str) {
        thread::sleep(STANDSTILL);
        let answer = self.answer_to_ordinary_request();
        let usage = self.recorder.take().expect("checked once").stop();
        eprintln!("{name}: {usage:?}, ordinary request: {}", answer.lines().next().unwrap_or("no answer"));
        assert!(!self.sidecar.has_exited(), "{name}: the process has ended");
        check_usage(name, usage, self.memory_mb, MAX_DESCRIPTORS);
        assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("served"), "{name}: {answer}");
    }
}

impl Machine {
    /// Sends the ordinary request until the answer is not one that a process gives which had too little processor time to stay
    /// in contact with the core. Lack of memory or connections is never repeated.
    fn answer_to_ordinary_request(&self) -> String {
        let mut answer = String::new();
        for _ in 0..OUT_OF_CONTACT_ATTEMPTS {
            answer = self.sidecar.exchange(&ordinary_request());
            if !OUT_OF_CONTACT.iter().any(|problem| answer.contains(problem)) {
                break;
            }
            thread::sleep(STANDSTILL);
        }
        answer
    }
}

fn check_usage(name: &str, usage: ResourceUsage, memory_mb: u64, descriptors: usize) {
    assert!(usage.memory_bytes <= memory_mb * BYTES_PER_MB, "{name}: {usage:?}, of {memory_mb} MB");
    assert!(usage.descriptors <= descriptors, "{name}: {usage:?}, of {descriptors} descriptors");
}

fn configuration() -> Value {
    json!({
        "generation": 3,
        "routes": [{ "name": "open", "hostname": "lot.example", "path-prefix": "/open/", "route-type": "unsafe",
            "timeout-ms": 30_000, "target-latency-ms": 1_000, "priority": 1, "backend": "bays", "max-attempts": 1 }],
        "services": [{ "name": "bays", "max-connections": 1_000 }],
        "limits": { "max-header-bytes": 16_384, "max-body-bytes": MAX_BODY_BYTES, "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000 },
        "tenants": [{ "name": "family", "api-keys": ["key-1"], "priority": 2, "unit": "token_usage",
            "uncached-tokens": 10, "rate-per-s": 1_000_000, "burst": 1_000_000 }],
    })
}

/// Returns the head of a request without its last, empty line. `framing` holds the lines that tell the length of the body.
fn request_head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: lot.example\r\nX-Passrelay-Request-Id: r1\r\nX-Passrelay-Deadline-Ms: 30000\r\n\
         Authorization: Bearer key-1\r\n{framing}"
    )
}

fn ordinary_request() -> Vec<u8> {
    let body = "which bay is free?";
    let framing = format!("Connection: close\r\nContent-Length: {}\r\n", body.len());
    format!("{}\r\n{body}", request_head("/open/ordinary", &framing)).into_bytes()
}

fn served(_: &Message) -> Reply {
    response(200, "X-Passrelay-Request-Id: r1\r\nX-Passrelay-Response-Seal: s1\r\n", b"served")
}
