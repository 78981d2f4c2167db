//! The coordinator: composes the control plane of one process and provides the entry points for its driver.
//!
//! Every process takes part in dissemination; voters also take part in replication. The process whose replica is the
//! established primary also grants quota, controls rollouts and evaluates operator calls. The coordinator owns these
//! state machines, routes messages between them and hands committed state from replication to dissemination. It has no
//! clock, sockets or disk: the driver (the router's node, or the cluster simulation) passes in `now` and messages, and
//! executes the returned [`Action`]s in order. Consensus decisions are made only in
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
use operator_calls::{Caller, CoreView, OperatorCalls};
use passrelay_dissemination::{
    AnnouncementId, EndpointLoad, EndpointRecord, Gossip, GossipSettings, Heartbeat, Incarnation, Peer,
};
use quota_grantor::GrantorLifecycle;
use rollouts::ControllerLifecycle;
use std::net::SocketAddrV4;
use std::time::Duration;
use version_recorder::VersionRecorder;

/// The driver calls [`Coordinator::tick`] at least this often. This bounds the delay of the coordinator's own timers:
/// reports of bucket levels and timeouts of operator calls.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration of a [`Coordinator`], fixed for the life of the process.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Configuration of dissemination.
    pub gossip: GossipSettings,
    /// Configuration of replication and the recovered durable state. `None` on non-voters, and on voters whose disk is
    /// not open yet; see [`Coordinator::attach_replica`].
    pub replica: Option<(ReplicaSettings, DurableState)>,
    /// Identifies this process among all processes that have run at its address.
    pub incarnation: Incarnation,
    /// Whether this machine is a voter. Its replica may be attached later, once the disk is open.
    pub is_voter: bool,
    /// Number of voters that may be lost at the same time without losing a committed state.
    pub tolerated_losses: usize,
    /// How far the fleet may exceed a tenant's quota.
    pub quota_bounds: QuotaBounds,
    /// Whether a version of a service receives requests only after it was recorded or ordered. Otherwise endpoints of
    /// all versions are equivalent, unless the configuration sets a version. Operators can order rollouts only if this
    /// is set.
    pub records_versions: bool,
    /// Requests that a new version may receive before it is judged, in rollouts.
    pub exposure_bound: ExposureBound,
}

/// The control plane of one process.
pub struct Coordinator {
    own: Peer,
    gossip: Gossip,
    /// Present on voters, once their disk is open.
    replica: Option<Replica>,
    /// Present on a non-voting seed, until the core is known.
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
    /// Creates the control plane of a process that starts at `now`.
    pub fn new(now: Duration, settings: CoordinatorSettings) -> Self {
        let own = Peer { address: settings.gossip.own_address, incarnation: settings.incarnation };
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

    /// Returns the state of dissemination.
    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// Returns the replica of a voter whose disk is open; `None` on other processes.
    pub fn replica(&self) -> Option<&Replica> {
        self.replica.as_ref()
    }

    /// Starts the replica of a voter once its disk is open. Before that, the process takes no part in replication.
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

    /// Advances all timers to `now`. Returns the time by which it has to be called again.
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

    /// Handles a message from the process at `from`. Drops responses to an earlier incarnation at this address.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        envelope: Envelope,
        actions: &mut Vec<Action>,
    ) {
        if !envelope.is_addressed_to(self.own.incarnation) {
            self.stale_responses_dropped += 1;
            return;
        }
        let mut context = Context::new(now, self.own, actions);
        let from = Peer { address: from, incarnation: envelope.sender };
        self.dispatch(from, envelope.message, &mut context);
        self.advance(&mut context);
    }

    /// Handles the end of the write `write_id`: it is durable if `succeeded` is true, otherwise it failed.
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

    /// Handles an operator call received by this process. It is answered exactly once, by [`Action::Answer`], within a
    /// second.
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

    /// Handles a heartbeat of an endpoint.
    pub fn heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat, actions: &mut Vec<Action>) {
        let mut context = Context::new(now, self.own, actions);
        context.step_gossip(&mut self.gossip, |gossip, actions| gossip.heartbeat(now, heartbeat, actions));
    }

    /// Handles the graceful shutdown of the endpoint `id`.
    pub fn deregister(&mut self, now: Duration, id: &str, actions: &mut Vec<Action>) {
        let mut context = Context::new(now, self.own, actions);
        context.step_gossip(&mut self.gossip, |gossip, actions| gossip.deregister(now, id, actions));
    }

    /// Requests the core's acknowledgement of the record of `endpoint` known here. [`Action::AnnouncementConfirmed`]
    /// reports the acknowledgement.
    pub fn announce(&mut self, now: Duration, endpoint: &str) -> AnnouncementId {
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

    /// Sends a message to the primary, or handles it here if this process is the primary. Drops it while no primary is
    /// known.
    fn send_to_primary(&mut self, message: Message, context: &mut Context<'_>) {
        let Some(primary) = self.gossip.core().map(|core| core.primary) else { return };
        if primary == self.own.address {
            self.dispatch(self.own, message, context);
        } else {
            context.send(primary, message);
        }
    }

    fn submit_operator_call(&mut self, caller: Caller, request: OperatorRequest, context: &mut Context<'_>) {
        let core = CoreView::new(self.replica.as_mut(), &self.gossip, &self.rollouts);
        self.operator_calls.submit(core, caller, request, context);
    }

    /// Advances everything that depends on the replica. Runs after every event that may have changed it. Publication
    /// goes first, so that gossip and the grantor use the committed state before an operator receives its
    /// acknowledgement.
    fn advance(&mut self, context: &mut Context<'_>) {
        self.publish(context);
        self.record_versions(context);
        self.advance_rollouts(context);
        let core = CoreView::new(self.replica.as_mut(), &self.gossip, &self.rollouts);
        self.operator_calls.advance(core, context);
    }
}
