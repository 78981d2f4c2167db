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
    assert!(wake.is_some_and(|w| w > 0.0 && w <= 2.0) && finals(&actions) == 0);
    assert!(matches!(harness.at(1.0, Event::Wake(0))[..], [Action::Reject { id: i, .. }] if i == id));
}

#[test]
fn a_pending_request_is_sent_when_an_upstream_appears() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![]);
    harness.submit(0.0);
    let actions = harness.at(0.3, Event::EndpointChanges(vec![entry(9)]));
    assert_eq!(sent(&actions), Some(UpstreamId(9)));
}

#[test]
fn a_pending_request_is_rejected_when_an_upstream_appears_too_late() {
    // The deadline is before the latency target, no response times are known yet.
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
    harness.at(0.0, event);
    let actions = harness.at(0.5, Event::EndpointChanges(vec![entry(1)]));
    assert!(matches!(actions[..], [Action::Reject { .. }]), "{actions:?}");
}

#[test]
fn response_times_over_the_latency_target_do_not_reject_at_once() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1)]);
    // Response times exceed the latency target of one second.
    for n in 0..200 {
        let now = f64::from(n) * 3.0;
        let (id, actions) = harness.submit(now);
        let to = sent(&actions).unwrap();
        let outcome = Outcome {
            id,
            attempt: 0,
            upstream: to,
            ending: Ending::Served,
            elapsed: 1.5,
            last: true,
            report: queue_report(2.0, 1.0),
        };
        harness.at(now + 1.5, Event::Outcome(outcome));
    }
    harness.submit(700.0);
    let (_, actions) = harness.submit(700.1);
    assert_eq!(finals(&actions), 0, "held, not refused: {actions:?}");
}

/// Guards against a core kept busy for seconds by a request that can't be answered in time, and against the
/// opposite: after an upstream was slow for a while, usual requests must not be rejected for ever.
#[test]
fn infeasible_requests_are_rejected_at_once_and_usual_ones_always_accepted() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let now = observe_service_times(&mut harness, &[0.05, 0.1, 0.15, 0.2], 1.0);
    let (_, actions) = submit_with_cost(&mut harness, now, 5.0);
    assert!(sent(&actions).is_none() && finals(&actions) == 1, "{actions:?}");
    // Half a second of work takes one second, the latency target: hints are rough, so it is sent.
    assert!(sent(&submit_with_cost(&mut harness, now, 0.5).1).is_some());
    let mut slow = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(2), entry(3)]);
    let now = observe_service_times(&mut slow, &[0.1], 20.0);
    for n in 0..20 {
        let (id, actions) = submit_with_cost(&mut slow, now + f64::from(n), 0.08);
        let to = sent(&actions).expect("a usual call goes");
        slow.end(now + f64::from(n), id, 0, to, Ending::Served);
    }
}

#[test]
fn a_rejection_carries_the_longest_retry_after_that_is_honoured() {
    let set =
        Settings { send_retry_after: true, max_retry_after: 2.0, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(set, vec![]);
    let (id, _) = harness.submit(0.0);
    assert_eq!(harness.at(1.0, Event::Wake(0)), [Action::Reject { id, retry_after: Some(2.0) }]);
}

#[test]
fn a_burst_at_one_of_many_instances_is_within_the_quota() {
    // 12 requests a second over 20 instances are 0.6 at each: two of these three exceeded the quota.
    let tenants = vec![Tenant { quota_per_s: 12.0 }];
    let set =
        Settings { instances: 20, tenants, over_quota_value: 0.2, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(set, vec![]);
    let (class, tenant, client_timeout, work_hint) = (ClassId(0), Some(TenantId(0)), 2.0, None);
    for n in 1..=9 {
        let id = RequestId(n);
        harness.at(
            n as f64 * 0.01,
            Event::Request { id, class, tenant, client_timeout, work_hint, repeat: false },
        );
    }
    let actions = harness.at(0.1, Event::EndpointList((1..=60).map(entry).collect()));
    let order =
        actions.iter().filter_map(|a| if let Action::Send { id, .. } = a { Some(id.0) } else { None });
    // Of equal priority the newest first; what exceeds the quota comes last.
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
    let mut rings = 0;
    while let Some(at) = due.iter().copied().min_by(f64::total_cmp) {
        due.retain(|t| *t != at);
        rings += 1;
        assert!(rings < 2000, "wake-ups multiply");
        let actions = harness.at(at, Event::Wake(0));
        due.extend(actions.iter().filter_map(|a| match a {
            Action::Wake { after, .. } => Some(at + after),
            _ => None,
        }));
    }
    assert!(rings >= 1);
}
