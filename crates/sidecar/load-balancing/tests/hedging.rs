//! Hedging: stalled attempts of safe requests are cancelled for another one.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn a_safe_attempt_at_a_stalled_upstream_is_cancelled_and_an_unsafe_one_never() {
    for (idempotency, withdrawn) in [(Idempotency::Idempotent, true), (Idempotency::NonIdempotent, false)] {
        let mut harness = serve_two_zones(idempotency);
        let (id, actions) = harness.submit(10.0);
        let silent = sent(&actions).unwrap();
        let mut cancels = 0;
        for n in 1..100 {
            let now = 10.0 + f64::from(n) * 0.01;
            let (other, mut actions) = harness.submit(now);
            if let Some(to) = sent(&actions).filter(|to| *to != silent) {
                actions.extend(harness.end(now, other, 0, to, Ending::Served));
            }
            cancels += actions.iter().filter(|a| **a == Action::Cancel { id, attempt: 0 }).count();
        }
        assert_eq!(cancels, usize::from(withdrawn), "{idempotency:?}");
        // Still within the latency target: after it, nothing is retried.
        let actions = harness.end(10.995, id, 0, silent, Ending::Cancelled);
        assert_eq!(sent(&actions).is_some(), withdrawn);
        assert_eq!(finals(&actions), usize::from(!withdrawn));
    }
}

#[test]
fn a_safe_attempt_is_not_cancelled_before_half_of_the_latency_target() {
    let set = Settings {
        allow_cancel: true,
        allow_concurrent_attempts: true,
        allow_health_checks: false,
        ..settings(Idempotency::Idempotent)
    };
    let mut harness = Harness::new(set, vec![entry(1), entry(2)]);
    (0..20).for_each(|_| _ = request_once(&mut harness, 0, |_| Ending::Served));
    let began = harness.now;
    harness.submit(began);
    let cancelled = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    // By the median response time of 0.1 s its node has long stalled; the latency target is 1 s.
    let actions = harness.at(began + 0.45, Event::Wake(9));
    assert!(!cancelled(&actions));
    // A peer that answers meanwhile shows that the fault is at this node.
    while request_once(&mut harness, 0, |_| Ending::Served) == UpstreamId(0) {}
    let actions = harness.at(began + 0.6, Event::Wake(9));
    assert!(cancelled(&actions));
}
