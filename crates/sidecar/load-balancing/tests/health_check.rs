//! Health checks ahead of a selection.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn a_selection_is_confirmed_by_a_cheap_health_check() {
    let set = Settings {
        allow_health_checks: true,
        reports_concurrency: true,
        reports_queue: true,
        instances: 3,
        ..settings(Idempotency::NonIdempotent)
    };
    let mut harness = Harness::new(set, vec![entry(1), entry(2)]);
    // From the first request on, before the number of workers is known.
    let (_, actions) = harness.submit(5.0);
    let [Action::HealthCheck(asked), ..] = actions[..] else { panic!("{actions:?}") };
    let busy = Event::HealthCheckEnded {
        upstream: asked,
        ending: Ending::Served,
        elapsed: 0.001,
        report: queue_report(1.0, 0.0),
    };
    let actions = harness.at(5.001, busy);
    let [Action::HealthCheck(other), ..] = actions[..] else { panic!("{actions:?}") };
    assert_ne!(asked, other);
    let idle = Event::HealthCheckEnded {
        upstream: other,
        ending: Ending::Served,
        elapsed: 0.001,
        report: queue_report(0.0, 0.0),
    };
    assert_eq!(sent(&harness.at(5.002, idle)), Some(other));
}

/// Guards against requests that wait for a spare worker which the reports can't show: they carry how many
/// requests are at a node, but not how many of these are queued, and one request does not make a node busy.
#[test]
fn no_selection_is_confirmed_where_reports_cannot_show_a_spare_worker() {
    let set = Settings {
        allow_health_checks: true,
        reports_concurrency: true,
        instances: 3,
        ..settings(Idempotency::NonIdempotent)
    };
    let mut harness = Harness::new(set, (1..=4).map(entry).collect());
    let in_flight = |n| Some(LoadReport { in_flight: Some(n), cpu: Some(0.4), ..LoadReport::default() });
    let (id, actions) = harness.submit(0.0);
    let to = sent(&actions).expect("the first call waits for no probe");
    harness.end_with(0.1, id, 0, to, Ending::Served, in_flight(5.0));
    for n in 0..8 {
        let (_, actions) = harness.submit(0.2 + f64::from(n) * 0.01);
        assert!(sent(&actions).is_some(), "call {n}: {actions:?}");
        assert!(!actions.iter().any(|a| matches!(a, Action::HealthCheck(_))), "call {n}: {actions:?}");
    }
}

#[test]
fn health_checks_stop_at_their_budget() {
    let set = Settings {
        allow_health_checks: true,
        reports_concurrency: true,
        reports_queue: true,
        price_health_check: 0.005,
        instances: 3,
        ..settings(Idempotency::NonIdempotent)
    };
    let mut harness = Harness::new(set, (1..=40).map(entry).collect());
    let mut probes = 0;
    let mut actions = harness.submit(0.0).1;
    for n in 1..=40 {
        let Some(Action::HealthCheck(upstream)) =
            actions.iter().find(|a| matches!(a, Action::HealthCheck(_))).copied()
        else {
            break;
        };
        probes += 1;
        let busy = Event::HealthCheckEnded {
            upstream,
            ending: Ending::Served,
            elapsed: 0.001,
            report: queue_report(3.0, 0.0),
        };
        actions = harness.at(f64::from(n) * 0.001, busy);
    }
    // A budget of 0.02 a request covers four of these; then the request is sent unconfirmed.
    assert_eq!(probes, 4);
    assert!(sent(&actions).is_some());
}
