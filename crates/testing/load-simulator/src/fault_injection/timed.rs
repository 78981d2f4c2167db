//! Fault injection in simulated time. Voters with their journals, clients and frames are the production code; the
//! links, disks and clocks are simulated, and their faults are drawn from a seed.

mod actors;
mod connections;
mod faults;
mod members;

use super::clock::Clock;
use super::history::{check, AcknowledgedEffect, Act, Belief, History, Violation};
use crate::random::{Stream, Streams};
use passrelay_lease_consensus::client::{Client, ClientEvent};
use passrelay_lease_consensus::lease_table::{Op, Reply};
use passrelay_lease_consensus::membership::{MembershipChange, VoterInfo};
use passrelay_lease_consensus::mutant::{is_active, set_active, Mutant};
use passrelay_lease_consensus::voter::{Recipient, VoterConfig};
use passrelay_lease_consensus::wire::{decode, encode, ClientRequest, ClientResponse, Frame};
use passrelay_lease_consensus::VoterId;
use passrelay_lease_journal::{Fault, MemoryDisk};
use passrelay_lease_runtime::durable_voter::DurableVoter;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

/// The fleet identifier in frames.
const FLEET: u64 = 7;
/// When faults begin, in simulated seconds. A fleet's first start needs all voters.
const FAULTS_FROM: f64 = 2.0;
/// Seconds after the last fault within which each client has to get a lease.
const RECOVERY: f64 = 14.0;
/// Times to live from which those of sessions and leases are chosen, in ms.
const TTLS_MS: [u64; 3] = [600, 1000, 2000];
/// Seconds after which a client stops waiting for a lease, except while the fleet recovers.
const MAX_WAIT: f64 = 8.0;

/// Parameters of one simulated run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of voters at the start.
    pub voters: usize,
    /// Number of further voters that can be added during the run.
    pub spares: usize,
    /// Number of clients, which compete for half as many leases.
    pub clients: usize,
    /// Simulated seconds during which faults are injected.
    pub seconds: f64,
    /// The lock delay, in seconds.
    pub lock_delay: f64,
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// A deliberately broken variant of the code under test, which the checker has to detect.
    pub mutant: Option<Mutant>,
}

/// Result of one simulated run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violations that the checker found; empty for a correct run.
    pub violations: Vec<Violation>,
    /// Log of the injected faults in order of time, followed by the final state of each voter.
    pub faults: Vec<String>,
    /// Number of grants that a client believed to hold.
    pub grants: usize,
    /// Number of acts on targets plus effects that the fleet acknowledged.
    pub effects: usize,
}

type ProcId = usize;
type ConnId = usize;

#[derive(Clone, Debug)]
enum Segment {
    Open,
    Bytes(Vec<u8>),
    Close,
}

struct Conn {
    ends: [ProcId; 2],
    open: [bool; 2],
    /// Latest scheduled arrival in each direction; later items must not arrive earlier, as links preserve order.
    last_arrival: [f64; 2],
    /// Items sent from each end while its direction was cut, delivered once the link is restored.
    held: [VecDeque<Segment>; 2],
}

enum Event {
    Arrive { conn: ConnId, to: usize, segment: Segment },
    Tick { proc: ProcId, life: u32 },
    Fault,
    Undo(Undo),
    ActArrival(Act),
}

#[derive(Clone, Debug)]
enum Undo {
    RestoreLink(ProcId, ProcId),
    Resume(ProcId),
    Restart(ProcId),
    RepairDisk(ProcId),
    /// Starts a fault instead of undoing one: silences the process again, until the given time.
    Silence(ProcId, f64),
}

/// An event with its time and its sequence number, which orders events of equal time.
struct ScheduledEvent(f64, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// What a client process is doing.
#[derive(Clone, Debug)]
enum Activity {
    Idle { until: f64 },
    Waiting { lease: String, since: f64, ttl_ms: u64, wait: bool },
    Acting { lease: String, next: f64, end: f64, busy: f64 },
    Leaving { seq: u64 },
}

/// A client process with its connection and its current activity.
struct ClientHost {
    client: Client,
    conn: Option<ConnId>,
    /// Index in `voters` of the voter it is connected to.
    voter: usize,
    voters: Vec<ProcId>,
    connect_at: f64,
    activity: Activity,
    /// Effects requested from the fleet and not yet answered, by sequence number: lease, token, time of the request.
    pending_effects: BTreeMap<u64, (String, u64, f64)>,
    /// An effect that was checked but is requested later, as if the process had been busy in between: time of the
    /// request, operation, lease, token.
    deferred_effect: Option<(f64, Op, String, u64)>,
    /// Current beliefs by lease and token: their start in true time and their end by the local clock.
    beliefs: BTreeMap<(String, u64), (f64, Duration)>,
    grants_after_healing: u32,
    /// Whether faults have ended.
    healed: bool,
}

/// A voter process with its disk and its connections to other voters.
struct VoterHost {
    durable: Option<DurableVoter<MemoryDisk>>,
    disk: MemoryDisk,
    /// A copy of the disk from earlier in the run, for faults that roll the disk back.
    older_copy: Option<MemoryDisk>,
    outgoing: Vec<Option<ConnId>>,
    connect_at: Vec<f64>,
    /// Whether its disk was lost or replaced by an older copy. Such a voter no longer counts, and another may
    /// replace it.
    disk_invalid: bool,
    /// The voters in its configuration file; empty while the host is a spare.
    config: Vec<VoterId>,
}

/// The operator that adds and removes voters one at a time, repeating each request until it is done.
#[derive(Default)]
struct Operator {
    pending_changes: VecDeque<PlannedChange>,
    conn: Option<ConnId>,
    request_at: f64,
    ticket: u64,
}

#[derive(Clone, Copy, Debug)]
enum PlannedChange {
    Add(ProcId),
    Remove(ProcId),
}

enum Role {
    Voter(Box<VoterHost>),
    Client(Box<ClientHost>),
    Operator(Operator),
}

struct Proc {
    name: String,
    clock: Clock,
    /// Seconds by which the wall clock was set ahead.
    wall_ahead: f64,
    up: bool,
    /// Whether the process is suspended, as by `SIGSTOP`.
    stopped: bool,
    /// What arrived while the process was suspended.
    inbox: VecDeque<(ConnId, usize, Segment)>,
    /// Number of starts; events of an earlier life are ignored.
    life: u32,
    role: Role,
}

struct World {
    plan: Plan,
    now: f64,
    event_count: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    procs: Vec<Proc>,
    conns: Vec<Conn>,
    /// Whether the link from one process to another is cut, one direction at a time.
    cut: Vec<Vec<bool>>,
    /// Typical delay of links, in seconds.
    delay: f64,
    random: Stream,
    faults: Vec<String>,
    history: History,
    /// The highest token that the target of each lease has seen.
    target_tokens: BTreeMap<String, u64>,
    /// Whether faults have ended and the fleet recovers.
    healing: bool,
    /// The voters once all pending changes are done.
    membership: Vec<ProcId>,
}

/// Runs one simulation and checks its history.
pub fn play(plan: Plan) -> Outcome {
    set_active(plan.mutant);
    let mut world = World::new(plan);
    // A panic, as of a voter that finds invalid state, is reported like any other violation.
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.run()));
    set_active(None);
    if let Err(panic) = result {
        let message = panic.downcast_ref::<String>().cloned().unwrap_or_default();
        let violations = vec![Violation { rule: "a process panicked", evidence: vec![message] }];
        return Outcome { violations, faults: world.faults, ..Outcome::default() };
    }
    let History { beliefs, acts, acknowledged, .. } = &world.history;
    Outcome {
        grants: beliefs.iter().map(|b| b.token).collect::<std::collections::BTreeSet<_>>().len(),
        effects: acts.len() + acknowledged.len(),
        violations: check(&world.history),
        faults: world.faults,
    }
}

impl World {
    fn new(plan: Plan) -> World {
        let mut random = Streams::new(plan.seed).of("siege", 0);
        let voter_hosts = plan.voters + plan.spares;
        let size = voter_hosts + plan.clients + 1;
        let mut procs = Vec::new();
        for at in 0..size {
            // Often close to 10 % fast or slow, the bound up to which the guarantees hold.
            let rate = if random.random_bool(0.4) {
                [0.902, 1.098][random.random_range(0..2)]
            } else {
                random.random_range(0.91..1.09)
            };
            let clock = Clock::new(random.random_range(0.0..86_400.0), rate);
            let voter = at < voter_hosts;
            let name = match at {
                _ if voter => format!("voter-{}", at + 1),
                _ if at + 1 == size => "operator".to_owned(),
                _ => format!("client-{}", at - voter_hosts),
            };
            let founders = (1..=plan.voters as u64).collect();
            let role = if at + 1 == size {
                Role::Operator(Operator::default())
            } else if voter {
                Role::Voter(Box::new(VoterHost {
                    durable: None,
                    disk: MemoryDisk::default(),
                    older_copy: None,
                    outgoing: vec![None; voter_hosts],
                    connect_at: vec![0.0; voter_hosts],
                    disk_invalid: false,
                    config: if at < plan.voters { founders } else { Vec::new() },
                }))
            } else {
                Role::Client(Box::new(ClientHost::new(
                    &name,
                    random.random(),
                    random.random_range(0..plan.voters),
                    (0..plan.voters).collect(),
                )))
            };
            let inbox = VecDeque::new();
            procs.push(Proc {
                name,
                clock,
                wall_ahead: 0.0,
                up: false,
                stopped: false,
                inbox,
                life: 0,
                role,
            });
        }
        let mut world = World {
            plan,
            now: 0.0,
            event_count: 0,
            queue: BinaryHeap::new(),
            procs,
            conns: Vec::new(),
            cut: vec![vec![false; size]; size],
            delay: 0.001,
            random,
            faults: Vec::new(),
            history: History { grace: plan.lock_delay / 1.1, ..History::default() },
            target_tokens: BTreeMap::new(),
            healing: false,
            membership: (0..plan.voters).collect(),
        };
        (0..size).for_each(|p| world.start(p));
        world.schedule(FAULTS_FROM, Event::Fault);
        world
    }

    fn schedule(&mut self, time: f64, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse(ScheduledEvent(time, self.event_count, event)));
    }

    fn run(&mut self) {
        let end = FAULTS_FROM + self.plan.seconds;
        while let Some(Reverse(ScheduledEvent(time, _, event))) = self.queue.pop() {
            if time >= end && !self.healing {
                self.heal_all();
            }
            if time >= end + RECOVERY {
                break;
            }
            self.now = time;
            match event {
                Event::Arrive { conn, to, segment } => self.arrive(conn, to, segment),
                Event::Tick { proc, life } => self.tick(proc, life),
                Event::Fault if !self.healing => {
                    self.inject_fault();
                    let next = self.now + self.random.random_range(0.05..1.2);
                    self.schedule(next, Event::Fault);
                }
                Event::Fault => {}
                Event::Undo(undo) => self.undo(&undo),
                Event::ActArrival(act) => self.record_act(act),
            }
        }
        self.finish();
    }

    /// Number of processes that are voters or spares; they precede the clients in `procs`.
    fn voter_hosts(&self) -> usize {
        self.plan.voters + self.plan.spares
    }

    /// Returns a process's local time.
    fn local_time(&self, proc: ProcId) -> Duration {
        let wall = if is_active(Mutant::WallClock) { self.procs[proc].wall_ahead } else { 0.0 };
        self.procs[proc].clock.reading(self.now) + Duration::from_secs_f64(wall)
    }

    fn start(&mut self, proc: ProcId) {
        let now = self.local_time(proc);
        let fresh = self.random.random();
        let (founders, voter_hosts) = (self.plan.voters, self.voter_hosts());
        let lock_delay = Duration::from_secs_f64(self.plan.lock_delay);
        let p = &mut self.procs[proc];
        if matches!(&p.role, Role::Voter(host) if host.config.is_empty()) {
            return;
        }
        (p.up, p.stopped, p.life) = (true, false, p.life + 1);
        p.inbox.clear();
        match &mut p.role {
            Role::Voter(host) => {
                let identity = VoterConfig {
                    voter: proc as u64 + 1,
                    voters: host.config.clone(),
                    joining: proc >= founders,
                    lock_delay,
                    new_disk_id: fresh,
                    incarnation: fresh,
                };
                let disk = host.disk.clone();
                let open = Box::new(move || Ok(disk.clone()));
                // Opening fails if the disk is full; the next tick tries again.
                host.durable = DurableVoter::open(identity, open, now).ok();
                host.outgoing = vec![None; voter_hosts];
                host.connect_at = vec![0.0; voter_hosts];
            }
            Role::Client(client_host) => {
                let (voter, healed, grants_after_healing) =
                    (client_host.voter, client_host.healed, client_host.grants_after_healing);
                **client_host = ClientHost::new(&p.name.clone(), fresh, voter, client_host.voters.clone());
                (client_host.healed, client_host.grants_after_healing) = (healed, grants_after_healing);
            }
            Role::Operator(operator) => operator.conn = None,
        }
        let life = p.life;
        self.schedule(self.now + 0.02, Event::Tick { proc, life });
    }

    fn kill(&mut self, proc: ProcId) {
        if !self.procs[proc].up {
            return;
        }
        self.end_beliefs(proc);
        let p = &mut self.procs[proc];
        (p.up, p.stopped) = (false, false);
        p.inbox.clear();
        if let Role::Voter(host) = &mut p.role {
            host.durable = None;
        }
        for conn in 0..self.conns.len() {
            for end in 0..2 {
                if self.conns[conn].ends[end] == proc {
                    self.close(conn, end);
                }
            }
        }
    }

    fn log_fault(&mut self, text: String) {
        self.faults.push(format!("{:.3} {text}", self.now));
    }

    fn finish(&mut self) {
        for proc in 0..self.voter_hosts() {
            if let Role::Voter(host) = &self.procs[proc].role {
                let durable = host.durable.as_ref();
                let status =
                    durable.map_or_else(|| "voter not running".to_owned(), |s| format!("{:?}", s.status()));
                self.log_fault(status);
            }
        }
        for proc in self.voter_hosts()..self.procs.len() {
            self.end_beliefs(proc);
            let p = &self.procs[proc];
            if let Role::Client(client_host) = &p.role {
                if client_host.grants_after_healing == 0 {
                    self.history.starved.push(format!("{}: {:?}", p.name, client_host.activity));
                }
            }
        }
        let voters = self.procs.iter().filter_map(|p| match &p.role {
            Role::Voter(host) => host.durable.as_ref()?.voter().filter(|v| v.is_voting()),
            Role::Client(_) | Role::Operator(_) => None,
        });
        if let Some(voter) = voters.max_by_key(|v| v.status().applied) {
            let leases = voter.table().leases().iter();
            self.history.last_effects =
                leases.map(|(name, lease)| (name.clone(), lease.last_effect)).collect();
        }
    }
}

/// Default number of clients of a run.
pub const DEFAULT_CLIENTS: usize = 4;

/// Returns the plan for a seed: three voters for even seeds and five for odd ones, three spares, half as many leases as
/// clients, and fifteen seconds of faults.
pub fn plan_for_seed(seed: u64, clients: usize, mutant: Option<Mutant>) -> Plan {
    let voters = if seed % 2 == 0 { 3 } else { 5 };
    // A short lock delay hides fewer faults.
    let lock_delay = if seed % 3 == 0 { 0.02 } else { 0.2 };
    Plan { lock_delay, voters, spares: 3, clients, seconds: 15.0, seed, mutant }
}

/// Combined result of many runs.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of runs.
    pub played: usize,
    /// Injected faults in all runs, counted by their log lines.
    pub faults: usize,
    /// Sum of [`Outcome::grants`] over all runs.
    pub grants: usize,
    /// Sum of [`Outcome::effects`] over all runs.
    pub effects: usize,
    /// The lowest seed with a violation, and its outcome.
    pub first_violation: Option<(u64, Outcome)>,
    /// Number of runs with a violation.
    pub violated: usize,
}

/// Runs the simulations of these seeds on all cores.
pub fn play_many(seeds: std::ops::Range<u64>, clients: usize, mutant: Option<Mutant>) -> Summary {
    use rayon::prelude::*;
    let run_one = |seed: u64| {
        let outcome = play(plan_for_seed(seed, clients, mutant));
        let violated = !outcome.violations.is_empty();
        Summary {
            played: 1,
            faults: outcome.faults.len(),
            grants: outcome.grants,
            effects: outcome.effects,
            violated: usize::from(violated),
            first_violation: violated.then_some((seed, outcome)),
        }
    };
    let combine = |a: Summary, b: Summary| Summary {
        played: a.played + b.played,
        faults: a.faults + b.faults,
        grants: a.grants + b.grants,
        effects: a.effects + b.effects,
        violated: a.violated + b.violated,
        first_violation: match (a.first_violation, b.first_violation) {
            (Some(a), Some(b)) => Some(if a.0 < b.0 { a } else { b }),
            (a, b) => a.or(b),
        },
    };
    seeds.into_par_iter().map(run_one).reduce(Summary::default, combine)
}
