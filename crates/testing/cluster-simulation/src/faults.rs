//! Random faults of machines, disks and the network.
//!
//! `FaultInjector::inject` draws one fault of one machine within what the cluster tolerates; the methods in `correlated`
//! inject faults of several machines. `FaultInjector::apply_due` has to be called as time passes: it ends partitions and
//! injects the faults that were planned for later. Crashes, pauses and disk faults end by themselves.

mod budget;
mod correlated;

use crate::cluster::{Cluster, PartitionDirection};
use budget::LossBudget;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::time::Duration;

/// Downtime of a machine whose crash was planned, rather than drawn at that moment.
const PLANNED_RESTART_DELAY: Duration = Duration::from_millis(300);

/// A fault of one machine.
#[derive(Clone, Copy, Debug)]
enum MachineFault {
    /// The process crashes and restarts later.
    Crash,
    /// The process crashes and restarts later with an empty disk.
    Wipe,
    /// The machine is paused and resumes later.
    Pause,
    /// No write completes for a while.
    DiskStall,
    /// All writes fail for a while.
    DiskFull,
    /// A partition from all other machines, in one or both directions.
    Partition,
    /// The machine is replaced by an empty one at another address. Voters only.
    Replace,
}

/// Faults of one machine, each listed as often as its relative weight in the draw.
const MACHINE_FAULTS: [MachineFault; 9] = [
    MachineFault::Crash,
    MachineFault::Crash,
    MachineFault::Wipe,
    MachineFault::Pause,
    MachineFault::DiskStall,
    MachineFault::DiskFull,
    MachineFault::Partition,
    MachineFault::Partition,
    MachineFault::Replace,
];

/// Planned events of one kind: the machines concerned and their times.
#[derive(Default)]
struct Plan {
    entries: Vec<PlanEntry>,
}

struct PlanEntry {
    at: Duration,
    machine: usize,
}

impl Plan {
    fn push(&mut self, at: Duration, machine: usize) {
        self.entries.push(PlanEntry { at, machine });
    }

    fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes and returns the machines that are due, in the order in which they were planned.
    fn take_due(&mut self, now: Duration) -> Vec<usize> {
        let due = self.entries.iter().filter(|entry| entry.at <= now).map(|entry| entry.machine).collect();
        self.entries.retain(|entry| entry.at > now);
        due
    }
}

/// Injects faults and ends those that do not end by themselves.
pub struct FaultInjector {
    budget: LossBudget,
    /// Machines whose partitions heal at planned times.
    healing: Plan,
    /// Machines that crash just before the next partition heals.
    crashing_at_healing: Vec<usize>,
    /// Machines that lose their disks at planned times.
    disk_losses: Plan,
    /// Replaced machines that return with their old disks at planned times.
    returns: Plan,
}

impl FaultInjector {
    /// Creates an injector for a cluster that tolerates the loss of `tolerated` voters at the same time. A lost voter counts
    /// as lost for `catch_up_time` after its return.
    pub fn new(tolerated: usize, catch_up_time: Duration) -> Self {
        FaultInjector {
            budget: LossBudget::new(tolerated, catch_up_time),
            healing: Plan::default(),
            crashing_at_healing: Vec::new(),
            disk_losses: Plan::default(),
            returns: Plan::default(),
        }
    }

    /// Returns how many more voters may be lost now, with their disks.
    pub fn remaining_losses(&self) -> usize {
        self.budget.remaining()
    }

    /// Limits how many more disks may be lost over the rest of the history; `None` removes the limit.
    pub fn limit_disk_losses(&mut self, left: Option<usize>) {
        self.budget.limit_disk_losses(left);
    }

    /// Returns when all voters that are lost now will have caught up; zero if none is lost.
    pub fn recovered_at(&self) -> Duration {
        self.budget.recovered_at()
    }

    /// Returns when the last fault of a machine ends; zero if it had none.
    pub fn faulty_until(&self, machine: usize) -> Duration {
        self.budget.faulty_until(machine)
    }

    /// Ends the partitions that are due to heal and injects the planned faults that are due.
    pub fn apply_due(&mut self, cluster: &mut Cluster) {
        let now = cluster.now();
        self.budget.expire(now);
        let healing = self.healing.take_due(now);
        if !healing.is_empty() {
            // Crashes them before the partition heals, so that delayed messages reach machines that are down.
            for machine in std::mem::take(&mut self.crashing_at_healing) {
                restart(cluster, machine, PLANNED_RESTART_DELAY);
            }
        }
        for machine in healing {
            cluster.heal(machine);
        }
        for machine in self.disk_losses.take_due(now) {
            cluster.crash(machine);
            cluster.wipe_disk(machine);
            cluster.start_after(machine, PLANNED_RESTART_DELAY);
        }
        for machine in self.returns.take_due(now) {
            cluster.restore(machine);
            cluster.start_after(machine, Duration::ZERO);
        }
    }

    /// Injects a random fault of one machine, in at least half of the cases the primary. Injects nothing if no further loss
    /// is tolerated.
    pub fn inject(&mut self, cluster: &mut Cluster) {
        let running: Vec<usize> = (0..cluster.len()).filter(|machine| cluster.is_running(*machine)).collect();
        let Some(mut machine) = running.choose(&mut cluster.rng).copied() else { return };
        if cluster.rng.random_bool(0.5) {
            machine = cluster.primary().unwrap_or(machine);
        }
        let duration = Duration::from_millis(cluster.rng.random_range(50..4_000));
        if !self.budget.reserve(cluster, machine, duration) {
            return;
        }
        let is_voter = cluster.is_voter(machine);
        let can_lose_disk = !is_voter || self.budget.can_lose_disk();
        match MACHINE_FAULTS[cluster.rng.random_range(0..MACHINE_FAULTS.len())] {
            MachineFault::Crash => {
                cluster.crash(machine);
                cluster.start_after(machine, duration);
            }
            MachineFault::Wipe if can_lose_disk => {
                cluster.crash(machine);
                cluster.wipe_disk(machine);
                cluster.start_after(machine, duration);
                if is_voter {
                    self.budget.record_disk_loss(machine, cluster.now() + duration);
                }
            }
            MachineFault::Pause => cluster.pause(machine, duration),
            MachineFault::DiskStall => cluster.stall_disk(machine, duration),
            MachineFault::DiskFull => cluster.fill_disk(machine, duration),
            MachineFault::Partition => self.partition(cluster, machine, duration),
            MachineFault::Replace if is_voter && can_lose_disk => self.replace(cluster, machine, duration),
            MachineFault::Wipe | MachineFault::Replace => {}
        }
    }

    fn partition(&mut self, cluster: &mut Cluster, machine: usize, duration: Duration) {
        let direction = [PartitionDirection::Outbound, PartitionDirection::Inbound, PartitionDirection::Both]
            [cluster.rng.random_range(0..3)];
        cluster.partition(&[machine], &cluster.all_except(&[machine]), direction);
        self.healing.push(cluster.now() + duration, machine);
    }

    /// Replaces a voter with an empty machine, which starts after `down`.
    fn replace(&mut self, cluster: &mut Cluster, machine: usize, down: Duration) {
        let successor = cluster.replace(machine);
        self.budget.record_disk_loss(machine, cluster.now() + down);
        cluster.start_after(successor, down);
        self.budget.move_loss(machine, successor);
    }
}

fn running_voters(cluster: &Cluster) -> Vec<usize> {
    (0..cluster.len()).filter(|machine| cluster.is_voter(*machine) && cluster.is_running(*machine)).collect()
}

/// Crashes a machine and starts it again after a delay; does nothing if no process runs.
fn restart(cluster: &mut Cluster, machine: usize, delay: Duration) {
    if cluster.is_running(machine) {
        cluster.crash(machine);
        cluster.start_after(machine, delay);
    }
}
