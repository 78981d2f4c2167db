//! A simulation of the clients, the upstreams and the endpoint list of one balancer, driven by one seeded generator.

use passrelay_load_balancing::*;
use std::collections::BTreeMap;

/// Number of events of one run; all runs together have about 30,000.
const EVENTS: usize = 5_000;

/// A linear congruential generator, independent of the balancer's own generator.
struct Generator(u64);

impl Generator {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }

    /// Returns a number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns a number in `[0, 1)`, in steps that floating point numbers represent exactly.
    fn fraction(&mut self) -> f64 {
        self.below(1 << 20) as f64 / (1 << 20) as f64
    }

    /// Returns `true` with a probability of `percent`.
    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// A 64-bit FNV-1a digest of 64-bit words.
struct Digest(u64);

impl Digest {
    fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn add_action(&mut self, action: &Action) {
        let optional = |value: Option<f64>| value.map_or(u64::MAX, f64::to_bits);
        let words = match *action {
            Action::Send { id, upstream, timeout } => [1, id.0, upstream.0, optional(timeout)],
            Action::Cancel { id, attempt } => [2, id.0, u64::from(attempt), 0],
            Action::Reject { id, retry_after } => [3, id.0, optional(retry_after), 0],
            Action::Fail { id } => [4, id.0, 0, 0],
            Action::Wake { after, token } => [5, after.to_bits(), token, 0],
            Action::HealthCheck(upstream) => [6, upstream.0, 0, 0],
            Action::Subscribe => [7, 0, 0, 0],
        };
        words.into_iter().for_each(|word| self.add(word));
    }
}

/// An event that is scheduled for a later time.
enum ScheduledEvent {
    AttemptEnds { id: RequestId, attempt: u32, upstream: UpstreamId, sent_at: f64, ending: Ending },
    HealthCheckEnds { upstream: UpstreamId, sent_at: f64, ending: Ending },
    Wake(u64),
}

/// The upstreams, the clients and the endpoint list of one balancer, all driven by one generator.
pub struct Simulation {
    generator: Generator,
    pub balancer: Balancer,
    digest: Digest,
    now: f64,
    pub classes: u64,
    pub tenants: u64,
    entries: Vec<EndpointEntry>,
    next_request: u64,
    /// Number of the event that was scheduled last.
    last_scheduled: u64,
    /// Scheduled events, by time (as the bits of a positive float, which sort like the float) and number.
    scheduled_events: BTreeMap<(u64, u64), ScheduledEvent>,
    /// Number of the latest attempt of each request.
    attempts: BTreeMap<RequestId, u32>,
    /// Requests without a final answer, from which those are chosen whose client disconnects or whose response starts.
    open: Vec<RequestId>,
    /// Number of actions of each kind so far.
    pub kinds: [usize; 7],
}

impl Simulation {
    pub fn new(settings: Settings, seed: u64, upstreams: u64) -> Self {
        let classes = settings.classes.len() as u64;
        let tenants = settings.tenants.len() as u64;
        let balancer = Balancer::new(settings, seed, 0.0).unwrap();
        let entries = (1..=upstreams).map(|number| EndpointEntry {
            upstream: UpstreamId(number),
            zone: ZoneId((number % 3) as usize),
            cell: number % 4,
            state: EndpointState::Running,
            started: None,
        });
        Simulation {
            generator: Generator(seed.wrapping_mul(977)),
            balancer,
            digest: Digest(0xcbf2_9ce4_8422_2325),
            now: 0.0,
            classes,
            tenants,
            entries: entries.collect(),
            next_request: 0,
            last_scheduled: 0,
            scheduled_events: BTreeMap::new(),
            attempts: BTreeMap::new(),
            open: Vec::new(),
            kinds: [0; 7],
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.digest.add_action(&action);
            self.apply(action);
        }
    }

    fn schedule(&mut self, after: f64, event: ScheduledEvent) {
        self.last_scheduled += 1;
        self.scheduled_events.insert(((self.now + after).to_bits(), self.last_scheduled), event);
    }

    fn apply(&mut self, action: Action) {
        let kind = match action {
            Action::Send { id, upstream, .. } => {
                let attempt = self.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                let attempt = *attempt;
                let (after, ending) = self.outcome_of(upstream, attempt);
                let sent_at = self.now;
                self.schedule(after, ScheduledEvent::AttemptEnds { id, attempt, upstream, sent_at, ending });
                0
            }
            Action::Cancel { id, attempt } => {
                for event in self.scheduled_events.values_mut() {
                    if let ScheduledEvent::AttemptEnds { id: request, attempt: number, ending, .. } = event {
                        if (*request, *number) == (id, attempt) {
                            *ending = Ending::Cancelled;
                        }
                    }
                }
                1
            }
            Action::Reject { id, .. } => {
                self.open.retain(|open| *open != id);
                2
            }
            Action::Fail { id } => {
                self.open.retain(|open| *open != id);
                3
            }
            Action::Wake { after, token } => {
                self.schedule(after.max(0.001), ScheduledEvent::Wake(token));
                4
            }
            Action::HealthCheck(upstream) => {
                let sent_at = self.now;
                let ending = if self.generator.chance(3) { Ending::ConnectFailed } else { Ending::Served };
                let after = 0.001 + 0.002 * self.generator.fraction();
                self.schedule(after, ScheduledEvent::HealthCheckEnds { upstream, sent_at, ending });
                5
            }
            Action::Subscribe => 6,
        };
        self.kinds[kind] += 1;
    }

    /// Returns after which time and how an attempt at an upstream ends: some upstreams are slow, some fail, and at
    /// times a whole zone does not answer.
    fn outcome_of(&mut self, upstream: UpstreamId, attempt: u32) -> (f64, Ending) {
        let slow = if upstream.0 % 7 == 3 { 3.0 } else { 1.0 };
        let time = slow * (0.02 + 0.3 * self.generator.fraction() * self.generator.fraction());
        let zone_lost = upstream.0 % 3 == 1 && (8.0..11.0).contains(&(self.now % 20.0));
        let down = upstream.0 % 5 == 2 && (3.0..5.0).contains(&(self.now % 12.0));
        if zone_lost {
            return (2.0, Ending::TimedOut);
        }
        if down {
            return (0.002, Ending::ConnectFailed);
        }
        let ending = match self.generator.below(100) {
            0..=2 => Ending::UpstreamError,
            3..=4 => Ending::ConnectionLost,
            5..=6 => Ending::Shed,
            7 => Ending::TimedOut,
            8 => Ending::NotSent,
            9 if attempt > 0 => Ending::Cancelled,
            _ => Ending::Served,
        };
        (if ending == Ending::TimedOut { 1.5 } else { time }, ending)
    }

    fn report(&mut self) -> Option<LoadReport> {
        let active = self.generator.below(6) as f64;
        let waiting = self.generator.below(3) as f64;
        let cpu = self.generator.fraction();
        let report = match self.generator.below(5) {
            0 => return None,
            1 => LoadReport { cpu: Some(cpu), ..LoadReport::default() },
            2 => LoadReport { in_flight: Some(active), cpu: Some(cpu), ..LoadReport::default() },
            3 => LoadReport { in_flight: Some(active), queued: Some(waiting), ..LoadReport::default() },
            _ => LoadReport {
                in_flight: Some(active + waiting),
                queued: Some(waiting),
                cpu: Some(cpu),
                ..LoadReport::default()
            },
        };
        Some(report)
    }

    /// Submits a request of a random class and tenant; half of the requests have a work hint.
    fn request(&mut self) {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let class = ClassId(self.generator.below(self.classes) as usize);
        let tenant = self.generator.chance(60) && self.tenants > 0;
        let tenant = if tenant { Some(TenantId(self.generator.below(self.tenants) as usize)) } else { None };
        let client_timeout =
            if self.generator.chance(2) { f64::INFINITY } else { 0.2 + 3.0 * self.generator.fraction() };
        let hint = 0.02 + 0.2 * self.generator.fraction();
        let hint = if self.generator.chance(4) { hint * 20.0 } else { hint };
        let work_hint = self.generator.chance(50).then_some(hint);
        let repeat = self.generator.chance(5);
        self.open.push(id);
        self.handle(Event::Request { id, class, tenant, client_timeout, work_hint, repeat });
    }

    /// Changes the endpoint list: one upstream drains, is removed, returns or restarts. Sometimes the full list is
    /// sent, or the call for it fails.
    fn change_list(&mut self) {
        if self.generator.chance(20) {
            return self.handle(Event::EndpointListFailed);
        }
        let index = self.generator.below(self.entries.len() as u64) as usize;
        let now = self.now;
        let unavailable = self.entries.iter().filter(|e| e.state != EndpointState::Running).count();
        let change = if unavailable * 3 > self.entries.len() { 2 } else { self.generator.below(5) };
        let entry = &mut self.entries[index];
        match change {
            0 => entry.state = EndpointState::Draining,
            1 => entry.state = EndpointState::Removed,
            2 => entry.state = EndpointState::Running,
            _ => {
                entry.state = EndpointState::Running;
                entry.started = Some(now);
            }
        }
        let entry = *entry;
        if self.generator.chance(30) {
            let listed = self.entries.iter().filter(|e| e.state != EndpointState::Removed);
            let listed = listed.copied().collect();
            self.handle(Event::EndpointList(listed));
        } else {
            self.handle(Event::EndpointChanges(vec![entry]));
        }
    }

    fn fire(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::AttemptEnds { id, attempt, upstream, sent_at, ending } => {
                let report = self.report();
                let last = ending == Ending::Served;
                if last {
                    self.open.retain(|open| *open != id);
                }
                let elapsed = self.now - sent_at;
                self.handle(Event::Outcome(Outcome { id, attempt, upstream, ending, elapsed, last, report }));
            }
            ScheduledEvent::HealthCheckEnds { upstream, sent_at, ending } => {
                let report = self.report();
                let elapsed = self.now - sent_at;
                self.handle(Event::HealthCheckEnded { upstream, ending, elapsed, report });
            }
            ScheduledEvent::Wake(token) => self.handle(Event::Wake(token)),
        }
    }

    /// Runs the simulation and returns the digest of all actions. `gap` is the mean time between external events.
    pub fn run(&mut self, gap: f64) -> u64 {
        let all = self.entries.clone();
        self.handle(Event::EndpointList(all));
        let mut next_external = gap;
        for _ in 0..EVENTS {
            let next = self.scheduled_events.keys().next().map(|(at, _)| f64::from_bits(*at));
            if let Some(at) = next.filter(|at| *at <= next_external) {
                self.now = self.now.max(at);
                let (_, event) = self.scheduled_events.pop_first().unwrap();
                self.fire(event);
                continue;
            }
            self.now = self.now.max(next_external);
            // Bursts: half of the time, external events are three times as frequent.
            let in_burst = (self.now % 6.0) < 3.0;
            next_external += gap * 2.0 * self.generator.fraction() * if in_burst { 0.5 } else { 1.5 };
            match self.generator.below(1000) {
                0..=4 => self.change_list(),
                5..=14 => {
                    if let Some(id) = self.open.pop() {
                        self.handle(Event::ClientDisconnected(id));
                    }
                }
                15..=19 => {
                    if let Some(id) = self.open.first().copied() {
                        let attempt = self.attempts.get(&id).copied().unwrap_or(0);
                        self.handle(Event::ResponseStarted { id, attempt });
                    }
                }
                _ => self.request(),
            }
        }
        self.digest.0
    }
}
