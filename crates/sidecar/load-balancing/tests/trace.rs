//! Compares the balancer's decisions with those of version 0.2.0 before its identifiers were renamed: a long
//! pseudo-random series of events must lead to the recorded digest of all actions.
//!
//! Only numbers go into the digest, no names. They include exact floating point values, so the digests hold for one
//! implementation of the mathematical functions.

use passrelay_load_balancing::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Events in each series.
const EVENTS: usize = 20_000;
/// Seed, and the digests of the actions of three balancers: with [`all_features`], with [`hedging_only`], and with
/// default settings.
const EXPECTED: [(u64, [u64; 3]); 3] = [
    (1, [0xd43b_657f_94d8_43c3, 0x53eb_db46_b033_0cd8, 0x9ded_2ca3_831d_a5a7]),
    (2, [0x5200_56f3_585d_af58, 0x1759_ec5e_6dc5_ab1d, 0x77c6_7be8_c61b_f3f9]),
    (3, [0x5097_3409_b9e5_fcde, 0xd55f_ab51_6ed1_4089, 0x29d3_400f_7d9f_8d54]),
];

/// A 64-bit FNV-1a digest.
struct Digest(u64);

impl Digest {
    fn add_integer(&mut self, integer: u64) {
        for byte in integer.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    fn add_float(&mut self, value: f64) {
        self.add_integer(value.to_bits());
    }

    fn add_optional(&mut self, value: Option<f64>) {
        self.add_integer(u64::from(value.is_some()));
        self.add_float(value.unwrap_or(0.0));
    }

    /// Adds an action and returns the number of its kind.
    fn add_action(&mut self, action: &Action) -> u64 {
        let kind = match action {
            Action::Send { .. } => 1,
            Action::Cancel { .. } => 2,
            Action::Reject { .. } => 3,
            Action::Fail { .. } => 4,
            Action::Wake { .. } => 5,
            Action::HealthCheck(_) => 6,
            Action::Subscribe => 7,
        };
        self.add_integer(kind);
        match *action {
            Action::Send { id, upstream, timeout } => {
                self.add_integer(id.0);
                self.add_integer(upstream.0);
                self.add_optional(timeout);
            }
            Action::Cancel { id, attempt } => {
                self.add_integer(id.0);
                self.add_integer(u64::from(attempt));
            }
            Action::Reject { id, retry_after } => {
                self.add_integer(id.0);
                self.add_optional(retry_after);
            }
            Action::Fail { id } => self.add_integer(id.0),
            Action::Wake { after, token } => {
                self.add_float(after);
                self.add_integer(token);
            }
            Action::HealthCheck(upstream) => self.add_integer(upstream.0),
            Action::Subscribe => {}
        }
        kind
    }
}

/// A SplitMix64 generator that belongs to this test, so that no change of a library changes the series.
struct Generator(u64);

impl Generator {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns a number in `[0, 1)`.
    fn fraction(&mut self) -> f64 {
        self.below(1 << 20) as f64 / (1 << 20) as f64
    }

    /// Returns `true` with this probability.
    fn chance(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }
}

/// Upstreams, clients and the discovery service around one balancer.
struct Simulation {
    balancer: Balancer,
    generator: Generator,
    digest: Digest,
    /// Current time in microseconds.
    now: u64,
    /// Scheduled events: the time in microseconds and the index in `events`.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    /// All events scheduled so far; `None` for those that have been handled or cancelled.
    events: Vec<Option<Event>>,
    /// Attempts sent so far, by request.
    attempts: BTreeMap<u64, u32>,
    /// Indices in `events` of the outcomes, by request and attempt.
    outcomes: BTreeMap<(u64, u32), usize>,
    upstreams: Vec<EndpointEntry>,
    classes: u64,
    tenants: u64,
    next_request: u64,
    next_upstream: u64,
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Simulation {
        let (classes, tenants) = (settings.classes.len() as u64, settings.tenants.len() as u64);
        let mut simulation = Simulation {
            balancer: Balancer::new(settings, seed, 0.0).expect("the settings are valid"),
            generator: Generator(seed),
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
        simulation.upstreams = (0..8).map(|_| simulation.new_upstream()).collect();
        let list = simulation.upstreams.clone();
        simulation.schedule(0.0, Event::EndpointList(list));
        simulation
    }

    /// Returns a new upstream, half of the time with the current time as its start.
    fn new_upstream(&mut self) -> EndpointEntry {
        self.next_upstream += 1;
        let number = self.next_upstream;
        let started = self.generator.chance(0.5).then_some(self.now as f64 / 1e6);
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

    /// Runs a number of events. Returns the digest of all actions, and which kinds of actions there were.
    fn run(mut self, events: usize) -> (u64, BTreeSet<u64>) {
        let mut kinds = BTreeSet::new();
        for _ in 0..events {
            if self.queue.is_empty() || self.generator.chance(0.3) {
                self.now += self.generator.below(20_000);
                let event = self.external_event();
                self.schedule(0.0, event);
            }
            let Some(Reverse((at, number))) = self.queue.pop() else { continue };
            let Some(event) = self.events[number].take() else { continue };
            self.now = self.now.max(at);
            let mut actions = Vec::new();
            self.balancer.handle(self.now as f64 / 1e6, event, &mut actions);
            self.digest.add_integer(actions.len() as u64);
            for action in &actions {
                kinds.insert(self.digest.add_action(action));
                self.apply(action);
            }
        }
        (self.digest.0, kinds)
    }

    /// Returns an event that does not follow from an action: in most cases a request.
    fn external_event(&mut self) -> Event {
        match self.generator.below(100) {
            0 => Event::EndpointListFailed,
            1 => {
                let list = self.upstreams.clone();
                Event::EndpointList(list)
            }
            2 | 3 => self.endpoint_change(),
            4 if self.next_request > 0 => Event::ClientDisconnected(RequestId(
                self.next_request - self.generator.below(self.next_request.min(20)),
            )),
            _ => self.request(),
        }
    }

    /// Replaces one upstream, or changes its state and its start time.
    fn endpoint_change(&mut self) -> Event {
        let index = self.generator.below(self.upstreams.len() as u64) as usize;
        let state = match self.generator.below(4) {
            0 => {
                let added = self.new_upstream();
                let removed = EndpointEntry { state: EndpointState::Removed, ..self.upstreams[index] };
                self.upstreams[index] = added;
                return Event::EndpointChanges(vec![removed, added]);
            }
            1 => EndpointState::Draining,
            _ => EndpointState::Running,
        };
        let started = self.generator.chance(0.3).then_some(self.now as f64 / 1e6);
        self.upstreams[index] = EndpointEntry { state, started, ..self.upstreams[index] };
        Event::EndpointChanges(vec![self.upstreams[index]])
    }

    fn request(&mut self) -> Event {
        self.next_request += 1;
        let tenant = match self.generator.below(self.tenants + 1) {
            0 => None,
            number => Some(TenantId(number as usize - 1)),
        };
        Event::Request {
            id: RequestId(self.next_request),
            class: ClassId(self.generator.below(self.classes) as usize),
            tenant,
            client_timeout: 0.2 + 4.0 * self.generator.fraction(),
            work_hint: self.generator.chance(0.4).then_some(0.01 + 0.2 * self.generator.fraction()),
            repeat: self.generator.chance(0.1),
        }
    }

    fn report(&mut self) -> Option<LoadReport> {
        if self.generator.chance(0.3) {
            return None;
        }
        let queue = self.generator.chance(0.5);
        Some(LoadReport {
            in_flight: Some(self.generator.below(12) as f64),
            queued: queue.then_some(self.generator.below(6) as f64),
            cpu: Some(self.generator.fraction()),
            service_time_ms: Some(5.0 + 100.0 * self.generator.fraction()),
            rps: Some(200.0 * self.generator.fraction()),
            err_rps: queue.then_some(3.0 * self.generator.fraction()),
        })
    }

    /// Returns how an attempt or a health check ends. Some upstreams fail more often than others, and in every fourth
    /// period of 5 s all fail often.
    fn ending(&mut self, upstream: UpstreamId) -> Ending {
        let all_fail = self.now / 5_000_000 % 4 == 3;
        let failure_percent = match upstream.0 % 5 {
            _ if all_fail => 60,
            0 => 20,
            _ => 3,
        };
        if self.generator.below(100) >= failure_percent {
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
        endings[self.generator.below(endings.len() as u64) as usize]
    }

    /// Carries out an action and schedules the events that follow from it.
    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Send { id, upstream, timeout } => {
                let attempts = self.attempts.entry(id.0).or_default();
                let attempt = *attempts;
                *attempts += 1;
                // A third of the upstreams stalls in every third period of 3 s.
                let stalled = upstream.0 % 3 == 0 && self.now / 3_000_000 % 3 == 0;
                let ending = if stalled { Ending::TimedOut } else { self.ending(upstream) };
                let elapsed = if stalled { 3.0 } else { 0.01 + 0.3 * self.generator.fraction() };
                let elapsed = elapsed.min(timeout.unwrap_or(f64::INFINITY));
                let (last, report) = (ending == Ending::Served, self.report());
                if last && self.generator.chance(0.1) {
                    self.schedule(elapsed / 2.0, Event::ResponseStarted { id, attempt });
                }
                self.outcomes.insert((id.0, attempt), self.events.len());
                let outcome = Outcome { id, attempt, upstream, ending, elapsed, last, report };
                self.schedule(elapsed, Event::Outcome(outcome));
            }
            Action::Cancel { id, attempt } => {
                let number = self.outcomes[&(id.0, attempt)];
                if let Some(Event::Outcome(outcome)) = self.events[number].take() {
                    let cancelled = Outcome { ending: Ending::Cancelled, report: None, ..outcome };
                    self.schedule(0.0, Event::Outcome(cancelled));
                }
            }
            Action::Wake { after, token } => self.schedule(after, Event::Wake(token)),
            Action::HealthCheck(upstream) => {
                let (ending, report) = (self.ending(upstream), self.report());
                let elapsed = 0.002 + 0.02 * self.generator.fraction();
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

/// Settings with all kinds of classes, with tenants, and with every optional feature allowed.
fn all_features() -> Settings {
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

/// Settings with one idempotent class whose attempts may be cancelled and sent elsewhere.
fn hedging_only() -> Settings {
    Settings {
        allow_cancel: true,
        allow_concurrent_attempts: true,
        reports_concurrency: true,
        ..Settings::default()
    }
}

/// Number of kinds of actions.
const KINDS: usize = 7;

#[test]
fn equal_events_lead_to_the_recorded_actions() {
    let mut kinds = BTreeSet::new();
    let found = EXPECTED.map(|(seed, _)| {
        let digests = [all_features(), hedging_only(), Settings::default()].map(|settings| {
            let (digest, kinds_of_run) = Simulation::new(settings, seed).run(EVENTS);
            kinds.extend(kinds_of_run);
            digest
        });
        (seed, digests)
    });
    assert_eq!(kinds.len(), KINDS, "only the kinds {kinds:?} occur; the digests do not cover the others");
    assert_eq!(found, EXPECTED, "found {found:#x?}");
}
