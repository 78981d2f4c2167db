//! Selection: the round robin, its weights, and the upstreams that are left out.

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
        let to = sent(&actions).unwrap();
        counts[to.0 as usize] += 1;
        harness.end(0.1, id, 0, to, Ending::Served);
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
        let to = sent(&actions).unwrap();
        counts[to.0 as usize] += 1;
        harness.end_with(now + 0.1, id, 0, to, Ending::Served, cpu_report(if to.0 == 1 { 0.9 } else { 0.1 }));
    }
    assert!(counts[2] > counts[1] * 3 / 2, "{counts:?}");
}

#[test]
fn an_upstream_that_just_reported_a_spare_worker_is_selected_first() {
    let set = Settings { reports_concurrency: true, instances: 8, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(set, (1..=20).map(entry).collect());
    let (id, actions) = harness.submit(0.0);
    harness.end_with(0.1, id, 0, sent(&actions).unwrap(), Ending::Served, queue_report(2.0, 1.0));
    for n in 1..6 {
        let (id, actions) = harness.submit(f64::from(n));
        let to = sent(&actions).unwrap();
        harness.end_with(f64::from(n) + 0.1, id, 0, to, Ending::Served, queue_report(1.0, 0.0));
        // One that reported a queue is not selected again at once, one without is.
        let (id, actions) = harness.submit(f64::from(n) + 0.11);
        assert_eq!(sent(&actions), Some(to));
        harness.end_with(f64::from(n) + 0.2, id, 0, to, Ending::Served, queue_report(3.0, 2.0));
        let (id, actions) = harness.submit(f64::from(n) + 0.21);
        assert_ne!(sent(&actions), Some(to));
        harness.end_with(
            f64::from(n) + 0.3,
            id,
            0,
            sent(&actions).unwrap(),
            Ending::Served,
            queue_report(3.0, 2.0),
        );
    }
}

#[test]
fn an_upstream_with_more_attempts_in_flight_is_left_out_whatever_it_reports() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    for (node, cpu) in [(1, 0.05), (2, 0.95)] {
        let report = Some(LoadReport { cpu: Some(cpu), ..LoadReport::default() });
        harness.at(
            0.1,
            Event::HealthCheckEnded {
                upstream: UpstreamId(node),
                ending: Ending::Served,
                elapsed: 0.01,
                report,
            },
        );
    }
    let mut out = [0, 0];
    for _ in 0..8 {
        let (_, actions) = harness.submit(0.1);
        out[usize::from(sent(&actions) == Some(UpstreamId(2)))] += 1;
    }
    // By weights alone it would be 8 to 0.
    assert_eq!(out, [4, 4]);
}

#[test]
fn a_busy_upstream_gets_less_traffic_also_after_its_report_has_aged() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let mut got = [0, 0];
    for n in 0..200 {
        // Response times of 0.1 s, a request each two seconds: every report has aged.
        let now = 2.0 * f64::from(n);
        let (id, actions) = harness.submit(now);
        let to = sent(&actions).unwrap();
        got[to.0 as usize - 1] += 1;
        harness.end_with(now + 0.1, id, 0, to, Ending::Served, cpu_report(if to.0 == 1 { 0.9 } else { 0.2 }));
    }
    assert!(got[1] > 3 * got[0] && got[0] > 5, "{got:?}");
}

#[test]
fn an_upstream_that_fails_one_class_loses_the_traffic_of_that_class_only() {
    let class = Class { idempotency: Idempotency::NonIdempotent, ..Class::default() };
    let set = Settings { classes: vec![class.clone(), class], ..Settings::default() };
    let mut harness = Harness::new(set, vec![entry(1), entry(2)]);
    let ending =
        |class, to| if (class, to) == (1, UpstreamId(1)) { Ending::UpstreamError } else { Ending::Served };
    let mut got = [0, 0];
    for n in 0..120 {
        let class = usize::from(n % 3 == 0);
        got[class] += usize::from(request_once(&mut harness, class, |to| ending(class, to)) == UpstreamId(1));
    }
    // Equal weights would be 7 of 15; a failing class must not cost it the traffic of the class that it serves.
    assert!(got[1] <= 4 && got[0] >= 10, "{got:?}");
}

#[test]
fn an_upstream_that_rejects_all_gets_little_traffic() {
    // It drains before the list says so, or is full; either way it is idle and reports spare capacity.
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let ending = |to| if to == UpstreamId(1) { Ending::Shed } else { Ending::Served };
    let turned = (0..60).filter(|_| request_once(&mut harness, 0, ending) == UpstreamId(1)).count();
    assert!((1..=10).contains(&turned), "{turned}");
}

/// Guards against balancing by number: a cheap request behind an expensive one is queued.
#[test]
fn requests_are_balanced_by_cost() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let heavy = sent(&submit_with_cost(&mut harness, 0.0, 2.0).1).unwrap();
    for n in 0..6 {
        let to = sent(&submit_with_cost(&mut harness, 0.01 * f64::from(n), 0.02).1).unwrap();
        assert_ne!(to, heavy, "light call {n}");
    }
}

/// Guards against expensive requests at a slow upstream: there they exceed the latency target by most.
#[test]
fn expensive_requests_go_to_the_faster_upstream() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let now = observe_service_times(&mut harness, &[0.05, 0.1, 0.15, 0.2], 3.0);
    let (id, actions) = submit_with_cost(&mut harness, now, 0.2);
    assert_eq!(sent(&actions), Some(UpstreamId(1)));
    harness.end(now, id, 0, UpstreamId(1), Ending::Served);
}

/// Guards against needless cross-zone attempts; where requests are queued, any upstream is selected.
#[test]
fn the_own_zone_is_preferred_where_cross_zone_attempts_have_a_price() {
    for (price, own) in [(0.01, 12), (0.0, 8)] {
        let set = Settings { price_cross_zone: price, ..settings(Idempotency::NonIdempotent) };
        let far = |id| EndpointEntry { zone: ZoneId(1), ..entry(id) };
        let mut harness = Harness::new(set, vec![entry(1), far(2), entry(3), far(4)]);
        let got = (0..16).filter(|_| request_once(&mut harness, 0, |_| Ending::Served).0 % 2 == 1).count();
        assert!(if price > 0.0 { got >= own } else { got <= own }, "{got} at price {price}");
        // Busy ones of the own zone are not waited for.
        let used: BTreeSet<_> = (0..8).filter_map(|_| sent(&harness.submit(harness.now).1)).collect();
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
