//! Concurrency limit: how many requests an instance may have in flight.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn requests_beyond_the_workers_are_queued_at_the_instance_and_not_at_the_upstream() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1)]);
    let (id, actions) = harness.submit(0.0);
    let to = sent_to(&actions).unwrap();
    // The report of two requests, one of them queued, shows that the upstream has one worker.
    harness.end_attempt_with_report(0.1, id, 0, to, Ending::Served, queue_report(2.0, 1.0));
    let (id, actions) = harness.submit(0.2);
    assert_eq!(sent_to(&actions), Some(to));
    assert_eq!(sent_to(&harness.submit(0.21).1), None);
    assert_eq!(
        sent_to(&harness.end_attempt_with_report(0.3, id, 0, to, Ending::Served, queue_report(0.0, 0.0))),
        Some(to)
    );
}

#[test]
fn noise_in_reports_does_not_raise_the_number_of_workers() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1)]);
    for n in 0..40 {
        let now = f64::from(n);
        let (id, actions) = harness.submit(now);
        let noisy = queue_report(4.0 + f64::from(n % 3) * 0.2, 3.0);
        harness.end_attempt_with_report(now + 0.1, id, 0, sent_to(&actions).unwrap(), Ending::Served, noisy);
    }
    assert!(sent_to(&harness.submit(50.0).1).is_some());
    assert_eq!(sent_to(&harness.submit(50.01).1), None);
}

#[test]
fn instances_share_the_capacity_and_list_changes_do_not_raise_it() {
    let settings = Settings { instances: 10, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, (1..=10).map(entry).collect());
    let in_flight = (0..40).filter(|_| sent_to(&harness.submit(0.1).1).is_some()).count();
    assert!((2..=20).contains(&in_flight), "{in_flight}");
    let actions = harness.handle_at(0.2, Event::EndpointChanges(vec![entry(1)]));
    assert_eq!(sent_to(&actions), None);
}

#[test]
fn an_idle_instance_has_capacity_for_a_burst() {
    let settings = Settings { instances: 20, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, (1..=5).map(entry).collect());
    for n in 0..100 {
        let now = f64::from(n);
        let (id, actions) = harness.submit(now);
        harness.end_attempt(now + 0.1, id, 0, sent_to(&actions).unwrap(), Ending::Served);
    }
    let burst = (0..10).filter(|_| sent_to(&harness.submit(200.0).1).is_some()).count();
    assert_eq!(burst, 10);
}

#[test]
fn the_limit_scales_down_with_lost_upstreams() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), (1..=4).map(entry).collect());
    harness.handle_at(0.1, Event::EndpointList((1..=2).map(entry).collect()));
    let sends = (0..60).filter(|_| sent_to(&harness.submit(0.2).1).is_some()).count();
    // The initial limit is twelve requests for each upstream.
    assert!((20..=26).contains(&sends), "{sends}");
}

/// Overloads one of 20 instances over two upstreams for 400 s, with response times of twice the latency target.
/// Returns the number of sends in each tenth of that time, and by class.
fn overload(classes: Vec<Class>, reports: Option<LoadReport>) -> (Vec<usize>, Vec<usize>) {
    let count = classes.len();
    let settings = Settings { instances: 20, classes, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, vec![entry(1), entry(2)]);
    let (mut in_flight, mut by_tenth, mut by_class) = (Vec::new(), vec![0; 10], vec![0; count]);
    for n in 0..4000u64 {
        let now = n as f64 * 0.1;
        let (id, class) = (RequestId(n), ClassId(n as usize % count));
        let event =
            Event::Request { id, class, tenant: None, client_timeout: 4.0, work_hint: None, repeat: false };
        let mut actions = harness.handle_at(now, event);
        for (id, upstream, at) in std::mem::take(&mut in_flight) {
            if now - at < 2.0 {
                in_flight.push((id, upstream, at));
                continue;
            }
            let (ending, elapsed) = (Ending::Served, 2.0);
            let outcome = Outcome { id, attempt: 0, upstream, ending, elapsed, last: true, report: reports };
            actions.extend(harness.handle_at(now, Event::Outcome(outcome)));
        }
        for a in actions {
            if let Action::Send { id, upstream, .. } = a {
                in_flight.push((id, upstream, now));
                by_tenth[n as usize / 400] += 1;
                by_class[id.0 as usize % count] += 1;
            }
        }
    }
    (by_tenth, by_class)
}

#[test]
fn the_limit_of_an_instance_may_lie_below_one_request() {
    let (tenths, _) = overload(
        vec![Class { idempotency: Idempotency::NonIdempotent, ..Class::default() }],
        cpu_report(0.9),
    );
    // Responses take 2 s, so one request in flight at all times would mean 20 sends in each tenth, which is 40 s.
    assert!((1..=15).contains(&tenths[9]), "{tenths:?}");
}

#[test]
fn capacity_is_reserved_for_the_highest_value() {
    let valuable = Class { idempotency: Idempotency::NonIdempotent, value: 10.0, ..Class::default() };
    let (_, sent) = overload(vec![Class { value: 1.0, ..valuable.clone() }, valuable], cpu_report(0.9));
    assert!(sent[1] > 3 * sent[0], "{sent:?}");
}

/// Returns how many requests are sent at once after 100 responses with each of these response times, one by one.
fn sends_after(times: &[f64]) -> usize {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1)]);
    for elapsed in times.iter().flat_map(|t| std::iter::repeat_n(*t, 100)) {
        let (id, actions) = harness.submit(harness.now);
        let (to, now) =
            (sent_to(&actions).expect("the instance is idle, so the request is sent"), harness.now + elapsed);
        serve(&mut harness, now, id, to, elapsed);
    }
    (0..40).filter(|_| sent_to(&harness.submit(harness.now).1).is_some()).count()
}

/// Guards against a limit that is reduced because the service time of a class exceeds half of its latency target,
/// although nothing is queued, and against a limit that is not reduced while a queue grows.
#[test]
fn the_limit_shrinks_for_queueing_and_not_for_long_service_times() {
    assert!(sends_after(&[0.6]) >= 12, "the median exceeds half of the latency target, but always has");
    assert!(sends_after(&[0.2, 0.6]) <= 4, "the median has tripled");
    assert!(sends_after(&[0.8]) <= 4, "the median is too close to the latency target, whatever its baseline");
}
