//! Random histories of the limits that bind the whole fleet: clients at all sidecars, tenants within and far over their
//! quota, keys that are revoked, endpoints that drain, faults, and the checker's verdict.
//!
//! The control plane and dissemination are those of the program, and so are the data plane's parts that share limits
//! (quota shares, retry budget, routing table). Connections to endpoints are reduced to a random delay. `clients` draws
//! requests, `sidecar` admits and sends them, `endpoints` sends heartbeats and drains, `operator` replaces keys.

mod clients;
mod endpoints;
mod operator;
mod sidecar;

use crate::cluster::{Cluster, ClusterSettings, Observation};
use crate::faults::FaultInjector;
use crate::limit_checker::{LimitBounds, LimitChecker, LimitViolation};
use endpoints::{AnnouncementKey, Endpoint};
use operator::PendingChange;
use passrelay_configuration::{parse_document, Configuration};
use passrelay_control_plane::quota::QuotaMessage;
use passrelay_data_plane::quota::Grant;
use passrelay_data_plane::routing::RoutingTable;
use rand::seq::IndexedRandom;
use rand::Rng;
use sidecar::Sidecar;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which clients, sidecars, endpoints and operators act.
const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// Time until the first configuration change.
const FIRST_CHANGE_AT: Duration = Duration::from_secs(4);
/// Time until the first requests and faults.
const CLIENTS_START_AT: Duration = Duration::from_secs(6);
/// Duration of a history.
const LENGTH: Duration = Duration::from_secs(26);
/// A machine can communicate with all others again this long after its last fault.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A lost voter counts as lost for this long after its return.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Number of endpoints in service at a time.
const ENDPOINTS: usize = 6;
const SERVICE: &str = "s";
const HOST: &str = "lot.example";
/// The tenant without a quota, whose keys are replaced.
const UNLIMITED_TENANT: &str = "free";

/// A tenant and the load that it offers.
struct Tenant {
    name: &'static str,
    /// Quota in tokens per second, also its burst; 0 for unlimited.
    quota_per_s: f64,
    requests_per_s: f64,
    max_tokens_per_request: u64,
}

/// One tenant far over its quota, one within it, and one without.
const TENANTS: [Tenant; 3] = [
    Tenant { name: "hot", quota_per_s: 220_000.0, requests_per_s: 66.0, max_tokens_per_request: 20_000 },
    Tenant { name: "fair", quota_per_s: 60_000.0, requests_per_s: 9.0, max_tokens_per_request: 8_000 },
    Tenant { name: UNLIMITED_TENANT, quota_per_s: 0.0, requests_per_s: 8.0, max_tokens_per_request: 4_000 },
];

/// Bounds as in the small deployments.
const BOUNDS: LimitBounds = LimitBounds {
    quota_window: Duration::from_secs(8),
    quota_overshoot: 0.1,
    quota_slack: 140_000.0,
    revocation_delay: Duration::from_secs(5),
    retry_window: Duration::from_secs(10),
    retry_ratio: 0.2,
    retry_slack: 64.0,
    drain_delay: Duration::from_secs(2),
};

/// How sidecars are made to exceed the limits, for testing the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitMutation {
    /// Keys and freshness are checked before the wait for a connection and not again before sending.
    ChecksBeforeWaitOnly,
    /// Each sidecar has the slack of the whole fleet's retry budget.
    RetrySlackPerSidecar,
    /// Requests are sent to draining endpoints as long as they are registered.
    SendsToDraining,
    /// An endpoint's draining is acknowledged whether or not other sidecars know of it.
    AcknowledgesDrainingWithoutQuorum,
}

/// What a history consists of.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// The machines and the network.
    pub cluster: ClusterSettings,
    /// Whether machines have no faults.
    pub fault_free: bool,
    /// Mutation of all sidecars, for testing the checker.
    pub mutation: Option<LimitMutation>,
}

/// The result of a history.
#[derive(Debug, Default)]
pub struct LimitOutcome {
    /// Limits exceeded.
    pub violations: Vec<LimitViolation>,
    /// Requests sent, by tenant.
    pub sent: BTreeMap<String, usize>,
    /// Requests rejected, by tenant.
    pub rejected: BTreeMap<String, usize>,
    /// Number of keys revoked.
    pub revoked: usize,
    /// Number of endpoints whose draining was acknowledged.
    pub drained: usize,
}

struct LimitHistory {
    cluster: Cluster,
    faults: FaultInjector,
    checker: LimitChecker,
    settings: LimitSettings,
    /// By machine.
    sidecars: BTreeMap<usize, Sidecar>,
    endpoints: Vec<Endpoint>,
    next_endpoint: usize,
    /// The configuration change in flight.
    pending_change: Option<PendingChange>,
    next_change_at: Duration,
    generation: u64,
    /// Endpoints whose draining was announced and not confirmed yet.
    announced: BTreeMap<AnnouncementKey, String>,
    /// All keys that the unlimited tenant ever had; the last one is in force.
    keys: Vec<String>,
    outcome: LimitOutcome,
}

/// Plays a history.
pub fn simulate(settings: &LimitSettings) -> LimitOutcome {
    let mut history = LimitHistory::new(settings.clone());
    (0..ENDPOINTS).for_each(|_| history.start_endpoint());
    while history.cluster.now() < LENGTH {
        history.step();
    }
    history.outcome.violations = history.checker.violations;
    history.outcome
}

impl LimitHistory {
    fn new(settings: LimitSettings) -> Self {
        LimitHistory {
            cluster: Cluster::new(settings.cluster.clone()),
            faults: FaultInjector::new(settings.cluster.tolerated_losses, CATCH_UP),
            checker: LimitChecker::new(BOUNDS),
            settings,
            sidecars: BTreeMap::new(),
            endpoints: Vec::new(),
            next_endpoint: 0,
            pending_change: None,
            next_change_at: FIRST_CHANGE_AT,
            generation: 0,
            announced: BTreeMap::new(),
            keys: Vec::new(),
            outcome: LimitOutcome::default(),
        }
    }

    fn step(&mut self) {
        let until = self.cluster.now() + STEP_INTERVAL;
        while let Some(observations) = self.cluster.step(until) {
            self.observe(observations);
        }
        self.faults.apply_due(&mut self.cluster);
        if !self.settings.fault_free && until > CLIENTS_START_AT {
            if self.cluster.rng.random_bool(0.012) {
                self.faults.inject(&mut self.cluster);
            }
            if self.cluster.rng.random_bool(0.002) {
                self.faults.inject_group_outage(&mut self.cluster);
            }
        }
        self.drive_endpoints();
        self.drive_operator();
        if until > CLIENTS_START_AT {
            self.drive_clients();
        }
        for machine in 0..self.cluster.len() {
            self.drive_sidecar(machine);
        }
    }

    fn observe(&mut self, observations: Vec<Observation>) {
        for observation in observations {
            match observation {
                Observation::Configured { machine, incarnation, configuration } => {
                    let document = parse_document(configuration.document.as_bytes());
                    let configuration = document.and_then(|document| Configuration::read(&document));
                    let sidecar = self.sidecar_of(machine, incarnation);
                    sidecar.set_routing_table(configuration.ok().map(RoutingTable::new));
                }
                Observation::Answered { call, answer } => self.handle_change_answer(call, answer.status),
                Observation::AnnouncementConfirmed { machine, incarnation, announcement } => {
                    self.handle_confirmation(AnnouncementKey { machine, incarnation, announcement });
                }
                Observation::QuotaGranted { machine, incarnation, grant } => {
                    self.handle_grant(machine, incarnation, grant);
                }
                Observation::RolloutSharesGranted { .. } => {}
            }
        }
    }

    fn handle_grant(&mut self, machine: usize, incarnation: u64, message: QuotaMessage) {
        let QuotaMessage::Grant { request_id, granted, .. } = message else { return };
        let now = self.cluster.local_now(machine);
        let grants: Vec<Grant> = granted
            .iter()
            .map(|grant| Grant { tenant: grant.tenant.0, tokens: grant.tokens, reserve: grant.reserve })
            .collect();
        self.sidecar_of(machine, incarnation).shares.apply_grants(now, request_id, &grants);
    }

    /// Since when a machine can communicate with all others, so that it has to know what they acknowledge.
    fn connected_since(&self, machine: usize) -> Duration {
        let started_at = self.cluster.started_at(machine);
        self.faults.faulty_until(machine).max(started_at) + RECONNECT_TIMEOUT
    }

    fn random_responsive_machine(&mut self) -> Option<usize> {
        let machines: Vec<usize> =
            (0..self.cluster.len()).filter(|machine| self.cluster.is_responsive(*machine)).collect();
        machines.choose(&mut self.cluster.rng).copied()
    }
}
