//! Drives the coordinator of the control plane: hands it events and the time, and applies the actions that it
//! returns.
//!
//! The coordinator decides without I/O. This is the only place that mutates it, so that every change is
//! followed, before any other task runs, by its actions and by the update of what the request path reads:
//! endpoints and freshness.

use crate::clock::Clock;
use crate::data_plane::DataPlane;
use crate::endpoint_announcements::PendingAnnouncements;
use crate::endpoint_persistence::EndpointPersistence;
use crate::freshness::Freshness;
use crate::held_back_versions::HeldBackVersions;
use crate::load_reporter::LoadReporter;
use crate::logging::log_event;
use crate::operator_calls::PendingOperatorCalls;
use crate::peer_persistence::PeerPersistence;
use crate::storage::Storage;
use crate::transport::{ReceivedMessage, Transport};
use passrelay_control_plane::rollout::RolloutMessage;
use passrelay_control_plane::{Action, Coordinator, OperatorAnswer, OperatorRequest};
use passrelay_dissemination::AnnouncementId;
use smol::channel::Receiver;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// An announcement on its way to the core.
pub struct Confirmation {
    /// Which announcement.
    pub announcement: AnnouncementId,
    /// Notified once the core has confirmed it.
    pub confirmed: Receiver<()>,
}

/// What the coordinator's actions are applied to.
pub struct ActionTargets {
    /// Sends messages to other processes.
    pub transport: Rc<Transport>,
    /// Writes the replica's state; none on a machine without a vote.
    pub storage: Option<Storage>,
    /// Takes configurations, grants and endpoints.
    pub data_plane: Rc<DataPlane>,
    /// Takes the time at which the configuration was last known to be current.
    pub freshness: Rc<Freshness>,
}

/// The coordinator, and what is pending at it.
pub struct CoordinatorDriver {
    clock: Clock,
    coordinator: RefCell<Coordinator>,
    targets: ActionTargets,
    operator_calls: PendingOperatorCalls,
    announcements: PendingAnnouncements,
    load_reporter: LoadReporter,
    endpoint_persistence: EndpointPersistence,
    peer_persistence: PeerPersistence,
    /// Revision of the endpoint registry that the balancer has.
    balancer_revision: Cell<u64>,
    held_back_versions: HeldBackVersions,
    /// Whether this process was the established primary after the last step.
    leads: Cell<bool>,
}

impl CoordinatorDriver {
    /// Drives a coordinator.
    pub fn new(clock: Clock, coordinator: Coordinator, targets: ActionTargets) -> Self {
        let driver = CoordinatorDriver {
            clock,
            coordinator: RefCell::new(coordinator),
            targets,
            operator_calls: PendingOperatorCalls::new(),
            announcements: PendingAnnouncements::default(),
            load_reporter: LoadReporter::new(),
            endpoint_persistence: EndpointPersistence::default(),
            peer_persistence: PeerPersistence::default(),
            balancer_revision: Cell::new(0),
            held_back_versions: HeldBackVersions::default(),
            leads: Cell::new(false),
        };
        driver.publish_freshness();
        driver
    }

    /// Runs one event at the coordinator, advances its timers and applies its actions.
    pub fn step<T>(&self, event: impl FnOnce(&mut Coordinator, Duration, &mut Vec<Action>) -> T) -> T {
        let mut actions = Vec::new();
        let now = self.clock.now();
        let result = {
            let mut coordinator = self.coordinator.borrow_mut();
            let result = event(&mut coordinator, now, &mut actions);
            coordinator.tick(now, &mut actions);
            result
        };
        self.publish_freshness();
        self.log_leadership();
        for action in actions {
            self.apply_action(action);
        }
        self.publish_endpoints();
        result
    }

    /// A message from another process.
    pub fn receive(&self, message: ReceivedMessage) {
        let ReceivedMessage { from, envelope } = message;
        self.step(|coordinator, now, actions| coordinator.receive(now, from, envelope, actions));
    }

    /// Advances the coordinator's timers. Returns the time until the next call is due.
    pub fn tick(&self) -> Duration {
        let now = self.clock.now();
        let due = self.step(|coordinator, now, actions| coordinator.tick(now, actions));
        due.saturating_sub(now)
    }

    /// Runs an operator's call; the answer comes through the channel.
    pub fn operator_call(&self, request: OperatorRequest) -> Receiver<OperatorAnswer> {
        let (call, answer) = self.operator_calls.register();
        self.step(|coordinator, now, actions| coordinator.operator_call(now, call, request, actions));
        answer
    }

    /// Has the core confirm that it knows the state of an endpoint as it is known here.
    pub fn announce(&self, endpoint: &str) -> Confirmation {
        // Registered inside the step: the coordinator's tick may confirm at once.
        self.step(|coordinator, now, _| {
            let announcement = coordinator.announce(now, endpoint);
            Confirmation { announcement, confirmed: self.announcements.register(announcement) }
        })
    }

    /// Nobody waits for this announcement any more.
    pub fn forget_announcement(&self, announcement: &AnnouncementId) {
        self.announcements.remove(announcement);
    }

    /// Whether the endpoint registry has any record of an endpoint, also of one that is gone.
    pub fn knows_endpoint(&self, id: &str) -> bool {
        self.coordinator.borrow().gossip().registry().contains(id)
    }

    /// Requests the tokens that are wanted now from the quota's grantor.
    pub fn request_quota(&self) {
        if let Some(request) = self.targets.data_plane.quota.next_request(self.clock.now()) {
            self.step(|coordinator, now, actions| coordinator.request_tokens(now, request, actions));
        }
    }

    /// Sends the next load report to the primary.
    pub fn report_load(&self) {
        let report = self.load_reporter.next_report(&self.targets.data_plane.balancer);
        self.step(|coordinator, now, actions| {
            coordinator.report_load(now, report.request_id, report.loads, actions);
        });
    }

    /// Reports the outcomes of the roll-outs that run to their controller, and asks for shares.
    pub fn report_rollouts(&self) {
        let data_plane = &self.targets.data_plane;
        if !data_plane.rollout_shares.borrow().is_active() {
            return;
        }
        let now = self.clock.now();
        let (request_id, reports) = {
            let balancer = data_plane.balancer.borrow();
            let in_flight =
                |service: &str, version: &str| balancer.in_flight_at_other_versions(service, version);
            data_plane.rollout_shares.borrow_mut().next_report(now, in_flight)
        };
        self.step(|coordinator, now, actions| {
            coordinator.report_rollouts(now, request_id, reports, actions);
        });
    }

    /// Time until the next load report is due.
    pub fn load_report_interval(&self) -> Duration {
        self.load_reporter.interval()
    }

    /// Persists the endpoints, if they have changed since the last time and this machine has storage.
    pub fn persist_endpoints(&self) {
        if let Some(storage) = &self.targets.storage {
            let coordinator = self.coordinator.borrow();
            let records = coordinator.gossip().registry().records();
            self.endpoint_persistence.persist_if_changed(storage, self.balancer_revision.get(), records);
        }
    }

    /// Persists the addresses of known processes, if they have changed since the last time and this machine has storage.
    pub fn persist_peers(&self) {
        if let Some(storage) = &self.targets.storage {
            let peers = self.coordinator.borrow().gossip().known_peers();
            self.peer_persistence.persist_if_changed(storage, peers);
        }
    }

    /// Takes other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        self.coordinator.borrow_mut().set_seeds(seeds);
    }

    /// Status of the control plane as JSON, for operators.
    pub fn status(&self) -> String {
        let status = self.coordinator.borrow().status(self.clock.now());
        let mut status = serde_json::to_value(&status).unwrap_or_default();
        status["frames_dropped"] = self.targets.transport.dropped().into();
        let data_plane = &self.targets.data_plane;
        status["requests_sent"] = serde_json::json!(data_plane.balancer.borrow().request_counts());
        status["denials"] = data_plane.denials.proven.get().into();
        status["unproven_denials"] = data_plane.denials.unproven.get().into();
        status.to_string()
    }

    fn apply_action(&self, action: Action) {
        let data_plane = &self.targets.data_plane;
        match action {
            Action::Send { to, envelope } => self.targets.transport.send(to, envelope),
            Action::Write { write_id, write } => {
                if let Some(storage) = &self.targets.storage {
                    storage.write(write_id, write);
                }
            }
            Action::Configured(configuration) => {
                data_plane.apply_configuration(self.clock.now(), &configuration);
            }
            Action::Answer { call, answer } => self.operator_calls.complete(call, answer),
            Action::AnnouncementConfirmed(announcement) => self.announcements.confirm(&announcement),
            Action::QuotaGranted(grant) => data_plane.quota.apply_grant(self.clock.now(), grant),
            Action::RolloutShares(grant) => {
                if let RolloutMessage::Grant { request_id, shares } = grant {
                    data_plane.rollout_shares.borrow_mut().apply_shares(request_id, &shares);
                }
            }
            Action::LoadTotals(totals) => {
                self.load_reporter.apply_totals(self.clock.now(), &data_plane.balancer, totals);
            }
        }
    }

    /// Logs when this process becomes the established primary, or is it no longer.
    fn log_leadership(&self) {
        let coordinator = self.coordinator.borrow();
        let Some(replica) = coordinator.replica() else { return };
        let leads = replica.is_established();
        if self.leads.replace(leads) != leads {
            log_event!(info, "leadership", leads = leads, term = replica.state().version.term);
        }
    }

    fn publish_freshness(&self) {
        self.targets.freshness.set_proven_at(self.coordinator.borrow().gossip().fresh_at());
    }

    fn publish_endpoints(&self) {
        let coordinator = self.coordinator.borrow();
        let registry = coordinator.gossip().registry();
        if registry.revision() != self.balancer_revision.get() {
            self.balancer_revision.set(registry.revision());
            self.targets.data_plane.balancer.borrow_mut().update(registry.records());
        }
        if let Some(snapshot) = self.targets.data_plane.configuration.snapshot() {
            self.held_back_versions.update(&snapshot, registry);
        }
    }
}
