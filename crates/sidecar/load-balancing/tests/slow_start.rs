//! Slow start: limited traffic for a recently started upstream.

mod common;

use common::*;
use passrelay_load_balancing::*;

#[test]
fn an_upstream_in_slow_start_gets_little_traffic() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), (1..=4).map(entry).collect());
    let mut cold = 0;
    for n in 0..400 {
        let now = f64::from(n) * 0.02;
        if n == 200 {
            harness.handle_at(
                now,
                Event::EndpointChanges(vec![EndpointEntry { started: Some(now), ..entry(4) }]),
            );
        }
        let (id, actions) = harness.submit(now);
        let to = sent_to(&actions).unwrap();
        cold += usize::from((200..300).contains(&n) && to.0 == 4);
        harness.end_attempt(now + 0.01, id, 0, to, Ending::Served);
    }
    // An upstream past its slow start would get 33 of these 100 requests; this one starts with a fifth of its capacity.
    assert!((1..=14).contains(&cold), "{cold}");
}

#[test]
fn many_instances_together_do_not_overload_an_upstream_in_slow_start() {
    // Twenty instances observe the same start. Each of them sends only little traffic to the upstream.
    let settings = Settings {
        instances: 20,
        overload_factor: 3.0,
        overload_window: 1.0,
        ..settings(Idempotency::Idempotent)
    };
    let mut to_cold = Vec::new();
    for seed in 0..20 {
        let settings = Settings { rank: seed as usize, ..settings.clone() };
        let mut balancer = Balancer::new(settings, seed, 0.0).unwrap();
        let mut actions = Vec::new();
        balancer.handle(0.0, Event::EndpointList((1..=4).map(entry).collect()), &mut actions);
        for n in 0..60 {
            let now = f64::from(n) * 0.1;
            if n == 30 {
                let cold = EndpointEntry { started: Some(now), ..entry(4) };
                balancer.handle(now, Event::EndpointChanges(vec![cold]), &mut actions);
            }
            actions.clear();
            let id = RequestId(n as u64);
            let client_timeout = 2.0;
            let event = Event::Request {
                id,
                class: ClassId(0),
                tenant: None,
                client_timeout,
                work_hint: None,
                repeat: false,
            };
            balancer.handle(now, event, &mut actions);
            let Some(to) = sent_to(&actions) else { continue };
            to_cold.extend((n >= 30 && to.0 == 4).then_some(now));
            let done = Outcome {
                id,
                attempt: 0,
                upstream: to,
                ending: Ending::Served,
                elapsed: 0.05,
                last: true,
                report: None,
            };
            balancer.handle(now + 0.05, Event::Outcome(done), &mut actions);
        }
    }
    // Upstreams past their slow start get about 50 requests per second here. This one has a fifth of that capacity at
    // first, and fails at three times as much. With fewer than a fifth of the latter, the others would have to serve
    // nearly all requests.
    let first_second = to_cold.iter().filter(|t| **t < 4.0).count();
    assert!((6..=24).contains(&first_second), "{first_second}");
}
