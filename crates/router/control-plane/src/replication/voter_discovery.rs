//! Discovery of the available voters before the first record, and the decision whether they suffice for a bootstrap.
//!
//! Discovery only decides when to try. The bootstrap election ensures that there is only one first record.

use super::identity::{Member, MemberId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum duration of discovery, however many voters have announced themselves.
const MIN_DISCOVERY_TIME: Duration = Duration::from_millis(900);
/// Discovery continues until no new voter has announced itself for this long.
const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(400);
/// After this time, discovery no longer waits for the `2 * tolerated_losses + 1` voters that survive the tolerated
/// losses: any number suffices that would leave at least one voter after these losses.
const FULL_SET_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Additional delay of each seed relative to its predecessor in the list of seeds, so that the first available one
/// leads the bootstrap without competition.
const SEED_RANK_BACKOFF: Duration = Duration::from_millis(1_500);
/// A voter counts as available for this long after its last announcement. Voters announce themselves every 300 ms.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A voter that has announced itself, and the time of its last announcement.
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
    /// Time at which a new voter was discovered last; before the first one, the start of discovery.
    last_discovery: Duration,
}

impl VoterDiscovery {
    /// Starts the discovery without any known voter.
    pub(super) fn new(now: Duration) -> Self {
        VoterDiscovery { started_at: now, voters: BTreeMap::new(), last_discovery: now }
    }

    /// Records the announcement of a voter, whether it is new or known.
    pub(super) fn handle_present(&mut self, now: Duration, member: Member) {
        let known = self.voters.insert(member.id, DiscoveredVoter { member, last_seen: now });
        if known.is_none() {
            self.last_discovery = now;
        }
    }

    /// Returns the voters that are available now, ordered by address.
    pub(super) fn members(&self, now: Duration) -> Vec<Member> {
        let is_available = |voter: &&DiscoveredVoter| now.saturating_sub(voter.last_seen) < PRESENCE_TIMEOUT;
        let mut members: Vec<Member> =
            self.voters.values().filter(is_available).map(|voter| voter.member).collect();
        members.sort_by_key(|member| member.address);
        members
    }

    /// Returns whether the seed at position `seed_rank`, from 0, may bootstrap the cluster with the voters that are
    /// available now.
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
