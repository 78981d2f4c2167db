//! A closed simulation round one balancer: clients, upstreams and the endpoint list, driven by one seeded generator.

use passrelay_load_balancing::*;
use std::collections::BTreeMap;

/// Events of one run; the runs together take some 30,000.
const EVENTS: usize = 5_000;

/// A multiplicative congruential generator of the test's own, apart from the module's.
struct Generator(u64);

impl Generator {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }

    /// A number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// A number from 0 up to 1, in steps that a float holds exactly.
    fn fraction(&mut self) -> f64 {
        self.below(1 << 20) as f64 / (1 << 20) as f64
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// FNV-1a over 64-bit words.
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
            Action::Send { id, upstream, timeout: patience } => [1, id.0, upstream.0, optional(patience)],
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

/// An event that comes due.
enum Due {
    AttemptEnds { id: RequestId, attempt: u32, upstream: UpstreamId, sent: f64, ending: Ending },
    ProbeEnds { upstream: UpstreamId, sent: f64, ending: Ending },
    Wake(u64),
}

/// Upstreams, clients and the endpoint list round one balancer, all by one generator.
pub struct Simulation {
    generator: Generator,
    pub balancer: Balancer,
    digest: Digest,
    now: f64,
    pub classes: u64,
    pub tenants: u64,
    entries: Vec<EndpointEntry>,
    next_request: u64,
    next_due: u64,
    /// By time (as bits of a positive float, which sort as the float) and number.
    due: BTreeMap<(u64, u64), Due>,
    attempts: BTreeMap<RequestId, u32>,
    /// Requests without a final answer, for clients that disconnect and streams that begin.
    open: Vec<RequestId>,
    /// How many actions of each kind there were.
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
            next_due: 0,
            due: BTreeMap::new(),
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

    fn schedule(&mut self, after: f64, due: Due) {
        self.next_due += 1;
        self.due.insert(((self.now + after).to_bits(), self.next_due), due);
    }

    fn apply(&mut self, action: Action) {
        let kind = match action {
            Action::Send { id, upstream, .. } => {
                let attempt = self.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                let attempt = *attempt;
                let (after, ending) = self.fate(upstream, attempt);
                let sent = self.now;
                self.schedule(after, Due::AttemptEnds { id, attempt, upstream, sent, ending });
                0
            }
            Action::Cancel { id, attempt } => {
                for due in self.due.values_mut() {
                    if let Due::AttemptEnds { id: of, attempt: number, ending, .. } = due {
                        if (*of, *number) == (id, attempt) {
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
                self.schedule(after.max(0.001), Due::Wake(token));
                4
            }
            Action::HealthCheck(upstream) => {
                let sent = self.now;
                let ending = if self.generator.chance(3) { Ending::ConnectFailed } else { Ending::Served };
                let after = 0.001 + 0.002 * self.generator.fraction();
                self.schedule(after, Due::ProbeEnds { upstream, sent, ending });
                5
            }
            Action::Subscribe => 6,
        };
        self.kinds[kind] += 1;
    }

    /// How an attempt at an upstream will end: some are slow, some fail, one zone is away for a while.
    fn fate(&mut self, upstream: UpstreamId, attempt: u32) -> (f64, Ending) {
        let slow = if upstream.0 % 7 == 3 { 3.0 } else { 1.0 };
        let time = slow * (0.02 + 0.3 * self.generator.fraction() * self.generator.fraction());
        let lost = upstream.0 % 3 == 1 && (8.0..11.0).contains(&(self.now % 20.0));
        let down = upstream.0 % 5 == 2 && (3.0..5.0).contains(&(self.now % 12.0));
        if lost {
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

    /// A request of a random class and tenant; half of them have a work hint.
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

    /// A change of the endpoint list: one drains, goes, comes back or restarts; now and then the full list.
    fn change_list(&mut self) {
        if self.generator.chance(20) {
            return self.handle(Event::EndpointListFailed);
        }
        let at = self.generator.below(self.entries.len() as u64) as usize;
        let now = self.now;
        let away = self.entries.iter().filter(|e| e.state != EndpointState::Running).count();
        let change = if away * 3 > self.entries.len() { 2 } else { self.generator.below(5) };
        let entry = &mut self.entries[at];
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
            let all = self.entries.iter().filter(|e| e.state != EndpointState::Removed);
            let all = all.copied().collect();
            self.handle(Event::EndpointList(all));
        } else {
            self.handle(Event::EndpointChanges(vec![entry]));
        }
    }

    fn fire(&mut self, due: Due) {
        match due {
            Due::AttemptEnds { id, attempt, upstream, sent, ending } => {
                let report = self.report();
                let last = ending == Ending::Served;
                if last {
                    self.open.retain(|open| *open != id);
                }
                let elapsed = self.now - sent;
                self.handle(Event::Outcome(Outcome { id, attempt, upstream, ending, elapsed, last, report }));
            }
            Due::ProbeEnds { upstream, sent, ending } => {
                let report = self.report();
                let elapsed = self.now - sent;
                self.handle(Event::HealthCheckEnded { upstream, ending, elapsed, report });
            }
            Due::Wake(token) => self.handle(Event::Wake(token)),
        }
    }

    /// Runs the stream and gives the digest. `gap` is the mean time between what comes from outside.
    pub fn run(&mut self, gap: f64) -> u64 {
        let all = self.entries.clone();
        self.handle(Event::EndpointList(all));
        let mut outside = gap;
        for _ in 0..EVENTS {
            let next = self.due.keys().next().map(|(at, _)| f64::from_bits(*at));
            if let Some(at) = next.filter(|at| *at <= outside) {
                self.now = self.now.max(at);
                let (_, due) = self.due.pop_first().unwrap();
                self.fire(due);
                continue;
            }
            self.now = self.now.max(outside);
            // Bursts: half of the time three times as many.
            let crowded = (self.now % 6.0) < 3.0;
            outside += gap * 2.0 * self.generator.fraction() * if crowded { 0.5 } else { 1.5 };
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
