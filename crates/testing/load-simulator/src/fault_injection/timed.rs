//! Fault injection in simulated time: the real voters with their journals, the real clients and frames, on links,
//! disks and clocks that fail as the seed says.

mod actors;
mod connections;
mod faults;
mod members;

use super::clock::Clock;
use super::history::{check, Act, Belief, History, Noted, Violation};
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

/// The fleet's number in frames.
const FLEET: u64 = 7;
/// Faults begin here: the first start needs all voters.
const CALM_UNTIL: f64 = 2.0;
/// After the last fault, so long for everyone to get on.
const HEALING: f64 = 14.0;
/// Times to live of sessions and leases, in ms.
const TTLS_MS: [u64; 3] = [600, 1000, 2000];
/// How long a process waits in line before it leaves it.
const PATIENCE: f64 = 8.0;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Voters.
    pub voters: usize,
    /// Voters that can be added.
    pub spares: usize,
    /// Clients.
    pub clients: usize,
    /// Seconds with faults.
    pub seconds: f64,
    /// The lock delay, in seconds.
    pub lock_delay: f64,
    /// The seed.
    pub seed: u64,
    /// A wrong version of a part, to see that it is caught.
    pub mutant: Option<Mutant>,
}

/// What a history came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What is wrong.
    pub violations: Vec<Violation>,
    /// The faults, in order.
    pub faults: Vec<String>,
    /// Grants that somebody believed in.
    pub grants: usize,
    /// Acts outside and effects inside.
    pub effects: usize,
}

type ProcId = usize;
type ConnId = usize;

#[derive(Clone, Debug)]
enum Item {
    Open,
    Bytes(Vec<u8>),
    Close,
}

struct Conn {
    ends: [ProcId; 2],
    open: [bool; 2],
    /// When the last item arrives in each direction: links keep the order.
    last: [f64; 2],
    held: [VecDeque<Item>; 2],
}

enum Event {
    Arrive { conn: ConnId, to: usize, item: Item },
    Tick { proc: ProcId, life: u32 },
    Fault,
    Undo(Undo),
    Land(Act),
}

#[derive(Clone, Debug)]
enum Undo {
    Heal(ProcId, ProcId),
    Go(ProcId),
    Start(ProcId),
    Disk(ProcId),
    /// Not an undoing: it falls silent again, until then.
    Mute(ProcId, f64),
}

struct Due(f64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// What a client process is about.
#[derive(Clone, Debug)]
enum Doing {
    Idle { until: f64 },
    Wanting { lease: String, since: f64, ttl_ms: u64, wait: bool },
    Acting { lease: String, next: f64, end: f64, busy: f64 },
    Leaving { seq: u64 },
}

struct Member {
    client: Client,
    conn: Option<ConnId>,
    /// Which of `voters` it is with.
    voter: usize,
    voters: Vec<ProcId>,
    call_at: f64,
    doing: Doing,
    /// Effects asked of the fleet: lease, token, when.
    asked: BTreeMap<u64, (String, u64, f64)>,
    /// An effect that was checked, and is asked for later: the process was busy in between.
    late: Option<(f64, Op, String, u64)>,
    beliefs: BTreeMap<(String, u64), (f64, Duration)>,
    served: u32,
    calm: bool,
}

struct Desk {
    durable: Option<DurableVoter<MemoryDisk>>,
    disk: MemoryDisk,
    old: Option<MemoryDisk>,
    called: Vec<Option<ConnId>>,
    call_at: Vec<f64>,
    /// Its disk was lost or is an older copy: it is out, and another comes in its place.
    out: bool,
    /// The voters of its file; none while it is a spare.
    file: Vec<VoterId>,
}

/// Whoever adds and removes voters, one after another, asking until each is done.
#[derive(Default)]
struct Operator {
    orders: VecDeque<Order>,
    conn: Option<ConnId>,
    ask_at: f64,
    ticket: u64,
}

#[derive(Clone, Copy, Debug)]
enum Order {
    Add(ProcId),
    Remove(ProcId),
}

enum Role {
    Voter(Box<Desk>),
    Client(Box<Member>),
    Operator(Operator),
}

struct Proc {
    name: String,
    clock: Clock,
    /// What somebody set the wall clock ahead by.
    wall: f64,
    up: bool,
    stopped: bool,
    inbox: VecDeque<(ConnId, usize, Item)>,
    life: u32,
    role: Role,
}

struct World {
    plan: Plan,
    now: f64,
    number: u64,
    due: BinaryHeap<Reverse<Due>>,
    procs: Vec<Proc>,
    conns: Vec<Conn>,
    cut: Vec<Vec<bool>>,
    delay: f64,
    random: Stream,
    faults: Vec<String>,
    history: History,
    targets: BTreeMap<String, u64>,
    healing: bool,
    /// Who votes when all orders so far are done.
    membership: Vec<ProcId>,
}

/// Plays one history.
pub fn play(plan: Plan) -> Outcome {
    set_active(plan.mutant);
    let mut world = World::new(plan);
    // A voter that ends itself over what it finds is seen like any other fault of the code under test.
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.run()));
    set_active(None);
    if let Err(panic) = ended {
        let said = panic.downcast_ref::<String>().cloned().unwrap_or_default();
        let violations = vec![Violation { rule: "a process ended itself", shows: vec![said] }];
        return Outcome { violations, faults: world.faults, ..Outcome::default() };
    }
    let History { beliefs, acts, noted, .. } = &world.history;
    Outcome {
        grants: beliefs.iter().map(|b| b.token).collect::<std::collections::BTreeSet<_>>().len(),
        effects: acts.len() + noted.len(),
        violations: check(&world.history),
        faults: world.faults,
    }
}

impl World {
    fn new(plan: Plan) -> World {
        let mut random = Streams::new(plan.seed).of("siege", 0);
        let desks = plan.voters + plan.spares;
        let size = desks + plan.clients + 1;
        let mut procs = Vec::new();
        for at in 0..size {
            // Often close to the bound that the promise is given for.
            let rate = if random.random_bool(0.4) {
                [0.902, 1.098][random.random_range(0..2)]
            } else {
                random.random_range(0.91..1.09)
            };
            let clock = Clock::new(random.random_range(0.0..86_400.0), rate);
            let voter = at < desks;
            let name = match at {
                _ if voter => format!("voter-{}", at + 1),
                _ if at + 1 == size => "operator".to_owned(),
                _ => format!("client-{}", at - desks),
            };
            let founders = (1..=plan.voters as u64).collect();
            let role = if at + 1 == size {
                Role::Operator(Operator::default())
            } else if voter {
                Role::Voter(Box::new(Desk {
                    durable: None,
                    disk: MemoryDisk::default(),
                    old: None,
                    called: vec![None; desks],
                    call_at: vec![0.0; desks],
                    out: false,
                    file: if at < plan.voters { founders } else { Vec::new() },
                }))
            } else {
                Role::Client(Box::new(Member::new(
                    &name,
                    random.random(),
                    random.random_range(0..plan.voters),
                    (0..plan.voters).collect(),
                )))
            };
            let inbox = VecDeque::new();
            procs.push(Proc { name, clock, wall: 0.0, up: false, stopped: false, inbox, life: 0, role });
        }
        let mut world = World {
            plan,
            now: 0.0,
            number: 0,
            due: BinaryHeap::new(),
            procs,
            conns: Vec::new(),
            cut: vec![vec![false; size]; size],
            delay: 0.001,
            random,
            faults: Vec::new(),
            history: History { grace: plan.lock_delay / 1.1, ..History::default() },
            targets: BTreeMap::new(),
            healing: false,
            membership: (0..plan.voters).collect(),
        };
        (0..size).for_each(|p| world.start(p));
        world.at(CALM_UNTIL, Event::Fault);
        world
    }

    fn at(&mut self, time: f64, event: Event) {
        self.number += 1;
        self.due.push(Reverse(Due(time, self.number, event)));
    }

    fn run(&mut self) {
        let end = CALM_UNTIL + self.plan.seconds;
        while let Some(Reverse(Due(time, _, event))) = self.due.pop() {
            if time >= end && !self.healing {
                self.heal_all();
            }
            if time >= end + HEALING {
                break;
            }
            self.now = time;
            match event {
                Event::Arrive { conn, to, item } => self.arrive(conn, to, item),
                Event::Tick { proc, life } => self.tick(proc, life),
                Event::Fault if !self.healing => {
                    self.fault();
                    let next = self.now + self.random.random_range(0.05..1.2);
                    self.at(next, Event::Fault);
                }
                Event::Fault => {}
                Event::Undo(undo) => self.undo(&undo),
                Event::Land(act) => self.land(act),
            }
        }
        self.conclude();
    }

    /// Processes that vote or may be added; clients come behind them.
    fn desks(&self) -> usize {
        self.plan.voters + self.plan.spares
    }

    fn local(&self, proc: ProcId) -> Duration {
        let wall = if is_active(Mutant::WallClock) { self.procs[proc].wall } else { 0.0 };
        self.procs[proc].clock.shows(self.now) + Duration::from_secs_f64(wall)
    }

    // Processes.

    fn start(&mut self, proc: ProcId) {
        let now = self.local(proc);
        let fresh = self.random.random();
        let (founders, desks) = (self.plan.voters, self.desks());
        let lock_delay = Duration::from_secs_f64(self.plan.lock_delay);
        let p = &mut self.procs[proc];
        if matches!(&p.role, Role::Voter(desk) if desk.file.is_empty()) {
            return;
        }
        (p.up, p.stopped, p.life) = (true, false, p.life + 1);
        p.inbox.clear();
        match &mut p.role {
            Role::Voter(desk) => {
                let identity = VoterConfig {
                    voter: proc as u64 + 1,
                    voters: desk.file.clone(),
                    joining: proc >= founders,
                    lock_delay,
                    new_disk_id: fresh,
                    incarnation: fresh,
                };
                let disk = desk.disk.clone();
                let open = Box::new(move || Ok(disk.clone()));
                // A disk that is full at the start: the durable is tried again with the next tick.
                desk.durable = DurableVoter::open(identity, open, now).ok();
                desk.called = vec![None; desks];
                desk.call_at = vec![0.0; desks];
            }
            Role::Client(member) => {
                let (voter, calm, served) = (member.voter, member.calm, member.served);
                **member = Member::new(&p.name.clone(), fresh, voter, member.voters.clone());
                (member.calm, member.served) = (calm, served);
            }
            Role::Operator(operator) => operator.conn = None,
        }
        let life = p.life;
        self.at(self.now + 0.02, Event::Tick { proc, life });
    }

    fn kill(&mut self, proc: ProcId) {
        if !self.procs[proc].up {
            return;
        }
        self.end_beliefs(proc);
        let p = &mut self.procs[proc];
        (p.up, p.stopped) = (false, false);
        p.inbox.clear();
        if let Role::Voter(desk) = &mut p.role {
            desk.durable = None;
        }
        for conn in 0..self.conns.len() {
            for end in 0..2 {
                if self.conns[conn].ends[end] == proc {
                    self.close(conn, end);
                }
            }
        }
    }

    // Links.

    fn say(&mut self, what: String) {
        self.faults.push(format!("{:.3} {what}", self.now));
    }

    fn conclude(&mut self) {
        for proc in 0..self.desks() {
            if let Role::Voter(desk) = &self.procs[proc].role {
                let durable = desk.durable.as_ref();
                let how = durable.map_or_else(|| "no voter".to_owned(), |s| format!("{:?}", s.status()));
                self.say(how);
            }
        }
        for proc in self.desks()..self.procs.len() {
            self.end_beliefs(proc);
            let p = &self.procs[proc];
            if let Role::Client(member) = &p.role {
                if member.served == 0 {
                    self.history.stuck.push(format!("{}: {:?}", p.name, member.doing));
                }
            }
        }
        let voters = self.procs.iter().filter_map(|p| match &p.role {
            Role::Voter(desk) => desk.durable.as_ref()?.voter().filter(|v| v.is_voting()),
            Role::Client(_) | Role::Operator(_) => None,
        });
        if let Some(voter) = voters.max_by_key(|v| v.status().applied) {
            let leases = voter.table().leases().iter();
            self.history.remembered = leases.map(|(name, lease)| (name.clone(), lease.last_effect)).collect();
        }
    }
}

/// Clients of a history.
pub const CLIENTS: usize = 4;

/// The plan of a seed: three voters and five in turn, half as many leases as clients, fifteen seconds of faults.
pub fn drawn(seed: u64, clients: usize, mutant: Option<Mutant>) -> Plan {
    let voters = if seed % 2 == 0 { 3 } else { 5 };
    // A short one hides less of what goes wrong.
    let lock_delay = if seed % 3 == 0 { 0.02 } else { 0.2 };
    Plan { lock_delay, voters, spares: 3, clients, seconds: 15.0, seed, mutant }
}

/// What many histories came to.
#[derive(Clone, Debug, Default)]
pub struct Many {
    /// Histories played.
    pub played: usize,
    /// Faults, grants, effects in all of them.
    pub counts: (usize, usize, usize),
    /// The lowest seed with a violation, and what it came to.
    pub first: Option<(u64, Outcome)>,
    /// Histories with a violation.
    pub violated: usize,
}

/// Plays the histories of these seeds on all cores.
pub fn play_many(seeds: std::ops::Range<u64>, clients: usize, mutant: Option<Mutant>) -> Many {
    use rayon::prelude::*;
    let one = |seed: u64| {
        let outcome = play(drawn(seed, clients, mutant));
        let counts = (outcome.faults.len(), outcome.grants, outcome.effects);
        let bad = !outcome.violations.is_empty();
        Many { played: 1, counts, violated: usize::from(bad), first: bad.then_some((seed, outcome)) }
    };
    let join = |a: Many, b: Many| Many {
        played: a.played + b.played,
        counts: (a.counts.0 + b.counts.0, a.counts.1 + b.counts.1, a.counts.2 + b.counts.2),
        violated: a.violated + b.violated,
        first: match (a.first, b.first) {
            (Some(a), Some(b)) => Some(if a.0 < b.0 { a } else { b }),
            (a, b) => a.or(b),
        },
    };
    seeds.into_par_iter().map(one).reduce(Many::default, join)
}
