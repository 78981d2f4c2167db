//! Changes of the epoch record: members that join or are replaced, and members that leave or rejoin the in-sync set.
//!
//! A primary proposes one change at a time. A replaced member remains a voter of the joint configuration until the
//! change is in force; only then do the new members decide alone.

use super::proposal::Proposal;
use super::Leadership;
use crate::replication::epoch::EpochRecord;
use crate::replication::identity::{Member, MemberId};
use std::time::Duration;

/// A member of the in-sync set that has been silent, or has not synced the newest state, for this long is removed from
/// the set.
const IN_SYNC_TIMEOUT: Duration = Duration::from_millis(450);
/// Timeout for members that have not been in contact in this term, in place of [`IN_SYNC_TIMEOUT`]. A failed member has
/// been silent since before the election, so a failover commits without waiting for the full timeout again.
const FIRST_CONTACT_TIMEOUT: Duration = Duration::from_millis(220);
/// A member that has been in contact within this time counts as available.
const ACTIVE_TIMEOUT: Duration = Duration::from_millis(400);
/// A member that has been silent for this long may be replaced.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(700);
/// A membership request expires after this time; joiners repeat it every 300 ms.
const JOIN_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// A voter that has requested membership.
pub(super) struct Joiner {
    member: Member,
    /// Whether it takes part in the bootstrap of the cluster; it is then added without replacing a member.
    bootstrapping: bool,
    requested_at: Duration,
}

impl Leadership {
    /// Records a voter's membership request, replacing an earlier one.
    pub(in crate::replication) fn handle_join(&mut self, now: Duration, member: Member, bootstrapping: bool) {
        self.joiners.insert(member.id, Joiner { member, bootstrapping, requested_at: now });
    }

    /// Proposes the next change of the record in force, if one is due. Leaving a joint configuration goes first, then
    /// removals from the in-sync set, then additions to it, then new members.
    pub(super) fn propose_next_record(&mut self, now: Duration) {
        let Some(record) = self.in_force.clone() else { return };
        let next = self
            .leave_joint_configuration(&record)
            .or_else(|| self.remove_from_in_sync(now, &record))
            .or_else(|| self.readmit_to_in_sync(now, &record))
            .or_else(|| self.add_member(now, &record));
        let Some(mut next) = next else { return };
        next.sequence = record.sequence + 1;
        if self.mutation.shrinks_without_quorum(&record, &next) {
            self.in_force = Some(next);
            self.advance_commit();
            return;
        }
        self.proposal = Some(Proposal::new(next));
    }

    /// Returns the record that ends a joint configuration: from it on, the new members decide alone. Returns `None` if
    /// the record in force is not a joint configuration.
    fn leave_joint_configuration(&self, record: &EpochRecord) -> Option<EpochRecord> {
        (record.previous_members != record.members)
            .then(|| EpochRecord { previous_members: record.members.clone(), ..record.clone() })
    }

    /// Returns the record without the first member of the in-sync set that delays commits. Returns `None` if there is
    /// none, or if too few replicas would remain for the tolerated losses.
    fn remove_from_in_sync(&self, now: Duration, record: &EpochRecord) -> Option<EpochRecord> {
        if record.in_sync.len() <= self.mutation.min_in_sync(self.min_in_sync) {
            return None;
        }
        let members = record.members.len();
        let lagging = *record.in_sync.iter().find(|id| self.is_lagging(now, **id, members))?;
        let mut next = record.clone();
        next.in_sync.remove(&lagging);
        Some(next)
    }

    /// Returns whether a member is silent or has not synced the newest state in time. The time is measured from when
    /// the transfer to all members should have completed.
    fn is_lagging(&self, now: Duration, id: MemberId, members: usize) -> bool {
        if id == self.own.id {
            return false;
        }
        let had_contact = self.progress.last_contact(id).is_some();
        let timeout = if had_contact { IN_SYNC_TIMEOUT } else { FIRST_CONTACT_TIMEOUT };
        let is_silent = !self.progress.is_active_within(now, id, timeout);
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let is_state_overdue = self.newest.as_ref().is_some_and(|newest| {
            let transferred_at = newest.replicated_at + newest.state.transfer_time() * members;
            self.progress.synced(id) < newest.state.version
                && now.saturating_sub(transferred_at) > IN_SYNC_TIMEOUT
        });
        is_silent || is_state_overdue
    }

    /// Returns the record with the first available, caught-up member outside the in-sync set added to that set. Returns
    /// `None` if there is no such member.
    fn readmit_to_in_sync(&self, now: Duration, record: &EpochRecord) -> Option<EpochRecord> {
        let newest = self.newest.as_ref()?.state.version;
        let has_caught_up = |member: &&Member| {
            !record.in_sync.contains(&member.id)
                && self.progress.synced(member.id) >= newest
                && self.progress.is_active_within(now, member.id, ACTIVE_TIMEOUT)
        };
        let member = record.members.iter().find(has_caught_up)?;
        let mut next = record.clone();
        next.in_sync.insert(member.id);
        Some(next)
    }

    /// Returns the record with the joiner of the lowest id as a member, in exchange for another one if
    /// [`Self::placement`] requires it. The new member joins the in-sync set only later, when it has caught up.
    /// Returns `None` if no joiner can be added now.
    fn add_member(&mut self, now: Duration, record: &EpochRecord) -> Option<EpochRecord> {
        self.joiners.retain(|id, joiner| {
            now.saturating_sub(joiner.requested_at) < JOIN_REQUEST_TIMEOUT && record.member(*id).is_none()
        });
        let joiner = self.joiners.values().next()?;
        let replaced = match self.placement(now, record, joiner)? {
            Placement::Additional => None,
            Placement::Replaces(member) => Some(member),
        };
        let mut next = record.clone();
        if let Some(replaced) = self.mutation.member_to_remove(replaced) {
            next.members.retain(|member| member.id != replaced.id);
            next.in_sync.remove(&replaced.id);
            if next.in_sync.len() < self.mutation.min_in_sync(self.min_in_sync) {
                return None;
            }
        }
        next.members.push(joiner.member);
        next.in_sync.extend(self.mutation.unsynced_member_to_admit(joiner.member.id));
        next.previous_members.clone_from(&record.members);
        Some(next)
    }

    /// Returns how a joiner can be added: in place of another member or in addition. Returns `None` if there is
    /// neither a member to replace nor room for one more.
    fn placement(&self, now: Duration, record: &EpochRecord, joiner: &Joiner) -> Option<Placement> {
        // A member at the joiner's address has lost its disk: two processes cannot listen at the same address.
        let predecessor = record.members.iter().find(|member| member.address == joiner.member.address);
        if let Some(predecessor) = predecessor {
            return Some(Placement::Replaces(*predecessor));
        }
        if joiner.bootstrapping {
            return Some(Placement::Additional);
        }
        if let Some(silent) = self.longest_silent_member(now, record) {
            return Some(Placement::Replaces(silent));
        }
        self.lacks_members(now, record).then_some(Placement::Additional)
    }

    /// Returns whether a joiner can be added without replacing a member: there are fewer members than needed for the
    /// tolerated losses, and all of them were in contact within [`ACTIVE_TIMEOUT`]. While a member may have failed, the
    /// joiner waits, since that member is the one to replace.
    fn lacks_members(&self, now: Duration, record: &EpochRecord) -> bool {
        let is_active = |member: &Member| {
            let last_contact = self.progress.last_contact(member.id);
            last_contact.is_some_and(|at| now.saturating_sub(at) < ACTIVE_TIMEOUT)
        };
        let too_few = record.members.len() < 2 * self.min_in_sync - 1;
        too_few && record.members.iter().all(|member| member.id == self.own.id || is_active(member))
    }

    /// Returns the member that has been silent for the longest time, among those silent for at least
    /// [`REPLACE_TIMEOUT`].
    fn longest_silent_member(&self, now: Duration, record: &EpochRecord) -> Option<Member> {
        let others = record.members.iter().filter(|member| member.id != self.own.id);
        others
            .filter(|member| !self.progress.is_active_within(now, member.id, REPLACE_TIMEOUT))
            .min_by_key(|member| self.progress.silent_since(member.id))
            .copied()
    }
}

/// How a joiner becomes a member.
enum Placement {
    /// In addition to the current members.
    Additional,
    /// In place of this member.
    Replaces(Member),
}
