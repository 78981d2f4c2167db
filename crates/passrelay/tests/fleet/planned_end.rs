//! The planned end of a process: what is finished, what is refused, and what clients see of it.

use super::{in_service, ok, request, single_sidecar, status, with_timeout, PROGRAM};
use passrelay_test_support::fleet::{read_all, Fleet};
use passrelay_test_support::{wait_until, Reply, Server};
use std::io::Write;
use std::time::Duration;

#[test]
fn a_planned_end_lets_a_stream_finish_and_says_at_once_that_it_is_not_ready() {
    let endpoint = Server::start(|_| {
        std::thread::sleep(Duration::from_millis(700));
        ok("late but whole")
    });
    let (_fleet, mut sidecar) = single_sidecar(&[&endpoint]);
    let mut client = sidecar.client();
    client.write_all(&request("/look/1", "", "")).unwrap();
    wait_until("the endpoint has it", || !endpoint.requests().is_empty());
    sidecar.signal("TERM");
    wait_until("it isn't ready", || !sidecar.is_ready());
    assert!(read_all(&mut client).ends_with("late but whole"));
    assert!(sidecar.wait_for_success());
}

/// A client's try some time after SIGTERM: the path, and whether on a connection that was open before.
struct LateTry {
    after_ms: u64,
    path: &'static str,
    deadline_ms: u64,
    kept: bool,
    expected: u16,
}

#[test]
fn after_sigterm_each_request_taken_is_answered_and_those_that_would_be_cut_off_are_refused_at_once() {
    // Slow requests get their answer 5 s after they came.
    let endpoint = Server::start(|message| {
        let slow = message.start_line.contains("slow");
        std::thread::sleep(Duration::from_millis(if slow { 5_000 } else { 50 }));
        ok("whole")
    });
    let mut fleet = Fleet::new(PROGRAM, 1);
    fleet.grace_s = 8;
    let (_fleet, mut sidecar) = in_service(fleet, &[endpoint.address], &with_timeout(15_000));
    let late =
        |after_ms, path, deadline_ms, kept, expected| LateTry { after_ms, path, deadline_ms, kept, expected };
    let tries = [
        late(0, "/open/slow", 15_000, false, 200),
        late(0, "/open/quick", 3_000, true, 200),
        late(1_000, "/open/slow", 15_000, true, 200),
        late(1_000, "/open/quick", 3_000, false, 200),
        late(2_900, "/open/slow", 15_000, false, 503),
        late(2_900, "/open/quick", 3_000, false, 200),
        late(3_100, "/open/slow", 15_000, false, 503),
        late(3_100, "/open/quick", 3_000, false, 200),
        late(6_000, "/open/slow", 15_000, false, 503),
        late(6_000, "/open/quick", 600, false, 200),
    ];
    // A kept connection has had an answer before.
    let clients: Vec<_> = tries
        .iter()
        .map(|t| t.kept.then(|| sidecar.keep_alive_client(&request("/open/first", "", ""))))
        .collect();
    sidecar.signal("TERM");
    let signalled = std::time::Instant::now();
    std::thread::scope(|scope| {
        let sidecar = &sidecar;
        for (one, kept) in tries.iter().zip(clients) {
            scope.spawn(move || {
                let after = Duration::from_millis(one.after_ms);
                std::thread::sleep(after.saturating_sub(signalled.elapsed()));
                let mut client = kept.unwrap_or_else(|| sidecar.client());
                let text = String::from_utf8(request(one.path, "", "")).unwrap();
                let text = text.replace("Deadline-Ms: 3000", &format!("Deadline-Ms: {}", one.deadline_ms));
                let asked = std::time::Instant::now();
                client.write_all(text.as_bytes()).unwrap();
                let answer = read_all(&mut client);
                let what =
                    format!("{} ms after SIGTERM, {}, kept {}: {answer}", one.after_ms, one.path, one.kept);
                assert_eq!(status(&answer), one.expected, "{what}");
                if one.expected == 503 {
                    let lower = answer.to_lowercase();
                    assert!(
                        lower.contains("retry-after: 0") && lower.contains("connection: close"),
                        "{what}"
                    );
                    assert!(asked.elapsed() < Duration::from_millis(500), "{what}");
                } else {
                    assert!(answer.ends_with("whole"), "{what}");
                }
            });
        }
    });
    assert!(sidecar.wait_for_success());
    let late_ones = endpoint.requests().iter().filter(|m| m.start_line.contains("slow")).count();
    assert_eq!(late_ones, 2, "what was refused has not run");
}

#[test]
fn what_is_still_unanswered_when_the_process_ends_gets_a_final_answer() {
    let endpoint = Server::start(|_| Reply::NoResponse);
    let (_fleet, mut sidecar) = single_sidecar(&[&endpoint]);
    let mut client = sidecar.client();
    let text = String::from_utf8(request("/open/1", "", "")).unwrap().replace("Ms: 3000", "Ms: 60000");
    client.write_all(text.as_bytes()).unwrap();
    wait_until("the endpoint has it", || !endpoint.requests().is_empty());
    sidecar.signal("TERM");
    assert_eq!(status(&read_all(&mut client)), 504);
    assert!(sidecar.wait_for_success());
}
