//! Rounds of pings: when did a majority last say that nothing higher was promised?

use super::epoch::EpochRecord;
use super::identity::MemberId;
use super::mutation::Mutations;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Rounds whose answers still count.
const OPEN_ROUNDS: usize = 32;

/// Open rounds of one primary.
#[derive(Debug)]
pub(super) struct Rounds {
    open: BTreeMap<u64, (Duration, BTreeSet<MemberId>)>,
    last: u64,
    mutation: Mutations,
    confirmed_at: Option<Duration>,
}

impl Rounds {
    pub(super) fn new(mutation: Mutations) -> Self {
        Rounds { open: BTreeMap::new(), last: 0, mutation, confirmed_at: None }
    }

    /// Begins a round, which the primary itself has answered; where it is alone, that is enough.
    pub(super) fn begin(&mut self, now: Duration, own: MemberId, record: Option<&EpochRecord>) -> u64 {
        self.last += 1;
        self.open.insert(self.last, (now, BTreeSet::new()));
        if let Some(record) = record {
            self.answered(now, self.last, own, record);
        }
        while self.open.len() > OPEN_ROUNDS {
            self.open.pop_first();
        }
        self.last
    }

    /// Takes in an answer.
    pub(super) fn answered(&mut self, now: Duration, round: u64, by: MemberId, record: &EpochRecord) {
        let Some((began, answers)) = self.open.get_mut(&round) else { return };
        answers.insert(by);
        if record.is_quorum(answers) {
            self.confirmed_at =
                self.confirmed_at.max(Some(self.mutation.quorum_confirmation_time(*began, now)));
            self.open.remove(&round);
        }
    }

    /// The beginning of the newest round that a majority has answered.
    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }
}
