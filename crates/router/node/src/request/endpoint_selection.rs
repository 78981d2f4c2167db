//! Selects the endpoint of an attempt, and the version of the service that it belongs to.

use super::admission::Admission;
use crate::request_context::RequestContext;
use passrelay_data_plane::balancer::{Pick, PickRequest};
use passrelay_data_plane::prompt::Prompt;
use passrelay_data_plane::rollout_shares::CanaryChoice;
use std::sync::Arc;
use std::time::Duration;

/// A selected endpoint and the reason for its version.
pub struct SelectedEndpoint {
    /// The endpoint.
    pub pick: Pick,
    /// The requested version; empty if any version was accepted.
    pub version: String,
    /// Why the version was chosen.
    pub choice: VersionChoice,
}

/// Reason for sending a request to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChoice {
    /// The version is in service, or the service has none recorded.
    InService,
    /// The version is being rolled out, and this router holds a share of its traffic.
    Canary,
    /// The version is being rolled out, and one of its endpoints is load-tested.
    LoadTest,
}

/// What an endpoint is selected for.
pub struct EndpointSelection<'a> {
    /// The context that the request is served in.
    pub context: &'a RequestContext,
    /// The admission of the attempt.
    pub admission: &'a Admission,
    /// The service of the attempt.
    pub service: &'a str,
    /// The prompt of the request.
    pub prompt: Prompt,
    /// Ids of the endpoints that are not selected again.
    pub attempted: &'a [Arc<str>],
}

impl EndpointSelection<'_> {
    /// Selects the endpoint of the first attempt: one of a version being rolled out if this router's share provides for it,
    /// and otherwise one of the version in service.
    pub fn select_first(&self) -> Option<SelectedEndpoint> {
        self.select_canary().or_else(|| self.select_in_service())
    }

    /// Selects an endpoint of the version in service. Retries always go to that version, because the version being rolled
    /// out may have caused the failure.
    pub fn select_in_service(&self) -> Option<SelectedEndpoint> {
        // Endpoints report their own version, so they receive requests only if it is the version in service.
        let version = self.admission.snapshot.service_versions.get(self.service);
        let pick = self.pick(version, None)?;
        let version = version.unwrap_or_default().to_owned();
        Some(SelectedEndpoint { pick, version, choice: VersionChoice::InService })
    }

    fn select_canary(&self) -> Option<SelectedEndpoint> {
        let now = self.context.now();
        let choice = self.context.data_plane.rollout_shares.borrow_mut().choose(now, self.service);
        let CanaryChoice { version, endpoint_share, is_load_test } = choice?;
        let choice = if is_load_test { VersionChoice::LoadTest } else { VersionChoice::Canary };
        let pick = self.pick(Some(&version), Some(endpoint_share))?;
        Some(SelectedEndpoint { pick, version, choice })
    }

    fn pick(&self, version: Option<&str>, endpoint_share: Option<f64>) -> Option<Pick> {
        let route = &self.admission.route;
        let request = PickRequest {
            service: self.service,
            version,
            endpoint_share,
            prompt: Some(self.prompt).filter(|_| route.session_affinity),
            latency_target: Duration::from_millis(route.target_latency_ms),
            attempted: self.attempted,
        };
        self.context.data_plane.balancer.borrow_mut().pick(self.context.now(), &request)
    }
}
