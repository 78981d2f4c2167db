//! Machines, their processes, the network between them, and time.

use crate::disk::{Disk, DiskMutant};
use passrelay_control_plane::quota::{QuotaBounds, QuotaMessage};
use passrelay_control_plane::replication::{Member, ProtocolFault, ReplicaSettings, Ticket};
use passrelay_control_plane::{
    Action, CallId, Coordinator, CoordinatorSettings, Message, OperatorAnswer, OperatorRequest,
};
use passrelay_dissemination::{CommittedConfiguration, GossipFault, GossipSettings, Heartbeat};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const PORT: u16 = 7_680;
/// Number of machines that all others are told of.
const SEEDS: usize = 3;
/// Time between heartbeats of an endpoint.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Machines that count, with a disk.
    pub counted: usize,
    /// All machines.
    pub machines: usize,
    /// Counted machines that may be lost at one time.
    pub tolerated_losses: usize,
    /// One-way delay between machines.
    pub delay: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Fault of all disks, for checking the checker.
    pub mutant: Option<DiskMutant>,
    /// Fault of all members, for checking the checker.
    pub fault: Option<ProtocolFault>,
    /// Fault of dissemination at all machines, for checking the checker.
    pub gossip_fault: Option<GossipFault>,
    /// Seed of all chance.
    pub seed: u64,
}

enum Happening {
    Deliver { to: usize, incarnation: u64, from: SocketAddrV4, message: Box<Message> },
    Written { machine: usize, incarnation: u64, ticket: Ticket },
    Tick { machine: usize, incarnation: u64 },
    Start { machine: usize },
}

struct Scheduled {
    at: Duration,
    order: u64,
    what: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Machine {
    address: SocketAddrV4,
    disk: Option<Disk>,
    process: Option<Coordinator>,
    incarnation: u64,
    started_at: Duration,
    started_before: bool,
    frozen_until: Duration,
    removed: bool,
}

/// Something that the outside sees.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A process has put a configuration in force.
    Configured {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// What is in force.
        configuration: CommittedConfiguration,
    },
    /// An operator got an answer.
    Answered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// A sidecar got the answer to a question for tokens.
    Granted {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The grant.
        grant: QuotaMessage,
    },
}

/// A running cluster.
pub struct Cluster {
    settings: ClusterSettings,
    /// All chance of this history.
    pub rng: ChaCha8Rng,
    now: Duration,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    machines: Vec<Machine>,
    /// Machines whose addresses all others are told.
    seeds: Vec<usize>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    /// Pairs (from, to) between which nothing passes.
    cuts: BTreeSet<(usize, usize)>,
    /// Messages sent, by machine.
    pub messages: Vec<u64>,
    /// Bytes sent, by machine; counted only where `counts_bytes` is set.
    pub bytes: Vec<u64>,
    /// Whether bytes are counted, which costs time.
    pub counts_bytes: bool,
}

impl Cluster {
    /// A cluster whose machines start within 0.3 s.
    pub fn new(settings: ClusterSettings) -> Self {
        let mut cluster = Cluster {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            order: 0,
            machines: Vec::new(),
            seeds: (0..settings.machines.min(SEEDS)).collect(),
            by_address: BTreeMap::new(),
            cuts: BTreeSet::new(),
            messages: Vec::new(),
            bytes: Vec::new(),
            counts_bytes: false,
            settings,
        };
        for index in 0..cluster.settings.machines {
            let counted = index < cluster.settings.counted;
            let machine = cluster.add_machine(counted);
            let at = Duration::from_millis(cluster.rng.random_range(0..300));
            cluster.schedule(at, Happening::Start { machine });
        }
        cluster
    }

    /// Time since the beginning.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Number of machines, removed ones among them.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there are no machines.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Whether a process runs on a machine.
    pub fn runs(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some()
    }

    /// Whether a machine counts and is there.
    pub fn counts(&self, machine: usize) -> bool {
        self.machines[machine].disk.is_some() && !self.machines[machine].removed
    }

    /// Whether a machine's process answers: it runs and does not stand still.
    pub fn responds(&self, machine: usize) -> bool {
        self.runs(machine) && self.machines[machine].frozen_until <= self.now
    }

    /// Counts the starts of a machine's process.
    pub fn incarnation(&self, machine: usize) -> u64 {
        self.machines[machine].incarnation
    }

    /// When a machine's process was started.
    pub fn started_at(&self, machine: usize) -> Duration {
        self.machines[machine].started_at
    }

    /// The time on the clock of a machine's process.
    pub fn local_now(&self, machine: usize) -> Duration {
        self.now.saturating_sub(self.machines[machine].started_at)
    }

    /// The coordinator of a machine's process.
    pub fn process(&self, machine: usize) -> Option<&Coordinator> {
        self.machines[machine].process.as_ref()
    }

    /// The machine whose process is the established primary.
    pub fn primary(&self) -> Option<usize> {
        (0..self.machines.len()).find(|m| self.process(*m).is_some_and(|p| p.status(Duration::ZERO).leads))
    }

    /// Since when a process holds everything acknowledged, on the common clock.
    pub fn fresh_at(&self, machine: usize) -> Option<Duration> {
        let process = self.process(machine)?;
        Some(process.gossip().fresh_at()? + self.machines[machine].started_at)
    }

    /// Adds a machine that isn't started yet.
    pub fn add_machine(&mut self, counted: bool) -> usize {
        let index = self.machines.len();
        let octets = [10, 0, (index / 200) as u8, (index % 200 + 1) as u8];
        let address = SocketAddrV4::new(Ipv4Addr::from(octets), PORT);
        let latency = Duration::from_millis(1);
        let disk = counted.then(|| Disk::new(&mut self.rng, latency, self.settings.mutant));
        self.machines.push(Machine {
            address,
            disk,
            process: None,
            incarnation: 0,
            started_at: Duration::ZERO,
            started_before: self.now > Duration::from_secs(1),
            frozen_until: Duration::ZERO,
            removed: false,
        });
        self.by_address.insert(address, index);
        self.messages.push(0);
        self.bytes.push(0);
        index
    }

    /// Starts a machine's process after a time.
    pub fn start_after(&mut self, machine: usize, pause: Duration) {
        let at = self.now + pause;
        self.schedule(at, Happening::Start { machine });
    }

    /// Ends a machine's process without warning; power may go with it.
    pub fn crash(&mut self, machine: usize) {
        let now = self.now;
        let one = &mut self.machines[machine];
        one.process = None;
        one.incarnation += 1;
        if let Some(disk) = &mut one.disk {
            disk.crash(now, &mut self.rng);
        }
    }

    /// Takes a machine's disk away.
    pub fn wipe(&mut self, machine: usize) {
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.wipe(&mut self.rng);
        }
    }

    /// Takes a machine away for good. Returns the empty one at another address that is to take its place, also among
    /// the seeds, of which all processes are told; it isn't started yet.
    pub fn replace(&mut self, machine: usize) -> usize {
        self.crash(machine);
        self.machines[machine].removed = true;
        let successor = self.add_machine(self.machines[machine].disk.is_some());
        if let Some(seed) = self.seeds.iter_mut().find(|seed| **seed == machine) {
            *seed = successor;
            let seeds = self.seed_addresses();
            for process in self.machines.iter_mut().filter_map(|m| m.process.as_mut()) {
                process.set_seeds(seeds.clone());
            }
        }
        successor
    }

    fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        self.seeds.iter().map(|seed| self.machines[*seed].address).collect()
    }

    /// Has a machine stand still.
    pub fn freeze(&mut self, machine: usize, span: Duration) {
        self.machines[machine].frozen_until = self.now + span;
    }

    /// Stalls a disk.
    pub fn stall(&mut self, machine: usize, span: Duration) {
        let until = self.now + span;
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.stalled_until = until;
        }
    }

    /// Fills a disk.
    pub fn fill(&mut self, machine: usize, span: Duration) {
        let until = self.now + span;
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.full_until = until;
        }
    }

    /// Cuts the way from one machine to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Cuts all ways of a machine.
    pub fn cut_off(&mut self, machine: usize) {
        for other in (0..self.machines.len()).filter(|m| *m != machine) {
            self.cut(machine, other);
            self.cut(other, machine);
        }
    }

    /// Joins all ways of a machine again.
    pub fn join(&mut self, machine: usize) {
        self.cuts.retain(|(from, to)| *from != machine && *to != machine);
    }

    /// An operator calls at a machine. `false` if nobody is there.
    pub fn call(&mut self, machine: usize, call: CallId, request: OperatorRequest) -> Option<Vec<Seen>> {
        self.act(machine, |process, now, actions| process.operator_call(now, call, request, actions))
    }

    /// An endpoint sends its heartbeat to a machine.
    pub fn heartbeat(&mut self, machine: usize, beat: &Heartbeat) -> Option<Vec<Seen>> {
        self.act(machine, |process, now, actions| process.heartbeat(now, beat, actions))
    }

    /// A sidecar asks for tokens.
    pub fn want_tokens(&mut self, machine: usize, question: QuotaMessage) -> Option<Vec<Seen>> {
        self.act(machine, |process, now, actions| process.want_tokens(now, question, actions))
    }

    /// Plays one event. Returns what was seen from outside; `None` when there is nothing before `until`.
    pub fn step(&mut self, until: Duration) -> Option<Vec<Seen>> {
        if self.queue.peek().is_none_or(|next| next.0.at > until) {
            self.now = self.now.max(until);
            return None;
        }
        let Reverse(next) = self.queue.pop()?;
        self.now = self.now.max(next.at);
        Some(self.play(next.what))
    }

    /// Plays until a time, and passes over what is seen.
    pub fn run_until(&mut self, until: Duration) -> Vec<Seen> {
        let mut seen = Vec::new();
        while let Some(more) = self.step(until) {
            seen.extend(more);
        }
        seen
    }

    fn schedule(&mut self, at: Duration, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled { at, order: self.order, what }));
    }

    fn play(&mut self, what: Happening) -> Vec<Seen> {
        let (machine, incarnation) = match &what {
            Happening::Deliver { to, incarnation, .. } => (*to, *incarnation),
            Happening::Written { machine, incarnation, .. } | Happening::Tick { machine, incarnation } => {
                (*machine, *incarnation)
            }
            Happening::Start { machine } => {
                let machine = *machine;
                return self.start(machine);
            }
        };
        if self.machines[machine].incarnation != incarnation {
            return Vec::new();
        }
        let frozen_until = self.machines[machine].frozen_until;
        if frozen_until > self.now {
            self.schedule(frozen_until, what);
            return Vec::new();
        }
        let acted = match what {
            Happening::Deliver { from, message, .. } => {
                self.act(machine, |process, now, actions| process.receive(now, from, *message, actions))
            }
            Happening::Written { ticket, .. } => self.finish_write(machine, ticket),
            Happening::Tick { .. } => {
                let mut due = Duration::ZERO;
                let seen = self.act(machine, |process, now, actions| due = process.tick(now, actions));
                let at = (self.machines[machine].started_at + due).max(self.now + Duration::from_millis(5));
                self.schedule(at, Happening::Tick { machine, incarnation });
                seen
            }
            Happening::Start { .. } => None,
        };
        acted.unwrap_or_default()
    }

    fn finish_write(&mut self, machine: usize, ticket: Ticket) -> Option<Vec<Seen>> {
        let now = self.now;
        let succeeded = self.machines[machine].disk.as_mut()?.finish(now, ticket)?;
        self.act(machine, |process, now, actions| process.written(now, ticket, succeeded, actions))
    }

    fn start(&mut self, machine: usize) -> Vec<Seen> {
        if self.machines[machine].process.is_some() || self.machines[machine].removed {
            return Vec::new();
        }
        let seeds = self.seed_addresses();
        let (tolerated_losses, fault) = (self.settings.tolerated_losses, self.settings.fault);
        let gossip_fault = self.settings.gossip_fault;
        let random_seed = self.rng.random();
        let one = &mut self.machines[machine];
        let bootstrap = !one.started_before;
        one.started_before = true;
        one.incarnation += 1;
        one.started_at = self.now;
        let own = one.address;
        let replica = one.disk.as_mut().map(|disk| {
            let (id, durable) = disk.open();
            let settings = ReplicaSettings {
                own: Member { id, address: own },
                tolerated_losses,
                bootstrap,
                seeds: seeds.clone(),
                election_timeout: Duration::from_millis(320),
                random_seed,
                fault,
            };
            (settings, durable)
        });
        one.process = Some(Coordinator::new(
            Duration::ZERO,
            CoordinatorSettings {
                gossip: GossipSettings { own, seeds, heartbeat: HEARTBEAT, random_seed, fault: gossip_fault },
                replica,
                bootstrap,
                tolerated_losses,
                quota_bounds: QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 140_000.0 },
            },
        ));
        let incarnation = one.incarnation;
        self.schedule(self.now, Happening::Tick { machine, incarnation });
        Vec::new()
    }

    fn act(
        &mut self,
        machine: usize,
        act: impl FnOnce(&mut Coordinator, Duration, &mut Vec<Action>),
    ) -> Option<Vec<Seen>> {
        let now = self.now.saturating_sub(self.machines[machine].started_at);
        let process = self.machines[machine].process.as_mut()?;
        let mut actions = Vec::new();
        act(process, now, &mut actions);
        process.tick(now, &mut actions);
        let mut seen = Vec::new();
        for action in actions {
            self.carry_out(machine, action, &mut seen);
        }
        Some(seen)
    }

    fn carry_out(&mut self, machine: usize, action: Action, seen: &mut Vec<Seen>) {
        let incarnation = self.machines[machine].incarnation;
        match action {
            Action::Send { to, message } => self.send(machine, to, message),
            Action::Write { ticket, write } => {
                let now = self.now;
                if let Some(disk) = &mut self.machines[machine].disk {
                    let at = disk.write(now, ticket, write);
                    self.schedule(at, Happening::Written { machine, incarnation, ticket });
                }
            }
            Action::Configured(configuration) => {
                seen.push(Seen::Configured { machine, incarnation, configuration });
            }
            Action::Answer { call, answer } => seen.push(Seen::Answered { call, answer }),
            Action::Granted(grant) => seen.push(Seen::Granted { machine, incarnation, grant }),
            Action::LoadSums(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, message: Message) {
        self.messages[from] += 1;
        if self.counts_bytes {
            let mut bytes = Vec::new();
            if ciborium::into_writer(&message, &mut bytes).is_ok() {
                self.bytes[from] += bytes.len() as u64;
            }
        }
        let Some(target) = self.by_address.get(&to).copied() else { return };
        let lost = self.rng.random_bool(self.settings.loss) || self.cuts.contains(&(from, target));
        if lost || self.machines[target].process.is_none() {
            return;
        }
        let jitter = self.rng.random_range(0.8..2.0);
        let at = self.now + self.settings.delay.mul_f64(jitter);
        let incarnation = self.machines[target].incarnation;
        let from = self.machines[from].address;
        self.schedule(at, Happening::Deliver { to: target, incarnation, from, message: Box::new(message) });
    }
}
