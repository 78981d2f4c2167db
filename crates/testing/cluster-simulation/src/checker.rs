//! What operators and sidecars may never see. Knows nothing of how the system works.

use passrelay_dissemination::CommittedConfiguration;
use std::collections::BTreeMap;
use std::time::Duration;

/// Names an order of a history, whatever number it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// A configuration as somebody sees it: its number, and the order that brought it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenVersion {
    /// The operators' version number; 0 before the first.
    pub generation: u64,
    /// The order; `None` before the first.
    pub order: Option<OrderId>,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two changes on the same version were both acknowledged.
    BothAcknowledged(OrderId, OrderId),
    /// A change that was acknowledged was refused when it was sent again.
    RefusedAgain(OrderId),
    /// A read that began after an acknowledgement showed an older version.
    OldRead {
        /// The generation acknowledged.
        acknowledged: u64,
        /// The generation read.
        read: u64,
    },
    /// A read showed another change under the number of the one that was acknowledged.
    OtherUnderNumber(u64),
    /// A process went back to an older configuration.
    WentBack(usize),
    /// One index held two documents.
    Forked(u64),
    /// What was refused is in force.
    RefusedInForce(OrderId),
    /// A change was refused for its version although no other change on that version had been sent by then.
    WronglyRefused(OrderId),
    /// A process took its configuration for current although a newer one had been acknowledged by then.
    FalselyFresh(usize),
    /// Nothing could be read in the end.
    Unreadable,
    /// An order wasn't acknowledged in a calm time.
    Unacknowledged(OrderId),
    /// A member that returned did not hold the newest state in time.
    NotCaughtUp(usize),
}

/// What is known of one order.
#[derive(Clone, Debug, Default)]
struct Fate {
    generation: u64,
    base: u64,
    sent_at: Duration,
    acknowledged_at: Option<Duration>,
    refused_at: Option<Duration>,
}

/// Gathers what is seen and finds what may not be.
#[derive(Debug, Default)]
pub struct Checker {
    orders: BTreeMap<OrderId, Fate>,
    /// The order acknowledged under each generation, and when.
    acknowledged: BTreeMap<u64, (OrderId, Duration)>,
    in_force: BTreeMap<(usize, u64), u64>,
    documents: BTreeMap<u64, CommittedConfiguration>,
    /// Everything found.
    pub violations: Vec<Violation>,
}

impl Checker {
    /// An order goes out for the first time.
    pub fn ordered(&mut self, now: Duration, id: OrderId, generation: u64, base: u64) {
        self.orders.insert(id, Fate { generation, base, sent_at: now, ..Fate::default() });
    }

    /// The newest generation that was acknowledged.
    pub fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.last_key_value().map_or(0, |(generation, _)| *generation)
    }

    /// Whether an order was ever acknowledged.
    pub fn is_acknowledged(&self, id: OrderId) -> bool {
        self.orders.get(&id).is_some_and(|fate| fate.acknowledged_at.is_some())
    }

    /// An order got a clear answer.
    pub fn answered(&mut self, now: Duration, id: OrderId, acknowledged: bool) {
        let Some(fate) = self.orders.get_mut(&id) else { return };
        if !acknowledged {
            fate.refused_at.get_or_insert(now);
            if fate.acknowledged_at.is_some() {
                self.violations.push(Violation::RefusedAgain(id));
            }
            return;
        }
        if fate.refused_at.is_some() {
            self.violations.push(Violation::RefusedInForce(id));
        }
        if fate.acknowledged_at.is_some() {
            return;
        }
        fate.acknowledged_at = Some(now);
        let (generation, base) = (fate.generation, fate.base);
        let is_rival = |other: &OrderId, fate: &Fate| {
            *other != id && fate.base == base && fate.acknowledged_at.is_some()
        };
        if let Some((other, _)) = self.orders.iter().find(|(other, fate)| is_rival(other, fate)) {
            self.violations.push(Violation::BothAcknowledged(*other, id));
        }
        self.acknowledged.entry(generation).or_insert((id, now));
    }

    /// A read that began when `acknowledged` was the newest acknowledged generation.
    pub fn read(&mut self, acknowledged: u64, read: SeenVersion) {
        if read.generation < acknowledged {
            self.violations.push(Violation::OldRead { acknowledged, read: read.generation });
        }
        let holder = self.acknowledged.get(&read.generation).map(|(id, _)| *id);
        if holder.is_some() && holder != read.order {
            self.violations.push(Violation::OtherUnderNumber(read.generation));
        }
    }

    /// A process has put a configuration in force, which an order brought.
    pub fn configured(
        &mut self,
        machine: usize,
        incarnation: u64,
        configuration: &CommittedConfiguration,
        order: Option<OrderId>,
    ) {
        let before = self.in_force.insert((machine, incarnation), configuration.generation);
        if before.is_some_and(|before| before > configuration.generation) {
            self.violations.push(Violation::WentBack(machine));
        }
        let first = self.documents.entry(configuration.index).or_insert_with(|| configuration.clone());
        if first != configuration {
            self.violations.push(Violation::Forked(configuration.index));
        }
        let refused = order.filter(|id| self.orders.get(id).is_some_and(|fate| fate.refused_at.is_some()));
        if let Some(id) = refused {
            self.violations.push(Violation::RefusedInForce(id));
        }
    }

    /// The history is over: each refusal must have had a cause, another change on the same version that was sent by then
    /// and was not refused itself.
    pub fn end(&mut self) {
        let mut wrongly = Vec::new();
        for (id, fate) in &self.orders {
            let Some(refused_at) = fate.refused_at else { continue };
            let is_cause = |other: &Fate| {
                other.base == fate.base && other.sent_at <= refused_at && other.refused_at.is_none()
            };
            if !self.orders.values().any(is_cause) {
                wrongly.push(Violation::WronglyRefused(*id));
            }
        }
        self.violations.append(&mut wrongly);
    }

    /// A process holds that its configuration is current as of a time.
    pub fn fresh(&mut self, machine: usize, generation: u64, fresh_at: Duration) {
        let mut newer = self.acknowledged.range(generation + 1..);
        if newer.any(|(_, (_, at))| *at < fresh_at) {
            self.violations.push(Violation::FalselyFresh(machine));
        }
    }
}
