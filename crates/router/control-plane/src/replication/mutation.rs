//! Mutations of the protocol: one place for every decision that the cluster simulation can break on purpose.
//!
//! The simulation checks histories against the promises of the control plane. To check the checkers, it runs clusters
//! whose members break one rule and expects a violation to be found. The deciders ask [`Mutations`] at each decision
//! that some [`ProtocolMutation`] alters. Only the feature `mutations`, which only the cluster simulation turns on, can
//! make an answer differ from the correct protocol's; without it the type has no size and every answer is constant.

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
    /// Backups don't store the applied changes.
    OmitsAppliedChanges,
    /// A read is answered without a quorum confirmation since the request.
    ReadsUnconfirmed,
    /// A configuration change is rejected without a quorum confirmation since it was judged.
    RejectsUnconfirmed,
    /// A state is published before it is committed.
    PublishesUncommitted,
    /// Quota is granted without a quorum confirmation, and without waiting out the previous grantor.
    GrantsUnconfirmed,
    /// A machine whose disk was lost bootstraps the cluster a second time, alone.
    BootstrapsAgain,
    /// The discovered voters bootstrap the cluster without a majority of the seeds.
    BootstrapsWithoutSeeds,
    /// Request ids and the incarnation repeat after a restart. Carried out by the simulation, which draws both.
    ReusesRequestIds,
    /// A quorum confirms the primary as of the arrival of its answers, not as of the start of the round.
    ConfirmsAtArrival,
    /// A configuration change counts as applied if the last applied one has the same generation.
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
    /// A backup takes a delta for applied, whatever state it holds, and keeps its old document under the new version.
    SkipsDeltas,
}

/// The mutation of one member, if any.
#[cfg(feature = "mutations")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mutations {
    active: Option<ProtocolMutation>,
}

/// The mutation of one member: none in this build.
#[cfg(not(feature = "mutations"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mutations {
    _private: (),
}

#[cfg(feature = "mutations")]
impl Mutations {
    /// The correct protocol.
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
    /// The correct protocol.
    pub const NONE: Mutations = Mutations { _private: () };

    const fn has(self, _: ProtocolMutation) -> bool {
        false
    }
}

#[cfg(not(feature = "mutations"))]
const _: () = assert!(std::mem::size_of::<Mutations>() == 0, "the program's build carries no mutation");

/// Decisions of a witness and backup. Each method names the decision; the correct protocol's answer comes first in its
/// description.
impl Mutations {
    /// Never: whether a record that replaces an older one is acknowledged before it is durable. Even then the first
    /// record of a witness waits for its write.
    pub(super) fn accepts_before_sync(self, durable: &WitnessState) -> bool {
        self.has(ProtocolMutation::AcceptsBeforeSync) && durable.record.is_some()
    }

    /// Never: whether replies are sent whose write failed.
    pub(super) fn replies_after_failed_write(self) -> bool {
        self.has(ProtocolMutation::RepliesAfterFailedWrite)
    }

    /// The state as it was received: what a backup stores of it.
    pub(super) fn state_to_store(self, received: Arc<ReplicatedState>) -> Arc<ReplicatedState> {
        if self.has(ProtocolMutation::OmitsAppliedChanges) {
            return without_applied_changes(&received);
        }
        received
    }

    /// The delta applied to the state that it is made from: what a backup stores of it.
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
    /// The newest promised record: what a candidate continues from.
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

    /// The whole state: what a new primary continues from.
    pub(super) fn state_at_failover(self, state: ReplicatedState) -> ReplicatedState {
        if self.has(ProtocolMutation::DropsAppliedChangesAtFailover) {
            return ReplicatedState { applied_changes: Default::default(), ..state };
        }
        state
    }
}

/// Decisions of the bootstrap.
impl Mutations {
    /// Only a member that was started with the whole cluster: whether this one takes part in the bootstrap.
    pub(super) fn may_bootstrap(self, bootstrapping: bool) -> bool {
        bootstrapping || self.has(ProtocolMutation::BootstrapsAgain)
    }

    /// As observed: whether a running cluster is known, which rules out a bootstrap.
    pub(super) fn knows_cluster(self, knows_cluster: bool) -> bool {
        knows_cluster && !self.has(ProtocolMutation::BootstrapsAgain)
    }

    /// `None`, the voting seeds: the voters on the first record.
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

    /// `None`, the discovered voters: the members of the first record.
    pub(super) fn bootstrap_members(self, own: Member) -> Option<Vec<Member>> {
        self.bootstraps_alone().then(|| vec![own])
    }

    /// Never: whether a member bootstraps without waiting for others.
    pub(super) fn bootstraps_alone(self) -> bool {
        self.has(ProtocolMutation::BootstrapsAgain)
    }
}

/// Decisions of a primary about its record.
impl Mutations {
    /// The start of the round: the time as of which a quorum's answers confirm the primary.
    pub(super) fn quorum_confirmation_time(self, began: Duration, now: Duration) -> Duration {
        if self.has(ProtocolMutation::ConfirmsAtArrival) {
            return now;
        }
        began
    }

    /// Never: whether the next record takes effect without a quorum.
    pub(super) fn shrinks_without_quorum(self, current: &EpochRecord, next: &EpochRecord) -> bool {
        self.has(ProtocolMutation::ShrinksInSyncSetWithoutQuorum)
            && next.in_sync.len() < current.in_sync.len()
    }

    /// As configured: the size below which removals never bring the in-sync set.
    pub(super) fn min_in_sync(self, configured: usize) -> usize {
        if self.has(ProtocolMutation::RemovesLastReplicas) {
            return 0;
        }
        configured
    }

    /// The replaced member: the one that leaves the members in exchange for a new one.
    pub(super) fn member_to_remove(self, replaced: Option<Member>) -> Option<Member> {
        replaced.filter(|_| !self.has(ProtocolMutation::CountsReplacedMember))
    }

    /// None: a new member that is put into the in-sync set at once.
    pub(super) fn unsynced_member_to_admit(self, new_member: MemberId) -> Option<MemberId> {
        self.has(ProtocolMutation::AdmitsUnsyncedMember).then_some(new_member)
    }
}

/// Decisions of the coordinator on top of replication.
impl Mutations {
    /// As confirmed: the time of the quorum confirmation that a quota grant relies on.
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

    /// The committed state: what is published to the fleet.
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

    /// Never: whether a change counts as applied by its generation alone, whatever its digest.
    pub(crate) fn is_applied_by_generation(
        self,
        change: &ConfigurationChange,
        state: &ReplicatedState,
    ) -> bool {
        self.has(ProtocolMutation::AcknowledgesByGeneration) && change.generation() == Some(state.generation)
    }

    /// Never: whether a change is rejected without a quorum confirmation.
    pub(crate) fn rejects_unconfirmed(self) -> bool {
        self.has(ProtocolMutation::RejectsUnconfirmed)
    }

    /// Never: whether a read is answered without a quorum confirmation.
    pub(crate) fn reads_unconfirmed(self) -> bool {
        self.has(ProtocolMutation::ReadsUnconfirmed)
    }
}

fn without_applied_changes(state: &ReplicatedState) -> Arc<ReplicatedState> {
    Arc::new(ReplicatedState { applied_changes: Default::default(), ..state.clone() })
}
