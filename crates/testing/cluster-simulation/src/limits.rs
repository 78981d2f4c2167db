//! One random history of the limits that bind the whole fleet: clients at all sidecars, tenants within and far over
//! their quota, keys that are taken away, endpoints that drain, faults, and what the checker makes of it.

use crate::cluster::{CallKey, Cluster, ClusterSettings, Observation};
use crate::faults::FaultInjector;
use crate::limit_checker::{LimitBounds, LimitChecker, LimitViolation, Sent};
use passrelay_configuration::{parse_document, Configuration, Tenant};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::quota::{QuotaMessage, TenantKey, GRANT_LIFETIME};
use passrelay_control_plane::OperatorRequest;
use passrelay_data_plane::quota::{Grant, QuotaShares};
use passrelay_data_plane::retry_budget::RetryBudget;
use passrelay_data_plane::routing::RoutingTable;
use passrelay_dissemination::{Announcement, EndpointRecord, EndpointState, Heartbeat};
use rand::seq::IndexedRandom;
use rand::Rng;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
/// Time until the first order.
const LEAD: Duration = Duration::from_secs(4);
/// Time until clients come.
const CLIENTS_FROM: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(26);
/// Margin of the freshness check under the bound, as in the program.
const REVOKE_MARGIN: Duration = Duration::from_millis(600);
/// A request waits this long for tokens.
const QUOTA_PATIENCE: Duration = Duration::from_millis(100);
/// A machine is in touch again this long after its trouble.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(2);
const ENDPOINTS: usize = 6;
const SERVICE: &str = "s";
const HOST: &str = "lot.example";
/// Share of sendings that an endpoint turns away.
const TURNED_AWAY: f64 = 0.6;

/// Tenants: name, tokens a second (0: no limit), requests a second, tokens of a request.
const TENANTS: [(&str, f64, f64, u64); 3] =
    [("hot", 220_000.0, 66.0, 20_000), ("fair", 60_000.0, 9.0, 8_000), ("free", 0.0, 8.0, 4_000)];

/// A way in which sidecars are made to pass the limits, so that the checker can itself be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitMutation {
    /// Keys and freshness are checked before the wait for a connection and not at the sending.
    ChecksBeforeWaitOnly,
    /// Each sidecar has the whole slack of the retry budget.
    SlackForEach,
    /// An endpoint that drains is sent to as long as it is there.
    SendsToDraining,
    /// That an endpoint drains is acknowledged whether or not anyone else knows.
    AcknowledgesDrainingAlone,
}

/// What a history is made of.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// The machines and the network.
    pub cluster: ClusterSettings,
    /// Whether there are no faults of machines.
    pub calm: bool,
    /// A broken sidecar.
    pub mutant: Option<LimitMutation>,
}

/// What came of a history.
#[derive(Debug, Default)]
pub struct LimitOutcome {
    /// Limits passed.
    pub violations: Vec<LimitViolation>,
    /// Requests sent, by tenant.
    pub sent: BTreeMap<String, usize>,
    /// Requests refused, by tenant.
    pub refused: BTreeMap<String, usize>,
    /// Keys taken away.
    pub revoked: usize,
    /// Endpoints drained.
    pub drained: usize,
}

#[derive(Clone)]
struct Client {
    tenant: String,
    key: String,
    tokens: u64,
}

struct Waiting {
    client: Client,
    tenant: u64,
    began: Duration,
}

struct Sending {
    client: Client,
    endpoint: String,
    at: Duration,
}

/// The deciders of one sidecar's data plane.
struct Gate {
    incarnation: u64,
    shares: QuotaShares,
    budget: RetryBudget,
    table: Option<RoutingTable>,
    waiting: Vec<Waiting>,
    sending: Vec<Sending>,
    spare_repeats: f64,
}

impl Gate {
    fn new(incarnation: u64, bounds: &LimitBounds, mutant: Option<LimitMutation>) -> Self {
        Gate {
            incarnation,
            shares: QuotaShares::new(GRANT_LIFETIME),
            budget: RetryBudget::new(bounds.budget_ratio),
            table: None,
            waiting: Vec::new(),
            sending: Vec::new(),
            spare_repeats: if mutant == Some(LimitMutation::SlackForEach) {
                bounds.budget_slack
            } else {
                0.0
            },
        }
    }

    fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.table.as_ref()?.find(HOST, "/", Some(key)).ok()?.tenant
    }

    fn may_repeat(&mut self) -> bool {
        if self.budget.spend(SERVICE) {
            return true;
        }
        let spare = self.spare_repeats >= 1.0;
        self.spare_repeats -= if spare { 1.0 } else { 0.0 };
        spare
    }
}

struct Endpoint {
    id: String,
    index: usize,
    state: EndpointState,
    sequence: u64,
    next_beat: Duration,
    drained_at: Duration,
}

struct OpenOrder {
    order: ConfigurationChange,
    call: Option<CallKey>,
    called_at: Duration,
    removes: Option<String>,
}

struct LimitHistory {
    cluster: Cluster,
    faults: FaultInjector,
    checker: LimitChecker,
    bounds: LimitBounds,
    settings: LimitSettings,
    gates: BTreeMap<usize, Gate>,
    endpoints: Vec<Endpoint>,
    next_endpoint: usize,
    open: Option<OpenOrder>,
    next_order: Duration,
    generation: u64,
    /// What sidecars have announced of endpoints, and the core has not confirmed.
    announced: BTreeMap<(usize, u64, Announcement), String>,
    /// All keys that the unlimited tenant ever had; the last one is in force.
    keys: Vec<String>,
    outcome: LimitOutcome,
}

/// Bounds as in the small deployments.
fn bounds() -> LimitBounds {
    LimitBounds {
        quota_window: Duration::from_secs(8),
        quota_overshoot: 0.1,
        quota_slack: 140_000.0,
        revoke: Duration::from_secs(5),
        budget_window: Duration::from_secs(10),
        budget_ratio: 0.2,
        budget_slack: 64.0,
        drain: Duration::from_secs(2),
    }
}

/// Plays a history.
pub fn play(settings: &LimitSettings) -> LimitOutcome {
    let cluster = Cluster::new(settings.cluster.clone());
    let mut history = LimitHistory {
        cluster,
        faults: FaultInjector::new(settings.cluster.tolerated_losses, Duration::from_secs(4)),
        checker: LimitChecker::new(bounds()),
        bounds: bounds(),
        settings: settings.clone(),
        gates: BTreeMap::new(),
        endpoints: Vec::new(),
        next_endpoint: 0,
        open: None,
        next_order: LEAD,
        generation: 0,
        announced: BTreeMap::new(),
        keys: Vec::new(),
        outcome: LimitOutcome::default(),
    };
    (0..ENDPOINTS).for_each(|_| history.start_endpoint());
    while history.cluster.now() < LENGTH {
        history.step();
    }
    history.outcome.violations = history.checker.violations;
    history.outcome
}

impl LimitHistory {
    fn step(&mut self) {
        let until = self.cluster.now() + STEP;
        while let Some(seen) = self.cluster.step(until) {
            self.take(seen);
        }
        self.faults.heal(&mut self.cluster);
        if !self.settings.calm && until > CLIENTS_FROM {
            if self.cluster.rng.random_bool(0.012) {
                self.faults.inject(&mut self.cluster);
            }
            if self.cluster.rng.random_bool(0.002) {
                self.faults.inject_group_outage(&mut self.cluster);
            }
        }
        self.beat();
        self.operate();
        if until > CLIENTS_FROM {
            self.clients();
        }
        for machine in 0..self.cluster.len() {
            self.advance(machine);
        }
    }

    fn take(&mut self, seen: Vec<Observation>) {
        for one in seen {
            match one {
                Observation::Configured { machine, incarnation, configuration } => {
                    let document = parse_document(configuration.document.as_bytes());
                    let configuration = document.and_then(|d| Configuration::read(&d));
                    let gate = self.gate(machine, incarnation);
                    gate.table = configuration.ok().map(RoutingTable::new);
                }
                Observation::Answered { call, answer } => self.answered(call, answer.status),
                Observation::Confirmed { machine, incarnation, announcement } => {
                    self.confirmed((machine, incarnation, announcement));
                }
                Observation::Granted { machine, incarnation, grant } => {
                    let QuotaMessage::Grant { request_id, granted, .. } = grant else { continue };
                    let now = self.cluster.local_now(machine);
                    let grants: Vec<Grant> = granted
                        .iter()
                        .map(|a| Grant { tenant: a.tenant.0, tokens: a.tokens, reserve: a.reserve })
                        .collect();
                    self.gate(machine, incarnation).shares.answered(now, request_id, &grants);
                }
            }
        }
    }

    /// The gate of a machine's process; a new one where the process is another.
    fn gate(&mut self, machine: usize, incarnation: u64) -> &mut Gate {
        let (bounds, mutant) = (self.bounds, self.settings.mutant);
        let gate = self.gates.entry(machine).or_insert_with(|| Gate::new(incarnation, &bounds, mutant));
        if gate.incarnation != incarnation {
            *gate = Gate::new(incarnation, &bounds, mutant);
        }
        gate
    }

    fn in_touch_since(&self, machine: usize) -> Duration {
        let started = self.cluster.started_at(machine);
        self.faults.faulty_until(machine).max(started) + IN_TOUCH_AFTER
    }

    fn random_machine(&mut self) -> Option<usize> {
        let machines: Vec<usize> = (0..self.cluster.len()).filter(|m| self.cluster.responds(*m)).collect();
        machines.choose(&mut self.cluster.rng).copied()
    }

    // ---- Endpoints ----

    fn start_endpoint(&mut self) {
        let index = self.next_endpoint;
        self.next_endpoint += 1;
        let next_beat = self.cluster.now() + Duration::from_millis(self.cluster.rng.random_range(0..1_200));
        let (id, state) = (format!("i-{index}"), EndpointState::Ready);
        self.endpoints.push(Endpoint {
            id,
            index,
            state,
            sequence: 0,
            next_beat,
            drained_at: Duration::ZERO,
        });
    }

    /// Endpoints send their heartbeats; now and then one begins to drain, and another takes its place later.
    fn beat(&mut self) {
        let now = self.cluster.now();
        if now > CLIENTS_FROM && self.cluster.rng.random_bool(0.002) {
            let index = self.cluster.rng.random_range(0..self.endpoints.len());
            self.endpoints[index].state = EndpointState::Draining;
            self.endpoints[index].next_beat = now;
        }
        for index in 0..self.endpoints.len() {
            if self.endpoints[index].next_beat <= now {
                self.beat_one(index);
            }
        }
        let gone =
            |e: &Endpoint| e.drained_at > Duration::ZERO && now > e.drained_at + Duration::from_secs(5);
        let before = self.endpoints.len();
        self.endpoints.retain(|e| !gone(e));
        (self.endpoints.len()..before).for_each(|_| self.start_endpoint());
    }

    fn beat_one(&mut self, index: usize) {
        let now = self.cluster.now();
        let endpoint = &mut self.endpoints[index];
        endpoint.next_beat = now + crate::cluster::HEARTBEAT;
        endpoint.sequence += 1;
        let record = EndpointRecord {
            id: endpoint.id.clone(),
            service: SERVICE.to_owned(),
            address: std::net::SocketAddrV4::new([10, 9, 0, 1].into(), 1_000 + endpoint.index as u16),
            zone: "here".to_owned(),
            capacity: 8,
            state: endpoint.state,
            sequence: endpoint.sequence,
        };
        let Some(machine) = self.random_machine() else { return };
        let Some(seen) = self.cluster.heartbeat(machine, &Heartbeat { record }) else { return };
        self.take(seen);
        let endpoint = &self.endpoints[index];
        if endpoint.state != EndpointState::Draining || endpoint.drained_at > Duration::ZERO {
            return;
        }
        let id = endpoint.id.clone();
        if self.settings.mutant == Some(LimitMutation::AcknowledgesDrainingAlone) {
            return self.drained(&id);
        }
        let incarnation = self.cluster.incarnation(machine);
        let Some((announcement, seen)) = self.cluster.announce(machine, &id) else { return };
        self.announced.insert((machine, incarnation, announcement), id);
        self.take(seen);
    }

    /// The sidecar acknowledges that an endpoint drains.
    fn confirmed(&mut self, announcement: (usize, u64, Announcement)) {
        if let Some(id) = self.announced.remove(&announcement) {
            self.drained(&id);
        }
    }

    fn drained(&mut self, id: &str) {
        let now = self.cluster.now();
        let Some(endpoint) = self.endpoints.iter_mut().find(|e| e.id == id) else { return };
        if endpoint.drained_at == Duration::ZERO {
            endpoint.drained_at = now;
            self.outcome.drained += 1;
            self.checker.drained(now, id);
        }
    }

    // ---- The operator ----

    /// Every few seconds the unlimited tenant gets another key in place of its last one.
    fn operate(&mut self) {
        let now = self.cluster.now();
        if self.open.is_none() && now >= self.next_order {
            let removes = self.keys.last().cloned();
            self.generation += 1;
            self.keys.push(format!("free-{}", self.generation));
            let document = document(self.generation, self.keys.last().map_or("", String::as_str));
            let base = self.generation - 1;
            let order = ConfigurationChange { kind: ChangeKind::Replace, base, body: document.into() };
            self.open = Some(OpenOrder { order, call: None, called_at: Duration::ZERO, removes });
        }
        let idle = |o: &OpenOrder| o.call.is_none() || now > o.called_at + Duration::from_secs(1);
        let Some(order) = self.open.as_ref().filter(|o| idle(o)).map(|o| o.order.clone()) else { return };
        let Some(machine) = self.random_machine() else { return };
        let called = self.cluster.call(machine, OperatorRequest::Change(order));
        if let Some(open) = &mut self.open {
            (open.call, open.called_at) = (called.as_ref().map(|(call, _)| *call), now);
        }
        self.take(called.map(|(_, seen)| seen).unwrap_or_default());
    }

    fn answered(&mut self, call: CallKey, status: u16) {
        let now = self.cluster.now();
        let Some(open) = self.open.as_mut().filter(|o| o.call == Some(call)) else { return };
        if status != 200 {
            open.call = None;
            return;
        }
        if let Some(key) = &open.removes {
            self.checker.revoked(now, key);
            self.outcome.revoked += 1;
        }
        self.open = None;
        self.next_order = now + Duration::from_millis(self.cluster.rng.random_range(1_000..6_000));
    }

    // ---- Clients and sidecars ----

    fn clients(&mut self) {
        for (name, _, per_s, most_tokens) in TENANTS {
            if !self.cluster.rng.random_bool(per_s * STEP.as_secs_f64()) {
                continue;
            }
            let key = match name {
                "free" => self.free_key(),
                _ => format!("key-{name}"),
            };
            let tokens = self.cluster.rng.random_range(1..=most_tokens);
            let client = Client { tenant: name.to_owned(), key, tokens };
            if let Some(machine) = self.random_machine() {
                self.arrive(machine, client);
            }
        }
    }

    /// Most often the key in force, now and then an older one.
    fn free_key(&mut self) -> String {
        let older = self.cluster.rng.random_bool(0.3);
        let key = if older { self.keys.choose(&mut self.cluster.rng) } else { self.keys.last() };
        key.cloned().unwrap_or_default()
    }

    fn arrive(&mut self, machine: usize, client: Client) {
        let now = self.cluster.local_now(machine);
        self.checker.requested(self.cluster.now());
        if !self.may_send(machine, &client.key) {
            return self.refuse(&client);
        }
        let gate = self.gate(machine, self.cluster.incarnation(machine));
        gate.budget.request(SERVICE);
        let limited = gate.tenant(&client.key).filter(|t| t.is_limited()).map(|t| TenantKey::of(&t.name).0);
        match limited {
            Some(tenant) => {
                gate.shares.want(tenant, client.tokens);
                gate.waiting.push(Waiting { client, tenant, began: now });
                self.ask(machine);
            }
            None => self.begin_sending(machine, client),
        }
    }

    fn refuse(&mut self, client: &Client) {
        *self.outcome.refused.entry(client.tenant.clone()).or_default() += 1;
    }

    /// Whether a request with this key may be sent by a machine now.
    fn may_send(&mut self, machine: usize, key: &str) -> bool {
        let now = self.cluster.local_now(machine);
        let Some(fresh_at) = self.cluster.process(machine).and_then(|p| p.gossip().fresh_at()) else {
            return false;
        };
        let most = self.bounds.revoke.saturating_sub(REVOKE_MARGIN);
        let gate = self.gate(machine, self.cluster.incarnation(machine));
        now.saturating_sub(fresh_at) < most && gate.tenant(key).is_some()
    }

    /// Picks an endpoint; the connection takes a while now and then.
    fn begin_sending(&mut self, machine: usize, client: Client) {
        let wait = if self.cluster.rng.random_bool(0.2) { self.cluster.rng.random_range(0..200) } else { 0 };
        let at = self.cluster.local_now(machine) + Duration::from_millis(wait);
        let Some(endpoint) = self.pick(machine) else { return self.refuse(&client) };
        self.gate(machine, self.cluster.incarnation(machine)).sending.push(Sending { client, endpoint, at });
    }

    fn pick(&mut self, machine: usize) -> Option<String> {
        let registry = self.cluster.process(machine)?.gossip().registry();
        let draining_too = self.settings.mutant == Some(LimitMutation::SendsToDraining);
        let ready = |r: &&EndpointRecord| {
            r.state == EndpointState::Ready || (draining_too && r.state == EndpointState::Draining)
        };
        let ids: Vec<String> = registry.records().filter(ready).map(|r| r.id.clone()).collect();
        ids.choose(&mut self.cluster.rng).cloned()
    }

    /// Everything that one sidecar has to do now; nothing while it stands still.
    fn advance(&mut self, machine: usize) {
        if !self.cluster.responds(machine) {
            return;
        }
        let incarnation = self.cluster.incarnation(machine);
        let now = self.cluster.local_now(machine);
        let waiting = std::mem::take(&mut self.gate(machine, incarnation).waiting);
        for one in waiting {
            self.advance_waiting(machine, now, one);
        }
        self.ask(machine);
        let sending = std::mem::take(&mut self.gate(machine, incarnation).sending);
        for one in sending {
            if one.at > now {
                self.gate(machine, incarnation).sending.push(one);
            } else {
                self.send(machine, one);
            }
        }
    }

    /// Asks the grantor for the tokens that are wanted now.
    fn ask(&mut self, machine: usize) {
        let now = self.cluster.local_now(machine);
        let gate = self.gate(machine, self.cluster.incarnation(machine));
        let Some(question) = gate.shares.question(now) else { return };
        let keyed = |all: Vec<(u64, u64)>| all.into_iter().map(|(key, n)| (TenantKey(key), n)).collect();
        let (wanted, overdrawn) = (keyed(question.wanted), keyed(question.overdrawn));
        let want = QuotaMessage::Request { request_id: question.request_id, wanted, overdrawn };
        let seen = self.cluster.request_tokens(machine, want).unwrap_or_default();
        self.take(seen);
    }

    fn advance_waiting(&mut self, machine: usize, now: Duration, waiting: Waiting) {
        let gate = self.gate(machine, self.cluster.incarnation(machine));
        let tokens = waiting.client.tokens;
        let spent = gate.shares.spend(now, waiting.tenant, tokens);
        let short = gate.shares.is_short(waiting.tenant, waiting.began);
        let over = now >= waiting.began + QUOTA_PATIENCE || gate.shares.is_deserted(waiting.tenant, now);
        if !spent && !short && !over {
            gate.waiting.push(waiting);
            return;
        }
        gate.shares.stop_waiting(waiting.tenant, tokens);
        if spent {
            self.begin_sending(machine, waiting.client);
        } else {
            self.refuse(&waiting.client);
        }
    }

    fn send(&mut self, machine: usize, sending: Sending) {
        let checked_before = self.settings.mutant == Some(LimitMutation::ChecksBeforeWaitOnly);
        if !checked_before && !self.may_send(machine, &sending.client.key) {
            return self.refuse(&sending.client);
        }
        let draining_too = self.settings.mutant == Some(LimitMutation::SendsToDraining);
        let may_have = |r: &EndpointRecord| {
            matches!(r.state, EndpointState::Ready | EndpointState::Expired)
                || (draining_too && r.state == EndpointState::Draining)
        };
        let known = |r: &EndpointRecord| r.id == sending.endpoint && may_have(r);
        let registry = self.cluster.process(machine).map(|p| p.gossip().registry());
        if !registry.is_some_and(|registry| registry.records().any(known)) {
            return self.begin_sending(machine, sending.client);
        }
        self.sent(machine, &sending);
        if self.cluster.rng.random_bool(TURNED_AWAY) {
            let gate = self.gate(machine, self.cluster.incarnation(machine));
            if gate.may_repeat() {
                self.checker.repeated(self.cluster.now());
            }
        }
    }

    fn sent(&mut self, machine: usize, sending: &Sending) {
        let client = &sending.client;
        let limits = TENANTS.iter().find(|(name, rate, ..)| *name == client.tenant && *rate > 0.0);
        let sent = Sent {
            tenant: &client.tenant,
            quota: limits.map(|(_, rate, ..)| (*rate, *rate)),
            key: &client.key,
            tokens: client.tokens,
            endpoint: &sending.endpoint,
            in_touch_since: self.in_touch_since(machine),
        };
        self.checker.sent(self.cluster.now(), &sent);
        *self.outcome.sent.entry(client.tenant.clone()).or_default() += 1;
    }
}

fn document(generation: u64, free_key: &str) -> String {
    let tenants: Vec<_> = TENANTS
        .iter()
        .map(|(name, rate, ..)| {
            let key = if *name == "free" { free_key.to_owned() } else { format!("key-{name}") };
            json!({ "name": name, "api-keys": [key], "unit": "token_usage", "rate-per-s": rate, "burst": rate })
        })
        .collect();
    let route =
        json!({ "name": "r", "hostname": HOST, "path-prefix": "/", "timeout-ms": 3_000, "backend": SERVICE });
    json!({ "generation": generation, "routes": [route], "services": [{ "name": SERVICE }], "tenants": tenants })
        .to_string()
}
