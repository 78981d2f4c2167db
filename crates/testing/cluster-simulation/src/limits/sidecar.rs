//! Sidecars, which admit requests by key and freshness, wait for quota, connect to an endpoint, send, and retry within the
//! budget.
//!
//! A request passes through `admit`, the quota queue (tenants with a quota only), `connect` and `send`. Key and freshness
//! are checked again before sending, because both may have changed in the meantime.

use super::executions::Execution;
use super::{ConfigurationChanges, LimitHistory, LimitMutation, BOUNDS, HOST, SERVICE, TENANTS};
use crate::limit_checker::{Quota, SentRequest};
use passrelay_control_plane::quota::{QuotaMessage, TenantKey, GRANT_LIFETIME};
use passrelay_data_plane::quota::{QuotaShares, TenantTokens};
use passrelay_data_plane::retry_budget::RetryBudget;
use passrelay_data_plane::routing::{RouteMatch, RoutingTable};
use passrelay_dissemination::{EndpointRecord, EndpointState};
use rand::seq::IndexedRandom;
use rand::Rng;
use std::time::Duration;

/// Margin by which the freshness check stays below the revocation delay, as in the program.
const REVOCATION_MARGIN: Duration = Duration::from_millis(600);
/// Maximum time that a request waits for quota tokens.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(100);
/// Probability that connecting to an endpoint is delayed.
const SLOW_CONNECT_PROBABILITY: f64 = 0.2;
/// Upper bound of that delay, in milliseconds.
const MAX_CONNECT_MS: u64 = 200;
/// Probability that an endpoint rejects a request, which may then be retried.
const REJECTED_PROBABILITY: f64 = 0.6;

/// A request of a client.
#[derive(Clone)]
pub(super) struct ClientRequest {
    pub(super) tenant: String,
    pub(super) key: String,
    pub(super) tokens: u64,
}

/// A request that waits for quota tokens.
struct QueuedRequest {
    request: ClientRequest,
    /// Key of the tenant, as in `TenantKey`.
    tenant: u64,
    /// Time on the process's local clock.
    queued_at: Duration,
}

/// A request whose connection is being established.
struct ConnectingRequest {
    request: ClientRequest,
    endpoint: String,
    /// Time on the process's local clock.
    connected_at: Duration,
}

/// The data plane of one sidecar process.
pub(super) struct Sidecar {
    incarnation: u64,
    pub(super) shares: QuotaShares,
    budget: RetryBudget,
    table: Option<RoutingTable>,
    queued: Vec<QueuedRequest>,
    connecting: Vec<ConnectingRequest>,
    pub(super) executing: Vec<Execution>,
    /// Remaining retries beyond the budget; 0 unless a mutation grants some.
    extra_retries: f64,
}

impl Sidecar {
    fn new(incarnation: u64, mutation: Option<LimitMutation>) -> Self {
        let has_slack = mutation == Some(LimitMutation::RetrySlackPerSidecar);
        Sidecar {
            incarnation,
            shares: QuotaShares::new(GRANT_LIFETIME),
            budget: RetryBudget::new(BOUNDS.retry_ratio),
            table: None,
            queued: Vec::new(),
            connecting: Vec::new(),
            executing: Vec::new(),
            extra_retries: if has_slack { BOUNDS.retry_slack } else { 0.0 },
        }
    }

    pub(super) fn set_routing_table(&mut self, table: Option<RoutingTable>) {
        self.table = table;
    }

    /// Returns the route and tenant of a request with this key, or `None` if it is denied.
    pub(super) fn find(&self, key: &str) -> Option<RouteMatch<'_>> {
        self.table.as_ref()?.find(HOST, "/", Some(key)).ok()
    }

    fn has_no_tenants(&self) -> bool {
        self.table.as_ref().is_some_and(|table| table.tenants().is_empty())
    }

    pub(super) fn may_retry(&mut self) -> bool {
        if self.budget.withdraw(SERVICE) {
            return true;
        }
        let has_extra = self.extra_retries >= 1.0;
        self.extra_retries -= if has_extra { 1.0 } else { 0.0 };
        has_extra
    }
}

impl LimitHistory {
    /// Returns the sidecar of a machine's process, creating a new one for a new incarnation.
    pub(super) fn sidecar_of(&mut self, machine: usize, incarnation: u64) -> &mut Sidecar {
        let mutation = self.settings.mutation;
        let sidecar = self.sidecars.entry(machine).or_insert_with(|| Sidecar::new(incarnation, mutation));
        if sidecar.incarnation != incarnation {
            *sidecar = Sidecar::new(incarnation, mutation);
        }
        sidecar
    }

    /// Returns the sidecar of the process that runs on a machine now.
    pub(super) fn sidecar(&mut self, machine: usize) -> &mut Sidecar {
        let incarnation = self.cluster.incarnation(machine);
        self.sidecar_of(machine, incarnation)
    }

    pub(super) fn admit(&mut self, machine: usize, request: ClientRequest) {
        let now = self.cluster.local_now(machine);
        self.checker.request_arrived(self.cluster.now());
        if !self.may_send(machine, &request.key) {
            return self.reject(&request);
        }
        let sidecar = self.sidecar(machine);
        sidecar.budget.deposit(SERVICE);
        let tenant = sidecar.find(&request.key).and_then(|found| found.tenant);
        let tenant = tenant.filter(|tenant| tenant.is_limited());
        match tenant.map(|tenant| TenantKey::of(&tenant.name).0) {
            Some(tenant) => {
                sidecar.shares.add_demand(tenant, request.tokens);
                sidecar.queued.push(QueuedRequest { request, tenant, queued_at: now });
                self.request_quota(machine);
            }
            None => self.connect(machine, request),
        }
    }

    fn reject(&mut self, request: &ClientRequest) {
        *self.outcome.rejected.entry(request.tenant.clone()).or_default() += 1;
    }

    /// Returns whether a machine may send a request with this key now: its configuration must accept the key and, if a tenant
    /// holds it, be fresh.
    pub(super) fn may_send(&mut self, machine: usize, key: &str) -> bool {
        let accepts_any = self.settings.mutation == Some(LimitMutation::AcceptsAnyKeyWithoutTenants);
        let sidecar = self.sidecar(machine);
        if accepts_any && sidecar.has_no_tenants() {
            return true;
        }
        let Some(found) = sidecar.find(key) else { return false };
        found.tenant.is_none() || self.is_fresh(machine)
    }

    /// Returns whether a machine's configuration was proven to be current recently.
    fn is_fresh(&self, machine: usize) -> bool {
        let now = self.cluster.local_now(machine);
        let process = self.cluster.process(machine);
        let Some(fresh_at) = process.and_then(|process| process.gossip().fresh_at()) else { return false };
        now.saturating_sub(fresh_at) < BOUNDS.revocation_delay.saturating_sub(REVOCATION_MARGIN)
    }

    /// Selects an endpoint and starts to connect to it, at times with a delay.
    fn connect(&mut self, machine: usize, request: ClientRequest) {
        let is_slow = self.cluster.rng.random_bool(SLOW_CONNECT_PROBABILITY);
        let delay = if is_slow { self.cluster.rng.random_range(0..MAX_CONNECT_MS) } else { 0 };
        let connected_at = self.cluster.local_now(machine) + Duration::from_millis(delay);
        let Some(endpoint) = self.select_endpoint(machine) else { return self.reject(&request) };
        self.sidecar(machine).connecting.push(ConnectingRequest { request, endpoint, connected_at });
    }

    fn select_endpoint(&mut self, machine: usize) -> Option<String> {
        let registry = self.cluster.process(machine)?.gossip().registry();
        let sends_to_draining = self.settings.mutation == Some(LimitMutation::SendsToDraining);
        let is_eligible = |record: &&EndpointRecord| {
            record.state == EndpointState::Ready
                || (sends_to_draining && record.state == EndpointState::Draining)
        };
        let ids: Vec<String> =
            registry.records().filter(is_eligible).map(|record| record.id.clone()).collect();
        ids.choose(&mut self.cluster.rng).cloned()
    }

    /// Advances the requests of one sidecar. Does nothing while its process is paused or down.
    pub(super) fn drive_sidecar(&mut self, machine: usize) {
        if !self.cluster.is_responsive(machine) {
            return;
        }
        let now = self.cluster.local_now(machine);
        let queued = std::mem::take(&mut self.sidecar(machine).queued);
        for request in queued {
            self.advance_queued(machine, now, request);
        }
        self.request_quota(machine);
        self.end_executions(machine, now);
        let connecting = std::mem::take(&mut self.sidecar(machine).connecting);
        for request in connecting {
            if request.connected_at > now {
                self.sidecar(machine).connecting.push(request);
            } else {
                self.send(machine, request);
            }
        }
    }

    /// Requests the quota tokens in demand from the grantor, if a request is due.
    fn request_quota(&mut self, machine: usize) {
        let now = self.cluster.local_now(machine);
        let Some(next_request) = self.sidecar(machine).shares.next_request(now) else { return };
        let keyed = |amounts: Vec<TenantTokens>| {
            amounts.into_iter().map(|amount| (TenantKey(amount.tenant), amount.tokens).into()).collect()
        };
        let request = QuotaMessage::Request {
            request_id: next_request.request_id,
            wanted: keyed(next_request.wanted),
            overdrawn: keyed(next_request.overdrawn),
        };
        let observations = self.cluster.request_tokens(machine, request).unwrap_or_default();
        self.observe(observations);
    }

    /// Connects a queued request that gets its tokens, and rejects one that does not get them in time.
    fn advance_queued(&mut self, machine: usize, now: Duration, queued: QueuedRequest) {
        let sidecar = self.sidecar(machine);
        let tokens = queued.request.tokens;
        let has_tokens = sidecar.shares.spend(now, queued.tenant, tokens).is_some();
        let is_short = sidecar.shares.is_exhausted_since(queued.tenant, queued.queued_at);
        let is_over = now >= queued.queued_at + QUOTA_TIMEOUT
            || sidecar.shares.is_grantor_unreachable(queued.tenant, now);
        if !has_tokens && !is_short && !is_over {
            sidecar.queued.push(queued);
            return;
        }
        sidecar.shares.remove_demand(queued.tenant, tokens);
        if has_tokens {
            self.connect(machine, queued.request);
        } else {
            self.reject(&queued.request);
        }
    }

    fn send(&mut self, machine: usize, connected: ConnectingRequest) {
        let skips_check = self.settings.mutation == Some(LimitMutation::ChecksBeforeWaitOnly);
        if !skips_check && !self.may_send(machine, &connected.request.key) {
            return self.reject(&connected.request);
        }
        if !self.is_usable(machine, &connected.endpoint) {
            return self.connect(machine, connected.request);
        }
        self.record_sent(machine, &connected);
        if self.settings.changes == ConfigurationChanges::RemoveTenants {
            return self.execute(machine, connected.request, None);
        }
        if self.cluster.rng.random_bool(REJECTED_PROBABILITY) && self.sidecar(machine).may_retry() {
            self.checker.retry_sent(self.cluster.now());
        }
    }

    /// Returns whether a request with a connection to an endpoint may still be sent to it.
    fn is_usable(&self, machine: usize, endpoint: &str) -> bool {
        let sends_to_draining = self.settings.mutation == Some(LimitMutation::SendsToDraining);
        let is_usable = |record: &EndpointRecord| {
            matches!(record.state, EndpointState::Ready | EndpointState::Expired)
                || (sends_to_draining && record.state == EndpointState::Draining)
        };
        let registry = self.cluster.process(machine).map(|process| process.gossip().registry());
        registry.is_some_and(|registry| {
            registry.records().any(|record| record.id == endpoint && is_usable(record))
        })
    }

    fn record_sent(&mut self, machine: usize, connected: &ConnectingRequest) {
        let request = &connected.request;
        let tenant = TENANTS.iter().find(|tenant| tenant.name == request.tenant);
        let rate = tenant.map(|tenant| tenant.quota_per_s).filter(|rate| *rate > 0.0);
        let sent = SentRequest {
            tenant: &request.tenant,
            quota: rate.map(|rate| Quota { rate_per_s: rate, burst: rate }),
            key: &request.key,
            tokens: request.tokens,
            endpoint: &connected.endpoint,
            connected_since: self.connected_since(machine),
        };
        self.checker.request_sent(self.cluster.now(), &sent);
        *self.outcome.sent.entry(request.tenant.clone()).or_default() += 1;
    }
}
