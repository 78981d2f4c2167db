//! Selection: the round robin, its weights, and which upstreams are excluded.

mod common;

use common::*;
use passrelay_load_balancing::*;
use std::collections::BTreeSet;

#[test]
fn upstreams_without_reports_get_equal_traffic() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), (1..=4).map(entry).collect());
    let mut counts = [0; 5];
    for _ in 0..40 {
        let (id, actions) = harness.submit(0.1);
        let to = sent_to(&actions).unwrap();
        counts[to.0 as usize] += 1;
        harness.end_attempt(0.1, id, 0, to, Ending::Served);
    }
    assert!(counts[1..].iter().all(|c| (9..=11).contains(c)), "{counts:?}");
}

#[test]
fn cpu_reports_shift_traffic_to_the_idle_upstream() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), (1..=2).map(entry).collect());
    let mut counts = [0; 3];
    for n in 0..60 {
        let now = 0.1 + f64::from(n) * 0.2;
        let (id, actions) = harness.submit(now);
        let to = sent_to(&actions).unwrap();
        counts[to.0 as usize] += 1;
        harness.end_attempt_with_report(
            now + 0.1,
            id,
            0,
            to,
            Ending::Served,
            cpu_report(if to.0 == 1 { 0.9 } else { 0.1 }),
        );
    }
    assert!(counts[2] > counts[1] * 3 / 2, "{counts:?}");
}

#[test]
fn an_upstream_that_just_reported_a_spare_worker_is_selected_first() {
    let settings =
        Settings { reports_concurrency: true, instances: 8, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, (1..=20).map(entry).collect());
    let (id, actions) = harness.submit(0.0);
    harness.end_attempt_with_report(
        0.1,
        id,
        0,
        sent_to(&actions).unwrap(),
        Ending::Served,
        queue_report(2.0, 1.0),
    );
    for n in 1..6 {
        let (id, actions) = harness.submit(f64::from(n));
        let to = sent_to(&actions).unwrap();
        harness.end_attempt_with_report(
            f64::from(n) + 0.1,
            id,
            0,
            to,
            Ending::Served,
            queue_report(1.0, 0.0),
        );
        // An upstream that reported no queue is selected again at once; one that reported a queue is not.
        let (id, actions) = harness.submit(f64::from(n) + 0.11);
        assert_eq!(sent_to(&actions), Some(to));
        harness.end_attempt_with_report(
            f64::from(n) + 0.2,
            id,
            0,
            to,
            Ending::Served,
            queue_report(3.0, 2.0),
        );
        let (id, actions) = harness.submit(f64::from(n) + 0.21);
        assert_ne!(sent_to(&actions), Some(to));
        harness.end_attempt_with_report(
            f64::from(n) + 0.3,
            id,
            0,
            sent_to(&actions).unwrap(),
            Ending::Served,
            queue_report(3.0, 2.0),
        );
    }
}

#[test]
fn an_upstream_with_more_attempts_in_flight_is_excluded_whatever_it_reports() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    for (upstream, cpu) in [(1, 0.05), (2, 0.95)] {
        let report = Some(LoadReport { cpu: Some(cpu), ..LoadReport::default() });
        harness.handle_at(
            0.1,
            Event::HealthCheckEnded {
                upstream: UpstreamId(upstream),
                ending: Ending::Served,
                elapsed: 0.01,
                report,
            },
        );
    }
    let mut counts = [0, 0];
    for _ in 0..8 {
        let (_, actions) = harness.submit(0.1);
        counts[usize::from(sent_to(&actions) == Some(UpstreamId(2)))] += 1;
    }
    // By weight alone, the counts would be 8 and 0.
    assert_eq!(counts, [4, 4]);
}

#[test]
fn a_busy_upstream_gets_less_traffic_even_after_its_report_has_become_old() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let mut got = [0, 0];
    for n in 0..200 {
        // With response times of 0.1 s and one request every two seconds, every report is old when it is used.
        let now = 2.0 * f64::from(n);
        let (id, actions) = harness.submit(now);
        let to = sent_to(&actions).unwrap();
        got[to.0 as usize - 1] += 1;
        harness.end_attempt_with_report(
            now + 0.1,
            id,
            0,
            to,
            Ending::Served,
            cpu_report(if to.0 == 1 { 0.9 } else { 0.2 }),
        );
    }
    assert!(got[1] > 3 * got[0] && got[0] > 5, "{got:?}");
}

#[test]
fn an_upstream_that_fails_one_class_loses_the_traffic_of_that_class_only() {
    let class = Class { idempotency: Idempotency::NonIdempotent, ..Class::default() };
    let settings = Settings { classes: vec![class.clone(), class], ..Settings::default() };
    let mut harness = Harness::new(settings, vec![entry(1), entry(2)]);
    let ending =
        |class, to| if (class, to) == (1, UpstreamId(1)) { Ending::UpstreamError } else { Ending::Served };
    let mut got = [0, 0];
    for n in 0..120 {
        let class = usize::from(n % 3 == 0);
        got[class] += usize::from(request_once(&mut harness, class, |to| ending(class, to)) == UpstreamId(1));
    }
    // Equal weights would be 7 of 15. The failing class must not cost the upstream the traffic of the other class.
    assert!(got[1] <= 4 && got[0] >= 10, "{got:?}");
}

#[test]
fn an_upstream_that_rejects_all_gets_little_traffic() {
    // An upstream may drain before the endpoint list shows it, or be full. Either way it is idle and reports spare
    // capacity.
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let ending = |to| if to == UpstreamId(1) { Ending::Shed } else { Ending::Served };
    let rejected = (0..60).filter(|_| request_once(&mut harness, 0, ending) == UpstreamId(1)).count();
    assert!((1..=10).contains(&rejected), "{rejected}");
}

/// Guards against balancing by the number of requests, which would queue a cheap request behind an expensive one.
#[test]
fn requests_are_balanced_by_cost() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let busy = sent_to(&submit_with_cost(&mut harness, 0.0, 2.0).1).unwrap();
    for n in 0..6 {
        let to = sent_to(&submit_with_cost(&mut harness, 0.01 * f64::from(n), 0.02).1).unwrap();
        assert_ne!(to, busy, "cheap request {n}");
    }
}

/// Guards against sending expensive requests to a slow upstream, where they exceed the latency target the most.
#[test]
fn expensive_requests_go_to_the_faster_upstream() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let now = observe_service_times(&mut harness, &[0.05, 0.1, 0.15, 0.2], 3.0);
    let (id, actions) = submit_with_cost(&mut harness, now, 0.2);
    assert_eq!(sent_to(&actions), Some(UpstreamId(1)));
    harness.end_attempt(now, id, 0, UpstreamId(1), Ending::Served);
}

/// Guards against unnecessary cross-zone attempts. While requests are queued, upstreams of any zone are selected.
#[test]
fn the_own_zone_is_preferred_if_cross_zone_attempts_have_a_price() {
    for (price, expected) in [(0.01, 12), (0.0, 8)] {
        let settings = Settings { price_cross_zone: price, ..settings(Idempotency::NonIdempotent) };
        let far = |id| EndpointEntry { zone: ZoneId(1), ..entry(id) };
        let mut harness = Harness::new(settings, vec![entry(1), far(2), entry(3), far(4)]);
        let got = (0..16).filter(|_| request_once(&mut harness, 0, |_| Ending::Served).0 % 2 == 1).count();
        assert!(if price > 0.0 { got >= expected } else { got <= expected }, "{got} at price {price}");
        // Requests do not wait for busy upstreams of the own zone.
        let used: BTreeSet<_> = (0..8).filter_map(|_| sent_to(&harness.submit(harness.now).1)).collect();
        assert_eq!(used.len(), 4);
    }
}

#[test]
fn equal_events_and_seeds_give_equal_actions() {
    let run = |seed| {
        let mut balancer = Balancer::new(settings(Idempotency::Idempotent), seed, 0.0).unwrap();
        let mut actions = Vec::new();
        balancer.handle(0.0, Event::EndpointList((1..=8).map(entry).collect()), &mut actions);
        for n in 0..8 {
            let event = Event::Request {
                id: RequestId(n),
                class: ClassId(0),
                tenant: None,
                client_timeout: 1.0,
                work_hint: None,
                repeat: false,
            };
            balancer.handle(0.1, event, &mut actions);
        }
        actions
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}
