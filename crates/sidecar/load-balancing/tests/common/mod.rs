//! A small driver around the public API.
#![allow(dead_code)]

use passrelay_load_balancing::*;

pub fn entry(id: u64) -> EndpointEntry {
    EndpointEntry {
        upstream: UpstreamId(id),
        zone: ZoneId(0),
        cell: 0,
        state: EndpointState::Running,
        started: None,
    }
}

pub fn settings(idempotency: Idempotency) -> Settings {
    Settings { classes: vec![Class { idempotency, ..Class::default() }], ..Settings::default() }
}

/// A balancer with a clock and a source of request ids.
pub struct Harness {
    pub balancer: Balancer,
    pub now: f64,
    pub next: u64,
}

impl Harness {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        let mut harness = Harness { balancer: Balancer::new(settings, 1, 0.0).unwrap(), now: 0.0, next: 0 };
        harness.at(0.0, Event::EndpointList(entries));
        harness
    }

    pub fn at(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.now = now;
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        actions
    }

    /// Submits a request of class 0 and returns its id with the actions.
    pub fn submit(&mut self, now: f64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let event = Event::Request {
            id,
            class: ClassId(0),
            tenant: None,
            client_timeout: 2.0,
            work_hint: None,
            repeat: false,
        };
        let actions = self.at(now, event);
        (id, actions)
    }

    pub fn end(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        to: UpstreamId,
        ending: Ending,
    ) -> Vec<Action> {
        self.end_with(now, id, attempt, to, ending, None)
    }

    pub fn end_with(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        to: UpstreamId,
        ending: Ending,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        let last = ending == Ending::Served;
        self.at(
            now,
            Event::Outcome(Outcome { id, attempt, upstream: to, ending, elapsed: 0.1, last, report }),
        )
    }
}

/// The upstream of the first send among the actions.
pub fn sent(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|a| match a {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

pub fn finals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count()
}

/// A load report with the CPU alone.
pub fn cpu_report(value: f64) -> Option<LoadReport> {
    Some(LoadReport { cpu: Some(value), ..LoadReport::default() })
}

/// A load report with requests at the server and in its queue.
pub fn queue_report(active: f64, waiting: f64) -> Option<LoadReport> {
    Some(LoadReport { in_flight: Some(active), queued: Some(waiting), ..LoadReport::default() })
}

/// Two zones of four upstreams; returns a harness that has served 80 requests of 0.1 s.
pub fn serve_two_zones(idempotency: Idempotency) -> Harness {
    let zones = (1..=8).map(|n| EndpointEntry { zone: ZoneId((n % 2) as usize), ..entry(n) }).collect();
    let mut harness = Harness::new(Settings { allow_cancel: true, ..settings(idempotency) }, zones);
    for n in 0..80 {
        let now = f64::from(n) * 0.1;
        let (id, actions) = harness.submit(now);
        harness.end(now + 0.1, id, 0, sent(&actions).unwrap(), Ending::Served);
    }
    harness
}

/// Sends one request of a class, ends it, and returns its upstream.
pub fn request_once(
    harness: &mut Harness,
    class: usize,
    ending: impl Fn(UpstreamId) -> Ending,
) -> UpstreamId {
    harness.next += 1;
    let (id, now) = (RequestId(harness.next), harness.now + 0.01);
    let (class, tenant, client_timeout, work_hint) = (ClassId(class), None, 2.0, None);
    let actions =
        harness.at(now, Event::Request { id, class, tenant, client_timeout, work_hint, repeat: false });
    let to = sent(&actions).expect("a node");
    harness.end(now + 0.01, id, 0, to, ending(to));
    to
}

/// Submits a request of class 0 with this work hint.
pub fn submit_with_cost(harness: &mut Harness, now: f64, work: f64) -> (RequestId, Vec<Action>) {
    harness.next += 1;
    let (id, class, client_timeout) = (RequestId(harness.next), ClassId(0), 4.0);
    let event =
        Event::Request { id, class, tenant: None, client_timeout, work_hint: Some(work), repeat: false };
    (id, harness.at(now, event))
}

/// Serves the first attempt of a request at `now`, this long after it was sent.
pub fn serve(harness: &mut Harness, now: f64, id: RequestId, upstream: UpstreamId, elapsed: f64) {
    let (ending, last, report) = (Ending::Served, true, None);
    harness.at(now, Event::Outcome(Outcome { id, attempt: 0, upstream, ending, elapsed, last, report }));
}

/// Serves 200 requests, each after twice its work at upstream 1 and `slower` times that elsewhere; returns the time
/// of the last response.
pub fn observe_service_times(harness: &mut Harness, works: &[f64], slower: f64) -> f64 {
    let mut now = 0.0;
    for work in works.iter().copied().cycle().take(200) {
        let (id, actions) = submit_with_cost(harness, now, work);
        let to = sent(&actions).expect("a node");
        let elapsed = 2.0 * work * if to == UpstreamId(1) { 1.0 } else { slower };
        now += elapsed;
        serve(harness, now, id, to, elapsed);
    }
    now
}
