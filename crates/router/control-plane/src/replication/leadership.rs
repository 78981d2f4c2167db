//! What a primary keeps: the record in force, the one proposed, how far each member has come.

use super::action::ReplicaAction;
use super::epoch::{EpochRecord, RecordPosition};
use super::identity::{Member, MemberId};
use super::message::ReplicationMessage;
use super::mutation::Mutations;
use super::rounds::Rounds;
use super::settings::ReplicaSettings;
use super::state::{ReplicatedState, StateVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Pause between pings.
const PING_EVERY: Duration = Duration::from_millis(100);
/// A state or record that was not confirmed after this is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(200);
/// A member of the in-sync set that is silent, or owes a state, for this long is taken out.
const OUT_OF_SYNC_AFTER: Duration = Duration::from_millis(450);
/// ... and one that hasn't been heard at all in a new term, for this long.
const NEVER_HEARD: Duration = Duration::from_millis(220);
/// A member that was heard within this time is there.
const HEARD_LATELY: Duration = Duration::from_millis(400);
/// A member that was silent for this long may lose its place to a newcomer.
const REPLACE_AFTER: Duration = Duration::from_millis(700);
/// A newcomer that asked for a place within this time is there.
const JOINER_LATELY: Duration = Duration::from_secs(1);
/// A primary that a majority hasn't answered for this long says no more that it lives.
const DEPOSED_AFTER: Duration = Duration::from_millis(900);

struct Proposal {
    record: EpochRecord,
    accepted: BTreeSet<MemberId>,
    sent_at: Option<Duration>,
}

struct Joiner {
    member: Member,
    bootstrapping: bool,
    asked_at: Duration,
}

/// What a member answers to a ping.
pub(super) struct PongReport {
    /// The member.
    pub(super) by: MemberId,
    /// Term of the ping.
    pub(super) term: u64,
    /// Round of the ping.
    pub(super) round: u64,
    /// Position of the record that the member has stored.
    pub(super) position: RecordPosition,
    /// The state that it has synced.
    pub(super) synced: StateVersion,
}

/// The state of one primary in one term.
pub(super) struct Leadership {
    own: Member,
    min_in_sync: usize,
    term: u64,
    in_force: Option<EpochRecord>,
    proposal: Option<Proposal>,
    rounds: Rounds,
    next_ping: Duration,
    began: Duration,
    heard: BTreeMap<MemberId, Duration>,
    synced: BTreeMap<MemberId, StateVersion>,
    sent: BTreeMap<MemberId, (StateVersion, Duration)>,
    /// The newest state and when it was taken.
    newest: Option<(Arc<ReplicatedState>, Duration)>,
    /// States that were taken and are not known to be committed.
    uncommitted: BTreeMap<u64, Arc<ReplicatedState>>,
    committed: Option<Arc<ReplicatedState>>,
    joiners: BTreeMap<MemberId, Joiner>,
    mutation: Mutations,
}

impl Leadership {
    pub(super) fn new(now: Duration, settings: &ReplicaSettings, record: EpochRecord) -> Self {
        let term = record.term;
        Leadership {
            own: settings.own,
            min_in_sync: settings.tolerated_losses + 1,
            term,
            in_force: None,
            proposal: Some(Proposal { record, accepted: BTreeSet::new(), sent_at: None }),
            rounds: Rounds::new(settings.mutation),
            next_ping: now,
            began: now,
            heard: BTreeMap::new(),
            synced: BTreeMap::new(),
            sent: BTreeMap::new(),
            newest: None,
            uncommitted: BTreeMap::new(),
            committed: None,
            joiners: BTreeMap::new(),
            mutation: settings.mutation,
        }
    }

    /// When this member took the lead.
    pub(super) fn began(&self) -> Duration {
        self.began
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    pub(super) fn record_in_force(&self) -> Option<&EpochRecord> {
        self.in_force.as_ref()
    }

    pub(super) fn proposed(&self) -> Option<&EpochRecord> {
        self.proposal.as_ref().map(|p| &p.record)
    }

    pub(super) fn committed(&self) -> Option<&Arc<ReplicatedState>> {
        self.committed.as_ref()
    }

    pub(super) fn is_established(&self) -> bool {
        self.in_force.is_some() && self.committed.is_some()
    }

    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.rounds.confirmed_at()
    }

    pub(super) fn ping_soon(&mut self) {
        self.next_ping = Duration::ZERO;
    }

    /// Does what is due.
    pub(super) fn tick(
        &mut self,
        now: Duration,
        state: &Arc<ReplicatedState>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        self.ping(now, actions);
        self.send_proposal(now, actions);
        if let Some(record) = self.in_force.clone() {
            self.resend_states(now, &record, state, actions);
            if self.proposal.is_none() {
                self.propose_next(now, &record, state);
                self.send_proposal(now, actions);
            }
        }
    }

    /// Sends a new state to everyone who is to hold it.
    pub(super) fn replicate(
        &mut self,
        now: Duration,
        state: &Arc<ReplicatedState>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        self.newest = Some((state.clone(), now));
        self.uncommitted.insert(state.version.index, state.clone());
        let audience = self.audience();
        let patience = hand_over_patience(state, audience.len());
        for member in audience {
            if !self.is_under_way(now, member.id, patience) {
                self.send_state(now, member, state, actions);
            }
        }
    }

    /// Whether a state is on its way to a member, this one or an earlier: the newest follows once that is synced, so that
    /// states don't pile up on a narrow link.
    fn is_under_way(&self, now: Duration, id: MemberId, patience: Duration) -> bool {
        let has = self.synced.get(&id).copied().unwrap_or_default();
        let sent = self.sent.get(&id);
        sent.is_some_and(|(version, at)| *version > has && now.saturating_sub(*at) < patience)
    }

    pub(super) fn wants_to_join(&mut self, now: Duration, member: Member, bootstrapping: bool) {
        self.joiners.insert(member.id, Joiner { member, bootstrapping, asked_at: now });
    }

    pub(super) fn accepted(
        &mut self,
        now: Duration,
        by: MemberId,
        position: RecordPosition,
        state: &Arc<ReplicatedState>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let Some(proposal) = &mut self.proposal else { return };
        if proposal.record.position() != position {
            return;
        }
        proposal.accepted.insert(by);
        if !proposal.record.is_quorum(&proposal.accepted) {
            return;
        }
        self.in_force = self.proposal.take().map(|p| p.record);
        self.commit();
        let record = self.in_force.clone();
        if let Some(record) = record {
            self.resend_states(now, &record, state, actions);
        }
        self.next_ping = Duration::ZERO;
    }

    /// A member has answered a ping.
    pub(super) fn pong(
        &mut self,
        now: Duration,
        report: &PongReport,
        state: &Arc<ReplicatedState>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let PongReport { by, term, round, position, synced } = *report;
        if term != self.term {
            return;
        }
        self.synced(now, by, term, synced, state, actions);
        if let Some(record) = &self.in_force {
            self.rounds.answered(now, round, by, record);
        }
        self.accepted(now, by, position, state, actions);
        let missed = self.in_force.as_ref().filter(|r| position < r.position() && self.proposal.is_none());
        if let (Some(record), Some(member)) = (missed, missed.and_then(|r| r.member(by))) {
            let message = ReplicationMessage::Accept { record: record.clone() };
            actions.push(ReplicaAction::Send { to: member.address, addressee: None, message });
        }
    }

    /// A member has synced a state; the newest follows, if it isn't that.
    pub(super) fn synced(
        &mut self,
        now: Duration,
        by: MemberId,
        term: u64,
        version: StateVersion,
        state: &Arc<ReplicatedState>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if term != self.term {
            return;
        }
        self.heard.insert(by, now);
        let known = self.synced.entry(by).or_default();
        *known = (*known).max(version);
        self.commit();
        if let Some(record) = self.in_force.clone() {
            self.resend_states(now, &record, state, actions);
        }
    }

    /// Everyone named by the record in force or proposed, but for this member.
    fn audience(&self) -> Vec<Member> {
        let records = self.in_force.iter().chain(self.proposal.as_ref().map(|p| &p.record));
        let mut members: Vec<Member> = Vec::new();
        for member in records.flat_map(|r| r.members.iter().chain(&r.previous_members)) {
            if member.id != self.own.id && !members.iter().any(|m| m.id == member.id) {
                members.push(*member);
            }
        }
        members
    }

    fn ping(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        if now < self.next_ping {
            return;
        }
        self.next_ping = now + PING_EVERY;
        let answered = self.rounds.confirmed_at().unwrap_or(self.began);
        let position = self.in_force.as_ref().map(EpochRecord::position).unwrap_or_default();
        let round = self.rounds.begin(now, self.own.id, self.in_force.as_ref());
        // Without a majority the others are to elect; members it can still reach are asked all the same, but rarely.
        if now.saturating_sub(answered) > DEPOSED_AFTER {
            self.next_ping = now + DEPOSED_AFTER;
        }
        for member in self.audience() {
            let message = ReplicationMessage::Ping { term: self.term, round, position };
            actions.push(ReplicaAction::Send { to: member.address, addressee: None, message });
        }
    }

    fn send_proposal(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        let audience = self.audience();
        let Some(proposal) = &mut self.proposal else { return };
        if proposal.sent_at.is_some_and(|at| now.saturating_sub(at) < RESEND_AFTER) {
            return;
        }
        proposal.sent_at = Some(now);
        for member in audience.iter().filter(|m| !proposal.accepted.contains(&m.id)) {
            let message = ReplicationMessage::Accept { record: proposal.record.clone() };
            actions.push(ReplicaAction::Send { to: member.address, addressee: None, message });
        }
    }

    fn send_state(
        &mut self,
        now: Duration,
        member: Member,
        state: &Arc<ReplicatedState>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        self.sent.insert(member.id, (state.version, now));
        let message = ReplicationMessage::Replicate { term: self.term, state: state.clone() };
        actions.push(ReplicaAction::Send { to: member.address, addressee: None, message });
    }

    fn resend_states(
        &mut self,
        now: Duration,
        record: &EpochRecord,
        state: &Arc<ReplicatedState>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if state.version.term != self.term {
            return;
        }
        let own = self.own.id;
        let patience = hand_over_patience(state, self.audience().len());
        for member in record.members.iter().filter(|m| m.id != own) {
            let has = self.synced.get(&member.id).copied().unwrap_or_default();
            if has < state.version && !self.is_under_way(now, member.id, patience) {
                self.send_state(now, *member, state, actions);
            }
        }
    }

    /// A state is committed once all have synced it that any record names that is, or may come, into force.
    fn commit(&mut self) {
        let Some(record) = &self.in_force else { return };
        let proposed = self.proposal.iter().flat_map(|p| &p.record.in_sync);
        let holders: BTreeSet<MemberId> = record.in_sync.iter().chain(proposed).copied().collect();
        let least = holders.iter().map(|id| self.synced.get(id).copied().unwrap_or_default()).min();
        let Some(least) = least.filter(|v| v.term == self.term) else { return };
        let mut later = self.uncommitted.split_off(&(least.index + 1));
        std::mem::swap(&mut later, &mut self.uncommitted);
        if let Some((_, state)) = later.pop_last() {
            self.committed = Some(state);
        }
    }

    fn was_heard_within(&self, now: Duration, id: MemberId, span: Duration) -> bool {
        let at = self.heard.get(&id).copied().unwrap_or(self.began);
        now.saturating_sub(at) < span
    }

    /// The next change of the record, one at a time: newcomers, members out of sync, members back in sync.
    fn propose_next(&mut self, now: Duration, record: &EpochRecord, state: &Arc<ReplicatedState>) {
        let next = self
            .settled(record)
            .or_else(|| self.shrunk(now, record))
            .or_else(|| self.grown(now, record, state))
            .or_else(|| self.with_newcomer(now, record));
        if let Some(mut next) = next {
            next.sequence = record.sequence + 1;
            if self.mutation.shrinks_without_quorum(record, &next) {
                self.in_force = Some(next);
                self.commit();
                return;
            }
            self.proposal = Some(Proposal { record: next, accepted: BTreeSet::new(), sent_at: None });
        }
    }

    /// A change of members is in force: from now on the new members alone decide.
    fn settled(&self, record: &EpochRecord) -> Option<EpochRecord> {
        (record.previous_members != record.members)
            .then(|| EpochRecord { previous_members: record.members.clone(), ..record.clone() })
    }

    fn shrunk(&self, now: Duration, record: &EpochRecord) -> Option<EpochRecord> {
        if record.in_sync.len() <= self.mutation.min_in_sync(self.min_in_sync) {
            return None;
        }
        let all = u32::try_from(record.members.len()).unwrap_or(u32::MAX);
        let owed_since =
            self.newest.as_ref().map(|(state, at)| (state.version, *at + state.transfer_time() * all));
        let lags = |id: &MemberId| {
            let patience = if self.heard.contains_key(id) { OUT_OF_SYNC_AFTER } else { NEVER_HEARD };
            let silent = !self.was_heard_within(now, *id, patience);
            let owes = owed_since.is_some_and(|(version, at)| {
                self.synced.get(id).copied().unwrap_or_default() < version
                    && now.saturating_sub(at) > OUT_OF_SYNC_AFTER
            });
            *id != self.own.id && (silent || owes)
        };
        let laggard = *record.in_sync.iter().find(|id| lags(id))?;
        let mut next = record.clone();
        next.in_sync.remove(&laggard);
        Some(next)
    }

    fn grown(
        &self,
        now: Duration,
        record: &EpochRecord,
        state: &Arc<ReplicatedState>,
    ) -> Option<EpochRecord> {
        let caught_up = |member: &&Member| {
            let synced = self.synced.get(&member.id).copied().unwrap_or_default();
            !record.in_sync.contains(&member.id)
                && synced >= state.version
                && state.version.term == self.term
                && self.was_heard_within(now, member.id, HEARD_LATELY)
        };
        let member = record.members.iter().find(caught_up)?;
        let mut next = record.clone();
        next.in_sync.insert(member.id);
        Some(next)
    }

    fn with_newcomer(&mut self, now: Duration, record: &EpochRecord) -> Option<EpochRecord> {
        self.joiners
            .retain(|id, j| now.saturating_sub(j.asked_at) < JOINER_LATELY && record.member(*id).is_none());
        let joiner = self.joiners.values().next()?;
        let at_same_address = record.members.iter().find(|m| m.address == joiner.member.address);
        let leaves = match at_same_address {
            Some(former) => Some(*former),
            None if joiner.bootstrapping => None,
            None => match self.longest_silent(now, record) {
                None if self.lacks_members(now, record) => None,
                None => return None,
                silent => silent,
            },
        };
        let mut next = record.clone();
        if let Some(former) = self.mutation.member_to_remove(leaves) {
            next.members.retain(|m| m.id != former.id);
            next.in_sync.remove(&former.id);
            if next.in_sync.len() < self.mutation.min_in_sync(self.min_in_sync) {
                return None;
            }
        }
        next.members.push(joiner.member);
        next.in_sync.extend(self.mutation.unsynced_member_to_admit(joiner.member.id));
        next.previous_members.clone_from(&record.members);
        Some(next)
    }

    /// Whether a newcomer takes nobody's place: there are fewer members than bear the losses that are to be borne, and all
    /// of them have been heard just now. One that may be gone is waited for, since its place is the one to take.
    fn lacks_members(&self, now: Duration, record: &EpochRecord) -> bool {
        let heard =
            |m: &Member| self.heard.get(&m.id).is_some_and(|at| now.saturating_sub(*at) < HEARD_LATELY);
        let few = record.members.len() < 2 * self.min_in_sync - 1;
        few && record.members.iter().all(|m| m.id == self.own.id || heard(m))
    }

    fn longest_silent(&self, now: Duration, record: &EpochRecord) -> Option<Member> {
        let others = record.members.iter().filter(|m| m.id != self.own.id);
        others
            .filter(|m| !self.was_heard_within(now, m.id, REPLACE_AFTER))
            .min_by_key(|m| self.heard.get(&m.id).copied().unwrap_or(self.began))
            .copied()
    }
}

/// How long a state may be on its way to one of so many members before it is sent again.
fn hand_over_patience(state: &ReplicatedState, members: usize) -> Duration {
    RESEND_AFTER + state.transfer_time() * u32::try_from(members).unwrap_or(u32::MAX)
}
