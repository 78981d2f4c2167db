//! The primary of one term: heartbeats, replication of states, and changes of the epoch record.
//!
//! It handles neither elections nor its own disk; [`super::Replica`] reports what is durable locally, in the same way
//! as other members report it.

mod heartbeat;
mod heartbeat_rounds;
mod membership;
mod progress;
mod proposal;
mod state_transfer;

pub(super) use heartbeat::PongReport;

use super::context::Context;
use super::epoch::EpochRecord;
use super::identity::{Member, MemberId};
use super::mutation::Mutations;
use super::settings::ReplicaSettings;
use super::state::ReplicatedState;
use super::state_delta::StateDelta;
use heartbeat_rounds::HeartbeatRounds;
use membership::Joiner;
use passrelay_configuration::DeltaChain;
use progress::ProgressTracker;
use proposal::Proposal;
use state_transfer::NewestState;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An unacknowledged record is resent after this time; an unacknowledged state, after this plus its transfer time.
const RESEND_TIMEOUT: Duration = Duration::from_millis(200);

/// The state of a primary in one term.
pub(super) struct Leadership {
    own: Member,
    /// Minimum size of the in-sync set: one more replica than the number of tolerated losses.
    min_in_sync: usize,
    term: u64,
    started_at: Duration,
    /// The newest record of this term that a quorum has accepted.
    in_force: Option<EpochRecord>,
    /// The record awaiting acceptance. Invariant: at most one record is proposed at a time, and its sequence follows
    /// that of the record in force.
    proposal: Option<Proposal>,
    rounds: HeartbeatRounds,
    next_heartbeat: Duration,
    progress: ProgressTracker,
    /// Set by the first [`Leadership::replicate`]. Invariant: its version is of this term.
    newest: Option<NewestState>,
    /// Deltas between the most recent states, up to the newest one.
    recent_deltas: DeltaChain<StateDelta>,
    /// States of this term that are not known to be committed, by index.
    uncommitted: BTreeMap<u64, Arc<ReplicatedState>>,
    /// The newest committed state. Invariant: its version is of this term and never decreases, and every in-sync member
    /// has synced it.
    committed: Option<Arc<ReplicatedState>>,
    joiners: BTreeMap<MemberId, Joiner>,
    mutation: Mutations,
}

impl Leadership {
    /// Creates a primary that proposes `record` as the first one of its term.
    pub(super) fn new(now: Duration, settings: &ReplicaSettings, record: EpochRecord) -> Self {
        Leadership {
            own: settings.own,
            min_in_sync: settings.tolerated_losses + 1,
            term: record.term,
            started_at: now,
            in_force: None,
            proposal: Some(Proposal::new(record)),
            rounds: HeartbeatRounds::new(settings.mutation),
            next_heartbeat: now,
            progress: ProgressTracker::new(now),
            newest: None,
            recent_deltas: DeltaChain::default(),
            uncommitted: BTreeMap::new(),
            committed: None,
            joiners: BTreeMap::new(),
            mutation: settings.mutation,
        }
    }

    /// Returns when this member became primary.
    pub(super) fn started_at(&self) -> Duration {
        self.started_at
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    pub(super) fn record_in_force(&self) -> Option<&EpochRecord> {
        self.in_force.as_ref()
    }

    pub(super) fn proposed_record(&self) -> Option<&EpochRecord> {
        self.proposal.as_ref().map(|proposal| &proposal.record)
    }

    pub(super) fn committed(&self) -> Option<&Arc<ReplicatedState>> {
        self.committed.as_ref()
    }

    /// Returns whether a record of this term is in force and a state is committed in it.
    pub(super) fn is_established(&self) -> bool {
        self.in_force.is_some() && self.committed.is_some()
    }

    /// Returns the last time at which a quorum is known to have promised no term above this one.
    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.rounds.confirmed_at()
    }

    /// Advances the timers: pings peers, resends the proposal, sends the newest state to lagging members, and proposes
    /// the next change of the record.
    pub(super) fn tick(&mut self, context: &mut Context) {
        self.tick_heartbeat(context);
        self.send_proposal(context);
        if self.in_force.is_none() {
            return;
        }
        self.send_lagging_states(context);
        if self.proposal.is_none() {
            self.propose_next_record(context.now);
            self.send_proposal(context);
        }
    }

    /// Returns all members, except this one, of the record in force and the proposed one, and of their predecessors.
    fn peers(&self) -> Vec<Member> {
        let proposed = self.proposal.as_ref().map(|proposal| &proposal.record);
        let records = self.in_force.iter().chain(proposed);
        let mut peers: Vec<Member> = Vec::new();
        for member in records.flat_map(|record| record.members.iter().chain(&record.previous_members)) {
            if member.id != self.own.id && !peers.iter().any(|peer| peer.id == member.id) {
                peers.push(*member);
            }
        }
        peers
    }
}
