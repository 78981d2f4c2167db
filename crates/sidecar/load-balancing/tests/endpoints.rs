//! Endpoint list: updates, subscription and subsetting.

mod common;

use common::*;
use passrelay_load_balancing::*;
use std::collections::BTreeSet;

#[test]
fn draining_and_absent_upstreams_get_no_new_attempts() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), (1..=3).map(entry).collect());
    harness.handle_at(
        0.1,
        Event::EndpointChanges(vec![EndpointEntry { state: EndpointState::Draining, ..entry(1) }]),
    );
    harness.handle_at(
        0.1,
        Event::EndpointList(vec![EndpointEntry { state: EndpointState::Draining, ..entry(1) }, entry(2)]),
    );
    for _ in 0..10 {
        assert_eq!(sent_to(&harness.submit(0.2).1), Some(UpstreamId(2)));
    }
}

#[test]
fn a_failed_subscription_is_renewed_with_backoff() {
    let settings = Settings { list_by_subscription: true, ..settings(Idempotency::Idempotent) };
    let mut balancer = Balancer::new(settings, 5, 0.0).unwrap();
    let mut actions = Vec::new();
    balancer.handle(0.0, Event::EndpointList(vec![entry(1)]), &mut actions);
    assert!(actions.contains(&Action::Subscribe));
    let mut total = 0.0;
    for _ in 0..3 {
        actions.clear();
        balancer.handle(total, Event::EndpointListFailed, &mut actions);
        let [Action::Wake { after, token }] = actions[..] else { panic!("{actions:?}") };
        total += after;
        actions.clear();
        balancer.handle(total, Event::Wake(token), &mut actions);
        assert_eq!(actions, [Action::Subscribe]);
    }
    assert!(total < 10.0, "{total}");
}

#[test]
fn many_instances_spread_their_calls_to_a_failing_discovery_service() {
    // The calls of all instances fail at the same moment, and again each time. Each instance backs off with its own
    // jitter.
    let settings = Settings { list_by_subscription: true, ..settings(Idempotency::Idempotent) };
    let mut calls = [0; 20];
    for seed in 0..100 {
        let mut balancer = Balancer::new(settings.clone(), seed, 0.0).unwrap();
        let mut now = 0.0;
        balancer.handle(now, Event::EndpointList(vec![entry(1)]), &mut Vec::new());
        while now < 20.0 {
            let mut actions = Vec::new();
            balancer.handle(now, Event::EndpointListFailed, &mut actions);
            let [Action::Wake { after, token: 1 }] = actions[..] else { panic!("{actions:?}") };
            now += after;
            calls.get_mut(now as usize).into_iter().for_each(|c| *c += 1);
        }
    }
    // From the fifth second on, each instance calls every four seconds on average, not in lockstep with the others.
    assert!(calls[5..].iter().all(|c| (5..=60).contains(c)), "{calls:?}");
}

/// Returns the upstreams that an instance uses for `requests` requests that are answered at once, one each half second.
fn upstreams_used(harness: &mut Harness, requests: usize) -> Vec<u64> {
    let upstreams = (0..requests).map(|_| {
        let now = harness.now + 0.5;
        let (id, actions) = harness.submit(now);
        let to = sent_to(&actions).unwrap();
        harness.end_attempt_with_report(now, id, 0, to, Ending::Served, cpu_report(0.5));
        to.0
    });
    upstreams.collect()
}

#[test]
fn instances_prefer_subsets_that_together_use_all_upstreams_equally() {
    // If each of 100 instances used all of 60 upstreams, they would open 6,000 connections, and each would send
    // requests to every failing upstream.
    let mut counts = [0; 60];
    for rank in 0..100 {
        let settings = Settings { instances: 100, rank, ..settings(Idempotency::NonIdempotent) };
        let mut harness = Harness::new(settings, (0..60).map(entry).collect());
        let mut own = upstreams_used(&mut harness, 12);
        own.iter().for_each(|u| counts[*u as usize] += 1);
        own.sort_unstable();
        own.dedup();
        assert!((2..=3).contains(&own.len()), "{own:?}");
        // While the upstreams of its subset are fully loaded, the instance uses others.
        let others: Vec<_> = (0..9).filter_map(|_| sent_to(&harness.submit(harness.now).1)).collect();
        assert!(others.iter().any(|u| !own.contains(&u.0)), "{others:?}");
    }
    assert!(counts.iter().all(|c| (10..=30).contains(c)), "{counts:?}");
}

#[test]
fn a_single_instance_uses_all_upstreams() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), (0..9).map(entry).collect());
    let own: BTreeSet<_> = upstreams_used(&mut harness, 18).into_iter().collect();
    assert_eq!(own.len(), 9);
}

#[test]
fn a_draining_upstream_is_in_no_subset() {
    let settings = Settings { instances: 12, rank: 11, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, (1..=12).map(entry).collect());
    assert!(upstreams_used(&mut harness, 9).contains(&12));
    let draining = EndpointEntry { state: EndpointState::Draining, ..entry(12) };
    harness.handle_at(harness.now, Event::EndpointChanges(vec![draining]));
    // The subset is taken from the remaining upstreams.
    let own: BTreeSet<_> = upstreams_used(&mut harness, 9).into_iter().collect();
    assert!(own.len() == 3 && !own.contains(&12), "{own:?}");
}
