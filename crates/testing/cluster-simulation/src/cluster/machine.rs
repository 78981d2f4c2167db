//! Machines and their processes: start, crash, pause, disk faults and replacement.

use super::event_queue::Event;
use super::{Cluster, HEARTBEAT_INTERVAL};
use crate::disk::Disk;
use passrelay_control_plane::quota::QuotaBounds;
use passrelay_control_plane::replication::{Member, ProtocolMutation, ReplicaSettings};
use passrelay_control_plane::rollout::ExposureBound;
use passrelay_control_plane::{Coordinator, CoordinatorSettings};
use passrelay_dissemination::{GossipSettings, Incarnation};
use rand::seq::SliceRandom;
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Port for messages between processes.
const INTERNAL_PORT: u16 = 7_680;
/// Number of machines that share the first three octets of their address; the third octet is the group's index.
const MACHINES_PER_SUBNET: usize = 200;
/// Time that a disk takes to sync a write.
const SYNC_LATENCY: Duration = Duration::from_millis(1);
/// Time without a primary after which a follower starts an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(320);
/// Probability that a crash is a power loss, which also loses the machine's messages that a partition still delays.
const POWER_LOSS_PROBABILITY: f64 = 0.5;
/// Largest share of requests for a version that has not been judged yet, as in the deployments.
const EXPOSURE_BOUND: ExposureBound = ExposureBound { ratio: 0.1, slack: 50.0 };
/// Bounds of quota grants, as in the small deployments.
const QUOTA_BOUNDS: QuotaBounds = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 140_000.0 };

/// A machine and its process.
pub(super) struct Machine {
    pub(super) address: SocketAddrV4,
    /// `None` for machines that are not voters.
    pub(super) disk: Option<Disk>,
    /// The running process; `None` between a crash and the next start.
    pub(super) process: Option<Coordinator>,
    /// Incremented at each start and each crash, so that no event of an earlier process reaches a later one.
    pub(super) incarnation: u64,
    pub(super) started_at: Duration,
    /// Whether a process has run here before, or the machine joined a running cluster: in both cases it must not bootstrap.
    started_before: bool,
    /// Events are deferred until this time.
    pub(super) paused_until: Duration,
    /// Whether the machine was replaced by another one.
    removed: bool,
    /// Id of the next operator's call; as in the program, ids start at 1 in each incarnation.
    pub(super) next_call: u64,
    /// When the uplink will have sent all queued documents.
    pub(super) uplink_busy_until: Duration,
}

impl Cluster {
    /// Returns whether a process runs on a machine, paused or not.
    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some()
    }

    /// Returns whether a machine is a voter and has not been replaced.
    pub fn is_voter(&self, machine: usize) -> bool {
        self.machines[machine].disk.is_some() && !self.machines[machine].removed
    }

    /// Returns whether a machine's process runs and is not paused.
    pub fn is_responsive(&self, machine: usize) -> bool {
        self.is_running(machine) && self.machines[machine].paused_until <= self.now
    }

    /// Returns the incarnation of a machine's process; 0 before its first start.
    pub fn incarnation(&self, machine: usize) -> u64 {
        self.machines[machine].incarnation
    }

    /// Returns when a machine's process was last started; zero if it never was.
    pub fn started_at(&self, machine: usize) -> Duration {
        self.machines[machine].started_at
    }

    /// Returns the time on the local clock of a machine's process, which starts at zero with the process.
    pub fn local_now(&self, machine: usize) -> Duration {
        self.now.saturating_sub(self.machines[machine].started_at)
    }

    /// Returns the coordinator of a machine's process; `None` if no process runs.
    pub fn process(&self, machine: usize) -> Option<&Coordinator> {
        self.machines[machine].process.as_ref()
    }

    /// Describes a machine's state in one line, for the report of a violation.
    pub fn describe(&self, machine: usize) -> String {
        let Machine { address, process, removed, .. } = &self.machines[machine];
        match process {
            None => format!("{machine} {address}: no process, removed {removed}"),
            Some(process) => {
                let replica = process.replica().map(|replica| replica.describe());
                format!("{machine} {address}: {:?} {replica:?}", process.status(self.local_now(machine)))
            }
        }
    }

    /// Adds a machine without starting it and returns its number.
    pub fn add_machine(&mut self, is_voter: bool) -> usize {
        let machine = self.machines.len();
        let subnet = (machine / MACHINES_PER_SUBNET) as u8;
        let host = (machine % MACHINES_PER_SUBNET + 1) as u8;
        let address = SocketAddrV4::new(Ipv4Addr::from([10, 0, subnet, host]), INTERNAL_PORT);
        let disk_mutation = self.settings.disk_mutation;
        let disk = is_voter.then(|| Disk::new(&mut self.rng, SYNC_LATENCY, disk_mutation));
        self.machines.push(Machine {
            address,
            disk,
            process: None,
            incarnation: 0,
            started_at: Duration::ZERO,
            started_before: self.now > Duration::ZERO,
            paused_until: Duration::ZERO,
            removed: false,
            next_call: 1,
            uplink_busy_until: Duration::ZERO,
        });
        self.network.register(address, machine);
        self.messages_sent.push(0);
        self.bytes_sent.push(0);
        machine
    }

    /// Starts a machine's process after a delay, unless one runs by then or the machine was replaced.
    pub fn start_after(&mut self, machine: usize, delay: Duration) {
        self.events.schedule(self.now + delay, Event::Start { machine });
    }

    /// Ends a machine's process abruptly; with `POWER_LOSS_PROBABILITY`, the machine also loses power.
    pub fn crash(&mut self, machine: usize) {
        let now = self.now;
        let crashed = &mut self.machines[machine];
        crashed.process = None;
        crashed.incarnation += 1;
        if let Some(disk) = &mut crashed.disk {
            disk.crash(now, &mut self.rng);
        }
        if self.rng.random_bool(POWER_LOSS_PROBABILITY) {
            self.network.drop_delayed_from(machine);
        }
    }

    /// Replaces a machine's disk with an empty one.
    pub fn wipe_disk(&mut self, machine: usize) {
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.wipe(&mut self.rng);
        }
    }

    /// Removes a machine and returns its successor, an empty machine at another address that has not been started. The
    /// successor of a seed is a seed, and all running processes are notified of the new seeds.
    pub fn replace(&mut self, machine: usize) -> usize {
        self.crash(machine);
        self.machines[machine].removed = true;
        let successor = self.add_machine(self.machines[machine].disk.is_some());
        if let Some(seed) = self.seed_machines.iter_mut().find(|seed| **seed == machine) {
            *seed = successor;
            let seeds = self.seed_addresses();
            for process in self.machines.iter_mut().filter_map(|machine| machine.process.as_mut()) {
                process.set_seeds(seeds.clone());
            }
        }
        successor
    }

    /// Draws other seeds from the machines that have not been removed. Only processes started from now on receive them.
    pub fn change_seeds(&mut self) {
        let mut candidates: Vec<usize> =
            (0..self.machines.len()).filter(|machine| !self.machines[*machine].removed).collect();
        candidates.shuffle(&mut self.rng);
        candidates.truncate(self.seed_machines.len());
        self.seed_machines = candidates;
    }

    /// Restores a replaced machine with its old disk, without starting it.
    pub fn restore(&mut self, machine: usize) {
        self.machines[machine].removed = false;
    }

    /// Pauses a machine for `duration`: messages, timers and write completions are deferred.
    pub fn pause(&mut self, machine: usize, duration: Duration) {
        self.machines[machine].paused_until = self.now + duration;
    }

    /// Stalls a machine's disk for `duration`: no write submitted meanwhile completes before it is over.
    pub fn stall_disk(&mut self, machine: usize, duration: Duration) {
        let until = self.now + duration;
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.stalled_until = until;
        }
    }

    /// Sets the sync latency of a machine's disk for the rest of the simulation.
    pub fn slow_disk(&mut self, machine: usize, latency: Duration) {
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.latency = latency;
        }
    }

    /// Fills a machine's disk for `duration`: writes that end meanwhile fail.
    pub fn fill_disk(&mut self, machine: usize, duration: Duration) {
        let until = self.now + duration;
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.full_until = until;
        }
    }

    fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        self.seed_machines.iter().map(|seed| self.machines[*seed].address).collect()
    }

    /// Starts a machine's process now from the state on its disk. Does nothing if one runs or the machine was replaced.
    pub(super) fn start(&mut self, machine: usize) {
        if self.is_running(machine) || self.machines[machine].removed {
            return;
        }
        let seeds = self.seed_addresses();
        let tolerated_losses = self.settings.tolerated_losses;
        let protocol_mutation = self.settings.protocol_mutation;
        // Both are drawn at each start, even if `ReusesRequestIds` discards the second, so that mutations keep the sequence.
        let random_seed = self.rng.random();
        let drawn = Incarnation(self.rng.random());
        let reuses_request_ids = protocol_mutation == Some(ProtocolMutation::ReusesRequestIds);
        let accepts_deltas = !self.settings.runs_earlier_build(machine);
        let starting = &mut self.machines[machine];
        let bootstrap = !starting.started_before;
        starting.started_before = true;
        starting.incarnation += 1;
        starting.started_at = self.now;
        starting.next_call = 1;
        let own = starting.address;
        let replica = starting.disk.as_mut().map(|disk| {
            let opened = disk.open(bootstrap, &seeds);
            let settings = ReplicaSettings {
                own: Member { id: opened.identity, address: own },
                tolerated_losses,
                bootstrapping: opened.bootstrap,
                seeds: seeds.clone(),
                bootstrap_seeds: opened.bootstrap_seeds,
                election_timeout: ELECTION_TIMEOUT,
                accepts_deltas,
                random_seed,
                mutation: protocol_mutation.into(),
            };
            (settings, opened.state)
        });
        let settings = CoordinatorSettings {
            gossip: GossipSettings {
                own_address: own,
                seeds,
                heartbeat_interval: HEARTBEAT_INTERVAL,
                accepts_deltas,
                random_seed,
                mutation: self.settings.gossip_mutation.into(),
            },
            replica,
            incarnation: if reuses_request_ids { Incarnation(0) } else { drawn },
            is_voter: starting.disk.is_some(),
            tolerated_losses,
            quota_bounds: QUOTA_BOUNDS,
            records_versions: self.settings.records_versions,
            exposure_bound: EXPOSURE_BOUND,
        };
        starting.process = Some(Coordinator::new(Duration::ZERO, settings));
        let incarnation = starting.incarnation;
        self.events.schedule(self.now, Event::Tick { machine, incarnation });
    }
}
