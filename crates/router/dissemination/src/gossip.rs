//! The dissemination state machine: broadcasts spread changes quickly, anti-entropy repairs what broadcasts missed.
//!
//! [`Gossip`] owns the state. Each concern is a module; those with state of their own are the only ones to modify it:
//! [`exchange`] (digests, anti-entropy), [`configuration`] (announce, fetch, transfer), [`freshness`], [`core_contact`],
//! [`announcements`] (confirmations by the core), [`pending_requests`], [`restored_peers`] and [`timers`].

mod actions;
mod announcements;
mod configuration;
mod core_contact;
mod exchange;
mod freshness;
mod pending_requests;
mod restored_peers;
mod timers;

pub use actions::GossipAction;
pub use announcements::AnnouncementId;

use crate::messages::{CommittedConfiguration, CoreHint, GossipMessage};
use crate::mutation::ActiveMutation;
use crate::partial_view::PartialView;
use crate::peer::Peer;
use crate::registry::{EndpointRecord, Heartbeat, Registry};
use actions::Context;
use announcements::PendingAnnouncements;
use configuration::ConfigurationState;
use freshness::Freshness;
use pending_requests::PendingRequests;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use restored_peers::RestoredPeers;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use timers::Timers;

/// Number of random peers to which a sidecar forwards a change that it learns of.
const BROADCAST_FANOUT: usize = 4;

/// Settings of a [`Gossip`] instance.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// Internal address of this sidecar.
    pub own_address: SocketAddrV4,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddrV4>,
    /// Interval at which an endpoint sends heartbeats.
    pub heartbeat_interval: Duration,
    /// Whether this sidecar accepts configurations as deltas. Only the cluster simulation disables this, to model sidecars
    /// that run an earlier build.
    pub accepts_deltas: bool,
    /// Seed of the random number generator for peer selection and samples.
    pub random_seed: u64,
    /// Fault to inject, in simulations only; none by default.
    pub mutation: ActiveMutation,
}

/// The dissemination state machine of one sidecar. It performs no I/O and reads no clock: the caller passes the time since the
/// process started as `now` and executes the emitted [`GossipAction`]s.
pub struct Gossip {
    own_address: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    rng: ChaCha8Rng,
    view: PartialView,
    restored_peers: RestoredPeers,
    registry: Registry,
    /// Latest known location of the core; never replaced by that of an earlier epoch record.
    core: Option<CoreHint>,
    configuration: ConfigurationState,
    freshness: Freshness,
    requests: PendingRequests,
    announcements: PendingAnnouncements,
    timers: Timers,
}

impl Gossip {
    /// Creates the state of a sidecar that knows only its seeds.
    pub fn new(settings: GossipSettings) -> Self {
        Gossip {
            own_address: settings.own_address,
            view: PartialView::new(settings.own_address),
            restored_peers: RestoredPeers::default(),
            seeds: settings.seeds,
            rng: ChaCha8Rng::seed_from_u64(settings.random_seed),
            registry: Registry::new(settings.heartbeat_interval),
            core: None,
            configuration: ConfigurationState::new(settings.accepts_deltas),
            freshness: Freshness::new(settings.mutation),
            requests: PendingRequests::default(),
            announcements: PendingAnnouncements::default(),
            timers: Timers::default(),
        }
    }

    /// Returns the endpoint registry.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the partial view of the fleet.
    pub fn view(&self) -> &PartialView {
        &self.view
    }

    /// Returns the location of the core, if known.
    pub fn core(&self) -> Option<&CoreHint> {
        self.core.as_ref()
    }

    /// Returns the configuration in force, or `None` before the first one has arrived.
    pub fn configuration(&self) -> Option<&CommittedConfiguration> {
        self.configuration.current()
    }

    /// Returns the time as of which the configuration in force is known to contain every acknowledged change, or `None` if that
    /// is not known.
    pub fn fresh_at(&self) -> Option<Duration> {
        self.freshness.fresh_at()
    }

    /// Restores the endpoints that were persisted before a restart.
    pub fn restore_endpoints(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        self.registry.restore(now, records);
    }

    /// Restores the peers that were persisted before a restart; they are contacted for a limited time.
    pub fn restore_peers(&mut self, now: Duration, peers: Vec<SocketAddrV4>) {
        let own_address = self.own_address;
        let others = peers.into_iter().filter(|peer| *peer != own_address).collect();
        self.restored_peers = RestoredPeers::new(now, others);
    }

    /// Returns the peers to persist for the next restart, ordered by address: those in the view, and restored peers that may
    /// still respond.
    pub fn known_peers(&self) -> BTreeSet<SocketAddrV4> {
        self.view.addresses().chain(self.restored_peers.addresses()).collect()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Applies the configuration that the local member of the core has committed. `fresh_at` is the time as of which it is known
    /// to contain every acknowledged change; announcements made by then are confirmed.
    pub fn observe_committed(
        &mut self,
        now: Duration,
        configuration: Option<&CommittedConfiguration>,
        fresh_at: Option<Duration>,
        actions: &mut Vec<GossipAction>,
    ) {
        let context = &mut Context::new(now, actions);
        if let Some(configuration) = configuration {
            self.apply_committed(context, configuration.clone());
        }
        let index = configuration.map_or(0, |configuration| configuration.index);
        if index <= self.configuration.index() {
            self.freshness.advance(fresh_at);
        }
        // All other sidecars poll the primary, so whatever this member knows is known to the core.
        self.announcements.confirm(context, |pending| fresh_at >= Some(pending.announced_at));
    }

    /// Polls the core until a member that has been in contact with a majority since `now` agrees with the local record of an
    /// endpoint. [`GossipAction::AnnouncementConfirmed`] reports the confirmation, which may never arrive.
    pub fn announce(&mut self, now: Duration, endpoint: &str) -> AnnouncementId {
        let announcement = self.announcements.add(now, endpoint);
        self.timers.expedite_core_poll(now);
        announcement
    }

    /// Processes a heartbeat that an endpoint sent to this sidecar.
    pub fn heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat, actions: &mut Vec<GossipAction>) {
        let changed = self.registry.heartbeat(now, heartbeat);
        self.broadcast_records(&mut Context::new(now, actions), changed);
    }

    /// Removes an endpoint that deregisters.
    pub fn deregister(&mut self, now: Duration, id: &str, actions: &mut Vec<GossipAction>) {
        let changed = self.registry.deregister(now, id);
        self.broadcast_records(&mut Context::new(now, actions), changed);
    }

    /// Fires the timers that are due at `now`: the exchange with a random peer, the poll of the core and the check for expired
    /// endpoints, in this order. Returns the time at which the next timer is due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<GossipAction>) -> Duration {
        let context = &mut Context::new(now, actions);
        if self.timers.fire_exchange(now) {
            self.view.expire(now);
            self.start_exchange(context);
        }
        if self.timers.is_core_poll_due(now) {
            self.poll_core(context);
        }
        if self.timers.fire_expiry_check(now) {
            let expired = self.registry.expire(now);
            self.broadcast_records(context, expired);
        }
        self.timers.next_due()
    }

    /// Processes a message from another sidecar.
    pub fn receive(
        &mut self,
        now: Duration,
        peer: Peer,
        message: GossipMessage,
        actions: &mut Vec<GossipAction>,
    ) {
        let context = &mut Context::new(now, actions);
        let from = peer.address;
        self.view.record_contact(now, from, &mut self.rng);
        self.restored_peers.record_contact(from);
        match message {
            GossipMessage::DigestRequest(digest) => self.respond_to_digest(context, peer, &digest),
            GossipMessage::DigestResponse { digest, fresh_age_ms } => {
                self.handle_digest_response(context, from, &digest, fresh_age_ms);
            }
            GossipMessage::Announce { index } => self.configuration.fetch_if_newer(context, from, index),
            GossipMessage::Fetch { have, accepts_deltas } => {
                self.configuration.transfer(context, from, have, accepts_deltas);
            }
            GossipMessage::Configuration(configuration) => self.apply_configuration(context, configuration),
            GossipMessage::ConfigurationDeltas(deltas) => {
                self.apply_configuration_deltas(context, from, &deltas);
            }
            GossipMessage::Records(records) => {
                let changed = self.registry.merge(now, records);
                self.broadcast_records(context, changed);
            }
        }
    }

    /// Broadcasts changed records to random peers.
    fn broadcast_records(&mut self, context: &mut Context, changed: Vec<EndpointRecord>) {
        if changed.is_empty() {
            return;
        }
        for peer in self.view.select(context.now, BROADCAST_FANOUT, &mut self.rng) {
            context.send(peer, GossipMessage::Records(changed.clone()));
        }
    }
}
