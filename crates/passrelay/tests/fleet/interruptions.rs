//! What a client gets, and what an endpoint runs, where the process stands still or is killed between the steps of a request,
//! or an address changes hands.

use super::{configuration, in_service, ok, request, single_sidecar, status, PROGRAM};
use passrelay_test_support::fleet::{read_all, Fleet};
use passrelay_test_support::{full_listener, is_connecting, wait_until, Server};
use serde_json::json;
use std::io::Write;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Longer than the deadline of the tests' requests, and than the process may be silent without losing its freshness.
const STANDSTILL: Duration = Duration::from_secs(4);

// Guards against a request sent on by a process that stood still between choosing the endpoint and sending: meanwhile the
// client has given up, and the endpoint may have left.
#[test]
fn nothing_is_sent_after_a_standstill_between_choice_and_sending() {
    let (listener, _fillers) = full_listener();
    let address = listener.local_addr().unwrap();
    let (_fleet, sidecar) = in_service(Fleet::new(PROGRAM, 1), &[address], &configuration(3));
    let mut client = sidecar.client();
    client.write_all(&request("/open/gate", "", "hello")).unwrap();
    wait_until("the endpoint is chosen", || is_connecting(address));
    sidecar.pause();
    let endpoint = Server::from_listener(listener, |_| ok("bay 7"));
    std::thread::sleep(STANDSTILL);
    sidecar.resume();
    let answer = read_all(&mut client);
    assert!([503, 504].contains(&status(&answer)), "{answer}");
    assert!(endpoint.requests().is_empty(), "{:?}", endpoint.requests());
}

// Guards against an answer that looks whole to the client of a killed process, against one that reaches a client of its
// successor, and against the request run again by that.
#[test]
fn a_kill_between_sending_and_answer_leaves_one_run_and_no_answer() {
    let released = Arc::new(AtomicBool::new(false));
    let gate = released.clone();
    let endpoint = Server::start(move |message| {
        if message.start_line.contains("/open/first") {
            wait_until("the process is killed", || gate.load(Ordering::SeqCst));
        }
        ok("bay 7")
    });
    let (fleet, mut sidecar) = single_sidecar(&[&endpoint]);
    let mut client = sidecar.client();
    client.write_all(&request("/open/first", "", "hello")).unwrap();
    wait_until("the endpoint runs it", || endpoint.requests().len() == 1);
    sidecar.signal("KILL");
    assert!(!sidecar.wait_for_success());
    assert_eq!(read_all(&mut client), "");
    let successor = fleet.start(1, false);
    released.store(true, Ordering::SeqCst);
    // The endpoint may not have been on disk yet, and a process without any is not ready.
    wait_until("it is told", || successor.heartbeat("i-0", "bays", endpoint.address, "ready", 2) == 200);
    successor.wait_until_ready();
    wait_until("the successor serves", || {
        status(&successor.exchange(&request("/open/second", "", ""))) == 200
    });
    let first_runs =
        endpoint.requests().iter().filter(|message| message.start_line.contains("/open/first")).count();
    assert_eq!(first_runs, 1);
}

// Guards against a request that reaches another service because the address of its endpoint was given away.
#[test]
fn an_address_of_another_service_gets_nothing_of_the_former_one() {
    let endpoint = Server::start(|_| ok("bay 7"));
    let mut document = configuration(3);
    document["services"].as_array_mut().unwrap().push(json!({ "name": "gates", "max-connections": 100 }));
    let (_fleet, sidecar) = in_service(Fleet::new(PROGRAM, 1), &[endpoint.address], &document);
    assert_eq!(status(&sidecar.exchange(&request("/open/before", "", ""))), 200);
    assert_eq!(sidecar.heartbeat("i-9", "gates", endpoint.address, "ready", 1), 200);
    let answer = sidecar.exchange(&request("/open/after", "", ""));
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(endpoint.requests().iter().all(|message| message.start_line.contains("/open/before")));
}

// Guards against a declared size that wraps around, or can't be read, and so passes the tenant's quota of 100,000 tokens.
#[test]
fn a_declared_size_that_is_huge_or_no_size_does_not_pass_the_quota() {
    let endpoint = Server::start(|_| ok("bay 7"));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let ask = |usage: &str| {
        sidecar.exchange(&request("/open/gate", &format!("X-Passrelay-Token-Usage: {usage}\r\n"), ""))
    };
    for malformed in ["many", "12", "1,2,3", "-1,5", "\u{fc}"] {
        let answer = ask(malformed);
        assert_eq!(status(&answer), 400, "{malformed}: {answer}");
        assert!(answer.contains("X-Passrelay-Token-Usage"), "{answer}");
    }
    for huge in ["18446744073709551615,1", "99999999999999999999999,0"] {
        let answer = ask(huge);
        assert_eq!(status(&answer), 429, "{huge}: {answer}");
    }
    assert!(endpoint.requests().is_empty());
    assert_eq!(status(&ask("20,10")), 200);
}

// Guards against a deadline in fractions that is taken for none while the process starts.
#[test]
fn a_deadline_in_fractions_binds_also_while_the_process_starts() {
    let fleet = Fleet::new(PROGRAM, 1);
    let sidecar = fleet.start(1, true);
    let text = String::from_utf8(request("/open/gate", "", ""))
        .unwrap()
        .replace("Deadline-Ms: 3000", "Deadline-Ms: 100.5");
    wait_until("it listens", || {
        std::net::TcpStream::connect((sidecar.control_address().ip(), 8_662)).is_ok()
    });
    let began = std::time::Instant::now();
    let answer = sidecar.exchange(text.as_bytes());
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

// Guards against a process that is ended by a reload right after its start: signals, restarts and changes of the settings overlap.
#[test]
fn a_reload_while_the_settings_are_read_for_the_first_time_does_not_end_the_process() {
    let fleet = Fleet::new(PROGRAM, 1);
    fleet.write_settings(1, true, &[1]);
    let path = fleet.settings_path(1);
    let settings = std::fs::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut sidecar = fleet.spawn(1);
    // Opens once the process has opened it for reading.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    sidecar.signal("HUP");
    // What is read again because of the signal.
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, &settings).unwrap();
    let _ = pipe.write_all(&settings);
    drop(pipe);
    wait_until("it leads", || sidecar.status()["leads"] == json!(true));
    wait_until("it has read the settings again", || {
        sidecar.log().iter().any(|line| line.contains("event=reloaded"))
    });
    assert!(!sidecar.has_exited());
}
