//! Builds the request that is sent to an endpoint.

use super::admission::Admission;
use super::headers::{end_to_end, DEADLINE, LAST_EVENT_ID, PRIORITY, TARGET_INSTANCE, TENANT};
use super::inbound::InboundRequest;
use crate::upstream::UpstreamRequest;
use hyper::header::{HeaderValue, AUTHORIZATION, CONTENT_LENGTH};
use hyper::Request;
use passrelay_data_plane::routing::KeyPolicy;
use std::time::Duration;

/// The fields of a request that differ between attempts.
pub struct AttemptFields<'a> {
    /// Identifier of the selected endpoint.
    pub endpoint: &'a str,
    /// Time remaining until the deadline.
    pub time_remaining: Duration,
    /// Identifier of the last event that the client has received, if a stream is resumed.
    pub last_event_id: Option<&'a HeaderValue>,
}

/// Builds the request to an endpoint from the client's request: removes hop-by-hop fields and fields that only a
/// sidecar may set, and adds the sidecar's fields.
pub fn compose(inbound: &InboundRequest, admission: &Admission, attempt: &AttemptFields) -> UpstreamRequest {
    let mut request = Request::new(inbound.body.borrow().to_outbound());
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = inbound.uri.clone();
    let headers = request.headers_mut();
    *headers = end_to_end(&inbound.headers);
    for name in [CONTENT_LENGTH, TENANT, TARGET_INSTANCE, PRIORITY] {
        headers.remove(name);
    }
    // Keys must not leave the fleet, neither those that it checks nor those that it has revoked.
    if admission.snapshot.table.key_policy() != KeyPolicy::Unused {
        headers.remove(AUTHORIZATION);
    }
    let remaining_ms = u64::try_from(attempt.time_remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
    headers.insert(PRIORITY, HeaderValue::from(admission.priority));
    let tenant = admission.tenant.as_ref().map(|tenant| tenant.name.as_str());
    if let Some(last_event_id) = attempt.last_event_id {
        headers.insert(LAST_EVENT_ID, last_event_id.clone());
    }
    for (name, value) in [(TARGET_INSTANCE, Some(attempt.endpoint)), (TENANT, tenant)] {
        if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
            headers.insert(name, value);
        }
    }
    request
}
