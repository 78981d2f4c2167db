//! Machines, their processes, the network between them, and time.

use crate::disk::{Disk, DiskMutation};
use passrelay_control_plane::quota::{QuotaBounds, QuotaMessage};
use passrelay_control_plane::replication::{
    Member, ProtocolMutation, ReplicaSettings, ReplicationMessage, WriteId,
};
use passrelay_control_plane::{
    Action, CallId, Coordinator, CoordinatorSettings, Envelope, Message, OperatorAnswer, OperatorRequest,
};
use passrelay_dissemination::{
    Announcement, CommittedConfiguration, GossipMessage, GossipMutation, GossipSettings, Heartbeat,
    Incarnation,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const PORT: u16 = 7_680;
/// Number of machines that all others are told of.
const SEEDS: usize = 3;
/// Share of the messages that a cut holds up and hands over when it heals; the others are lost.
const HELD_UP: f64 = 0.4;
/// Messages that are held up at most.
const MOST_HELD_UP: usize = 2_000;
/// Documents are packed by about this factor on their way, as the program packs them.
const PACKED: usize = 4;
/// Bytes that a taken order adds to a message that carries a state.
const BYTES_PER_ORDER: usize = 40;
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
    /// Bytes a second that each machine can send, as far as documents count; 0 for no bound.
    pub link_bytes_per_s: u64,
    /// Fault of all disks, for checking the checker.
    pub mutant: Option<DiskMutation>,
    /// Fault of all members, for checking the checker.
    pub fault: Option<ProtocolMutation>,
    /// Fault of dissemination at all machines, for checking the checker.
    pub gossip_mutation: Option<GossipMutation>,
    /// Seed of all chance.
    pub seed: u64,
}

impl ClusterSettings {
    /// A cluster of this size without any fault of its parts, on a network that loses messages at every third seed.
    pub fn new(counted: usize, machines: usize, seed: u64) -> Self {
        ClusterSettings {
            counted,
            machines,
            tolerated_losses: if counted >= 5 { 2 } else { 1 },
            delay: Duration::from_micros(500),
            loss: if seed % 3 == 0 { 0.05 } else { 0.0 },
            link_bytes_per_s: 0,
            mutant: None,
            fault: None,
            gossip_mutation: None,
            seed,
        }
    }
}

/// Names an operator's call: numbers of calls begin again with each process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    /// The machine that was called.
    pub machine: usize,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The number that the process gave the call.
    pub call: CallId,
}

enum Event {
    /// To whoever listens at the machine's address then.
    Deliver {
        to: usize,
        from: SocketAddrV4,
        envelope: Box<Envelope>,
    },
    Written {
        machine: usize,
        incarnation: u64,
        write_id: WriteId,
    },
    Tick {
        machine: usize,
        incarnation: u64,
    },
    Start {
        machine: usize,
    },
}

struct Scheduled {
    at: Duration,
    order: u64,
    what: Event,
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
    /// The number of the next call, as the program gives it: from 1 up in each process.
    next_call: u64,
    /// When everything that is to be sent will have been sent.
    link_busy_until: Duration,
}

/// A message that a cut holds up.
struct DelayedMessage {
    from: usize,
    to: usize,
    envelope: Envelope,
}

/// Something that the outside sees.
#[derive(Clone, Debug)]
pub enum Observation {
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
        call: CallKey,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// The core knows what a machine has announced of an endpoint.
    Confirmed {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The announcement.
        announcement: Announcement,
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
    held_up: Vec<DelayedMessage>,
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
            held_up: Vec::new(),
            messages: Vec::new(),
            bytes: Vec::new(),
            counts_bytes: false,
            settings,
        };
        for index in 0..cluster.settings.machines {
            let counted = index < cluster.settings.counted;
            let machine = cluster.add_machine(counted);
            let at = Duration::from_millis(cluster.rng.random_range(0..300));
            cluster.schedule(at, Event::Start { machine });
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

    /// A short account of what a machine knows, for whoever looks at a history that broke a promise.
    pub fn describe(&self, machine: usize) -> String {
        let one = &self.machines[machine];
        let address = one.address;
        match &one.process {
            None => format!("{machine} {address}: no process, removed {}", one.removed),
            Some(process) => {
                let replica = process.replica().map(|r| r.describe());
                format!("{machine} {address}: {:?} {replica:?}", process.status(self.local_now(machine)))
            }
        }
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
            started_before: self.now > Duration::ZERO,
            frozen_until: Duration::ZERO,
            removed: false,
            next_call: 1,
            link_busy_until: Duration::ZERO,
        });
        self.by_address.insert(address, index);
        self.messages.push(0);
        self.bytes.push(0);
        index
    }

    /// Starts a machine's process after a time.
    pub fn start_after(&mut self, machine: usize, pause: Duration) {
        let at = self.now + pause;
        self.schedule(at, Event::Start { machine });
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
        // Where power is lost too, what a cut holds up of this machine is gone.
        if self.rng.random_bool(0.5) {
            self.held_up.retain(|held| held.from != machine);
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

    /// A machine that was replaced comes back with its disk; it isn't started yet.
    pub fn bring_back(&mut self, machine: usize) {
        self.machines[machine].removed = false;
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
        let (passing, held): (Vec<DelayedMessage>, Vec<DelayedMessage>) = std::mem::take(&mut self.held_up)
            .into_iter()
            .partition(|one| !self.cuts.contains(&(one.from, one.to)));
        self.held_up = held;
        for DelayedMessage { from, to, envelope } in passing {
            self.deliver(from, to, envelope);
        }
    }

    /// An operator calls at a machine. `None` if nobody is there; else the name of the call, and what is seen at once.
    pub fn call(&mut self, machine: usize, request: OperatorRequest) -> Option<(CallKey, Vec<Observation>)> {
        let one = &mut self.machines[machine];
        let call = CallId(one.next_call);
        let key = CallKey { machine, incarnation: one.incarnation, call };
        one.process.as_ref()?;
        one.next_call += 1;
        let seen =
            self.act(machine, |process, now, actions| process.operator_call(now, call, request, actions))?;
        Some((key, seen))
    }

    /// An endpoint sends its heartbeat to a machine.
    pub fn heartbeat(&mut self, machine: usize, beat: &Heartbeat) -> Option<Vec<Observation>> {
        self.act(machine, |process, now, actions| process.heartbeat(now, beat, actions))
    }

    /// Has a machine tell when the core knows of an endpoint what is known there.
    pub fn announce(&mut self, machine: usize, endpoint: &str) -> Option<(Announcement, Vec<Observation>)> {
        let mut announcement = None;
        let seen =
            self.act(machine, |process, now, _| announcement = Some(process.announce(now, endpoint)))?;
        Some((announcement?, seen))
    }

    /// A sidecar asks for tokens.
    pub fn request_tokens(&mut self, machine: usize, question: QuotaMessage) -> Option<Vec<Observation>> {
        self.act(machine, |process, now, actions| process.request_tokens(now, question, actions))
    }

    /// Plays one event. Returns what was seen from outside; `None` when there is nothing before `until`.
    pub fn step(&mut self, until: Duration) -> Option<Vec<Observation>> {
        if self.queue.peek().is_none_or(|next| next.0.at > until) {
            self.now = self.now.max(until);
            return None;
        }
        let Reverse(next) = self.queue.pop()?;
        self.now = self.now.max(next.at);
        Some(self.play(next.what))
    }

    /// Plays until a time, and passes over what is seen.
    pub fn run_until(&mut self, until: Duration) -> Vec<Observation> {
        let mut seen = Vec::new();
        while let Some(more) = self.step(until) {
            seen.extend(more);
        }
        seen
    }

    fn schedule(&mut self, at: Duration, what: Event) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled { at, order: self.order, what }));
    }

    fn play(&mut self, what: Event) -> Vec<Observation> {
        let (machine, incarnation) = match &what {
            Event::Deliver { to, .. } => (*to, self.machines[*to].incarnation),
            Event::Written { machine, incarnation, .. } | Event::Tick { machine, incarnation } => {
                (*machine, *incarnation)
            }
            Event::Start { machine } => {
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
            Event::Deliver { from, envelope, .. } => {
                self.act(machine, |process, now, actions| process.receive(now, from, *envelope, actions))
            }
            Event::Written { write_id, .. } => self.finish_write(machine, write_id),
            Event::Tick { .. } => {
                let mut due = Duration::ZERO;
                let seen = self.act(machine, |process, now, actions| due = process.tick(now, actions));
                let at = (self.machines[machine].started_at + due).max(self.now + Duration::from_millis(5));
                self.schedule(at, Event::Tick { machine, incarnation });
                seen
            }
            Event::Start { .. } => None,
        };
        acted.unwrap_or_default()
    }

    fn finish_write(&mut self, machine: usize, write_id: WriteId) -> Option<Vec<Observation>> {
        let now = self.now;
        let succeeded = self.machines[machine].disk.as_mut()?.finish(now, write_id)?;
        self.act(machine, |process, now, actions| process.written(now, write_id, succeeded, actions))
    }

    fn start(&mut self, machine: usize) -> Vec<Observation> {
        if self.machines[machine].process.is_some() || self.machines[machine].removed {
            return Vec::new();
        }
        let seeds = self.seed_addresses();
        let (tolerated_losses, fault) = (self.settings.tolerated_losses, self.settings.fault);
        let gossip_mutation = self.settings.gossip_mutation;
        let random_seed = self.rng.random();
        let drawn = Incarnation(self.rng.random());
        let numbers_begin_again = fault == Some(ProtocolMutation::ReusesRequestIds);
        let incarnation = if numbers_begin_again { Incarnation(0) } else { drawn };
        let one = &mut self.machines[machine];
        let bootstrap = !one.started_before;
        one.started_before = true;
        one.incarnation += 1;
        one.started_at = self.now;
        one.next_call = 1;
        let counts = one.disk.is_some();
        let own = one.address;
        let replica = one.disk.as_mut().map(|disk| {
            let (id, founding, durable) = disk.open(bootstrap);
            let settings = ReplicaSettings {
                own: Member { id, address: own },
                tolerated_losses,
                bootstrapping: founding,
                seeds: seeds.clone(),
                election_timeout: Duration::from_millis(320),
                random_seed,
                mutation: fault.into(),
            };
            (settings, durable)
        });
        one.process = Some(Coordinator::new(
            Duration::ZERO,
            CoordinatorSettings {
                gossip: GossipSettings {
                    own,
                    seeds,
                    heartbeat: HEARTBEAT,
                    random_seed,
                    mutation: gossip_mutation.into(),
                },
                replica,
                incarnation,
                is_voter: counts,
                tolerated_losses,
                quota_bounds: QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 140_000.0 },
            },
        ));
        let incarnation = one.incarnation;
        self.schedule(self.now, Event::Tick { machine, incarnation });
        Vec::new()
    }

    fn act(
        &mut self,
        machine: usize,
        act: impl FnOnce(&mut Coordinator, Duration, &mut Vec<Action>),
    ) -> Option<Vec<Observation>> {
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

    fn carry_out(&mut self, machine: usize, action: Action, seen: &mut Vec<Observation>) {
        let incarnation = self.machines[machine].incarnation;
        match action {
            Action::Send { to, envelope } => self.send(machine, to, envelope),
            Action::Write { write_id, write } => {
                let now = self.now;
                if let Some(disk) = &mut self.machines[machine].disk {
                    let at = disk.write(now, write_id, write);
                    self.schedule(at, Event::Written { machine, incarnation, write_id });
                }
            }
            Action::Configured(configuration) => {
                seen.push(Observation::Configured { machine, incarnation, configuration });
            }
            Action::Answer { call, answer } => {
                seen.push(Observation::Answered { call: CallKey { machine, incarnation, call }, answer });
            }
            Action::QuotaGranted(grant) => seen.push(Observation::Granted { machine, incarnation, grant }),
            Action::AnnouncementConfirmed(announcement) => {
                seen.push(Observation::Confirmed { machine, incarnation, announcement })
            }
            Action::LoadTotals(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, envelope: Envelope) {
        self.messages[from] += 1;
        if self.counts_bytes {
            let mut bytes = Vec::new();
            if ciborium::into_writer(&envelope, &mut bytes).is_ok() {
                self.bytes[from] += bytes.len() as u64;
            }
        }
        let Some(target) = self.by_address.get(&to).copied() else { return };
        if self.rng.random_bool(self.settings.loss) {
            return;
        }
        if !self.cuts.contains(&(from, target)) {
            self.deliver(from, target, envelope);
        } else if self.held_up.len() < MOST_HELD_UP && self.rng.random_bool(HELD_UP) {
            self.held_up.push(DelayedMessage { from, to: target, envelope });
        }
    }

    fn deliver(&mut self, from: usize, to: usize, envelope: Envelope) {
        let jitter = self.rng.random_range(0.8..2.0);
        let sent_at = self.sent_at(from, &envelope.message);
        let at = sent_at + self.settings.delay.mul_f64(jitter);
        let from = self.machines[from].address;
        self.schedule(at, Event::Deliver { to, from, envelope: Box::new(envelope) });
    }

    /// When a message has left its machine: those that carry documents go one after the other.
    fn sent_at(&mut self, from: usize, message: &Message) -> Duration {
        let bytes = document_bytes(message);
        if bytes == 0 || self.settings.link_bytes_per_s == 0 {
            return self.now;
        }
        let takes = Duration::from_secs_f64(bytes as f64 / self.settings.link_bytes_per_s as f64);
        let machine = &mut self.machines[from];
        machine.link_busy_until = machine.link_busy_until.max(self.now) + takes;
        machine.link_busy_until
    }
}

/// About the size of what a message carries beside its head: a document, and the orders taken.
fn document_bytes(message: &Message) -> usize {
    match message {
        Message::Replication(envelope) => match &envelope.message {
            ReplicationMessage::Replicate { state, .. } => {
                state.document.as_ref().map_or(0, |d| d.len()) / PACKED
                    + state.applied_changes.len() * BYTES_PER_ORDER
            }
            _ => 0,
        },
        Message::Gossip(GossipMessage::Configuration(configuration)) => configuration.document.len() / PACKED,
        _ => 0,
    }
}
