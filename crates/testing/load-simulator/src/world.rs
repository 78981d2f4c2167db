//! The simulation of one run: sidecars, nodes, discovery, callers and the network between them, driven by one event
//! queue.
//!
//! Every sidecar runs the production dispatcher with a decider behind it. The world implements [`Transport`] by
//! recording the dispatcher's calls and executing them once the dispatcher has returned.

mod attempts;
mod callers;
mod nodes;
mod sidecars;
mod troubles;

use crate::experiment::{Experiment, TroubleKind};
use crate::meter::{Cause, Meter, NodeLoad, Outcome};
use crate::model::caller::{retry_wait, Call, Source, TryResult};
use crate::model::discovery::{CallTurn, Discovery, ListEntry, ListUpdate};
use crate::model::network::Net;
use crate::model::node::{Admission, Job, Node, NodeFaults, State};
use crate::observer::{Observer, RequestEvent, Violation};
use crate::queue::{nanos, seconds, Nanos, Queue};
use crate::random::{uniform, Stream, Streams};
use crate::rivals::{Policy, TrueState, TrueStates};
use passrelay_load_balancing::dispatcher::{Answer, Arrival, Decider, Dispatcher, Timer, Transport};
use passrelay_load_balancing::{
    ClassId, Ending, EndpointEntry, EndpointState, LoadReport, RequestId, SettingsError, TenantId, UpstreamId,
};
use rand::seq::SliceRandom;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::fmt;

/// Number of low bits of a request's id that hold its slab key. The high bits are its number, so that ids grow with
/// time.
const SLAB_KEY_BITS: u32 = 24;
/// Maximum time in seconds for which the run continues after the last deadline, while calls or requests are still open.
const TAIL_S: f64 = 30.0;

/// Returns the slab key of a request from its id.
fn slab_key(id: u64) -> usize {
    (id & ((1 << SLAB_KEY_BITS) - 1)) as usize
}

/// A deliberate error in a run, by which a test shows that the observer detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutant {
    /// No error.
    #[default]
    None,
    /// Sidecars ignore that a node drains or was removed, although discovery has announced it.
    Drain,
    /// Sidecars treat every class as idempotent.
    Retry,
    /// Final answers are delayed by 100 ms.
    Late,
}

/// Options of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Whether the load of each node is recorded every second.
    pub nodes: bool,
    /// Whether a broken rule ends the run with an error.
    pub strict: bool,
    /// A deliberate error, for tests of the observer.
    pub mutant: Mutant,
}

/// Why a run could not be completed.
#[derive(Debug)]
pub enum RunError {
    /// The decision module rejects the settings derived from the experiment.
    Settings(SettingsError),
    /// The file of captured arrivals cannot be used; the text names the file.
    Captured(String),
    /// A rule of the observer was broken.
    RuleViolated(Box<Violation>),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Settings(e) => write!(f, "the decision module rejects the experiment's settings: {e}"),
            RunError::Captured(problem) => write!(f, "{problem}"),
            RunError::RuleViolated(broken) => write!(f, "{broken}"),
        }
    }
}

impl std::error::Error for RunError {}

/// A recorded call of a dispatcher to its transport.
enum TransportCall {
    Send(RequestId, u32, UpstreamId),
    Cancel(RequestId, u32),
    Answer(RequestId, Answer),
    Probe(UpstreamId),
    Watch,
    Timer(f64, Timer),
}

#[derive(Default)]
struct RecordedCalls(Vec<TransportCall>);

impl Transport for RecordedCalls {
    fn send(&mut self, id: RequestId, attempt: u32, to: UpstreamId) {
        self.0.push(TransportCall::Send(id, attempt, to));
    }
    fn cancel(&mut self, id: RequestId, attempt: u32) {
        self.0.push(TransportCall::Cancel(id, attempt));
    }
    fn answer(&mut self, id: RequestId, answer: Answer) {
        self.0.push(TransportCall::Answer(id, answer));
    }
    fn health_check(&mut self, node: UpstreamId) {
        self.0.push(TransportCall::Probe(node));
    }
    fn subscribe(&mut self) {
        self.0.push(TransportCall::Watch);
    }
    fn set_timer(&mut self, at: f64, timer: Timer) {
        self.0.push(TransportCall::Timer(at, timer));
    }
}

/// A connection: when it became idle, its node, and the node's life in which it was opened.
#[derive(Clone, Copy)]
struct Connection {
    since: Nanos,
    node: u32,
    life: u32,
}

struct Sidecar {
    tier: usize,
    zone: usize,
    rank: usize,
    /// The node that the sidecar belongs to; `None` for a sidecar of the first tier.
    owner: Option<u32>,
    up: bool,
    /// Whether the front layer considers it up.
    seen_by_front: bool,
    life: u32,
    began: Nanos,
    dispatcher: Dispatcher<Box<dyn Decider>>,
    idle_connections: FxHashMap<u32, Vec<Connection>>,
    known: Vec<ListEntry>,
    seq: Option<u64>,
    /// Number of the latest discovery call; answers to earlier ones are ignored.
    call: u64,
    call_pending: bool,
}

#[derive(Clone, Copy)]
enum Origin {
    Caller { call: u32, number: u32 },
    Job { node: u32, life: u32, at: u32, number: u64 },
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Connecting,
    InFlight,
    Ended,
}

struct Attempt {
    to: u32,
    phase: Phase,
    /// The connection, once it is established.
    connection: Option<Connection>,
    /// When the request's last byte arrives at the node.
    delivered_at: Nanos,
    ending: Option<Ending>,
}

struct Request {
    id: u64,
    sidecar: u32,
    origin: Origin,
    class: u16,
    tenant: u16,
    work: f64,
    deadline: Nanos,
    taken: bool,
    answered: bool,
    attempts: Vec<Attempt>,
}

struct NodeReply {
    sidecar: u32,
    life: u32,
    id: u64,
    attempt: u32,
    ending: Ending,
    report: Option<LoadReport>,
}

enum Event {
    Arrive,
    Try(u32),
    PatienceExpired {
        call: u32,
        number: u32,
    },
    RequestArrived {
        id: u64,
    },
    CallerLeft {
        id: u64,
    },
    TryEnded {
        call: u32,
        number: u32,
        result: TryResult,
        cause: Option<Cause>,
    },
    JobCallEnded {
        node: u32,
        life: u32,
        at: u32,
        number: u64,
        served: bool,
    },
    Timer {
        sidecar: u32,
        life: u32,
        timer: Timer,
    },
    ConnectEnded {
        id: u64,
        attempt: u32,
        up: Option<(u32, u32)>,
    },
    AtNode {
        flight: u32,
        address: u32,
    },
    ConnectionClosed {
        node: u32,
        life: u32,
        key: (u64, u32),
    },
    CoreDone {
        node: u32,
        generation: u64,
    },
    JamCheck {
        node: u32,
        life: u32,
    },
    Reply(u32),
    Probe {
        sidecar: u32,
        life: u32,
        node: u32,
        sent: Nanos,
    },
    Probed {
        sidecar: u32,
        life: u32,
        node: u32,
        sent: Nanos,
        ending: Ending,
        report: Option<Box<LoadReport>>,
    },
    DiscoveryCall {
        sidecar: u32,
        life: u32,
        call: u64,
    },
    DiscoveryAnswer {
        sidecar: u32,
        life: u32,
        call: u64,
        since: Option<u64>,
        watch: bool,
    },
    WatchEnds {
        sidecar: u32,
        call: u64,
    },
    ListReceived {
        sidecar: u32,
        life: u32,
        call: u64,
        update: Option<Box<ListUpdate>>,
    },
    Publish {
        tier: u8,
        entry: Box<ListEntry>,
    },
    TroubleBegins(u32),
    TroubleEnds(u32),
    Release {
        trouble: u32,
        step: u32,
        stage: u8,
    },
    FrontNotice {
        sidecar: u32,
        up: bool,
    },
    Sample,
}

/// The simulation state of one run.
pub struct World {
    e: Experiment,
    policy: Policy,
    seed: u64,
    options: RunOptions,
    streams: Streams,
    queue: Queue<Event>,
    net: Net,
    source: Source,
    calls: Slab<Call>,
    sidecars: Vec<Sidecar>,
    front: Vec<u32>,
    nodes: Vec<Node>,
    /// The index of the node that listens on each address.
    node_at_address: Vec<u32>,
    tiers: Vec<Vec<u32>>,
    lists: Vec<Discovery>,
    /// The first tier's list at the start of the run.
    first_list: ListUpdate,
    /// The latest publication time of each node, so that its changes are published in order.
    last_published: Vec<Nanos>,
    requests: Slab<Request>,
    number: u64,
    tries: u32,
    requests_in_transit: Slab<Job>,
    replies: Slab<NodeReply>,
    affected_nodes: Vec<Vec<u32>>,
    observer: Observer,
    meter: Meter,
    recorded_calls: RecordedCalls,
    notice: Stream,
    true_states: TrueStates,
    jam_checks: Vec<Nanos>,
    arriving: bool,
    finished: Vec<usize>,
}

/// Runs an experiment once with one policy and one seed.
///
/// # Errors
///
/// Returns why the run could not be completed or, with [`RunOptions::strict`], which rule was broken first.
pub fn play(e: &Experiment, policy: Policy, seed: u64, options: RunOptions) -> Result<Outcome, RunError> {
    let mut world = World::new(e, policy, seed, options)?;
    world.run()?;
    Ok(world.outcome())
}

impl World {
    fn new(e: &Experiment, policy: Policy, seed: u64, options: RunOptions) -> Result<World, RunError> {
        let streams = Streams::new(seed);
        let mut world = World {
            net: Net::new(&e.network, &streams),
            source: Source::new(e, &streams).map_err(RunError::Captured)?,
            observer: Observer::new(&e.rules, seed),
            meter: Meter::new(e),
            notice: streams.of("notice", 0),
            e: e.clone(),
            policy,
            seed,
            options,
            streams,
            queue: Queue::default(),
            calls: Slab::new(),
            sidecars: Vec::new(),
            front: Vec::new(),
            nodes: Vec::new(),
            node_at_address: Vec::new(),
            tiers: Vec::new(),
            lists: Vec::new(),
            first_list: ListUpdate { seq: 0, is_full: true, entries: Vec::new() },
            last_published: Vec::new(),
            requests: Slab::new(),
            number: 0,
            tries: 0,
            requests_in_transit: Slab::new(),
            replies: Slab::new(),
            affected_nodes: vec![Vec::new(); e.trouble.len()],
            recorded_calls: RecordedCalls::default(),
            true_states: TrueStates::default(),
            jam_checks: Vec::new(),
            arriving: true,
            finished: Vec::new(),
        };
        for tier in 0..e.tier.len() {
            world.tiers.push(Vec::new());
            for kind in 0..e.tier[tier].kind.len() {
                for _ in 0..e.scaled(e.tier[tier].kind[kind].count) {
                    let zone = world.tiers[tier].len() % e.network.zones;
                    world.add_node(tier, kind, zone, None);
                }
            }
            let entries: Vec<ListEntry> =
                world.tiers[tier].iter().map(|n| world.list_entry(*n, EndpointState::Running)).collect();
            world.lists.push(Discovery::new(&e.discovery, entries.into_iter()));
        }
        world.first_list = world.lists[0].update_since(None);
        for rank in 0..e.scaled(e.tier[0].sidecars) {
            let at = world.add_sidecar(0, rank % e.network.zones, rank, None)?;
            world.front.push(at);
        }
        for tier in 1..e.tier.len() {
            for (rank, owner) in world.tiers[tier - 1].clone().into_iter().enumerate() {
                let zone = world.nodes[owner as usize].zone;
                let at = world.add_sidecar(tier, zone, rank, Some(owner))?;
                world.nodes[owner as usize].sidecar = Some(at);
            }
        }
        if let Some(first) = world.source.next_at(0) {
            world.queue.put(first, Event::Arrive);
        } else {
            world.arriving = false;
        }
        for (n, trouble) in e.trouble.iter().enumerate() {
            world.queue.put(nanos(trouble.from_s), Event::TroubleBegins(n as u32));
            world.queue.put(nanos(trouble.from_s + trouble.for_s), Event::TroubleEnds(n as u32));
        }
        world.queue.put(nanos(1.0), Event::Sample);
        for sidecar in 0..world.sidecars.len() as u32 {
            world.deliver_known_list(sidecar);
        }
        Ok(world)
    }

    fn add_node(&mut self, tier: usize, kind: usize, zone: usize, address: Option<u32>) -> u32 {
        let number = self.nodes.len() as u32;
        let spec = &self.e.tier[tier];
        let mut node =
            Node::new(u64::from(number), tier, zone, &spec.kind[kind], &spec.report, &self.streams);
        node.address = address.unwrap_or(self.node_at_address.len() as u32);
        match address {
            Some(address) => self.node_at_address[address as usize] = number,
            None => self.node_at_address.push(number),
        }
        self.true_states
            .borrow_mut()
            .push(TrueState { held: 0.0, pace: node.speed * f64::from(node.kind.cores) });
        self.nodes.push(node);
        self.last_published.push(0);
        self.jam_checks.push(0);
        self.tiers[tier].push(number);
        if self.options.nodes {
            let (tier, kind) = (spec.name.clone(), spec.kind[kind].name.clone());
            let past = self.meter.nodes.first().map_or(0, |n| n.util.len());
            let (util, held) = (vec![0.0; past], vec![0; past]);
            self.meter.nodes.push(NodeLoad { node: number, tier, kind, util, held });
        }
        number
    }

    fn decider(
        &self,
        tier: usize,
        zone: usize,
        rank: usize,
        balancers: usize,
        seed: u64,
    ) -> Result<Dispatcher<Box<dyn Decider>>, RunError> {
        let mut settings = self.e.settings(tier, balancers, rank, zone);
        if self.options.mutant == Mutant::Retry {
            settings
                .classes
                .iter_mut()
                .for_each(|c| c.idempotency = passrelay_load_balancing::Idempotency::Idempotent);
        }
        let decider = self.policy.decider(&settings, seed, &self.streams, &self.true_states);
        Ok(Dispatcher::with_decider(decider.map_err(RunError::Settings)?, &settings))
    }

    fn balancers(&self, tier: usize) -> usize {
        match tier {
            0 => self.e.scaled(self.e.tier[0].sidecars),
            _ => self.tiers[tier - 1].len(),
        }
    }

    fn add_sidecar(
        &mut self,
        tier: usize,
        zone: usize,
        rank: usize,
        owner: Option<u32>,
    ) -> Result<u32, RunError> {
        let at = self.sidecars.len() as u32;
        let began = self.queue.now();
        let seed = self.seed ^ (u64::from(at) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let dispatcher = self.decider(tier, zone, rank, self.balancers(tier), seed)?;
        let known = self.lists[tier].update_since(None);
        self.sidecars.push(Sidecar {
            tier,
            zone,
            rank,
            owner,
            up: true,
            seen_by_front: true,
            life: 0,
            began,
            dispatcher,
            idle_connections: FxHashMap::default(),
            known: known.entries,
            seq: Some(known.seq),
            call: 0,
            call_pending: false,
        });
        Ok(at)
    }

    fn run(&mut self) -> Result<(), RunError> {
        let end = nanos(self.e.length_s);
        let longest = self.e.class.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let last = end + nanos(longest + TAIL_S);
        while let Some(event) = self.queue.take() {
            self.event(event)?;
            if self.options.strict {
                if let Some(broken) = self.observer.violations().first() {
                    return Err(RunError::RuleViolated(Box::new(broken.clone())));
                }
            }
            let idle = !self.arriving && self.calls.is_empty() && self.requests.is_empty();
            if idle && self.queue.now() >= end || self.queue.now() > last {
                break;
            }
        }
        self.observer.finish(self.queue.now());
        match self.observer.violations().first() {
            Some(broken) if self.options.strict => Err(RunError::RuleViolated(Box::new(broken.clone()))),
            _ => Ok(()),
        }
    }

    fn outcome(&mut self) -> Outcome {
        let now = self.queue.now();
        let mut outcome = self.meter.outcome(&self.e, self.policy.name(), self.seed);
        outcome.requests = self.observer.tally();
        let broken = self.observer.counts().iter();
        outcome.broken = broken.map(|(rule, n)| (format!("{rule:?}"), *n)).collect();
        outcome.busy_s = self.nodes.iter_mut().map(|n| n.busy(now)).sum();
        outcome.events = self.queue.count();
        outcome.longest_queue = self.queue.longest() as u64;
        outcome
    }

    fn event(&mut self, event: Event) -> Result<(), RunError> {
        let now = self.queue.now();
        match event {
            Event::Arrive => {
                let call = self.source.call(now);
                let at = self.calls.insert(call) as u32;
                match self.source.next_at(now) {
                    Some(next) => self.queue.put(next, Event::Arrive),
                    None => self.arriving = false,
                }
                self.try_call(at);
            }
            Event::Try(call) => self.try_call(call),
            Event::PatienceExpired { call, number } => self.patience_expired(call, number),
            Event::RequestArrived { id } => self.request_arrived(id),
            Event::CallerLeft { id } => self.caller_left(id),
            Event::TryEnded { call, number, result, cause } => self.try_ended(call, number, result, cause),
            Event::JobCallEnded { node, life, at, number, served } => {
                self.job_call_ended(node, life, at, number, served)
            }
            Event::Timer { sidecar, life, timer } => {
                if self.sidecars[sidecar as usize].life == life {
                    self.with_dispatcher(sidecar, |dispatcher, now, transport| {
                        dispatcher.timer_fired(now, timer, transport)
                    });
                }
            }
            Event::ConnectEnded { id, attempt, up } => self.connect_ended(id, attempt, up),
            Event::AtNode { flight, address } => self.at_node(flight, address),
            Event::ConnectionClosed { node, life, key } => self.connection_closed(node, life, key),
            Event::CoreDone { node, generation } => self.core_done(node, generation),
            Event::JamCheck { node, life } => {
                if self.nodes[node as usize].life == life {
                    self.nodes[node as usize].catch_up(now);
                    self.schedule_node_events(node);
                }
            }
            Event::Reply(at) => self.reply_arrived(at),
            Event::Probe { sidecar, life, node, sent } => self.probe_node(sidecar, life, node, sent),
            Event::Probed { sidecar, life, node, sent, ending, report } => {
                if self.sidecars[sidecar as usize].life == life {
                    let elapsed = seconds(now - sent);
                    let report = report.map(|r| *r);
                    self.with_dispatcher(sidecar, |dispatcher, now, transport| {
                        dispatcher.health_check_ended(
                            now,
                            UpstreamId(u64::from(node)),
                            ending,
                            elapsed,
                            report,
                            transport,
                        );
                    });
                }
            }
            Event::DiscoveryCall { sidecar, life, call } => self.discovery_call_arrived(sidecar, life, call),
            Event::DiscoveryAnswer { sidecar, life, call, since, watch } => {
                self.answer_discovery_call(sidecar, life, call, since, watch);
            }
            Event::WatchEnds { sidecar, call } => self.watch_ends(sidecar, call),
            Event::ListReceived { sidecar, life, call, update } => {
                self.list_received(sidecar, life, call, update)
            }
            Event::Publish { tier, entry } => self.publish(tier as usize, *entry),
            Event::TroubleBegins(n) => self.trouble_begins(n as usize),
            Event::TroubleEnds(n) => self.trouble_ends(n as usize)?,
            Event::Release { trouble, step, stage } => self.release(trouble as usize, step, stage)?,
            Event::FrontNotice { sidecar, up } => self.sidecars[sidecar as usize].seen_by_front = up,
            Event::Sample => self.sample(),
        }
        Ok(())
    }

    /// Calls a sidecar's dispatcher, then executes the transport calls that it made. Does nothing if the sidecar is
    /// down.
    fn with_dispatcher(
        &mut self,
        at: u32,
        f: impl FnOnce(&mut Dispatcher<Box<dyn Decider>>, f64, &mut RecordedCalls),
    ) {
        let now = self.queue.now();
        let sidecar = &mut self.sidecars[at as usize];
        if !sidecar.up {
            return;
        }
        let mut recorded_calls = std::mem::take(&mut self.recorded_calls);
        f(&mut sidecar.dispatcher, seconds(now - sidecar.began), &mut recorded_calls);
        for call in recorded_calls.0.drain(..) {
            self.execute(at, call);
        }
        self.recorded_calls = recorded_calls;
    }

    fn execute(&mut self, at: u32, call: TransportCall) {
        let now = self.queue.now();
        let life = self.sidecars[at as usize].life;
        match call {
            TransportCall::Send(id, attempt, to) => self.start_attempt(at, id.0, attempt, to.0 as u32),
            TransportCall::Cancel(id, attempt) => self.cancel_attempt(id.0, attempt),
            TransportCall::Answer(id, answer) => self.answer(id.0, answer),
            TransportCall::Probe(node) => {
                let node = node.0 as u32;
                let delay = self.delay_to_node(at, node);
                self.queue.put(now + delay, Event::Probe { sidecar: at, life, node, sent: now });
            }
            TransportCall::Watch => self.call_discovery(at),
            TransportCall::Timer(when, timer) => {
                // Timers fire on whole ticks of the sidecar's clock.
                let tick = nanos(self.e.limits.tick_ms / 1e3).max(1);
                let when = nanos(when).div_ceil(tick) * tick + self.sidecars[at as usize].began;
                self.queue.put(when, Event::Timer { sidecar: at, life, timer });
            }
        }
    }

    fn delay_to_node(&mut self, sidecar: u32, node: u32) -> Nanos {
        let (a, b) = (self.sidecars[sidecar as usize].zone, self.nodes[node as usize].zone);
        self.net.delay(a, b)
    }

    fn is_cut(&self, sidecar: u32, node: u32) -> bool {
        let (s, n) = (&self.sidecars[sidecar as usize], &self.nodes[node as usize]);
        // A node's own sidecar is cut off with it.
        let owner = s.owner.is_some_and(|o| self.nodes[o as usize].faults.cut);
        n.faults.cut || owner || self.net.is_cut(s.zone, n.zone)
    }
}
