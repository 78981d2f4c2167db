//! Random faults of machines, within what is tolerated.

use crate::cluster::Cluster;
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
    /// Cuts, and when they end.
    healing: Vec<(Duration, usize)>,
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
            healing: Vec::new(),
            troubled_until: BTreeMap::new(),
        }
    }

    /// Losses that may be added now.
    pub fn left(&self) -> usize {
        self.tolerated.saturating_sub(self.lost.len())
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
        let due: Vec<usize> = self.healing.iter().filter(|(at, _)| *at <= now).map(|(_, m)| *m).collect();
        self.healing.retain(|(at, _)| *at > now);
        for machine in due {
            cluster.join(machine);
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
        let counts = cluster.counts(machine);
        match cluster.rng.random_range(0..9) {
            0 | 1 => {
                cluster.crash(machine);
                cluster.start_after(machine, span);
            }
            2 => {
                cluster.crash(machine);
                cluster.wipe(machine);
                cluster.start_after(machine, span);
            }
            3 => cluster.freeze(machine, span),
            4 => cluster.stall(machine, span),
            5 => cluster.fill(machine, span),
            6 | 7 => self.cut(cluster, machine, span),
            _ if counts => self.replace(cluster, machine, span),
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
            members.iter().for_each(|m| cluster.freeze(*m, span));
            return;
        }
        for member in &members {
            for other in (0..cluster.len()).filter(|m| !members.contains(m)) {
                cluster.cut(*member, other);
                cluster.cut(other, *member);
            }
            self.healing.push((cluster.now() + span, *member));
        }
    }

    /// Whether a machine may have a fault of this length; it is in the books from then on.
    fn may_lose(&mut self, cluster: &Cluster, machine: usize, span: Duration) -> bool {
        let counts = cluster.counts(machine);
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
        let (away, back) = match cluster.rng.random_range(0..3) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        for other in (0..cluster.len()).filter(|m| *m != machine) {
            if away {
                cluster.cut(machine, other);
            }
            if back {
                cluster.cut(other, machine);
            }
        }
        self.healing.push((cluster.now() + span, machine));
    }

    /// A machine is gone for good; an empty one comes at another address.
    fn replace(&mut self, cluster: &mut Cluster, machine: usize, span: Duration) {
        let successor = cluster.replace(machine);
        cluster.start_after(successor, span);
        if let Some(until) = self.lost.remove(&machine) {
            self.lost.insert(successor, until);
        }
    }
}
