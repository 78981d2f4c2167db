//! Composition of the control plane of one process, and the entry points that its driver calls.
//!
//! A process takes part in dissemination always, in replication if it is a voter, and grants quota and adjudicates
//! operator calls while its replica is the established primary. The coordinator owns these state machines, routes
//! messages between them and hands committed state from replication to dissemination. It has no clock, sockets or
//! disk: the driver (the router's node, or the cluster simulation) passes `now` and messages in and applies the
//! returned [`Action`]s in their order. It makes no consensus decision of its own; those are in
//! [`replication`](crate::replication).

mod bootstrap;
mod context;
mod load_reports;
mod operator_calls;
mod operator_outcome;
mod publication;
mod quota_grantor;
mod rollouts;
mod status;
mod version_recorder;

pub use status::Status;

use crate::load::{LoadMessage, LoadTotals};
use crate::messages::{Action, CallId, Envelope, Message, OperatorMessage, OperatorRequest};
use crate::quota::{QuotaBounds, QuotaMessage};
use crate::replication::{DurableState, NonVotingSeed, Replica, ReplicaSettings, WriteId};
use crate::rollout::ExposureBound;
use context::Context;
use operator_calls::{Caller, Core, OperatorCalls};
use passrelay_dissemination::{
    Announcement, EndpointLoad, EndpointRecord, Gossip, GossipSettings, Heartbeat, Incarnation, Peer,
};
use quota_grantor::GrantorLifecycle;
use rollouts::ControllerLifecycle;
use std::net::SocketAddrV4;
use std::time::Duration;
use version_recorder::VersionRecorder;

/// The driver calls [`Coordinator::tick`] at least this often. Bounds the delay of timers that the coordinator itself
/// owns: level reports and timeouts of operator calls.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration of a [`Coordinator`], fixed for the life of the process.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// For dissemination.
    pub gossip: GossipSettings,
    /// For replication: settings and recovered durable state. `None` on non-voters, and on voters whose disk is not
    /// open yet; see [`Coordinator::attach_replica`].
    pub replica: Option<(ReplicaSettings, DurableState)>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Whether this machine is a voter. Its replica may be attached later, once the disk is open.
    pub is_voter: bool,
    /// Number of voters that may be lost at the same time.
    pub tolerated_losses: usize,
    /// How far the fleet may exceed a tenant's quota.
    pub quota_bounds: QuotaBounds,
    /// Whether a version of a service gets requests only once it was recorded or ordered. Otherwise endpoints of all versions
    /// are alike, unless the configuration sets one.
    pub records_versions: bool,
    /// What a version may get before it is judged. Operators order roll-outs where versions are recorded.
    pub exposure_bound: ExposureBound,
}

/// The control plane of one process.
pub struct Coordinator {
    own: Peer,
    gossip: Gossip,
    /// On voters, once their disk is open.
    replica: Option<Replica>,
    /// On a non-voting seed, until the core is known.
    non_voting_seed: Option<NonVotingSeed>,
    quota: GrantorLifecycle,
    /// Load reports of all sidecars; current only on the established primary.
    load_totals: LoadTotals,
    operator_calls: OperatorCalls,
    versions: VersionRecorder,
    rollouts: ControllerLifecycle,
    /// Responses dropped because they were addressed to an earlier incarnation at this address.
    stale_responses_dropped: u64,
}

impl Coordinator {
    /// The control plane of a process that starts at `now`.
    pub fn new(now: Duration, settings: CoordinatorSettings) -> Self {
        let own = Peer { address: settings.gossip.own, incarnation: settings.incarnation };
        let non_voting_seed =
            NonVotingSeed::new(own.address, &settings.gossip.seeds, settings.tolerated_losses);
        Coordinator {
            own,
            gossip: Gossip::new(settings.gossip),
            replica: settings.replica.map(|(replica, durable)| Replica::new(now, replica, durable)),
            non_voting_seed: non_voting_seed.filter(|_| !settings.is_voter),
            quota: GrantorLifecycle::new(settings.quota_bounds),
            load_totals: LoadTotals::default(),
            operator_calls: OperatorCalls::default(),
            versions: VersionRecorder::new(settings.records_versions),
            rollouts: ControllerLifecycle::new(settings.records_versions.then_some(settings.exposure_bound)),
            stale_responses_dropped: 0,
        }
    }

    /// The state of dissemination.
    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// The replica, on voters whose disk is open.
    pub fn replica(&self) -> Option<&Replica> {
        self.replica.as_ref()
    }

    /// Starts the replica of a voter, once its disk is open. Until then the process takes no part in replication.
    pub fn attach_replica(&mut self, now: Duration, settings: ReplicaSettings, durable: DurableState) {
        self.replica = Some(Replica::new(now, settings, durable));
    }

    /// Restores the endpoint records that were persisted before a restart.
    pub fn restore_endpoints(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        self.gossip.restore_endpoints(now, records);
    }

    /// Contacts the peers that were persisted before a restart.
    pub fn restore_peers(&mut self, now: Duration, peers: Vec<SocketAddrV4>) {
        self.gossip.restore_peers(now, peers);
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.gossip.set_seeds(seeds);
    }

    /// Advances all timers to `now`. Returns the latest time of the next call.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) -> Duration {
        let mut context = Context::new(now, self.own, actions);
        let mut next_tick = now + MAX_TICK_INTERVAL;
        let gossip_tick = context.step_gossip(&mut self.gossip, |gossip, actions| gossip.tick(now, actions));
        next_tick = next_tick.min(gossip_tick);
        if let Some(replica) = &mut self.replica {
            replica.observe_core(self.gossip.core());
            let replica_tick = context.step_replica(replica, |replica, actions| replica.tick(now, actions));
            next_tick = next_tick.min(replica_tick);
        }
        self.tick_bootstrap(&mut context);
        self.advance(&mut context);
        self.quota.report_levels(self.gossip.core(), &mut context);
        next_tick
    }

    /// Handles a message from the process at `from`. A response to an earlier incarnation at this address is dropped.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        envelope: Envelope,
        actions: &mut Vec<Action>,
    ) {
        if !envelope.is_for(self.own.incarnation) {
            self.stale_responses_dropped += 1;
            return;
        }
        let mut context = Context::new(now, self.own, actions);
        let from = Peer { address: from, incarnation: envelope.sender };
        self.dispatch(from, envelope.message, &mut context);
        self.advance(&mut context);
    }

    /// Completion of the write `write_id`: synced if `succeeded`, otherwise failed.
    pub fn write_completed(
        &mut self,
        now: Duration,
        write_id: WriteId,
        succeeded: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut context = Context::new(now, self.own, actions);
        if let Some(replica) = &mut self.replica {
            context.step_replica(replica, |replica, actions| {
                replica.write_completed(now, write_id, succeeded, actions);
            });
        }
        self.advance(&mut context);
    }

    /// An operator call received by this process. Answered exactly once, by [`Action::Answer`], within a second.
    pub fn operator_call(
        &mut self,
        now: Duration,
        call: CallId,
        request: OperatorRequest,
        actions: &mut Vec<Action>,
    ) {
        let mut context = Context::new(now, self.own, actions);
        self.submit_operator_call(Caller::Local(call), request, &mut context);
        self.advance(&mut context);
    }

    /// A heartbeat of an endpoint.
    pub fn heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat, actions: &mut Vec<Action>) {
        let mut context = Context::new(now, self.own, actions);
        context.step_gossip(&mut self.gossip, |gossip, actions| gossip.heartbeat(now, heartbeat, actions));
    }

    /// The endpoint `id` has shut down gracefully.
    pub fn deregister(&mut self, now: Duration, id: &str, actions: &mut Vec<Action>) {
        let mut context = Context::new(now, self.own, actions);
        context.step_gossip(&mut self.gossip, |gossip, actions| gossip.deregister(now, id, actions));
    }

    /// Requests the core's acknowledgement of the record of `endpoint` known here;
    /// [`Action::AnnouncementConfirmed`] reports it.
    pub fn announce(&mut self, now: Duration, endpoint: &str) -> Announcement {
        self.gossip.announce(now, endpoint)
    }

    /// Sends a token request to the current grantor, the primary. Dropped while no primary is known.
    pub fn request_tokens(&mut self, now: Duration, message: QuotaMessage, actions: &mut Vec<Action>) {
        let mut context = Context::new(now, self.own, actions);
        self.send_to_primary(Message::Quota(message), &mut context);
    }

    /// Sends this sidecar's load report to the primary. Dropped while no primary is known.
    pub fn report_load(
        &mut self,
        now: Duration,
        request_id: u64,
        loads: Vec<EndpointLoad>,
        actions: &mut Vec<Action>,
    ) {
        let mut context = Context::new(now, self.own, actions);
        self.send_to_primary(Message::Load(LoadMessage::Report { request_id, loads }), &mut context);
    }

    /// Routes a message to the state machine that handles it.
    fn dispatch(&mut self, from: Peer, message: Message, context: &mut Context<'_>) {
        match message {
            Message::Gossip(message) => {
                let now = context.now();
                context.step_gossip(&mut self.gossip, |gossip, actions| {
                    gossip.receive(now, from, message, actions);
                });
            }
            Message::Replication(envelope) => {
                self.receive_replication(from.incarnation, envelope, context);
            }
            Message::Quota(message) => self.receive_quota(from, message, context),
            Message::Load(message) => self.receive_load(from, message, context),
            Message::Rollout(message) => self.receive_rollout(from, message, context),
            Message::Operator(OperatorMessage::Call { call, request }) => {
                self.submit_operator_call(Caller::Forwarded { origin: from, call }, request, context);
            }
            Message::Operator(OperatorMessage::Answer { call, answer }) => {
                self.operator_calls.complete_forwarded(call, answer, context);
            }
        }
    }

    /// Sends a message to the primary; handles it here where this process is the primary.
    fn send_to_primary(&mut self, message: Message, context: &mut Context<'_>) {
        let Some(primary) = self.gossip.core().map(|core| core.primary) else { return };
        if primary == self.own.address {
            self.dispatch(self.own, message, context);
        } else {
            context.send(primary, message);
        }
    }

    fn submit_operator_call(&mut self, caller: Caller, request: OperatorRequest, context: &mut Context<'_>) {
        let core = Core::new(self.replica.as_mut(), &self.gossip, &self.rollouts);
        self.operator_calls.submit(core, caller, request, context);
    }

    /// Runs after every event that may have moved the replica. Publication goes first, so that gossip and the grantor
    /// are at the committed state before an operator receives its acknowledgement.
    fn advance(&mut self, context: &mut Context<'_>) {
        self.publish(context);
        self.record_versions(context);
        self.advance_rollouts(context);
        let core = Core::new(self.replica.as_mut(), &self.gossip, &self.rollouts);
        self.operator_calls.advance(core, context);
    }
}
