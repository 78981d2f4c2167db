//! The decider of dissemination: broadcasts for speed, anti-entropy for whatever a broadcast missed.
//!
//! [`Gossip`] owns the state; each concern is a module with the part of the state that it alone changes:
//! [`exchange`] (digests, anti-entropy), [`configuration`] (announce, fetch, transfer), [`freshness`], [`core_contact`],
//! [`announcements`] (confirmations by the core), [`pending_requests`] and [`timers`].

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

/// Peers that each sidecar sends a change to when it learns of it.
const BROADCAST_FANOUT: usize = 4;

/// What the decider has to know from the start.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// Address of this sidecar for internal messages.
    pub own_address: SocketAddrV4,
    /// Addresses of the seeds for internal messages.
    pub seeds: Vec<SocketAddrV4>,
    /// Interval of an endpoint's heartbeats.
    pub heartbeat_interval: Duration,
    /// Whether this sidecar takes configurations as deltas. Only the cluster simulation turns it off, for sidecars that run
    /// an earlier build.
    pub accepts_deltas: bool,
    /// Seed of this sidecar's random choices.
    pub random_seed: u64,
    /// A broken version, in simulations only; the default is none.
    pub mutation: ActiveMutation,
}

/// The decider. It does no I/O and reads no clock: `now` is the time since the process started, and what is to be done comes
/// out as [`GossipAction`]s.
pub struct Gossip {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    rng: ChaCha8Rng,
    view: PartialView,
    restored_peers: RestoredPeers,
    registry: Registry,
    /// The latest known location of the core; never replaced by an earlier record.
    core: Option<CoreHint>,
    configuration: ConfigurationState,
    freshness: Freshness,
    requests: PendingRequests,
    announcements: PendingAnnouncements,
    timers: Timers,
}

impl Gossip {
    /// A sidecar that knows nothing but its seeds.
    pub fn new(settings: GossipSettings) -> Self {
        Gossip {
            own: settings.own_address,
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

    /// The endpoint registry.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The partial view of the fleet.
    pub fn view(&self) -> &PartialView {
        &self.view
    }

    /// Where the core is, if known.
    pub fn core(&self) -> Option<&CoreHint> {
        self.core.as_ref()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&CommittedConfiguration> {
        self.configuration.current()
    }

    /// The configuration in force contains everything that was acknowledged before this time.
    pub fn fresh_at(&self) -> Option<Duration> {
        self.freshness.fresh_at()
    }

    /// Loads the endpoints that were persisted before a restart.
    pub fn restore_endpoints(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        self.registry.restore(now, records);
    }

    /// Contacts the peers that were persisted before a restart, for a while.
    pub fn restore_peers(&mut self, now: Duration, peers: Vec<SocketAddrV4>) {
        let own = self.own;
        let others = peers.into_iter().filter(|peer| *peer != own).collect();
        self.restored_peers = RestoredPeers::new(now, others);
    }

    /// The peers to persist for the next restart: those of the view, and restored ones that may yet respond. In the order of
    /// addresses.
    pub fn known_peers(&self) -> BTreeSet<SocketAddrV4> {
        self.view.addresses().chain(self.restored_peers.addresses()).collect()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Takes what the local member of the core has committed, and as of when that is known to contain everything
    /// acknowledged. Also confirms announcements made before then.
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
        // All other sidecars ask the primary, so what it knows itself is known to the core.
        self.announcements.confirm(context, |pending| fresh_at >= Some(pending.announced_at));
    }

    /// Polls the core until a member, in contact with a majority since now, knows what is known here of an endpoint.
    /// [`GossipAction::AnnouncementConfirmed`] reports it; it may never come.
    pub fn announce(&mut self, now: Duration, endpoint: &str) -> AnnouncementId {
        let announcement = self.announcements.add(now, endpoint);
        self.timers.expedite_core_poll(now);
        announcement
    }

    /// Takes a heartbeat that an endpoint sent to this sidecar.
    pub fn heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat, actions: &mut Vec<GossipAction>) {
        let changed = self.registry.heartbeat(now, heartbeat);
        self.broadcast_records(&mut Context::new(now, actions), changed);
    }

    /// Removes an endpoint that has ended as planned.
    pub fn deregister(&mut self, now: Duration, id: &str, actions: &mut Vec<GossipAction>) {
        let changed = self.registry.deregister(now, id);
        self.broadcast_records(&mut Context::new(now, actions), changed);
    }

    /// Advances three timers to `now`: the exchange with a random peer, the poll of the core and the check for expired
    /// endpoints, in this order. Returns when the next is due.
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

    /// Takes in a message from another sidecar.
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
