//! One member of the core: witness, backup and, when elected, primary.
//!
//! It decides and does no I/O: messages and writes come back as actions, and a reply that depends on a write is sent
//! once the driver reports that write as durable.

mod bootstrap;
mod durable_writes;
mod election;
mod follower;
mod join;
mod primary;
mod role;

use super::bootstrap_election::BootstrapElection;
use super::context::Context;
use super::durable::{DurableState, WitnessState, WriteId};
use super::epoch::RecordPosition;
use super::identity::{Member, Sender};
use super::leadership::{Leadership, PongReport};
use super::message::{ReplicationEnvelope, ReplicationMessage};
use super::mutation::Mutations;
use super::settings::ReplicaSettings;
use super::state::{AppliedChange, ReplicatedState};
use super::ReplicaAction;
use durable_writes::PendingWrite;
use passrelay_configuration::{Rollouts, ServiceVersions};
use passrelay_dissemination::{CoreHint, Incarnation};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use role::Role;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval of ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// One member of the core.
pub struct Replica {
    settings: ReplicaSettings,
    rng: ChaCha8Rng,
    /// Promises and record in memory. They may be ahead of the disk: a reply that reveals them waits for their write.
    witness: WitnessState,
    /// The newest state in memory; may be ahead of the disk.
    state: Arc<ReplicatedState>,
    /// What the disk holds as far as writes have been reported. Invariant: nothing else is acknowledged to others.
    durable_witness: WitnessState,
    durable_state: Arc<ReplicatedState>,
    pending_writes: BTreeMap<WriteId, PendingWrite>,
    /// Whether a write has failed since memory was last known to agree with the disk.
    has_failed_write: bool,
    last_write_id: u64,
    role: Role,
    /// Time of the last message of a primary of the promised term or a later one, if there was one since the start.
    last_primary_contact: Option<Duration>,
    campaign_at: Duration,
    /// The newest record in force, as far as gossip has spread it.
    core_hint: Option<CoreHint>,
    next_tick: Duration,
    next_join_request: Duration,
    /// On a member that takes part in the bootstrap of the cluster.
    bootstrap_election: Option<BootstrapElection>,
}

impl Replica {
    /// A member that starts with what its disk holds.
    pub fn new(now: Duration, settings: ReplicaSettings, durable: DurableState) -> Self {
        let state = Arc::new(durable.state);
        let may_bootstrap =
            settings.mutation.may_bootstrap(settings.bootstrapping) && durable.witness.record.is_none();
        let mut replica = Replica {
            bootstrap_election: may_bootstrap.then(|| BootstrapElection::new(now, &settings)),
            rng: ChaCha8Rng::seed_from_u64(settings.random_seed),
            witness: durable.witness.clone(),
            durable_witness: durable.witness,
            durable_state: state.clone(),
            state,
            pending_writes: BTreeMap::new(),
            has_failed_write: false,
            last_write_id: 0,
            role: Role::Follower,
            last_primary_contact: None,
            campaign_at: now,
            core_hint: None,
            next_tick: now,
            next_join_request: now,
            settings,
        };
        replica.schedule_first_campaign(now);
        replica
    }

    /// This member's identity and address.
    pub fn own(&self) -> Member {
        self.settings.own
    }

    /// A one-line summary of this member, for logs and simulated histories.
    pub fn describe(&self) -> String {
        format!(
            "{} id={:016x} promised={} version={:?} record={:?} founding={}",
            self.role.name(),
            self.settings.own.id.0,
            self.witness.promised,
            self.state.version,
            self.witness.record,
            self.is_bootstrapping()
        )
    }

    /// The rule that this member breaks on purpose, in the cluster simulation.
    pub(crate) fn mutation(&self) -> Mutations {
        self.settings.mutation
    }

    /// Whether it is primary, its record is in force and its state is committed under its own term.
    pub fn is_established(&self) -> bool {
        self.leadership().is_some_and(Leadership::is_established)
    }

    /// Whether it is primary, established or not yet.
    pub fn is_primary(&self) -> bool {
        self.leadership().is_some()
    }

    /// The newest state, committed or not. Only on a primary is it the base of the next change.
    pub fn state(&self) -> &Arc<ReplicatedState> {
        &self.state
    }

    /// The newest committed state, on a primary.
    pub fn committed(&self) -> Option<&Arc<ReplicatedState>> {
        self.leadership().and_then(Leadership::committed)
    }

    /// The last time at which a quorum had promised nothing above this primary's term. Everything acknowledged before
    /// that, by any primary, is in [`Replica::committed`]. `None` unless established.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.leadership().filter(|leadership| leadership.is_established()).and_then(Leadership::confirmed_at)
    }

    /// When this member became primary, if it is. From then on no earlier primary is confirmed.
    pub fn leads_since(&self) -> Option<Duration> {
        self.leadership().map(Leadership::started_at)
    }

    /// The record in force, for gossip. `None` unless this is the primary that it names.
    pub fn core_hint(&self) -> Option<CoreHint> {
        let record = self.leadership()?.record_in_force()?;
        let primary = record.member(record.primary)?.address;
        let members = record.members.iter().map(|member| member.address).collect();
        Some(CoreHint { term: record.term, sequence: record.sequence, primary, members })
    }

    /// Merges the record in force as gossip has spread it.
    pub fn observe_core(&mut self, hint: Option<&CoreHint>) {
        let Some(hint) = hint else { return };
        let is_newer = |known: &CoreHint| RecordPosition::from(hint) > RecordPosition::from(known);
        if self.core_hint.as_ref().is_none_or(is_newer) {
            self.core_hint = Some(hint.clone());
        }
    }

    /// Has the next tick start a heartbeat round, so that a quorum confirms this primary soon.
    pub fn request_confirmation(&mut self) {
        if let Role::Primary(leadership) = &mut self.role {
            leadership.request_heartbeat();
            self.next_tick = Duration::ZERO;
        }
    }

    /// Replicates the document that a change produced. Returns the index at which it will be committed; `None` unless
    /// this is an established primary.
    pub fn propose(
        &mut self,
        now: Duration,
        generation: u64,
        document: Arc<str>,
        change: AppliedChange,
        actions: &mut Vec<ReplicaAction>,
    ) -> Option<u64> {
        let term = self.established_term()?;
        let state = self.state.after(term, generation, document, change);
        Some(self.replicate_next(now, state, actions))
    }

    /// Replicates other versions in service. Returns the index at which they will be committed; `None` unless this is an
    /// established primary.
    pub fn propose_service_versions(
        &mut self,
        now: Duration,
        versions: ServiceVersions,
        actions: &mut Vec<ReplicaAction>,
    ) -> Option<u64> {
        let term = self.established_term()?;
        let state = self.state.with_service_versions(term, versions);
        Some(self.replicate_next(now, state, actions))
    }

    /// Replicates other roll-outs and the versions in service that they lead to. Returns the index at which they will be committed;
    /// `None` unless this is an established primary.
    pub fn propose_rollouts(
        &mut self,
        now: Duration,
        rollouts: Rollouts,
        versions: ServiceVersions,
        actions: &mut Vec<ReplicaAction>,
    ) -> Option<u64> {
        let term = self.established_term()?;
        let state = self.state.with_rollouts(term, rollouts, versions);
        Some(self.replicate_next(now, state, actions))
    }

    /// Whether the state of this index of the primary's own term, or a later one, is on the disks of a majority of the members.
    /// Commitment asks for all of the in-sync set, which may be smaller.
    pub fn is_on_majority(&self, index: u64) -> bool {
        self.leadership().is_some_and(|leadership| leadership.is_on_majority(index))
    }

    fn established_term(&self) -> Option<u64> {
        Some(self.leadership().filter(|leadership| leadership.is_established())?.term())
    }

    /// Replicates the state that follows the newest one; returns its index.
    fn replicate_next(
        &mut self,
        now: Duration,
        state: ReplicatedState,
        actions: &mut Vec<ReplicaAction>,
    ) -> u64 {
        let index = state.version.index;
        self.replicate_state(&mut Context::new(now, actions), Arc::new(state));
        index
    }

    /// Advances timers to `now`, and returns when to call again. A primary sends heartbeats, resends what is
    /// unacknowledged and proposes the next record; a candidate's election times out; a follower requests membership or
    /// starts an election. Any of them steps down while its disk is stalled.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) -> Duration {
        if now < self.next_tick {
            return self.next_tick;
        }
        self.next_tick = now + TICK_INTERVAL;
        let context = &mut Context::new(now, actions);
        self.step_down_if_disk_stalled(now);
        match &self.role {
            Role::Primary(_) => self.tick_primary(context),
            Role::PreCandidate(_) | Role::Candidate(_) => self.tick_election(now),
            Role::Follower => self.tick_follower(context),
        }
        self.next_tick
    }

    /// Handles a message from the given incarnation of its sender.
    pub fn receive(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        envelope: ReplicationEnvelope,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let context = &mut Context::new(now, actions);
        let from = Sender { member: envelope.sender, incarnation };
        match envelope.message {
            ReplicationMessage::Present { member } => self.handle_present(now, member),
            ReplicationMessage::NonVotingSeed { address } => self.handle_non_voting_seed(address),
            ReplicationMessage::Join { member, bootstrapping } => {
                self.handle_join(now, member, bootstrapping);
            }
            ReplicationMessage::PreVote { term } => self.handle_pre_vote(context, from, term),
            ReplicationMessage::PreVoteGranted { term } => {
                self.handle_pre_vote_granted(context, from.member.id, term);
            }
            ReplicationMessage::Prepare { term, candidate } => {
                self.handle_prepare(context, from, term, candidate);
            }
            ReplicationMessage::Promise { term, record } => {
                self.handle_promise(context, from.member.id, term, record);
            }
            ReplicationMessage::Accept { record } => self.handle_accept(context, from, record),
            ReplicationMessage::Accepted { position } => {
                self.handle_accepted(context, from.member.id, position);
            }
            ReplicationMessage::Rejected { promised } => self.handle_rejection(now, promised),
            ReplicationMessage::Ping { term, round, .. } => self.handle_ping(context, from, term, round),
            ReplicationMessage::Pong { term, round, position, synced, accepts_deltas } => {
                let from = from.member.id;
                let pong = PongReport { from, term, round, position, synced, accepts_deltas };
                self.handle_pong(context, &pong);
            }
            ReplicationMessage::Replicate { term, state } => {
                self.handle_replicate(context, from, term, state);
            }
            ReplicationMessage::ReplicateDeltas { term, deltas } => {
                self.handle_replicate_deltas(context, from, term, &deltas);
            }
            ReplicationMessage::DeltasRejected { term } => {
                self.handle_rejected_deltas(context, from.member.id, term);
            }
            ReplicationMessage::Synced { term, version } => {
                self.handle_synced(context, from.member.id, term, version);
            }
        }
    }
}
