//! One endpoint as this router sees it: its registration, and what its load, weight and failures follow from.

use super::load::Load;
use super::load_report::LoadReport;
use super::outlier::OutlierDetector;
use super::weight::Weight;
use passrelay_dissemination::{EndpointLoad, EndpointRecord, EndpointState};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// An endpoint of the registry. What was observed of it is kept as long as it stays in the registry.
#[derive(Debug)]
pub(super) struct Endpoint {
    /// Instance id.
    id: Arc<str>,
    /// The service that it serves, by the first registration.
    service: String,
    /// Key in load reports between routers: a hash of the id, the same in all routers.
    load_key: u64,
    /// Address by the latest registration.
    address: SocketAddrV4,
    /// State by the latest registration.
    state: EndpointState,
    /// Version of its software by the latest registration; empty where it isn't known.
    version: String,
    /// Concurrent requests by the first registration, at least 1; an instance doesn't change it.
    capacity: f64,
    /// By the first registration, like `capacity`.
    is_in_own_zone: bool,
    /// Load from own requests, the endpoint's reports and the fleet's totals.
    load: Load,
    /// Weight, sampled from the load.
    weight: Weight,
    /// Current weight of the smooth weighted round robin: each turn adds the weight, and takes the sum of the
    /// candidates' weights from the winner, so that their sum over the candidates stays the same.
    current_weight: f64,
    /// Failures and ejection.
    outlier: OutlierDetector,
}

impl Endpoint {
    pub(super) fn new(record: &EndpointRecord, own_zone: &str) -> Self {
        Endpoint {
            id: record.id.as_str().into(),
            service: record.service.clone(),
            load_key: load_key_of(&record.id),
            address: record.address,
            state: record.state,
            version: record.version.clone(),
            capacity: f64::from(record.capacity.max(1)),
            is_in_own_zone: record.zone == own_zone,
            load: Load::default(),
            weight: Weight::new(),
            current_weight: 0.0,
            outlier: OutlierDetector::default(),
        }
    }

    // ---- Registration ----

    /// Takes state, version and address of a later registration.
    pub(super) fn update(&mut self, record: &EndpointRecord) {
        self.state = record.state;
        self.version.clone_from(&record.version);
        self.address = record.address;
    }

    pub(super) fn id(&self) -> &Arc<str> {
        &self.id
    }

    pub(super) fn address(&self) -> SocketAddrV4 {
        self.address
    }

    pub(super) fn state(&self) -> EndpointState {
        self.state
    }

    pub(super) fn service(&self) -> &str {
        &self.service
    }

    pub(super) fn version(&self) -> &str {
        &self.version
    }

    /// Whether it may get requests for a version; one whose version isn't known may get any.
    pub(super) fn serves(&self, version: Option<&str>) -> bool {
        version.is_none_or(|version| self.version.is_empty() || self.version == version)
    }

    pub(super) fn is_in_own_zone(&self) -> bool {
        self.is_in_own_zone
    }

    /// Key of the endpoint in load reports between routers.
    pub(super) fn load_key(&self) -> u64 {
        self.load_key
    }

    // ---- Selection ----

    /// Whether requests may be sent, as far as state, ejection and stalls tell. Failure rates are judged apart, over all
    /// endpoints of the service.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        self.state == EndpointState::Ready
            && !self.outlier.is_ejected(now)
            && !self.load.in_flight.is_stalled(now)
    }

    /// Whether its failure rate is high.
    pub(super) fn is_outlier(&self, now: Duration) -> bool {
        self.outlier.is_outlier(now, self.load.recent_peer_load(now).as_ref())
    }

    /// Recomputes the weight where it is due.
    pub(super) fn refresh_weight(&mut self, now: Duration) {
        self.weight.refresh(now, &self.load, self.capacity);
    }

    /// Weight at the last refresh, 0 to 100.
    pub(super) fn weight(&self) -> f64 {
        self.weight.value()
    }

    pub(super) fn current_weight_mut(&mut self) -> &mut f64 {
        &mut self.current_weight
    }

    /// Prompt tokens that are prefilled before those of a new request.
    pub(super) fn queued_prompt_tokens(&self, now: Duration, mean_prefill_tokens: f64) -> f64 {
        self.load.queued_prompt_tokens(now, mean_prefill_tokens)
    }

    // ---- Own requests ----

    pub(super) fn request_sent(&mut self, now: Duration, prefill_tokens: u64) {
        self.load.in_flight.add_request(now, prefill_tokens);
        self.weight.add_request();
    }

    pub(super) fn response_head_received(
        &mut self,
        now: Duration,
        prefill_tokens: u64,
        report: Option<LoadReport>,
        is_error: bool,
    ) {
        self.outlier.observe_response(now, is_error);
        self.load.in_flight.begin_response(now, prefill_tokens);
        if let Some(report) = report {
            self.load.observe_report(now, report);
        }
    }

    pub(super) fn response_chunk_received(&mut self, now: Duration) {
        self.load.in_flight.receive(now);
    }

    pub(super) fn request_ended(&mut self, has_response: bool, prefill_tokens: u64) {
        self.load.in_flight.remove_request(has_response, prefill_tokens);
    }

    /// Whether the endpoint has sent nothing since the requests that await a response began to wait.
    pub(super) fn is_silent_since_sending(&self) -> bool {
        self.load.in_flight.is_silent_since_sending()
    }

    /// Counts a failure and ejects the endpoint for a while.
    pub(super) fn fail(&mut self, now: Duration) {
        self.outlier.observe_failure(now);
    }

    /// Own requests in flight.
    pub(super) fn requests_in_flight(&self) -> u32 {
        self.load.in_flight.requests
    }

    // ---- Load of the fleet ----

    /// Whether there is anything for a load report: requests in flight or outcomes that no report has held.
    pub(super) fn has_load_to_report(&self) -> bool {
        self.load.in_flight.requests > 0 || self.outlier.has_unreported()
    }

    /// Own requests in flight, and outcomes since the last call.
    pub(super) fn take_load_report(&mut self) -> EndpointLoad {
        let outcomes = self.outlier.take_unreported();
        EndpointLoad {
            endpoint: self.load_key,
            pending_prompt_tokens: self.load.in_flight.pending_prompt_tokens as u32,
            in_flight: self.load.in_flight.requests,
            succeeded: outcomes.answered,
            failed: outcomes.failed,
        }
    }

    /// Takes the fleet's total, less the own part of it: what is in flight from other routers, and the outcomes of all.
    pub(super) fn observe_fleet_load(
        &mut self,
        now: Duration,
        own: Option<&EndpointLoad>,
        total: Option<&EndpointLoad>,
    ) {
        let others =
            |field: fn(&EndpointLoad) -> u32| total.map_or(0, field).saturating_sub(own.map_or(0, field));
        let peers = EndpointLoad {
            endpoint: self.load_key,
            pending_prompt_tokens: others(|load| load.pending_prompt_tokens),
            in_flight: others(|load| load.in_flight),
            succeeded: total.map_or(0, |load| load.succeeded),
            failed: total.map_or(0, |load| load.failed),
        };
        self.load.observe_peers(now, peers);
    }
}

fn load_key_of(id: &str) -> u64 {
    let mut hasher = FxHasher::default();
    id.hash(&mut hasher);
    hasher.finish()
}
