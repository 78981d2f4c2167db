//! Heartbeat rounds, which determine the last time at which a quorum had promised no term above the primary's.
//!
//! A reply states that no higher term had been promised when the ping arrived, which was after its round started. So
//! the replies of a quorum confirm the primary as of the start of the round, not as of their arrival: by then another
//! primary may have been elected.

use crate::replication::epoch::EpochRecord;
use crate::replication::identity::MemberId;
use crate::replication::mutation::Mutations;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of rounds whose replies still count. At the heartbeat interval of 100 ms, these are replies within about 3 s.
const MAX_OPEN_ROUNDS: usize = 32;

/// A heartbeat round that a quorum has not replied to yet.
#[derive(Debug)]
struct OpenRound {
    started_at: Duration,
    /// Members that have replied, including the primary itself.
    replies: BTreeSet<MemberId>,
}

/// The heartbeat rounds of a primary in one term.
#[derive(Debug)]
pub(super) struct HeartbeatRounds {
    /// Rounds awaiting replies, by number.
    open: BTreeMap<u64, OpenRound>,
    last_round: u64,
    /// Start of the newest round that a quorum has replied to. Invariant: never decreases.
    confirmed_at: Option<Duration>,
    mutation: Mutations,
}

impl HeartbeatRounds {
    pub(super) fn new(mutation: Mutations) -> Self {
        HeartbeatRounds { open: BTreeMap::new(), last_round: 0, confirmed_at: None, mutation }
    }

    /// Starts a round and returns its number. The primary's own reply is counted immediately, since it is a quorum by
    /// itself if it is the only member.
    pub(super) fn start(&mut self, now: Duration, own: MemberId, record: Option<&EpochRecord>) -> u64 {
        self.last_round += 1;
        self.open.insert(self.last_round, OpenRound { started_at: now, replies: BTreeSet::new() });
        if let Some(record) = record {
            self.handle_reply(now, self.last_round, own, record);
        }
        while self.open.len() > MAX_OPEN_ROUNDS {
            self.open.pop_first();
        }
        self.last_round
    }

    /// Counts a reply to a round. Ignores replies to unknown or confirmed rounds.
    pub(super) fn handle_reply(&mut self, now: Duration, round: u64, from: MemberId, record: &EpochRecord) {
        let Some(open_round) = self.open.get_mut(&round) else { return };
        open_round.replies.insert(from);
        if record.is_quorum(&open_round.replies) {
            let confirmed_at = self.mutation.quorum_confirmation_time(open_round.started_at, now);
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
            self.open.remove(&round);
        }
    }

    /// Returns the start of the newest round that a quorum has replied to, or `None` if there is none.
    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }
}
