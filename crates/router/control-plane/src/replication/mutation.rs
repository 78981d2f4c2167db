//! Protocol mutations: every decision of the protocol that the cluster simulation can break on purpose.
//!
//! The simulation checks histories against the guarantees of the control plane. To test its checkers, it runs clusters
//! whose members break one rule, and expects a violation to be found (mutation testing). The state machines consult
//! [`Mutations`] at each decision that a [`ProtocolMutation`] alters. A decision can differ from the correct protocol
//! only with the feature `mutations`, which only the cluster simulation enables; without it, the type is zero-sized
//! and every method returns the result of the correct protocol.

use super::durable::WitnessState;
use super::epoch::EpochRecord;
use super::identity::{Member, MemberId};
use super::state::ReplicatedState;
use super::state_delta::StateDelta;
use crate::configuration_change::ConfigurationChange;
use passrelay_configuration::DeltaError;
use std::sync::Arc;
use std::time::Duration;

/// A deliberately broken rule of the protocol.
#[cfg_attr(not(feature = "mutations"), allow(dead_code))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolMutation {
    /// A newer epoch record is acknowledged before it is durable.
    AcceptsBeforeSync,
    /// The in-sync set shrinks without a quorum.
    ShrinksInSyncSetWithoutQuorum,
    /// A replaced member stays a voter.
    CountsReplacedMember,
    /// Backups do not store the applied changes.
    OmitsAppliedChanges,
    /// A read is answered without a quorum confirmation since the request.
    ReadsUnconfirmed,
    /// A configuration change is rejected without a quorum confirmation since its evaluation.
    RejectsUnconfirmed,
    /// A state is published before it is committed.
    PublishesUncommitted,
    /// Quota is granted without a quorum confirmation, and without waiting out the previous grantor.
    GrantsUnconfirmed,
    /// A machine whose disk was lost bootstraps the cluster a second time, alone.
    BootstrapsAgain,
    /// The discovered voters bootstrap the cluster without a majority of the seeds.
    BootstrapsWithoutSeeds,
    /// Request ids and the incarnation repeat after a restart. Implemented by the simulation, which draws both.
    ReusesRequestIds,
    /// A quorum confirms the primary as of the arrival of its replies, not as of the start of the round.
    ConfirmsAtArrival,
    /// A configuration change is treated as applied if the last applied one has the same generation.
    AcknowledgesByGeneration,
    /// A new member joins the in-sync set before it has synced the state.
    AdmitsUnsyncedMember,
    /// Members are removed from the in-sync set, or replaced, even if too few replicas remain.
    RemovesLastReplicas,
    /// A candidate continues from the record on its own disk, not from the newest one promised to it.
    CampaignsWithOldRecord,
    /// The applied changes are dropped at a change of primary.
    DropsAppliedChangesAtFailover,
    /// Replies are sent although the write that they depend on failed.
    RepliesAfterFailedWrite,
    /// A backup reports a delta as applied regardless of the state that it holds, and keeps its old document under the
    /// new version.
    SkipsDeltas,
}

/// The active mutation of one member, if any.
#[cfg(feature = "mutations")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mutations {
    active: Option<ProtocolMutation>,
}

/// The active mutation of one member: always none in this build.
#[cfg(not(feature = "mutations"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mutations {
    _private: (),
}

#[cfg(feature = "mutations")]
impl Mutations {
    /// The unmodified protocol.
    pub const NONE: Mutations = Mutations { active: None };

    const fn has(self, mutation: ProtocolMutation) -> bool {
        matches!(self.active, Some(active) if active as u8 == mutation as u8)
    }
}

#[cfg(feature = "mutations")]
impl From<Option<ProtocolMutation>> for Mutations {
    fn from(active: Option<ProtocolMutation>) -> Self {
        Mutations { active }
    }
}

#[cfg(not(feature = "mutations"))]
impl Mutations {
    /// The unmodified protocol.
    pub const NONE: Mutations = Mutations { _private: () };

    const fn has(self, _: ProtocolMutation) -> bool {
        false
    }
}

#[cfg(not(feature = "mutations"))]
const _: () = assert!(
    std::mem::size_of::<Mutations>() == 0,
    "builds without the feature `mutations` contain no mutation"
);

/// Decisions of a witness and backup. Each method stands for one decision; its description gives the behaviour of the
/// correct protocol.
impl Mutations {
    /// Returns whether a record that replaces an older one is acknowledged before it is durable; never in the correct
    /// protocol. Under the mutation, the first record of a witness still waits for its write.
    pub(super) fn accepts_before_sync(self, durable: &WitnessState) -> bool {
        self.has(ProtocolMutation::AcceptsBeforeSync) && durable.record.is_some()
    }

    /// Returns whether replies are sent although their write failed; never in the correct protocol.
    pub(super) fn replies_after_failed_write(self) -> bool {
        self.has(ProtocolMutation::RepliesAfterFailedWrite)
    }

    /// Returns the state that a backup stores; in the correct protocol, the received one unchanged.
    pub(super) fn state_to_store(self, received: Arc<ReplicatedState>) -> Arc<ReplicatedState> {
        if self.has(ProtocolMutation::OmitsAppliedChanges) {
            return without_applied_changes(&received);
        }
        received
    }

    /// Returns the state that a backup stores for a delta; in the correct protocol, the delta applied to its base
    /// state.
    pub(super) fn state_after_delta(
        self,
        state: &ReplicatedState,
        delta: &StateDelta,
    ) -> Result<ReplicatedState, DeltaError> {
        if self.has(ProtocolMutation::SkipsDeltas) {
            return Ok(ReplicatedState { version: delta.version, ..state.clone() });
        }
        state.apply_delta(delta)
    }
}

/// Decisions of a candidate.
impl Mutations {
    /// Returns the record that a candidate continues from; in the correct protocol, the newest one among the promises.
    pub(super) fn record_to_campaign_with(
        self,
        newest: Option<EpochRecord>,
        own: Option<&EpochRecord>,
    ) -> Option<EpochRecord> {
        if self.has(ProtocolMutation::CampaignsWithOldRecord) {
            return own.cloned();
        }
        newest
    }

    /// Returns the state that a new primary continues from; in the correct protocol, its newest state unchanged.
    pub(super) fn state_at_failover(self, state: ReplicatedState) -> ReplicatedState {
        if self.has(ProtocolMutation::DropsAppliedChangesAtFailover) {
            return ReplicatedState { applied_changes: Default::default(), ..state };
        }
        state
    }
}

/// Decisions of the bootstrap.
impl Mutations {
    /// Returns whether this member takes part in the bootstrap; in the correct protocol, only if it was started for the
    /// first start of the cluster.
    pub(super) fn may_bootstrap(self, bootstrapping: bool) -> bool {
        bootstrapping || self.has(ProtocolMutation::BootstrapsAgain)
    }

    /// Returns whether a running cluster is known, which rules out a bootstrap; in the correct protocol, as observed.
    pub(super) fn knows_cluster(self, knows_cluster: bool) -> bool {
        knows_cluster && !self.has(ProtocolMutation::BootstrapsAgain)
    }

    /// Returns the voters on the first record; in the correct protocol `None`, which stands for the voting seeds.
    pub(super) fn bootstrap_electorate(
        self,
        own: Member,
        discovered: impl FnOnce() -> Vec<Member>,
    ) -> Option<Vec<Member>> {
        if self.has(ProtocolMutation::BootstrapsWithoutSeeds) {
            return Some(discovered());
        }
        self.bootstrap_members(own)
    }

    /// Returns the members of the first record; in the correct protocol `None`, which stands for the discovered voters.
    pub(super) fn bootstrap_members(self, own: Member) -> Option<Vec<Member>> {
        self.bootstraps_alone().then(|| vec![own])
    }

    /// Returns whether a member bootstraps without waiting for others; never in the correct protocol.
    pub(super) fn bootstraps_alone(self) -> bool {
        self.has(ProtocolMutation::BootstrapsAgain)
    }
}

/// Decisions of a primary about its record.
impl Mutations {
    /// Returns the time as of which the replies of a quorum confirm the primary; in the correct protocol, the start of
    /// the heartbeat round.
    pub(super) fn quorum_confirmation_time(self, round_started_at: Duration, now: Duration) -> Duration {
        if self.has(ProtocolMutation::ConfirmsAtArrival) {
            return now;
        }
        round_started_at
    }

    /// Returns whether the next record takes effect without a quorum; never in the correct protocol.
    pub(super) fn shrinks_without_quorum(self, current: &EpochRecord, next: &EpochRecord) -> bool {
        self.has(ProtocolMutation::ShrinksInSyncSetWithoutQuorum)
            && next.in_sync.len() < current.in_sync.len()
    }

    /// Returns the minimum size of the in-sync set after removals; in the correct protocol, the configured one.
    pub(super) fn min_in_sync(self, configured: usize) -> usize {
        if self.has(ProtocolMutation::RemovesLastReplicas) {
            return 0;
        }
        configured
    }

    /// Returns the member to remove in exchange for a new one; in the correct protocol, the replaced one.
    pub(super) fn member_to_remove(self, replaced: Option<Member>) -> Option<Member> {
        replaced.filter(|_| !self.has(ProtocolMutation::CountsReplacedMember))
    }

    /// Returns a new member to put into the in-sync set at once; in the correct protocol, none.
    pub(super) fn unsynced_member_to_admit(self, new_member: MemberId) -> Option<MemberId> {
        self.has(ProtocolMutation::AdmitsUnsyncedMember).then_some(new_member)
    }
}

/// Decisions of the coordinator on top of replication.
impl Mutations {
    /// Returns the time of the quorum confirmation that a quota grant relies on; in the correct protocol, as confirmed.
    pub(crate) fn grant_confirmation_time(
        self,
        now: Duration,
        confirmed_at: Option<Duration>,
    ) -> Option<Duration> {
        if self.has(ProtocolMutation::GrantsUnconfirmed) {
            return Some(now);
        }
        confirmed_at
    }

    /// Returns the state to publish to the fleet; in the correct protocol, the committed one.
    pub(crate) fn state_to_publish(
        self,
        committed: Arc<ReplicatedState>,
        newest: &Arc<ReplicatedState>,
    ) -> Arc<ReplicatedState> {
        if self.has(ProtocolMutation::PublishesUncommitted) {
            return newest.clone();
        }
        committed
    }

    /// Returns whether a change is treated as applied because of its generation alone, regardless of its digest; never
    /// in the correct protocol.
    pub(crate) fn is_applied_by_generation(
        self,
        change: &ConfigurationChange,
        state: &ReplicatedState,
    ) -> bool {
        self.has(ProtocolMutation::AcknowledgesByGeneration) && change.generation() == Some(state.generation)
    }

    /// Returns whether a change is rejected without a quorum confirmation; never in the correct protocol.
    pub(crate) fn rejects_unconfirmed(self) -> bool {
        self.has(ProtocolMutation::RejectsUnconfirmed)
    }

    /// Returns whether a read is answered without a quorum confirmation; never in the correct protocol.
    pub(crate) fn reads_unconfirmed(self) -> bool {
        self.has(ProtocolMutation::ReadsUnconfirmed)
    }
}

fn without_applied_changes(state: &ReplicatedState) -> Arc<ReplicatedState> {
    Arc::new(ReplicatedState { applied_changes: Default::default(), ..state.clone() })
}
