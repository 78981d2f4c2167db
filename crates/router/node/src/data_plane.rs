//! State used to route requests: configuration, endpoints, quota shares, retry budget, traffic splits.
//!
//! The coordinator driver updates the state; the request path reads it and accounts for requests in it. This
//! module uses neither sockets nor messages.

use crate::configuration_snapshot::{ConfigurationSnapshot, CurrentConfiguration};
use crate::denials::Denials;
use crate::interrupted_responses::InterruptedResponses;
use crate::logging::{log_event, Quoted};
use crate::malformed_responses::MalformedResponses;
use crate::quota_client::QuotaClient;
use crate::repeats::Repeats;
use passrelay_configuration::{parse_document, Configuration, ServiceVersions};
use passrelay_control_plane::quota::TenantKey;
use passrelay_data_plane::balancer::Balancer;
use passrelay_data_plane::retry_budget::RetryBudget;
use passrelay_data_plane::rollout_shares::RolloutShares;
use passrelay_data_plane::routing::RoutingTable;
use passrelay_data_plane::traffic_split::TrafficSplits;
use passrelay_dissemination::CommittedConfiguration;
use std::cell::RefCell;
use std::time::Duration;

/// State shared by the coordinator driver and the request path.
pub struct DataPlane {
    /// The configuration in force.
    pub configuration: CurrentConfiguration,
    /// Endpoints and their load as seen by this process.
    pub balancer: RefCell<Balancer>,
    /// Number of retries that may still be sent, by service.
    pub retry_budget: RefCell<RetryBudget>,
    /// Weighted round-robin state of each route with a traffic split.
    pub traffic_splits: RefCell<TrafficSplits>,
    /// Shares of requests for the target versions of rollouts.
    pub rollout_shares: RefCell<RolloutShares>,
    /// Quota shares granted to this process.
    pub quota: QuotaClient,
    /// Number of requests denied since the start of the process.
    pub denials: Denials,
    /// Number of requests repeated since the start of the process.
    pub repeats: Repeats,
    /// Number of responses interrupted since the start of the process.
    pub interrupted_responses: InterruptedResponses,
    /// Number of responses with a malformed head since the start of the process.
    pub malformed_responses: MalformedResponses,
}

impl DataPlane {
    /// Creates the state without a configuration and without endpoints.
    pub fn new(zone: &str, retry_budget_ratio: f64, split_seed: u64) -> Self {
        DataPlane {
            configuration: CurrentConfiguration::default(),
            balancer: RefCell::new(Balancer::new(zone)),
            retry_budget: RefCell::new(RetryBudget::new(retry_budget_ratio)),
            traffic_splits: RefCell::new(TrafficSplits::new(split_seed)),
            rollout_shares: RefCell::new(RolloutShares::new(rand::random())),
            quota: QuotaClient::new(),
            denials: Denials::default(),
            repeats: Repeats::default(),
            interrupted_responses: InterruptedResponses::default(),
            malformed_responses: MalformedResponses::default(),
        }
    }

    /// Puts a committed configuration in force and drops the state of tenants, services and routes that it no
    /// longer contains. A configuration that this version cannot read is logged and ignored; the previous one
    /// stays in force.
    pub fn apply_configuration(&self, now: Duration, committed: &CommittedConfiguration) {
        let document = parse_document(committed.document.as_bytes());
        match document.and_then(|document| Configuration::read(&document)) {
            Ok(configuration) => {
                self.retain_configured(&configuration);
                self.log_rollouts(committed);
                self.rollout_shares.borrow_mut().configure(now, &committed.rollouts);
                let service_versions = versions_in_force(committed, &configuration);
                let (table, index) =
                    (RoutingTable::new(configuration, committed.keys_revoked), committed.index);
                let rollouts = committed.rollouts.clone();
                let (tenants, keys) = (table.tenants().len(), table.key_policy());
                self.configuration.replace(ConfigurationSnapshot {
                    table,
                    index,
                    service_versions,
                    rollouts,
                });
                log_event!(
                    info,
                    "configured",
                    generation = committed.generation,
                    index = index,
                    tenants = tenants,
                    keys = format_args!("{keys:?}"),
                );
            }
            Err(errors) => log_event!(error, "configuration_unreadable", problem = Quoted(&errors)),
        }
    }

    /// Logs the rollouts whose phase differs from that in the previous configuration.
    fn log_rollouts(&self, committed: &CommittedConfiguration) {
        let previous = self.configuration.snapshot();
        for (service, service_rollouts) in committed.rollouts.iter() {
            for rollout in service_rollouts.all() {
                let known = previous.as_ref().and_then(|snapshot| snapshot.rollouts.find(rollout.id));
                if known.map(|known| known.phase) != Some(rollout.phase) {
                    log_event!(
                        info,
                        "rollout",
                        service = service,
                        version = rollout.order.target_version,
                        phase = format_args!("{:?}", rollout.phase),
                        age_ms = rollout.age_ms,
                        reason = Quoted(&rollout.reason),
                    );
                }
            }
        }
    }

    fn retain_configured(&self, configuration: &Configuration) {
        let tenants: Vec<u64> =
            configuration.tenants().iter().map(|tenant| TenantKey::of(&tenant.name).0).collect();
        self.quota.shares.borrow_mut().retain(|key| tenants.contains(&key));
        let services = &configuration.services;
        self.retry_budget.borrow_mut().retain(|name| services.iter().any(|service| service.name == name));
        self.traffic_splits.borrow_mut().retain(configuration);
    }
}

/// Returns the recorded versions, overridden by the versions that the configuration sets itself. A version set
/// by a configuration change takes effect before it is recorded.
fn versions_in_force(committed: &CommittedConfiguration, configuration: &Configuration) -> ServiceVersions {
    let mut versions = committed.service_versions.clone();
    for service in &configuration.services {
        if let Some(version) = &service.version {
            versions.set(&service.name, version);
        }
    }
    versions
}
