//! Admission control: queueing, rejection, quotas and wake-ups.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn without_upstreams_a_request_is_queued_then_rejected_in_time() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![]);
    let (id, actions) = harness.submit(0.0);
    let wake = actions.iter().find_map(|a| match a {
        Action::Wake { after, .. } => Some(*after),
        _ => None,
    });
    assert!(wake.is_some_and(|w| w > 0.0 && w <= 2.0) && final_answers(&actions) == 0);
    assert!(matches!(harness.handle_at(1.0, Event::Wake(0))[..], [Action::Reject { id: i, .. }] if i == id));
}

#[test]
fn a_pending_request_is_sent_when_an_upstream_appears() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![]);
    harness.submit(0.0);
    let actions = harness.handle_at(0.3, Event::EndpointChanges(vec![entry(9)]));
    assert_eq!(sent_to(&actions), Some(UpstreamId(9)));
}

#[test]
fn a_pending_request_is_rejected_when_an_upstream_appears_too_late() {
    // The deadline is earlier than the latency target, and no response times are known yet.
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![]);
    let id = RequestId(1);
    let event = Event::Request {
        id,
        class: ClassId(0),
        tenant: None,
        client_timeout: 0.5,
        work_hint: None,
        repeat: false,
    };
    harness.handle_at(0.0, event);
    let actions = harness.handle_at(0.5, Event::EndpointChanges(vec![entry(1)]));
    assert!(matches!(actions[..], [Action::Reject { .. }]), "{actions:?}");
}

#[test]
fn response_times_over_the_latency_target_do_not_reject_at_once() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1)]);
    // The response time of 1.5 s exceeds the latency target of one second.
    for n in 0..200 {
        let now = f64::from(n) * 3.0;
        let (id, actions) = harness.submit(now);
        let to = sent_to(&actions).unwrap();
        let outcome = Outcome {
            id,
            attempt: 0,
            upstream: to,
            ending: Ending::Served,
            elapsed: 1.5,
            last: true,
            report: queue_report(2.0, 1.0),
        };
        harness.handle_at(now + 1.5, Event::Outcome(outcome));
    }
    harness.submit(700.0);
    let (_, actions) = harness.submit(700.1);
    assert_eq!(final_answers(&actions), 0, "the request must stay queued: {actions:?}");
}

/// Guards against a request that can't be answered in time and occupies a core for seconds. Guards also against the
/// opposite: after an upstream was slow for a while, requests of usual cost must not be rejected for ever.
#[test]
fn infeasible_requests_are_rejected_at_once_and_requests_of_usual_cost_always_accepted() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let now = observe_service_times(&mut harness, &[0.05, 0.1, 0.15, 0.2], 1.0);
    let (_, actions) = submit_with_cost(&mut harness, now, 5.0);
    assert!(sent_to(&actions).is_none() && final_answers(&actions) == 1, "{actions:?}");
    // Half a second of work takes one second, which is the latency target. Hints are rough, so the request is sent.
    assert!(sent_to(&submit_with_cost(&mut harness, now, 0.5).1).is_some());
    let mut slow = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(2), entry(3)]);
    let now = observe_service_times(&mut slow, &[0.1], 20.0);
    for n in 0..20 {
        let (id, actions) = submit_with_cost(&mut slow, now + f64::from(n), 0.08);
        let to = sent_to(&actions).expect("a request of usual cost is sent");
        slow.end_attempt(now + f64::from(n), id, 0, to, Ending::Served);
    }
}

#[test]
fn a_rejection_carries_the_longest_retry_after_that_clients_honour() {
    let settings =
        Settings { send_retry_after: true, max_retry_after: 2.0, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, vec![]);
    let (id, _) = harness.submit(0.0);
    assert_eq!(harness.handle_at(1.0, Event::Wake(0)), [Action::Reject { id, retry_after: Some(2.0) }]);
}

#[test]
fn a_burst_at_one_of_many_instances_is_within_the_quota() {
    // 12 requests per second over 20 instances are 0.6 at each. Without a minimum burst, two of three requests would
    // exceed the quota. With it, the first six are within the quota.
    let tenants = vec![Tenant { quota_per_s: 12.0 }];
    let settings =
        Settings { instances: 20, tenants, over_quota_value: 0.2, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, vec![]);
    let (class, tenant, client_timeout, work_hint) = (ClassId(0), Some(TenantId(0)), 2.0, None);
    for n in 1..=9 {
        let id = RequestId(n);
        harness.handle_at(
            n as f64 * 0.01,
            Event::Request { id, class, tenant, client_timeout, work_hint, repeat: false },
        );
    }
    let actions = harness.handle_at(0.1, Event::EndpointList((1..=60).map(entry).collect()));
    let order =
        actions.iter().filter_map(|a| if let Action::Send { id, .. } = a { Some(id.0) } else { None });
    // Among equal priorities, the newest request is sent first. Requests that exceed the quota come last.
    assert_eq!(order.collect::<Vec<_>>()[..7], [6, 5, 4, 3, 2, 1, 9]);
}

#[test]
fn wake_ups_do_not_multiply() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![]);
    let mut due: Vec<f64> = Vec::new();
    for n in 0..20 {
        let now = f64::from(n) * 0.001;
        let (_, actions) = harness.submit(now);
        due.extend(actions.iter().filter_map(|a| match a {
            Action::Wake { after, .. } => Some(now + after),
            _ => None,
        }));
    }
    let mut wake_ups = 0;
    while let Some(at) = due.iter().copied().min_by(f64::total_cmp) {
        due.retain(|t| *t != at);
        wake_ups += 1;
        assert!(wake_ups < 2000, "wake-ups multiply: {wake_ups}");
        let actions = harness.handle_at(at, Event::Wake(0));
        due.extend(actions.iter().filter_map(|a| match a {
            Action::Wake { after, .. } => Some(at + after),
            _ => None,
        }));
    }
    assert!(wake_ups >= 1);
}
