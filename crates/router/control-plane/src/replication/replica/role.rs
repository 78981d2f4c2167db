//! The role of a member in the current term.

use crate::replication::epoch::EpochRecord;
use crate::replication::identity::MemberId;
use crate::replication::leadership::Leadership;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The role of a member. A change of role drops the state of the previous one.
pub(super) enum Role {
    /// Stores records and states sent by a primary, and campaigns when the election timer expires.
    Follower,
    /// Asks whether it would win an election; has not requested promises yet.
    PreCandidate(PreVoteRound),
    /// Collects promises for its term.
    Candidate(Candidacy),
    /// Has won the election of its term.
    Primary(Box<Leadership>),
}

/// A pre-vote round in progress.
pub(super) struct PreVoteRound {
    pub(super) term: u64,
    /// Voters that would vote for this member, including itself.
    pub(super) granted_by: BTreeSet<MemberId>,
    pub(super) deadline: Duration,
}

/// An election in progress.
pub(super) struct Candidacy {
    pub(super) term: u64,
    /// The voters that have promised the term, with the highest record that each has accepted. Invariant: this member's
    /// own promise is added only when it is durable.
    pub(super) promises: BTreeMap<MemberId, Option<EpochRecord>>,
    pub(super) deadline: Duration,
}

impl Role {
    /// Returns the name of the role, as used in logs and simulated histories.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Role::Follower => "follower",
            Role::PreCandidate(_) => "pre-candidate",
            Role::Candidate(_) => "candidate",
            Role::Primary(_) => "primary",
        }
    }
}
