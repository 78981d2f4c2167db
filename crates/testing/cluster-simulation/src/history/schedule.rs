//! The schedule of each scenario: changes, reads and faults up to the final fault.

use super::operator::MAX_PENDING_CHANGES;
use super::{
    ChangeId, History, Scenario, Violation, BOOTSTRAP_TIMEOUT, LOST_ANSWER_PROBABILITY, POLL_INTERVAL,
};
use rand::seq::IndexedRandom;
use rand::Rng;
use std::time::Duration;

/// Probability that an answer is lost during a run of hundreds of changes, where each loss costs a retry timeout.
const MANY_CHANGES_LOST_ANSWER_PROBABILITY: f64 = 0.005;
/// Time within which all of these changes have to be acknowledged.
const MANY_CHANGES_TIMEOUT: Duration = Duration::from_secs(1_200);
/// Interval at which these changes are sent.
const MANY_CHANGES_INTERVAL: Duration = Duration::from_millis(5);

/// Time that a sync takes on a slow disk.
const SLOW_SYNC: Duration = Duration::from_millis(120);
/// Duration for which a disk is full or stalled.
const DISK_FAULT: Duration = Duration::from_millis(1_500);
/// Time by which every machine has been started for the first time.
const FIRST_STARTS: Duration = Duration::from_millis(600);

impl History {
    /// Simulates one poll interval, with random changes, reads, resent changes and faults.
    pub(super) fn run_interval(&mut self) {
        let races = self.settings.scenario == Scenario::Races;
        let proposes = self.cluster.rng.random_bool(if races { 0.3 } else { 0.15 });
        if proposes && self.pending.len() < MAX_PENDING_CHANGES {
            self.propose_change();
            if self.cluster.rng.random_bool(if races { 0.6 } else { 0.25 }) {
                self.propose_change();
            }
        }
        let reads_often = self.settings.scenario == Scenario::IsolatedPrimaries;
        if self.cluster.rng.random_bool(if reads_often { 0.4 } else { 0.05 }) {
            self.read();
        }
        if self.cluster.rng.random_bool(if races { 0.1 } else { 0.02 }) {
            self.resend_acknowledged();
        }
        self.inject_faults();
        let until = self.cluster.now() + POLL_INTERVAL;
        self.advance(until);
    }

    /// Injects random faults within the tolerance, and those of the scenario. The guards draw random numbers in the order of
    /// the arms.
    fn inject_faults(&mut self) {
        if self.cluster.rng.random_bool(0.06) {
            self.faults.inject(&mut self.cluster);
        }
        match self.settings.scenario {
            Scenario::LongPartitions if self.cluster.rng.random_bool(0.01) => {
                self.faults.inject_long_partition(&mut self.cluster);
            }
            Scenario::IsolatedPrimaries if self.cluster.rng.random_bool(0.04) => {
                let isolated = self.faults.inject_primary_isolation(&mut self.cluster);
                self.preferred_machine = isolated.unwrap_or(self.preferred_machine);
            }
            Scenario::Repairs if self.cluster.rng.random_bool(0.02) => {
                self.faults.inject_returning_voter(&mut self.cluster);
            }
            Scenario::Repairs if self.cluster.rng.random_bool(0.006) => {
                self.faults.inject_only_replica_loss(&mut self.cluster);
            }
            Scenario::Races if self.cluster.rng.random_bool(0.04) => {
                self.faults.inject_quick_restart(&mut self.cluster, self.preferred_machine);
            }
            Scenario::Races if self.cluster.rng.random_bool(0.02) => {
                self.preferred_machine = self.cluster.rng.random_range(0..self.cluster.len());
            }
            Scenario::Repairs | Scenario::Races if self.cluster.rng.random_bool(0.004) => {
                let all_machines = self.cluster.rng.random_bool(0.5);
                self.faults.inject_outage(&mut self.cluster, all_machines);
            }
            _ => {}
        }
    }

    /// Injects outages, network splits and faults of single machines from the start until some time after the bootstrap. At
    /// most one disk may be lost: if two of the three seeds are lost before the first record exists, no machine may bootstrap
    /// any more, and there are no changes to lose.
    pub(super) fn run_faulty_bootstrap(&mut self) {
        self.faults.limit_disk_losses(Some(1));
        let until = Duration::from_millis(self.cluster.rng.random_range(500..9_000));
        while self.cluster.now() < until {
            if self.cluster.rng.random_bool(0.1) {
                let all_machines = self.cluster.rng.random_bool(0.3);
                self.faults.inject_outage(&mut self.cluster, all_machines);
            }
            if self.cluster.rng.random_bool(0.05) {
                self.faults.inject_network_split(&mut self.cluster);
            }
            if self.cluster.rng.random_bool(0.15) {
                self.faults.inject(&mut self.cluster);
            }
            if self.cluster.rng.random_bool(0.2) && self.pending.len() < MAX_PENDING_CHANGES {
                self.propose_change();
            }
            if self.settings.scenario == Scenario::BootstrapWithOtherSeeds {
                self.change_seeds_and_restart();
            }
            let next = self.cluster.now() + POLL_INTERVAL;
            self.advance(next);
        }
        // These faults may overlap beyond the tolerance, so all machines have to recover before other faults begin.
        let recovered_at = self.faults.recovered_at().max(self.cluster.now()) + BOOTSTRAP_TIMEOUT;
        self.advance(recovered_at);
        self.faults.limit_disk_losses(None);
    }

    /// At times changes the list of seeds, and as often restarts some machines, so that machines start with different lists.
    /// All receive the same list at their first start.
    fn change_seeds_and_restart(&mut self) {
        if self.cluster.now() < FIRST_STARTS {
            return;
        }
        if self.cluster.rng.random_bool(0.15) {
            self.cluster.change_seeds();
        }
        if self.cluster.rng.random_bool(0.15) {
            self.faults.inject_restarts(&mut self.cluster);
        }
    }

    /// Makes hundreds of changes in a row while a voter is down, and checks that the voter catches up in time once restarted.
    pub(super) fn run_many_changes(&mut self) {
        let changes = if self.settings.cluster.seed % 8 == 0 { 1_500 } else { 300 };
        let voters: Vec<usize> =
            (0..self.cluster.len()).filter(|machine| self.cluster.is_voter(*machine)).collect();
        let down = voters.choose(&mut self.cluster.rng).copied().unwrap_or(0);
        self.cluster.crash(down);
        self.lost_answer_probability = MANY_CHANGES_LOST_ANSWER_PROBABILITY;
        let deadline = self.cluster.now() + MANY_CHANGES_TIMEOUT;
        while self.acknowledged.len() < changes && self.cluster.now() < deadline {
            if self.pending.is_empty() {
                self.propose_change();
            }
            let next = self.cluster.now() + MANY_CHANGES_INTERVAL;
            self.advance_to(next);
        }
        if self.acknowledged.len() < changes {
            self.checker.violations.push(Violation::WriteUnavailable(ChangeId(self.next_change)));
        }
        self.lost_answer_probability = LOST_ANSWER_PROBABILITY;
        self.cluster.start_after(down, Duration::ZERO);
        if self.settings.scenario == Scenario::ManyChangesOnBadDisk {
            self.inject_disk_fault(down);
        }
        let back_at = self.cluster.now() + self.settings.catch_up_time;
        self.advance(back_at);
        let newest = (0..self.cluster.len()).map(|machine| self.index_at(machine)).max().unwrap_or(0);
        if self.index_at(down) < newest {
            self.checker.violations.push(Violation::CatchUpTimeout(down));
        }
    }

    /// Makes a disk slow, full or stalled, each for a third of the seeds.
    fn inject_disk_fault(&mut self, machine: usize) {
        match self.settings.cluster.seed % 3 {
            0 => self.cluster.slow_disk(machine, SLOW_SYNC),
            1 => self.cluster.fill_disk(machine, DISK_FAULT),
            _ => self.cluster.stall_disk(machine, DISK_FAULT),
        }
    }

    /// Returns the index of the state that a machine's replica holds, or 0 if it has no replica.
    fn index_at(&self, machine: usize) -> u64 {
        let replica = self.cluster.process(machine).and_then(|process| process.replica());
        replica.map_or(0, |replica| replica.state().version.index)
    }
}
