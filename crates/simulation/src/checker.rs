//! What operators and sidecars may never see. Knows nothing of how the system works.

use passrelay_dissemination::CommittedConfiguration;
use std::collections::BTreeMap;
use std::time::Duration;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two changes on the same version were both acknowledged.
    BothAcknowledged(u64, u64),
    /// A change that was acknowledged was refused when it was sent again, with no other change between.
    RefusedAgain(u64),
    /// A read that began after an acknowledgement showed an older version.
    OldRead {
        /// The generation acknowledged.
        acknowledged: u64,
        /// The generation read.
        read: u64,
    },
    /// A process went back to an older configuration.
    WentBack(usize),
    /// One index held two documents, or one generation did.
    Forked(u64),
    /// What was refused is in force.
    RefusedInForce(u64),
    /// A change was refused for its version although no other change on that version had been sent by then.
    WronglyRefused(u64),
    /// A process took its configuration for current although a newer one had been acknowledged by then.
    FalselyFresh(usize),
    /// Nothing could be read in the end.
    Unreadable,
    /// An order wasn't acknowledged in a calm time.
    Unacknowledged(u64),
}

/// What is known of one order.
#[derive(Clone, Debug, Default)]
struct Fate {
    base: u64,
    sent_at: Duration,
    acknowledged_at: Option<Duration>,
    refused: bool,
    refused_at: Option<Duration>,
}

/// Gathers what is seen and finds what may not be.
#[derive(Debug, Default)]
pub struct Checker {
    orders: BTreeMap<u64, Fate>,
    in_force: BTreeMap<(usize, u64), u64>,
    documents: BTreeMap<u64, CommittedConfiguration>,
    newest_acknowledged: u64,
    /// Everything found.
    pub violations: Vec<Violation>,
}

impl Checker {
    /// An order goes out. Generations are never used twice.
    pub fn ordered(&mut self, now: Duration, generation: u64, base: u64) {
        self.orders.insert(generation, Fate { base, sent_at: now, ..Fate::default() });
    }

    /// The newest generation that was acknowledged.
    pub fn newest_acknowledged(&self) -> u64 {
        self.newest_acknowledged
    }

    /// An order got a clear answer.
    pub fn answered(&mut self, now: Duration, generation: u64, acknowledged: bool) {
        let newest = self.newest_acknowledged;
        let Some(fate) = self.orders.get_mut(&generation) else { return };
        if !acknowledged {
            if fate.acknowledged_at.is_some() && newest == generation {
                self.violations.push(Violation::RefusedAgain(generation));
            }
            fate.refused = fate.acknowledged_at.is_none();
            fate.refused_at = Some(now);
            return;
        }
        fate.acknowledged_at.get_or_insert(now);
        fate.refused = false;
        let base = fate.base;
        let rival = self.orders.iter().find(|(other, fate)| {
            **other != generation && fate.base == base && fate.acknowledged_at.is_some()
        });
        if let Some((other, _)) = rival {
            self.violations.push(Violation::BothAcknowledged(*other, generation));
        }
        self.newest_acknowledged = self.newest_acknowledged.max(generation);
    }

    /// A read that began when `acknowledged` was the newest acknowledged generation.
    pub fn read(&mut self, acknowledged: u64, read: u64) {
        if read < acknowledged {
            self.violations.push(Violation::OldRead { acknowledged, read });
        }
    }

    /// A process has put a configuration in force.
    pub fn configured(&mut self, machine: usize, incarnation: u64, configuration: &CommittedConfiguration) {
        let before = self.in_force.insert((machine, incarnation), configuration.generation);
        if before.is_some_and(|before| before > configuration.generation) {
            self.violations.push(Violation::WentBack(machine));
        }
        let first = self.documents.entry(configuration.index).or_insert_with(|| configuration.clone());
        if first != configuration {
            self.violations.push(Violation::Forked(configuration.index));
        }
        if self.orders.get(&configuration.generation).is_some_and(|fate| fate.refused) {
            self.violations.push(Violation::RefusedInForce(configuration.generation));
        }
    }

    /// The history is over: each refusal must have had a cause, a change on the same version that won.
    pub fn end(&mut self) {
        let winners = self.winners();
        for (generation, fate) in &self.orders {
            let Some(refused_at) = fate.refused_at else { continue };
            let cause = winners.get(&fate.base).filter(|winner| *winner != generation);
            if cause.is_none_or(|winner| self.orders[winner].sent_at > refused_at) {
                self.violations.push(Violation::WronglyRefused(*generation));
            }
        }
    }

    /// Which change followed on each version: those in force somewhere or acknowledged, and those they build on.
    fn winners(&self) -> BTreeMap<u64, u64> {
        let seen = self.documents.values().map(|d| d.generation);
        let acknowledged = self.orders.iter().filter(|(_, f)| f.acknowledged_at.is_some()).map(|(g, _)| *g);
        let mut winners = BTreeMap::new();
        for mut generation in seen.chain(acknowledged) {
            while let Some(fate) = self.orders.get(&generation) {
                winners.insert(fate.base, generation);
                generation = fate.base;
            }
        }
        winners
    }

    /// A process holds that its configuration is current as of a time.
    pub fn fresh(&mut self, machine: usize, generation: u64, fresh_at: Duration) {
        let missed = |fate: &Fate| fate.acknowledged_at.is_some_and(|at| at < fresh_at);
        if self.orders.range(generation + 1..).any(|(_, fate)| missed(fate)) {
            self.violations.push(Violation::FalselyFresh(machine));
        }
    }
}
