//! The epoch record, which names the primary, the voters and the in-sync replicas.

use super::identity::{Member, MemberId};
use passrelay_dissemination::CoreHint;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Position of an epoch record in the total order of records: by term, then by sequence.
///
/// Serialised as an array of two integers, `[term, sequence]`. The default, `[0, 0]`, comes before every record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct RecordPosition {
    /// Term of the primary that proposed the record.
    pub term: u64,
    /// Number of the record within its term, from 0.
    pub sequence: u64,
}

impl From<(u64, u64)> for RecordPosition {
    fn from((term, sequence): (u64, u64)) -> Self {
        RecordPosition { term, sequence }
    }
}

impl From<RecordPosition> for (u64, u64) {
    fn from(position: RecordPosition) -> Self {
        (position.term, position.sequence)
    }
}

impl From<&CoreHint> for RecordPosition {
    fn from(hint: &CoreHint) -> Self {
        RecordPosition { term: hint.term, sequence: hint.sequence }
    }
}

/// The configuration of the core in one epoch. Members agree on it by vote; it determines who may commit states.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Term of its primary. Invariant: a term has at most one primary, since each voter promises a term to one
    /// candidate only.
    pub term: u64,
    /// Number of the record within its term, from 0. Invariant: a primary proposes one record at a time, so two records
    /// of the same position are equal. Only a bootstrap without voting seeds cannot guarantee this.
    pub sequence: u64,
    /// The member that proposed this record and leads its term.
    pub primary: MemberId,
    /// The voters. Each of them is also a backup.
    pub members: Vec<Member>,
    /// The voters of the preceding record. While they differ from `members`, this is a joint configuration: a quorum
    /// needs a majority of both, so no two quorums of consecutive records are disjoint.
    pub previous_members: Vec<Member>,
    /// Members with a complete replica. Invariant: each of them has synced every committed state; a state is committed
    /// only when all of them have synced it, and only one of them may become primary.
    pub in_sync: BTreeSet<MemberId>,
}

impl EpochRecord {
    /// Returns the position of this record in the total order of records.
    pub fn position(&self) -> RecordPosition {
        RecordPosition { term: self.term, sequence: self.sequence }
    }

    /// Returns the voter with this identity, or `None` if no voter of this record has it.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Returns whether `ids` contains a majority of the voters, and also of the voters of the preceding record.
    pub fn is_quorum(&self, ids: &BTreeSet<MemberId>) -> bool {
        is_majority(&self.members, ids) && is_majority(&self.previous_members, ids)
    }
}

fn is_majority(members: &[Member], ids: &BTreeSet<MemberId>) -> bool {
    members.iter().filter(|member| ids.contains(&member.id)).count() * 2 > members.len()
}
