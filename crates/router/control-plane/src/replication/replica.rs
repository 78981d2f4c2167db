//! One member of the core: witness, backup and, when elected, primary.
//!
//! A state machine without I/O: it returns messages and writes as actions, and a reply that depends on a write is sent
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

/// Interval between ticks. Calls in between have no effect, unless a confirmation was requested.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// One member of the core.
pub struct Replica {
    settings: ReplicaSettings,
    rng: ChaCha8Rng,
    /// Promises and record in memory. They may be ahead of the disk; a reply that reveals them waits for their write.
    witness: WitnessState,
    /// The newest state in memory. It may be ahead of the disk.
    state: Arc<ReplicatedState>,
    /// Promises and record on the disk, according to completed writes. Invariant: nothing else is acknowledged to other
    /// members.
    durable_witness: WitnessState,
    /// The state on the disk, according to completed writes. The same invariant holds.
    durable_state: Arc<ReplicatedState>,
    pending_writes: BTreeMap<WriteId, PendingWrite>,
    /// Whether a write has failed since memory was last known to match the disk.
    has_failed_write: bool,
    last_write_id: u64,
    role: Role,
    /// Time of the last message from a primary of the promised term or a later one; `None` if there was none since the
    /// start.
    last_primary_contact: Option<Duration>,
    /// Time at which the election timer expires.
    campaign_at: Duration,
    /// The newest record in force, as known through gossip.
    core_hint: Option<CoreHint>,
    next_tick: Duration,
    next_join_request: Duration,
    /// Present on a member that takes part in the bootstrap of the cluster.
    bootstrap_election: Option<BootstrapElection>,
}

impl Replica {
    /// Creates a member that starts from the recovered contents of its disk.
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

    /// Returns this member's identity and address.
    pub fn own(&self) -> Member {
        self.settings.own
    }

    /// Returns a one-line summary of this member, for logs and simulated histories.
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

    /// Returns the protocol mutation of this member; none outside the cluster simulation.
    pub(crate) fn mutation(&self) -> Mutations {
        self.settings.mutation
    }

    /// Returns whether this member is primary, its record is in force and a state is committed under its own term.
    pub fn is_established(&self) -> bool {
        self.leadership().is_some_and(Leadership::is_established)
    }

    /// Returns whether this member is primary, established or not.
    pub fn is_primary(&self) -> bool {
        self.leadership().is_some()
    }

    /// Returns the newest state, committed or not. Only on a primary is it the base of the next change.
    pub fn state(&self) -> &Arc<ReplicatedState> {
        &self.state
    }

    /// Returns the newest committed state. Returns `None` unless this member is primary and has committed one.
    pub fn committed(&self) -> Option<&Arc<ReplicatedState>> {
        self.leadership().and_then(Leadership::committed)
    }

    /// Returns the last time at which a quorum is known to have promised no term above this primary's. All changes
    /// acknowledged before that time, by any primary, are in [`Replica::committed`]. Returns `None` unless established.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.leadership().filter(|leadership| leadership.is_established()).and_then(Leadership::confirmed_at)
    }

    /// Returns when this member became primary, or `None` if it is not primary. No earlier primary is confirmed after
    /// that time.
    pub fn primary_since(&self) -> Option<Duration> {
        self.leadership().map(Leadership::started_at)
    }

    /// Returns the record in force, for gossip. Returns `None` unless this member is the primary that it names.
    pub fn core_hint(&self) -> Option<CoreHint> {
        let record = self.leadership()?.record_in_force()?;
        let primary = record.member(record.primary)?.address;
        let members = record.members.iter().map(|member| member.address).collect();
        Some(CoreHint { term: record.term, sequence: record.sequence, primary, members })
    }

    /// Takes over the record in force learned through gossip, if it is newer than the known one.
    pub fn observe_core(&mut self, hint: Option<&CoreHint>) {
        let Some(hint) = hint else { return };
        let is_newer = |known: &CoreHint| RecordPosition::from(hint) > RecordPosition::from(known);
        if self.core_hint.as_ref().is_none_or(is_newer) {
            self.core_hint = Some(hint.clone());
        }
    }

    /// Makes the next tick start a heartbeat round, so that a quorum confirms this primary soon.
    pub fn request_confirmation(&mut self) {
        if let Role::Primary(leadership) = &mut self.role {
            leadership.request_heartbeat();
            self.next_tick = Duration::ZERO;
        }
    }

    /// Replicates the document produced by a change. Returns the index at which it will be committed, or `None` unless
    /// this member is an established primary.
    pub fn propose(
        &mut self,
        now: Duration,
        generation: u64,
        document: Arc<str>,
        change: AppliedChange,
        actions: &mut Vec<ReplicaAction>,
    ) -> Option<u64> {
        let term = self.established_term()?;
        let state = self.state.with_change(term, generation, document, change);
        Some(self.replicate_next(now, state, actions))
    }

    /// Replicates other versions in service. Returns the index at which they will be committed, or `None` unless this
    /// member is an established primary.
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

    /// Replicates other rollouts and the versions in service that result from them. Returns the index at which they
    /// will be committed, or `None` unless this member is an established primary.
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

    /// Returns whether the state at `index` in the primary's own term, or a later one, is on the disks of a majority of
    /// the members. Commitment requires the whole in-sync set instead, which may be smaller than a majority.
    pub fn is_durable_on_majority(&self, index: u64) -> bool {
        self.leadership().is_some_and(|leadership| leadership.is_durable_on_majority(index))
    }

    fn established_term(&self) -> Option<u64> {
        Some(self.leadership().filter(|leadership| leadership.is_established())?.term())
    }

    /// Replicates the successor of the newest state, and returns its index.
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

    /// Advances the timers, and returns the time of the next call. A primary sends heartbeats, resends unacknowledged
    /// records and states, and proposes the next record; a candidate checks its election timeout; a follower requests
    /// membership or starts an election. A primary or candidate steps down while its disk is stalled.
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

    /// Handles a message that was sent by the process `incarnation`.
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
