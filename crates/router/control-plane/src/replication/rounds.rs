//! Rounds of pings: when did a majority last say that nothing higher was promised?

use super::types::{EpochRecord, MemberId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Rounds whose answers still count.
const OPEN_ROUNDS: usize = 32;

/// Open rounds of one primary.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    open: BTreeMap<u64, (Duration, BTreeSet<MemberId>)>,
    last: u64,
    confirmed_at: Option<Duration>,
}

impl Rounds {
    /// Begins a round, which the primary itself has answered; where it is alone, that is enough.
    pub(super) fn begin(&mut self, now: Duration, own: MemberId, record: Option<&EpochRecord>) -> u64 {
        self.last += 1;
        self.open.insert(self.last, (now, BTreeSet::new()));
        if let Some(record) = record {
            self.answered(self.last, own, record, None);
        }
        while self.open.len() > OPEN_ROUNDS {
            self.open.pop_first();
        }
        self.last
    }

    /// Takes in an answer. `instead` counts in place of the beginning of the round, in simulations of a broken primary.
    pub(super) fn answered(
        &mut self,
        round: u64,
        by: MemberId,
        record: &EpochRecord,
        instead: Option<Duration>,
    ) {
        let Some((began, answers)) = self.open.get_mut(&round) else { return };
        answers.insert(by);
        if record.is_quorum(answers) {
            self.confirmed_at = self.confirmed_at.max(Some(instead.unwrap_or(*began)));
            self.open.remove(&round);
        }
    }

    /// The beginning of the newest round that a majority has answered.
    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }
}
