//! This router's view of one endpoint: its registration, load, weight and failures.

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

/// An endpoint of the registry. Load and failures observed for it are kept for as long as it stays in the
/// registry.
#[derive(Debug)]
pub(super) struct Endpoint {
    /// Instance id, unique among all endpoints.
    id: Arc<str>,
    /// Service from the first registration.
    service: String,
    /// Key in load reports between routers: a hash of the id, equal in all routers.
    load_key: u64,
    /// Address from the latest registration.
    address: SocketAddrV4,
    /// State from the latest registration.
    state: EndpointState,
    /// Software version from the latest registration; empty if unknown.
    version: String,
    /// Concurrent requests from the first registration, at least 1. It does not change during the lifetime of
    /// an instance.
    capacity: f64,
    /// From the first registration, like `capacity`.
    is_in_own_zone: bool,
    /// Load estimated from this router's requests, the endpoint's load reports and the fleet-wide totals.
    load: Load,
    /// Weight, sampled from the load.
    weight: Weight,
    /// Current weight in the smooth weighted round robin. Each turn adds the weight of every candidate to its
    /// current weight and subtracts the sum of the weights from the winner, so the sum over the candidates is
    /// invariant.
    current_weight: f64,
    /// Failure rate and ejection.
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

    /// Applies the state, version and address of a later registration.
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

    /// Returns whether the endpoint may receive requests for a version. An endpoint of unknown version may
    /// receive any.
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

    /// Returns whether the endpoint is ready, not ejected and not stalled. The failure rate is not considered
    /// here, because outliers are judged against all endpoints of the service.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        self.state == EndpointState::Ready
            && !self.outlier.is_ejected(now)
            && !self.load.in_flight.is_stalled(now)
    }

    /// Returns whether the failure rate is high.
    pub(super) fn is_outlier(&self, now: Duration) -> bool {
        self.outlier.is_outlier(now, self.load.recent_peer_load(now).as_ref())
    }

    /// Recomputes the weight if a refresh is due.
    pub(super) fn refresh_weight(&mut self, now: Duration) {
        self.weight.refresh(now, &self.load, self.capacity);
    }

    /// Returns the weight from the last refresh, 0 to 100.
    pub(super) fn weight(&self) -> f64 {
        self.weight.value()
    }

    pub(super) fn current_weight_mut(&mut self) -> &mut f64 {
        &mut self.current_weight
    }

    /// Returns the number of prompt tokens that are prefilled before those of a new request.
    pub(super) fn queued_prompt_tokens(&self, now: Duration, mean_prefill_tokens: f64) -> f64 {
        self.load.queued_prompt_tokens(now, mean_prefill_tokens)
    }

    // ---- Requests of this router ----

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
        self.load.in_flight.record_response_head(now, prefill_tokens);
        if let Some(report) = report {
            self.load.observe_report(now, report);
        }
    }

    pub(super) fn response_chunk_received(&mut self, now: Duration) {
        self.load.in_flight.record_response_chunk(now);
    }

    pub(super) fn request_ended(&mut self, has_response: bool, prefill_tokens: u64) {
        self.load.in_flight.remove_request(has_response, prefill_tokens);
    }

    /// Returns whether the endpoint has sent nothing since the requests that await a response began to wait.
    pub(super) fn is_silent_since_sending(&self) -> bool {
        self.load.in_flight.is_silent_since_sending()
    }

    /// Counts a failure and ejects the endpoint for a while.
    pub(super) fn record_failure(&mut self, now: Duration) {
        self.outlier.observe_failure(now);
    }

    /// Returns the number of this router's requests in flight at the endpoint.
    pub(super) fn requests_in_flight(&self) -> u32 {
        self.load.in_flight.requests
    }

    // ---- Fleet-wide load ----

    /// Returns whether a load report has to include the endpoint: it has requests in flight or unreported
    /// outcomes.
    pub(super) fn has_load_to_report(&self) -> bool {
        self.load.in_flight.requests > 0 || self.outlier.has_unreported()
    }

    /// Returns this router's requests in flight, and the outcomes since the previous call.
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

    /// Applies the fleet-wide totals. This router's share (`own`) is subtracted from the requests in flight
    /// and their tokens, but not from the outcomes, which count for all routers together.
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
