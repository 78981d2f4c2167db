//! Selects the endpoint of each request of a service.
//!
//! Endpoints that may not get it are filtered out first: of a version that isn't in service, draining, expired, ejected, stalled (`in_flight`) or failing
//! too often (`outlier`). Where the request has a prompt, those stay at which it would be prefilled soonest, by queued
//! tokens (`load`, `prefill`) and cached prefixes (`prefix_affinity`). Among the rest a smooth weighted round robin
//! decides (`round_robin`) by free capacity (`weight`) and zone.
//!
//! [`Balancer`] composes these and is notified of each event in a request's life; it opens no connections, sends no
//! request and retries none.

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

/// How a request to an endpoint ended, as far as it matters for the selection of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response arrived completely.
    Completed,
    /// The endpoint rejected the request without running it.
    Rejected,
    /// The connection failed or broke, or the response was not valid.
    Failed,
    /// The client closed its connection first.
    Abandoned,
}

/// What a request demands of the endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The only version whose endpoints may get the request; `None` where any may.
    pub version: Option<&'a str>,
    /// Share of the endpoints that may get the request, 0 to 1, the same ones in all routers; `None` for all.
    pub endpoint_share: Option<f64>,
    /// The prompt, where requests with the same prefixes go to the same endpoints; `None` selects by weight alone.
    pub prompt: Option<Prompt>,
    /// Latency target: the time within which a response has its full value.
    pub latency_target: Duration,
    /// Instance ids of endpoints that earlier attempts of the request went to; these are not selected.
    pub attempted: &'a [Arc<str>],
}

/// A selected endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Its instance id.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// Prompt tokens that it has to prefill: the prompt's without the prefix that it is taken to hold. 0 without a prompt.
    pub prefill_tokens: u64,
}

/// The endpoints of all services as this router sees them.
#[derive(Debug)]
pub struct Balancer {
    /// The router's own zone.
    zone: String,
    /// All endpoints that are not removed, by instance id.
    endpoints: HashMap<Arc<str>, Endpoint>,
    /// Instance ids by service, in the order of the registry. Each one is a key of `endpoints`.
    services: HashMap<String, Vec<Arc<str>>>,
    /// Endpoints that are taken to hold prompt prefixes.
    prefixes: PrefixAffinity,
    /// Mean tokens to prefill, over all services.
    mean_prefill: MeanPrefill,
    /// Requests sent so far.
    request_counts: RequestCounts,
}

impl Balancer {
    /// A balancer without endpoints, of a router in `zone`.
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

    /// Replaces the endpoints by those of the registry. What was observed of endpoints that stay is kept.
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

    /// Requests sent so far to each version of each service that has endpoints.
    pub fn request_counts(&self) -> &RequestCounts {
        &self.request_counts
    }

    /// Number of prompt prefixes whose endpoints are tracked.
    pub fn tracked_prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether any endpoint of any service is ready.
    pub fn has_ready_endpoint(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.state() == EndpointState::Ready)
    }

    /// Whether a request may still be sent to an endpoint that was selected earlier. One whose heartbeats have stopped
    /// may get it, one that drains or is removed may not.
    pub fn may_send(&self, id: &str) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|endpoint| matches!(endpoint.state(), EndpointState::Ready | EndpointState::Expired))
    }

    // ---- Selection ----

    /// Selects an endpoint. `None` where the service is unknown, or all its endpoints drain or were tried already.
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
                self.picked(&id, 0)
            }
        }
    }

    /// The healthy endpoints of the service, of the version asked for; where there is none, all of these that neither drain
    /// nor were tried, for the fault may be over. `None` where the service is unknown.
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

    /// Keeps the first of the candidates by their keys, one at least. Keys are hashes, so that zones mix.
    fn keep_share(&self, candidates: &mut Vec<Arc<str>>, share: f64) {
        candidates.sort_by_key(|id| self.endpoints[id].load_key());
        let kept = (candidates.len() as f64 * share).ceil() as usize;
        candidates.truncate(kept.max(1));
    }

    /// Selects by weight among the endpoints of least prefill cost.
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
        self.picked(&id, prompt.input_tokens.saturating_sub(cached_tokens))
    }

    fn picked(&self, id: &Arc<str>, prefill_tokens: u64) -> Option<Pick> {
        let endpoint = self.endpoints.get(id)?;
        Some(Pick { id: endpoint.id().clone(), address: endpoint.address(), prefill_tokens })
    }

    // ---- Life of a request ----

    /// A request was sent to the endpoint that was selected for it.
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

    /// The head of a response arrived, with the endpoint's load report where it sends one; `is_error` where the response
    /// shows an error of the endpoint.
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

    /// A chunk of a response body arrived.
    pub fn response_chunk_received(&mut self, now: Duration, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.response_chunk_received(now);
        }
    }

    /// A request that was sent has ended; `has_response` where the head of its response had arrived. A request that the
    /// client abandons counts as a failure where the endpoint had been silent since.
    pub fn request_ended(&mut self, now: Duration, pick: &Pick, has_response: bool, end: RequestOutcome) {
        let Some(endpoint) = self.endpoints.get_mut(&pick.id) else { return };
        endpoint.request_ended(has_response, pick.prefill_tokens);
        let is_silent = !has_response && endpoint.is_silent_since_sending();
        if end == RequestOutcome::Failed || (end == RequestOutcome::Abandoned && is_silent) {
            endpoint.fail(now);
        }
    }

    /// No connection to an endpoint could be established; the request was not sent.
    pub fn connect_failed(&mut self, now: Duration, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.fail(now);
        }
    }

    /// Requests in flight from this router at endpoints of a service that have another version.
    pub fn in_flight_at_other_versions(&self, service: &str, version: &str) -> u32 {
        let ids = self.services.get(service).into_iter().flatten();
        let others = ids.map(|id| &self.endpoints[id]).filter(|endpoint| endpoint.version() != version);
        others.map(Endpoint::requests_in_flight).sum()
    }

    // ---- Load of the fleet ----

    /// This router's load report: requests in flight by endpoint, and their outcomes since the last report. In no
    /// particular order.
    pub fn take_load_report(&mut self) -> Vec<EndpointLoad> {
        self.endpoints
            .values_mut()
            .filter(|endpoint| endpoint.has_load_to_report())
            .map(Endpoint::take_load_report)
            .collect()
    }

    /// Takes the load totals of all routers by endpoint key, and the own load report that is among them.
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
