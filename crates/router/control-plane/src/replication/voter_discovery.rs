//! Which machines that count are there before the system is founded, and whether they are enough.

use super::identity::{Member, MemberId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Machines that count are waited for at least this long.
const GATHER: Duration = Duration::from_millis(900);
/// No further one may have come for this long.
const QUIET: Duration = Duration::from_millis(400);
/// After this, fewer than hoped for are enough.
const GATHER_MOST: Duration = Duration::from_millis(2_500);
/// Head start of each seed before the next.
const HEAD_START: Duration = Duration::from_millis(1_500);
/// A machine that was heard within this time is there.
const PRESENT_LATELY: Duration = Duration::from_millis(1_200);

/// Machines that have told a seed that they are there.
#[derive(Debug)]
pub(super) struct VoterDiscovery {
    began: Duration,
    present: BTreeMap<MemberId, (Member, Duration)>,
    last_came: Duration,
}

impl VoterDiscovery {
    /// Nobody is there yet.
    pub(super) fn new(now: Duration) -> Self {
        VoterDiscovery { began: now, present: BTreeMap::new(), last_came: now }
    }

    /// A machine tells that it is there.
    pub(super) fn present(&mut self, now: Duration, member: Member) {
        if self.present.insert(member.id, (member, now)).is_none() {
            self.last_came = now;
        }
    }

    /// The machines that are there now, by address.
    pub(super) fn members(&self, now: Duration) -> Vec<Member> {
        let lately = |at: &Duration| now.saturating_sub(*at) < PRESENT_LATELY;
        let mut members: Vec<Member> =
            self.present.values().filter(|(_, at)| lately(at)).map(|(member, _)| *member).collect();
        members.sort_by_key(|m| m.address);
        members
    }

    /// Whether the seed of this place, from 0, is to found the system with who is there.
    pub(super) fn is_enough(&self, now: Duration, place: usize, tolerated_losses: usize) -> bool {
        let from = self.began + HEAD_START * u32::try_from(place).unwrap_or(u32::MAX);
        let there = self.members(now).len();
        let hoped_for = 2 * tolerated_losses + 1;
        let enough = there >= hoped_for || (now >= from + GATHER_MOST && there > tolerated_losses);
        enough && now >= from + GATHER && now.saturating_sub(self.last_came) >= QUIET
    }
}
