//! The first record: one seed gathers the machines that count and proposes them as members.
//!
//! Only processes that start with the whole system found, on empty disks, and only where no record is known. The
//! first seed does it; a later one only where the ones before it have been silent for long.

use super::types::{EpochRecord, Member, MemberId, ReplicaAction, ReplicationMessage};
use std::collections::BTreeMap;
use std::time::Duration;

/// Machines that count are waited for at least this long.
const GATHER: Duration = Duration::from_millis(900);
/// No further one may have come for this long.
const QUIET: Duration = Duration::from_millis(400);
/// After this, fewer than hoped for are enough.
const GATHER_MOST: Duration = Duration::from_millis(2_500);
/// Head start of each seed before the next.
const HEAD_START: Duration = Duration::from_secs(4);
/// The record is sent again after this, until someone leads.
const RESEND_AFTER: Duration = Duration::from_millis(250);

/// The decider of the founding, on a seed.
pub struct Founder {
    /// Place among the seeds, from 0.
    rank: u32,
    tolerated_losses: usize,
    present: BTreeMap<MemberId, Member>,
    last_came: Duration,
    record: Option<EpochRecord>,
    sent_at: Duration,
}

impl Founder {
    /// A founder that is the seed of this place.
    pub fn new(rank: u32, tolerated_losses: usize) -> Self {
        Founder {
            rank,
            tolerated_losses,
            present: BTreeMap::new(),
            last_came: Duration::ZERO,
            record: None,
            sent_at: Duration::ZERO,
        }
    }

    /// A machine that counts tells that it is there.
    pub fn present(&mut self, now: Duration, member: Member) {
        if self.present.insert(member.id, member).is_none() {
            self.last_came = now;
        }
    }

    /// Founds when it is time; to be called until someone leads.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        if self.record.is_none() && self.may_found(now) {
            self.record = self.first_record();
        }
        let Some(record) = &self.record else { return };
        if self.sent_at != Duration::ZERO && now.saturating_sub(self.sent_at) < RESEND_AFTER {
            return;
        }
        self.sent_at = now;
        for member in &record.members {
            let message = ReplicationMessage::Accept { record: record.clone() };
            actions.push(ReplicaAction::Send { to: member.address, message });
        }
    }

    fn may_found(&self, now: Duration) -> bool {
        let from = HEAD_START * self.rank;
        let hoped_for = 2 * self.tolerated_losses + 1;
        let enough = self.present.len() >= hoped_for
            || (now >= from + GATHER_MOST && self.present.len() > self.tolerated_losses);
        enough && now >= from + GATHER && now.saturating_sub(self.last_came) >= QUIET
    }

    fn first_record(&self) -> Option<EpochRecord> {
        let mut members: Vec<Member> = self.present.values().copied().collect();
        members.sort_by_key(|m| m.address);
        let primary = members.first()?.id;
        Some(EpochRecord {
            term: 1 + u64::from(self.rank),
            sequence: 0,
            primary,
            in_sync: members.iter().map(|m| m.id).collect(),
            previous_members: members.clone(),
            members,
        })
    }
}
