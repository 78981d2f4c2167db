//! Cost of one request in the balancer: its arrival, which includes the selection of an upstream, and its outcome.
// The macros of criterion generate undocumented functions.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use passrelay_load_balancing::*;

/// A balancer with a clock and a counter of request ids.
struct Bench {
    balancer: Balancer,
    now: f64,
    last_request: u64,
    actions: Vec<Action>,
}

impl Bench {
    fn new(upstreams: u64) -> Bench {
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
        let balancer = Balancer::new(settings, 7, 0.0).expect("the settings are valid");
        let mut bench = Bench { balancer, now: 0.0, last_request: 0, actions: Vec::new() };
        let entry = |n| EndpointEntry {
            upstream: UpstreamId(n),
            zone: ZoneId(0),
            cell: 0,
            state: EndpointState::Running,
            started: None,
        };
        bench.handle(Event::EndpointList((0..upstreams).map(entry).collect()));
        // Enough requests that every upstream has served every class.
        for _ in 0..upstreams * 6 {
            bench.request(5.0);
        }
        bench
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Submits a request; returns its id and its upstream if it is sent at once.
    fn submit(&mut self, client_timeout: f64) -> Option<(RequestId, UpstreamId)> {
        self.last_request += 1;
        let (id, class) = (RequestId(self.last_request), ClassId((self.last_request % 4) as usize));
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

    /// Submits one request and reports that it was served.
    fn request(&mut self, client_timeout: f64) {
        self.now += 0.0005;
        let Some((id, upstream)) = self.submit(client_timeout) else { return };
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

fn by_upstreams(c: &mut Criterion) {
    let mut group = c.benchmark_group("request_by_nodes");
    for upstreams in [10, 100, 1000, 5000] {
        let mut bench = Bench::new(upstreams);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| b.iter(|| bench.request(5.0)));
    }
    group.finish();
}

fn by_pending_requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("request_by_held");
    for pending in [1, 100, 2000] {
        let mut bench = Bench::new(10);
        // Without answers, requests are sent until the concurrency limit is reached; further ones stay queued.
        let mut queued = 0;
        while queued < pending {
            queued += u64::from(bench.submit(1e9).is_none());
        }
        group.bench_function(BenchmarkId::from_parameter(pending), |b| {
            b.iter(|| bench.handle(Event::Wake(7)));
        });
    }
    group.finish();
}

criterion_group!(benches, by_upstreams, by_pending_requests);
criterion_main!(benches);
