//! The final fault of a history, and the checks that the cluster recovers from it with all acknowledged changes.

use super::{ChangeId, History, Violation, ACKNOWLEDGE_TIMEOUT};
use rand::Rng;
use std::time::Duration;

/// Number of reads after the final fault.
const FINAL_READS: usize = 40;
/// Interval between the final reads.
const FINAL_READ_INTERVAL: Duration = Duration::from_millis(100);

impl History {
    /// Crashes all running machines at once; in half of the histories, up to as many voters as tolerated also lose their
    /// disks.
    pub(super) fn inject_final_fault(&mut self) {
        // In half of the histories, waits until all voters lost before have caught up.
        if self.cluster.rng.random_bool(0.5) {
            let recovered_at = self.faults.recovered_at().max(self.cluster.now());
            self.advance(recovered_at + Duration::from_millis(100));
        }
        self.propose_change();
        let until = self.cluster.now() + Duration::from_millis(self.cluster.rng.random_range(1..60));
        self.advance(until);
        let loses_disks = self.cluster.rng.random_bool(0.5);
        let mut disk_losses = if loses_disks { self.faults.remaining_losses() } else { 0 };
        for machine in 0..self.cluster.len() {
            if !self.cluster.is_running(machine) {
                continue;
            }
            self.cluster.crash(machine);
            if disk_losses > 0 && self.cluster.is_voter(machine) && self.cluster.rng.random_bool(0.6) {
                self.cluster.wipe_disk(machine);
                disk_losses -= 1;
            }
            let delay = Duration::from_millis(self.cluster.rng.random_range(500..900));
            self.cluster.start_after(machine, delay);
        }
    }

    /// Checks after the final fault that reads return the newest acknowledged configuration and that a new change is
    /// acknowledged.
    pub(super) fn read_back(&mut self) {
        // Losses that overlap beyond the tolerance may leave the cluster without a quorum until all voters have caught up.
        let until = self.faults.recovered_at().max(self.cluster.now() + ACKNOWLEDGE_TIMEOUT);
        self.advance(until);
        self.last_read = None;
        self.is_recovering = true;
        for _ in 0..FINAL_READS {
            self.read();
            let until = self.cluster.now() + FINAL_READ_INTERVAL;
            self.advance(until);
        }
        if self.last_read.is_none() {
            self.checker.violations.push(Violation::ReadUnavailable);
        }
        self.pending.clear();
        let id = ChangeId(self.next_change);
        self.propose_change();
        let until = self.cluster.now() + ACKNOWLEDGE_TIMEOUT;
        self.advance(until);
        if !self.checker.is_acknowledged(id) {
            self.checker.violations.push(Violation::WriteUnavailable(id));
        }
    }
}
