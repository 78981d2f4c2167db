//! What one request costs in the balancer: its arrival with the selection, and its outcome.
// The macros make functions of their own.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use passrelay_load_balancing::*;

/// A balancer with a clock and a source of request ids.
struct Bench {
    balancer: Balancer,
    now: f64,
    next: u64,
    actions: Vec<Action>,
}

impl Bench {
    fn new(nodes: u64) -> Bench {
        let class = |idempotency| Class { latency_target: 2.5, idempotency, ..Class::default() };
        let classes = vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(Idempotency::NonIdempotent),
            class(Idempotency::NonIdempotent),
        ];
        let settings = Settings {
            classes,
            allow_cancel: true,
            allow_concurrent_attempts: true,
            max_attempts: 4,
            ..Settings::default()
        };
        let balancer = Balancer::new(settings, 7, 0.0).expect("the settings make sense");
        let mut bench = Bench { balancer, now: 0.0, next: 0, actions: Vec::new() };
        let entry = |n| EndpointEntry {
            upstream: UpstreamId(n),
            zone: ZoneId(0),
            cell: 0,
            state: EndpointState::Running,
            started: None,
        };
        bench.handle(Event::EndpointList((0..nodes).map(entry).collect()));
        // Every node has served every class.
        for _ in 0..nodes * 6 {
            bench.request(5.0);
        }
        bench
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    fn arrive(&mut self, client_timeout: f64) -> Option<(RequestId, UpstreamId)> {
        self.next += 1;
        let (id, class) = (RequestId(self.next), ClassId((self.next % 4) as usize));
        self.handle(Event::Request {
            id,
            class,
            tenant: None,
            client_timeout,
            work_hint: None,
            repeat: false,
        });
        self.actions.iter().find_map(|a| match a {
            Action::Send { id, upstream, .. } => Some((*id, *upstream)),
            _ => None,
        })
    }

    /// One request and its outcome.
    fn request(&mut self, client_timeout: f64) {
        self.now += 0.0005;
        let Some((id, upstream)) = self.arrive(client_timeout) else { return };
        self.now += 0.0005;
        let report = Some(LoadReport { cpu: Some(0.4), rps: Some(90.0), ..LoadReport::default() });
        let (attempt, ending) = (0, Ending::Served);
        self.handle(Event::Outcome(Outcome {
            id,
            attempt,
            upstream,
            ending,
            elapsed: 0.05,
            last: true,
            report,
        }));
    }
}

fn nodes(c: &mut Criterion) {
    let mut group = c.benchmark_group("request_by_nodes");
    for nodes in [10, 100, 1000, 5000] {
        let mut bench = Bench::new(nodes);
        group.bench_function(BenchmarkId::from_parameter(nodes), |b| b.iter(|| bench.request(5.0)));
    }
    group.finish();
}

fn pending(c: &mut Criterion) {
    let mut group = c.benchmark_group("request_by_held");
    for held in [1, 100, 2000] {
        let mut bench = Bench::new(10);
        // Without answers, requests are sent until the limit is reached, and then queued.
        let mut waiting = 0;
        while waiting < held {
            waiting += u64::from(bench.arrive(1e9).is_none());
        }
        group.bench_function(BenchmarkId::from_parameter(held), |b| {
            b.iter(|| bench.handle(Event::Wake(7)));
        });
    }
    group.finish();
}

criterion_group!(benches, nodes, pending);
criterion_main!(benches);
