//! Everything that one process decides about the fleet: dissemination, replication where it counts, orders of the
//! operators, quota grants. The program and the simulation drive the same coordinator.

mod calls;

use crate::load::{LoadMessage, LoadTotals};
use crate::messages::{Action, CallId, Envelope, Message, OperatorMessage, OperatorRequest};
use crate::quota::{Grantor, QuotaBounds, QuotaMessage, ReportedLevels};
use crate::replication::{
    DurableState, Member, MemberId, NonVotingSeed, Replica, ReplicaAction, ReplicaSettings, ReplicatedState,
    ReplicationEnvelope, ReplicationMessage, WriteId,
};
use calls::{Call, Caller};
use passrelay_configuration::{parse_document, Configuration};
use passrelay_dissemination::{
    Announcement, CommittedConfiguration, EndpointLoad, EndpointRecord, EndpointState, Gossip, GossipAction,
    GossipSettings, Heartbeat, Incarnation, Peer,
};
use serde::Serialize;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Pause between accounts of the quota buckets to the other members.
const TELL_LEVELS_EVERY: Duration = Duration::from_millis(100);

/// What a coordinator has to know from the start.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// For dissemination.
    pub gossip: GossipSettings,
    /// For replication, on machines that count, with what the disk holds.
    pub replica: Option<(ReplicaSettings, DurableState)>,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Whether this machine counts; its replica may still be to come, once the disk is open.
    pub counts: bool,
    /// Counted machines that may be lost at one time.
    pub tolerated_losses: usize,
    /// How far quotas may be overshot.
    pub quota_bounds: QuotaBounds,
}

/// A short account of what this process knows, for operators and logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Generation in force here; 0 before the first.
    pub generation: u64,
    /// Position of that configuration among all committed changes.
    pub index: u64,
    /// How long ago it was known to be the newest, in ms.
    pub fresh_age_ms: Option<u64>,
    /// Term of the newest epoch record known.
    pub term: u64,
    /// The primary, as far as known.
    pub primary: Option<SocketAddrV4>,
    /// The members of the core, as far as known.
    pub members: Vec<SocketAddrV4>,
    /// Whether this process is the established primary.
    pub leads: bool,
    /// Sidecars known here.
    pub peers: usize,
    /// Endpoints known here that are not gone.
    pub endpoints: usize,
    /// Answers that were dropped because an earlier process at this address had asked.
    pub answers_dropped: u64,
}

/// The deciders of one process.
pub struct Coordinator {
    own: Peer,
    gossip: Gossip,
    replica: Option<Replica>,
    /// Before the system is founded, on a seed that doesn't count.
    non_voting_seed: Option<NonVotingSeed>,
    quota_bounds: QuotaBounds,
    grantor: Option<Grantor>,
    /// What the grantor last told of its buckets, on members.
    reported_levels: Option<ReportedLevels>,
    next_levels: Duration,
    load_sums: LoadTotals,
    calls: Vec<Call>,
    answers_dropped: u64,
}

impl Coordinator {
    /// The deciders of a process that starts now.
    pub fn new(now: Duration, settings: CoordinatorSettings) -> Self {
        let own = Peer { address: settings.gossip.own, incarnation: settings.incarnation };
        let non_voting_seed =
            NonVotingSeed::new(own.address, &settings.gossip.seeds, settings.tolerated_losses);
        Coordinator {
            own,
            gossip: Gossip::new(settings.gossip),
            replica: settings.replica.map(|(replica, durable)| Replica::new(now, replica, durable)),
            non_voting_seed: non_voting_seed.filter(|_| !settings.counts),
            quota_bounds: settings.quota_bounds,
            grantor: None,
            reported_levels: None,
            next_levels: Duration::ZERO,
            load_sums: LoadTotals::default(),
            calls: Vec::new(),
            answers_dropped: 0,
        }
    }

    /// Dissemination.
    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// Replication, on machines that count.
    pub fn replica(&self) -> Option<&Replica> {
        self.replica.as_ref()
    }

    /// The disk of a machine that counts is open: from now on it takes part in replication.
    pub fn attach_replica(&mut self, now: Duration, settings: ReplicaSettings, durable: DurableState) {
        self.replica = Some(Replica::new(now, settings, durable));
    }

    /// Takes in the endpoints that were known before a restart.
    pub fn restore_endpoints(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        self.gossip.restore_endpoints(now, records);
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.gossip.set_seeds(seeds);
    }

    /// A short account.
    pub fn status(&self, now: Duration) -> Status {
        let configuration = self.gossip.configuration();
        let age = self.gossip.fresh_at().map(|at| now.saturating_sub(at));
        let core = self.gossip.core();
        let alive = |r: &&EndpointRecord| r.state != EndpointState::Removed;
        Status {
            generation: configuration.map_or(0, |c| c.generation),
            index: configuration.map_or(0, |c| c.index),
            fresh_age_ms: age.and_then(|a| u64::try_from(a.as_millis()).ok()),
            term: core.map_or(0, |c| c.term),
            primary: core.map(|c| c.primary),
            members: core.map(|c| c.members.clone()).unwrap_or_default(),
            leads: self.replica.as_ref().is_some_and(Replica::is_established),
            peers: self.gossip.view().len(),
            endpoints: self.gossip.registry().records().filter(alive).count(),
            answers_dropped: self.answers_dropped,
        }
    }

    /// Does what is due. Returns when to call again.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) -> Duration {
        let mut due = now + Duration::from_millis(100);
        let mut gossip_actions = Vec::new();
        due = due.min(self.gossip.tick(now, &mut gossip_actions));
        self.carry_gossip(gossip_actions, actions);
        if let Some(replica) = &mut self.replica {
            replica.observe_core(self.gossip.core());
            let mut replica_actions = Vec::new();
            due = due.min(replica.tick(now, &mut replica_actions));
            self.carry_replica(replica_actions, actions);
        }
        self.found(now, actions);
        self.after_progress(now, actions);
        self.report_levels(now, actions);
        due
    }

    /// Takes in a message. What answers a question of an earlier process at this address is dropped.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        envelope: Envelope,
        actions: &mut Vec<Action>,
    ) {
        if !envelope.is_for(self.own.incarnation) {
            self.answers_dropped += 1;
            return;
        }
        let from = Peer { address: from, incarnation: envelope.sender };
        match envelope.message {
            Message::Gossip(message) => {
                let mut gossip_actions = Vec::new();
                self.gossip.receive(now, from, message, &mut gossip_actions);
                self.carry_gossip(gossip_actions, actions);
            }
            Message::Replication(envelope) => {
                self.receive_replication(now, from.incarnation, envelope, actions);
            }
            Message::Quota(message) => self.receive_quota(now, from, message, actions),
            Message::Load(message) => self.receive_load(now, from, message, actions),
            Message::Operator(OperatorMessage::Call { call, request }) => {
                self.take_call(now, Caller::Remote(from, call), request, actions);
            }
            Message::Operator(OperatorMessage::Answer { call, answer }) => {
                self.answer_local(call, answer, actions);
            }
        }
        self.after_progress(now, actions);
    }

    /// A write has ended.
    pub fn written(&mut self, now: Duration, write_id: WriteId, succeeded: bool, actions: &mut Vec<Action>) {
        if let Some(replica) = &mut self.replica {
            let mut replica_actions = Vec::new();
            replica.written(now, write_id, succeeded, &mut replica_actions);
            self.carry_replica(replica_actions, actions);
        }
        self.after_progress(now, actions);
    }

    /// An operator's call. Its answer comes as [`Action::Answer`], within a second.
    pub fn operator_call(
        &mut self,
        now: Duration,
        call: CallId,
        request: OperatorRequest,
        actions: &mut Vec<Action>,
    ) {
        self.take_call(now, Caller::Local(call), request, actions);
        self.after_progress(now, actions);
    }

    /// An endpoint's heartbeat.
    pub fn heartbeat(&mut self, now: Duration, beat: &Heartbeat, actions: &mut Vec<Action>) {
        let mut gossip_actions = Vec::new();
        self.gossip.heartbeat(now, beat, &mut gossip_actions);
        self.carry_gossip(gossip_actions, actions);
    }

    /// An endpoint has ended as planned.
    pub fn leave(&mut self, now: Duration, id: &str, actions: &mut Vec<Action>) {
        let mut gossip_actions = Vec::new();
        self.gossip.leave(now, id, &mut gossip_actions);
        self.carry_gossip(gossip_actions, actions);
    }

    /// Has the core confirm that it knows what is known here of an endpoint. [`Action::AnnouncementConfirmed`] tells when.
    pub fn announce(&mut self, now: Duration, endpoint: &str) -> Announcement {
        self.gossip.announce(now, endpoint)
    }

    /// A question for tokens, to whoever grants them now.
    pub fn request_tokens(&mut self, now: Duration, message: QuotaMessage, actions: &mut Vec<Action>) {
        let Some(primary) = self.gossip.core().map(|c| c.primary) else { return };
        if primary == self.own.address {
            self.receive_quota(now, self.own, message, actions);
        } else {
            actions.push(self.send(primary, Message::Quota(message)));
        }
    }

    /// Tells the primary what this sidecar has out.
    pub fn report_load(
        &mut self,
        now: Duration,
        request_id: u64,
        loads: Vec<EndpointLoad>,
        actions: &mut Vec<Action>,
    ) {
        let Some(primary) = self.gossip.core().map(|c| c.primary) else { return };
        let message = LoadMessage::Report { request_id, loads };
        if primary == self.own.address {
            self.receive_load(now, self.own, message, actions);
        } else {
            actions.push(self.send(primary, Message::Load(message)));
        }
    }

    fn receive_load(&mut self, now: Duration, from: Peer, message: LoadMessage, actions: &mut Vec<Action>) {
        let LoadMessage::Report { request_id, loads } = message else {
            actions.push(Action::LoadTotals(message));
            return;
        };
        if !self.replica.as_ref().is_some_and(Replica::is_established) {
            return;
        }
        let sums = self.load_sums.tell(now, from.address, request_id, loads);
        if from.address == self.own.address {
            actions.push(Action::LoadTotals(sums));
        } else {
            actions.push(self.answer_to(from, Message::Load(sums)));
        }
    }

    /// Sends something that is no answer.
    fn send(&self, to: SocketAddrV4, message: Message) -> Action {
        self.send_for(to, None, message)
    }

    /// Answers the process that asked.
    fn answer_to(&self, asker: Peer, message: Message) -> Action {
        self.send_for(asker.address, Some(asker.incarnation), message)
    }

    fn send_for(&self, to: SocketAddrV4, addressee: Option<Incarnation>, message: Message) -> Action {
        Action::Send { to, envelope: Envelope { sender: self.own.incarnation, addressee, message } }
    }

    fn carry_gossip(&self, from: Vec<GossipAction>, actions: &mut Vec<Action>) {
        actions.extend(from.into_iter().map(|action| match action {
            GossipAction::Send { to, addressee, message } => {
                self.send_for(to, addressee, Message::Gossip(message))
            }
            GossipAction::Configured(configuration) => Action::Configured(configuration),
            GossipAction::AnnouncementConfirmed(announcement) => Action::AnnouncementConfirmed(announcement),
        }));
    }

    fn carry_replica(&self, from: Vec<ReplicaAction>, actions: &mut Vec<Action>) {
        let nobody = Member { id: MemberId::NOBODY, address: self.own.address };
        let sender = self.replica.as_ref().map_or(nobody, Replica::own);
        actions.extend(from.into_iter().map(|action| match action {
            ReplicaAction::Send { to, addressee, message } => {
                self.send_for(to, addressee, Message::Replication(ReplicationEnvelope { sender, message }))
            }
            ReplicaAction::Write { write_id, write } => Action::Write { write_id, write },
        }));
    }

    fn receive_replication(
        &mut self,
        now: Duration,
        sender: Incarnation,
        envelope: ReplicationEnvelope,
        actions: &mut Vec<Action>,
    ) {
        let mut replica_actions = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.receive(now, sender, envelope, &mut replica_actions);
        } else if let Some(seed) = &mut self.non_voting_seed {
            match envelope.message {
                ReplicationMessage::Present { member } => {
                    seed.handle_present(now, member, &mut replica_actions)
                }
                ReplicationMessage::NonVotingSeed { address } => seed.handle_non_voting_seed(address),
                _ => {}
            }
        }
        self.carry_replica(replica_actions, actions);
    }

    /// Lets a seed that doesn't count do its part until the core is known.
    fn found(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.gossip.core().is_some() {
            self.non_voting_seed = None;
        }
        let Some(seed) = &mut self.non_voting_seed else { return };
        let mut replica_actions = Vec::new();
        seed.tick(now, &mut replica_actions);
        self.carry_replica(replica_actions, actions);
    }

    fn receive_quota(&mut self, now: Duration, from: Peer, message: QuotaMessage, actions: &mut Vec<Action>) {
        let (request_id, wanted, overdrawn) = match message {
            QuotaMessage::Request { request_id, wanted, overdrawn } => (request_id, wanted, overdrawn),
            QuotaMessage::Grant { .. } => {
                actions.push(Action::QuotaGranted(message));
                return;
            }
            QuotaMessage::Levels(levels) => {
                let newer = self.reported_levels.as_ref().is_none_or(|t| t.levels.term <= levels.term);
                if newer && self.replica.is_some() {
                    self.reported_levels = Some(ReportedLevels { levels, at: now });
                }
                return;
            }
        };
        let confirmed_at = self
            .replica
            .as_ref()
            .and_then(|replica| replica.mutation().grant_confirmation_time(now, replica.confirmed_at()));
        let Some(grantor) = &mut self.grantor else { return };
        grantor.set_sidecar_count(self.load_sums.sidecars().max(self.gossip.view().len() + 1));
        let Some(granted) = grantor.grant(now, confirmed_at, from.address, &wanted, &overdrawn) else {
            return;
        };
        let grant = QuotaMessage::Grant { request_id, term: grantor.term(), granted };
        if from.address == self.own.address {
            actions.push(Action::QuotaGranted(grant));
        } else {
            actions.push(self.answer_to(from, Message::Quota(grant)));
        }
    }

    /// Tells the other members how full the buckets are, so that whoever follows as grantor goes on from there.
    fn report_levels(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.next_levels {
            return;
        }
        let Some(grantor) = &mut self.grantor else { return };
        self.next_levels = now + TELL_LEVELS_EVERY;
        let levels = grantor.levels(now);
        let members = self.gossip.core().map(|core| core.members.as_slice()).unwrap_or_default();
        for to in members.iter().filter(|member| **member != self.own.address) {
            actions.push(self.send(*to, Message::Quota(QuotaMessage::Levels(levels.clone()))));
        }
    }

    /// After anything that may have moved the replica: tell what is committed, keep the grantor, answer calls.
    fn after_progress(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.replica.is_some() {
            self.publish(now, actions);
        }
        self.advance_calls(now, actions);
    }

    fn publish(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(replica) = &self.replica else { return };
        if let Some(hint) = replica.core_hint() {
            self.gossip.observe_core(hint);
        }
        let Some(committed) = replica.committed().filter(|_| replica.is_established()).cloned() else {
            self.reported_levels = last_levels(&mut self.grantor, now).or(self.reported_levels.take());
            return;
        };
        let committed = replica.mutation().state_to_publish(committed, replica.state());
        let configuration = committed.document.clone().map(|document| CommittedConfiguration {
            index: committed.version.index,
            generation: committed.generation,
            document,
        });
        let before = self.gossip.configuration().map_or(0, |c| c.index);
        let mut gossip_actions = Vec::new();
        self.gossip.committed(now, configuration.as_ref(), replica.confirmed_at(), &mut gossip_actions);
        let term = committed.version.term;
        let current = self.grantor.as_ref().is_some_and(|g| g.term() == term);
        if !current {
            self.reported_levels = last_levels(&mut self.grantor, now).or(self.reported_levels.take());
            let since = replica.leads_since().unwrap_or(now);
            self.grantor = Some(Grantor::new(since, term, self.quota_bounds, self.reported_levels.as_ref()));
        }
        if !current || before != committed.version.index {
            self.configure_grantor(now, &committed);
        }
        self.carry_gossip(gossip_actions, actions);
    }

    fn configure_grantor(&mut self, now: Duration, committed: &ReplicatedState) {
        let document = committed.document.as_deref().and_then(|d| parse_document(d.as_bytes()).ok());
        let configuration = document.and_then(|d| Configuration::read(&d).ok());
        if let (Some(grantor), Some(configuration)) = (&mut self.grantor, configuration) {
            grantor.configure(now, &configuration);
        }
    }
}

/// The levels of a grantor that grants no more; if this process is the next to grant, it goes on from there.
fn last_levels(grantor: &mut Option<Grantor>, now: Duration) -> Option<ReportedLevels> {
    let mut grantor = grantor.take()?;
    Some(ReportedLevels { levels: grantor.levels(now), at: now })
}
