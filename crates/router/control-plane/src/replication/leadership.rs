//! The primary of one term: heartbeats, replication of states, and changes of the epoch record.
//!
//! It knows nothing of elections and of its own disk; [`super::Replica`] reports to it what is durable there, like any
//! other member does.

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

/// An unacknowledged record, or a state on top of its transfer time, is sent again after this.
const RESEND_TIMEOUT: Duration = Duration::from_millis(200);

/// The state of a primary in one term.
pub(super) struct Leadership {
    own: Member,
    /// The in-sync set is never made smaller than this: one replica more than losses are tolerated.
    min_in_sync: usize,
    term: u64,
    started_at: Duration,
    /// The newest record of this term that a quorum has accepted.
    in_force: Option<EpochRecord>,
    /// Invariant: at most one record is proposed at a time, and its sequence follows that of the record in force.
    proposal: Option<Proposal>,
    rounds: HeartbeatRounds,
    next_heartbeat: Duration,
    progress: ProgressTracker,
    /// Set by the first [`Leadership::replicate`]. Invariant: its version is of this term.
    newest: Option<NewestState>,
    /// How the newest state came about from those before it.
    recent_deltas: DeltaChain<StateDelta>,
    /// States that are not known to be committed, by index.
    uncommitted: BTreeMap<u64, Arc<ReplicatedState>>,
    /// Invariant: its version is of this term and never decreases, and every in-sync member has synced it.
    committed: Option<Arc<ReplicatedState>>,
    joiners: BTreeMap<MemberId, Joiner>,
    mutation: Mutations,
}

impl Leadership {
    /// A primary that proposes its first record.
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

    /// When this member became primary.
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

    /// Whether its record is in force and a state is committed under its term.
    pub(super) fn is_established(&self) -> bool {
        self.in_force.is_some() && self.committed.is_some()
    }

    /// The last time at which a quorum had promised nothing above this term.
    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.rounds.confirmed_at()
    }

    /// Advances timers to `now`: pings peers, resends the proposal and lagging states, proposes the next change of the
    /// record.
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

    /// All members of the record in force and of the proposed one, and of the records before them, but for this member.
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
