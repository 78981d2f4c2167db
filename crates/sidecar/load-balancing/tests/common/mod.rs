//! Test harness around the public API of the balancer.
#![allow(dead_code)]

use passrelay_load_balancing::*;

/// A running upstream in zone 0 and cell 0 that started long ago.
pub fn entry(id: u64) -> EndpointEntry {
    EndpointEntry {
        upstream: UpstreamId(id),
        zone: ZoneId(0),
        cell: 0,
        state: EndpointState::Running,
        started: None,
    }
}

/// Settings of a single instance with one class.
pub fn settings(idempotency: Idempotency) -> Settings {
    Settings { classes: vec![Class { idempotency, ..Class::default() }], ..Settings::default() }
}

/// A balancer with a clock and a counter of request ids.
pub struct Harness {
    pub balancer: Balancer,
    /// Time of the latest event.
    pub now: f64,
    /// Id of the latest request; 0 before the first one.
    pub last_request: u64,
}

impl Harness {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        let mut harness =
            Harness { balancer: Balancer::new(settings, 1, 0.0).unwrap(), now: 0.0, last_request: 0 };
        harness.handle_at(0.0, Event::EndpointList(entries));
        harness
    }

    /// Passes an event to the balancer at `now` and returns its actions.
    pub fn handle_at(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.now = now;
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        actions
    }

    /// Submits a request of class 0 and returns its id and the resulting actions.
    pub fn submit(&mut self, now: f64) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let event = Event::Request {
            id,
            class: ClassId(0),
            tenant: None,
            client_timeout: 2.0,
            work_hint: None,
            repeat: false,
        };
        let actions = self.handle_at(now, event);
        (id, actions)
    }

    /// Ends an attempt 0.1 s after it was sent, without a load report, and returns the resulting actions.
    pub fn end_attempt(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        to: UpstreamId,
        ending: Ending,
    ) -> Vec<Action> {
        self.end_attempt_with_report(now, id, attempt, to, ending, None)
    }

    /// Ends an attempt 0.1 s after it was sent, and returns the resulting actions.
    pub fn end_attempt_with_report(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        to: UpstreamId,
        ending: Ending,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        let last = ending == Ending::Served;
        self.handle_at(
            now,
            Event::Outcome(Outcome { id, attempt, upstream: to, ending, elapsed: 0.1, last, report }),
        )
    }
}

/// Returns the upstream of the first send among the actions.
pub fn sent_to(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|a| match a {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

/// Returns the number of final answers among the actions.
pub fn final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count()
}

/// A load report that contains only the CPU utilization.
pub fn cpu_report(value: f64) -> Option<LoadReport> {
    Some(LoadReport { cpu: Some(value), ..LoadReport::default() })
}

/// A load report with the number of requests at the upstream and how many of these are queued.
pub fn queue_report(in_flight: f64, queued: f64) -> Option<LoadReport> {
    Some(LoadReport { in_flight: Some(in_flight), queued: Some(queued), ..LoadReport::default() })
}

/// Returns a harness with two zones of four upstreams each, which have served 80 requests in 0.1 s each.
pub fn serve_two_zones(idempotency: Idempotency) -> Harness {
    let zones = (1..=8).map(|n| EndpointEntry { zone: ZoneId((n % 2) as usize), ..entry(n) }).collect();
    let mut harness = Harness::new(Settings { allow_cancel: true, ..settings(idempotency) }, zones);
    for n in 0..80 {
        let now = f64::from(n) * 0.1;
        let (id, actions) = harness.submit(now);
        harness.end_attempt(now + 0.1, id, 0, sent_to(&actions).unwrap(), Ending::Served);
    }
    harness
}

/// Sends one request of a class, ends it, and returns the upstream to which it was sent.
pub fn request_once(
    harness: &mut Harness,
    class: usize,
    ending: impl Fn(UpstreamId) -> Ending,
) -> UpstreamId {
    harness.last_request += 1;
    let (id, now) = (RequestId(harness.last_request), harness.now + 0.01);
    let (class, tenant, client_timeout, work_hint) = (ClassId(class), None, 2.0, None);
    let actions = harness
        .handle_at(now, Event::Request { id, class, tenant, client_timeout, work_hint, repeat: false });
    let to = sent_to(&actions).expect("the request is sent at once");
    harness.end_attempt(now + 0.01, id, 0, to, ending(to));
    to
}

/// Submits a request of class 0 with this work hint.
pub fn submit_with_cost(harness: &mut Harness, now: f64, work: f64) -> (RequestId, Vec<Action>) {
    harness.last_request += 1;
    let (id, class, client_timeout) = (RequestId(harness.last_request), ClassId(0), 4.0);
    let event =
        Event::Request { id, class, tenant: None, client_timeout, work_hint: Some(work), repeat: false };
    (id, harness.handle_at(now, event))
}

/// Reports at `now` that the first attempt of a request was served, `elapsed` seconds after it was sent.
pub fn serve(harness: &mut Harness, now: f64, id: RequestId, upstream: UpstreamId, elapsed: f64) {
    let (ending, last, report) = (Ending::Served, true, None);
    harness
        .handle_at(now, Event::Outcome(Outcome { id, attempt: 0, upstream, ending, elapsed, last, report }));
}

/// Serves 200 requests one after the other: upstream 1 takes twice the work of each, other upstreams take `slower`
/// times that. Returns the time of the last response.
pub fn observe_service_times(harness: &mut Harness, works: &[f64], slower: f64) -> f64 {
    let mut now = 0.0;
    for work in works.iter().copied().cycle().take(200) {
        let (id, actions) = submit_with_cost(harness, now, work);
        let to = sent_to(&actions).expect("the request is sent at once");
        let elapsed = 2.0 * work * if to == UpstreamId(1) { 1.0 } else { slower };
        now += elapsed;
        serve(harness, now, id, to, elapsed);
    }
    now
}
