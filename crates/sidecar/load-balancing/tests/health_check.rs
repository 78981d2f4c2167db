//! Health checks that confirm a selection.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn a_selection_is_confirmed_by_a_cheap_health_check() {
    let settings = Settings {
        allow_health_checks: true,
        reports_concurrency: true,
        reports_queue: true,
        instances: 3,
        ..settings(Idempotency::NonIdempotent)
    };
    let mut harness = Harness::new(settings, vec![entry(1), entry(2)]);
    // This holds from the first request on, before the number of workers is known.
    let (_, actions) = harness.submit(5.0);
    let [Action::HealthCheck(first), ..] = actions[..] else { panic!("{actions:?}") };
    let busy = Event::HealthCheckEnded {
        upstream: first,
        ending: Ending::Served,
        elapsed: 0.001,
        report: queue_report(1.0, 0.0),
    };
    let actions = harness.handle_at(5.001, busy);
    let [Action::HealthCheck(second), ..] = actions[..] else { panic!("{actions:?}") };
    assert_ne!(first, second);
    let idle = Event::HealthCheckEnded {
        upstream: second,
        ending: Ending::Served,
        elapsed: 0.001,
        report: queue_report(0.0, 0.0),
    };
    assert_eq!(sent_to(&harness.handle_at(5.002, idle)), Some(second));
}

/// Guards against requests that wait for a spare worker although reports can't show one: these reports contain the
/// number of requests at an upstream, but not how many of them are queued, and one request does not make an upstream
/// busy.
#[test]
fn no_selection_is_confirmed_if_reports_cannot_show_a_spare_worker() {
    let settings = Settings {
        allow_health_checks: true,
        reports_concurrency: true,
        instances: 3,
        ..settings(Idempotency::NonIdempotent)
    };
    let mut harness = Harness::new(settings, (1..=4).map(entry).collect());
    let in_flight = |n| Some(LoadReport { in_flight: Some(n), cpu: Some(0.4), ..LoadReport::default() });
    let (id, actions) = harness.submit(0.0);
    let to = sent_to(&actions).expect("the first request is sent without a health check");
    harness.end_attempt_with_report(0.1, id, 0, to, Ending::Served, in_flight(5.0));
    for n in 0..8 {
        let (_, actions) = harness.submit(0.2 + f64::from(n) * 0.01);
        assert!(sent_to(&actions).is_some(), "request {n}: {actions:?}");
        assert!(!actions.iter().any(|a| matches!(a, Action::HealthCheck(_))), "request {n}: {actions:?}");
    }
}

#[test]
fn health_checks_stop_at_their_budget() {
    let settings = Settings {
        allow_health_checks: true,
        reports_concurrency: true,
        reports_queue: true,
        price_health_check: 0.005,
        instances: 3,
        ..settings(Idempotency::NonIdempotent)
    };
    let mut harness = Harness::new(settings, (1..=40).map(entry).collect());
    let mut health_checks = 0;
    let mut actions = harness.submit(0.0).1;
    for n in 1..=40 {
        let Some(Action::HealthCheck(upstream)) =
            actions.iter().find(|a| matches!(a, Action::HealthCheck(_))).copied()
        else {
            break;
        };
        health_checks += 1;
        let busy = Event::HealthCheckEnded {
            upstream,
            ending: Ending::Served,
            elapsed: 0.001,
            report: queue_report(3.0, 0.0),
        };
        actions = harness.handle_at(f64::from(n) * 0.001, busy);
    }
    // The budget of 0.02 per request covers four health checks. After these, the request is sent unconfirmed.
    assert_eq!(health_checks, 4);
    assert!(sent_to(&actions).is_some());
}
