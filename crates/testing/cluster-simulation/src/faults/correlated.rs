//! Faults of several machines at once, or several faults in a row.
//!
//! Some exceed the number of tolerated losses. The cluster may become unavailable then, but no acknowledged change may be
//! lost, because no more disks are lost than tolerated.

use super::{restart, running_voters, FaultInjector};
use crate::cluster::{Cluster, PartitionDirection};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::Rng;
use std::time::Duration;

/// Voters on both sides of a partition; only messages between the voters inside and `others` are blocked.
struct PartitionGroups {
    voters: Vec<usize>,
    /// Number of voters inside, which come first in `voters`.
    inside_len: usize,
    /// Machines partitioned from those inside: either the other voters or all other machines.
    others: Vec<usize>,
}

impl FaultInjector {
    /// Partitions a random group of machines, often with the primary, from the rest or pauses it, for longer than any quota
    /// grant or freshness claim is valid.
    pub fn inject_group_outage(&mut self, cluster: &mut Cluster) {
        let duration = Duration::from_millis(cluster.rng.random_range(4_000..9_000));
        let size = cluster.rng.random_range(1..=cluster.len() / 2);
        let mut members: Vec<usize> =
            (0..cluster.len()).filter(|machine| cluster.is_running(*machine)).collect();
        members.shuffle(&mut cluster.rng);
        if let Some(primary) = cluster.primary().filter(|_| cluster.rng.random_bool(0.7)) {
            members.insert(0, primary);
        }
        members.truncate(size);
        members.retain(|machine| self.budget.reserve(cluster, *machine, duration));
        if cluster.rng.random_bool(0.4) {
            members.iter().for_each(|machine| cluster.pause(*machine, duration));
            return;
        }
        cluster.partition(&members, &cluster.all_except(&members), PartitionDirection::Both);
        self.plan_healing(&members, cluster.now() + duration);
    }

    /// Injects a long partition of voters, mostly with the primary inside, even beyond the tolerance. At times it also
    /// restarts the machines of one side, crashes those outside when the partition heals, or wipes the disk of one outside.
    pub fn inject_long_partition(&mut self, cluster: &mut Cluster) {
        let duration = Duration::from_millis(cluster.rng.random_range(6_000..25_000));
        let voters = running_voters(cluster);
        if voters.len() < 2 || !self.healing.is_empty() {
            return;
        }
        let groups = draw_partition_groups(cluster, voters);
        let (inside, outside) = groups.voters.split_at(groups.inside_len);
        let direction = [PartitionDirection::Both, PartitionDirection::Outbound, PartitionDirection::Inbound]
            [cluster.rng.random_range(0..3)];
        cluster.partition(inside, &groups.others, direction);
        let until = cluster.now() + duration;
        self.budget.delay_recovery(until);
        self.plan_healing(inside, until);
        for machine in &groups.voters {
            self.budget.record_fault(*machine, until);
            self.budget.record_loss(*machine, until);
        }
        match cluster.rng.random_range(0..5) {
            0 => inside.iter().for_each(|machine| restart(cluster, *machine, Duration::from_millis(400))),
            1 => outside.iter().for_each(|machine| restart(cluster, *machine, Duration::from_millis(400))),
            2 => self.crashing_at_healing = outside.to_vec(),
            3 if self.budget.can_lose_disk() => {
                restart_all_wipe_first(cluster, outside, duration);
                outside.first().iter().for_each(|machine| self.budget.record_disk_loss(**machine, until));
            }
            _ => {}
        }
    }

    /// Partitions the primary from the other voters or from all other machines, even beyond the tolerance. Returns the
    /// primary, or `None` if there is none or another partition lasts.
    pub fn inject_primary_isolation(&mut self, cluster: &mut Cluster) -> Option<usize> {
        let primary = cluster.primary().filter(|_| self.healing.is_empty())?;
        let duration = Duration::from_millis(cluster.rng.random_range(600..5_000));
        let until = cluster.now() + duration;
        let all_machines = cluster.rng.random_bool(0.3);
        let mut others = cluster.all_except(&[primary]);
        others.retain(|machine| all_machines || cluster.is_voter(*machine));
        let direction = [PartitionDirection::Both, PartitionDirection::Outbound, PartitionDirection::Inbound]
            [cluster.rng.random_range(0..3)];
        cluster.partition(&[primary], &others, direction);
        self.budget.delay_recovery(until);
        self.plan_healing(&[primary], until);
        for machine in running_voters(cluster) {
            self.budget.record_fault(machine, until);
            self.budget.record_loss(machine, until);
        }
        Some(primary)
    }

    /// Stalls the primary's disk and quickly restarts a machine that forwards operators' calls to the primary, while calls
    /// of its earlier incarnation are still in flight there.
    pub fn inject_quick_restart(&mut self, cluster: &mut Cluster, machine: usize) {
        let stall = Duration::from_millis(cluster.rng.random_range(200..500));
        let Some(primary) = cluster.primary().filter(|primary| *primary != machine) else { return };
        if self.budget.reserve(cluster, primary, stall) {
            cluster.stall_disk(primary, stall);
        }
        if !cluster.is_voter(machine) {
            let delay = Duration::from_millis(cluster.rng.random_range(5..40));
            restart(cluster, machine, delay);
        }
    }

    /// Stalls the disks of all voters except the primary, even beyond the tolerance, and wipes the primary's disk meanwhile:
    /// no change may have been acknowledged of which the primary held the only replica.
    pub fn inject_only_replica_loss(&mut self, cluster: &mut Cluster) {
        let may_inject = self.budget.is_unused() && self.budget.can_lose_disk();
        let Some(primary) = cluster.primary().filter(|_| may_inject) else { return };
        let stall = Duration::from_millis(cluster.rng.random_range(2_000..5_000));
        let until = cluster.now() + stall;
        for machine in (0..cluster.len()).filter(|machine| *machine != primary) {
            if cluster.is_voter(machine) {
                cluster.stall_disk(machine, stall);
                self.budget.record_loss(machine, until);
            }
        }
        let lost_after = Duration::from_millis(cluster.rng.random_range(800..1_800));
        self.budget.record_loss(primary, until);
        self.budget.record_disk_loss(primary, until);
        self.disk_losses.push(cluster.now() + lost_after, primary);
    }

    /// Restarts some voters, each after a short random delay, with their disks intact.
    pub fn inject_restarts(&mut self, cluster: &mut Cluster) {
        for machine in running_voters(cluster) {
            if cluster.rng.random_bool(0.4) {
                let delay = Duration::from_millis(cluster.rng.random_range(20..400));
                self.budget.delay_recovery(cluster.now() + delay);
                restart(cluster, machine, delay);
            }
        }
    }

    /// Splits all machines into two random groups with a partition between them, unless another partition lasts.
    pub fn inject_network_split(&mut self, cluster: &mut Cluster) {
        if !self.healing.is_empty() {
            return;
        }
        let duration = Duration::from_millis(cluster.rng.random_range(500..8_000));
        let mut machines: Vec<usize> = (0..cluster.len()).collect();
        machines.shuffle(&mut cluster.rng);
        let (inside, outside) = machines.split_at(cluster.rng.random_range(1..machines.len()));
        let until = cluster.now() + duration;
        self.budget.delay_recovery(until);
        cluster.partition(inside, outside, PartitionDirection::Both);
        self.plan_healing(inside, until);
        for machine in machines.iter().filter(|machine| cluster.is_voter(**machine)) {
            self.budget.record_loss(*machine, until);
        }
    }

    /// Replaces a voter, and restores it with its old disk seconds later.
    pub fn inject_returning_voter(&mut self, cluster: &mut Cluster) {
        let voters = running_voters(cluster);
        let Some(machine) = voters.choose(&mut cluster.rng).copied() else { return };
        let duration = Duration::from_millis(cluster.rng.random_range(1_000..3_000));
        if !self.budget.can_lose_disk() || !self.budget.reserve(cluster, machine, duration) {
            return;
        }
        self.replace(cluster, machine, duration);
        let absence = Duration::from_millis(cluster.rng.random_range(4_000..15_000));
        self.returns.push(cluster.now() + absence, machine);
    }

    /// Crashes all voters or all machines at the same time and restarts them one after the other.
    pub fn inject_outage(&mut self, cluster: &mut Cluster, all_machines: bool) {
        let down = Duration::from_millis(cluster.rng.random_range(100..1_500));
        let back_at = cluster.now() + down;
        self.budget.delay_recovery(back_at + Duration::from_millis(300));
        for machine in 0..cluster.len() {
            if cluster.is_running(machine) && (all_machines || cluster.is_voter(machine)) {
                let stagger = Duration::from_millis(cluster.rng.random_range(0..300));
                restart(cluster, machine, down + stagger);
                if cluster.is_voter(machine) {
                    self.budget.record_loss(machine, back_at + stagger);
                }
            }
        }
    }

    fn plan_healing(&mut self, inside: &[usize], until: Duration) {
        inside.iter().for_each(|machine| self.healing.push(until, *machine));
    }
}

/// Shuffles the voters, moves the primary to the front with probability 0.8, and draws how many voters are inside.
fn draw_partition_groups(cluster: &mut Cluster, mut voters: Vec<usize>) -> PartitionGroups {
    voters.shuffle(&mut cluster.rng);
    if let Some(primary) = cluster.primary().filter(|_| cluster.rng.random_bool(0.8)) {
        voters.retain(|machine| *machine != primary);
        voters.insert(0, primary);
    }
    let half = cluster.rng.random_bool(0.4);
    let inside_len = if half { (voters.len() / 2).max(1) } else { 1 };
    let (inside, outside) = voters.split_at(inside_len);
    let all_machines = cluster.rng.random_bool(0.4);
    let mut others = cluster.all_except(inside);
    others.retain(|machine| all_machines || outside.contains(machine));
    PartitionGroups { others, inside_len, voters }
}

/// Restarts `machines`, the first with an empty disk, while a partition keeps the voters on the other side from receiving
/// changes.
fn restart_all_wipe_first(cluster: &mut Cluster, machines: &[usize], max_down: Duration) {
    for (index, machine) in machines.iter().enumerate() {
        let down = Duration::from_millis(cluster.rng.random_range(1_000..6_000)).min(max_down);
        if cluster.is_running(*machine) {
            cluster.crash(*machine);
            if index == 0 {
                cluster.wipe_disk(*machine);
            }
            cluster.start_after(*machine, down);
        }
    }
}
