//! Discovery of the voters that are available before the first record, and whether they are enough for a bootstrap.
//!
//! It only decides when to try; that there is one first record is the bootstrap election's concern.

use super::identity::{Member, MemberId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Discovery takes at least this long, however many voters have announced themselves.
const MIN_DISCOVERY_TIME: Duration = Duration::from_millis(900);
/// Discovery goes on until no new voter has announced itself for this long.
const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(400);
/// After this, fewer voters than bear the tolerated losses are enough, as long as some would remain.
const FULL_SET_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Backoff of each seed after the one before it in the list of seeds, so that the first available one leads the
/// bootstrap without a rival.
const SEED_RANK_BACKOFF: Duration = Duration::from_millis(1_500);
/// A voter counts as available for this long after it announced itself; it does every 300 ms.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A voter that has announced itself.
#[derive(Debug)]
struct DiscoveredVoter {
    member: Member,
    last_seen: Duration,
}

/// The voters that have announced themselves to this seed.
#[derive(Debug)]
pub(super) struct VoterDiscovery {
    started_at: Duration,
    voters: BTreeMap<MemberId, DiscoveredVoter>,
    last_discovery: Duration,
}

impl VoterDiscovery {
    /// No voter is known yet.
    pub(super) fn new(now: Duration) -> Self {
        VoterDiscovery { started_at: now, voters: BTreeMap::new(), last_discovery: now }
    }

    /// A voter announces itself, for the first time or again.
    pub(super) fn handle_present(&mut self, now: Duration, member: Member) {
        let known = self.voters.insert(member.id, DiscoveredVoter { member, last_seen: now });
        if known.is_none() {
            self.last_discovery = now;
        }
    }

    /// The voters that are available now, by address.
    pub(super) fn members(&self, now: Duration) -> Vec<Member> {
        let is_available = |voter: &&DiscoveredVoter| now.saturating_sub(voter.last_seen) < PRESENCE_TIMEOUT;
        let mut members: Vec<Member> =
            self.voters.values().filter(is_available).map(|voter| voter.member).collect();
        members.sort_by_key(|member| member.address);
        members
    }

    /// Whether the seed of this rank, from 0, is to bootstrap the cluster with the voters that are available now.
    pub(super) fn is_complete(&self, now: Duration, seed_rank: usize, tolerated_losses: usize) -> bool {
        let start = self.started_at + SEED_RANK_BACKOFF * u32::try_from(seed_rank).unwrap_or(u32::MAX);
        let available = self.members(now).len();
        let full_set = 2 * tolerated_losses + 1;
        let are_enough =
            available >= full_set || (now >= start + FULL_SET_TIMEOUT && available > tolerated_losses);
        let is_quiet = now.saturating_sub(self.last_discovery) >= DISCOVERY_QUIET_TIME;
        are_enough && now >= start + MIN_DISCOVERY_TIME && is_quiet
    }
}
