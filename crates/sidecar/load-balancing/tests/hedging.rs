//! Hedging: stalled attempts of idempotent requests are cancelled in favour of another attempt.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn only_idempotent_attempts_at_a_stalled_upstream_are_cancelled() {
    for (idempotency, cancelled) in [(Idempotency::Idempotent, true), (Idempotency::NonIdempotent, false)] {
        let mut harness = serve_two_zones(idempotency);
        let (id, actions) = harness.submit(10.0);
        let stalled = sent_to(&actions).unwrap();
        let mut cancels = 0;
        for n in 1..100 {
            let now = 10.0 + f64::from(n) * 0.01;
            let (other, mut actions) = harness.submit(now);
            if let Some(to) = sent_to(&actions).filter(|to| *to != stalled) {
                actions.extend(harness.end_attempt(now, other, 0, to, Ending::Served));
            }
            cancels += actions.iter().filter(|a| **a == Action::Cancel { id, attempt: 0 }).count();
        }
        assert_eq!(cancels, usize::from(cancelled), "{idempotency:?}");
        // The latency target has not passed yet; after it, no request is retried.
        let actions = harness.end_attempt(10.995, id, 0, stalled, Ending::Cancelled);
        assert_eq!(sent_to(&actions).is_some(), cancelled);
        assert_eq!(final_answers(&actions), usize::from(!cancelled));
    }
}

#[test]
fn an_idempotent_attempt_is_not_cancelled_before_half_of_the_latency_target() {
    let settings = Settings {
        allow_cancel: true,
        allow_concurrent_attempts: true,
        allow_health_checks: false,
        ..settings(Idempotency::Idempotent)
    };
    let mut harness = Harness::new(settings, vec![entry(1), entry(2)]);
    (0..20).for_each(|_| _ = request_once(&mut harness, 0, |_| Ending::Served));
    let sent_at = harness.now;
    harness.submit(sent_at);
    let cancelled = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    // By the median response time of 0.1 s the upstream has long stalled, but the latency target is 1 s.
    let actions = harness.handle_at(sent_at + 0.45, Event::Wake(9));
    assert!(!cancelled(&actions));
    // Meanwhile another upstream answers, which shows that the fault is at the stalled one.
    while request_once(&mut harness, 0, |_| Ending::Served) == UpstreamId(0) {}
    let actions = harness.handle_at(sent_at + 0.6, Event::Wake(9));
    assert!(cancelled(&actions));
}
