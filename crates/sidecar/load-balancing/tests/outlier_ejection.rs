//! Outlier ejection: failing and stalled upstreams, failed zones.

mod common;

use common::*;
use passrelay_load_balancing::*;
use std::collections::BTreeSet;

#[test]
fn a_failing_upstream_is_ejected_and_used_again_after_its_recovery() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let mut now = 0.1;
    let mut sends_to_failing = [0, 0];
    for n in 0..200 {
        now += 0.05;
        let (id, actions) = harness.submit(now);
        let Some(to) = sent_to(&actions) else { continue };
        let down = n < 100;
        sends_to_failing[usize::from(!down)] += usize::from(to.0 == 1);
        if to.0 == 1 && down {
            let actions = harness.end_attempt(now, id, 0, to, Ending::ConnectFailed);
            let other = sent_to(&actions).unwrap();
            harness.end_attempt(now + 0.01, id, 1, other, Ending::Served);
        } else {
            harness.end_attempt(now + 0.01, id, 0, to, Ending::Served);
        }
    }
    assert!(sends_to_failing[0] <= 6 && sends_to_failing[1] >= 10, "{sends_to_failing:?}");
}

#[test]
fn a_stalled_upstream_is_ejected_while_peers_answer() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), (1..=3).map(entry).collect());
    let mut sends_to_stalled = 0;
    for n in 0..60 {
        let now = f64::from(n) * 0.1;
        let (id, actions) = harness.submit(now);
        let to = sent_to(&actions).unwrap();
        // Upstream 1 stops answering at 2 s.
        if to.0 == 1 && now > 2.0 {
            sends_to_stalled += 1;
        } else {
            harness.end_attempt(now + 0.01, id, 0, to, Ending::Served);
        }
    }
    assert!((1..=3).contains(&sends_to_stalled), "{sends_to_stalled}");
}

/// Guards against ejecting an upstream as stalled although it is busy with a single expensive request.
#[test]
fn an_upstream_busy_with_an_expensive_request_is_not_ejected() {
    let settings =
        Settings { classes: vec![Class { latency_target: 9.0, ..Class::default() }], ..Settings::default() };
    let mut harness = Harness::new(settings, vec![entry(1), entry(2)]);
    let now = observe_service_times(&mut harness, &[0.05, 0.1, 0.15, 0.2], 1.0);
    // Usual responses take a quarter of a second; this one takes three seconds.
    let busy = sent_to(&submit_with_cost(&mut harness, now, 1.5).1).unwrap();
    let (id, actions) = submit_with_cost(&mut harness, now + 1.4, 0.1);
    let other = sent_to(&actions).unwrap();
    assert_ne!(other, busy);
    harness.end_attempt(now + 1.5, id, 0, other, Ending::Served);
    assert_eq!(sent_to(&submit_with_cost(&mut harness, now + 1.5, 2.0).1), Some(other));
    assert_eq!(
        sent_to(&submit_with_cost(&mut harness, now + 1.5, 0.1).1),
        Some(busy),
        "the busy upstream has less load than the other one"
    );
}

#[test]
fn one_lost_connection_does_not_eject_but_two_without_an_answer_do() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), vec![entry(1), entry(2)]);
    let ending = |to| if to == UpstreamId(1) { Ending::ConnectionLost } else { Ending::Served };
    while request_once(&mut harness, 0, ending) != UpstreamId(1) {}
    // The upstream still gets requests, though fewer. The second lost connection ejects it.
    assert!((0..20).any(|_| request_once(&mut harness, 0, ending) == UpstreamId(1)));
    assert!((0..20).all(|_| request_once(&mut harness, 0, ending) == UpstreamId(2)));
}

#[test]
fn a_partitioned_zone_is_ejected_completely() {
    let mut harness = serve_two_zones(Idempotency::NonIdempotent);
    let (mut lost, mut served) = (Vec::new(), 0);
    for n in 0..200 {
        let now = 10.0 + f64::from(n) * 0.02;
        let (id, actions) = harness.submit(now);
        let Some(to) = sent_to(&actions) else { continue };
        if to.0 % 2 == 1 {
            lost.push(now);
        } else {
            served += 1;
            harness.end_attempt(now + 0.01, id, 0, to, Ending::Served);
        }
    }
    assert!(served > 150 && lost.iter().all(|at| *at < 10.5), "{served} {lost:?}");
}

#[test]
fn an_instance_with_few_attempts_in_flight_ejects_a_large_failed_zone() {
    let zones = (1..=60).map(|n| EndpointEntry { zone: ZoneId((n % 2) as usize), ..entry(n) }).collect();
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), zones);
    let mut lost = Vec::new();
    for n in 0..300 {
        let now = f64::from(n) * 0.02;
        let (id, actions) = harness.submit(now);
        let Some(to) = sent_to(&actions) else { continue };
        if now > 2.0 && to.0 % 2 == 1 {
            lost.push(now);
        } else {
            harness.end_attempt(now + 0.01, id, 0, to, Ending::Served);
        }
    }
    // If the upstreams were ejected one by one, nearly each of the thirty would have to fail a request first.
    assert!((1..=15).contains(&lost.len()), "{lost:?}");
}

#[test]
fn trial_requests_in_a_failed_zone_go_only_to_upstreams_that_failed() {
    let zones = (1..=60).map(|n| EndpointEntry { zone: ZoneId((n % 2) as usize), ..entry(n) }).collect();
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), zones);
    let mut failed = BTreeSet::new();
    for n in 0..1500 {
        let now = f64::from(n) * 0.02;
        let (id, actions) = harness.submit(now);
        let Some(mut to) = sent_to(&actions) else { continue };
        for attempt in 0..3 {
            if now < 2.0 || to.0 % 2 == 0 {
                harness.end_attempt(now + 0.01, id, attempt, to, Ending::Served);
                break;
            }
            failed.insert(to);
            let Some(next) =
                sent_to(&harness.end_attempt(now + 0.01, id, attempt, to, Ending::ConnectFailed))
            else {
                break;
            };
            to = next;
        }
    }
    assert!((1..=6).contains(&failed.len()), "{failed:?}");
}
