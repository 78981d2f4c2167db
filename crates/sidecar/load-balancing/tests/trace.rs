//! The balancer's decisions as version 0.2.0 made them before the renaming: a long pseudo-random series of events, and a
//! digest of every action that came of it.
//!
//! Only numbers go into the digest, no names. It holds exact fractions, so it is good for one mathematical library.

use passrelay_load_balancing::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Events in each series.
const EVENTS: usize = 20_000;
/// Seed, and the digests of the actions: of a balancer with everything allowed, of one that may cancel safe calls, and of a
/// plain one.
const EXPECTED: [(u64, [u64; 3]); 3] = [
    (1, [0xd43b_657f_94d8_43c3, 0x53eb_db46_b033_0cd8, 0x9ded_2ca3_831d_a5a7]),
    (2, [0x5200_56f3_585d_af58, 0x1759_ec5e_6dc5_ab1d, 0x77c6_7be8_c61b_f3f9]),
    (3, [0x5097_3409_b9e5_fcde, 0xd55f_ab51_6ed1_4089, 0x29d3_400f_7d9f_8d54]),
];

/// FNV-1a, 64 bits.
struct Digest(u64);

impl Digest {
    fn number(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    fn real(&mut self, real: f64) {
        self.number(real.to_bits());
    }

    fn optional(&mut self, real: Option<f64>) {
        self.number(u64::from(real.is_some()));
        self.real(real.unwrap_or(0.0));
    }

    /// Takes an action in, and gives a number for its kind.
    fn action(&mut self, action: &Action) -> u64 {
        let kind = match action {
            Action::Send { .. } => 1,
            Action::Cancel { .. } => 2,
            Action::Reject { .. } => 3,
            Action::Fail { .. } => 4,
            Action::Wake { .. } => 5,
            Action::HealthCheck(_) => 6,
            Action::Subscribe => 7,
        };
        self.number(kind);
        match *action {
            Action::Send { id, upstream, timeout } => {
                self.number(id.0);
                self.number(upstream.0);
                self.optional(timeout);
            }
            Action::Cancel { id, attempt } => {
                self.number(id.0);
                self.number(u64::from(attempt));
            }
            Action::Reject { id, retry_after } => {
                self.number(id.0);
                self.optional(retry_after);
            }
            Action::Fail { id } => self.number(id.0),
            Action::Wake { after, token } => {
                self.real(after);
                self.number(token);
            }
            Action::HealthCheck(upstream) => self.number(upstream.0),
            Action::Subscribe => {}
        }
        kind
    }
}

/// A small generator of its own (splitmix64), so that no library's version changes the series.
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// From 0 to 1.
    fn part(&mut self) -> f64 {
        self.below(1 << 20) as f64 / (1 << 20) as f64
    }

    fn happens(&mut self, part: f64) -> bool {
        self.part() < part
    }
}

/// Servers, callers and discovery around one balancer.
struct World {
    balancer: Balancer,
    chance: Chance,
    digest: Digest,
    /// In microseconds.
    now: u64,
    /// What is going to happen: when, a running number, and the event's place in `events`.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    /// Attempts sent so far, by request.
    attempts: BTreeMap<u64, u32>,
    /// The places in `events` of the outcomes that are to come, by request and attempt.
    outcomes: BTreeMap<(u64, u32), usize>,
    upstreams: Vec<EndpointEntry>,
    classes: u64,
    tenants: u64,
    next_request: u64,
    next_upstream: u64,
}

impl World {
    fn new(settings: Settings, seed: u64) -> World {
        let (classes, tenants) = (settings.classes.len() as u64, settings.tenants.len() as u64);
        let mut world = World {
            balancer: Balancer::new(settings, seed, 0.0).expect("the settings make sense"),
            chance: Chance(seed),
            digest: Digest(0xcbf2_9ce4_8422_2325),
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            attempts: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            upstreams: Vec::new(),
            classes,
            tenants,
            next_request: 0,
            next_upstream: 0,
        };
        world.upstreams = (0..8).map(|_| world.upstream()).collect();
        let list = world.upstreams.clone();
        world.schedule(0.0, Event::EndpointList(list));
        world
    }

    /// An upstream that has just started.
    fn upstream(&mut self) -> EndpointEntry {
        self.next_upstream += 1;
        let number = self.next_upstream;
        let started = self.chance.happens(0.5).then_some(self.now as f64 / 1e6);
        let zone = ZoneId((number % 2) as usize);
        EndpointEntry {
            upstream: UpstreamId(number),
            zone,
            cell: number % 3,
            state: EndpointState::Running,
            started,
        }
    }

    fn schedule(&mut self, after: f64, event: Event) {
        let at = self.now + (after.max(0.0) * 1e6) as u64;
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    /// Plays so many events and gives the digest of all actions, and which kinds there were.
    fn play(mut self, events: usize) -> (u64, BTreeSet<u64>) {
        let mut kinds = BTreeSet::new();
        for _ in 0..events {
            if self.queue.is_empty() || self.chance.happens(0.3) {
                self.now += self.chance.below(20_000);
                let event = self.surprise();
                self.schedule(0.0, event);
            }
            let Some(Reverse((at, number))) = self.queue.pop() else { continue };
            let Some(event) = self.events[number].take() else { continue };
            self.now = self.now.max(at);
            let mut actions = Vec::new();
            self.balancer.handle(self.now as f64 / 1e6, event, &mut actions);
            self.digest.number(actions.len() as u64);
            for action in &actions {
                kinds.insert(self.digest.action(action));
                self.carry_out(action);
            }
        }
        (self.digest.0, kinds)
    }

    /// Something from outside: mostly a request.
    fn surprise(&mut self) -> Event {
        match self.chance.below(100) {
            0 => Event::EndpointListFailed,
            1 => {
                let list = self.upstreams.clone();
                Event::EndpointList(list)
            }
            2 | 3 => self.change_of_the_list(),
            4 if self.next_request > 0 => Event::ClientDisconnected(RequestId(
                self.next_request - self.chance.below(self.next_request.min(20)),
            )),
            _ => self.request(),
        }
    }

    fn change_of_the_list(&mut self) -> Event {
        let at = self.chance.below(self.upstreams.len() as u64) as usize;
        let changed = match self.chance.below(4) {
            0 => {
                // A replacement stands at its place.
                let fresh = self.upstream();
                let gone = EndpointEntry { state: EndpointState::Removed, ..self.upstreams[at] };
                self.upstreams[at] = fresh;
                return Event::EndpointChanges(vec![gone, fresh]);
            }
            1 => EndpointState::Draining,
            _ => EndpointState::Running,
        };
        let started = self.chance.happens(0.3).then_some(self.now as f64 / 1e6);
        self.upstreams[at] = EndpointEntry { state: changed, started, ..self.upstreams[at] };
        Event::EndpointChanges(vec![self.upstreams[at]])
    }

    fn request(&mut self) -> Event {
        self.next_request += 1;
        let tenant = match self.chance.below(self.tenants + 1) {
            0 => None,
            number => Some(TenantId(number as usize - 1)),
        };
        Event::Request {
            id: RequestId(self.next_request),
            class: ClassId(self.chance.below(self.classes) as usize),
            tenant,
            client_timeout: 0.2 + 4.0 * self.chance.part(),
            work_hint: self.chance.happens(0.4).then_some(0.01 + 0.2 * self.chance.part()),
            repeat: self.chance.happens(0.1),
        }
    }

    fn report(&mut self) -> Option<LoadReport> {
        if self.chance.happens(0.3) {
            return None;
        }
        let queue = self.chance.happens(0.5);
        Some(LoadReport {
            in_flight: Some(self.chance.below(12) as f64),
            queued: queue.then_some(self.chance.below(6) as f64),
            cpu: Some(self.chance.part()),
            service_time_ms: Some(5.0 + 100.0 * self.chance.part()),
            rps: Some(200.0 * self.chance.part()),
            err_rps: queue.then_some(3.0 * self.chance.part()),
        })
    }

    /// How an attempt or a probe ends; some upstreams are worse than others, and now and then all are bad.
    fn ending(&mut self, upstream: UpstreamId) -> Ending {
        let all_are = self.now / 5_000_000 % 4 == 3;
        let bad = match upstream.0 % 5 {
            _ if all_are => 60,
            0 => 20,
            _ => 3,
        };
        if self.chance.below(100) >= bad {
            return Ending::Served;
        }
        let endings = [
            Ending::UpstreamError,
            Ending::Shed,
            Ending::TimedOut,
            Ending::ConnectFailed,
            Ending::ConnectionLost,
            Ending::NotSent,
        ];
        endings[self.chance.below(endings.len() as u64) as usize]
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Send { id, upstream, timeout } => {
                let attempts = self.attempts.entry(id.0).or_default();
                let attempt = *attempts;
                *attempts += 1;
                // Some upstreams stand still now and then, for three seconds.
                let stuck = upstream.0 % 3 == 0 && self.now / 3_000_000 % 3 == 0;
                let ending = if stuck { Ending::TimedOut } else { self.ending(upstream) };
                let elapsed = if stuck { 3.0 } else { 0.01 + 0.3 * self.chance.part() };
                let elapsed = elapsed.min(timeout.unwrap_or(f64::INFINITY));
                let (last, report) = (ending == Ending::Served, self.report());
                if last && self.chance.happens(0.1) {
                    self.schedule(elapsed / 2.0, Event::ResponseStarted { id, attempt });
                }
                self.outcomes.insert((id.0, attempt), self.events.len());
                let outcome = Outcome { id, attempt, upstream, ending, elapsed, last, report };
                self.schedule(elapsed, Event::Outcome(outcome));
            }
            Action::Cancel { id, attempt } => {
                let number = self.outcomes[&(id.0, attempt)];
                if let Some(Event::Outcome(outcome)) = self.events[number].take() {
                    let revoked = Outcome { ending: Ending::Cancelled, report: None, ..outcome };
                    self.schedule(0.0, Event::Outcome(revoked));
                }
            }
            Action::Wake { after, token } => self.schedule(after, Event::Wake(token)),
            Action::HealthCheck(upstream) => {
                let (ending, report) = (self.ending(upstream), self.report());
                let elapsed = 0.002 + 0.02 * self.chance.part();
                self.schedule(elapsed, Event::HealthCheckEnded { upstream, ending, elapsed, report });
            }
            Action::Subscribe => {
                let list = self.upstreams.clone();
                self.schedule(0.05, Event::EndpointList(list));
            }
            Action::Reject { .. } | Action::Fail { .. } => {}
        }
    }
}

/// Classes of every kind, tenants, and everything allowed that may be.
fn rich() -> Settings {
    let keyed = |scope| Idempotency::Keyed { scope, window: 0.4 };
    let class = |latency_target, value, idempotency| Class {
        latency_target,
        latency_target_per_work: 0.5,
        value,
        late_value: 0.2,
        idempotency,
    };
    Settings {
        instances: 3,
        rank: 1,
        classes: vec![
            class(0.3, 1.0, Idempotency::Idempotent),
            class(0.5, 4.0, Idempotency::NonIdempotent),
            class(0.8, 2.0, keyed(DedupScope::All)),
            class(0.8, 2.0, keyed(DedupScope::Zone)),
            class(0.8, 0.5, keyed(DedupScope::Cell)),
        ],
        tenants: vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: f64::INFINITY }],
        over_quota_value: 0.5,
        value_by_work: true,
        price_cross_zone: 0.05,
        price_health_check: 0.01,
        list_by_subscription: true,
        list_validity: 1.0,
        reports_concurrency: true,
        reports_queue: true,
        allow_health_checks: true,
        allow_cancel: true,
        allow_concurrent_attempts: true,
        send_retry_after: true,
        max_retry_after: 2.0,
        ..Settings::default()
    }
}

/// Safe calls only, which may be withdrawn and sent elsewhere.
fn cancelling() -> Settings {
    Settings {
        allow_cancel: true,
        allow_concurrent_attempts: true,
        reports_concurrency: true,
        ..Settings::default()
    }
}

/// All kinds of actions.
const KINDS: usize = 7;

#[test]
fn the_same_events_bring_the_same_actions_as_before() {
    let mut kinds = BTreeSet::new();
    let played = EXPECTED.map(|(seed, _)| {
        let digests = [rich(), cancelling(), Settings::default()].map(|settings| {
            let (digest, brought) = World::new(settings, seed).play(EVENTS);
            kinds.extend(brought);
            digest
        });
        (seed, digests)
    });
    assert_eq!(kinds.len(), KINDS, "{kinds:?}: an action that never comes is not compared");
    assert_eq!(played, EXPECTED, "found {played:#x?}");
}
