//! Retry: whether a request is sent again after the outcome of an attempt.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn idempotency_and_ending_decide_whether_a_request_is_retried() {
    use Ending::*;
    let all = Idempotency::Keyed { scope: DedupScope::All, window: 5.0 };
    let cell = Idempotency::Keyed { scope: DedupScope::Cell, window: 5.0 };
    let short = Idempotency::Keyed { scope: DedupScope::All, window: 0.01 };
    // (idempotency, ending, whether it is retried)
    let table = [
        (Idempotency::Idempotent, UpstreamError, true),
        (Idempotency::Idempotent, ConnectionLost, true),
        (Idempotency::Idempotent, Shed, true),
        (all, ConnectionLost, true),
        (all, Shed, true),
        (cell, ConnectionLost, true),
        (short, ConnectionLost, false),
        (Idempotency::NonIdempotent, Shed, true),
        (Idempotency::NonIdempotent, ConnectFailed, true),
        (Idempotency::NonIdempotent, NotSent, true),
        (Idempotency::NonIdempotent, UpstreamError, false),
        (Idempotency::NonIdempotent, ConnectionLost, false),
        (Idempotency::NonIdempotent, TimedOut, false),
        (Idempotency::NonIdempotent, Cancelled, false),
    ];
    for (idempotency, ending, retried) in table {
        let mut harness = Harness::new(settings(idempotency), (1..=3).map(entry).collect());
        let (id, actions) = harness.submit(0.1);
        let to = sent_to(&actions).unwrap();
        let actions = harness.end_attempt(0.2, id, 0, to, ending);
        assert_eq!(sent_to(&actions).is_some(), retried, "{idempotency:?} {ending:?}");
        if idempotency == Idempotency::NonIdempotent && !retried {
            assert_eq!(actions, [Action::Fail { id }], "{ending:?}");
        }
    }
}

#[test]
fn a_keyed_request_is_retried_in_its_cell_and_fails_instead_of_being_rejected() {
    let idempotency = Idempotency::Keyed { scope: DedupScope::Cell, window: 5.0 };
    let cells = (1..=4).map(|n| EndpointEntry { cell: n % 2, ..entry(n) }).collect();
    let mut harness = Harness::new(settings(idempotency), cells);
    let (id, actions) = harness.submit(0.1);
    let first = sent_to(&actions).unwrap();
    let actions = harness.end_attempt(0.2, id, 0, first, Ending::ConnectionLost);
    let second = sent_to(&actions).unwrap();
    assert_eq!(first.0 % 2, second.0 % 2);
    assert_ne!(first, second);
    let actions = harness.end_attempt(0.3, id, 1, second, Ending::ConnectionLost);
    let actions_at_deadline = harness.handle_at(2.05, Event::Wake(0));
    assert!(!actions.iter().chain(&actions_at_deadline).any(|a| matches!(a, Action::Reject { .. })));
    assert_eq!(final_answers(&actions) + final_answers(&actions_at_deadline), 1);
}

#[test]
fn attempts_stop_at_the_maximum() {
    let settings = Settings { max_attempts: 2, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, (1..=5).map(entry).collect());
    let (id, actions) = harness.submit(0.1);
    let actions = harness.end_attempt(0.2, id, 0, sent_to(&actions).unwrap(), Ending::Shed);
    let actions = harness.end_attempt(0.3, id, 1, sent_to(&actions).unwrap(), Ending::Shed);
    assert!(matches!(actions[..], [Action::Reject { .. }]), "{actions:?}");
}

/// Guards against useless work: an answer after the latency target has no value, and the retry would occupy a core.
#[test]
fn a_request_that_fails_after_its_latency_target_is_not_retried() {
    for (failed_at, retried) in [(0.5, true), (1.1, false)] {
        let mut harness = Harness::new(settings(Idempotency::Idempotent), vec![entry(1), entry(2)]);
        let (id, actions) = harness.submit(0.0);
        let to = sent_to(&actions).unwrap();
        let actions = harness.end_attempt(failed_at, id, 0, to, Ending::UpstreamError);
        assert_eq!(
            (sent_to(&actions).is_some(), final_answers(&actions) == 0),
            (retried, retried),
            "failed at {failed_at}"
        );
    }
}

#[test]
fn a_request_whose_response_has_started_is_not_retried() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), (1..=3).map(entry).collect());
    let (id, actions) = harness.submit(0.0);
    let to = sent_to(&actions).unwrap();
    assert!(harness.handle_at(0.2, Event::ResponseStarted { id, attempt: 0 }).is_empty());
    assert!(harness.end_attempt(0.4, id, 0, to, Ending::ConnectionLost).is_empty());
}

#[test]
fn a_request_of_a_disconnected_client_is_not_retried() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), vec![entry(1), entry(2)]);
    let (id, actions) = harness.submit(0.0);
    harness.handle_at(0.5, Event::ClientDisconnected(id));
    assert!(harness.end_attempt(0.6, id, 0, sent_to(&actions).unwrap(), Ending::ConnectionLost).is_empty());
}

#[test]
fn a_request_that_times_out_at_its_deadline_gets_its_final_answer_at_once() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut harness = Harness::new(settings(idempotency), vec![entry(1)]);
        let (id, actions) = harness.submit(0.0);
        let actions = harness.end_attempt(2.0, id, 0, sent_to(&actions).unwrap(), Ending::TimedOut);
        assert_eq!(final_answers(&actions), 1, "{idempotency:?}");
        assert!(harness.handle_at(2.1, Event::ClientDisconnected(id)).is_empty());
    }
}
