//! Tracks which machines count as lost, so that injected faults stay within what the cluster tolerates.
//!
//! A voter counts as lost from its fault until some time after its return, because it has to catch up before it can replace
//! another one. The budget only does the accounting and injects no faults.

use crate::cluster::Cluster;
use std::collections::BTreeMap;
use std::time::Duration;

/// The current losses, and how many more are tolerated.
pub(super) struct LossBudget {
    /// Number of voters that may be lost at the same time.
    tolerated: usize,
    /// A lost voter counts as lost for this long after its return.
    catch_up_time: Duration,
    /// Lost voters, and the time until which each counts as lost.
    lost: BTreeMap<usize, Duration>,
    /// Voters whose disks are lost, and the time by which their successors hold the complete state. Never more than
    /// tolerated, however losses overlap.
    disks_lost: BTreeMap<usize, Duration>,
    /// Number of disks that may still be lost over the rest of the history; `None` for no limit.
    disk_losses_left: Option<usize>,
    /// When the last fault of each machine ends, including machines that are not voters.
    faulty_until: BTreeMap<usize, Duration>,
}

impl LossBudget {
    pub(super) fn new(tolerated: usize, catch_up_time: Duration) -> Self {
        LossBudget {
            tolerated,
            catch_up_time,
            lost: BTreeMap::new(),
            disks_lost: BTreeMap::new(),
            disk_losses_left: None,
            faulty_until: BTreeMap::new(),
        }
    }

    /// Returns how many more voters may be lost now, with their disks.
    pub(super) fn remaining(&self) -> usize {
        self.tolerated.saturating_sub(self.lost.len().max(self.disks_lost.len()))
    }

    /// Returns whether no voter counts as lost now; lost disks are not considered.
    pub(super) fn is_unused(&self) -> bool {
        self.lost.is_empty()
    }

    pub(super) fn limit_disk_losses(&mut self, left: Option<usize>) {
        self.disk_losses_left = left;
    }

    pub(super) fn can_lose_disk(&self) -> bool {
        self.disks_lost.len() < self.tolerated && self.disk_losses_left != Some(0)
    }

    /// Returns when all voters that are lost now will have caught up; zero if none is lost.
    pub(super) fn recovered_at(&self) -> Duration {
        self.lost.values().max().copied().unwrap_or_default()
    }

    /// Returns when the last fault of a machine ends; zero if it had none.
    pub(super) fn faulty_until(&self, machine: usize) -> Duration {
        self.faulty_until.get(&machine).copied().unwrap_or_default()
    }

    /// Reserves a fault of this duration. Returns false, and reserves nothing, if the machine is a voter that already counts
    /// as lost or no further loss is tolerated.
    pub(super) fn reserve(&mut self, cluster: &Cluster, machine: usize, duration: Duration) -> bool {
        let until = cluster.now() + duration;
        if cluster.is_voter(machine) {
            if self.lost.len() >= self.tolerated || self.lost.contains_key(&machine) {
                return false;
            }
            self.record_loss(machine, until);
        }
        self.record_fault(machine, until);
        true
    }

    /// Records that a voter is lost until a time, even beyond the tolerance.
    pub(super) fn record_loss(&mut self, machine: usize, until: Duration) {
        self.lost.insert(machine, until + self.catch_up_time);
    }

    /// Records that a machine has a fault until a time.
    pub(super) fn record_fault(&mut self, machine: usize, until: Duration) {
        let faulty_until = self.faulty_until.entry(machine).or_default();
        *faulty_until = (*faulty_until).max(until);
    }

    /// Records that a voter's disk is lost now and that the voter or its successor runs again at `back_at`.
    pub(super) fn record_disk_loss(&mut self, machine: usize, back_at: Duration) {
        self.disks_lost.insert(machine, back_at + self.catch_up_time);
        self.disk_losses_left = self.disk_losses_left.map(|left| left.saturating_sub(1));
    }

    /// Transfers the loss of a voter to its successor.
    pub(super) fn move_loss(&mut self, machine: usize, successor: usize) {
        if let Some(until) = self.lost.remove(&machine) {
            self.lost.insert(successor, until);
        }
    }

    /// Records that not all voters can communicate before a time, so that voters lost now catch up only after it.
    pub(super) fn delay_recovery(&mut self, until: Duration) {
        for recovered_at in self.lost.values_mut().chain(self.disks_lost.values_mut()) {
            *recovered_at = (*recovered_at).max(until + self.catch_up_time);
        }
    }

    /// Drops the losses whose voters have caught up.
    pub(super) fn expire(&mut self, now: Duration) {
        self.lost.retain(|_, until| *until > now);
        self.disks_lost.retain(|_, until| *until > now);
    }
}
