//! Load balancing: selects an endpoint for each request to a service.
//!
//! Selection has three steps:
//!
//! 1. Ineligible endpoints are filtered out: those of a version that is not in service, and those that are
//!    draining, expired, ejected, stalled (`in_flight`) or failing too often (`outlier`).
//! 2. For a request with a prompt, only the endpoints that can prefill it soonest remain, judged by their
//!    queued tokens (`load`, `prefill`) and cached prefixes (`prefix_affinity`).
//! 3. Smooth weighted round robin (`round_robin`) picks one of the remaining endpoints by free capacity
//!    (`weight`) and zone.
//!
//! [`Balancer`] combines these steps and is notified of each event in the lifetime of a request. It does not
//! open connections, send requests or retry them.

mod endpoint;
mod in_flight;
mod load;
mod load_report;
mod outlier;
mod prefill;
mod prefix_affinity;
mod request_counts;
mod round_robin;
mod weight;

pub use self::load_report::LoadReport;
pub use self::request_counts::RequestCounts;

use self::endpoint::Endpoint;
use self::prefill::{MeanPrefill, PrefillCost};
use self::prefix_affinity::PrefixAffinity;
use crate::prompt::Prompt;
use passrelay_dissemination::{EndpointLoad, EndpointRecord, EndpointState};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Outcome of a request to an endpoint, as far as it affects the selection of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response was received.
    Completed,
    /// The endpoint rejected the request without executing it.
    Rejected,
    /// The connection failed or was lost, or the response was invalid.
    Failed,
    /// The client closed its connection before the response was complete.
    Abandoned,
}

/// Selection criteria for the endpoint of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickRequest<'a> {
    /// Name of the service, as in the configuration.
    pub service: &'a str,
    /// Version whose endpoints are eligible; `None` if endpoints of any version are.
    pub version: Option<&'a str>,
    /// Share of the candidate endpoints that is eligible, 0 to 1; `None` for all. All routers select the same
    /// subset.
    pub endpoint_share: Option<f64>,
    /// Prompt of the request, if requests with the same prefix should go to the same endpoints; `None`
    /// selects by weight alone.
    pub prompt: Option<Prompt>,
    /// Time within which a response has its full value.
    pub latency_target: Duration,
    /// Instance ids of the endpoints used by earlier attempts of this request. They are not selected again.
    pub attempted: &'a [Arc<str>],
}

/// A selected endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Instance id, unique among all endpoints.
    pub id: Arc<str>,
    /// Address to connect to, by the latest registration.
    pub address: SocketAddrV4,
    /// Prompt tokens that the endpoint has to prefill: those of the prompt, less the prefix that is assumed
    /// to be in its cache. 0 without a prompt.
    pub prefill_tokens: u64,
}

/// This router's view of the endpoints of all services.
#[derive(Debug)]
pub struct Balancer {
    /// Zone in which this router runs.
    zone: String,
    /// All endpoints that are not removed, by instance id.
    endpoints: HashMap<Arc<str>, Endpoint>,
    /// Instance ids by service, in registry order. Each id is a key of `endpoints`.
    services: HashMap<String, Vec<Arc<str>>>,
    /// Endpoints that are assumed to have prompt prefixes in their caches.
    prefixes: PrefixAffinity,
    /// Mean number of prefill tokens per prompt, over all services.
    mean_prefill: MeanPrefill,
    /// Requests sent so far, by service and version.
    request_counts: RequestCounts,
}

impl Balancer {
    /// Creates a balancer without endpoints for a router in `zone`.
    pub fn new(zone: &str) -> Self {
        Balancer {
            zone: zone.to_owned(),
            endpoints: HashMap::new(),
            services: HashMap::new(),
            prefixes: PrefixAffinity::default(),
            mean_prefill: MeanPrefill::default(),
            request_counts: RequestCounts::new(),
        }
    }

    // ---- Endpoints ----

    /// Replaces the endpoints by those of the registry. Load and failures observed for endpoints that remain
    /// are kept.
    pub fn update<'a>(&mut self, records: impl Iterator<Item = &'a EndpointRecord>) {
        let mut services: BTreeMap<&str, Vec<Arc<str>>> = BTreeMap::new();
        let mut previous = std::mem::take(&mut self.endpoints);
        for record in records.filter(|record| record.state != EndpointState::Removed) {
            let mut endpoint =
                previous.remove(record.id.as_str()).unwrap_or_else(|| Endpoint::new(record, &self.zone));
            endpoint.update(record);
            let id = endpoint.id().clone();
            self.endpoints.insert(id.clone(), endpoint);
            services.entry(&record.service).or_default().push(id);
        }
        self.services = services.into_iter().map(|(service, ids)| (service.to_owned(), ids)).collect();
        request_counts::retain_known(&mut self.request_counts, self.endpoints.values());
    }

    /// Returns the number of requests sent so far to each version of each service that has endpoints.
    pub fn request_counts(&self) -> &RequestCounts {
        &self.request_counts
    }

    /// Returns the number of prompt prefixes whose endpoints are tracked.
    pub fn tracked_prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether any endpoint of any service is ready.
    pub fn has_ready_endpoint(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.state() == EndpointState::Ready)
    }

    /// Returns whether a request may still be sent to an endpoint that was selected earlier: allowed if the
    /// endpoint's heartbeats have stopped, not allowed if it is draining or removed.
    pub fn may_send(&self, id: &str) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|endpoint| matches!(endpoint.state(), EndpointState::Ready | EndpointState::Expired))
    }

    // ---- Selection ----

    /// Selects an endpoint. Returns `None` if the service is unknown, or if each of its endpoints is
    /// draining, has another version or was already tried.
    pub fn pick(&mut self, now: Duration, request: &PickRequest) -> Option<Pick> {
        let eligible = self.eligible(now, request)?;
        for id in &eligible {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.refresh_weight(now);
            }
        }
        match &request.prompt {
            Some(prompt) => self.pick_by_prefill(now, &eligible, prompt, request.latency_target),
            None => {
                let id = round_robin::pick_by_weight(&mut self.endpoints, &eligible)?;
                self.pick_for(&id, 0)
            }
        }
    }

    /// Returns the healthy endpoints of the service that have the requested version. If none is healthy,
    /// returns all of that version that are neither draining nor tried already, since the fault may have
    /// passed. Returns `None` if the service is unknown.
    fn eligible(&self, now: Duration, request: &PickRequest) -> Option<Vec<Arc<str>>> {
        let ids = self.services.get(request.service)?;
        let is_candidate = |id: &&Arc<str>| {
            let endpoint = &self.endpoints[*id];
            endpoint.state() != EndpointState::Draining
                && endpoint.serves(request.version)
                && !request.attempted.contains(id)
        };
        let mut candidates: Vec<Arc<str>> = ids.iter().filter(is_candidate).cloned().collect();
        if let Some(share) = request.endpoint_share {
            self.keep_share(&mut candidates, share);
        }
        let outliers: Vec<bool> = candidates.iter().map(|id| self.endpoints[id].is_outlier(now)).collect();
        let outlier_count = outliers.iter().filter(|is_outlier| **is_outlier).count();
        let ejects_outliers = outlier::may_eject(outlier_count, candidates.len());
        let healthy: Vec<Arc<str>> = candidates
            .iter()
            .zip(&outliers)
            .filter(|(id, is_outlier)| {
                self.endpoints[*id].is_healthy(now) && !(ejects_outliers && **is_outlier)
            })
            .map(|(id, _)| id.clone())
            .collect();
        Some(if healthy.is_empty() { candidates } else { healthy })
    }

    /// Truncates the candidates to a share of them, at least one, in the order of their load keys. The keys
    /// are hashes, so the remaining candidates are spread over the zones.
    fn keep_share(&self, candidates: &mut Vec<Arc<str>>, share: f64) {
        candidates.sort_by_key(|id| self.endpoints[id].load_key());
        let share_count = (candidates.len() as f64 * share).ceil() as usize;
        candidates.truncate(share_count.max(1));
    }

    /// Selects by weight among the endpoints with the lowest prefill cost.
    fn pick_by_prefill(
        &mut self,
        now: Duration,
        eligible: &[Arc<str>],
        prompt: &Prompt,
        latency_target: Duration,
    ) -> Option<Pick> {
        let holders = match prompt.shared_prefix {
            Some(prefix) => self.prefixes.holders(now, eligible, prefix),
            None => Vec::new(),
        };
        let cost = PrefillCost::new(now, &self.mean_prefill, &holders, prompt, latency_target);
        let cheapest = cost.cheapest(&self.endpoints, eligible);
        let id = round_robin::pick_by_weight(&mut self.endpoints, &cheapest)?;
        let cached_tokens = if holders.contains(&id) { prompt.shared_prefix_tokens } else { 0 };
        self.pick_for(&id, prompt.input_tokens.saturating_sub(cached_tokens))
    }

    fn pick_for(&self, id: &Arc<str>, prefill_tokens: u64) -> Option<Pick> {
        let endpoint = self.endpoints.get(id)?;
        Some(Pick { id: endpoint.id().clone(), address: endpoint.address(), prefill_tokens })
    }

    // ---- Request events ----

    /// Records that a request was sent to the endpoint selected for it.
    pub fn request_sent(&mut self, now: Duration, pick: &Pick, prompt: Option<&Prompt>) {
        if let Some(prompt) = prompt {
            self.mean_prefill.observe(pick.prefill_tokens);
            if let Some(prefix) = prompt.shared_prefix {
                self.prefixes.record(now, prefix, &pick.id);
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(&pick.id) {
            endpoint.request_sent(now, pick.prefill_tokens);
            request_counts::record(&mut self.request_counts, endpoint);
        }
    }

    /// Records that the head of a response was received, with the endpoint's load report if it sent one.
    /// `is_error` is true if the response indicates an error of the endpoint.
    pub fn response_head_received(
        &mut self,
        now: Duration,
        pick: &Pick,
        report: Option<LoadReport>,
        is_error: bool,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(&pick.id) {
            endpoint.response_head_received(now, pick.prefill_tokens, report, is_error);
        }
    }

    /// Records that a chunk of a response body was received.
    pub fn response_chunk_received(&mut self, now: Duration, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.response_chunk_received(now);
        }
    }

    /// Records that a request has ended. `has_response` is true if its response head had been received. A
    /// request that the client abandoned counts as a failure if the endpoint has sent nothing since it began
    /// to owe responses.
    pub fn request_ended(&mut self, now: Duration, pick: &Pick, has_response: bool, outcome: RequestOutcome) {
        let Some(endpoint) = self.endpoints.get_mut(&pick.id) else { return };
        endpoint.request_ended(has_response, pick.prefill_tokens);
        let is_silent = !has_response && endpoint.is_silent_since_sending();
        if outcome == RequestOutcome::Failed || (outcome == RequestOutcome::Abandoned && is_silent) {
            endpoint.record_failure(now);
        }
    }

    /// Records that no connection to an endpoint could be established and the request was not sent.
    pub fn connect_failed(&mut self, now: Duration, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_failure(now);
        }
    }

    /// Returns the number of this router's requests in flight at the endpoints of `service` with a version
    /// other than `version`.
    pub fn in_flight_at_other_versions(&self, service: &str, version: &str) -> u32 {
        let ids = self.services.get(service).into_iter().flatten();
        let others = ids.map(|id| &self.endpoints[id]).filter(|endpoint| endpoint.version() != version);
        others.map(Endpoint::requests_in_flight).sum()
    }

    // ---- Fleet-wide load ----

    /// Returns this router's load report, in no particular order: the requests in flight at each endpoint,
    /// and the outcomes since the previous report.
    pub fn take_load_report(&mut self) -> Vec<EndpointLoad> {
        self.endpoints
            .values_mut()
            .filter(|endpoint| endpoint.has_load_to_report())
            .map(Endpoint::take_load_report)
            .collect()
    }

    /// Applies the load totals over all routers, by endpoint key. `own_report` is this router's load report
    /// that the totals include.
    pub fn observe_fleet_load(
        &mut self,
        now: Duration,
        own_report: &[EndpointLoad],
        totals: &HashMap<u64, EndpointLoad>,
    ) {
        for endpoint in self.endpoints.values_mut() {
            let key = endpoint.load_key();
            let own = own_report.iter().find(|load| load.endpoint == key);
            endpoint.observe_fleet_load(now, own, totals.get(&key));
        }
    }
}
