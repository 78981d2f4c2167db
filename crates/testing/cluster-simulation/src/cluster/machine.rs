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
/// Machines with addresses that differ in the last octet only; the octet before it counts such groups.
const MACHINES_PER_SUBNET: usize = 200;
/// Time that a disk takes to sync a write.
const SYNC_LATENCY: Duration = Duration::from_millis(1);
/// Timeout after which a follower that lacks a primary starts an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(320);
/// Probability that a crash is a loss of power, which also loses what the machine's network still delays.
const POWER_LOSS_PROBABILITY: f64 = 0.5;
/// Bounds of quota grants, as in the small deployments.
/// The largest share of a version that is not judged yet, as in the deployments.
const EXPOSURE_BOUND: ExposureBound = ExposureBound { ratio: 0.1, slack: 50.0 };
const QUOTA_BOUNDS: QuotaBounds = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 140_000.0 };

/// A machine and its process.
pub(super) struct Machine {
    pub(super) address: SocketAddrV4,
    /// Only voters have one.
    pub(super) disk: Option<Disk>,
    /// The running process; `None` between a crash and the next start.
    pub(super) process: Option<Coordinator>,
    /// Grows with each start and each crash, so that no event of an earlier process reaches a later one.
    pub(super) incarnation: u64,
    pub(super) started_at: Duration,
    /// Whether a process ever ran here, or the machine joined a cluster that already ran: it never bootstraps then.
    started_before: bool,
    /// Events wait until this time.
    pub(super) paused_until: Duration,
    /// Whether it was replaced and is gone.
    removed: bool,
    /// Id of the next operator's call, as the program assigns it: from 1 up in each incarnation.
    pub(super) next_call: u64,
    /// When all documents that wait for the uplink will have been sent.
    pub(super) uplink_busy_until: Duration,
}

impl Cluster {
    /// Whether a process runs on a machine.
    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some()
    }

    /// Whether a machine is a voter and has not been replaced.
    pub fn is_voter(&self, machine: usize) -> bool {
        self.machines[machine].disk.is_some() && !self.machines[machine].removed
    }

    /// Whether a machine's process runs and is not paused.
    pub fn is_responsive(&self, machine: usize) -> bool {
        self.is_running(machine) && self.machines[machine].paused_until <= self.now
    }

    /// The incarnation of a machine's process.
    pub fn incarnation(&self, machine: usize) -> u64 {
        self.machines[machine].incarnation
    }

    /// When a machine's process was last started.
    pub fn started_at(&self, machine: usize) -> Duration {
        self.machines[machine].started_at
    }

    /// The time on the clock of a machine's process, which begins with its start.
    pub fn local_now(&self, machine: usize) -> Duration {
        self.now.saturating_sub(self.machines[machine].started_at)
    }

    /// The coordinator of a machine's process.
    pub fn process(&self, machine: usize) -> Option<&Coordinator> {
        self.machines[machine].process.as_ref()
    }

    /// A machine's state in one line, for the report of a violation.
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

    /// Adds a machine that isn't started yet; returns its number.
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

    /// Starts a machine's process after a delay; does nothing if one runs by then or the machine was replaced.
    pub fn start_after(&mut self, machine: usize, delay: Duration) {
        self.events.schedule(self.now + delay, Event::Start { machine });
    }

    /// Ends a machine's process without warning; as often as not the machine loses power with it.
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

    /// Replaces a machine's disk by an empty one.
    pub fn wipe_disk(&mut self, machine: usize) {
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.wipe(&mut self.rng);
        }
    }

    /// Removes a machine for good. Returns its successor, an empty machine at another address that isn't started yet. A
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

    /// Draws other seeds from the machines that are there. Only processes that start from now on are told of them.
    pub fn change_seeds(&mut self) {
        let mut candidates: Vec<usize> =
            (0..self.machines.len()).filter(|machine| !self.machines[*machine].removed).collect();
        candidates.shuffle(&mut self.rng);
        candidates.truncate(self.seed_machines.len());
        self.seed_machines = candidates;
    }

    /// Brings a machine that was replaced back with its old disk; it isn't started yet.
    pub fn restore(&mut self, machine: usize) {
        self.machines[machine].removed = false;
    }

    /// Pauses a machine: messages, timers and ends of writes wait until the time is over.
    pub fn pause(&mut self, machine: usize, duration: Duration) {
        self.machines[machine].paused_until = self.now + duration;
    }

    /// Stalls a disk: no write ends before the time is over.
    pub fn stall_disk(&mut self, machine: usize, duration: Duration) {
        let until = self.now + duration;
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.stalled_until = until;
        }
    }

    /// Slows a disk down for good: each sync takes this long.
    pub fn slow_disk(&mut self, machine: usize, latency: Duration) {
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.latency = latency;
        }
    }

    /// Fills a disk: writes fail until the time is over.
    pub fn fill_disk(&mut self, machine: usize, duration: Duration) {
        let until = self.now + duration;
        if let Some(disk) = &mut self.machines[machine].disk {
            disk.full_until = until;
        }
    }

    fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        self.seed_machines.iter().map(|seed| self.machines[*seed].address).collect()
    }

    /// Starts a machine's process now, with what its disk holds.
    pub(super) fn start(&mut self, machine: usize) {
        if self.is_running(machine) || self.machines[machine].removed {
            return;
        }
        let seeds = self.seed_addresses();
        let tolerated_losses = self.settings.tolerated_losses;
        let protocol_mutation = self.settings.protocol_mutation;
        // Drawn at each start, also where the mutation below doesn't use the second number.
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
