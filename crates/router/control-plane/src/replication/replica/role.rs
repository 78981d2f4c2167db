//! The role of a member in the current term.

use crate::replication::epoch::EpochRecord;
use crate::replication::identity::MemberId;
use crate::replication::leadership::Leadership;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The role of a member. A change of role drops whatever belonged to the one before.
pub(super) enum Role {
    /// Stores what a primary sends, and waits for it.
    Follower,
    /// Asks whether it would win an election, without any promise yet.
    PreCandidate(PreVoteRound),
    /// Collects promises for its term.
    Candidate(Candidacy),
    /// Has won the election of its term.
    Primary(Box<Leadership>),
}

/// A pre-vote round in progress.
pub(super) struct PreVoteRound {
    pub(super) term: u64,
    /// Voters that would vote for this member, itself among them.
    pub(super) granted_by: BTreeSet<MemberId>,
    pub(super) deadline: Duration,
}

/// An election in progress.
pub(super) struct Candidacy {
    pub(super) term: u64,
    /// Promises with the highest record that each voter has accepted. Invariant: the own one is added only when it is
    /// durable.
    pub(super) promises: BTreeMap<MemberId, Option<EpochRecord>>,
    pub(super) deadline: Duration,
}

impl Role {
    /// Its name, for logs.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Role::Follower => "follower",
            Role::PreCandidate(_) => "pre-candidate",
            Role::Candidate(_) => "candidate",
            Role::Primary(_) => "primary",
        }
    }
}
