//! Drives the coordinator of the control plane: passes events and the time to it and applies the actions that
//! it emits.
//!
//! The coordinator performs no I/O. Only this module mutates it, so that before any other task runs, every
//! change is followed by the resulting actions and by an update of the state that the request path reads:
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
use crate::resources::Resources;
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

/// A confirmation by the core that is awaited.
pub struct PendingConfirmation {
    /// Identifier of the announcement to confirm.
    pub announcement: AnnouncementId,
    /// Notified once the core has confirmed the announcement.
    pub confirmed: Receiver<()>,
}

/// Components that the coordinator's actions are applied to.
pub struct ActionTargets {
    /// Sends messages to other processes.
    pub transport: Rc<Transport>,
    /// Writes the replica's state; `None` on a machine without a vote or without a disk.
    pub storage: Option<Storage>,
    /// Receives configurations, grants and endpoints.
    pub data_plane: Rc<DataPlane>,
    /// Receives the time at which the configuration was last known to be current.
    pub freshness: Rc<Freshness>,
    /// Memory and connections of the process.
    pub resources: Rc<Resources>,
}

/// The coordinator with its pending calls and announcements.
pub struct CoordinatorDriver {
    clock: Clock,
    coordinator: RefCell<Coordinator>,
    targets: ActionTargets,
    operator_calls: PendingOperatorCalls,
    announcements: PendingAnnouncements,
    load_reporter: LoadReporter,
    endpoint_persistence: EndpointPersistence,
    peer_persistence: PeerPersistence,
    /// Revision of the endpoint registry that the balancer was last updated with.
    balancer_revision: Cell<u64>,
    held_back_versions: HeldBackVersions,
    /// Whether this process was the established primary after the last step.
    is_primary: Cell<bool>,
}

impl CoordinatorDriver {
    /// Creates a driver for a coordinator.
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
            is_primary: Cell::new(false),
        };
        driver.publish_freshness();
        driver
    }

    /// Passes one event to the coordinator, advances its timers and applies the resulting actions.
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

    /// Processes a message from another process.
    pub fn receive(&self, message: ReceivedMessage) {
        let ReceivedMessage { from, envelope } = message;
        self.step(|coordinator, now, actions| coordinator.receive(now, from, envelope, actions));
    }

    /// Advances the coordinator's timers. Returns the time until this method is next due.
    pub fn tick(&self) -> Duration {
        let now = self.clock.now();
        let due = self.step(|coordinator, now, actions| coordinator.tick(now, actions));
        due.saturating_sub(now)
    }

    /// Starts an operator's call. The returned channel receives the answer.
    pub fn operator_call(&self, request: OperatorRequest) -> Receiver<OperatorAnswer> {
        let (call, answer) = self.operator_calls.register();
        self.step(|coordinator, now, actions| coordinator.operator_call(now, call, request, actions));
        answer
    }

    /// Requests the core to confirm that it knows the local state of an endpoint.
    pub fn announce(&self, endpoint: &str) -> PendingConfirmation {
        // Registered within the step, because the coordinator's tick may confirm immediately.
        self.step(|coordinator, now, _| {
            let announcement = coordinator.announce(now, endpoint);
            PendingConfirmation { announcement, confirmed: self.announcements.register(announcement) }
        })
    }

    /// Drops an announcement whose confirmation is no longer awaited.
    pub fn forget_announcement(&self, announcement: &AnnouncementId) {
        self.announcements.remove(announcement);
    }

    /// Returns whether the endpoint registry holds a record of an endpoint, including one that has been removed.
    pub fn knows_endpoint(&self, id: &str) -> bool {
        self.coordinator.borrow().gossip().registry().contains(id)
    }

    /// Requests the currently wanted tokens from the quota's grantor.
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

    /// Reports the outcomes of running rollouts to the rollout controller and requests traffic shares.
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

    /// Returns the time until the next load report is due.
    pub fn load_report_interval(&self) -> Duration {
        self.load_reporter.interval()
    }

    /// Persists the endpoints if they have changed since the last call and this machine has storage.
    pub fn persist_endpoints(&self) {
        if let Some(storage) = &self.targets.storage {
            let coordinator = self.coordinator.borrow();
            let records = coordinator.gossip().registry().records();
            self.endpoint_persistence.persist_if_changed(storage, self.balancer_revision.get(), records);
        }
    }

    /// Persists the addresses of known peers if they have changed since the last call and this machine has storage.
    pub fn persist_peers(&self) {
        if let Some(storage) = &self.targets.storage {
            let peers = self.coordinator.borrow().gossip().known_peers();
            self.peer_persistence.persist_if_changed(storage, peers);
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        self.coordinator.borrow_mut().set_seeds(seeds);
    }

    /// Returns the status of the control plane as JSON, for operators.
    pub fn status(&self) -> String {
        let status = self.coordinator.borrow().status(self.clock.now());
        let mut status = serde_json::to_value(&status).unwrap_or_default();
        status["memory"] = self.targets.resources.memory.status();
        status["connections"] = self.targets.resources.connections_status();
        status["frames_dropped"] = self.targets.transport.dropped_frames().into();
        let data_plane = &self.targets.data_plane;
        status["requests_sent"] = serde_json::json!(data_plane.balancer.borrow().request_counts());
        status["denials"] = data_plane.denials.proven.get().into();
        status["unproven_denials"] = data_plane.denials.unproven.get().into();
        status["repeats"] = data_plane.repeats.sent.get().into();
        status["interrupted_responses"] = serde_json::json!(data_plane.interrupted_responses);
        status["malformed_responses"] = serde_json::json!(data_plane.malformed_responses.counts());
        status["withheld_repeats"] = data_plane.repeats.withheld.get().into();
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

    /// Logs when this process becomes the established primary or ceases to be it.
    fn log_leadership(&self) {
        let coordinator = self.coordinator.borrow();
        let Some(replica) = coordinator.replica() else { return };
        let is_primary = replica.is_established();
        if self.is_primary.replace(is_primary) != is_primary {
            log_event!(info, "leadership", leads = is_primary, term = replica.state().version.term);
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
