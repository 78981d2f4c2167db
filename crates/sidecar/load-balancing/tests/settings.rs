//! Settings: validation, changes at run time, and tolerance of unusual input.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn invalid_settings_are_rejected() {
    let base = settings(Idempotency::Idempotent);
    let cases = [
        Settings { instances: 0, ..base.clone() },
        Settings { classes: vec![], ..base.clone() },
        Settings { overload_window: -1.0, ..base.clone() },
        Settings { slow_start_duration: f64::NAN, ..base.clone() },
        Settings { slow_start_capacity: 1.5, ..base.clone() },
        Settings { tenants: vec![Tenant { quota_per_s: -1.0 }], ..base.clone() },
    ];
    for settings in cases {
        let error = Balancer::new(settings, 1, 0.0).err().expect("invalid settings must be rejected");
        assert!(error.to_string().contains(error.name));
    }
    assert!(Balancer::new(base, 1, 0.0).is_ok());
}

// Guards against a class added at run time that has no round robin state (an index out of bounds in the balancer), and
// against settings that would remove the class of requests that are already admitted.
#[test]
fn a_later_generation_adds_a_class_whose_requests_are_sent_at_once() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), vec![entry(1), entry(2)]);
    let (_, first) = harness.submit(0.1);
    assert!(matches!(first[..], [Action::Send { .. }, ..]));
    let added_class = Class { idempotency: Idempotency::NonIdempotent, ..Class::default() };
    let mut later = settings(Idempotency::Idempotent);
    later.classes.push(added_class);
    harness.balancer.update_settings(later.clone()).unwrap();
    let id = RequestId(99);
    let event = Event::Request {
        id,
        class: ClassId(1),
        tenant: None,
        client_timeout: 2.0,
        work_hint: None,
        repeat: false,
    };
    assert!(matches!(harness.handle_at(0.2, event)[..], [Action::Send { id: RequestId(99), .. }, ..]));
    assert!(
        harness.balancer.update_settings(settings(Idempotency::Idempotent)).is_err(),
        "classes must not be removed"
    );
}

#[test]
fn unusual_but_valid_input_is_ignored() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), vec![entry(1), entry(1)]);
    let nan = Some(LoadReport {
        in_flight: Some(f64::NAN),
        queued: Some(f64::INFINITY),
        cpu: Some(f64::NAN),
        ..LoadReport::default()
    });
    harness.end_attempt_with_report(0.1, RequestId(99), 7, UpstreamId(55), Ending::Served, nan);
    harness.handle_at(f64::NAN, Event::ClientDisconnected(RequestId(98)));
    harness.handle_at(0.1, Event::ResponseStarted { id: RequestId(97), attempt: 3 });
    harness.handle_at(
        0.1,
        Event::HealthCheckEnded {
            upstream: UpstreamId(5),
            ending: Ending::TimedOut,
            elapsed: -1.0,
            report: None,
        },
    );
    let (id, actions) = harness.submit(-3.0);
    let to = sent_to(&actions).unwrap();
    assert!(harness.end_attempt_with_report(0.1, id, 0, to, Ending::Served, nan).is_empty());
    assert!(sent_to(&harness.submit(0.1).1).is_some());
}
