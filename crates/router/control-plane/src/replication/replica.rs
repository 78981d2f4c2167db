//! One member: witness, backup and, when elected, primary.

mod election;
mod follower;

use super::action::ReplicaAction;
use super::bootstrap_election::Bootstrap;
use super::durable::{DurableState, DurableWrite, WitnessState, WriteId};
use super::epoch::{EpochRecord, RecordPosition};
use super::identity::{Member, MemberId, Sender};
use super::leadership::{Leadership, PongReport};
use super::message::{ReplicationEnvelope, ReplicationMessage};
use super::mutation::Mutations;
use super::settings::ReplicaSettings;
use super::state::{AppliedChange, ReplicatedState};
use passrelay_dissemination::{CoreHint, Incarnation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Pause between looks at what is due.
const TICK_EVERY: Duration = Duration::from_millis(50);
/// A candidate that hasn't won after this tries again later.
const CANDIDACY: Duration = Duration::from_millis(400);
/// ... and one that asked whether it would win, after this.
const PRE_CANDIDACY: Duration = Duration::from_millis(150);
/// A write that takes longer means that the disk can't be relied on.
const SLOW_WRITE: Duration = Duration::from_millis(600);
/// Pause before a member whose disk failed stands for election.
const AFTER_DISK_FAULT: Duration = Duration::from_secs(2);
/// Pause between requests for a place among the members.
const JOIN_EVERY: Duration = Duration::from_millis(300);

enum Role {
    Follower,
    PreCandidate { term: u64, granted: BTreeSet<MemberId>, until: Duration },
    Candidate { term: u64, promises: BTreeMap<MemberId, Option<EpochRecord>>, until: Duration },
    Primary(Box<Leadership>),
}

struct PendingWrite {
    began: Duration,
    write: DurableWrite,
    replies: Vec<(Sender, ReplicationMessage)>,
}

/// One member of the core.
pub struct Replica {
    settings: ReplicaSettings,
    rng: ChaCha8Rng,
    /// What was promised and stored, as far as it may already have been told.
    witness: WitnessState,
    state: Arc<ReplicatedState>,
    durable_witness: WitnessState,
    durable_state: Arc<ReplicatedState>,
    writes: BTreeMap<WriteId, PendingWrite>,
    next_ticket: u64,
    role: Role,
    /// When the primary was last heard, if it was since the start.
    heard_primary: Option<Duration>,
    campaign_at: Duration,
    hint: Option<CoreHint>,
    next_tick: Duration,
    next_join: Duration,
    /// What is gathered for the first record, while none is known.
    bootstrap_election: Option<Bootstrap>,
}

/// The answer to a message.
fn reply(asker: Sender, message: ReplicationMessage) -> ReplicaAction {
    ReplicaAction::Send { to: asker.member.address, addressee: Some(asker.incarnation), message }
}

impl Replica {
    /// A member with what its disk holds.
    pub fn new(now: Duration, settings: ReplicaSettings, durable: DurableState) -> Self {
        let state = Arc::new(durable.state);
        let founds = settings.mutation.may_bootstrap(settings.bootstrapping);
        let mut replica = Replica {
            bootstrap_election: (founds && durable.witness.record.is_none())
                .then(|| Bootstrap::new(now, &settings)),
            rng: ChaCha8Rng::seed_from_u64(settings.random_seed),
            witness: durable.witness.clone(),
            durable_witness: durable.witness,
            durable_state: state.clone(),
            state,
            writes: BTreeMap::new(),
            next_ticket: 0,
            role: Role::Follower,
            heard_primary: None,
            campaign_at: now,
            hint: None,
            next_tick: now,
            next_join: now,
            settings,
        };
        // Who has just started waits less: after a loss of power nobody leads, and a living primary is heard soon.
        let wait = replica.settings.election_timeout.mul_f64(replica.rng.random_range(0.4..0.8));
        replica.campaign_at = now + wait;
        replica
    }

    /// This member's identity and address.
    pub fn own(&self) -> Member {
        self.settings.own
    }

    /// A short account of this member, for logs and for whoever looks at a simulated history.
    pub fn describe(&self) -> String {
        let role = match &self.role {
            Role::Follower => "follower",
            Role::PreCandidate { .. } => "pre-candidate",
            Role::Candidate { .. } => "candidate",
            Role::Primary(_) => "primary",
        };
        format!(
            "{role} id={:016x} promised={} version={:?} record={:?} founding={}",
            self.settings.own.id.0,
            self.witness.promised,
            self.state.version,
            self.witness.record,
            self.bootstrap_election.is_some() && self.witness.record.is_none()
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

    /// The newest state, committed or not; only a primary's says what a new order builds on.
    pub fn state(&self) -> &Arc<ReplicatedState> {
        &self.state
    }

    /// The newest state that is committed, on an established primary.
    pub fn committed(&self) -> Option<&Arc<ReplicatedState>> {
        self.leadership().and_then(Leadership::committed)
    }

    /// The last time at which a majority had promised nothing higher; everything acknowledged before that, by any
    /// primary, is in [`Replica::committed`]. `None` unless established.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.leadership().filter(|l| l.is_established()).and_then(Leadership::confirmed_at)
    }

    /// When this member took the lead, if it leads: from then on no earlier primary is confirmed.
    pub fn leads_since(&self) -> Option<Duration> {
        self.leadership().map(Leadership::began)
    }

    /// What is to be told on of where the core is. Only a primary whose record is in force tells.
    pub fn core_hint(&self) -> Option<CoreHint> {
        let record = self.leadership()?.record_in_force()?;
        let primary = record.member(record.primary)?.address;
        let members = record.members.iter().map(|m| m.address).collect();
        Some(CoreHint { term: record.term, sequence: record.sequence, primary, members })
    }

    /// Takes in where the core is.
    pub fn observe_core(&mut self, hint: Option<&CoreHint>) {
        if let Some(hint) = hint {
            let newer = |known: &CoreHint| RecordPosition::from(hint) > RecordPosition::from(known);
            if self.hint.as_ref().is_none_or(newer) {
                self.hint = Some(hint.clone());
            }
        }
    }

    /// Asks for a round of pings at once.
    pub fn request_confirmation(&mut self) {
        if let Role::Primary(leadership) = &mut self.role {
            leadership.ping_soon();
            self.next_tick = Duration::ZERO;
        }
    }

    /// Takes an order: the document that is to follow. Returns the index at which it will be committed; `None`
    /// unless this is an established primary.
    pub fn propose(
        &mut self,
        now: Duration,
        generation: u64,
        document: Arc<str>,
        order: AppliedChange,
        actions: &mut Vec<ReplicaAction>,
    ) -> Option<u64> {
        let term = self.leadership().filter(|l| l.is_established())?.term();
        let state = Arc::new(self.state.after(term, generation, document, order));
        let index = state.version.index;
        self.take_state(now, state, actions);
        Some(index)
    }

    /// Does what is due. Returns when to call again.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) -> Duration {
        if now < self.next_tick {
            return self.next_tick;
        }
        self.next_tick = now + TICK_EVERY;
        self.step_down_if_stalled(now);
        match &mut self.role {
            Role::Primary(leadership) => {
                let state = self.state.clone();
                leadership.tick(now, &state, actions);
                self.store_proposal(now, actions);
            }
            Role::PreCandidate { until, .. } if now >= *until => {
                // Nothing was promised yet: the question may be asked again soon.
                self.campaign_again_soon(now);
            }
            Role::Candidate { until, .. } if now >= *until => {
                self.role = Role::Follower;
                self.put_off_campaign(now);
            }
            Role::PreCandidate { .. } | Role::Candidate { .. } => {}
            Role::Follower => self.tick_follower(now, actions),
        }
        self.next_tick
    }

    /// A write has ended.
    pub fn written(
        &mut self,
        now: Duration,
        write_id: WriteId,
        succeeded: bool,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let Some(pending) = self.writes.remove(&write_id) else { return };
        if !succeeded {
            self.disk_failed(now);
            if self.settings.mutation.replies_after_failed_write() {
                actions.extend(pending.replies.into_iter().map(|(asker, message)| reply(asker, message)));
            }
            return;
        }
        if let Some(witness) = pending.write.witness {
            self.durable_witness = witness;
        }
        if let Some(state) = pending.write.state {
            self.durable_state = state;
        }
        for (asker, message) in pending.replies {
            actions.push(reply(asker, message));
        }
        self.own_progress(now, actions);
    }

    /// Takes in a message.
    pub fn receive(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        envelope: ReplicationEnvelope,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let from = Sender { member: envelope.sender, incarnation };
        match envelope.message {
            ReplicationMessage::Present { member } => {
                if let Some(bootstrap_election) = &mut self.bootstrap_election {
                    bootstrap_election.present(now, member);
                }
            }
            ReplicationMessage::NonVotingSeed { address } => {
                if let Some(bootstrap_election) = &mut self.bootstrap_election {
                    bootstrap_election.without_disk(address);
                }
            }
            ReplicationMessage::Join { member, bootstrapping } => {
                if let Role::Primary(leadership) = &mut self.role {
                    leadership.wants_to_join(now, member, bootstrapping);
                }
            }
            ReplicationMessage::PreVote { term } => self.answer_pre_vote(now, from, term, actions),
            ReplicationMessage::PreVoteGranted { term } => self.pre_vote_granted(now, from, term, actions),
            ReplicationMessage::Prepare { term, candidate } => {
                self.answer_prepare(now, from, term, candidate, actions);
            }
            ReplicationMessage::Promise { term, record } => {
                self.promised_by(now, from, term, record, actions)
            }
            ReplicationMessage::Accept { record } => self.answer_accept(now, from, record, actions),
            ReplicationMessage::Accepted { position } => {
                if let Role::Primary(leadership) = &mut self.role {
                    let state = self.state.clone();
                    leadership.accepted(now, from.member.id, position, &state, actions);
                    self.own_progress(now, actions);
                }
            }
            ReplicationMessage::Rejected { promised } => self.refused(now, promised),
            ReplicationMessage::Ping { term, round, .. } => self.answer_ping(now, from, term, round, actions),
            ReplicationMessage::Pong { term, round, position, synced } => {
                if let Role::Primary(leadership) = &mut self.role {
                    let state = self.state.clone();
                    let report = PongReport { by: from.member.id, term, round, position, synced };
                    leadership.pong(now, &report, &state, actions);
                }
            }
            ReplicationMessage::Replicate { term, state } => {
                self.answer_replicate(now, from, term, state, actions);
            }
            ReplicationMessage::Synced { term, version } => {
                if let Role::Primary(leadership) = &mut self.role {
                    let state = self.state.clone();
                    leadership.synced(now, from.member.id, term, version, &state, actions);
                }
            }
        }
    }

    fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Primary(leadership) => Some(leadership),
            _ => None,
        }
    }

    fn put_off_campaign(&mut self, now: Duration) {
        let timeout = self.settings.election_timeout;
        self.campaign_at = now + timeout + timeout.mul_f64(self.rng.random_range(0.0..0.6));
    }

    /// Stands down, and for election again after a short time that differs from others'.
    fn campaign_again_soon(&mut self, now: Duration) {
        self.role = Role::Follower;
        self.campaign_at = now + PRE_CANDIDACY.mul_f64(self.rng.random_range(0.1..1.2));
    }

    fn write(
        &mut self,
        now: Duration,
        write: DurableWrite,
        replies: Vec<(Sender, ReplicationMessage)>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        self.next_ticket += 1;
        let write_id = WriteId(self.next_ticket);
        self.writes.insert(write_id, PendingWrite { began: now, write: write.clone(), replies });
        actions.push(ReplicaAction::Write { write_id, write });
    }

    fn write_witness(
        &mut self,
        now: Duration,
        replies: Vec<(Sender, ReplicationMessage)>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let write = DurableWrite { witness: Some(self.witness.clone()), state: None };
        self.write(now, write, replies, actions);
    }

    fn disk_stalls(&self, now: Duration) -> bool {
        self.writes.values().any(|w| now.saturating_sub(w.began) > SLOW_WRITE)
    }

    fn step_down_if_stalled(&mut self, now: Duration) {
        if self.disk_stalls(now) && !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.put_off_campaign(now);
        }
    }

    /// What could not be written was not taken: memory goes back to what the disk holds, but for the promise.
    fn disk_failed(&mut self, now: Duration) {
        self.role = Role::Follower;
        self.campaign_at = now + AFTER_DISK_FAULT;
        if self.writes.is_empty() {
            self.witness.record = self.durable_witness.record.clone();
            self.state = self.durable_state.clone();
        }
    }

    fn tick_follower(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        if !self.is_member() {
            if now >= self.next_join {
                self.next_join = now + JOIN_EVERY;
                self.ask_for_place(now, actions);
            }
            if !self.may_found(now) {
                return;
            }
        }
        if now >= self.campaign_at && !self.disk_stalls(now) {
            self.begin_pre_vote(now, actions);
        }
    }

    /// Whether this member has a place, by the newest that it knows.
    fn is_member(&self) -> bool {
        let Some(record) = &self.witness.record else { return false };
        if record.member(self.settings.own.id).is_none() {
            return false;
        }
        let replaced = |hint: &CoreHint| {
            RecordPosition::from(hint) > record.position()
                && !hint.members.contains(&self.settings.own.address)
        };
        !self.hint.as_ref().is_some_and(replaced)
    }

    /// Stores the record that the own leadership proposes, once for each proposal.
    fn store_proposal(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        let Role::Primary(leadership) = &self.role else { return };
        let Some(proposed) = leadership.proposed() else { return };
        if self.witness.record.as_ref().is_some_and(|r| r.position() >= proposed.position()) {
            return;
        }
        self.witness.record = Some(proposed.clone());
        self.write_witness(now, Vec::new(), actions);
    }

    fn take_state(&mut self, now: Duration, state: Arc<ReplicatedState>, actions: &mut Vec<ReplicaAction>) {
        self.state = state.clone();
        let write = DurableWrite { witness: None, state: Some(state.clone()) };
        self.write(now, write, Vec::new(), actions);
        if let Role::Primary(leadership) = &mut self.role {
            leadership.replicate(now, &state, actions);
        }
    }

    /// What is on the own disk counts like what other members have told.
    fn own_progress(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        let own = self.settings.own.id;
        match &mut self.role {
            Role::Candidate { term, promises, .. }
                if self.durable_witness.promised >= *term && !promises.contains_key(&own) =>
            {
                promises.insert(own, self.durable_witness.record.clone());
                self.count_promises(now, actions);
            }
            Role::Primary(leadership) => {
                let term = leadership.term();
                let state = self.state.clone();
                leadership.synced(now, own, term, self.durable_state.version, &state, actions);
                if let Some(position) = self.durable_witness.record.as_ref().map(EpochRecord::position) {
                    leadership.accepted(now, own, position, &state, actions);
                }
                self.store_proposal(now, actions);
            }
            _ => {}
        }
    }
}
