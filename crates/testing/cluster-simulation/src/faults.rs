//! Random faults of machines, within what is tolerated.

use crate::cluster::{Cluster, PartitionDirection};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Injects faults and takes those back that end after a time.
pub struct FaultInjector {
    /// Counted machines that may be lost at one time.
    tolerated: usize,
    /// A lost machine counts as lost for this long after its return.
    catch_up: Duration,
    /// Counted machines that are lost, until when.
    lost: BTreeMap<usize, Duration>,
    /// Disks that are lost, until their successors hold everything. Never more than tolerated, however losses overlap.
    disks_lost: BTreeMap<usize, Duration>,
    /// Disks that may still be lost at all; `None` for no such bound.
    disk_losses_left: Option<usize>,
    /// Cuts, and when they end.
    healing: Vec<(Duration, usize)>,
    /// Machines whose processes are killed just after the next cut has healed.
    killed_at_healing: Vec<usize>,
    /// Machines that lose their disks, and when.
    losing_disk: Vec<(Duration, usize)>,
    /// Machines that were replaced and come back with their disks, and when.
    returning: Vec<(Duration, usize)>,
    /// The last time at which any machine had a fault, by machine.
    troubled_until: BTreeMap<usize, Duration>,
}

impl FaultInjector {
    /// An injector of a cluster that tolerates so many losses at one time.
    pub fn new(tolerated: usize, catch_up: Duration) -> Self {
        FaultInjector {
            tolerated,
            catch_up,
            lost: BTreeMap::new(),
            disks_lost: BTreeMap::new(),
            disk_losses_left: None,
            healing: Vec::new(),
            killed_at_healing: Vec::new(),
            losing_disk: Vec::new(),
            returning: Vec::new(),
            troubled_until: BTreeMap::new(),
        }
    }

    /// Losses that may be added now, also of disks.
    pub fn left(&self) -> usize {
        self.tolerated.saturating_sub(self.lost.len().max(self.disks_lost.len()))
    }

    /// Nothing is in touch with everything else before a time: what returned lately has to catch up after it.
    fn hold_up_until(&mut self, until: Duration) {
        for lost in self.lost.values_mut().chain(self.disks_lost.values_mut()) {
            *lost = (*lost).max(until + self.catch_up);
        }
    }

    /// Bounds how many more disks may be lost, at whatever times.
    pub fn bound_disk_losses(&mut self, left: Option<usize>) {
        self.disk_losses_left = left;
    }

    fn may_lose_disk(&self) -> bool {
        self.disks_lost.len() < self.tolerated && self.disk_losses_left != Some(0)
    }

    /// A disk is lost now, and its machine, or the one that follows it, is back at a time.
    fn lose_disk(&mut self, machine: usize, back: Duration) {
        self.disks_lost.insert(machine, back + self.catch_up);
        self.disk_losses_left = self.disk_losses_left.map(|left| left.saturating_sub(1));
    }

    /// When everything that is lost now will have come back.
    pub fn calm_at(&self) -> Duration {
        self.lost.values().max().copied().unwrap_or_default()
    }

    /// When a machine's last fault ends; zero if it had none.
    pub fn troubled_until(&self, machine: usize) -> Duration {
        self.troubled_until.get(&machine).copied().unwrap_or_default()
    }

    /// Ends what is due to end.
    pub fn heal(&mut self, cluster: &mut Cluster) {
        let now = cluster.now();
        self.lost.retain(|_, until| *until > now);
        self.disks_lost.retain(|_, until| *until > now);
        let due = take_due(&mut self.healing, now);
        if !due.is_empty() {
            for machine in std::mem::take(&mut self.killed_at_healing) {
                restart(cluster, machine, Duration::from_millis(300));
            }
        }
        for machine in due {
            cluster.heal(machine);
        }
        for machine in take_due(&mut self.losing_disk, now) {
            cluster.crash(machine);
            cluster.wipe(machine);
            cluster.start_after(machine, Duration::from_millis(300));
        }
        for machine in take_due(&mut self.returning, now) {
            cluster.restore(machine);
            cluster.start_after(machine, Duration::ZERO);
        }
    }

    /// A fault of a machine, the primary's as often as any other's; none where no more is tolerated.
    pub fn inject(&mut self, cluster: &mut Cluster) {
        let machines: Vec<usize> = (0..cluster.len()).filter(|m| cluster.runs(*m)).collect();
        let Some(mut machine) = machines.choose(&mut cluster.rng).copied() else { return };
        if cluster.rng.random_bool(0.5) {
            machine = cluster.primary().unwrap_or(machine);
        }
        let span = Duration::from_millis(cluster.rng.random_range(50..4_000));
        if !self.may_lose(cluster, machine, span) {
            return;
        }
        let counts = cluster.is_voter(machine);
        let may_lose_disk = !counts || self.may_lose_disk();
        match cluster.rng.random_range(0..9) {
            0 | 1 => {
                cluster.crash(machine);
                cluster.start_after(machine, span);
            }
            2 if may_lose_disk => {
                cluster.crash(machine);
                cluster.wipe(machine);
                cluster.start_after(machine, span);
                if counts {
                    self.lose_disk(machine, cluster.now() + span);
                }
            }
            3 => cluster.pause(machine, span),
            4 => cluster.stall_disk(machine, span),
            5 => cluster.fill_disk(machine, span),
            6 | 7 => self.cut(cluster, machine, span),
            8 if counts && may_lose_disk => self.replace(cluster, machine, span),
            _ => {}
        }
    }

    /// Part of the machines, the primary often among them, is cut off together, or stands still, for longer than any
    /// grant or freshness lasts.
    pub fn inject_long(&mut self, cluster: &mut Cluster) {
        let span = Duration::from_millis(cluster.rng.random_range(4_000..9_000));
        let size = cluster.rng.random_range(1..=cluster.len() / 2);
        let mut members: Vec<usize> = (0..cluster.len()).filter(|m| cluster.runs(*m)).collect();
        members.shuffle(&mut cluster.rng);
        if let Some(primary) = cluster.primary().filter(|_| cluster.rng.random_bool(0.7)) {
            members.insert(0, primary);
        }
        members.truncate(size);
        members.retain(|m| self.may_lose(cluster, *m, span));
        if cluster.rng.random_bool(0.4) {
            members.iter().for_each(|m| cluster.pause(*m, span));
            return;
        }
        cluster.partition(&members, &cluster.all_except(&members), PartitionDirection::Both);
        self.healing.extend(members.iter().map(|member| (cluster.now() + span, *member)));
    }

    /// A long cut of counted machines, the primary most often among them, whatever is tolerated: no disk is lost. Now and
    /// then machines on either side are restarted meanwhile, or killed as the cut heals.
    pub fn inject_long_cut(&mut self, cluster: &mut Cluster) {
        let span = Duration::from_millis(cluster.rng.random_range(6_000..25_000));
        let mut counted: Vec<usize> =
            (0..cluster.len()).filter(|m| cluster.is_voter(*m) && cluster.runs(*m)).collect();
        if counted.len() < 2 || !self.healing.is_empty() {
            return;
        }
        counted.shuffle(&mut cluster.rng);
        if let Some(primary) = cluster.primary().filter(|_| cluster.rng.random_bool(0.8)) {
            counted.retain(|m| *m != primary);
            counted.insert(0, primary);
        }
        let most = if cluster.rng.random_bool(0.4) { counted.len() / 2 } else { 1 };
        let (inside, outside) = counted.split_at(most.max(1));
        let all_others = cluster.rng.random_bool(0.4);
        let others: Vec<usize> = (0..cluster.len())
            .filter(|m| !inside.contains(m) && (all_others || outside.contains(m)))
            .collect();
        let direction = [PartitionDirection::Both, PartitionDirection::Outbound, PartitionDirection::Inbound]
            [cluster.rng.random_range(0..3)];
        cluster.partition(inside, &others, direction);
        let until = cluster.now() + span;
        self.hold_up_until(until);
        self.healing.extend(inside.iter().map(|m| (until, *m)));
        for machine in &counted {
            let trouble = self.troubled_until.entry(*machine).or_default();
            *trouble = (*trouble).max(until);
            self.lost.insert(*machine, until + self.catch_up);
        }
        match cluster.rng.random_range(0..5) {
            0 => inside.iter().for_each(|m| restart(cluster, *m, Duration::from_millis(400))),
            1 => outside.iter().for_each(|m| restart(cluster, *m, Duration::from_millis(400))),
            2 => self.killed_at_healing = outside.to_vec(),
            3 if self.may_lose_disk() => {
                lose_disk_beside_cut(cluster, outside, span);
                outside.first().iter().for_each(|machine| self.lose_disk(**machine, until));
            }
            _ => {}
        }
    }

    /// The primary's disk stalls, and a machine that passes operators' calls on to it ends and is back at once: calls of
    /// its earlier process still wait there.
    pub fn inject_quick_restart(&mut self, cluster: &mut Cluster, machine: usize) {
        let stall = Duration::from_millis(cluster.rng.random_range(200..500));
        let Some(primary) = cluster.primary().filter(|primary| *primary != machine) else { return };
        if self.may_lose(cluster, primary, stall) {
            cluster.stall_disk(primary, stall);
        }
        if !cluster.is_voter(machine) {
            let pause = Duration::from_millis(cluster.rng.random_range(5..40));
            restart(cluster, machine, pause);
        }
    }

    /// The disks of all counted machines but the primary stall, whatever is tolerated, and the primary's is lost while
    /// they do: nothing may have been acknowledged that it alone held.
    pub fn inject_lone_disk(&mut self, cluster: &mut Cluster) {
        let Some(primary) = cluster.primary().filter(|_| self.lost.is_empty() && self.may_lose_disk()) else {
            return;
        };
        let stall = Duration::from_millis(cluster.rng.random_range(2_000..5_000));
        let until = cluster.now() + stall;
        for machine in (0..cluster.len()).filter(|m| *m != primary) {
            if cluster.is_voter(machine) {
                cluster.stall_disk(machine, stall);
                self.lost.insert(machine, until + self.catch_up);
            }
        }
        let lost_after = Duration::from_millis(cluster.rng.random_range(800..1_800));
        self.lost.insert(primary, until + self.catch_up);
        self.lose_disk(primary, until);
        self.losing_disk.push((cluster.now() + lost_after, primary));
    }

    /// All machines fall into two parts that hear nothing of each other.
    pub fn inject_split(&mut self, cluster: &mut Cluster) {
        if !self.healing.is_empty() {
            return;
        }
        let span = Duration::from_millis(cluster.rng.random_range(500..8_000));
        let mut machines: Vec<usize> = (0..cluster.len()).collect();
        machines.shuffle(&mut cluster.rng);
        let (one_part, other_part) = machines.split_at(cluster.rng.random_range(1..machines.len()));
        let until = cluster.now() + span;
        self.hold_up_until(until);
        cluster.partition(one_part, other_part, PartitionDirection::Both);
        self.healing.extend(one_part.iter().map(|machine| (until, *machine)));
        for machine in machines.iter().filter(|m| cluster.is_voter(**m)) {
            self.lost.insert(*machine, until + self.catch_up);
        }
    }

    /// A machine is dark for long and loses its place to a newcomer; later it comes back with its disk.
    pub fn inject_return(&mut self, cluster: &mut Cluster) {
        let counted: Vec<usize> =
            (0..cluster.len()).filter(|m| cluster.is_voter(*m) && cluster.runs(*m)).collect();
        let Some(machine) = counted.choose(&mut cluster.rng).copied() else { return };
        let span = Duration::from_millis(cluster.rng.random_range(1_000..3_000));
        if !self.may_lose_disk() || !self.may_lose(cluster, machine, span) {
            return;
        }
        self.replace(cluster, machine, span);
        let dark = Duration::from_millis(cluster.rng.random_range(4_000..15_000));
        self.returning.push((cluster.now() + dark, machine));
    }

    /// All counted machines, or all machines, are killed or lose power at the same time.
    pub fn inject_blackout(&mut self, cluster: &mut Cluster, everybody: bool) {
        let dark = Duration::from_millis(cluster.rng.random_range(100..1_500));
        let until = cluster.now() + dark + self.catch_up;
        self.hold_up_until(cluster.now() + dark + Duration::from_millis(300));
        for machine in 0..cluster.len() {
            if cluster.runs(machine) && (everybody || cluster.is_voter(machine)) {
                let apart = Duration::from_millis(cluster.rng.random_range(0..300));
                restart(cluster, machine, dark + apart);
                if cluster.is_voter(machine) {
                    self.lost.insert(machine, until + apart);
                }
            }
        }
    }

    /// Whether a machine may have a fault of this length; it is in the books from then on.
    fn may_lose(&mut self, cluster: &Cluster, machine: usize, span: Duration) -> bool {
        let counts = cluster.is_voter(machine);
        if counts && (self.lost.len() >= self.tolerated || self.lost.contains_key(&machine)) {
            return false;
        }
        if counts {
            self.lost.insert(machine, cluster.now() + span + self.catch_up);
        }
        let trouble = self.troubled_until.entry(machine).or_default();
        *trouble = (*trouble).max(cluster.now() + span);
        true
    }

    fn cut(&mut self, cluster: &mut Cluster, machine: usize, span: Duration) {
        let direction = match cluster.rng.random_range(0..3) {
            0 => PartitionDirection::Outbound,
            1 => PartitionDirection::Inbound,
            _ => PartitionDirection::Both,
        };
        cluster.partition(&[machine], &cluster.all_except(&[machine]), direction);
        self.healing.push((cluster.now() + span, machine));
    }

    /// A machine is gone; an empty one comes at another address.
    fn replace(&mut self, cluster: &mut Cluster, machine: usize, span: Duration) {
        let successor = cluster.replace(machine);
        self.lose_disk(machine, cluster.now() + span);
        cluster.start_after(successor, span);
        if let Some(until) = self.lost.remove(&machine) {
            self.lost.insert(successor, until);
        }
    }
}

/// Takes out the machines whose time has come.
fn take_due(planned: &mut Vec<(Duration, usize)>, now: Duration) -> Vec<usize> {
    let due = planned.iter().filter(|(at, _)| *at <= now).map(|(_, machine)| *machine).collect();
    planned.retain(|(at, _)| *at > now);
    due
}

/// A minority misses changes while one of the others loses its disk and the rest are dark for a while.
fn lose_disk_beside_cut(cluster: &mut Cluster, outside: &[usize], span: Duration) {
    for (index, machine) in outside.iter().enumerate() {
        let dark = Duration::from_millis(cluster.rng.random_range(1_000..6_000)).min(span);
        if cluster.runs(*machine) {
            cluster.crash(*machine);
            if index == 0 {
                cluster.wipe(*machine);
            }
            cluster.start_after(*machine, dark);
        }
    }
}

fn restart(cluster: &mut Cluster, machine: usize, pause: Duration) {
    if cluster.runs(machine) {
        cluster.crash(machine);
        cluster.start_after(machine, pause);
    }
}
