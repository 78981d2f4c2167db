//! The world of one run: sidecars, nodes, discovery, callers and the network between them, driven by one queue.
//!
//! Every sidecar is the real dispatcher with a decider behind it; the world implements [`Transport`] by writing down what
//! the dispatcher wishes and carrying it out once the dispatcher has returned.

mod attempts;
mod callers;
mod nodes;
mod sidecars;
mod troubles;

use crate::experiment::{Experiment, TroubleKind};
use crate::meter::{Cause, Meter, NodeLoad, Outcome};
use crate::model::caller::{next_try, Call, Heard, Source};
use crate::model::discovery::{Discovery, Line, Told, Turn};
use crate::model::network::Net;
use crate::model::node::{Admission, Ills, Job, Node, State};
use crate::observer::{Broken, Note, Observer};
use crate::queue::{nanos, seconds, Nanos, Queue};
use crate::random::{between, Stream, Streams};
use crate::rivals::{Policy, Sights, True};
use passrelay_load_balancing::dispatcher::{Answer, Arrival, Decider, Dispatcher, Timer, Transport};
use passrelay_load_balancing::{
    ClassId, Ending, EndpointEntry, EndpointState, LoadReport, RequestId, SettingsError, TenantId, UpstreamId,
};
use rand::seq::SliceRandom;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::fmt;

/// Bits of a request's id that hold its place; the rest is its number, so that ids grow with time.
const PLACE_BITS: u32 = 24;
/// After the last call the run goes on for as long as anyone waits, and this much longer at the most.
const TAIL_S: f64 = 30.0;

/// Where a request stands.
fn place_of(id: u64) -> usize {
    (id & ((1 << PLACE_BITS) - 1)) as usize
}

/// A check taken out, so that a test can show that the observer would notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutant {
    /// Nothing is taken out.
    #[default]
    None,
    /// Sidecars are not told that a node drains or is gone, though discovery has told them.
    Drain,
    /// Sidecars take every class for one that may run again.
    Retry,
    /// Final answers are held back for 100 ms.
    Late,
}

/// What is wanted of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wanted {
    /// The load of each node, second by second.
    pub nodes: bool,
    /// A broken rule ends the run.
    pub strict: bool,
    /// A check taken out.
    pub mutant: Mutant,
}

/// Why a run could not be played to its end.
#[derive(Debug)]
pub enum RunError {
    /// The settings that follow from the experiment make no sense to the module.
    Settings(SettingsError),
    /// The captured arrivals cannot be used.
    Captured(String),
    /// A rule did not hold.
    Broken(Box<Broken>),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Settings(e) => write!(f, "the experiment gives settings that make no sense: {e}"),
            RunError::Captured(problem) => write!(f, "{problem}"),
            RunError::Broken(broken) => write!(f, "{broken}"),
        }
    }
}

impl std::error::Error for RunError {}

/// What a dispatcher wishes.
enum Wish {
    Send(RequestId, u32, UpstreamId),
    Withdraw(RequestId, u32),
    Answer(RequestId, Answer),
    Probe(UpstreamId),
    Watch,
    Timer(f64, Timer),
}

#[derive(Default)]
struct Wishes(Vec<Wish>);

impl Transport for Wishes {
    fn send(&mut self, id: RequestId, attempt: u32, to: UpstreamId) {
        self.0.push(Wish::Send(id, attempt, to));
    }
    fn cancel(&mut self, id: RequestId, attempt: u32) {
        self.0.push(Wish::Withdraw(id, attempt));
    }
    fn answer(&mut self, id: RequestId, answer: Answer) {
        self.0.push(Wish::Answer(id, answer));
    }
    fn health_check(&mut self, node: UpstreamId) {
        self.0.push(Wish::Probe(node));
    }
    fn subscribe(&mut self) {
        self.0.push(Wish::Watch);
    }
    fn set_timer(&mut self, at: f64, timer: Timer) {
        self.0.push(Wish::Timer(at, timer));
    }
}

/// One idle connection: since when, and to which life of which node.
#[derive(Clone, Copy)]
struct Idle {
    since: Nanos,
    node: u32,
    life: u32,
}

struct Sidecar {
    tier: usize,
    zone: usize,
    rank: usize,
    /// The node whose own it is.
    owner: Option<u32>,
    up: bool,
    /// The front has noticed that it is up.
    seen: bool,
    life: u32,
    began: Nanos,
    dispatcher: Dispatcher<Box<dyn Decider>>,
    lots: FxHashMap<u32, Vec<Idle>>,
    known: Vec<Line>,
    seq: Option<u64>,
    /// Number of the latest call for the list; an answer to another one is passed over.
    call: u64,
    asking: bool,
}

#[derive(Clone, Copy)]
enum Origin {
    Caller { call: u32, number: u32 },
    Job { node: u32, life: u32, at: u32, number: u64 },
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Dialing,
    Out,
    Over,
}

struct Attempt {
    to: u32,
    phase: Phase,
    /// The connection, once it is up.
    over: Option<Idle>,
    /// When its last byte is at the node.
    there: Nanos,
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

struct Back {
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
    Impatient {
        call: u32,
        number: u32,
    },
    Come {
        id: u64,
    },
    Gone {
        id: u64,
    },
    Heard {
        call: u32,
        number: u32,
        heard: Heard,
        cause: Option<Cause>,
    },
    Called {
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
    Dialed {
        id: u64,
        attempt: u32,
        up: Option<(u32, u32)>,
    },
    AtNode {
        flight: u32,
        address: u32,
    },
    Hangup {
        node: u32,
        life: u32,
        key: (u64, u32),
    },
    Core {
        node: u32,
        generation: u64,
    },
    Crowd {
        node: u32,
        life: u32,
    },
    Back(u32),
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
    Ask {
        sidecar: u32,
        life: u32,
        call: u64,
    },
    Turn {
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
    Listed {
        sidecar: u32,
        life: u32,
        call: u64,
        told: Option<Box<Told>>,
    },
    Publish {
        tier: u8,
        line: Box<Line>,
    },
    Begins(u32),
    Ends(u32),
    Release {
        trouble: u32,
        step: u32,
        stage: u8,
    },
    Seen {
        sidecar: u32,
        up: bool,
    },
    Sample,
}

/// The world of one run.
pub struct World {
    e: Experiment,
    policy: Policy,
    seed: u64,
    wanted: Wanted,
    streams: Streams,
    queue: Queue<Event>,
    net: Net,
    source: Source,
    calls: Slab<Call>,
    sidecars: Vec<Sidecar>,
    front: Vec<u32>,
    nodes: Vec<Node>,
    /// Which node listens at an address.
    listens: Vec<u32>,
    tiers: Vec<Vec<u32>>,
    lists: Vec<Discovery>,
    /// The first tier's list at the start.
    first_list: Told,
    /// Changes of one node are published in their order.
    published: Vec<Nanos>,
    requests: Slab<Request>,
    number: u64,
    tries: u32,
    flights: Slab<Job>,
    backs: Slab<Back>,
    struck: Vec<Vec<u32>>,
    observer: Observer,
    meter: Meter,
    wishes: Wishes,
    notice: Stream,
    sights: Sights,
    looks: Vec<Nanos>,
    arriving: bool,
    finished: Vec<usize>,
}

/// Plays an experiment once.
///
/// # Errors
///
/// Says why it cannot be played, or with [`Wanted::strict`] which rule was broken.
pub fn play(e: &Experiment, policy: Policy, seed: u64, wanted: Wanted) -> Result<Outcome, RunError> {
    let mut world = World::new(e, policy, seed, wanted)?;
    world.run()?;
    Ok(world.outcome())
}

impl World {
    fn new(e: &Experiment, policy: Policy, seed: u64, wanted: Wanted) -> Result<World, RunError> {
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
            wanted,
            streams,
            queue: Queue::default(),
            calls: Slab::new(),
            sidecars: Vec::new(),
            front: Vec::new(),
            nodes: Vec::new(),
            listens: Vec::new(),
            tiers: Vec::new(),
            lists: Vec::new(),
            first_list: Told { seq: 0, whole: true, lines: Vec::new() },
            published: Vec::new(),
            requests: Slab::new(),
            number: 0,
            tries: 0,
            flights: Slab::new(),
            backs: Slab::new(),
            struck: vec![Vec::new(); e.trouble.len()],
            wishes: Wishes::default(),
            sights: Sights::default(),
            looks: Vec::new(),
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
            let lines: Vec<Line> =
                world.tiers[tier].iter().map(|n| world.line(*n, EndpointState::Running)).collect();
            world.lists.push(Discovery::new(&e.discovery, lines.into_iter()));
        }
        world.first_list = world.lists[0].tell(None);
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
            world.queue.put(nanos(trouble.from_s), Event::Begins(n as u32));
            world.queue.put(nanos(trouble.from_s + trouble.for_s), Event::Ends(n as u32));
        }
        world.queue.put(nanos(1.0), Event::Sample);
        for sidecar in 0..world.sidecars.len() as u32 {
            world.learn_known(sidecar);
        }
        Ok(world)
    }

    fn add_node(&mut self, tier: usize, kind: usize, zone: usize, address: Option<u32>) -> u32 {
        let number = self.nodes.len() as u32;
        let spec = &self.e.tier[tier];
        let mut node =
            Node::new(u64::from(number), tier, zone, &spec.kind[kind], &spec.report, &self.streams);
        node.address = address.unwrap_or(self.listens.len() as u32);
        match address {
            Some(address) => self.listens[address as usize] = number,
            None => self.listens.push(number),
        }
        self.sights.borrow_mut().push(True { held: 0.0, pace: node.speed * f64::from(node.kind.cores) });
        self.nodes.push(node);
        self.published.push(0);
        self.looks.push(0);
        self.tiers[tier].push(number);
        if self.wanted.nodes {
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
        if self.wanted.mutant == Mutant::Retry {
            settings
                .classes
                .iter_mut()
                .for_each(|c| c.idempotency = passrelay_load_balancing::Idempotency::Idempotent);
        }
        let decider = self.policy.decider(&settings, seed, &self.streams, &self.sights);
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
        let known = self.lists[tier].tell(None);
        self.sidecars.push(Sidecar {
            tier,
            zone,
            rank,
            owner,
            up: true,
            seen: true,
            life: 0,
            began,
            dispatcher,
            lots: FxHashMap::default(),
            known: known.lines,
            seq: Some(known.seq),
            call: 0,
            asking: false,
        });
        Ok(at)
    }

    // ---- The loop ----

    fn run(&mut self) -> Result<(), RunError> {
        let end = nanos(self.e.length_s);
        let longest = self.e.class.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let last = end + nanos(longest + TAIL_S);
        while let Some(event) = self.queue.take() {
            self.event(event)?;
            if self.wanted.strict {
                if let Some(broken) = self.observer.broken().first() {
                    return Err(RunError::Broken(Box::new(broken.clone())));
                }
            }
            let idle = !self.arriving && self.calls.is_empty() && self.requests.is_empty();
            if idle && self.queue.now() >= end || self.queue.now() > last {
                break;
            }
        }
        self.observer.end(self.queue.now());
        match self.observer.broken().first() {
            Some(broken) if self.wanted.strict => Err(RunError::Broken(Box::new(broken.clone()))),
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
            Event::Impatient { call, number } => self.impatient(call, number),
            Event::Come { id } => self.come(id),
            Event::Gone { id } => self.caller_gone(id),
            Event::Heard { call, number, heard, cause } => self.heard(call, number, heard, cause),
            Event::Called { node, life, at, number, served } => self.called(node, life, at, number, served),
            Event::Timer { sidecar, life, timer } => {
                if self.sidecars[sidecar as usize].life == life {
                    self.with(sidecar, |dispatcher, now, transport| {
                        dispatcher.timer_fired(now, timer, transport)
                    });
                }
            }
            Event::Dialed { id, attempt, up } => self.dialed(id, attempt, up),
            Event::AtNode { flight, address } => self.at_node(flight, address),
            Event::Hangup { node, life, key } => self.hang_up(node, life, key),
            Event::Core { node, generation } => self.core(node, generation),
            Event::Crowd { node, life } => {
                if self.nodes[node as usize].life == life {
                    self.nodes[node as usize].catch_up(now);
                    self.changed(node);
                }
            }
            Event::Back(at) => self.back(at),
            Event::Probe { sidecar, life, node, sent } => self.probe_there(sidecar, life, node, sent),
            Event::Probed { sidecar, life, node, sent, ending, report } => {
                if self.sidecars[sidecar as usize].life == life {
                    let elapsed = seconds(now - sent);
                    let report = report.map(|r| *r);
                    self.with(sidecar, |dispatcher, now, transport| {
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
            Event::Ask { sidecar, life, call } => self.asked(sidecar, life, call),
            Event::Turn { sidecar, life, call, since, watch } => {
                self.turn(sidecar, life, call, since, watch);
            }
            Event::WatchEnds { sidecar, call } => self.watch_ends(sidecar, call),
            Event::Listed { sidecar, life, call, told } => self.listed(sidecar, life, call, told),
            Event::Publish { tier, line } => self.publish(tier as usize, *line),
            Event::Begins(n) => self.trouble_begins(n as usize),
            Event::Ends(n) => self.trouble_ends(n as usize)?,
            Event::Release { trouble, step, stage } => self.release(trouble as usize, step, stage)?,
            Event::Seen { sidecar, up } => self.sidecars[sidecar as usize].seen = up,
            Event::Sample => self.sample(),
        }
        Ok(())
    }

    /// Lets a sidecar's dispatcher do something and carries out what it wishes.
    fn with(&mut self, at: u32, f: impl FnOnce(&mut Dispatcher<Box<dyn Decider>>, f64, &mut Wishes)) {
        let now = self.queue.now();
        let sidecar = &mut self.sidecars[at as usize];
        if !sidecar.up {
            return;
        }
        let mut wishes = std::mem::take(&mut self.wishes);
        f(&mut sidecar.dispatcher, seconds(now - sidecar.began), &mut wishes);
        for wish in wishes.0.drain(..) {
            self.carry_out(at, wish);
        }
        self.wishes = wishes;
    }

    fn carry_out(&mut self, at: u32, wish: Wish) {
        let now = self.queue.now();
        let life = self.sidecars[at as usize].life;
        match wish {
            Wish::Send(id, attempt, to) => self.set_out(at, id.0, attempt, to.0 as u32),
            Wish::Withdraw(id, attempt) => self.withdraw(id.0, attempt),
            Wish::Answer(id, answer) => self.answer(id.0, answer),
            Wish::Probe(node) => {
                let node = node.0 as u32;
                let delay = self.delay_to_node(at, node);
                self.queue.put(now + delay, Event::Probe { sidecar: at, life, node, sent: now });
            }
            Wish::Watch => self.ask(at),
            Wish::Timer(when, timer) => {
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
        let owner = s.owner.is_some_and(|o| self.nodes[o as usize].ills.cut);
        n.ills.cut || owner || self.net.is_cut(s.zone, n.zone)
    }
}
