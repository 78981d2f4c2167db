//! Checks a history of configuration changes for consistency, solely from what operators and sidecars observed.
//!
//! Changes are compare-and-set operations: each names the generation that it is based on. The checker requires
//! linearizability of acknowledged changes and reads, monotonic configurations at each process, and a cause for each
//! rejection. It knows neither the protocol nor which machines had faults.

use passrelay_dissemination::CommittedConfiguration;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a change in a history, independently of the generation it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeId(pub u64);

/// The version of a configuration as it was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedVersion {
    /// The version number chosen by operators; 0 before the first change.
    pub generation: u64,
    /// The change that wrote the configuration; `None` before the first change.
    pub change: Option<ChangeId>,
}

/// A violated property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Lost update: two changes based on the same generation were both acknowledged.
    LostUpdate(ChangeId, ChangeId),
    /// A retry was not idempotent: a change that was acknowledged was rejected when it was sent again.
    AcknowledgedThenRejected(ChangeId),
    /// Stale read: a read that began after a change was acknowledged returned an older generation.
    StaleRead {
        /// The newest generation acknowledged before the read began.
        acknowledged: u64,
        /// The generation that the read returned.
        read: u64,
    },
    /// A read returned an acknowledged generation with another change's content.
    DivergentRead(u64),
    /// Non-monotonic read: a process put an older configuration in force after a newer one.
    NonMonotonicRead(usize),
    /// Split brain: two different configurations were committed at this index.
    SplitBrain(u64),
    /// Aborted read: a change that was rejected is in force, or was acknowledged afterwards.
    AbortedRead(ChangeId),
    /// A change was rejected for its base although no other change on this base had been sent by then.
    SpuriousRejection(ChangeId),
    /// A process claimed that its configuration was current at a time when a newer one had been acknowledged.
    FalseFreshness(usize),
    /// No read was answered after the final fault.
    ReadUnavailable,
    /// A change was not acknowledged in time although no faults were active.
    WriteUnavailable(ChangeId),
    /// A voter that returned did not catch up with the newest state in time.
    CatchUpTimeout(usize),
}

/// What operators observed of one change.
#[derive(Clone, Debug, Default)]
struct ChangeHistory {
    generation: u64,
    base: u64,
    sent_at: Duration,
    acknowledged_at: Option<Duration>,
    rejected_at: Option<Duration>,
}

/// The change that was first acknowledged under a generation.
#[derive(Clone, Copy, Debug)]
struct Acknowledgement {
    change: ChangeId,
    at: Duration,
}

/// Collects observations and the violations among them.
#[derive(Debug, Default)]
pub struct Checker {
    changes: BTreeMap<ChangeId, ChangeHistory>,
    /// First acknowledgement of each generation.
    acknowledged: BTreeMap<u64, Acknowledgement>,
    /// The generation in force, by machine and incarnation.
    in_force: BTreeMap<(usize, u64), u64>,
    /// The first configuration that was observed at each index.
    configurations: BTreeMap<u64, CommittedConfiguration>,
    /// All violations so far.
    pub violations: Vec<Violation>,
}

impl Checker {
    /// Records that a change is sent for the first time.
    pub fn change_sent(&mut self, now: Duration, id: ChangeId, generation: u64, base: u64) {
        self.changes.insert(id, ChangeHistory { generation, base, sent_at: now, ..ChangeHistory::default() });
    }

    /// Returns the newest acknowledged generation, or 0 if there is none.
    pub fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.last_key_value().map_or(0, |(generation, _)| *generation)
    }

    /// Returns whether a change was ever acknowledged.
    pub fn is_acknowledged(&self, id: ChangeId) -> bool {
        self.changes.get(&id).is_some_and(|change| change.acknowledged_at.is_some())
    }

    /// Records that a change was acknowledged or rejected. Checks for idempotence, aborted reads and lost updates.
    pub fn change_answered(&mut self, now: Duration, id: ChangeId, acknowledged: bool) {
        let Some(change) = self.changes.get_mut(&id) else { return };
        if !acknowledged {
            change.rejected_at.get_or_insert(now);
            if change.acknowledged_at.is_some() {
                self.violations.push(Violation::AcknowledgedThenRejected(id));
            }
            return;
        }
        if change.rejected_at.is_some() {
            self.violations.push(Violation::AbortedRead(id));
        }
        if change.acknowledged_at.is_some() {
            return;
        }
        change.acknowledged_at = Some(now);
        let generation = change.generation;
        let base = change.base;
        let conflicts = |other: &ChangeId, change: &ChangeHistory| {
            *other != id && change.base == base && change.acknowledged_at.is_some()
        };
        if let Some((other, _)) = self.changes.iter().find(|(other, change)| conflicts(other, change)) {
            self.violations.push(Violation::LostUpdate(*other, id));
        }
        self.acknowledged.entry(generation).or_insert(Acknowledgement { change: id, at: now });
    }

    /// Checks the answer to a read that began when `acknowledged` was the newest acknowledged generation: it must be neither
    /// stale nor divergent.
    pub fn read_answered(&mut self, acknowledged: u64, read: ObservedVersion) {
        if read.generation < acknowledged {
            self.violations.push(Violation::StaleRead { acknowledged, read: read.generation });
        }
        let expected = self.acknowledged.get(&read.generation).map(|acknowledgement| acknowledgement.change);
        if expected.is_some() && expected != read.change {
            self.violations.push(Violation::DivergentRead(read.generation));
        }
    }

    /// Records that a process put a configuration in force, written by `change`. Checks for monotonicity, split brain and
    /// aborted reads.
    pub fn configured(
        &mut self,
        machine: usize,
        incarnation: u64,
        configuration: &CommittedConfiguration,
        change: Option<ChangeId>,
    ) {
        let before = self.in_force.insert((machine, incarnation), configuration.generation);
        if before.is_some_and(|before| before > configuration.generation) {
            self.violations.push(Violation::NonMonotonicRead(machine));
        }
        let first = self.configurations.entry(configuration.index).or_insert_with(|| configuration.clone());
        if first != configuration {
            self.violations.push(Violation::SplitBrain(configuration.index));
        }
        let is_rejected =
            |id: &ChangeId| self.changes.get(id).is_some_and(|change| change.rejected_at.is_some());
        if let Some(id) = change.filter(is_rejected) {
            self.violations.push(Violation::AbortedRead(id));
        }
    }

    /// Checks a process's claim that its configuration was current at `fresh_at` against the acknowledgements so far.
    pub fn freshness_claimed(&mut self, machine: usize, generation: u64, fresh_at: Duration) {
        let mut newer = self.acknowledged.range(generation + 1..);
        if newer.any(|(_, acknowledgement)| acknowledgement.at < fresh_at) {
            self.violations.push(Violation::FalseFreshness(machine));
        }
    }

    /// Checks at the end of the history that each rejection had a cause: another change on the same base that had been sent
    /// by then and was never rejected itself, which is known only now.
    pub fn finish(&mut self) {
        let mut spurious = Vec::new();
        for (id, change) in &self.changes {
            let Some(rejected_at) = change.rejected_at else { continue };
            let is_cause = |other: &ChangeHistory| {
                other.base == change.base && other.sent_at <= rejected_at && other.rejected_at.is_none()
            };
            if !self.changes.values().any(is_cause) {
                spurious.push(Violation::SpuriousRejection(*id));
            }
        }
        self.violations.append(&mut spurious);
    }
}
