//! Random histories of the fleet-wide limits: clients at all sidecars, tenants within and far over their quota, revoked keys,
//! draining endpoints, faults, and the checker's result.
//!
//! The control plane, dissemination and the data plane's components that share limits (quota shares, retry budget, routing
//! table, execution limits) are those of the program. Connections to endpoints are simulated by a random delay. `clients`
//! generates requests, `sidecar` admits and sends them, `executions` loses answers and repeats requests, `endpoints` sends
//! heartbeats and drains endpoints, `operator` changes the configuration.

mod clients;
mod endpoints;
mod executions;
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
/// Time of the first configuration change.
const FIRST_CHANGE_AT: Duration = Duration::from_secs(4);
/// Time from which clients send requests and faults are injected.
const CLIENTS_START_AT: Duration = Duration::from_secs(6);
/// Simulated time that a history covers.
const DURATION: Duration = Duration::from_secs(26);
/// Time after its last fault within which a machine can communicate with all others again.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a lost voter counts as lost after its return.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Number of endpoints at a time, including draining ones.
const ENDPOINTS: usize = 6;
const SERVICE: &str = "s";
const HOST: &str = "lot.example";
/// The tenant without a quota, whose keys are replaced.
const UNLIMITED_TENANT: &str = "free";

/// A tenant and its offered load.
struct Tenant {
    name: &'static str,
    /// Quota in tokens per second, also its burst; 0 for unlimited.
    quota_per_s: f64,
    requests_per_s: f64,
    max_tokens_per_request: u64,
}

/// A tenant far over its quota, one within its quota, and one without a quota.
const TENANTS: [Tenant; 3] = [
    Tenant { name: "hot", quota_per_s: 220_000.0, requests_per_s: 66.0, max_tokens_per_request: 20_000 },
    Tenant { name: "fair", quota_per_s: 60_000.0, requests_per_s: 9.0, max_tokens_per_request: 8_000 },
    Tenant { name: UNLIMITED_TENANT, quota_per_s: 0.0, requests_per_s: 8.0, max_tokens_per_request: 4_000 },
];

/// Limits and tolerances of the small deployments.
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

/// A way in which sidecars are made to exceed the limits, to test the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitMutation {
    /// Keys and freshness are checked before the wait for a connection and not again before sending.
    ChecksBeforeWaitOnly,
    /// Each sidecar has the slack of the fleet-wide retry budget.
    RetrySlackPerSidecar,
    /// Requests are sent to endpoints that are draining, as long as they are registered.
    SendsToDraining,
    /// An endpoint's draining is acknowledged without waiting for a quorum to know of it.
    AcknowledgesDrainingWithoutQuorum,
    /// Whether a request may be repeated is taken from the newest route, whatever it was sent under.
    RepeatsByNewestRoute,
    /// A configuration without any tenant is taken for one that needs no keys.
    AcceptsAnyKeyWithoutTenants,
}

/// The configuration changes of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChanges {
    /// Each change replaces the key of the tenant without a quota.
    ReplaceKeys,
    /// Changes take all tenants away and put them back, and change whether requests may be repeated. Requests stay in
    /// flight for up to a second and a half, and some answers are lost.
    RemoveTenants,
}

/// Settings of a history.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Machines, network and mutations of the control plane.
    pub cluster: ClusterSettings,
    /// What operators change.
    pub changes: ConfigurationChanges,
    /// Whether to inject no faults.
    pub fault_free: bool,
    /// Mutation of all sidecars, to test the checker.
    pub mutation: Option<LimitMutation>,
}

/// The result of a history.
#[derive(Debug, Default)]
pub struct LimitOutcome {
    /// Exceeded limits; empty for a correct fleet.
    pub violations: Vec<LimitViolation>,
    /// Number of requests sent, by tenant.
    pub sent: BTreeMap<String, usize>,
    /// Number of requests rejected, by tenant; tenants without rejections are absent.
    pub rejected: BTreeMap<String, usize>,
    /// Number of keys whose removal was acknowledged.
    pub revoked: usize,
    /// Number of endpoints whose draining was acknowledged.
    pub drained: usize,
    /// Number of requests that were executed more than once.
    pub repeated: usize,
}

struct LimitHistory {
    cluster: Cluster,
    faults: FaultInjector,
    checker: LimitChecker,
    settings: LimitSettings,
    /// State of the sidecar on each machine.
    sidecars: BTreeMap<usize, Sidecar>,
    endpoints: Vec<Endpoint>,
    next_endpoint: usize,
    /// The configuration change that has not been acknowledged yet.
    pending_change: Option<PendingChange>,
    next_change_at: Duration,
    generation: u64,
    /// Ids of endpoints whose draining was announced and not confirmed yet.
    announced: BTreeMap<AnnouncementKey, String>,
    /// All keys of the unlimited tenant so far, of which the last one is current.
    keys: Vec<String>,
    /// Whether the configuration proposed last has tenants.
    has_tenants: bool,
    /// Number of requests sent so far, which numbers them.
    request_count: u64,
    outcome: LimitOutcome,
}

/// Runs a history and returns its outcome.
pub fn simulate(settings: &LimitSettings) -> LimitOutcome {
    let mut history = LimitHistory::new(settings.clone());
    (0..ENDPOINTS).for_each(|_| history.start_endpoint());
    while history.cluster.now() < DURATION {
        history.step();
    }
    history.outcome.violations = history.checker.violations;
    history.outcome
}

impl LimitHistory {
    fn new(settings: LimitSettings) -> Self {
        LimitHistory {
            cluster: Cluster::new(settings.cluster.clone()),
            faults: FaultInjector::new(settings.cluster.tolerated_losses, CATCH_UP_TIME),
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
            has_tenants: false,
            request_count: 0,
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
                    let keys_revoked = configuration.keys_revoked;
                    let document = parse_document(configuration.document.as_bytes());
                    let configuration = document.and_then(|document| Configuration::read(&document));
                    let sidecar = self.sidecar_of(machine, incarnation);
                    let table = |configuration| RoutingTable::new(configuration, keys_revoked);
                    sidecar.set_routing_table(configuration.ok().map(table));
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

    /// Returns the time since which a machine can communicate with all others, so that it has to respect what they have
    /// acknowledged.
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
