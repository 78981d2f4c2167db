//! A whole cluster in one process: the coordinators of the program on a simulated network, clock and disks.
//!
//! A cluster is a discrete-event simulation. `Cluster::step` takes the earliest event out of the queue, passes it to the
//! process that it concerns, applies the actions that the process returns (messages, writes) and returns what was visible
//! outside. All random numbers come from one generator, so that the same settings give the same history.
//!
//! A cluster neither injects faults (see `faults`) nor checks properties (see `checker` and `limit_checker`).

mod event_queue;
mod machine;
mod network;
mod observation;
mod settings;

pub use network::PartitionDirection;
pub use observation::{CallKey, Observation};
pub use settings::{Builds, ClusterSettings};

use event_queue::{Event, EventQueue};
use machine::Machine;
use network::Network;
use passrelay_control_plane::quota::QuotaMessage;
use passrelay_control_plane::replication::WriteId;
use passrelay_control_plane::{Action, CallId, Coordinator, OperatorRequest};
use passrelay_dissemination::{AnnouncementId, Heartbeat, RolloutReport};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of seed machines, whose addresses every process receives when it starts.
const SEED_MACHINES: usize = 3;
/// Upper bound of the random delay before a machine of a new cluster starts, in milliseconds.
const MAX_START_DELAY_MS: u64 = 300;
/// Minimum time between two ticks of a process, so that a timer in the past cannot stop simulated time.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between heartbeats of an endpoint.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// A simulated cluster. Machines are numbered from 0 in the order in which they were added, and keep their numbers.
pub struct Cluster {
    settings: ClusterSettings,
    /// The only source of random numbers in a history: an additional draw changes everything after it.
    pub rng: ChaCha8Rng,
    now: Duration,
    events: EventQueue,
    machines: Vec<Machine>,
    /// Machines whose addresses every process receives when it starts.
    seed_machines: Vec<usize>,
    network: Network,
    /// Number of messages sent, indexed by machine.
    pub messages_sent: Vec<u64>,
    /// Number of bytes sent, indexed by machine; counted only while `counts_bytes` is set.
    pub bytes_sent: Vec<u64>,
    /// Whether to count bytes, which requires encoding each message.
    pub counts_bytes: bool,
}

impl Cluster {
    /// Creates a cluster whose machines all start within `MAX_START_DELAY_MS`.
    pub fn new(settings: ClusterSettings) -> Self {
        let mut cluster = Cluster {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            now: Duration::ZERO,
            events: EventQueue::default(),
            machines: Vec::new(),
            seed_machines: (0..settings.machines.min(SEED_MACHINES)).collect(),
            network: Network::default(),
            messages_sent: Vec::new(),
            bytes_sent: Vec::new(),
            counts_bytes: false,
            settings,
        };
        for index in 0..cluster.settings.machines {
            let machine = cluster.add_machine(index < cluster.settings.voters);
            let delay = Duration::from_millis(cluster.rng.random_range(0..MAX_START_DELAY_MS));
            cluster.start_after(machine, delay);
        }
        cluster
    }

    /// Returns the simulated time since the start of the simulation.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the number of machines, including replaced ones.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there are no machines.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Returns all machines except `excluded`, including replaced ones.
    pub fn all_except(&self, excluded: &[usize]) -> Vec<usize> {
        (0..self.len()).filter(|machine| !excluded.contains(machine)).collect()
    }

    /// Returns the first machine whose process is the established primary.
    pub fn primary(&self) -> Option<usize> {
        let leads = |process: &Coordinator| process.status(Duration::ZERO).leads;
        (0..self.len()).find(|machine| self.process(*machine).is_some_and(leads))
    }

    /// Returns the time, on the cluster's clock, up to which a machine's process has applied every acknowledged change.
    /// Returns `None` if that is unknown or no process runs.
    pub fn fresh_at(&self, machine: usize) -> Option<Duration> {
        let process = self.process(machine)?;
        Some(process.gossip().fresh_at()? + self.machines[machine].started_at)
    }

    /// Sends an operator's request to a machine. Returns the call's key and the immediate observations, or `None` if no
    /// process runs.
    pub fn call(&mut self, machine: usize, request: OperatorRequest) -> Option<(CallKey, Vec<Observation>)> {
        let called = &mut self.machines[machine];
        let call = CallId(called.next_call);
        let key = CallKey { machine, incarnation: called.incarnation, call };
        called.process.as_ref()?;
        called.next_call += 1;
        let observations = self.with_process(machine, |process, now, actions| {
            process.operator_call(now, call, request, actions);
        })?;
        Some((key, observations))
    }

    /// Delivers an endpoint's heartbeat to a machine. Returns the immediate observations, or `None` if no process runs.
    pub fn heartbeat(&mut self, machine: usize, heartbeat: &Heartbeat) -> Option<Vec<Observation>> {
        self.with_process(machine, |process, now, actions| process.heartbeat(now, heartbeat, actions))
    }

    /// Makes a machine announce its record of an endpoint. `Observation::AnnouncementConfirmed` follows when a quorum has
    /// acknowledged it. Returns `None` if no process runs.
    pub fn announce(&mut self, machine: usize, endpoint: &str) -> Option<(AnnouncementId, Vec<Observation>)> {
        let mut announcement = None;
        let observations = self.with_process(machine, |process, now, _| {
            announcement = Some(process.announce(now, endpoint));
        })?;
        Some((announcement?, observations))
    }

    /// Passes a sidecar's request for quota tokens to the process on its machine. Returns `None` if no process runs.
    pub fn request_tokens(&mut self, machine: usize, request: QuotaMessage) -> Option<Vec<Observation>> {
        self.with_process(machine, |process, now, actions| process.request_tokens(now, request, actions))
    }

    /// Passes a sidecar's reports for the roll-out controller to the process on its machine. Returns `None` if no process
    /// runs.
    pub fn report_rollouts(
        &mut self,
        machine: usize,
        request_id: u64,
        reports: Vec<RolloutReport>,
    ) -> Option<Vec<Observation>> {
        self.with_process(machine, |process, now, actions| {
            process.report_rollouts(now, request_id, reports, actions);
        })
    }

    /// Processes the earliest event due by `until` and returns its observations. If there is none, advances the clock to
    /// `until` and returns `None`.
    pub fn step(&mut self, until: Duration) -> Option<Vec<Observation>> {
        let Some((at, event)) = self.events.pop_due(until) else {
            self.now = self.now.max(until);
            return None;
        };
        self.now = self.now.max(at);
        Some(self.handle_event(event))
    }

    /// Processes all events due by `until` and returns their observations.
    pub fn run_until(&mut self, until: Duration) -> Vec<Observation> {
        let mut all = Vec::new();
        while let Some(observations) = self.step(until) {
            all.extend(observations);
        }
        all
    }

    /// Drops events of an earlier incarnation and defers those of a paused machine until the pause ends.
    fn handle_event(&mut self, event: Event) -> Vec<Observation> {
        let machine = event.machine();
        if event.incarnation().is_some_and(|incarnation| incarnation != self.incarnation(machine)) {
            return Vec::new();
        }
        let paused_until = self.machines[machine].paused_until;
        if paused_until > self.now && !matches!(event, Event::Start { .. }) {
            self.events.schedule(paused_until, event);
            return Vec::new();
        }
        let observations = match event {
            Event::Deliver { from, envelope, .. } => self.with_process(machine, |process, now, actions| {
                process.receive(now, from, *envelope, actions)
            }),
            Event::Written { write_id, .. } => self.finish_write(machine, write_id),
            Event::Tick { .. } => self.tick(machine),
            Event::Start { .. } => {
                self.start(machine);
                None
            }
        };
        observations.unwrap_or_default()
    }

    /// Advances a process's timers and schedules its next tick.
    fn tick(&mut self, machine: usize) -> Option<Vec<Observation>> {
        let mut due = Duration::ZERO;
        let observations =
            self.with_process(machine, |process, now, actions| due = process.tick(now, actions));
        let at = (self.started_at(machine) + due).max(self.now + MIN_TICK_INTERVAL);
        let incarnation = self.incarnation(machine);
        self.events.schedule(at, Event::Tick { machine, incarnation });
        observations
    }

    fn finish_write(&mut self, machine: usize, write_id: WriteId) -> Option<Vec<Observation>> {
        let now = self.now;
        let succeeded = self.machines[machine].disk.as_mut()?.finish(now, write_id)?;
        self.with_process(machine, |process, now, actions| {
            process.write_completed(now, write_id, succeeded, actions)
        })
    }

    /// Passes an input to a machine's process, ticks it, and applies the resulting actions in order. Returns the
    /// observations, or `None` if no process runs.
    fn with_process(
        &mut self,
        machine: usize,
        input: impl FnOnce(&mut Coordinator, Duration, &mut Vec<Action>),
    ) -> Option<Vec<Observation>> {
        let now = self.local_now(machine);
        let process = self.machines[machine].process.as_mut()?;
        let mut actions = Vec::new();
        input(process, now, &mut actions);
        process.tick(now, &mut actions);
        let observations = actions.into_iter().filter_map(|action| self.apply_action(machine, action));
        Some(observations.collect())
    }

    fn apply_action(&mut self, machine: usize, action: Action) -> Option<Observation> {
        let incarnation = self.incarnation(machine);
        match action {
            Action::Send { to, envelope } => {
                self.send(machine, to, envelope);
                None
            }
            Action::Write { write_id, write } => {
                let at = self.machines[machine].disk.as_mut()?.write(self.now, write_id, write);
                self.events.schedule(at, Event::Written { machine, incarnation, write_id });
                None
            }
            Action::Configured(configuration) => {
                Some(Observation::Configured { machine, incarnation, configuration })
            }
            Action::Answer { call, answer } => {
                Some(Observation::Answered { call: CallKey { machine, incarnation, call }, answer })
            }
            Action::QuotaGranted(grant) => Some(Observation::QuotaGranted { machine, incarnation, grant }),
            Action::AnnouncementConfirmed(announcement) => {
                Some(Observation::AnnouncementConfirmed { machine, incarnation, announcement })
            }
            Action::RolloutShares(grant) => {
                Some(Observation::RolloutSharesGranted { machine, incarnation, grant })
            }
            Action::LoadTotals(_) => None,
        }
    }
}
